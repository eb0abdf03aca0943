//! A fleet of entry instances with its platform stand-in and backend servers.

mod builder;
mod links;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use serde::Deserialize;

pub use builder::FleetBuilder;
use links::LinkSet;

use crate::client::TestClient;
use crate::control::{BackendControl, BackendCounts, CatalogRecord, LinkControl, PlatformControl};
use crate::deployment::{DeployedServer, Deployment, contract_text};
use crate::process::{Process, ProcessCommand};

/// Listen addresses of an instance, as it prints them at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct InstanceAddresses {
    /// Address for lookups and requests.
    pub service: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
}

/// An instance of the fleet.
#[derive(Debug)]
pub struct InstanceHandle {
    /// Instance name.
    pub name: String,
    /// Data centre of the instance.
    pub centre: String,
    /// The instance's process.
    pub process: Process,
    /// Addresses of the instance itself, without links.
    pub direct: InstanceAddresses,
    /// Address for callers: the link to the service address, or the service
    /// address itself in a fleet without links.
    pub service: SocketAddr,
}

/// A backend server of the fleet.
#[derive(Debug)]
pub struct BackendHandle {
    /// The server's description in the contract.
    pub server: DeployedServer,
    /// The server's process.
    pub process: Process,
    command: ProcessCommand,
}

/// The processes of a fleet. Dropping it kills them.
#[derive(Debug)]
pub struct Fleet {
    /// A client for callers, operators and control endpoints.
    pub client: TestClient,
    /// Process of the platform stand-in.
    pub platform: Process,
    /// Address of the platform stand-in, without links.
    pub platform_address: SocketAddr,
    /// Instances, in the order in which they were added.
    pub instances: Vec<InstanceHandle>,
    /// Backend servers of all services.
    pub backends: Vec<BackendHandle>,
    deployments: Vec<Deployment>,
    instance_binary: String,
    instance_flags: Vec<(String, String)>,
    links: Option<LinkSet>,
    peer_views: BTreeMap<String, BTreeMap<String, SocketAddr>>,
}

impl Fleet {
    /// The contract files of all deployments, as pairs of file name and text.
    ///
    /// # Errors
    ///
    /// When a contract can't be serialized as TOML.
    pub fn contracts(&self) -> Result<Vec<(String, String)>> {
        let servers: Vec<_> = self.backends.iter().map(|b| b.server.clone()).collect();
        self.deployments
            .iter()
            .map(|deployment| {
                let file = format!("{}.toml", deployment.customer);
                Ok((file, contract_text(deployment, &servers)?))
            })
            .collect()
    }

    /// The deployments. Changes take effect at the next
    /// [`Fleet::apply_contracts`].
    pub const fn deployments(&mut self) -> &mut Vec<Deployment> {
        &mut self.deployments
    }

    /// Applies all contracts through the first instance.
    ///
    /// # Errors
    ///
    /// When there is no instance, or it rejects them.
    pub async fn apply_contracts(&self) -> Result<()> {
        let first = self
            .instances
            .first()
            .ok_or_else(|| eyre!("the fleet has no instances"))?;
        self.client
            .apply(first.direct.operator, &self.contracts()?)
            .await?;
        Ok(())
    }

