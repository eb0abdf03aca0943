//! State and injected faults of the backend stand-in.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use actix_http::Request;
use eyre::{Result, ensure};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::BackendOptions;
use crate::control::{BackendControl, BackendCounts, BackendFault, HealthFault, RunCount};

/// One minute of health samples at one per 20 ms.
const MAX_SAMPLES: usize = 3000;

#[derive(Debug, Clone, Copy)]
pub(super) struct HealthSample {
    pub(super) at: Instant,
    pub(super) leaving: bool,
    pub(super) load: u32,
}

#[derive(Debug)]
pub(super) struct BackendState {
    pub(super) fault: BackendFault,
    pub(super) health: HealthFault,
    pub(super) leaving_since: Option<Instant>,
    pub(super) slots: u32,
    pub(super) work: Duration,
    pub(super) answer_bytes: usize,
    pub(super) running: u32,
    pub(super) counts: BackendCounts,
    pub(super) samples: VecDeque<HealthSample>,
    pub(super) random: StdRng,
}

impl BackendState {
    pub(super) fn new(options: &BackendOptions) -> Self {
        Self {
            fault: BackendFault::default(),
            health: HealthFault::default(),
            leaving_since: None,
            slots: options.slots,
            work: Duration::from_millis(options.work_ms),
            answer_bytes: 0,
            running: 0,
            counts: BackendCounts::default(),
            samples: VecDeque::new(),
            random: StdRng::seed_from_u64(options.seed),
        }
    }

    fn sample(&self) -> HealthSample {
        HealthSample {
            at: Instant::now(),
            leaving: self.leaving_since.is_some(),
            load: self.running,
        }
    }

    pub(super) fn record_sample(&mut self) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(self.sample());
    }

    /// The newest sample that is at least as old as the lag, or else the oldest.
    pub(super) fn delayed_sample(&self) -> HealthSample {
        if self.health.lag_ms == 0 {
            return self.sample();
        }
        let lag = Duration::from_millis(self.health.lag_ms);
        let old = self.samples.iter().rev().find(|s| s.at.elapsed() >= lag);
        old.or(self.samples.front())
            .copied()
            .unwrap_or_else(|| self.sample())
    }

    pub(super) fn apply_control(&mut self, message: BackendControl) -> Result<()> {
        if let Some(fault) = message.fault {
            for fraction in [fault.fail_share, fault.wrong_id_share, fault.cut_share] {
                ensure!(
                    (0.0..=1.0).contains(&fraction),
                    "fraction {fraction} is not between 0 and 1"
                );
            }
            self.fault = fault;
        }
        if let Some(health) = message.health {
            self.health = health;
        }
        if let Some(leaving) = message.leaving {
            let since = self.leaving_since.unwrap_or_else(Instant::now);
            self.leaving_since = leaving.then_some(since);
        }
        self.slots = message.slots.unwrap_or(self.slots);
        self.work = message.work_ms.map_or(self.work, Duration::from_millis);
        self.answer_bytes = message.answer_bytes.unwrap_or(self.answer_bytes);
        Ok(())
    }

    /// Records the arrival of a request, before it is run or shed: shed requests
    /// were sent by the fleet too.
    pub(super) fn record_arrival(&mut self, request: &Request) {
        self.counts.authorization_seen |= request.head().headers.contains_key("authorization");
        if let Some(since) = self.leaving_since {
            let elapsed = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.counts.after_leaving += 1;
            self.counts.last_after_leaving_ms = elapsed;
        }
    }

    /// Chooses the faults of one request that runs, at random by the configured
    /// fractions.
    pub(super) fn draw_faults(&mut self, path: &str) -> RequestFaults {
        let fault = &self.fault;
        let applies = fault
            .only_path
            .as_ref()
            .is_none_or(|prefix| path.starts_with(prefix.as_str()));
        if !applies {
            return RequestFaults::default();
        }
        RequestFaults {
            added_work: Duration::from_millis(fault.slow_ms),
            fail: self.random.random_bool(fault.fail_share),
            wrong_id: self.random.random_bool(fault.wrong_id_share),
            truncate: self.random.random_bool(fault.cut_share),
        }
    }
}

/// Faults to inject into one request.
#[derive(Debug, Default)]
pub(super) struct RequestFaults {
    pub(super) added_work: Duration,
    pub(super) fail: bool,
    pub(super) wrong_id: bool,
    pub(super) truncate: bool,
}

pub(super) fn start_run(count: &mut RunCount) {
    count.started += 1;
    count.running += 1;
    count.most_running = count.most_running.max(count.running);
}
