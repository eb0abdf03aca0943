//! The tests that were weighed against the one in the program. They see the
//! same requests and the same windows.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::CaseRequest;

const WINDOW: Duration = Duration::from_secs(20);
const WARM_UP: Duration = Duration::from_secs(2);
const MIN_REQUESTS: usize = 30;

#[derive(Debug, Default)]
struct RouteRecent {
    old: VecDeque<CaseRequest>,
    new: VecDeque<CaseRequest>,
}

/// How two shares are compared.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RivalRule {
    /// The difference of the shares is above a bound.
    Threshold { failures: f64, slow: f64 },
    /// The difference divided by its standard error is above a bound, looked
    /// at on each request.
    Score(f64),
}

/// Compares the last 20 s of both versions, route by route.
#[derive(Debug)]
pub(crate) struct WindowRival {
    rule: RivalRule,
    routes: BTreeMap<&'static str, RouteRecent>,
    first: Option<std::time::Instant>,
}

fn share(requests: &VecDeque<CaseRequest>, select: &dyn Fn(&CaseRequest) -> bool) -> (f64, f64) {
    let count = requests.iter().filter(|r| select(r)).count();
    (
        count as f64 / requests.len().max(1) as f64,
        requests.len() as f64,
    )
}

impl WindowRival {
    pub(crate) fn new(rule: RivalRule) -> Self {
        let (routes, first) = (BTreeMap::new(), None);
        Self {
            rule,
            routes,
            first,
        }
    }

    pub(crate) fn note(&mut self, request: &CaseRequest) -> bool {
        let recent = self.routes.entry(request.route).or_default();
        let side = if request.on_new {
            &mut recent.new
        } else {
            &mut recent.old
        };
        side.push_back(*request);
        for side in [&mut recent.old, &mut recent.new] {
            while side.front().is_some_and(|r| r.at + WINDOW < request.at) {
                side.pop_front();
            }
        }
        if !request.on_new {
            return false;
        }
        let first = *self.first.get_or_insert(request.at);
        let (rule, recent) = (self.rule, &self.routes[request.route]);
        if recent.new.len() < MIN_REQUESTS || recent.old.len() < MIN_REQUESTS {
            return false;
        }
        let mut times: Vec<_> = recent.old.iter().map(|r| r.latency).collect();
        times.sort_unstable();
        let bound = times[times.len() * 9 / 10].mul_f64(1.7);
        let failed = |r: &CaseRequest| r.failed;
        let slow = |r: &CaseRequest| r.latency > bound && r.at >= first + WARM_UP;
        worse(rule, recent, &failed, true) || worse(rule, recent, &slow, false)
    }
}

fn worse(
    rule: RivalRule,
    recent: &RouteRecent,
    select: &dyn Fn(&CaseRequest) -> bool,
    is_failure: bool,
) -> bool {
    let (old, old_count) = share(&recent.old, select);
    let (new, new_count) = share(&recent.new, select);
    match rule {
        RivalRule::Threshold { failures, slow } => {
            new - old > if is_failure { failures } else { slow }
        }
        RivalRule::Score(bound) => {
            let pooled = (old * old_count + new * new_count + 1.0) / (old_count + new_count + 2.0);
            let error = (pooled * (1.0 - pooled) * (1.0 / old_count + 1.0 / new_count)).sqrt();
            (new - old) / error > bound
        }
    }
}
