//! Tests of the launcher, with minimal instances that only send their name.

use std::net::SocketAddr;
use std::process::ExitStatus;

use actix_rt::time::timeout;
use tarragonpulley_backing::{HttpInstanceList, InstanceList, ListedInstance};
use tarragonpulley_policy::contract::CustomerContract;
use tarragonpulley_testkit::{
    BackendControl, BackendFault, Deployment, DirectionFault, Fleet, FleetBuilder, LinkControl,
    ProcessCommand, TestRequest, wait_until,
};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::{QUIET_PERIOD, WAIT_TIMEOUT, block_on};

fn first_region_and_service(deployment: Deployment) -> Deployment {
    let mut deployment = deployment.first_regions(1);
    deployment.services.truncate(1);
    deployment
}

fn builder(instances: usize) -> FleetBuilder {
    FleetBuilder::new([first_region_and_service(Deployment::lunwan())])
        .instance_binary("examples/plain-instance")
        .instances(instances)
}

/// Reads the name that the instance at `address` sends.
async fn name_at(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let mut name = String::new();
    stream.read_to_string(&mut name).await.unwrap();
    name
}

async fn list_seen_by(fleet: &Fleet, reader: &str) -> Vec<ListedInstance> {
    let url = format!("http://{}/view/{reader}", fleet.platform_address);
    HttpInstanceList::new(url, WAIT_TIMEOUT)
        .read()
        .await
        .unwrap()
}

/// Guards against invalid contract files, and against server addresses in them
/// on which no server listens.
#[test]
fn contracts_are_valid_and_list_the_running_servers() {
    block_on(async {
        let deployments = [Deployment::lunwan(), Deployment::al_jabal()];
        let fleet = FleetBuilder::new(deployments.map(|d| d.first_regions(2)));
        let fleet = fleet.start().await.unwrap();
        let contracts = fleet.contracts().unwrap();
        let names: Vec<_> = contracts.iter().map(|(file, _)| file.as_str()).collect();
        assert_eq!(names, ["lunwan.toml", "al-jabal.toml"]);
        for (file, text) in contracts {
            let contract = CustomerContract::parse(&file, &text).unwrap();
            assert_eq!((contract.regions.len(), contract.centres.len()), (2, 4));
            assert_eq!((contract.teams.len(), contract.services.len()), (8, 3));
            for server in contract.services.values().flat_map(|s| s.servers.values()) {
                let request = TestRequest::get("/health");
                let response = fleet.client.send(server.address, &request).await.unwrap();
                assert_eq!(response.code(), 200);
            }
        }
    });
}

/// Guards against list entries that don't match the running instances, and
/// against a shutdown that kills instances.
#[test]
fn starts_registers_and_shuts_down_instances() {
    block_on(async {
        let mut fleet = builder(3).start().await.unwrap();
        let listed = list_seen_by(&fleet, "i1").await;
        assert_eq!(listed.len(), 3);
        for (entry, instance) in listed.iter().zip(&fleet.instances) {
            assert_eq!(entry.instance.as_str(), instance.name);
            assert_eq!(entry.centre.as_str(), instance.centre);
            assert_eq!(entry.service_address, instance.direct.service);
            assert_eq!(entry.peer_address, instance.direct.peer);
        }
        let centres: Vec<_> = fleet.instances.iter().map(|i| i.centre.as_str()).collect();
        assert_eq!(centres, ["north-1", "north-2", "north-1"]);
        fleet.register("i2", "leaving").await.unwrap();
        fleet.deregister("i3").await.unwrap();
        assert_eq!(list_seen_by(&fleet, "i1").await.len(), 2);
        let statuses = fleet.shutdown(WAIT_TIMEOUT).await.unwrap();
        assert_eq!(statuses.len(), 3);
        assert!(statuses.values().all(ExitStatus::success), "{statuses:?}");
    });
}

/// Guards against processes that outlive their handle, or that can't be paused.
#[test]
fn a_process_is_paused_resumed_and_killed() {
    block_on(async {
        let mut fleet = builder(1).start().await.unwrap();
        let instance = fleet.instance("i1").unwrap();
        let address = instance.direct.service;
        assert_eq!(name_at(address).await, "i1");
        instance.process.pause().unwrap();
        assert!(timeout(QUIET_PERIOD, name_at(address)).await.is_err());
        instance.process.resume().unwrap();
        assert_eq!(timeout(WAIT_TIMEOUT, name_at(address)).await.unwrap(), "i1");
        drop(fleet);
        assert!(TcpStream::connect(address).await.is_err());
    });
}

