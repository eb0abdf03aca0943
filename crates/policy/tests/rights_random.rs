//! Property test of ledgers under random schedules of messages and faults.

mod rights_world;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rights_world::{SimulatedFleet, limit, plans};
use tarragonpulley_policy::rights::TOTAL_SHARES;

const SEED: [u8; 32] = *b"rights-random-schedules-seed-001";

/// One step of a schedule. Indices are taken modulo the number of items.
#[derive(Debug, Clone)]
enum Step {
    Wait(u16),
    Admit(u8, u8, u8),
    /// Buckets refill for a while, then all nodes spend the tokens of one limit.
    Flood(u8, u16),
    TakeSlots(u8, u8, u8),
    ReleaseSlots(u8),
    Ask(u8, u8, u8),
    Send(u8, u8, bool),
    Deliver(u8, bool, bool),
    DropMessage(u8),
    Rebalance(u8),
    TransferAll(u8, u8),
    Pause(u8),
    Resume(u8),
    Kill(u8),
    Restart(u8),
    ReadRecord(u8),
    Fence(u8),
    FenceAll,
    /// All nodes read the record, rebalance and exchange heartbeats.
    HeartbeatRound,
    Reclaim(u8),
    /// A process crashes after a transfer, which arrives after the fencing.
    CrashAfterTransfer(u8, u8),
    /// A process crashes after all tokens were spent.
    CrashWithoutTokens(u8, u8, u8),
    /// All processes except a newly started one are paused for a while.
    PauseOthers(u8),
    ChangePlan(u8, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let n = any::<u8>;
    prop_oneof![
        20 => (0..600_u16).prop_map(Step::Wait),
        30 => (n(), n(), 1..100_u8).prop_map(|(a, b, c)| Step::Admit(a, b, c)),
        4 => (n(), 0..2000_u16).prop_map(|(a, b)| Step::Flood(a, b)),
        10 => (n(), n(), 1..12_u8).prop_map(|(a, b, c)| Step::TakeSlots(a, b, c)),
        6 => n().prop_map(Step::ReleaseSlots),
        14 => (n(), n(), n()).prop_map(|(a, b, c)| Step::Ask(a, b, c)),
        10 => (n(), n(), any::<bool>()).prop_map(|(a, b, c)| Step::Send(a, b, c)),
        30 => (n(), any::<bool>(), any::<bool>()).prop_map(|(a, b, c)| Step::Deliver(a, b, c)),
        4 => n().prop_map(Step::DropMessage),
        10 => n().prop_map(Step::Rebalance),
        1 => (n(), n()).prop_map(|(a, b)| Step::TransferAll(a, b)),
        2 => n().prop_map(Step::Pause),
        12 => n().prop_map(Step::Resume),
        1 => n().prop_map(Step::Kill),
        5 => n().prop_map(Step::Restart),
        10 => n().prop_map(Step::ReadRecord),
        3 => n().prop_map(Step::Fence),
        4 => Just(Step::FenceAll),
        24 => Just(Step::HeartbeatRound),
        6 => n().prop_map(Step::Reclaim),
        1 => (n(), n()).prop_map(|(a, b)| Step::CrashAfterTransfer(a, b)),
        1 => (n(), n(), n()).prop_map(|(a, b, c)| Step::CrashWithoutTokens(a, b, c)),
        1 => n().prop_map(Step::PauseOthers),
        5 => (n(), any::<bool>()).prop_map(|(a, b)| Step::ChangePlan(a, b)),
    ]
}

fn run_step(fleet: &mut SimulatedFleet, step: &Step) {
    let count = fleet.nodes.len();
    let node = |n: &u8| usize::from(*n) % count;
    let keys: Vec<_> = plans(2).into_keys().collect();
    let key = |n: &u8| keys[usize::from(*n) % keys.len()].clone();
    let teams = [
        "team:c/large",
        "team:c/small",
        "team:c/later",
        "team:c/slow",
    ];
    let team = |n: &u8| limit(teams[usize::from(*n) % teams.len()]);
    match step {
        Step::Wait(millis) => fleet.advance(Duration::from_millis(u64::from(*millis))),
        Step::Admit(n, l, times) => (0..*times).for_each(|_| fleet.admit(node(n), &team(l))),
        Step::Flood(l, millis) => {
            fleet.advance(Duration::from_millis(u64::from(*millis)));
            (0..count).for_each(|n| fleet.flood(n, &team(l)));
        }
        Step::TakeSlots(n, both, times) => {
            let limits = [limit("region:c/north"), limit("server:c/s/one")];
            let limits = &limits[..=usize::from(both % 2)];
            (0..*times).for_each(|_| fleet.take_slots(node(n), limits));
        }
        Step::ReleaseSlots(n) => fleet.release(node(n)),
        Step::Ask(a, b, l) => fleet.ask(node(a), node(b), &key(l)),
        Step::Send(a, b, all) => fleet.send(node(a), node(b), *all),
        Step::Deliver(m, keep, ack) => fleet.deliver(usize::from(*m), *keep, *ack),
        Step::DropMessage(m) => fleet.drop_message(usize::from(*m)),
        Step::Rebalance(n) => fleet.rebalance(node(n)),
        Step::TransferAll(a, b) => fleet.transfer_all(node(a), node(b)),
        Step::Pause(n) => fleet.pause(node(n)),
        Step::Resume(n) => fleet.resume(node(n)),
        Step::Kill(n) => fleet.kill(node(n)),
        Step::Restart(n) => fleet.restart(node(n)),
        Step::ReadRecord(n) => fleet.read_record(node(n)),
        Step::Fence(n) => fleet.fence(node(n)),
        Step::HeartbeatRound => fleet.heartbeat_round(),
        Step::FenceAll => (0..count).for_each(|n| fleet.fence(n)),
        Step::Reclaim(n) => fleet.reclaim(node(n)),
        Step::CrashAfterTransfer(a, b) => fleet.crash_after_transfer(node(a), node(b)),
        Step::CrashWithoutTokens(a, b, l) => fleet.crash_without_tokens(node(a), node(b), &team(l)),
        Step::PauseOthers(n) => fleet.pause_others(node(n)),
        Step::ChangePlan(n, begin) => fleet.change_plan(node(n), *begin),
    }
}

/// Guards against admissions above a limit, duplicated shares or slots, and
/// permanently lost shares, under any order of messages and faults.
#[test]
fn random_schedules_keep_every_limit() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedule = (2..=12_usize, prop::collection::vec(step(), 50..300));
    let totals = std::cell::Cell::new((0, 0, 0, 0));
    let result = runner.run(&schedule, |(count, steps)| {
        let mut fleet = SimulatedFleet::new(count);
        fleet.reclaim(0);
        (0..count).for_each(|n| fleet.read_record(n));
        fleet.advance(Duration::from_secs(3));
        (0..count).for_each(|n| fleet.read_record(n));
        for step in &steps {
            run_step(&mut fleet, step);
            if !matches!(step, Step::Wait(_) | Step::Admit(..) | Step::ReadRecord(_)) {
                fleet.check();
            }
        }
        let (admitted, rejected, reclaims, generations) = totals.get();
        totals.set((
            admitted + fleet.admitted,
            rejected + fleet.rejected,
            reclaims + fleet.reclaims,
            generations + fleet.generations,
        ));
        fleet.recover_all();
        for limit in plans(0).into_keys().chain(plans(2).into_keys()) {
            prop_assert_eq!(
                fleet.shares_in_circulation(&limit),
                TOTAL_SHARES,
                "{}",
                limit
            );
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    // Schedules without admissions, rejections and reclaims would test nothing.
    let (admitted, rejected, reclaims, generations) = totals.get();
    assert!(
        admitted > 10_000 && rejected > 10_000 && reclaims > 100 && generations > 300,
        "{admitted} requests admitted, {rejected} rejected, {reclaims} reclaims, {generations} generations"
    );
}
