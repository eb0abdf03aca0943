//! Rebalancing of shares with heartbeats.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tarragonpulley_policy::ids::LimitKey;
use tarragonpulley_policy::rights::{
    GenerationRecord, LimitPlan, PeerSummaries, RightsLedger, TOTAL_SHARES,
};
use tarragonpulley_policy::units::{BurstSize, RequestRate, SlotCount};
use yare::parameterized;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

fn limit(text: &str) -> LimitKey {
    text.parse().unwrap()
}

fn rate(rate: u32, burst: u32) -> LimitPlan {
    LimitPlan::Rate {
        rate: RequestRate::per_second(rate),
        burst: BurstSize::new(burst),
    }
}

fn slots(count: u32) -> LimitPlan {
    LimitPlan::Slots(SlotCount::new(count))
}

/// Ledgers of one generation. The first one holds all shares.
fn fleet(count: usize, plans: &BTreeMap<LimitKey, LimitPlan>, now: Instant) -> Vec<RightsLedger> {
    let record = GenerationRecord {
        number: 1,
        first_holder: "i00#1".parse().unwrap(),
        reclaims: Vec::new(),
    };
    let ledger = |index| {
        let name = format!("i{index:02}#1");
        let mut ledger = RightsLedger::new(name.parse().unwrap());
        ledger.configure(plans, now);
        ledger.adopt(&record, now, now);
        ledger
    };
    (0..count).map(ledger).collect()
}

/// All ledgers rebalance on the same summaries, and all counters are delivered
/// and acknowledged. Returns the number of transfers.
fn heartbeat(fleet: &mut [RightsLedger], now: Instant) -> usize {
    let summaries = fleet
        .iter_mut()
        .map(|l| (l.incarnation().clone(), l.summary(now)));
    let summaries: PeerSummaries = summaries.collect();
    let mut transfers = 0;
    for sender in 0..fleet.len() {
        transfers += fleet[sender].rebalance(&summaries, now).len();
        for receiver in (0..fleet.len()).filter(|receiver| *receiver != sender) {
            let (from, to) = (
                fleet[sender].incarnation().clone(),
                fleet[receiver].incarnation().clone(),
            );
            let update = fleet[sender].counters_since_ack(&to);
            fleet[receiver].receive(&from, &update.counters, now);
            fleet[sender].acknowledge(&to, update.last_change);
        }
    }
    transfers
}

/// Guards against shares that oscillate between holders at every heartbeat.
#[parameterized(
    four = { 4, 120 },
    overloaded = { 4, 40 },
    twelve = { 12, 400 },
)]
fn steady_demand_causes_no_transfers(count: usize, per_second: u32) {
    let start = Instant::now();
    let plan = rate(per_second, per_second);
    let mut fleet = fleet(count, &[(limit("team:c/t"), plan)].into(), start);
    let mut transfers = 0;
    for beat in 0..120_u32 {
        let mut now = start + beat * HEARTBEAT_INTERVAL;
        for tick in 0..20 {
            now += HEARTBEAT_INTERVAL / 20;
            for (index, ledger) in fleet.iter_mut().enumerate() {
                if tick % (index + 1) == 0 {
                    ledger.admit(&limit("team:c/t"), now);
                }
            }
        }
        let moved = heartbeat(&mut fleet, now);
        transfers += if beat < 20 { 0 } else { moved };
    }
    assert!(transfers <= 4, "{transfers} transfers in 50 s");
}

