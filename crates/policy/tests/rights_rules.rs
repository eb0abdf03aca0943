//! Tests of single operations of the ledger and of the planning of reclaims.

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
const MAX_REQUEST: ShareRequest = ShareRequest {
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

fn joined_ledger(name: &str, list: &[(LimitKey, LimitPlan)], now: Instant) -> RightsLedger {
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

/// Delivers all counters that `from` has for `to`.
fn deliver(from: &RightsLedger, to: &mut RightsLedger, now: Instant) -> ReceiveOutcome {
    let counters = from.counters_for(to.incarnation());
    to.receive(from.incarnation(), &counters, now)
}

/// Guards against limits of a contract that no ledger enforces.
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

/// Guards against tokens that are granted with the shares, a refill above the
/// burst, and rounding up.
#[parameterized(
    at_start = { 10, 5, 0, 0 },
    just_below_one = { 10, 5, 99, 0 },
    one = { 10, 5, 100, 1 },
    burst_is_the_cap = { 10, 5, 60_000, 5 },
    no_rate = { 0, 5, 60_000, 0 },
    no_burst = { 10, 0, 60_000, 0 },
    slow = { 1, 1, 999, 0 },
)]
fn first_holder_refills_from_zero(per_second: u32, burst: u32, millis: u64, admitted: u32) {
    let now = Instant::now();
    let mut ledger = joined_ledger("a#1", &[(team(), rate(per_second, burst))], now);
    let later = now + Duration::from_millis(millis);
    assert_eq!(admit_all(&mut ledger, later), admitted);
}

/// Guards against a refill that loses or gains tokens by rounding when it is
/// called often.
#[test]
fn refill_in_small_steps_is_exact() {
    let now = Instant::now();
    let mut ledger = joined_ledger("a#1", &[(team(), rate(7, 100))], now);
    for step in 0..=1_000_000_u64 {
        ledger.admit(&team(), now + Duration::from_micros(step));
    }
    // Six tokens were spent on the way and the seventh in the last step.
    assert_eq!(ledger.tokens(&team()), 0);
    assert_eq!(
        ledger.admit(&team(), now + SECOND),
        RateDecision::NoToken {
            time_to_token: Duration::from_nanos(142_857_143)
        }
    );
}

/// Guards against granted shares that are usable while a paused former holder
/// could still admit requests.
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

/// Guards against limits that are added by a later configuration and have no
/// holder.
#[test]
fn first_holder_gets_limits_that_are_added_later() {
    let now = Instant::now();
    let mut ledger = joined_ledger("a#1", &[], now);
    assert_eq!(ledger.admit(&team(), now), RateDecision::Unknown);
    ledger.configure(&plans(&[(team(), rate(10, 5))]), now);
    assert_eq!(ledger.shares(&team()), TOTAL_SHARES);
    ledger.transfer_on_request(&id("b#1"), &team(), &MAX_REQUEST, now);
    ledger.configure(&plans(&[]), now);
    ledger.configure(&plans(&[(team(), rate(10, 5))]), now);
    assert!(ledger.shares(&team()) < TOTAL_SHARES, "granted twice");
}

/// Guards against tokens above the new burst, and additional tokens, after a
/// change of plan.
#[parameterized(
    burst_shrinks = { rate(10, 2), 2 },
    burst_grows = { rate(10, 50), 10 },
    rate_grows = { rate(1000, 10), 10 },
)]
fn plan_change_keeps_tokens_within_the_burst(next: LimitPlan, admitted: u32) {
    let now = Instant::now();
    let mut ledger = joined_ledger("a#1", &[(team(), rate(10, 10))], now);
    let later = now + 10 * SECOND;
    ledger.configure(&plans(&[(team(), next)]), later);
    assert_eq!(admit_all(&mut ledger, later), admitted);
}

