//! Selection and order of the entry instances that a client should use.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::contract::{ClientBlock, CustomerContract};
use crate::ids::{CentreName, InstanceName};
use crate::snapshot::{ConfigSnapshot, DrainTarget};

const IPV4_BITS: u8 = 32;

/// The data centre of each client block.
///
/// Blocks may be nested; the longest matching prefix wins. One ordered map keyed
/// by prefix length and address holds all blocks, so a lookup costs one search
/// for each prefix length in use. Blocks refer to their data centre by its
/// index in `centres`, because a name in each of 1.9 million blocks would take
/// 130 MB.
#[derive(Debug, Clone, Default)]
pub struct BlockTable {
    centres: Vec<CentreName>,
    blocks: BTreeMap<(u8, u32), u32>,
    prefix_lengths: BTreeSet<u8>,
}

impl BlockTable {
    /// Builds the table from the client blocks of a contract.
    #[must_use]
    pub fn new(blocks: &[ClientBlock]) -> Self {
        let mut indexes = BTreeMap::new();
        let mut centres = Vec::new();
        let mut table = BTreeMap::new();
        for block in blocks {
            let index = *indexes.entry(&block.centre).or_insert_with(|| {
                centres.push(block.centre.clone());
                u32::try_from(centres.len() - 1).unwrap_or(u32::MAX)
            });
            table.insert((block.prefix, block.first), index);
        }
        Self {
            centres,
            blocks: table,
            prefix_lengths: blocks.iter().map(|block| block.prefix).collect(),
        }
    }

    /// The data centre of the longest block that contains the client. IPv6
    /// addresses are in no block, except IPv4-mapped ones.
    #[must_use]
    pub fn centre_of(&self, client: IpAddr) -> Option<&CentreName> {
        let IpAddr::V4(address) = client.to_canonical() else {
            return None;
        };
        let address = u32::from(address);
        self.prefix_lengths.iter().rev().find_map(|prefix_length| {
            let shift = u32::from(IPV4_BITS - prefix_length);
            let mask = u32::MAX.checked_shl(shift).unwrap_or(0);
            let index = self.blocks.get(&(*prefix_length, address & mask))?;
            self.centres.get(usize::try_from(*index).ok()?)
        })
    }
}

/// An entry instance that a lookup may return.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryState {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The data centre that it runs in.
    pub centre: CentreName,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// Whether the failure detector considers it live.
    pub reachable: bool,
    /// Whether it is leaving the fleet.
    pub leaving: bool,
}

/// The response to a lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookupResponse {
    /// Instances in order of preference.
    pub instances: Vec<EntryState>,
    /// Time for which the client may cache the response.
    pub valid_for: Duration,
}

/// Distance of an instance from a client, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameCentre,
    SameRegion,
    OtherRegion,
}

/// Builds the response to a lookup of `client`.
///
/// `default_centre` is assumed for a client that is in no block; it is usually
/// the data centre of the instance that received the lookup. Leaving instances
/// are omitted unless no other is known. Unreachable instances and those in a
/// drained data centre come last. Instances at the same distance are ordered by
/// a hash of the client and the instance, so that clients spread over them.
#[must_use]
pub fn lookup_response(
    snapshot: &ConfigSnapshot,
    contract: &CustomerContract,
    blocks: &BlockTable,
    entries: &[EntryState],
    client: IpAddr,
    default_centre: &CentreName,
) -> LookupResponse {
    let centre = blocks.centre_of(client).unwrap_or(default_centre);
    let leaving = |entry: &EntryState| {
        entry.leaving
            || snapshot
                .drains
                .contains(&DrainTarget::Instance(entry.instance.clone()))
    };
    let rank = |entry: &EntryState| {
        let drain = DrainTarget::Centre(contract.customer.clone(), entry.centre.clone());
        (
            leaving(entry),
            !entry.reachable,
            snapshot.drains.contains(&drain),
            distance(contract, centre, &entry.centre),
            client_hash(client, &entry.instance),
        )
    };
    let mut instances: Vec<EntryState> = entries.to_vec();
    if instances.iter().any(|entry| !leaving(entry)) {
        instances.retain(|entry| !leaving(entry));
    }
    instances.sort_by_cached_key(rank);
    instances.truncate(contract.lookup.instances);
    LookupResponse {
        instances,
        valid_for: contract.lookup.valid_for,
    }
}

fn distance(contract: &CustomerContract, client: &CentreName, entry: &CentreName) -> Distance {
    let region = contract.region_of(client);
    if client == entry {
        Distance::SameCentre
    } else if region.is_some() && region == contract.region_of(entry) {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}

fn client_hash(client: IpAddr, instance: &InstanceName) -> u64 {
    let mut hasher = DefaultHasher::new();
    client.to_canonical().hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}
