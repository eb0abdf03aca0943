//! Single rules of the limit engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tarragonpulley_policy::contract::{
    CustomerContract, LookupPolicy, RegionPlan, ServerPlan, ServicePlan, TeamLimit,
};
use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::{
    AdoptOutcome, FenceReport, GenerationRecord, GrantTimes, LimitPlan, PairAmounts, RateDecision,
    ReceiveOutcome, ReclaimError, ReclaimRecord, RightsLedger, ShareRequest, TOTAL_SHARES,
    TransferCounter, limit_plans, plan_reclaim,
};
use tarragonpulley_policy::snapshot::ConfigSnapshot;
use tarragonpulley_policy::units::{BurstSize, RequestRate, SlotCount};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);
const ALL: ShareRequest = ShareRequest {
    shares: TOTAL_SHARES,
    tokens: u64::MAX,
};

fn id(text: &str) -> IncarnationId {
    text.parse().unwrap()
}

fn team() -> LimitKey {
    "team:c/t".parse().unwrap()
}

fn server() -> LimitKey {
    "server:c/s/b".parse().unwrap()
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

fn plans(list: &[(LimitKey, LimitPlan)]) -> BTreeMap<LimitKey, LimitPlan> {
    list.iter().cloned().collect()
}

fn record(reclaims: Vec<ReclaimRecord>) -> GenerationRecord {
    GenerationRecord {
        number: 1,
        first_holder: id("a#1"),
        reclaims,
    }
}

fn joined(name: &str, list: &[(LimitKey, LimitPlan)], now: Instant) -> RightsLedger {
    let mut ledger = RightsLedger::new(id(name));
    ledger.configure(&plans(list), now);
    ledger.adopt(&record(Vec::new()), now, now);
    ledger
}

fn admit_all(ledger: &mut RightsLedger, now: Instant) -> u32 {
    let granted = |_: &u32| ledger.admit(&team(), now) == RateDecision::Admitted;
    let count = (0..10_000).take_while(granted).count();
    u32::try_from(count).unwrap()
}

/// Moves everything that `from` has given to `to`.
fn deliver(from: &RightsLedger, to: &mut RightsLedger, now: Instant) -> ReceiveOutcome {
    let counters = from.counters_for(to.incarnation());
    to.receive(from.incarnation(), &counters, now)
}

/// Guards against limits of a configuration that nobody enforces.
#[test]
fn every_limit_of_a_contract_is_planned() {
    let contract = CustomerContract {
        customer: "c".parse().unwrap(),
        lookup: LookupPolicy {
            valid_for: SECOND,
            instances: 2,
        },
        regions: [(
            "r".parse().unwrap(),
            RegionPlan {
                capacity: SlotCount::new(40),
            },
        )]
        .into(),
        centres: [("z".parse().unwrap(), "r".parse().unwrap())].into(),
        links: Vec::new(),
        teams: [(
            "t".parse().unwrap(),
            TeamLimit {
                rate: RequestRate::per_second(20),
                burst: BurstSize::new(2),
            },
        )]
        .into(),
        services: [(
            "s".parse().unwrap(),
            ServicePlan {
                version: "v1".parse().unwrap(),
                routes: Vec::new(),
                servers: [(
                    "b".parse().unwrap(),
                    ServerPlan {
                        address: "10.0.0.1:80".parse().unwrap(),
                        centre: "z".parse().unwrap(),
                        slots: SlotCount::new(3),
                        connections: 330,
                        version: "v1".parse().unwrap(),
                        leaving: false,
                    },
                )]
                .into(),
            },
        )]
        .into(),
        blocks: Vec::new(),
    };
    let snapshot = ConfigSnapshot {
        contracts: [("c".parse().unwrap(), contract.into())].into(),
        ..ConfigSnapshot::default()
    };
    let expected = [
        (team(), rate(20, 2)),
        (server(), slots(3)),
        ("region:c/r".parse().unwrap(), slots(40)),
    ];
    assert_eq!(limit_plans(&snapshot), plans(&expected));
}

/// Guards against tokens that are issued with the shares, refill above the
/// burst, and rounding in favour of the holder.
#[parameterized(
    at_start = { 10, 5, 0, 0 },
    just_short_of_one = { 10, 5, 99, 0 },
    one = { 10, 5, 100, 1 },
    burst_is_the_cap = { 10, 5, 60_000, 5 },
    no_rate = { 0, 5, 60_000, 0 },
    no_burst = { 10, 0, 60_000, 0 },
    slow = { 1, 1, 999, 0 },
)]
fn first_holder_refills_from_zero(per_second: u32, burst: u32, millis: u64, admitted: u32) {
    let now = Instant::now();
    let mut ledger = joined("a#1", &[(team(), rate(per_second, burst))], now);
    let later = now + Duration::from_millis(millis);
    assert_eq!(admit_all(&mut ledger, later), admitted);
}

