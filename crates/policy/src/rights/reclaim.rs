//! Planning the reclaim of what dead incarnations held.
//!
//! `award = issued to the dead set + given to it by survivors - received from
//! it by survivors - awarded before on its account`. The dead set is that of
//! the whole generation, so transfers between dead incarnations cancel out.

use std::collections::{BTreeMap, BTreeSet};

use super::plan::TOTAL_SHARES;
use super::record::{FenceReport, GenerationRecord, ReclaimError, ReclaimRecord};
use crate::ids::{IncarnationId, LimitKey};

/// Plans the award of everything that the dead set held or was sent.
///
/// `dead` is the dead set of the whole generation, instances that stopped
/// gracefully included. `reports` has one report of every incarnation of the
/// generation that is not dead.
///
/// # Errors
///
/// [`ReclaimError`] when the reports are incomplete or contradict the record.
pub fn plan_reclaim(
    record: &GenerationRecord,
    dead: &BTreeSet<IncarnationId>,
    recipient: &IncarnationId,
    reports: &BTreeMap<IncarnationId, FenceReport>,
) -> Result<ReclaimRecord, ReclaimError> {
    check_dead(record, dead)?;
    check_reports(record, dead, recipient, reports)?;
    let earlier = record.reclaims.iter().flat_map(|r| r.amounts.keys());
    let reported = reports
        .values()
        .flat_map(|report| &report.amounts)
        .filter(|(incarnation, _)| dead.contains(*incarnation))
        .flat_map(|(_, amounts)| amounts.keys());
    let limits: BTreeSet<_> = earlier.chain(reported).collect();
    let mut amounts = BTreeMap::new();
    for limit in limits {
        let award = award_of(limit, record, dead, reports);
        let shares = u64::try_from(award).ok().filter(|s| *s <= TOTAL_SHARES);
        let shares = shares.ok_or_else(|| ReclaimError::Impossible {
            limit: limit.clone(),
            award,
        })?;
        amounts.insert(limit.clone(), shares);
    }
    Ok(ReclaimRecord {
        dead: dead.clone(),
        recipient: recipient.clone(),
        amounts,
        takes_unlisted: dead.contains(owner_of_unlisted(record)),
    })
}

/// Who is issued the limits that no reclaim lists.
fn owner_of_unlisted(record: &GenerationRecord) -> &IncarnationId {
    let takers = record.reclaims.iter().rev().filter(|r| r.takes_unlisted);
    let mut takers = takers.map(|reclaim| &reclaim.recipient);
    takers.next().unwrap_or(&record.first_holder)
}

fn award_of(
    limit: &LimitKey,
    record: &GenerationRecord,
    dead: &BTreeSet<IncarnationId>,
    reports: &BTreeMap<IncarnationId, FenceReport>,
) -> i128 {
    let total = i128::from(TOTAL_SHARES);
    let mut award = if dead.contains(&record.first_holder) {
        total
    } else {
        0
    };
    for reclaim in &record.reclaims {
        let listed = reclaim.amounts.get(limit).copied().map(i128::from);
        let amount = listed.unwrap_or(if reclaim.takes_unlisted { total } else { 0 });
        award -= amount;
        if dead.contains(&reclaim.recipient) {
            award += amount;
        }
    }
    for report in reports.values() {
        for (incarnation, amounts) in &report.amounts {
            let pair = amounts.get(limit).copied().unwrap_or_default();
            if dead.contains(incarnation) {
                award += i128::from(pair.given) - i128::from(pair.received);
            }
        }
    }
    award
}

fn check_dead(
    record: &GenerationRecord,
    dead: &BTreeSet<IncarnationId>,
) -> Result<(), ReclaimError> {
    let before = record.reclaims.last().map(|r| r.dead.clone());
    let before = before.unwrap_or_default();
    if let Some(missing) = before.difference(dead).next() {
        let incarnation = missing.clone();
        return Err(ReclaimError::DeadMissing { incarnation });
    }
    if before.len() == dead.len() {
        return Err(ReclaimError::NothingNew);
    }
    Ok(())
}

fn check_reports(
    record: &GenerationRecord,
    dead: &BTreeSet<IncarnationId>,
    recipient: &IncarnationId,
    reports: &BTreeMap<IncarnationId, FenceReport>,
) -> Result<(), ReclaimError> {
    let participants = reports.keys().chain([recipient]);
    if let Some(incarnation) = participants.into_iter().find(|p| dead.contains(*p)) {
        let incarnation = incarnation.clone();
        return Err(ReclaimError::DeadParticipant { incarnation });
    }
    for (reporter, report) in reports {
        let reporter = reporter.clone();
        if report.generation != record.number {
            return Err(ReclaimError::OtherGeneration {
                reporter,
                found: report.generation,
                expected: record.number,
            });
        }
        if let Some(incarnation) = dead.difference(&report.fenced).next() {
            let incarnation = incarnation.clone();
            return Err(ReclaimError::NotFenced {
                reporter,
                incarnation,
            });
        }
    }
    let recipients = record.reclaims.iter().map(|r| &r.recipient);
    let partners = reports
        .values()
        .flat_map(|report| report.amounts.keys().chain(&report.peers));
    let mut holders = recipients
        .chain(partners)
        .chain([&record.first_holder, recipient]);
    match holders.find(|holder| !dead.contains(*holder) && !reports.contains_key(*holder)) {
        None => Ok(()),
        Some(missing) => Err(ReclaimError::ReportMissing {
            incarnation: missing.clone(),
        }),
    }
}
