//! The active configuration and the proof that it is current.

use std::rc::Rc;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::freshness::{ConfigFreshness, RightsVersion};
use tarragonpulley_policy::snapshot::{ConfigSnapshot, KeyDigest};
use tarragonpulley_policy::units::ConfigRevision;
use tarragonpulley_wire::rows::{self, ConfigRows, PreviousConfig, RowError};

use super::core::FleetCore;
use crate::interfaces::{ChangeOutcome, ConfigEdit, ConfigSource, ProofState};

/// The active configuration of one instance.
#[derive(Debug, Default)]
pub(super) struct ConfigState {
    /// The rows of the active revision, sent to peers unchanged.
    pub(super) rows: Rc<ConfigRows>,
    pub(super) snapshot: Rc<ConfigSnapshot>,
    pub(super) freshness: ConfigFreshness,
    /// Errors of rows of the active revision. These rows keep their earlier values.
    pub(super) row_errors: Vec<RowError>,
}

impl FleetCore {
    /// The active revision.
    pub(super) fn revision(&self) -> ConfigRevision {
        self.config.borrow().freshness.revision()
    }

    /// Activates `rows` if their revision is higher than the active one. Returns
    /// whether their revision is the active one afterwards.
    pub(super) fn adopt_rows(&self, rows: ConfigRows) -> Result<bool, RowError> {
        let last = self.snapshot_now();
        let revision = rows::head_revision(&rows)?;
        if revision <= last.revision {
            return Ok(revision == last.revision);
        }
        let (snapshot, row_errors) = {
            let config = self.config.borrow();
            let before = PreviousConfig {
                rows: &config.rows,
                snapshot: &last,
                errors: &config.row_errors,
            };
            rows::config_from_rows(&rows, before)?
        };
        let withdrawn = newly_withdrawn(&last, &snapshot);
        let described = describe(&row_errors);
        {
            let mut config = self.config.borrow_mut();
            config.freshness.adopt(revision);
            config.rows = Rc::new(rows);
            config.snapshot = Rc::new(snapshot);
            config.row_errors = row_errors;
        }
        self.configure_rights();
        for digest in withdrawn {
            self.publish_fact(FactKey::KeyWithdrawn(digest), FactValue::Flag, true);
        }
        self.record_event("revision_adopted", &revision.to_string(), &described);
        self.notify_waiters();
        Ok(true)
    }

    /// Records a read of `config/head` and `rights/generation` that began at
    /// `started`.
    pub(super) fn record_table_read(
        &self,
        revision: ConfigRevision,
        rights: RightsVersion,
        started: Instant,
    ) {
        let mut config = self.config.borrow_mut();
        let proved = config
            .freshness
            .record_table_read(revision, rights, started);
        drop(config);
        if proved {
            self.notify_waiters();
        }
    }

    pub(super) fn snapshot_now(&self) -> Rc<ConfigSnapshot> {
        Rc::clone(&self.config.borrow().snapshot)
    }
}

/// Keys withdrawn since `last`. Empty for the first configuration of an instance,
/// whose withdrawals the peers know already.
fn newly_withdrawn(last: &ConfigSnapshot, next: &ConfigSnapshot) -> Vec<KeyDigest> {
    if last.revision == ConfigRevision::default() {
        return Vec::new();
    }
    let known = |digest: &KeyDigest| last.keys.get(digest).is_some_and(|grant| grant.withdrawn);
    let withdrawn = next.keys.iter().filter(|(_digest, grant)| grant.withdrawn);
    withdrawn
        .map(|(digest, _grant)| *digest)
        .filter(|digest| !known(digest))
        .collect()
}

fn describe(row_errors: &[RowError]) -> String {
    let texts: Vec<String> = row_errors.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

impl ConfigSource for FleetCore {
    fn snapshot(&self) -> Rc<ConfigSnapshot> {
        self.snapshot_now()
    }

    fn proof(&self) -> ProofState {
        self.proof_age()
            .map_or(ProofState::Missing, ProofState::Proved)
    }

    fn is_withdrawn(&self, digest: &KeyDigest) -> bool {
        let fact = FactKey::KeyWithdrawn(*digest);
        let snapshot = self.snapshot_now();
        snapshot.keys.get(digest).is_some_and(|key| key.withdrawn)
            || self.facts.borrow().get(&fact).is_some()
    }

    fn change(&self, edit: ConfigEdit) -> LocalBoxFuture<'_, ChangeOutcome> {
        self.run_change(edit).boxed_local()
    }
}
