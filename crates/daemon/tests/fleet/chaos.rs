//! Random failures of links, the table, the list and processes.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::rights::TOTAL_SHARES;
use yare::parameterized;

use crate::harness::{TestFleet, eventually};
use crate::platform::TableMode;
use crate::rights::{BURST, RATE, held, rate_limit};

const LINKS: [(usize, usize); 3] = [(0, 1), (0, 2), (1, 2)];

async fn load(fleet: &TestFleet, index: usize, end: Instant, admitted: &RefCell<Vec<Instant>>) {
    let wait = Duration::from_millis(50);
    while Instant::now() < end {
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

async fn fail(fleet: &mut TestFleet, random: &mut SmallRng, run: &mut u64) {
    let (one, other) = LINKS[random.random_range(0..LINKS.len())];
    match random.random_range(0..9) {
        0 | 1 => fleet.cut(one, other, true),
        2 | 3 => fleet.cut(one, other, false),
        4 => fleet.instances[one].table.mode.set(TableMode::Silent),
        5 => set_tables(fleet, TableMode::Down),
        6 => set_tables(fleet, TableMode::Up),
        7 => {
            *run += 1;
            fleet.restart_last(*run).await;
        }
        _ => fleet.toggle_listed(2),
    }
}

/// Guards against an order of failures that lets the fleet spend more than its
/// rights, or that it does not recover from.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
#[test_macro(actix_rt::test)]
async fn random_failures_keep_limits(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut fleet = TestFleet::start_configured(3).await;
    let (admitted, mut run) = (RefCell::default(), 1);
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        let until = Instant::now() + Duration::from_millis(random.random_range(100..1500));
        let on = |index| load(&fleet, index, until, &admitted);
        tokio::join!(on(0), on(1), on(2));
        fail(&mut fleet, &mut random, &mut run).await;
    }
    let admitted = admitted.into_inner();
    for (first, start) in admitted.iter().enumerate() {
        let mut count = 0.0;
        for end in &admitted[first..] {
            count += 1.0;
            // One more, because a window is closed at both ends.
            let most = RATE * (*end - *start).as_secs_f64() + BURST + 1.0;
            assert!(
                count <= most,
                "{count} admitted, {most} allowed in a window"
            );
        }
    }
    for (one, other) in LINKS {
        fleet.cut(one, other, false);
    }
    set_tables(&fleet, TableMode::Up);
    fleet.list_all();
    let whole = || held(&fleet, &rate_limit()) == TOTAL_SHARES;
    eventually("all shares are held again", whole).await;
}
