//! Memory for the bodies of running requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tarragonpulley_policy::ids::TeamKey;

/// One team may use the memory limit divided by this number, so that its large
/// or slow bodies do not exhaust the memory for other teams.
const TEAM_DIVISOR: u64 = 4;

/// Callers of open routes are counted as one team (`None`).
type OwnerKey = Option<TeamKey>;

/// Bytes in use by each team, out of a common limit.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    limit: u64,
    used: RefCell<BTreeMap<OwnerKey, u64>>,
}

impl BodyMemory {
    pub(crate) fn new(limit: u64) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: RefCell::default(),
        })
    }

    /// Reserves memory until the guard is dropped. Returns `None` if the team's
    /// limit or the common limit would be exceeded.
    pub(crate) fn reserve(self: &Rc<Self>, team: OwnerKey, bytes: u64) -> Option<BodyReservation> {
        let mut used = self.used.borrow_mut();
        let total: u64 = used.values().sum();
        let own = used.get(&team).copied().unwrap_or(0);
        if total + bytes > self.limit || own + bytes > self.limit / TEAM_DIVISOR {
            return None;
        }
        used.insert(team.clone(), own + bytes);
        Some(BodyReservation {
            memory: Rc::clone(self),
            team,
            bytes,
        })
    }
}

/// Releases reserved memory when dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    memory: Rc<BodyMemory>,
    team: OwnerKey,
    bytes: u64,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut used = self.memory.used.borrow_mut();
        if let Some(own) = used.get_mut(&self.team) {
            *own = own.saturating_sub(self.bytes);
            if *own == 0 {
                used.remove(&self.team);
            }
        }
    }
}
