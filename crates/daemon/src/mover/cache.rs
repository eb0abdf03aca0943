//! Keeps computed shares for the request path.
//!
//! Shares follow from the whole history of moves, so they are computed once
//! for a revision. A known fault or a deadline changes them without a new
//! revision; both are checked on each use.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::SystemTime;

use tarragonpulley_policy::ids::{ServiceKey, VersionName};
use tarragonpulley_policy::movement::{leading_move, version_shares};
use tarragonpulley_policy::snapshot::ConfigSnapshot;
use tarragonpulley_policy::units::{ConfigRevision, TrafficShare};

/// Shares of the versions of a service.
pub(super) type VersionShares = BTreeMap<VersionName, TrafficShare>;

#[derive(Debug)]
struct CachedShares {
    revision: ConfigRevision,
    /// The deadline that has not passed.
    until: Option<SystemTime>,
    /// Versions that were asked about, and whether they were faulty.
    asked: BTreeMap<VersionName, bool>,
    shares: Rc<VersionShares>,
}

/// Computed shares by service.
#[derive(Debug, Default)]
pub(super) struct ShareCache(RefCell<BTreeMap<ServiceKey, CachedShares>>);

impl ShareCache {
    /// The shares of a service at `now`.
    pub(super) fn shares(
        &self,
        snapshot: &ConfigSnapshot,
        service: &ServiceKey,
        faulty: &dyn Fn(&VersionName) -> bool,
        now: SystemTime,
    ) -> Rc<VersionShares> {
        let mut cache = self.0.borrow_mut();
        if let Some(cached) = cache.get(service)
            && cached.revision == snapshot.revision
            && cached.until.is_none_or(|until| now < until)
            && cached
                .asked
                .iter()
                .all(|(version, was)| faulty(version) == *was)
        {
            return Rc::clone(&cached.shares);
        }
        let asked = RefCell::new(BTreeMap::new());
        let ask = |version: &VersionName| {
            let answer = faulty(version);
            asked.borrow_mut().insert(version.clone(), answer);
            answer
        };
        let shares = Rc::new(version_shares(snapshot, service, &ask, now));
        let leading = leading_move(snapshot, service);
        let until = leading.map(|(_, record)| record.deadline);
        let computed = CachedShares {
            revision: snapshot.revision,
            until: until.filter(|deadline| now < *deadline),
            asked: asked.into_inner(),
            shares: Rc::clone(&shares),
        };
        cache.insert(service.clone(), computed);
        shares
    }
}