    /// The instance with this name.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn instance(&mut self, name: &str) -> Result<&mut InstanceHandle> {
        let found = self.instances.iter_mut().find(|i| i.name == name);
        found.ok_or_else(|| eyre!("no instance is named {name}"))
    }

    /// The backend server with this name.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn backend(&mut self, name: &str) -> Result<&mut BackendHandle> {
        let found = self.backends.iter_mut().find(|b| b.server.name == name);
        found.ok_or_else(|| eyre!("no backend server is named {name}"))
    }

    /// Sends a control message to the platform stand-in.
    ///
    /// # Errors
    ///
    /// When it is rejected.
    pub async fn control_platform(&self, message: &PlatformControl) -> Result<()> {
        self.client.control(self.platform_address, message).await?;
        Ok(())
    }

    /// Sends a control message to a backend server.
    ///
    /// # Errors
    ///
    /// When there is no such server, or it rejects the message.
    pub async fn control_backend(&mut self, name: &str, message: &BackendControl) -> Result<()> {
        let address = self.backend(name)?.server.address;
        self.client.control(address, message).await?;
        Ok(())
    }

    /// Reads the counts of a backend server.
    ///
    /// # Errors
    ///
    /// When there is no such server, or it doesn't respond.
    pub async fn backend_counts(&mut self, name: &str) -> Result<BackendCounts> {
        let address = self.backend(name)?.server.address;
        self.client.counts(address).await
    }

    /// Sends a control message to the fault proxy. Links are named
    /// `platform/{instance}`, `service/{instance}` and `peer/{from}/{to}`, where
    /// `from` is the instance that connects.
    ///
    /// # Errors
    ///
    /// When the fleet has no links, or no link matches.
    pub async fn control_link(&self, message: &LinkControl) -> Result<()> {
        let links = self
            .links
            .as_ref()
            .ok_or_else(|| eyre!("the fleet has no links"))?;
        links.control(&self.client, message).await
    }

    /// Starts another instance and registers it in the instance list.
    ///
    /// # Errors
    ///
    /// When it fails to start.
    pub async fn start_instance(&mut self, name: &str, centre: &str) -> Result<()> {
        let handle = self.launch(name, centre).await?;
        self.instances.push(handle);
        self.register(name, "live").await
    }

    /// Kills an instance, if it is running, and restarts it with the same name
    /// on new ports.
    ///
    /// # Errors
    ///
    /// When there is no such instance, or it fails to start.
    pub async fn restart_instance(&mut self, name: &str) -> Result<()> {
        self.relaunch_instance(name).await?;
        self.register(name, "live").await
    }

    /// Kills an instance, if it is running, and restarts it with the same name
    /// on new ports, without registering it in the instance list.
    ///
    /// # Errors
    ///
    /// When there is no such instance, or it fails to start.
    pub async fn relaunch_instance(&mut self, name: &str) -> Result<()> {
        let old = self.instance(name)?;
        old.process.kill()?;
        let centre = old.centre.clone();
        let handle = self.launch(name, &centre).await?;
        *self.instance(name)? = handle;
        Ok(())
    }

    /// Starts another backend server, for example of a new version. It is part
    /// of the contract from the next [`Fleet::apply_contracts`] on.
    ///
    /// # Errors
    ///
    /// When there is no such customer or service, or the server fails to start.
    pub async fn start_backend(
        &mut self,
        customer: &str,
        service: &str,
        centre: &str,
        name: &str,
        version: &str,
    ) -> Result<()> {
        let deployment = self.deployments.iter().find(|d| d.customer == customer);
        let deployment = deployment.ok_or_else(|| eyre!("no customer is named {customer}"))?;
        let spec = deployment.services.iter().find(|s| s.name == service);
        let spec = spec.ok_or_else(|| eyre!("no service is named {service}"))?;
        let mut backend = builder::start_backend(deployment, spec, centre, name, version)?;
        backend.server.address = backend.process.wait_for_address("listening").await?;
        self.backends.push(backend);
        Ok(())
    }

    /// Kills a backend server, if it is running, and restarts it at the same
    /// address.
    ///
    /// # Errors
    ///
    /// When there is no such server, or it fails to start.
    pub async fn restart_backend(&mut self, name: &str) -> Result<()> {
        let backend = self.backend(name)?;
        backend.process.kill()?;
        let address = backend.server.address;
        let command = backend.command.clone().flag("--listen", &address);
        backend.process = command.start()?;
        backend.process.wait_for_address("listening").await?;
        Ok(())
    }

    /// Registers a running instance in the instance list with the state `live`
    /// or `leaving`.
    ///
    /// # Errors
    ///
    /// When there is no such instance.
    pub async fn register(&mut self, name: &str, state: &str) -> Result<()> {
        self.connect_peers(name).await?;
        let peer_views = self.links.is_some().then(|| self.peer_views.clone());
        let handle = self.instance(name)?;
        let meta = [
            ("data_centre", handle.centre.clone()),
            ("peer_address", handle.direct.peer.to_string()),
            ("state", state.to_owned()),
        ];
        let record = CatalogRecord {
            id: handle.name.clone(),
            address: handle.service.ip(),
            port: handle.service.port(),
            meta: meta.map(|(k, v)| (k.to_owned(), v)).into(),
        };
        let message = PlatformControl {
            register: Some(record),
            peer_views,
            ..PlatformControl::default()
        };
        self.control_platform(&message).await
    }

    /// Removes an instance from the instance list. Its process isn't changed.
    ///
    /// # Errors
    ///
    /// When the platform stand-in doesn't respond.
    pub async fn deregister(&self, name: &str) -> Result<()> {
        let message = PlatformControl {
            deregister: Some(name.to_owned()),
            ..PlatformControl::default()
        };
        self.control_platform(&message).await
    }

    /// Shuts down all instances gracefully, with `timeout` for each, then kills
    /// the stand-ins. Returns the exit statuses by instance name.
    ///
    /// # Errors
    ///
    /// When an instance is still running after its timeout.
    pub async fn shutdown(
        mut self,
        timeout: Duration,
    ) -> Result<BTreeMap<String, std::process::ExitStatus>> {
        for instance in &mut self.instances {
            if instance.process.is_running() {
                instance.process.terminate()?;
            }
        }
        let mut statuses = BTreeMap::new();
        for instance in &mut self.instances {
            let status = instance.process.wait_for_exit(timeout).await?;
            statuses.insert(instance.name.clone(), status);
        }
        Ok(statuses)
    }

    async fn launch(&mut self, name: &str, centre: &str) -> Result<InstanceHandle> {
        let platform = self
            .link(&format!("platform/{name}"), self.platform_address)
            .await?;
        let mut command = ProcessCommand::new(&self.instance_binary)
            .flag("--instance", name)
            .flag("--data-centre", centre)
            .flag("--service-address", "127.0.0.1:0")
            .flag("--operator-address", "127.0.0.1:0")
            .flag("--peer-address", "127.0.0.1:0")
            .flag("--table-url", &format!("http://{platform}"))
            .flag("--object-url", &format!("http://{platform}"))
            .flag("--list-url", &format!("http://{platform}/view/{name}"));
        for (flag, value) in &self.instance_flags {
            command = command.flag(flag, value);
        }
        let mut process = command.start()?;
        let direct: InstanceAddresses = process
            .wait_for_line(|line| serde_json::from_str(line).ok())
            .await
            .wrap_err_with(|| format!("instance {name}"))?;
        let service = self
            .link(&format!("service/{name}"), direct.service)
            .await?;
        Ok(InstanceHandle {
            name: name.to_owned(),
            centre: centre.to_owned(),
            process,
            direct,
            service,
        })
    }

    /// Opens the links between an instance and every other one, one for each
    /// direction of connecting.
    async fn connect_peers(&mut self, name: &str) -> Result<()> {
        let own_address = self.instance(name)?.direct.peer;
        let others: Vec<_> = self
            .instances
            .iter()
            .filter(|other| other.name != name)
            .map(|other| (other.name.clone(), other.direct.peer))
            .collect();
        for (other, address) in others {
            let outbound = self.link(&format!("peer/{name}/{other}"), address).await?;
            let inbound = self
                .link(&format!("peer/{other}/{name}"), own_address)
                .await?;
            let view = self.peer_views.entry(name.to_owned()).or_default();
            view.insert(other.clone(), outbound);
            let view = self.peer_views.entry(other).or_default();
            view.insert(name.to_owned(), inbound);
        }
        Ok(())
    }

    /// Points a link at `target` and returns the address of the link, or `target`
    /// itself when the fleet has no links.
    async fn link(&mut self, name: &str, target: SocketAddr) -> Result<SocketAddr> {
        match &mut self.links {
            Some(links) => links.set_target(&self.client, name, target).await,
            None => Ok(target),
        }
    }
}
