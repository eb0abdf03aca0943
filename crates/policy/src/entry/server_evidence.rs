//! Evidence of a backend server's load and of the pace of its machine.
//!
//! Servers that share their machines with others report with each response how many
//! requests run and wait, and how long work takes on the machine at that moment. The
//! pace changes many times a second, so that the average of observed latencies hides
//! it, and a report says little of it a second later. Each figure here counts for as
//! long as it is known to hold: the load until the server has replaced its requests,
//! the pace for some tenths of a second.
//!
//! A rejection by a full server says that the evidence was wrong. The server gets
//! nothing more until a part of its queue has been worked off.

use std::fmt;
use std::num::{ParseFloatError, ParseIntError};
use std::str::FromStr;
use std::time::{Duration, Instant};

/// The maximum of running and of waiting requests that a report may state.
pub const MAX_REPORTED_REQUESTS: u32 = 100_000;

/// The time in which half of a reported load no longer says anything of the current
/// one: most requests of a service with a target below a second are done by then.
pub const LOAD_HALF_LIFE: Duration = Duration::from_millis(500);

/// The fraction of the other instances' counts that a report can take away. A server
/// that reports less than it has must not draw all requests.
pub const MAX_COUNT_REDUCTION: f64 = 0.5;

/// The time in which half of a reported pace no longer says anything of the current
/// one. Machines change their pace several times a second.
pub const PACE_HALF_LIFE: Duration = Duration::from_millis(300);

/// Weight of the newest report in the usual pace of a server.
pub const PACE_WEIGHT: f64 = 0.2;

/// Upper bound of the factor between the pace of a report and the usual one; the lower
/// bound is its inverse. Limits what wrong reports can do.
pub const MAX_RELATIVE_PACE: f64 = 4.0;

/// The fraction of the queue of a full server that has to be worked off before it gets
/// a request again.
pub const DRAINED_FRACTION: f64 = 1.0 / 3.0;

/// The maximum time without a request after a rejection by a full server, so that a
/// server that goes on rejecting is still tried.
pub const MAX_FULL_PAUSE: Duration = Duration::from_secs(1);

/// Time after its last rejection for which a server is taken to be full at the same
/// number of requests.
pub const CAPACITY_TTL: Duration = Duration::from_secs(5);

/// How long work takes on a server's machine, relative to the usual time: 2.5 if it
/// takes 2.5 times as long.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct MachinePace(f64);

/// The range of [`MachinePace`]; reports outside it count as its bounds.
const PACE_RANGE: (f64, f64) = (0.1, 20.0);

impl MachinePace {
    /// The pace at which work takes as long as usual.
    pub const USUAL: Self = Self(1.0);

    /// The factor on the usual time of work.
    #[must_use]
    pub fn factor(self) -> f64 {
        self.0
    }
}

impl fmt::Display for MachinePace {
    /// In hundredths, as servers report it.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.0}", self.0 * 100.0)
    }
}

impl FromStr for MachinePace {
    type Err = ReportError;

    /// Reads hundredths: `250` if work takes 2.5 times as long as usual.
    fn from_str(text: &str) -> Result<Self, ReportError> {
        let hundredths = text.trim().parse::<f64>().map_err(ReportError::Pace)?;
        if !hundredths.is_finite() || hundredths <= 0.0 {
            return Err(ReportError::Range);
        }
        Ok(Self((hundredths / 100.0).clamp(PACE_RANGE.0, PACE_RANGE.1)))
    }
}

/// Why a report of a server cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The number of running or of waiting requests is missing.
    #[error("the number of running or of waiting requests is missing")]
    Missing,
    /// A number of requests is not a whole number.
    #[error("a number of requests cannot be read: {0}")]
    Requests(ParseIntError),
    /// A pace is not a number.
    #[error("a pace cannot be read: {0}")]
    Pace(ParseFloatError),
    /// A figure is larger than any server's, or a pace is not a positive number.
    #[error("a figure is out of range")]
    Range,
}

/// What a server reports with a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerReport {
    /// The number of requests that run.
    pub running: u32,
    /// The number of requests that wait.
    pub waiting: u32,
    /// How long work takes on its machine; `None` if the server does not say.
    pub pace: Option<MachinePace>,
}

impl FromStr for ServerReport {
    type Err = ReportError;

    /// Reads `running,waiting,slots,pace`. The slots are known from the server's entry
    /// and not read; a pace that is missing or cannot be read is `None`; further
    /// figures are ignored.
    fn from_str(text: &str) -> Result<Self, ReportError> {
        let mut figures = text.split(',').map(str::trim);
        let mut requests = || {
            let figure = figures.next().filter(|figure| !figure.is_empty());
            let count: u32 = figure
                .ok_or(ReportError::Missing)?
                .parse()
                .map_err(ReportError::Requests)?;
            if count > MAX_REPORTED_REQUESTS {
                return Err(ReportError::Range);
            }
            Ok(count)
        };
        let (running, waiting) = (requests()?, requests()?);
        Ok(Self {
            running,
            waiting,
            pace: figures.nth(1).and_then(|figure| figure.parse().ok()),
        })
    }
}

impl ServerReport {
    /// The number of requests that run or wait.
    #[must_use]
    pub fn load(&self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }

    /// Whether all `slots` are in use and requests wait.
    #[must_use]
    pub fn is_full(&self, slots: u32) -> bool {
        self.running >= slots && self.waiting > 0
    }
}

/// The last report with a pace, and when it arrived.
#[derive(Debug, Clone, Copy)]
struct TimedReport {
    /// The load without the requests of this instance.
    others: f64,
    pace: MachinePace,
    at: Instant,
}

