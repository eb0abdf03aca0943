//! Structure of a contract file, as deserialized before any check.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::ids::{
    CentreName, CustomerName, RegionName, ServerName, ServiceName, TeamName, VersionName,
};
use crate::units::{BurstSize, ByteSize, RequestRate, SlotCount, TimeSpan};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ContractFile {
    pub(super) customer: CustomerName,
    pub(super) lookup: LookupEntry,
    pub(super) region: Vec<RegionEntry>,
    pub(super) data_centre: Vec<CentreEntry>,
    #[serde(default)]
    pub(super) link: Vec<LinkEntry>,
    pub(super) team: Vec<TeamEntry>,
    pub(super) service: Vec<ServiceEntry>,
    #[serde(default)]
    pub(super) client_block: Vec<BlockEntry>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LookupEntry {
    pub(super) valid_for: TimeSpan,
    pub(super) instances: usize,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RegionEntry {
    pub(super) name: RegionName,
    pub(super) capacity: SlotCount,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CentreEntry {
    pub(super) name: CentreName,
    pub(super) region: RegionName,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LinkEntry {
    pub(super) from: RegionName,
    pub(super) to: RegionName,
    pub(super) megabits: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TeamEntry {
    pub(super) name: TeamName,
    pub(super) rate: RequestRate,
    pub(super) burst: BurstSize,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServiceEntry {
    pub(super) name: ServiceName,
    pub(super) version: VersionName,
    pub(super) route: Vec<RouteEntry>,
    pub(super) server: Vec<ServerEntry>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum KindEntry {
    Idempotent,
    Once,
    Slow,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RouteEntry {
    pub(super) path: String,
    pub(super) methods: BTreeSet<String>,
    pub(super) kind: KindEntry,
    #[serde(default)]
    pub(super) open: bool,
    pub(super) timeout: TimeSpan,
    pub(super) max_body: Option<ByteSize>,
    pub(super) max_answer: Option<ByteSize>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServerEntry {
    pub(super) name: ServerName,
    pub(super) address: SocketAddr,
    pub(super) data_centre: CentreName,
    pub(super) slots: SlotCount,
    pub(super) connections: u32,
    pub(super) version: VersionName,
    #[serde(default)]
    pub(super) leaving: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct BlockEntry {
    pub(super) prefix: String,
    pub(super) data_centre: CentreName,
}