/// Guards against duplicated, late and forged counters that add shares.
#[parameterized(
    increase = { |c| { c.shares += 10; }, ReceiveOutcome::Applied { changed: true } },
    duplicate = { |_| {}, ReceiveOutcome::Applied { changed: false } },
    shares_decrease = { |c| { c.shares -= 1; }, ReceiveOutcome::Invalid },
    tokens_decrease = { |c| { c.tokens -= 1; }, ReceiveOutcome::Invalid },
    more_than_all_shares = { |c| { c.shares = TOTAL_SHARES + 1; }, ReceiveOutcome::Invalid },
    largest_counter = { |c| { c.shares = u64::MAX; }, ReceiveOutcome::Invalid },
    tokens_without_shares = { |c| { c.tokens += 1; }, ReceiveOutcome::Invalid },
    earlier_generation = { |c| { c.generation = 0; }, ReceiveOutcome::OtherGeneration },
    later_generation = { |c| { c.generation = 2; }, ReceiveOutcome::OtherGeneration },
    other_receiver = { |c| { c.receiver += 1; }, ReceiveOutcome::OtherReceiver },
)]
fn counters_are_checked(change: fn(&mut TransferCounter), expected: ReceiveOutcome) {
    let now = Instant::now();
    let list = [(team(), rate(10, 5))];
    let mut sender = joined_ledger("a#1", &list, now);
    let mut receiver = joined_ledger("b#1", &list, now);
    let request = ShareRequest {
        shares: 1000,
        tokens: 4000,
    };
    assert!(sender.transfer_on_request(&id("b#1"), &team(), &request, now + SECOND));
    deliver(&sender, &mut receiver, now + SECOND);
    let mut counters = sender.counters_for(&id("b#1"));
    change(counters.get_mut(&team()).unwrap());
    let before = (receiver.shares(&team()), receiver.tokens(&team()));
    let outcome = receiver.receive(&id("a#1"), &counters, now + SECOND);
    assert_eq!(outcome, expected);
    if outcome != (ReceiveOutcome::Applied { changed: true }) {
        assert_eq!((receiver.shares(&team()), receiver.tokens(&team())), before);
    }
}

/// Guards against a sender that keeps or transfers more tokens than its shares
/// allow, whatever the peer requests.
#[parameterized(
    few_shares = { ShareRequest { shares: 1, tokens: u64::MAX } },
    half = { ShareRequest { shares: TOTAL_SHARES / 2, tokens: u64::MAX } },
    no_tokens = { ShareRequest { shares: TOTAL_SHARES / 2, tokens: 0 } },
    everything = { MAX_REQUEST },
    above_all_shares = { ShareRequest { shares: u64::MAX, tokens: u64::MAX } },
)]
fn transferred_tokens_are_capped_by_the_shares(request: ShareRequest) {
    let now = Instant::now();
    let burst = 50;
    let mut sender = joined_ledger("a#1", &[(team(), rate(100, burst))], now);
    // Half full, so that both the transferred and the kept tokens are visible.
    let later = now + SECOND / 4;
    let before = u64::from(burst / 2) * TOTAL_SHARES;
    assert!(sender.transfer_on_request(&id("b#1"), &team(), &request, later));
    let given = sender.counters_for(&id("b#1"))[&team()];
    let burst = u64::from(burst);
    assert!(given.tokens <= u128::from(given.shares * burst));
    assert_eq!(
        given.tokens + u128::from(sender.tokens(&team())),
        before.into()
    );
    assert!(sender.tokens(&team()) <= sender.shares(&team()) * burst);
    assert_eq!(given.shares + sender.shares(&team()), TOTAL_SHARES);
}

/// Guards against a small burst that is unusable because each of 12 holders
/// has less than one token.
#[test]
fn requests_collect_a_token_from_several_peers() {
    let now = Instant::now();
    let list = [(team(), rate(20, 2))];
    let mut first = joined_ledger("a#1", &list, now);
    let mut fleet: Vec<_> = (1..12)
        .map(|n| joined_ledger(&format!("n{n}#1"), &list, now))
        .collect();
    let mut now = now + SECOND;
    for peer in &mut fleet {
        let request = ShareRequest {
            shares: TOTAL_SHARES / 12,
            tokens: u64::MAX,
        };
        first.transfer_on_request(peer.incarnation(), &team(), &request, now);
        deliver(&first, peer, now);
    }
    now += SECOND;
    let mut requester = fleet.pop().unwrap();
    let outcome = requester.admit(&team(), now);
    assert_eq!(
        outcome,
        RateDecision::NoToken {
            time_to_token: Duration::MAX
        }
    );
    for peer in &mut fleet {
        let Some(request) = requester.share_request(&team(), now) else {
            break;
        };
        peer.transfer_on_request(requester.incarnation(), &team(), &request, now);
        deliver(peer, &mut requester, now);
    }
    let outcome = requester.admit_waiting(&team(), now);
    assert_eq!(outcome, RateDecision::Admitted);
}

