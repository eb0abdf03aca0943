//! Seeded requests of one instance during a rollout, and the tests compared.

pub(crate) mod rivals;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// One request of the simulated rollout.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CaseRequest {
    pub(crate) at: Instant,
    pub(crate) on_new: bool,
    pub(crate) route: &'static str,
    pub(crate) failed: bool,
    pub(crate) latency: Duration,
}

/// How the new version behaves.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VersionCase {
    pub(crate) name: &'static str,
    /// Share of failures while the fault is active.
    pub(crate) failures: f64,
    /// Factor on the latency while the fault is active.
    pub(crate) slowdown: f64,
    /// The fault is active from this second.
    pub(crate) from: f64,
    /// The fault is active only under this multiple of the usual load.
    pub(crate) load: f64,
    /// The fault is active only on this route.
    pub(crate) route: Option<&'static str>,
    /// Seconds of the new version with cold caches, four times as slow.
    pub(crate) cold: f64,
    /// Failures of both versions without any fault.
    pub(crate) background: f64,
    /// Failures in a row on the new version at second 13, as from one lost server.
    pub(crate) lost: u32,
}

/// Path, share of the requests, median latency in milliseconds.
const ROUTES: [(&str, f64, f64); 3] = [
    ("/fits", 0.6, 8.0),
    ("/shops", 0.3, 5.0),
    ("/lots", 0.1, 20.0),
];
/// Share of the new version by second: five steps of 5.2 s.
const STEPS: [f64; 5] = [0.01, 0.05, 0.25, 0.50, 1.0];
const STEP_SECONDS: f64 = 5.2;
/// Seconds of load on the old version before the rollout.
const BEFORE: f64 = 10.0;
/// Spread of the latency: sigma of its logarithm.
const SPREAD: f64 = 0.5;
const SURGE: std::ops::Range<f64> = 12.0..18.0;
const SURGE_LOAD: f64 = 4.0;

fn normal(rng: &mut StdRng) -> f64 {
    // Sum of twelve uniform values: mean 6, variance 1.
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

fn pick_route(rng: &mut StdRng) -> (&'static str, f64) {
    let mut rest: f64 = rng.random();
    for (path, share, median) in ROUTES {
        if rest < share {
            return (path, median);
        }
        rest -= share;
    }
    (ROUTES[0].0, ROUTES[0].2)
}

/// What a run of a case gave.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CaseResult {
    /// Requests on the new version while its fault was active, up to the
    /// detection; `None` without a detection.
    pub(crate) detected_after: Option<u32>,
    /// A detection before any fault was active.
    pub(crate) early: bool,
}

/// Runs one rollout of 26 s at `rate` requests a second on this instance.
pub(crate) fn run(
    case: &VersionCase,
    seed: u64,
    rate: f64,
    judge: &mut dyn FnMut(&CaseRequest) -> bool,
) -> CaseResult {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let (mut second, mut exposed, mut lost) = (-BEFORE, 0, case.lost);
    let mut result = CaseResult {
        detected_after: None,
        early: false,
    };
    while second < STEP_SECONDS * 5.0 {
        let load = if SURGE.contains(&second) {
            SURGE_LOAD
        } else {
            1.0
        };
        second += -(1.0 - rng.random::<f64>()).ln() / (rate * load);
        let step = STEPS
            .iter()
            .enumerate()
            .filter(|(i, _)| second >= STEP_SECONDS * *i as f64);
        let share = if second < 0.0 {
            0.0
        } else {
            step.map(|(_, s)| *s).next_back().unwrap_or(0.0)
        };
        let on_new = rng.random::<f64>() < share;
        let (route, median) = pick_route(&mut rng);
        let matching = second >= case.from && load >= case.load;
        let active = on_new && matching && case.route.is_none_or(|r| r == route);
        let faulty = case.failures > 0.0 || case.slowdown > 1.0;
        exposed += u32::from(active && faulty);
        let failures = if active {
            case.failures.max(case.background)
        } else {
            case.background
        };
        let mut failed = rng.random::<f64>() < failures;
        if on_new && second >= 13.0 && lost > 0 {
            lost -= 1;
            failed = true;
        }
        let slowdown = if active { case.slowdown } else { 1.0 };
        let cold = if on_new && second < case.cold {
            4.0
        } else {
            1.0
        };
        let busy = 1.0 + 0.5 * (load - 1.0);
        let latency = median * busy * slowdown * cold * (SPREAD * normal(&mut rng)).exp();
        let request = CaseRequest {
            at: start + Duration::from_secs_f64(second + BEFORE),
            on_new,
            route,
            failed,
            latency: Duration::from_secs_f64(latency / 1000.0),
        };
        if judge(&request) {
            result.early = exposed == 0;
            result.detected_after = Some(exposed);
            return result;
        }
    }
    result
}
