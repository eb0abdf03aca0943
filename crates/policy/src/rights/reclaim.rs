//! Planning the reclaim of shares of removed incarnations.
//!
//! `grant = granted to the removed set + given to it by survivors - received
//! from it by survivors - granted by earlier reclaims`. The removed set is that
//! of the whole generation, so transfers between removed incarnations cancel
//! out.

use std::collections::{BTreeMap, BTreeSet};

use super::plan::TOTAL_SHARES;
use super::record::{FenceReport, GenerationRecord, ReclaimError, ReclaimRecord};
use crate::ids::{IncarnationId, LimitKey};

/// Plans the grant of all shares that removed incarnations held, or that were
/// in flight to them.
///
/// `removed` has all removed incarnations of the generation, including those
/// of instances that shut down gracefully. `reports` has one report of every
/// other incarnation of the generation.
///
/// # Errors
///
/// [`ReclaimError`] if the removed set or the reports are incomplete or
/// contradict the record.
pub fn plan_reclaim(
    record: &GenerationRecord,
    removed: &BTreeSet<IncarnationId>,
    recipient: &IncarnationId,
    reports: &BTreeMap<IncarnationId, FenceReport>,
) -> Result<ReclaimRecord, ReclaimError> {
    check_removed(record, removed)?;
    check_reports(record, removed, recipient, reports)?;
    let earlier = record.reclaims.iter().flat_map(|r| r.amounts.keys());
    let reported = reports
        .values()
        .flat_map(|report| &report.amounts)
        .filter(|(incarnation, _)| removed.contains(*incarnation))
        .flat_map(|(_, amounts)| amounts.keys());
    let limits: BTreeSet<_> = earlier.chain(reported).collect();
    let mut amounts = BTreeMap::new();
    for limit in limits {
        let grant = grant_of(limit, record, removed, reports);
        let shares = u64::try_from(grant).ok().filter(|s| *s <= TOTAL_SHARES);
        let shares = shares.ok_or_else(|| ReclaimError::Impossible {
            limit: limit.clone(),
            grant,
        })?;
        amounts.insert(limit.clone(), shares);
    }
    Ok(ReclaimRecord {
        dead: removed.clone(),
        recipient: recipient.clone(),
        amounts,
        takes_unlisted: removed.contains(holder_of_unlisted(record)),
    })
}

/// The incarnation that is granted the limits that no reclaim lists.
fn holder_of_unlisted(record: &GenerationRecord) -> &IncarnationId {
    let grants = record.reclaims.iter().rev().filter(|r| r.takes_unlisted);
    let mut grants = grants.map(|reclaim| &reclaim.recipient);
    grants.next().unwrap_or(&record.first_holder)
}

fn grant_of(
    limit: &LimitKey,
    record: &GenerationRecord,
    removed: &BTreeSet<IncarnationId>,
    reports: &BTreeMap<IncarnationId, FenceReport>,
) -> i128 {
    let total = i128::from(TOTAL_SHARES);
    let mut grant = if removed.contains(&record.first_holder) {
        total
    } else {
        0
    };
    for reclaim in &record.reclaims {
        let listed = reclaim.amounts.get(limit).copied().map(i128::from);
        let amount = listed.unwrap_or(if reclaim.takes_unlisted { total } else { 0 });
        grant -= amount;
        if removed.contains(&reclaim.recipient) {
            grant += amount;
        }
    }
    for report in reports.values() {
        for (incarnation, amounts) in &report.amounts {
            let pair = amounts.get(limit).copied().unwrap_or_default();
            if removed.contains(incarnation) {
                grant += i128::from(pair.given) - i128::from(pair.received);
            }
        }
    }
    grant
}

fn check_removed(
    record: &GenerationRecord,
    removed: &BTreeSet<IncarnationId>,
) -> Result<(), ReclaimError> {
    let before = record.reclaims.last().map(|r| r.dead.clone());
    let before = before.unwrap_or_default();
    if let Some(missing) = before.difference(removed).next() {
        let incarnation = missing.clone();
        return Err(ReclaimError::RemovedMissing { incarnation });
    }
    if before.len() == removed.len() {
        return Err(ReclaimError::NothingNew);
    }
    Ok(())
}

fn check_reports(
    record: &GenerationRecord,
    removed: &BTreeSet<IncarnationId>,
    recipient: &IncarnationId,
    reports: &BTreeMap<IncarnationId, FenceReport>,
) -> Result<(), ReclaimError> {
    let participants = reports.keys().chain([recipient]);
    if let Some(incarnation) = participants.into_iter().find(|p| removed.contains(*p)) {
        let incarnation = incarnation.clone();
        return Err(ReclaimError::RemovedParticipant { incarnation });
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
        if let Some(incarnation) = removed.difference(&report.fenced).next() {
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
    match holders.find(|holder| !removed.contains(*holder) && !reports.contains_key(*holder)) {
        None => Ok(()),
        Some(missing) => Err(ReclaimError::ReportMissing {
            incarnation: missing.clone(),
        }),
    }
}