/// Guards against a busy instance that transfers shares that it needs, and an
/// idle one that keeps too many. With a demand of half the rate, an instance
/// keeps half of the shares plus those of at least one token.
#[parameterized(
    idle = { 0, 630_000_000, 720_720_000 },
    half_busy = { 50, 300_000_000, TOTAL_SHARES / 2 - TOTAL_SHARES / 100 },
    fully_busy = { 100, 0, 1 },
)]
fn a_busy_sender_keeps_its_demand(per_second: u64, min_given: u64, max_given: u64) {
    let start = Instant::now();
    let mut sender = joined_ledger("a#1", &[(team(), rate(100, 100))], start);
    let mut now = start;
    for n in 0..3 * per_second {
        now = start + SECOND * u32::try_from(n).unwrap() / u32::try_from(per_second).unwrap();
        sender.admit(&team(), now);
    }
    sender.transfer_on_request(&id("b#1"), &team(), &MAX_REQUEST, now);
    let given = TOTAL_SHARES - sender.shares(&team());
    assert!(
        (min_given..=max_given).contains(&given),
        "transferred {given} shares"
    );
}

/// Guards against a demand estimate that reacts to a flood too slowly.
#[test]
fn demand_follows_a_flood_within_200_ms() {
    let start = Instant::now();
    let mut ledger = joined_ledger("a#1", &[(team(), rate(100, 100))], start);
    for n in 0..100 {
        ledger.admit(&team(), start + n * Duration::from_millis(2));
    }
    let demand = ledger.summary(start + Duration::from_millis(200))[&team()].demand;
    assert!((250_000..=750_000).contains(&demand), "{demand} of 500000");
}

