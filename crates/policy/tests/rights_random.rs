//! Random schedules of ledgers, messages and faults.

mod rights_world;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rights_world::{World, limit, plans};
use tarragonpulley_policy::rights::TOTAL_SHARES;

const SEED: [u8; 32] = *b"rights-random-schedules-seed-001";

/// One step; indices are taken modulo what there is.
#[derive(Debug, Clone)]
enum Step {
    Wait(u16),
    Admit(u8, u8, u8),
    /// Buckets fill for a while, then everybody spends one limit.
    Flood(u8, u16),
    Take(u8, u8, u8),
    Release(u8),
    Ask(u8, u8, u8),
    Send(u8, u8, bool),
    Deliver(u8, bool, bool),
    Lose(u8),
    Rebalance(u8),
    HandOver(u8, u8),
    Pause(u8),
    Resume(u8),
    Kill(u8),
    Restart(u8),
    Prove(u8),
    Fence(u8),
    FenceAll,
    /// Everybody reads the table and exchanges heartbeats.
    Round,
    Reclaim(u8),
    /// A process dies after it gave; the gift arrives after the fence.
    DieGiving(u8, u8),
    /// A process dies with its tokens spent.
    DieSpent(u8, u8, u8),
    /// All processes but a new one are stopped for a while.
    StopAll(u8),
    ChangePlan(u8, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let n = any::<u8>;
    prop_oneof![
        20 => (0..600_u16).prop_map(Step::Wait),
        30 => (n(), n(), 1..100_u8).prop_map(|(a, b, c)| Step::Admit(a, b, c)),
        4 => (n(), 0..2000_u16).prop_map(|(a, b)| Step::Flood(a, b)),
        10 => (n(), n(), 1..12_u8).prop_map(|(a, b, c)| Step::Take(a, b, c)),
        6 => n().prop_map(Step::Release),
        14 => (n(), n(), n()).prop_map(|(a, b, c)| Step::Ask(a, b, c)),
        10 => (n(), n(), any::<bool>()).prop_map(|(a, b, c)| Step::Send(a, b, c)),
        30 => (n(), any::<bool>(), any::<bool>()).prop_map(|(a, b, c)| Step::Deliver(a, b, c)),
        4 => n().prop_map(Step::Lose),
        10 => n().prop_map(Step::Rebalance),
        1 => (n(), n()).prop_map(|(a, b)| Step::HandOver(a, b)),
        2 => n().prop_map(Step::Pause),
        12 => n().prop_map(Step::Resume),
        1 => n().prop_map(Step::Kill),
        5 => n().prop_map(Step::Restart),
        10 => n().prop_map(Step::Prove),
        3 => n().prop_map(Step::Fence),
        4 => Just(Step::FenceAll),
        24 => Just(Step::Round),
        6 => n().prop_map(Step::Reclaim),
        1 => (n(), n()).prop_map(|(a, b)| Step::DieGiving(a, b)),
        1 => (n(), n(), n()).prop_map(|(a, b, c)| Step::DieSpent(a, b, c)),
        1 => n().prop_map(Step::StopAll),
        5 => (n(), any::<bool>()).prop_map(|(a, b)| Step::ChangePlan(a, b)),
    ]
}

fn run_step(world: &mut World, step: &Step) {
    let count = world.nodes.len();
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
        Step::Wait(millis) => world.advance(Duration::from_millis(u64::from(*millis))),
        Step::Admit(n, l, times) => (0..*times).for_each(|_| world.admit(node(n), &team(l))),
        Step::Flood(l, millis) => {
            world.advance(Duration::from_millis(u64::from(*millis)));
            (0..count).for_each(|n| world.flood(n, &team(l)));
        }
        Step::Take(n, both, times) => {
            let limits = [limit("region:c/north"), limit("server:c/s/one")];
            let limits = &limits[..=usize::from(both % 2)];
            (0..*times).for_each(|_| world.take(node(n), limits));
        }
        Step::Release(n) => world.release(node(n)),
        Step::Ask(a, b, l) => world.ask(node(a), node(b), &key(l)),
        Step::Send(a, b, all) => world.send(node(a), node(b), *all),
        Step::Deliver(m, keep, ack) => world.deliver(usize::from(*m), *keep, *ack),
        Step::Lose(m) => world.lose(usize::from(*m)),
        Step::Rebalance(n) => world.rebalance(node(n)),
        Step::HandOver(a, b) => world.hand_over(node(a), node(b)),
        Step::Pause(n) => world.pause(node(n)),
        Step::Resume(n) => world.resume(node(n)),
        Step::Kill(n) => world.kill(node(n)),
        Step::Restart(n) => world.restart(node(n)),
        Step::Prove(n) => world.prove(node(n)),
        Step::Fence(n) => world.fence(node(n)),
        Step::Round => world.round(),
        Step::FenceAll => (0..count).for_each(|n| world.fence(n)),
        Step::Reclaim(n) => world.reclaim(node(n)),
        Step::DieGiving(a, b) => world.die_giving(node(a), node(b)),
        Step::DieSpent(a, b, l) => world.die_spent(node(a), node(b), &team(l)),
        Step::StopAll(n) => world.stop_all(node(n)),
        Step::ChangePlan(n, begin) => world.change_plan(node(n), *begin),
    }
}

/// Guards against over-admission, shares or slots that exist twice, and shares
/// that are lost for ever, under any order of messages and faults.
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
        let mut world = World::new(count);
        world.reclaim(0);
        (0..count).for_each(|n| world.prove(n));
        world.advance(Duration::from_secs(3));
        (0..count).for_each(|n| world.prove(n));
        for step in &steps {
            run_step(&mut world, step);
            if !matches!(step, Step::Wait(_) | Step::Admit(..) | Step::Prove(_)) {
                world.check();
            }
        }
        let (admitted, refused, reclaims, generations) = totals.get();
        totals.set((
            admitted + world.admitted,
            refused + world.refused,
            reclaims + world.reclaims,
            generations + world.generations,
        ));
        world.settle();
        for limit in plans(0).into_keys().chain(plans(2).into_keys()) {
            prop_assert_eq!(world.shares_in_play(&limit), TOTAL_SHARES, "{}", limit);
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    // A schedule in which nothing happens would check nothing.
    let (admitted, refused, reclaims, generations) = totals.get();
    assert!(
        admitted > 10_000 && refused > 10_000 && reclaims > 100 && generations > 300,
        "{admitted} requests admitted, {refused} refused, {reclaims} reclaims, {generations} generations"
    );
}