/// Guards against a refill that loses or gains time when it is asked often.
#[test]
fn refill_in_small_steps_is_exact() {
    let now = Instant::now();
    let mut ledger = joined("a#1", &[(team(), rate(7, 100))], now);
    for step in 0..=1_000_000_u64 {
        ledger.admit(&team(), now + Duration::from_micros(step));
    }
    // The first six are spent on the way; the seventh is due now.
    assert_eq!(ledger.tokens(&team()), 0);
    assert_eq!(
        ledger.admit(&team(), now + SECOND),
        RateDecision::NoToken {
            time_to_token: Duration::from_nanos(142_857_143)
        }
    );
}

/// Guards against awards that are spent while a paused holder may still spend.
#[test]
fn shares_become_usable_at_the_stated_time() {
    let now = Instant::now();
    let mut ledger = RightsLedger::new(id("a#1"));
    ledger.configure(&plans(&[(team(), rate(10, 5))]), now);
    let outcome = ledger.adopt(&record(Vec::new()), now + 3 * SECOND, now);
    assert_eq!(outcome, AdoptOutcome::Adopted);
    assert_eq!(admit_all(&mut ledger, now + 2 * SECOND), 0);
    assert_eq!(ledger.shares(&team()), 0);
    assert_eq!(admit_all(&mut ledger, now + 3 * SECOND), 0);
    assert_eq!(ledger.shares(&team()), TOTAL_SHARES);
    assert_eq!(admit_all(&mut ledger, now + 4 * SECOND), 5);
}

/// Guards against limits without an owner after a configuration adds them.
#[test]
fn first_holder_owns_limits_that_are_added_later() {
    let now = Instant::now();
    let mut ledger = joined("a#1", &[], now);
    assert_eq!(ledger.admit(&team(), now), RateDecision::Unknown);
    ledger.configure(&plans(&[(team(), rate(10, 5))]), now);
    assert_eq!(ledger.shares(&team()), TOTAL_SHARES);
    ledger.transfer_on_request(&id("b#1"), &team(), &ALL, now);
    ledger.configure(&plans(&[]), now);
    ledger.configure(&plans(&[(team(), rate(10, 5))]), now);
    assert!(ledger.shares(&team()) < TOTAL_SHARES, "issued twice");
}

/// Guards against tokens above the new burst, or tokens out of nothing, when a
/// plan changes.
#[parameterized(
    burst_shrinks = { rate(10, 2), 2 },
    burst_grows = { rate(10, 50), 10 },
    rate_grows = { rate(1000, 10), 10 },
)]
fn plan_change_keeps_tokens_inside_the_burst(next: LimitPlan, admitted: u32) {
    let now = Instant::now();
    let mut ledger = joined("a#1", &[(team(), rate(10, 10))], now);
    let later = now + 10 * SECOND;
    ledger.configure(&plans(&[(team(), next)]), later);
    assert_eq!(admit_all(&mut ledger, later), admitted);
}