/// Guards against more requests than slots, rounding up, and slots that are
/// taken although another limit of the same request has none.
#[parameterized(
    none = { 0, 4, 0 },
    just_below_a_slot = { TOTAL_SHARES / 4 - 1, 4, 0 },
    one = { TOTAL_SHARES / 4, 4, 1 },
    odd_count = { TOTAL_SHARES / 2, 17, 8 },
    all = { TOTAL_SHARES, 4, 4 },
)]
fn slots_round_down(shares: u64, count: u32, running: u32) {
    let now = Instant::now();
    let list = [(server(), slots(count))];
    let mut ledger = joined_ledger("b#1", &list, now);
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

/// The digest by which counters identify a ledger, read from a transfer to it.
fn receiver_digest(ledger: &RightsLedger) -> u64 {
    let now = Instant::now();
    let mut sender = joined_ledger("a#1", &[(server(), slots(1))], now);
    sender.transfer_on_request(ledger.incarnation(), &server(), &MAX_REQUEST, now);
    sender.counters_for(ledger.incarnation())[&server()].receiver
}

/// Guards against transfers of slots in use, and against new requests when a
/// limit is lowered below the number of slots in use.
#[test]
fn running_slots_are_kept() {
    let now = Instant::now();
    let mut ledger = joined_ledger("a#1", &[(server(), slots(4))], now);
    assert!((0..3).all(|_| ledger.take_slots(&[server()])));
    assert!(!ledger.transfer_all(&id("b#1"), now));
    assert_eq!(ledger.shares(&server()), TOTAL_SHARES / 4 * 3);
    ledger.configure(&plans(&[(server(), slots(2))]), now);
    assert_eq!(ledger.running(&server()), 3);
    assert!(!ledger.take_slots(&[server()]));
    ledger.release_slots(&[server(), server()]);
    assert!(
        !ledger.take_slots(&[server()]),
        "one of floor(1.5) slots is in use"
    );
    ledger.release_slots(&[server()]);
    assert!(ledger.transfer_all(&id("b#1"), now));
    assert_eq!(ledger.shares(&server()), 0);
}

/// Guards against a surplus release, after which the ledger would count fewer
/// slots than are in use.
#[test]
#[should_panic(expected = "released a slot that is not in use")]
fn releasing_a_slot_not_in_use_panics() {
    let now = Instant::now();
    joined_ledger("a#1", &[(server(), slots(4))], now).release_slots(&[server()]);
}

/// Guards against heartbeats that always contain all counters, and against
/// changes that are never sent again after a lost message.
#[test]
fn unacknowledged_changes_are_sent_again() {
    let now = Instant::now();
    let list = [(team(), rate(10, 5)), (server(), slots(4))];
    let mut ledger = joined_ledger("a#1", &list, now);
    let (peer, request) = (
        id("b#1"),
        ShareRequest {
            shares: 9,
            tokens: 0,
        },
    );
    ledger.transfer_on_request(&peer, &team(), &request, now);
    let first = ledger.counters_since_ack(&peer);
    ledger.transfer_on_request(&peer, &server(), &MAX_REQUEST, now);
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

/// Guards against a fenced incarnation that still admits requests, and against
/// a stale read that reverts a reclaim.
#[test]
fn a_fenced_ledger_drops_all_shares() {
    let now = Instant::now();
    let mut ledger = joined_ledger("a#1", &[(team(), rate(10, 5))], now);
    let reclaim = ReclaimRecord {
        dead: [id("a#1")].into(),
        recipient: id("b#1"),
        amounts: BTreeMap::new(),
        takes_unlisted: true,
    };
    let fenced = record(vec![reclaim]);
    let later = now + SECOND;
    let mut survivor = joined_ledger("b#1", &[(team(), rate(10, 5))], now);
    assert_eq!(ledger.adopt(&fenced, later, later), AdoptOutcome::Fenced);
    assert_eq!(admit_all(&mut ledger, later + SECOND), 0);
    assert!(!ledger.transfer_on_request(&id("b#1"), &team(), &MAX_REQUEST, later));
    let unchanged = ledger.adopt(&record(Vec::new()), later, later);
    assert_eq!(unchanged, AdoptOutcome::Fenced);
    assert_eq!(survivor.adopt(&fenced, later, now), AdoptOutcome::Adopted);
    let again = survivor.adopt(&record(Vec::new()), later, now);
    assert_eq!(again, AdoptOutcome::Unchanged);
    let outcome = survivor.receive(&id("a#1"), &BTreeMap::new(), later);
    assert_eq!(outcome, ReceiveOutcome::Fenced);
    assert_eq!(survivor.shares(&team()), TOTAL_SHARES);
    assert_eq!(survivor.tokens(&team()), 0, "tokens are never granted");
}

/// Guards against a grant that is usable too early or includes tokens.
#[test]
fn a_grant_is_delayed_and_has_no_tokens() {
    let now = Instant::now();
    let mut survivor = joined_ledger("b#1", &[(team(), rate(10, 5))], now);
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

/// Guards against slots that are used again while requests of a failed holder
/// may still run on the backend server.
#[test]
fn granted_slots_wait_for_requests_of_a_failed_holder() {
    let now = Instant::now();
    let plans = [
        (team(), rate(10, 5)),
        (server(), LimitPlan::Slots(SlotCount::new(4))),
    ];
    let mut survivor = joined_ledger("b#1", &plans, now);
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

/// Guards against slots that are used in a new generation while requests of an
/// earlier one may still run on the backend server.
#[test]
fn slots_of_a_new_generation_wait_for_earlier_requests() {
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

/// Guards against grants that are too large, and against lost shares.
#[parameterized(
    received_some = { 0, 100, TOTAL_SHARES - 100 },
    some_returned = { 40, 100, TOTAL_SHARES - 60 },
    received_all = { 0, TOTAL_SHARES, 0 },
)]
fn grant_equals_the_shares_of_removed_incarnations(given: u64, received: u64, grant: u64) {
    let removed = [id("a#1")].into();
    let reports = [(id("b#1"), report(&["a#1"], "a#1", given, received))].into();
    let reclaim = plan_reclaim(&record(Vec::new()), &removed, &id("b#1"), &reports).unwrap();
    assert_eq!(reclaim.amounts, [(team(), grant)].into());
    assert!(reclaim.takes_unlisted);
    // The recipient is removed as well. Its granted shares are not counted for
    // the first holder again, and the unlisted limits go to the next recipient.
    let record = record(vec![reclaim]);
    let removed = [id("a#1"), id("b#1")].into();
    let reports = [(id("c#1"), report(&["a#1", "b#1"], "b#1", 0, 0))].into();
    let second = plan_reclaim(&record, &removed, &id("c#1"), &reports).unwrap();
    assert_eq!(second.amounts, [(team(), TOTAL_SHARES)].into());
    assert!(second.takes_unlisted);
}

type Reports = BTreeMap<IncarnationId, FenceReport>;

/// Guards against a reclaim from incomplete or contradictory reports, which
/// could grant shares twice.
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
    removed_reporter = {
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
fn reclaim_rejects_invalid_reports(change: fn(&mut Reports), expected: ReclaimError) {
    let removed = [id("a#1")].into();
    let mut reports = [(id("b#1"), report(&["a#1"], "a#1", 0, 100))].into();
    change(&mut reports);
    let result = plan_reclaim(&record(Vec::new()), &removed, &id("b#1"), &reports);
    assert_eq!(result, Err(expected));
}
