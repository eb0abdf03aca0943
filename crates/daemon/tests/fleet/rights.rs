//! Fleet-wide limits and transfers of rights between instances.

use std::time::{Duration, Instant};

use tarragonpulley_policy::ids::LimitKey;
use tarragonpulley_policy::rights::TOTAL_SHARES;

use crate::harness::{TestFleet, team, wait_until};
use crate::platform::TableMode;

/// Longest wait of the callers in these tests for a token or a slot.
const ADMIT_TIMEOUT: Duration = Duration::from_millis(150);

/// Rate and burst of the team in the test contract.
pub(crate) const RATE: f64 = 60.0;
pub(crate) const BURST: f64 = 60.0;

pub(crate) fn rate_limit() -> LimitKey {
    LimitKey::Team(team())
}

fn slot_limit() -> LimitKey {
    "server:lunwan/fitdesk/fit-1".parse().expect("valid")
}

pub(crate) fn total_held(fleet: &TestFleet, limit: &LimitKey) -> u64 {
    fleet.instances.iter().map(|i| i.node.shares(limit)).sum()
}

/// Waits until the shares of the first generation are held.
async fn wait_until_issued(fleet: &TestFleet) {
    for limit in [rate_limit(), slot_limit()] {
        wait_until("shares are issued", || total_held(fleet, &limit) > 0).await;
    }
}

/// Runs requests on some instances until `deadline`; returns how many were admitted.
async fn run_load(fleet: &TestFleet, on: &[usize], deadline: Instant) -> f64 {
    let mut admitted = 0.0;
    while Instant::now() < deadline {
        for index in on {
            if fleet
                .node(*index)
                .admit(rate_limit(), ADMIT_TIMEOUT)
                .await
                .is_ok()
            {
                admitted += 1.0;
            }
        }
    }
    admitted
}

/// Guards against more admitted requests than rate and burst allow while rights
/// are transferred, and against rights that do not follow the load.
#[actix_rt::test]
async fn admitted_requests_stay_within_rate_and_burst() {
    let fleet = TestFleet::start_configured(3).await;
    wait_until_issued(&fleet).await;
    let start = Instant::now();
    let deadline = start + Duration::from_secs(4);
    let admitted = run_load(&fleet, &[0, 1, 2], deadline).await;
    let allowed = RATE * start.elapsed().as_secs_f64() + BURST;
    assert!(
        admitted <= allowed,
        "{admitted} admitted, {allowed} allowed"
    );
    assert!(admitted >= RATE * 2.0, "only {admitted} admitted in 4 s");
    for instance in &fleet.instances {
        assert!(
            instance.node.shares(&rate_limit()) > 0,
            "no share of the load"
        );
    }
    assert!(total_held(&fleet, &rate_limit()) <= TOTAL_SHARES);
}

/// Guards against transfers that need the table.
#[actix_rt::test]
async fn rights_move_while_the_table_is_down() {
    let fleet = TestFleet::start_configured(3).await;
    wait_until_issued(&fleet).await;
    for instance in &fleet.instances {
        instance.table.mode.set(TableMode::Down);
    }
    let without = |index: &usize| fleet.node(*index).shares(&rate_limit()) == 0;
    let without_shares: Vec<usize> = (0..3).filter(without).collect();
    let deadline = Instant::now() + Duration::from_secs(2);
    let admitted = run_load(&fleet, &without_shares, deadline).await;
    assert!(
        !without_shares.is_empty() && admitted > 0.0,
        "{without_shares:?}: {admitted}"
    );
}

/// Guards against more running requests than a backend server has slots, and
/// against slots that stay at an instance that does not use them.
#[actix_rt::test]
async fn slots_are_shared_and_never_exceeded() {
    let fleet = TestFleet::start_configured(2).await;
    wait_until_issued(&fleet).await;
    let mut running = Vec::new();
    let all_taken = Instant::now() + Duration::from_secs(3);
    while Instant::now() < all_taken {
        for instance in &fleet.instances {
            if instance
                .node
                .take_slots(&[slot_limit()])
                .map(|slots| running.push(slots))
                .is_none()
            {
                instance
                    .node
                    .request_slots(vec![slot_limit()], ADMIT_TIMEOUT)
                    .await;
            }
            assert!(running.len() <= 4, "{} run on 4 slots", running.len());
        }
    }
    assert_eq!(running.len(), 4);
    drop(running);
    let free = || fleet.node(0).take_slots(&[slot_limit()]).is_some();
    assert!(free() || fleet.node(1).take_slots(&[slot_limit()]).is_some());
}