/// Guards against repeated, late and forged counters that add shares.
#[parameterized(
    news = { |c| { c.shares += 10; }, ReceiveOutcome::Applied { changed: true } },
    repeat = { |_| {}, ReceiveOutcome::Applied { changed: false } },
    shares_go_back = { |c| { c.shares -= 1; }, ReceiveOutcome::Invalid },
    tokens_go_back = { |c| { c.tokens -= 1; }, ReceiveOutcome::Invalid },
    above_all_shares = { |c| { c.shares = TOTAL_SHARES + 1; }, ReceiveOutcome::Invalid },
    counter_at_its_end = { |c| { c.shares = u64::MAX; }, ReceiveOutcome::Invalid },
    tokens_without_shares = { |c| { c.tokens += 1; }, ReceiveOutcome::Invalid },
    earlier_generation = { |c| { c.generation = 0; }, ReceiveOutcome::OtherGeneration },
    later_generation = { |c| { c.generation = 2; }, ReceiveOutcome::OtherGeneration },
    other_receiver = { |c| { c.receiver += 1; }, ReceiveOutcome::OtherReceiver },
)]
fn counters_are_checked(change: fn(&mut TransferCounter), expected: ReceiveOutcome) {
    let now = Instant::now();
    let list = [(team(), rate(10, 5))];
    let mut giver = joined("a#1", &list, now);
    let mut taker = joined("b#1", &list, now);
    let want = ShareRequest {
        shares: 1000,
        tokens: 4000,
    };
    assert!(giver.transfer_on_request(&id("b#1"), &team(), &want, now + SECOND));
    deliver(&giver, &mut taker, now + SECOND);
    let mut counters = giver.counters_for(&id("b#1"));
    change(counters.get_mut(&team()).unwrap());
    let before = (taker.shares(&team()), taker.tokens(&team()));
    let outcome = taker.receive(&id("a#1"), &counters, now + SECOND);
    assert_eq!(outcome, expected);
    if outcome != (ReceiveOutcome::Applied { changed: true }) {
        assert_eq!((taker.shares(&team()), taker.tokens(&team())), before);
    }
}

/// Guards against a giver that keeps or sends more tokens than the shares
/// allow, whatever the other side asks for.
#[parameterized(
    few_shares = { ShareRequest { shares: 1, tokens: u64::MAX } },
    half = { ShareRequest { shares: TOTAL_SHARES / 2, tokens: u64::MAX } },
    no_tokens = { ShareRequest { shares: TOTAL_SHARES / 2, tokens: 0 } },
    everything = { ALL },
    absurd = { ShareRequest { shares: u64::MAX, tokens: u64::MAX } },
)]
fn gift_stays_inside_its_shares(want: ShareRequest) {
    let now = Instant::now();
    let burst = 50;
    let mut giver = joined("a#1", &[(team(), rate(100, burst))], now);
    // Half full, so that tokens that are given and kept show up.
    let later = now + SECOND / 4;
    let before = u64::from(burst / 2) * TOTAL_SHARES;
    assert!(giver.transfer_on_request(&id("b#1"), &team(), &want, later));
    let given = giver.counters_for(&id("b#1"))[&team()];
    let burst = u64::from(burst);
    assert!(given.tokens <= u128::from(given.shares * burst));
    assert_eq!(
        given.tokens + u128::from(giver.tokens(&team())),
        before.into()
    );
    assert!(giver.tokens(&team()) <= giver.shares(&team()) * burst);
    assert_eq!(given.shares + giver.shares(&team()), TOTAL_SHARES);
}

/// Guards against small bursts that no instance can use, because each of 12
/// holders has less than one token.
#[test]
fn an_ask_collects_a_token_from_several_peers() {
    let now = Instant::now();
    let list = [(team(), rate(20, 2))];
    let mut first = joined("a#1", &list, now);
    let mut fleet: Vec<_> = (1..12)
        .map(|n| joined(&format!("n{n}#1"), &list, now))
        .collect();
    let mut now = now + SECOND;
    for peer in &mut fleet {
        let want = ShareRequest {
            shares: TOTAL_SHARES / 12,
            tokens: u64::MAX,
        };
        first.transfer_on_request(peer.incarnation(), &team(), &want, now);
        deliver(&first, peer, now);
    }
    now += SECOND;
    let mut asker = fleet.pop().unwrap();
    let outcome = asker.admit(&team(), now);
    assert_eq!(
        outcome,
        RateDecision::NoToken {
            time_to_token: Duration::MAX
        }
    );
    for peer in &mut fleet {
        let Some(want) = asker.share_request(&team(), now) else {
            break;
        };
        peer.transfer_on_request(asker.incarnation(), &team(), &want, now);
        deliver(peer, &mut asker, now);
    }
    let outcome = asker.admit_waiting(&team(), now);
    assert_eq!(outcome, RateDecision::Admitted);
}

