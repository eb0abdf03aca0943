//! Options and start of a fleet.

use std::collections::BTreeMap;

use eyre::Result;

use super::links::LinkSet;
use super::{BackendHandle, Fleet};
use crate::client::TestClient;
use crate::control::PlatformControl;
use crate::deployment::{DeployedServer, Deployment, ServiceSpec};
use crate::process::ProcessCommand;

/// Options of a fleet.
///
/// Instances are named `i1`, `i2` and so on. Backend servers are named
/// `{service}-{data centre}-{number}`.
#[derive(Debug, Clone)]
pub struct FleetBuilder {
    deployments: Vec<Deployment>,
    instances: usize,
    centres: Option<Vec<String>>,
    links: bool,
    list_lag_ms: u64,
    instance_binary: String,
    instance_flags: Vec<(String, String)>,
}

impl FleetBuilder {
    /// A fleet for these deployments, with their backend servers and without
    /// instances.
    #[must_use]
    pub fn new(deployments: impl IntoIterator<Item = Deployment>) -> Self {
        Self {
            deployments: deployments.into_iter().collect(),
            instances: 0,
            centres: None,
            links: false,
            list_lag_ms: 0,
            instance_binary: "tarragonpulleyd".to_owned(),
            instance_flags: Vec::new(),
        }
    }

    /// Sets the number of instances; the default is 0.
    #[must_use]
    pub const fn instances(mut self, count: usize) -> Self {
        self.instances = count;
        self
    }

    /// Sets the data centres that instances are placed in, round-robin. By
    /// default these are the data centres of all deployments, interleaved.
    #[must_use]
    pub fn centres(mut self, centres: &[&str]) -> Self {
        self.centres = Some(centres.iter().map(|&c| c.to_owned()).collect());
        self
    }

    /// Routes connections through links of a fault proxy: to each instance's
    /// service address, from each instance to the platform, and between each two
    /// instances in either direction.
    #[must_use]
    pub const fn links(mut self, links: bool) -> Self {
        self.links = links;
        self
    }

    /// Sets the propagation delay of changes to the instance list.
    #[must_use]
    pub const fn list_lag_ms(mut self, lag: u64) -> Self {
        self.list_lag_ms = lag;
        self
    }

    /// Sets the binary of the instances; the default is `tarragonpulleyd`.
    #[must_use]
    pub fn instance_binary(mut self, binary: &str) -> Self {
        binary.clone_into(&mut self.instance_binary);
        self
    }

    /// Adds a flag to the command line of each instance.
    #[must_use]
    pub fn instance_flag(mut self, name: &str, value: &(impl ToString + ?Sized)) -> Self {
        self.instance_flags
            .push((name.to_owned(), value.to_string()));
        self
    }

    /// Starts all processes. Doesn't apply the contracts.
    ///
    /// # Errors
    ///
    /// When a process fails to start.
    pub async fn start(self) -> Result<Fleet> {
        let mut platform = ProcessCommand::new("standin-platform")
            .arg("--until-stdin-closes")
            .start()?;
        let platform_address = platform.wait_for_address("listening").await?;
        let links = if self.links {
            Some(LinkSet::start().await?)
        } else {
            None
        };
        let mut fleet = Fleet {
            client: TestClient::new(),
            platform,
            platform_address,
            instances: Vec::new(),
            backends: self.start_backends().await?,
            deployments: self.deployments.clone(),
            instance_binary: self.instance_binary.clone(),
            instance_flags: self.instance_flags.clone(),
            links,
            peer_views: BTreeMap::new(),
        };
        fleet
            .control_platform(&PlatformControl {
                list_lag_ms: Some(self.list_lag_ms),
                ..PlatformControl::default()
            })
            .await?;
        let centres = self.instance_centres();
        for (number, centre) in (1..=self.instances).zip(centres.iter().cycle()) {
            fleet.start_instance(&format!("i{number}"), centre).await?;
        }
        Ok(fleet)
    }

    fn instance_centres(&self) -> Vec<String> {
        if let Some(centres) = &self.centres {
            return centres.clone();
        }
        let by_customer: Vec<_> = self.deployments.iter().map(Deployment::centres).collect();
        let max_centres = by_customer.iter().map(Vec::len).max().unwrap_or(0);
        (0..max_centres)
            .flat_map(|index| by_customer.iter().filter_map(move |list| list.get(index)))
            .cloned()
            .collect()
    }

    async fn start_backends(&self) -> Result<Vec<BackendHandle>> {
        let mut backends = Vec::new();
        for deployment in &self.deployments {
            for service in &deployment.services {
                for centre in deployment.centres() {
                    for number in 1..=service.servers_per_centre {
                        let name = format!("{}-{centre}-{number}", service.name);
                        let version = &service.version;
                        backends.push(start_backend(deployment, service, &centre, &name, version)?);
                    }
                }
            }
        }
        for backend in &mut backends {
            backend.server.address = backend.process.wait_for_address("listening").await?;
        }
        Ok(backends)
    }
}

pub(super) fn start_backend(
    deployment: &Deployment,
    service: &ServiceSpec,
    centre: &str,
    name: &str,
    version: &str,
) -> Result<BackendHandle> {
    let command = ProcessCommand::new("standin-backend")
        .arg("--until-stdin-closes")
        .flag("--name", name)
        .flag("--version", version)
        .flag("--slots", &service.slots)
        .flag("--work-ms", &service.work_ms)
        .flag("--cold-ms", &service.cold_ms);
    Ok(BackendHandle {
        server: DeployedServer {
            customer: deployment.customer.clone(),
            service: service.name.clone(),
            name: name.to_owned(),
            version: version.to_owned(),
            centre: centre.to_owned(),
            // Replaced once the server has printed its address.
            address: ([0, 0, 0, 0], 0).into(),
            leaving: false,
        },
        process: command.start()?,
        command,
    })
}
