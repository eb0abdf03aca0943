//! Seeded simulation of the requests of one instance during a rollout.
#![allow(dead_code, reason = "each test uses some of the cases")]

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::evidence::{AttemptSample, BaselineSource, EvidenceStore};
use tarragonpulley_policy::ids::{ServiceKey, VersionName};

/// One request of the simulated rollout.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SimulatedRequest {
    pub(crate) at: Instant,
    pub(crate) on_new: bool,
    pub(crate) route: &'static str,
    pub(crate) failed: bool,
    pub(crate) latency: Duration,
}

/// The behaviour of the new version in a simulated rollout.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VersionCase {
    pub(crate) name: &'static str,
    /// Fraction of failures while the fault is active.
    pub(crate) failures: f64,
    /// Latency factor while the fault is active.
    pub(crate) latency_factor: f64,
    /// The fault is active from this second.
    pub(crate) from: f64,
    /// The fault is active only from this multiple of the usual load.
    pub(crate) load: f64,
    /// The fault is active only on this route.
    pub(crate) route: Option<&'static str>,
    /// Seconds for which the new version has cold caches and takes four times as
    /// long.
    pub(crate) cold_seconds: f64,
    /// Fraction of failures of both versions without any fault.
    pub(crate) background_failures: f64,
    /// Consecutive failures on the new version from [`SERVER_FAILURE_AT`], as of
    /// one failed server.
    pub(crate) failed_server_requests: u32,
}

pub(crate) const GOOD: VersionCase = VersionCase {
    name: "equal",
    failures: 0.0,
    latency_factor: 1.0,
    from: 0.0,
    load: 0.0,
    route: None,
    cold_seconds: 0.0,
    background_failures: 0.002,
    failed_server_requests: 0,
};

pub(crate) const GOOD_CASES: [VersionCase; 5] = [
    GOOD,
    VersionCase {
        name: "cold caches",
        cold_seconds: 1.5,
        ..GOOD
    },
    VersionCase {
        name: "faster",
        latency_factor: 0.7,
        ..GOOD
    },
    VersionCase {
        name: "2 % of both fail",
        background_failures: 0.02,
        ..GOOD
    },
    VersionCase {
        name: "lost server",
        failed_server_requests: 4,
        ..GOOD
    },
];

pub(crate) const BAD_CASES: [VersionCase; 8] = [
    VersionCase {
        name: "all fail",
        failures: 1.0,
        ..GOOD
    },
    VersionCase {
        name: "30 % fail",
        failures: 0.3,
        ..GOOD
    },
    VersionCase {
        name: "8 % fail",
        failures: 0.08,
        ..GOOD
    },
    VersionCase {
        name: "later",
        failures: 0.3,
        from: 12.0,
        ..GOOD
    },
    VersionCase {
        name: "under load",
        failures: 0.3,
        load: 2.0,
        ..GOOD
    },
    VersionCase {
        name: "one route",
        failures: 0.5,
        route: Some("/lots"),
        ..GOOD
    },
    VersionCase {
        name: "three times as slow",
        latency_factor: 3.0,
        ..GOOD
    },
    VersionCase {
        name: "twice as slow",
        latency_factor: 2.0,
        ..GOOD
    },
];

/// Path, fraction of the requests, median latency in milliseconds.
const ROUTES: [(&str, f64, f64); 3] = [
    ("/fits", 0.6, 8.0),
    ("/shops", 0.3, 5.0),
    ("/lots", 0.1, 20.0),
];
/// Seconds of load on the old version before the rollout.
const WARM_UP: f64 = 10.0;
/// Standard deviation of the logarithm of the latency.
const LATENCY_SIGMA: f64 = 0.5;
const SURGE: std::ops::Range<f64> = 12.0..18.0;
const SURGE_LOAD: f64 = 4.0;
const SERVER_FAILURE_AT: f64 = 13.0;