/// The last rejections because of a full queue.
#[derive(Debug, Clone, Copy)]
struct FullQueue {
    /// The number of requests at which the server rejected one.
    capacity: f64,
    at: Instant,
    /// The time from which on the server gets a request again.
    until: Instant,
    /// Rejections since the server last accepted a request.
    rejections: u32,
}

/// The evidence of one server, as known to one instance.
#[derive(Debug, Default)]
pub struct ServerEvidence {
    report: Option<TimedReport>,
    /// Average of the reported paces.
    usual_pace: Option<f64>,
    full: Option<FullQueue>,
}

/// The weight that is left of a value after `age`.
fn weight(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// The mean of [`weight`] over the ages from 0 to `span`.
fn mean_weight(span: Duration, half_life: Duration) -> f64 {
    let decay = std::f64::consts::LN_2 * span.as_secs_f64() / half_life.as_secs_f64();
    if decay < 1e-6 {
        return 1.0;
    }
    (1.0 - (-decay).exp()) / decay
}

impl ServerEvidence {
    /// Whether the server has reported the pace of its machine. Nothing else here
    /// counts before.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.report.is_some()
    }

    /// Records a report. `own` is the number of requests of this instance that the
    /// server still has. A report without a pace counts as one of the usual pace if
    /// the server has reported one before, and is ignored otherwise.
    pub fn record_report(&mut self, report: &ServerReport, own: f64, now: Instant) {
        if report.pace.is_none() && !self.is_active() {
            return;
        }
        if let Some(MachinePace(pace)) = report.pace {
            let usual = self.usual_pace.get_or_insert(1.0);
            *usual += PACE_WEIGHT * (pace - *usual);
        }
        let usual = MachinePace(self.usual_pace.unwrap_or(1.0));
        self.report = Some(TimedReport {
            others: (report.load() - own).max(0.0),
            pace: report.pace.unwrap_or(usual),
            at: now,
        });
    }

    /// The age of the last report.
    #[must_use]
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let report = self.report.as_ref()?;
        Some(now.saturating_duration_since(report.at))
    }

    /// The pace in the last report.
    #[must_use]
    pub fn reported_pace(&self) -> Option<MachinePace> {
        self.report.as_ref().map(|report| report.pace)
    }

    /// The estimated number of requests of the other instances at the server.
    /// `counted` is the number that they told of last.
    #[must_use]
    pub fn others(&self, counted: f64, now: Instant) -> f64 {
        self.report.map_or(counted, |report| {
            let age = now.saturating_duration_since(report.at);
            let reported = report.others.max(counted * (1.0 - MAX_COUNT_REDUCTION));
            counted + (reported - counted) * weight(age, LOAD_HALF_LIFE)
        })
    }

    /// The factor between the machine's pace in the last report and its usual one.
    fn reported_factor(&self) -> f64 {
        match (self.report, self.usual_pace) {
            (Some(report), Some(usual)) => {
                (report.pace.factor() / usual).clamp(1.0 / MAX_RELATIVE_PACE, MAX_RELATIVE_PACE)
            }
            _ => 1.0,
        }
    }

    /// The estimated time of work now, relative to the server's usual one.
    #[must_use]
    pub fn relative_pace(&self, now: Instant) -> f64 {
        let age = self.report_age(now).unwrap_or(Duration::MAX);
        1.0 + (self.reported_factor() - 1.0) * weight(age, PACE_HALF_LIFE)
    }

    /// The estimated mean of [`ServerEvidence::relative_pace`] over a request of length
    /// `observed` that ended at the last report.
    #[must_use]
    pub fn relative_pace_over(&self, observed: Duration) -> f64 {
        1.0 + (self.reported_factor() - 1.0) * mean_weight(observed, PACE_HALF_LIFE)
    }

    /// Records that the server rejected a request with a report. `work` is the mean
    /// work of its requests. Returns whether it was full.
    pub fn record_rejection(
        &mut self,
        report: &ServerReport,
        slots: u32,
        work: Duration,
        now: Instant,
    ) -> bool {
        if !self.is_active() || !report.is_full(slots) {
            return false;
        }
        let rejections = self.full.map_or(0, |full| full.rejections);
        let drained = (f64::from(report.waiting) * DRAINED_FRACTION).max(1.0);
        let pause = work
            .mul_f64(drained / f64::from(slots.max(1)) * self.relative_pace(now))
            .saturating_mul(2_u32.saturating_pow(rejections));
        self.full = Some(FullQueue {
            capacity: report.load(),
            at: now,
            until: now + pause.min(MAX_FULL_PAUSE),
            rejections: rejections.saturating_add(1),
        });
        true
    }

    /// Records that the server accepted a request.
    pub fn record_accepted(&mut self) {
        if let Some(full) = &mut self.full {
            full.rejections = 0;
        }
    }

    /// Whether the server gets no request: it was full and has not yet had the time to
    /// work off a part of its queue, or `load` is what it rejected requests at. After a
    /// rejection it gets one request at a time until it accepts one. `own` is the number
    /// of requests of this instance that it has.
    #[must_use]
    pub fn is_full(&self, load: f64, own: usize, now: Instant) -> bool {
        self.full.is_some_and(|full| {
            let is_recent = now.saturating_duration_since(full.at) < CAPACITY_TTL;
            now < full.until
                || (full.rejections > 0 && own > 0)
                || (is_recent && load + 1.0 > full.capacity)
        })
    }
}