/// Guards against waiting forever for a process that has exited, and against
/// errors without its output.
#[test]
fn a_process_that_exits_early_is_reported_with_its_output() {
    block_on(async {
        let mut process = ProcessCommand::new("examples/plain-instance")
            .start()
            .unwrap();
        let error = process.wait_for_address("listening").await.unwrap_err();
        assert!(error.to_string().contains("is missing"), "{error}");
        let error = ProcessCommand::new("no-such-binary").start().unwrap_err();
        assert!(error.to_string().contains("--workspace"), "{error}");
    });
}

/// Guards against links that connect the wrong instances, that are shared
/// between pairs, or that still forward to the old ports of a restarted
/// instance.
#[test]
fn each_pair_of_instances_has_its_own_links() {
    block_on(async {
        let mut fleet = builder(3).links(true).start().await.unwrap();
        fleet.restart_instance("i2").await.unwrap();
        let mut addresses = Vec::new();
        for reader in ["i1", "i2", "i3"] {
            for entry in list_seen_by(&fleet, reader).await {
                let name = entry.instance.to_string();
                assert_eq!(name_at(entry.service_address).await, name);
                assert_eq!(name_at(entry.peer_address).await, name);
                if name != reader {
                    addresses.push(((reader, name), entry.peer_address));
                }
            }
        }
        assert_eq!(addresses.len(), 6);
        let cut = DirectionFault {
            cut: true,
            ..DirectionFault::default()
        };
        fleet
            .control_link(&LinkControl {
                link: "peer/i1/i2".to_owned(),
                to_client: Some(cut),
                ..LinkControl::default()
            })
            .await
            .unwrap();
        for ((from, to), address) in addresses {
            let is_cut = (from, to.as_str()) == ("i1", "i2");
            let wait_time = if is_cut { QUIET_PERIOD } else { WAIT_TIMEOUT };
            let name = timeout(wait_time, name_at(address)).await;
            assert_eq!(name.is_err(), is_cut, "{from} to {to}");
        }
    });
}

/// Guards against a restarted backend server that listens on another address
/// than the one in the contract.
#[test]
fn a_backend_server_restarts_at_its_address() {
    block_on(async {
        let mut fleet = builder(0).start().await.unwrap();
        let name = "fitdesk-north-1-1";
        let crash = BackendControl {
            fault: Some(BackendFault {
                crash_marker: Some("poison".to_owned()),
                ..BackendFault::default()
            }),
            ..BackendControl::default()
        };
        fleet.control_backend(name, &crash).await.unwrap();
        let address = fleet.backend(name).unwrap().server.address;
        let request = TestRequest::post("/fit").body("poison");
        assert!(fleet.client.send(address, &request).await.is_err());
        wait_until("the server has exited", WAIT_TIMEOUT, async || {
            !fleet.backend(name).unwrap().process.is_running()
        })
        .await
        .unwrap();
        fleet.restart_backend(name).await.unwrap();
        assert_eq!(fleet.backend_counts(name).await.unwrap().all.started, 0);
    });
}

/// Guards against contracts without the servers that were started later, which a
/// rollout needs for its new version.
#[test]
fn contracts_list_a_server_that_was_added() {
    block_on(async {
        let mut fleet = builder(0).start().await.unwrap();
        fleet
            .start_backend("lunwan", "fitdesk", "north-2", "new", "v2")
            .await
            .unwrap();
        let (file, text) = fleet.contracts().unwrap().remove(0);
        let contract = CustomerContract::parse(&file, &text).unwrap();
        let service = contract.services.values().next().unwrap();
        let server = &service.servers[&"new".parse().unwrap()];
        assert_eq!(server.version.as_str(), "v2");
        assert_eq!(service.version.as_str(), "v1");
        let response = fleet
            .client
            .send(server.address, &TestRequest::get("/fit"))
            .await;
        let body: serde_json::Value = response.unwrap().json().unwrap();
        assert_eq!(body["version"], "v2");
    });
}
