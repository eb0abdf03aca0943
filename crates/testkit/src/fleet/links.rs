//! The links of a fleet: one fault proxy process with a link for each ordered
//! pair of processes that connect.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eyre::{Result, WrapErr};
use serde_json::Value;

use crate::client::{TestClient, TestRequest};
use crate::control::{LinkControl, LinkTarget};
use crate::process::{Process, ProcessCommand};

#[derive(Debug)]
pub(super) struct LinkSet {
    _process: Process,
    control: SocketAddr,
    addresses: BTreeMap<String, SocketAddr>,
}

impl LinkSet {
    pub(super) async fn start() -> Result<Self> {
        let mut process = ProcessCommand::new("fault-proxy")
            .arg("--until-stdin-closes")
            .start()?;
        let control = process.wait_for_address("control").await?;
        Ok(Self {
            _process: process,
            control,
            addresses: BTreeMap::new(),
        })
    }

    /// Sets the target of a link, which is added if it doesn't exist, and returns
    /// the link's listen address. The address stays the same when the target is
    /// restarted on another port.
    pub(super) async fn set_target(
        &mut self,
        client: &TestClient,
        link: &str,
        target: SocketAddr,
    ) -> Result<SocketAddr> {
        if let Some(address) = self.addresses.get(link) {
            let message = LinkControl {
                link: link.to_owned(),
                target: Some(target),
                ..LinkControl::default()
            };
            client.control(self.control, &message).await?;
            return Ok(*address);
        }
        let request = TestRequest::post("/control/links").json(&LinkTarget {
            link: link.to_owned(),
            target,
        });
        let response: Value = client.expect_json(self.control, &request).await?;
        let address = serde_json::from_value(response["address"].clone())
            .wrap_err("the fault proxy returned no valid address")?;
        self.addresses.insert(link.to_owned(), address);
        Ok(address)
    }

    pub(super) async fn control(&self, client: &TestClient, message: &LinkControl) -> Result<()> {
        client.control(self.control, message).await?;
        Ok(())
    }
}
