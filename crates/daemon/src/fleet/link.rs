//! The link to one other instance: its connection and its heartbeats.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_rt::task::JoinHandle;
use log::{debug, info};
use tarragonpulley_policy::ids::InstanceName;
use tarragonpulley_wire::peer::{PeerRequest, PeerResponse};
use tokio::time::{sleep, timeout};

use super::core::FleetCore;
use super::peering::{PeerConnection, PeerError};

/// Time between two heartbeats to a peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time for a heartbeat and its answer, a new connection included.
const HEARTBEAT_DEADLINE: Duration = Duration::from_secs(1);

/// Time until the next heartbeat while a change waits for the peer to have it.
const SPREAD_INTERVAL: Duration = Duration::from_millis(50);

/// How long the table may take to give a revision that a peer has, before the
/// peer is asked for it.
const TABLE_HEAD_START: Duration = Duration::from_millis(250);

/// Time to fetch the configuration from a peer. Heartbeats to the peer wait for
/// it, so it is shorter than a proof lasts.
const FETCH_DEADLINE: Duration = Duration::from_secs(2);

/// The client side towards one instance.
#[derive(Debug)]
pub(super) struct PeerLink {
    pub(super) instance: InstanceName,
    pub(super) address: Cell<SocketAddr>,
    connection: RefCell<Option<Rc<PeerConnection>>>,
    task: RefCell<Option<JoinHandle<()>>>,
}

impl PeerLink {
    /// Creates the link and starts its heartbeats.
    pub(super) fn start(
        core: &Rc<FleetCore>,
        instance: InstanceName,
        address: SocketAddr,
    ) -> Rc<Self> {
        let link = Rc::new(Self {
            instance,
            address: Cell::new(address),
            connection: RefCell::default(),
            task: RefCell::default(),
        });
        let task = actix_rt::spawn(run(Rc::downgrade(core), Rc::downgrade(&link)));
        *link.task.borrow_mut() = Some(task);
        link
    }

    /// Ends the heartbeats and closes the connection.
    pub(super) fn stop(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.disconnect();
    }

    /// Follows a new address in the list.
    pub(super) fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.disconnect();
        }
    }

    /// Gives up the connection; the next call opens a new one.
    pub(super) fn disconnect(&self) {
        self.connection.take();
    }

    /// Sends a request within `deadline`. When that passes, the connection is
    /// replaced: it may have become silent.
    pub(super) async fn call(
        &self,
        core: &FleetCore,
        request: &PeerRequest,
        deadline: Duration,
    ) -> Result<PeerResponse, PeerError> {
        let used = Cell::new(None);
        let exchange = async {
            let connection = self.connect(core).await?;
            used.set(Some(Rc::clone(&connection)));
            connection.call(request).await
        };
        let outcome = timeout(deadline, exchange).await;
        let outcome = outcome.unwrap_or(Err(PeerError::Deadline));
        if let Err(PeerError::Stream(_) | PeerError::Body(_)) = outcome {
            self.give_up(used.take());
        }
        outcome
    }

    /// Drops the connection unless it was replaced already.
    fn give_up(&self, used: Option<Rc<PeerConnection>>) {
        let mut present = self.connection.borrow_mut();
        if let (Some(used), Some(known)) = (used, present.as_ref())
            && Rc::ptr_eq(&used, known)
        {
            present.take();
        }
    }

    async fn connect(&self, core: &FleetCore) -> Result<Rc<PeerConnection>, PeerError> {
        if let Some(connection) = self.connection.borrow().as_ref() {
            return Ok(Rc::clone(connection));
        }
        let address = self.address.get();
        let opened = Rc::new(PeerConnection::open(address, &core.metrics).await?);
        if address == self.address.get() {
            *self.connection.borrow_mut() = Some(Rc::clone(&opened));
        }
        Ok(opened)
    }

    /// One heartbeat. A miss replaces the connection.
    async fn heartbeat(&self, core: &FleetCore) -> Result<(), PeerError> {
        let (request, sent) = core.build_heartbeat(&self.instance);
        let request = PeerRequest::Heartbeat(Box::new(request));
        core.metrics.heartbeats_sent.inc();
        let outcome = match self.call(core, &request, HEARTBEAT_DEADLINE).await {
            Ok(PeerResponse::Heartbeat(answer)) => {
                core.take_heartbeat_answer(&self.instance, answer, &sent)
            }
            Ok(_other) => Err(PeerError::OtherAnswer),
            Err(error) => Err(error),
        };
        if outcome.is_err() {
            core.note_undelivered(&self.instance);
        }
        match &outcome {
            Ok(()) => {}
            Err(PeerError::Fenced) => core.note_fenced_by(&self.instance, sent.own()),
            Err(PeerError::Refused(_)) => core.introduce_again(&self.instance),
            Err(_) => self.disconnect(),
        }
        outcome
    }

    /// Fetches a newer configuration when the table does not give it in time.
    async fn catch_up(&self, core: &FleetCore) {
        if !core.is_behind(&self.instance) {
            return;
        }
        core.wake_table_reader();
        let current = |core: &FleetCore| !core.is_behind(&self.instance);
        if !core.wait_at_most(TABLE_HEAD_START, current).await {
            match self.fetch(core).await {
                Ok(()) => info!("configuration fetched from {}", self.instance),
                Err(error) => debug!("configuration not fetched from {}: {error}", self.instance),
            }
        }
    }

    async fn fetch(&self, core: &FleetCore) -> Result<(), PeerError> {
        let revision = core.revision().get();
        let request = PeerRequest::ConfigurationFetch { revision };
        match self.call(core, &request, FETCH_DEADLINE).await? {
            PeerResponse::Configuration(answer) => {
                core.take_fetched(answer);
                Ok(())
            }
            _other => Err(PeerError::OtherAnswer),
        }
    }
}

/// Sends heartbeats until the link is stopped.
async fn run(core: Weak<FleetCore>, link: Weak<PeerLink>) {
    let mut answered = true;
    loop {
        let (Some(core), Some(link)) = (core.upgrade(), link.upgrade()) else {
            return;
        };
        let outcome = link.heartbeat(&core).await;
        if let Err(error) = &outcome {
            core.metrics.heartbeats_missed.inc();
            if answered {
                info!("heartbeat to {} failed: {error}", link.instance);
            }
        }
        answered = outcome.is_ok();
        link.catch_up(&core).await;
        pause(&core, &link.instance, answered).await;
    }
}

/// Waits for the next heartbeat: its time, or news for the peer.
async fn pause(core: &FleetCore, instance: &InstanceName, answered: bool) {
    if !answered {
        return sleep(HEARTBEAT_INTERVAL).await;
    }
    if core.is_spreading_to(instance) {
        return sleep(SPREAD_INTERVAL).await;
    }
    let mut wakes = core.heartbeat_wakes();
    let urgent = async {
        while !core.has_news_for(instance) {
            if wakes.changed().await.is_err() {
                return;
            }
        }
    };
    let _timeout = timeout(HEARTBEAT_INTERVAL, urgent).await;
}