/// Guards against a busy instance that gives away what it needs itself, and an
/// idle one that hoards. With half of the rate as demand, it keeps that
/// half and the share of at least one token.
#[parameterized(
    idle = { 0, 630_000_000, 720_720_000 },
    half_busy = { 50, 300_000_000, TOTAL_SHARES / 2 - TOTAL_SHARES / 100 },
    fully_busy = { 100, 0, 1 },
)]
fn a_busy_giver_keeps_its_demand(per_second: u64, least: u64, most: u64) {
    let start = Instant::now();
    let mut giver = joined("a#1", &[(team(), rate(100, 100))], start);
    let mut now = start;
    for n in 0..3 * per_second {
        now = start + SECOND * u32::try_from(n).unwrap() / u32::try_from(per_second).unwrap();
        giver.admit(&team(), now);
    }
    giver.transfer_on_request(&id("b#1"), &team(), &ALL, now);
    let given = TOTAL_SHARES - giver.shares(&team());
    assert!((least..=most).contains(&given), "gave {given} shares");
}

/// Guards against a demand estimate that sees a flood too late.
#[test]
fn demand_follows_a_flood_within_200_ms() {
    let start = Instant::now();
    let mut ledger = joined("a#1", &[(team(), rate(100, 100))], start);
    for n in 0..100 {
        ledger.admit(&team(), start + n * Duration::from_millis(2));
    }
    let demand = ledger.summary(start + Duration::from_millis(200))[&team()].demand;
    assert!((250_000..=750_000).contains(&demand), "{demand} of 500000");
}

/// Guards against work beyond the slots, rounding up, and slots taken for some
/// of the limits of one request.
#[parameterized(
    none = { 0, 4, 0 },
    one_short_of_a_slot = { TOTAL_SHARES / 4 - 1, 4, 0 },
    one = { TOTAL_SHARES / 4, 4, 1 },
    odd_count = { TOTAL_SHARES / 2, 17, 8 },
    all = { TOTAL_SHARES, 4, 4 },
)]
fn slots_round_down(shares: u64, count: u32, running: u32) {
    let now = Instant::now();
    let list = [(server(), slots(count))];
    let mut ledger = joined("b#1", &list, now);
    let counter = TransferCounter {
        generation: 1,
        receiver: receiver_digest(&ledger),
        shares,
        tokens: 0,
    };
    ledger.receive(&id("a#1"), &[(server(), counter)].into(), now);
    let taken = (0..100).take_while(|_| ledger.take_slots(&[server()]));
    assert_eq!(taken.count(), usize::try_from(running).unwrap());
    let region: LimitKey = "region:c/r".parse().unwrap();
    assert!(!ledger.take_slots(&[server(), region]));
    assert_eq!(ledger.running(&server()), running);
}

/// How counters name a ledger, read from a gift to it.
fn receiver_digest(ledger: &RightsLedger) -> u64 {
    let now = Instant::now();
    let mut giver = joined("a#1", &[(server(), slots(1))], now);
    giver.transfer_on_request(ledger.incarnation(), &server(), &ALL, now);
    giver.counters_for(ledger.incarnation())[&server()].receiver
}

/// Guards against giving away slots that run, and against new work when a
/// limit shrinks below what runs.
#[test]
fn running_slots_are_kept() {
    let now = Instant::now();
    let mut ledger = joined("a#1", &[(server(), slots(4))], now);
    assert!((0..3).all(|_| ledger.take_slots(&[server()])));
    assert!(!ledger.transfer_all(&id("b#1"), now));
    assert_eq!(ledger.shares(&server()), TOTAL_SHARES / 4 * 3);
    ledger.configure(&plans(&[(server(), slots(2))]), now);
    assert_eq!(ledger.running(&server()), 3);
    assert!(!ledger.take_slots(&[server()]));
    ledger.release_slots(&[server(), server()]);
    assert!(!ledger.take_slots(&[server()]), "one of floor(1.5) runs");
    ledger.release_slots(&[server()]);
    assert!(ledger.transfer_all(&id("b#1"), now));
    assert_eq!(ledger.shares(&server()), 0);
}

/// Guards against a release that hides slots that run.
#[test]
#[should_panic(expected = "released a slot that does not run")]
fn a_release_without_a_slot_stops_the_process() {
    let now = Instant::now();
    joined("a#1", &[(server(), slots(4))], now).release_slots(&[server()]);
}