/// Guards against rights that are lost with a failed instance, and against a
/// reclaim that grants more than it held.
#[actix_rt::test]
async fn rights_of_a_failed_instance_are_reclaimed() {
    let mut fleet = TestFleet::start_configured(3).await;
    wait_until_issued(&fleet).await;
    run_load(&fleet, &[2], Instant::now() + Duration::from_secs(1)).await;
    let held_before = fleet.node(2).shares(&rate_limit());
    assert!(held_before > 0);
    fleet.kill_last();
    assert!(total_held(&fleet, &rate_limit()) < TOTAL_SHARES);
    fleet.delist(2);
    let all_held = || total_held(&fleet, &rate_limit()) == TOTAL_SHARES;
    wait_until("all shares are held again", all_held).await;
    let instances = fleet.instances.iter();
    let reclaims = instances.filter_map(|i| i.node.metric("rights_reclaims_total"));
    assert!((reclaims.sum::<f64>() - 1.0).abs() < f64::EPSILON);
    let row = fleet.table.row("rights/generation").expect("written");
    assert_eq!(
        String::from_utf8_lossy(&row).matches("recipient").count(),
        1
    );
}

/// Guards against rights that are lost when an instance shuts down.
#[actix_rt::test]
async fn leaving_instance_transfers_its_rights() {
    let mut fleet = TestFleet::start_configured(3).await;
    wait_until_issued(&fleet).await;
    run_load(&fleet, &[2], Instant::now() + Duration::from_secs(1)).await;
    assert!(fleet.node(2).shares(&rate_limit()) > 0);
    assert!(fleet.node(2).leave(Duration::from_secs(3)).await);
    assert_eq!(fleet.node(2).shares(&rate_limit()), 0);
    let leaving = (fleet.node(2).incarnation().instance.to_string(), true);
    assert!(fleet.node(0).reachable_peers().contains(&leaving));
    fleet.kill_last();
    // The instance is still listed, so nothing is reclaimed; but transfers between
    // the others may be in progress.
    let all_held = || total_held(&fleet, &rate_limit()) == TOTAL_SHARES;
    wait_until("the others hold all", all_held).await;
}

/// Guards against an instance that was unreachable and whose rights were
/// reclaimed, and that spends them when it is reachable again.
#[actix_rt::test]
async fn fenced_instance_continues_with_nothing() {
    let fleet = TestFleet::start_configured(3).await;
    wait_until_issued(&fleet).await;
    run_load(&fleet, &[2], Instant::now() + Duration::from_secs(1)).await;
    let before = fleet.node(2).incarnation();
    assert!(fleet.node(2).shares(&rate_limit()) > 0);
    fleet.cut(0, 2, true);
    fleet.cut(1, 2, true);
    fleet.instances[2].table.mode.set(TableMode::Unresponsive);
    fleet.delist(2);
    let others = || fleet.node(0).shares(&rate_limit()) + fleet.node(1).shares(&rate_limit());
    wait_until("the others hold all", || others() == TOTAL_SHARES).await;
    let spent = fleet.node(2).admit(rate_limit(), ADMIT_TIMEOUT).await;
    assert_eq!(
        spent,
        Err("NotReady".to_owned()),
        "a fenced instance spends"
    );
    fleet.cut(0, 2, false);
    fleet.cut(1, 2, false);
    fleet.instances[2].table.mode.set(TableMode::Up);
    fleet.list_all();
    let renewed = || fleet.node(2).incarnation().number > before.number;
    wait_until("a new incarnation", renewed).await;
    assert!(total_held(&fleet, &rate_limit()) <= TOTAL_SHARES);
    wait_until("it has a proof again", || {
        fleet.node(2).proof_age().is_some()
    })
    .await;
    let deadline = Instant::now() + Duration::from_secs(2);
    assert!(run_load(&fleet, &[2], deadline).await > 0.0);
    assert!(total_held(&fleet, &rate_limit()) <= TOTAL_SHARES);
}

/// Guards against a fleet that has no rights after all its instances were
/// replaced, and against rights that are usable while a paused earlier holder may
/// still have a proof.
#[actix_rt::test]
async fn new_generation_follows_when_all_holders_were_replaced() {
    let mut fleet = TestFleet::start_configured(1).await;
    wait_until_issued(&fleet).await;
    fleet.restart_last(2).await;
    let start = Instant::now();
    let all_held = || total_held(&fleet, &rate_limit()) == TOTAL_SHARES;
    wait_until("the new incarnation holds all", all_held).await;
    assert!(start.elapsed() >= Duration::from_millis(2500), "too early");
    let row = fleet.table.row("rights/generation").expect("written");
    assert!(String::from_utf8_lossy(&row).contains("\"number\":2"));
}
