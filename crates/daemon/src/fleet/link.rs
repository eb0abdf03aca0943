//! The client side of the link to one other instance: its connection and its heartbeats.

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

/// Interval between heartbeats to a peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a heartbeat, including the time to open a connection.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between heartbeats while a change waits for the peer to apply it.
const PROPAGATION_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before a newer revision is fetched from a peer, so that the table can
/// deliver it first.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(250);

/// Timeout of fetching the configuration from a peer. Heartbeats to the peer wait
/// for the fetch, so the timeout is shorter than the lifetime of a proof.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The client side of the link to one instance.
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
        let task = actix_rt::spawn(send_heartbeats(Rc::downgrade(core), Rc::downgrade(&link)));
        *link.task.borrow_mut() = Some(task);
        link
    }

    /// Stops the heartbeats and closes the connection.
    pub(super) fn close(&self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.disconnect();
    }

    /// Sets the address from the instance list; a change closes the connection.
    pub(super) fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.disconnect();
        }
    }

    /// Drops the connection; the next call opens a new one.
    pub(super) fn disconnect(&self) {
        self.connection.take();
    }

    /// Sends a request and waits for its response, `call_timeout` at most. A failure
    /// of the stream or the body discards the connection. After a timeout it stays
    /// for the next call; a heartbeat that times out replaces it, as the peer may
    /// have become unreachable over it.
    pub(super) async fn call(
        &self,
        core: &FleetCore,
        request: &PeerRequest,
        call_timeout: Duration,
    ) -> Result<PeerResponse, PeerError> {
        let used = Cell::new(None);
        let exchange = async {
            let connection = self.connect(core).await?;
            used.set(Some(Rc::clone(&connection)));
            connection.call(request).await
        };
        let outcome = timeout(call_timeout, exchange).await;
        let outcome = outcome.unwrap_or(Err(PeerError::TimedOut));
        if let Err(PeerError::Stream(_) | PeerError::Body(_)) = outcome {
            self.discard_connection(used.take());
        }
        outcome
    }

    /// Drops the connection that a call used, unless it was replaced already.
    fn discard_connection(&self, used: Option<Rc<PeerConnection>>) {
        let mut current = self.connection.borrow_mut();
        if let (Some(used), Some(known)) = (used, current.as_ref())
            && Rc::ptr_eq(&used, known)
        {
            current.take();
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

    /// Sends one heartbeat. A failure drops the connection, unless the peer responded
    /// with a rejection.
    async fn heartbeat(&self, core: &FleetCore) -> Result<(), PeerError> {
        let (request, sent) = core.build_heartbeat(&self.instance);
        let request = PeerRequest::Heartbeat(Box::new(request));
        core.metrics.heartbeats_sent.inc();
        let outcome = match self.call(core, &request, HEARTBEAT_TIMEOUT).await {
            Ok(PeerResponse::Heartbeat(response)) => {
                core.handle_heartbeat_response(&self.instance, response, &sent)
            }
            Ok(_other) => Err(PeerError::UnexpectedResponse),
            Err(error) => Err(error),
        };
        if outcome.is_err() {
            core.record_undelivered(&self.instance);
        }
        match &outcome {
            Ok(()) => {}
            Err(PeerError::Fenced) => core.handle_fenced_by(&self.instance, sent.own()),
            Err(PeerError::Rejected(_)) => core.reset_introduction(&self.instance),
            Err(_) => self.disconnect(),
        }
        outcome
    }

    /// Fetches a newer configuration from the peer if the table does not deliver it
    /// in time.
    async fn catch_up(&self, core: &FleetCore) {
        if !core.is_behind(&self.instance) {
            return;
        }
        core.wake_table_reader();
        let current = |core: &FleetCore| !core.is_behind(&self.instance);
        if !core.wait_with_timeout(PEER_FETCH_DELAY, current).await {
            match self.fetch(core).await {
                Ok(()) => info!("configuration fetched from {}", self.instance),
                Err(error) => debug!("configuration not fetched from {}: {error}", self.instance),
            }
        }
    }

    async fn fetch(&self, core: &FleetCore) -> Result<(), PeerError> {
        let revision = core.revision().get();
        let request = PeerRequest::ConfigurationFetch { revision };
        match self.call(core, &request, FETCH_TIMEOUT).await? {
            PeerResponse::Configuration(response) => {
                core.apply_fetched(response);
                Ok(())
            }
            _other => Err(PeerError::UnexpectedResponse),
        }
    }
}

/// Sends heartbeats until the link is closed.
async fn send_heartbeats(core: Weak<FleetCore>, link: Weak<PeerLink>) {
    let mut responded = true;
    loop {
        let (Some(core), Some(link)) = (core.upgrade(), link.upgrade()) else {
            return;
        };
        let outcome = link.heartbeat(&core).await;
        if let Err(error) = &outcome {
            core.metrics.heartbeats_missed.inc();
            if responded {
                info!("heartbeat to {} failed: {error}", link.instance);
            }
        }
        responded = outcome.is_ok();
        link.catch_up(&core).await;
        wait_for_next_heartbeat(&core, &link.instance, responded).await;
    }
}

/// Waits until the next heartbeat is due, or the peer lacks urgent updates.
async fn wait_for_next_heartbeat(core: &FleetCore, instance: &InstanceName, responded: bool) {
    if !responded {
        return sleep(HEARTBEAT_INTERVAL).await;
    }
    if core.is_propagating_to(instance) {
        return sleep(PROPAGATION_INTERVAL).await;
    }
    let mut wakes = core.heartbeat_wakes();
    let urgent = async {
        while !core.has_urgent_updates_for(instance) {
            if wakes.changed().await.is_err() {
                return;
            }
        }
    };
    let _timeout = timeout(HEARTBEAT_INTERVAL, urgent).await;
}