/// Guards against heartbeats that repeat all counters, and counters that are
/// lost with one message.
#[test]
fn unacknowledged_changes_are_sent_again() {
    let now = Instant::now();
    let list = [(team(), rate(10, 5)), (server(), slots(4))];
    let mut ledger = joined("a#1", &list, now);
    let (peer, want) = (
        id("b#1"),
        ShareRequest {
            shares: 9,
            tokens: 0,
        },
    );
    ledger.transfer_on_request(&peer, &team(), &want, now);
    let first = ledger.counters_since_ack(&peer);
    ledger.transfer_on_request(&peer, &server(), &ALL, now);
    assert_eq!(ledger.counters_since_ack(&peer).counters.len(), 2);
    ledger.acknowledge(&peer, first.last_change);
    let rest = ledger.counters_since_ack(&peer);
    assert_eq!(rest.counters.keys().collect::<Vec<_>>(), [&server()]);
    ledger.acknowledge(&peer, rest.last_change + 1);
    assert_eq!(ledger.counters_since_ack(&peer).counters.len(), 1);
    ledger.acknowledge(&peer, rest.last_change);
    assert!(ledger.counters_since_ack(&peer).counters.is_empty());
    assert_eq!(ledger.counters_for(&peer).len(), 2);
}

/// Guards against a fenced incarnation that goes on spending, and against a
/// stale read that takes a generation back.
#[test]
fn a_fenced_ledger_drops_everything() {
    let now = Instant::now();
    let mut ledger = joined("a#1", &[(team(), rate(10, 5))], now);
    let reclaim = ReclaimRecord {
        dead: [id("a#1")].into(),
        recipient: id("b#1"),
        amounts: BTreeMap::new(),
        takes_unlisted: true,
    };
    let fenced = record(vec![reclaim]);
    let later = now + SECOND;
    let mut survivor = joined("b#1", &[(team(), rate(10, 5))], now);
    assert_eq!(ledger.adopt(&fenced, later, later), AdoptOutcome::Fenced);
    assert_eq!(admit_all(&mut ledger, later + SECOND), 0);
    assert!(!ledger.transfer_on_request(&id("b#1"), &team(), &ALL, later));
    let unchanged = ledger.adopt(&record(Vec::new()), later, later);
    assert_eq!(unchanged, AdoptOutcome::Fenced);
    assert_eq!(survivor.adopt(&fenced, later, now), AdoptOutcome::Adopted);
    let again = survivor.adopt(&record(Vec::new()), later, now);
    assert_eq!(again, AdoptOutcome::Unchanged);
    let outcome = survivor.receive(&id("a#1"), &BTreeMap::new(), later);
    assert_eq!(outcome, ReceiveOutcome::Fenced);
    assert_eq!(survivor.shares(&team()), TOTAL_SHARES);
    assert_eq!(survivor.tokens(&team()), 0, "tokens are never issued");
}

/// Guards against an award that is usable too early or brings tokens.
#[test]
fn an_award_starts_late_and_empty() {
    let now = Instant::now();
    let mut survivor = joined("b#1", &[(team(), rate(10, 5))], now);
    let reclaim = ReclaimRecord {
        dead: [id("a#1")].into(),
        recipient: id("b#1"),
        amounts: [(team(), 5000)].into(),
        takes_unlisted: false,
    };
    let usable = now + 3 * SECOND;
    survivor.adopt(&record(vec![reclaim]), usable, now);
    survivor.tick(now + 2 * SECOND);
    assert_eq!(survivor.shares(&team()), 0);
    survivor.tick(usable);
    assert_eq!(survivor.shares(&team()), 5000);
    assert_eq!(survivor.tokens(&team()), 0);
}

/// Guards against slots that are used again while requests of a holder that is
/// gone may still run on the backend server.
#[test]
fn awarded_slots_wait_for_requests_left_behind() {
    let now = Instant::now();
    let plans = [
        (team(), rate(10, 5)),
        (server(), LimitPlan::Slots(SlotCount::new(4))),
    ];
    let mut survivor = joined("b#1", &plans, now);
    let reclaim = ReclaimRecord {
        dead: [id("a#1")].into(),
        recipient: id("b#1"),
        amounts: [(team(), 5000), (server(), TOTAL_SHARES)].into(),
        takes_unlisted: false,
    };
    let (usable, run_time) = (now + SECOND, 3 * SECOND);
    let times = GrantTimes::new(usable, [(server(), run_time)].into());
    survivor.adopt(&record(vec![reclaim]), times, now);
    survivor.tick(usable);
    assert_eq!(survivor.shares(&team()), 5000);
    assert!(!survivor.take_slots(&[server()]));
    survivor.tick(usable + Duration::from_millis(2999));
    assert!(!survivor.take_slots(&[server()]));
    survivor.tick(usable + run_time);
    assert!(survivor.take_slots(&[server()]));
}

