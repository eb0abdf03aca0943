//! Time of `admit`, `counters_for`, `counters_since_ack` and `summary` by the
//! number of teams and peers.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::{GenerationRecord, LimitPlan, RightsLedger, ShareRequest};
use tarragonpulley_policy::units::{BurstSize, RequestRate};

const TEAMS: [usize; 3] = [10, 100, 1000];
const PEERS: [usize; 2] = [11, 48];
const REQUEST: ShareRequest = ShareRequest {
    shares: 1000,
    tokens: 0,
};

fn incarnation(index: usize) -> IncarnationId {
    format!("instance-{index}#1")
        .parse()
        .expect("the name is valid")
}

fn limit(index: usize) -> LimitKey {
    format!("team:customer/team-{index}")
        .parse()
        .expect("the key is valid")
}

/// A ledger that holds the limits of all teams and has transferred some shares
/// of each to every peer.
fn ledger(teams: usize, peers: usize, now: Instant) -> RightsLedger {
    let plan = LimitPlan::Rate {
        rate: RequestRate::per_second(1000),
        burst: BurstSize::new(500),
    };
    let plans: BTreeMap<_, _> = (0..teams).map(|team| (limit(team), plan)).collect();
    let mut ledger = RightsLedger::new(incarnation(0));
    ledger.configure(&plans, now);
    let record = GenerationRecord {
        number: 1,
        first_holder: incarnation(0),
        reclaims: Vec::new(),
    };
    ledger.adopt(&record, now, now);
    for peer in 1..=peers {
        for key in plans.keys() {
            ledger.transfer_on_request(&incarnation(peer), key, &REQUEST, now);
        }
    }
    ledger
}

fn bench_admit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit");
    for teams in TEAMS {
        for peers in PEERS {
            let start = Instant::now();
            let mut ledger = ledger(teams, peers, start);
            let key = limit(teams / 2);
            let mut now = start;
            let id = BenchmarkId::new(format!("{peers} peers"), teams);
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    now += Duration::from_micros(500);
                    black_box(ledger.admit(&key, now))
                });
            });
        }
    }
    group.finish();
}

fn bench_counters(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("counters_for");
    for teams in TEAMS {
        for peers in PEERS {
            let ledger = ledger(teams, peers, Instant::now());
            let peer = incarnation(1);
            let id = BenchmarkId::new(format!("{peers} peers"), teams);
            group.bench_function(id, |bencher| {
                bencher.iter(|| black_box(ledger.counters_for(&peer)));
            });
        }
    }
    group.finish();
    let mut group = criterion.benchmark_group("counters_since_ack, 4 changes");
    for teams in TEAMS {
        let now = Instant::now();
        let mut ledger = ledger(teams, 11, now);
        let peer = incarnation(1);
        let last_change = ledger.counters_since_ack(&peer).last_change;
        ledger.acknowledge(&peer, last_change);
        for team in 0..4 {
            ledger.transfer_on_request(&peer, &limit(team), &REQUEST, now);
        }
        group.bench_function(BenchmarkId::new("11 peers", teams), |bencher| {
            bencher.iter(|| black_box(ledger.counters_since_ack(&peer)));
        });
    }
    group.finish();
}

fn bench_heartbeat(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("summary");
    for teams in TEAMS {
        let start = Instant::now();
        let mut ledger = ledger(teams, 11, start);
        let mut now = start;
        group.bench_function(BenchmarkId::new("11 peers", teams), |bencher| {
            bencher.iter(|| {
                now += Duration::from_millis(500);
                black_box(ledger.summary(now))
            });
        });
    }
    group.finish();
}

fn configured() -> Criterion {
    Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(500))
}

criterion_group! {
    name = benches;
    config = configured();
    targets = bench_admit, bench_counters, bench_heartbeat
}
criterion_main!(benches);
