//! Fleet-wide limits between instances.

use std::time::{Duration, Instant};

use tarragonpulley_policy::ids::LimitKey;
use tarragonpulley_policy::rights::TOTAL_SHARES;

use crate::harness::{TestFleet, eventually, team};
use crate::platform::TableMode;

/// How long callers in these tests wait for a token or a slot.
const WAIT: Duration = Duration::from_millis(150);

/// Rate and burst of the team in the test contract.
pub(crate) const RATE: f64 = 60.0;
pub(crate) const BURST: f64 = 60.0;

pub(crate) fn rate_limit() -> LimitKey {
    LimitKey::Team(team())
}

fn slot_limit() -> LimitKey {
    "server:lunwan/fitdesk/fit-1".parse().expect("valid")
}

pub(crate) fn held(fleet: &TestFleet, limit: &LimitKey) -> u64 {
    fleet.instances.iter().map(|i| i.node.shares(limit)).sum()
}

/// Waits until the first generation is in use.
async fn issued(fleet: &TestFleet) {
    for limit in [rate_limit(), slot_limit()] {
        eventually("shares are issued", || held(fleet, &limit) > 0).await;
    }
}

/// Runs requests on some instances until `end`; returns how many were admitted.
async fn load(fleet: &TestFleet, on: &[usize], end: Instant) -> f64 {
    let mut admitted = 0.0;
    while Instant::now() < end {
        for index in on {
            if fleet.node(*index).admit(rate_limit(), WAIT).await.is_ok() {
                admitted += 1.0;
            }
        }
    }
    admitted
}

/// Guards against more requests than rate and burst allow while rights move
/// between instances, and against rights that do not follow the load.
#[actix_rt::test]
async fn admitted_requests_stay_within_rate_and_burst() {
    let fleet = TestFleet::start_configured(3).await;
    issued(&fleet).await;
    let start = Instant::now();
    let end = start + Duration::from_secs(4);
    let admitted = load(&fleet, &[0, 1, 2], end).await;
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
    assert!(held(&fleet, &rate_limit()) <= TOTAL_SHARES);
}

/// Guards against transfers that need the table.
#[actix_rt::test]
async fn rights_move_while_the_table_is_down() {
    let fleet = TestFleet::start_configured(3).await;
    issued(&fleet).await;
    for instance in &fleet.instances {
        instance.table.mode.set(TableMode::Down);
    }
    let without = |index: &usize| fleet.node(*index).shares(&rate_limit()) == 0;
    let poor: Vec<usize> = (0..3).filter(without).collect();
    let end = Instant::now() + Duration::from_secs(2);
    let admitted = load(&fleet, &poor, end).await;
    assert!(!poor.is_empty() && admitted > 0.0, "{poor:?}: {admitted}");
}

/// Guards against more running requests than a backend server has slots, and
/// against slots that stay where nobody uses them.
#[actix_rt::test]
async fn slots_are_shared_and_never_exceeded() {
    let fleet = TestFleet::start_configured(2).await;
    issued(&fleet).await;
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
                instance.node.request_slots(vec![slot_limit()], WAIT).await;
            }
            assert!(running.len() <= 4, "{} run on 4 slots", running.len());
        }
    }
    assert_eq!(running.len(), 4);
    drop(running);
    let free = || fleet.node(0).take_slots(&[slot_limit()]).is_some();
    assert!(free() || fleet.node(1).take_slots(&[slot_limit()]).is_some());
}

/// Guards against rights that a dead instance takes with it, and against a
/// reclaim that gives out more than there is.
#[actix_rt::test]
async fn rights_of_a_dead_instance_are_reclaimed() {
    let mut fleet = TestFleet::start_configured(3).await;
    issued(&fleet).await;
    load(&fleet, &[2], Instant::now() + Duration::from_secs(1)).await;
    let had = fleet.node(2).shares(&rate_limit());
    assert!(had > 0);
    fleet.kill_last();
    assert!(held(&fleet, &rate_limit()) < TOTAL_SHARES);
    fleet.delist(2);
    let whole = || held(&fleet, &rate_limit()) == TOTAL_SHARES;
    eventually("all shares are held again", whole).await;
    let instances = fleet.instances.iter();
    let reclaims = instances.filter_map(|i| i.node.metric("rights_reclaims_total"));
    assert!((reclaims.sum::<f64>() - 1.0).abs() < f64::EPSILON);
    let row = fleet.table.row("rights/generation").expect("written");
    assert_eq!(
        String::from_utf8_lossy(&row).matches("recipient").count(),
        1
    );
}

/// Guards against a stopping instance that takes its rights with it.
#[actix_rt::test]
async fn leaving_instance_hands_its_rights_over() {
    let mut fleet = TestFleet::start_configured(3).await;
    issued(&fleet).await;
    load(&fleet, &[2], Instant::now() + Duration::from_secs(1)).await;
    assert!(fleet.node(2).shares(&rate_limit()) > 0);
    assert!(fleet.node(2).leave(Duration::from_secs(3)).await);
    assert_eq!(fleet.node(2).shares(&rate_limit()), 0);
    let leaving = (fleet.node(2).incarnation().instance.to_string(), true);
    assert!(fleet.node(0).reachable_peers().contains(&leaving));
    fleet.kill_last();
    // The list still shows it, so nothing is reclaimed; but transfers between
    // the others may be under way.
    let whole = || held(&fleet, &rate_limit()) == TOTAL_SHARES;
    eventually("the others hold all", whole).await;
}

/// Guards against an instance that was cut off, declared gone and reclaimed,
/// and goes on spending what it held when it is back.
#[actix_rt::test]
async fn fenced_instance_continues_with_nothing() {
    let fleet = TestFleet::start_configured(3).await;
    issued(&fleet).await;
    load(&fleet, &[2], Instant::now() + Duration::from_secs(1)).await;
    let before = fleet.node(2).incarnation();
    assert!(fleet.node(2).shares(&rate_limit()) > 0);
    fleet.cut(0, 2, true);
    fleet.cut(1, 2, true);
    fleet.instances[2].table.mode.set(TableMode::Silent);
    fleet.delist(2);
    let others = || fleet.node(0).shares(&rate_limit()) + fleet.node(1).shares(&rate_limit());
    eventually("the others hold all", || others() == TOTAL_SHARES).await;
    let spent = fleet.node(2).admit(rate_limit(), WAIT).await;
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
    eventually("a new incarnation", renewed).await;
    assert!(held(&fleet, &rate_limit()) <= TOTAL_SHARES);
    eventually("it takes part again", || {
        fleet.node(2).proof_age().is_some()
    })
    .await;
    let end = Instant::now() + Duration::from_secs(2);
    assert!(load(&fleet, &[2], end).await > 0.0);
    assert!(held(&fleet, &rate_limit()) <= TOTAL_SHARES);
}

/// Guards against a fleet that stays without rights after all its instances
/// were replaced, and against rights that are usable while a paused earlier
/// holder may still have a proof.
#[actix_rt::test]
async fn new_generation_follows_when_all_holders_are_gone() {
    let mut fleet = TestFleet::start_configured(1).await;
    issued(&fleet).await;
    fleet.restart_last(2).await;
    let start = Instant::now();
    let whole = || held(&fleet, &rate_limit()) == TOTAL_SHARES;
    eventually("the new run holds all", whole).await;
    assert!(start.elapsed() >= Duration::from_millis(2500), "too early");
    let row = fleet.table.row("rights/generation").expect("written");
    assert!(String::from_utf8_lossy(&row).contains("\"number\":2"));
}
