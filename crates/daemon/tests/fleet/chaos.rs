//! Randomized failures of links, the table, the instance list and processes.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::rights::TOTAL_SHARES;
use yare::parameterized;

use crate::harness::{TestFleet, wait_until};
use crate::platform::TableMode;
use crate::rights::{BURST, RATE, rate_limit, total_held};

const LINKS: [(usize, usize); 3] = [(0, 1), (0, 2), (1, 2)];

async fn run_load(
    fleet: &TestFleet,
    index: usize,
    deadline: Instant,
    admitted: &RefCell<Vec<Instant>>,
) {
    let wait = Duration::from_millis(50);
    while Instant::now() < deadline {
        if fleet.node(index).admit(rate_limit(), wait).await.is_ok() {
            admitted.borrow_mut().push(Instant::now());
        }
        let proved = fleet
            .instances
            .iter()
            .filter(|i| i.node.proof_age().is_some());
        let shares: u64 = proved.map(|i| i.node.shares(&rate_limit())).sum();
        assert!(shares <= TOTAL_SHARES, "{shares} shares may be spent");
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
}

fn set_tables(fleet: &TestFleet, mode: TableMode) {
    for instance in &fleet.instances {
        instance.table.mode.set(mode);
    }
}

async fn inject_failure(fleet: &mut TestFleet, random: &mut SmallRng, run: &mut u64) {
    let (one, other) = LINKS[random.random_range(0..LINKS.len())];
    match random.random_range(0..9) {
        0 | 1 => fleet.cut(one, other, true),
        2 | 3 => fleet.cut(one, other, false),
        4 => fleet.instances[one].table.mode.set(TableMode::Unresponsive),
        5 => set_tables(fleet, TableMode::Down),
        6 => set_tables(fleet, TableMode::Up),
        7 => {
            *run += 1;
            fleet.restart_last(*run).await;
        }
        _ => fleet.toggle_listed(2),
    }
}

/// Guards against a sequence of failures that makes the fleet exceed a limit, or
/// from which it does not recover.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
#[test_macro(actix_rt::test)]
async fn random_failures_keep_limits(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut fleet = TestFleet::start_configured(3).await;
    let (admitted, mut run) = (RefCell::default(), 1);
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        let until = Instant::now() + Duration::from_millis(random.random_range(100..1500));
        let on = |index| run_load(&fleet, index, until, &admitted);
        tokio::join!(on(0), on(1), on(2));
        inject_failure(&mut fleet, &mut random, &mut run).await;
    }
    let admitted = admitted.into_inner();
    for (first, start) in admitted.iter().enumerate() {
        let mut count = 0.0;
        for window_end in &admitted[first..] {
            count += 1.0;
            // One more, because the window includes both ends.
            let max_admitted = RATE * (*window_end - *start).as_secs_f64() + BURST + 1.0;
            assert!(
                count <= max_admitted,
                "{count} admitted, {max_admitted} allowed in a window"
            );
        }
    }
    for (one, other) in LINKS {
        fleet.cut(one, other, false);
    }
    set_tables(&fleet, TableMode::Up);
    fleet.list_all();
    let all_held = || total_held(&fleet, &rate_limit()) == TOTAL_SHARES;
    wait_until("all shares are held again", all_held).await;
}