/// Guards against the same when a new generation begins.
#[test]
fn slots_of_a_new_generation_wait_for_requests_left_behind() {
    let now = Instant::now();
    let mut first = RightsLedger::new(id("a#1"));
    let plans = [
        (team(), rate(10, 5)),
        (server(), LimitPlan::Slots(SlotCount::new(4))),
    ];
    first.configure(&plans.into(), now);
    let (usable, run_time) = (now + SECOND, 3 * SECOND);
    let times = GrantTimes::new(usable, [(server(), run_time)].into());
    first.adopt(&record(Vec::new()), times, now);
    first.tick(usable);
    assert_eq!(first.shares(&team()), TOTAL_SHARES);
    assert!(!first.take_slots(&[server()]));
    first.tick(usable + run_time);
    assert!(first.take_slots(&[server()]));
}

fn report(fenced: &[&str], peer: &str, given: u64, received: u64) -> FenceReport {
    let amounts = PairAmounts { given, received };
    FenceReport {
        generation: 1,
        fenced: fenced.iter().map(|name| id(name)).collect(),
        amounts: [(id(peer), [(team(), amounts)].into())].into(),
        peers: BTreeSet::new(),
    }
}

/// Guards against awards that are too large, and shares that are lost.
#[parameterized(
    gave_some = { 0, 100, TOTAL_SHARES - 100 },
    got_some_back = { 40, 100, TOTAL_SHARES - 60 },
    gave_all = { 0, TOTAL_SHARES, 0 },
)]
fn award_is_what_the_dead_held(given: u64, received: u64, grant: u64) {
    let dead = [id("a#1")].into();
    let reports = [(id("b#1"), report(&["a#1"], "a#1", given, received))].into();
    let reclaim = plan_reclaim(&record(Vec::new()), &dead, &id("b#1"), &reports).unwrap();
    assert_eq!(reclaim.amounts, [(team(), grant)].into());
    assert!(reclaim.takes_unlisted);
    // The recipient dies too. What it was awarded is not issued again to the
    // first holder's account, and limits nobody moved stay with the chain.
    let record = record(vec![reclaim]);
    let dead = [id("a#1"), id("b#1")].into();
    let reports = [(id("c#1"), report(&["a#1", "b#1"], "b#1", 0, 0))].into();
    let second = plan_reclaim(&record, &dead, &id("c#1"), &reports).unwrap();
    assert_eq!(second.amounts, [(team(), TOTAL_SHARES)].into());
    assert!(second.takes_unlisted);
}

type Reports = BTreeMap<IncarnationId, FenceReport>;

/// Guards against a reclaim from incomplete or contradicting reports, which
/// would issue shares twice.
#[parameterized(
    not_fenced = {
        |r: &mut Reports| r.get_mut(&id("b#1")).unwrap().fenced.clear(),
        ReclaimError::NotFenced { reporter: id("b#1"), incarnation: id("a#1") }
    },
    other_generation = {
        |r: &mut Reports| r.get_mut(&id("b#1")).unwrap().generation = 2,
        ReclaimError::OtherGeneration { reporter: id("b#1"), found: 2, expected: 1 }
    },
    peer_without_report = {
        |r: &mut Reports| { r.get_mut(&id("b#1")).unwrap().peers.insert(id("c#1")); },
        ReclaimError::ReportMissing { incarnation: id("c#1") }
    },
    recipient_without_report = {
        |r: &mut Reports| r.clear(),
        ReclaimError::ReportMissing { incarnation: id("b#1") }
    },
    dead_reporter = {
        |r: &mut Reports| { r.insert(id("a#1"), report(&["a#1"], "a#1", 0, 0)); },
        ReclaimError::RemovedParticipant { incarnation: id("a#1") }
    },
    more_received_than_exists = {
        |r: &mut Reports| {
            r.insert(id("b#1"), report(&["a#1"], "a#1", 0, TOTAL_SHARES + 1));
        },
        ReclaimError::Impossible { limit: team(), grant: -1 }
    },
)]
fn reclaims_need_sound_reports(change: fn(&mut Reports), expected: ReclaimError) {
    let dead = [id("a#1")].into();
    let mut reports = [(id("b#1"), report(&["a#1"], "a#1", 0, 100))].into();
    change(&mut reports);
    let result = plan_reclaim(&record(Vec::new()), &dead, &id("b#1"), &reports);
    assert_eq!(result, Err(expected));
}