/// Guards against idle instances that get no shares of a limit that is large
/// enough for all of them.
#[parameterized(
    rate_limit = { "team:c/t", rate(120, 120), TOTAL_SHARES / 24 },
    region_limit = { "region:c/r", slots(120), TOTAL_SHARES / 24 },
)]
fn idle_fleet_splits_a_large_limit(key: &str, plan: LimitPlan, min_shares: u64) {
    let mut now = Instant::now();
    let mut fleet = fleet(12, &[(limit(key), plan)].into(), now);
    for _ in 0..4 {
        now += HEARTBEAT_INTERVAL;
        heartbeat(&mut fleet, now);
    }
    let held = fleet.iter().map(|ledger| ledger.shares(&limit(key)));
    let held: Vec<_> = held.collect();
    assert!(held.iter().all(|shares| *shares >= min_shares), "{held:?}");
    assert_eq!(held.iter().sum::<u64>(), TOTAL_SHARES);
}

/// Guards against slots of a new server that all stay at the first holder,
/// where they are unusable while it is paused, and against idle slots that are
/// transferred again and again.
#[parameterized(four = { 4, 4, [1, 1, 1, 1] }, three = { 4, 3, [1, 1, 1, 0] })]
fn idle_slots_spread_once(count: usize, of: u32, expected: [u32; 4]) {
    let mut now = Instant::now();
    let key = limit("server:c/s/b");
    let mut fleet = fleet(count, &[(key.clone(), slots(of))].into(), now);
    let mut transfers = 0;
    for _ in 0..12 {
        now += HEARTBEAT_INTERVAL;
        transfers = heartbeat(&mut fleet, now);
    }
    assert_eq!(transfers, 0, "idle slots are still transferred");
    let mut held: Vec<_> = fleet.iter().map(|ledger| ledger.free_slots(&key)).collect();
    held.sort_unstable_by(|a, b| b.cmp(a));
    assert_eq!(held, expected);
}

/// Guards against free slots of a server that stay at instances without
/// requests for it.
#[parameterized(
    three = { 3, 12 },
    four = { 4, 12 },
    odd = { 17, 5 },
)]
fn free_slots_move_to_rejected_requests(count: u32, instances: usize) {
    let key = limit("server:c/s/b");
    let mut now = Instant::now();
    let mut fleet = fleet(instances, &[(key.clone(), slots(count))].into(), now);
    let busy = instances - 1;
    let mut taken = 0;
    for _ in 0..3 * count {
        if fleet[busy].take_slots(std::slice::from_ref(&key)) {
            taken += 1;
        }
        now += HEARTBEAT_INTERVAL;
        heartbeat(&mut fleet, now);
    }
    // One slot may be lost by rounding if the count doesn't divide the shares.
    assert!(taken >= count - 1, "{taken} of {count} slots were used");
    assert!(taken == count || !TOTAL_SHARES.is_multiple_of(u64::from(count)));
}

/// Guards against slots that are unusable because a plan change left every
/// holder with a fraction of a slot.
#[test]
fn fragments_are_joined_to_whole_slots() {
    let key = limit("server:c/s/b");
    let mut now = Instant::now();
    let mut fleet = fleet(3, &[(key.clone(), slots(3))].into(), now);
    for index in 1..3 {
        let ledger = &mut fleet[index];
        assert!(!ledger.take_slots(std::slice::from_ref(&key)));
        let (peer, request) = (
            ledger.incarnation().clone(),
            ledger.share_request(&key, now).unwrap(),
        );
        assert!(fleet[0].transfer_on_request(&peer, &key, &request, now));
        let counters = fleet[0].counters_for(&peer);
        let sender = fleet[0].incarnation().clone();
        fleet[index].receive(&sender, &counters, now);
        fleet[0].acknowledge(&peer, u64::MAX);
    }
    let free = |fleet: &[RightsLedger]| fleet.iter().map(|l| l.free_slots(&key)).sum::<u32>();
    assert_eq!(free(&fleet), 3);
    for ledger in &mut fleet {
        ledger.configure(&[(key.clone(), slots(4))].into(), now);
    }
    assert_eq!(free(&fleet), 3, "each ledger holds a slot and a third");
    for _ in 0..20 {
        now += HEARTBEAT_INTERVAL;
        heartbeat(&mut fleet, now);
    }
    assert_eq!(free(&fleet), 4);
}