/// A generator of the requests of one instance.
#[derive(Debug)]
pub(crate) struct RequestStream {
    case: VersionCase,
    rng: StdRng,
    start: Instant,
    rate: f64,
    /// Time of the last request, in seconds since the rollout began.
    pub(crate) second: f64,
    /// Requests on the new version that met its active fault.
    pub(crate) exposed: u32,
    failed_server_requests: u32,
}

impl RequestStream {
    /// Generates requests from [`WARM_UP`] seconds before the rollout, `rate` per
    /// second.
    pub(crate) fn new(case: &VersionCase, seed: u64, rate: f64, start: Instant) -> Self {
        Self {
            case: *case,
            rng: StdRng::seed_from_u64(seed),
            start,
            rate,
            second: -WARM_UP,
            exposed: 0,
            failed_server_requests: case.failed_server_requests,
        }
    }

    fn standard_normal(&mut self) -> f64 {
        // Sum of twelve uniform values: mean 6, variance 1.
        (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0
    }

    fn pick_route(&mut self) -> (&'static str, f64) {
        let mut rest: f64 = self.rng.random();
        for (path, share, median) in ROUTES {
            if rest < share {
                return (path, median);
            }
            rest -= share;
        }
        (ROUTES[0].0, ROUTES[0].2)
    }

    /// Generates the next request. `share` returns the share of the new version in
    /// a given second.
    pub(crate) fn next(&mut self, share: impl Fn(f64) -> f64) -> SimulatedRequest {
        let case = self.case;
        let load = if SURGE.contains(&self.second) {
            SURGE_LOAD
        } else {
            1.0
        };
        self.second += -(1.0 - self.rng.random::<f64>()).ln() / (self.rate * load);
        let on_new = self.rng.random::<f64>() < share(self.second);
        let (route, median) = self.pick_route();
        let conditions_met = self.second >= case.from && load >= case.load;
        let active = on_new && conditions_met && case.route.is_none_or(|r| r == route);
        self.exposed += u32::from(active && (case.failures > 0.0 || case.latency_factor > 1.0));
        let failures = if active {
            case.failures.max(case.background_failures)
        } else {
            case.background_failures
        };
        let mut failed = self.rng.random::<f64>() < failures;
        if on_new && self.second >= SERVER_FAILURE_AT && self.failed_server_requests > 0 {
            self.failed_server_requests -= 1;
            failed = true;
        }
        let latency_factor = if active { case.latency_factor } else { 1.0 };
        let cold_factor = if on_new && self.second < case.cold_seconds {
            4.0
        } else {
            1.0
        };
        let load_factor = 1.0 + 0.5 * (load - 1.0);
        let latency = median
            * load_factor
            * latency_factor
            * cold_factor
            * (LATENCY_SIGMA * self.standard_normal()).exp();
        SimulatedRequest {
            at: self.start + Duration::from_secs_f64(self.second + WARM_UP),
            on_new,
            route,
            failed,
            latency: Duration::from_secs_f64(latency / 1000.0),
        }
    }
}

/// The evidence store of one instance, comparing the new version with the old.
#[derive(Debug)]
pub(crate) struct InstanceEvidence {
    pub(crate) store: EvidenceStore,
    pub(crate) service: ServiceKey,
    /// The old and the new version.
    pub(crate) versions: [VersionName; 2],
}

impl InstanceEvidence {
    pub(crate) fn new() -> Self {
        let service: ServiceKey = "lunwan/fitdesk".parse().expect("valid");
        let versions = ["v1", "v2"].map(|v| v.parse::<VersionName>().expect("valid"));
        let mut store = EvidenceStore::new();
        let source = BaselineSource::Version(versions[0].clone());
        store.start_comparison(&service, &versions[1], &source);
        Self {
            store,
            service,
            versions,
        }
    }

    /// Records a request. Returns whether it completed the evidence for a fault.
    pub(crate) fn record(&mut self, request: &SimulatedRequest) -> bool {
        let sample = AttemptSample {
            service: &self.service,
            version: &self.versions[usize::from(request.on_new)],
            route: request.route,
            failed: request.failed,
            latency: request.latency,
        };
        self.store.record_attempt(&sample, request.at).is_some()
    }
}
