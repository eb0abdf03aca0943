//! Which entry instances a client shall use, and in which order.

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
/// Blocks may lie inside each other; the longest prefix wins. One ordered map
/// by prefix length and address holds all of them, so a look-up costs one
/// search for each length in use. Blocks name their data centre by its index
/// in `centres`: a name in each of 1.9 million blocks takes 130 MB.
#[derive(Debug, Clone, Default)]
pub struct BlockTable {
    centres: Vec<CentreName>,
    blocks: BTreeMap<(u8, u32), u32>,
    lengths: BTreeSet<u8>,
}

impl BlockTable {
    /// Builds the table of a contract.
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
            lengths: blocks.iter().map(|block| block.prefix).collect(),
        }
    }

    /// The data centre of a client. IPv6 addresses other than mapped IPv4 ones
    /// are in no block.
    #[must_use]
    pub fn centre_of(&self, client: IpAddr) -> Option<&CentreName> {
        let IpAddr::V4(address) = client.to_canonical() else {
            return None;
        };
        let address = u32::from(address);
        self.lengths.iter().rev().find_map(|length| {
            let shift = u32::from(IPV4_BITS - length);
            let mask = u32::MAX.checked_shl(shift).unwrap_or(0);
            let index = self.blocks.get(&(*length, address & mask))?;
            self.centres.get(usize::try_from(*index).ok()?)
        })
    }
}

/// An entry instance as the answer sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryState {
    /// Its name.
    pub instance: InstanceName,
    /// Its data centre.
    pub centre: CentreName,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Whether it answers.
    pub answering: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookupAnswer {
    /// Instances, the best one first.
    pub instances: Vec<EntryState>,
    /// How long the client may keep the answer.
    pub valid_for: Duration,
}

/// How far an instance is from a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameCentre,
    SameRegion,
    Elsewhere,
}

/// Answers a look-up of `client`.
///
/// `home` is the data centre of a client that is in no block, usually the one
/// of the instance that was asked. Leaving instances are left out unless no
/// other is known; those that do not answer, or whose data centre is drained,
/// come last. Instances at the same distance are ordered by a hash of the
/// client, so that equal clients spread over them.
#[must_use]
pub fn answer_lookup(
    snapshot: &ConfigSnapshot,
    contract: &CustomerContract,
    blocks: &BlockTable,
    entries: &[EntryState],
    client: IpAddr,
    home: &CentreName,
) -> LookupAnswer {
    let centre = blocks.centre_of(client).unwrap_or(home);
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
            !entry.answering,
            snapshot.drains.contains(&drain),
            distance(contract, centre, &entry.centre),
            spread(client, &entry.instance),
        )
    };
    let mut instances: Vec<EntryState> = entries.to_vec();
    if instances.iter().any(|entry| !leaving(entry)) {
        instances.retain(|entry| !leaving(entry));
    }
    instances.sort_by_cached_key(rank);
    instances.truncate(contract.lookup.instances);
    LookupAnswer {
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
        Distance::Elsewhere
    }
}

fn spread(client: IpAddr, instance: &InstanceName) -> u64 {
    let mut hasher = DefaultHasher::new();
    client.to_canonical().hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}
