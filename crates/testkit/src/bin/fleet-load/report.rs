//! The report of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use tarragonpulley_testkit::BackendCounts;

use crate::callers::TeamResult;

/// Results of all teams.
#[derive(Debug)]
pub(crate) struct FleetReport {
    title: String,
    teams: Vec<TeamResult>,
}

#[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
const fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    100.0 * part as f64 / whole as f64
}

/// The value below which `percent` of the sorted times lie.
fn percentile(times: &[Duration], percent: usize) -> f64 {
    let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
    times
        .get(index)
        .map_or(0.0, |time| time.as_secs_f64() * 1e3)
}

impl FleetReport {
    pub(crate) fn new(deployment: &str, scenario: &str, seed: u64) -> Self {
        Self {
            title: format!("{deployment}, {scenario}, seed {seed}"),
            teams: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, mut team: TeamResult) {
        team.latencies.sort();
        self.teams.push(team);
    }

    pub(crate) fn print(&self, backends: &[BackendCounts], elapsed: Duration) {
        println!("{} ({:.0} s)", self.title, elapsed.as_secs_f64());
        println!("team sent answered% p50_ms p99_ms refusals");
        for team in &self.teams {
            println!(
                "{}{} {} {:.2} {:.1} {:.1} {}",
                team.team,
                if team.greedy { "*" } else { "" },
                team.sent,
                share(team.answered, team.sent),
                percentile(&team.latencies, 50),
                percentile(&team.latencies, 99),
                list(&team.rejections),
            );
        }
        self.print_totals(backends, elapsed);
    }

    fn print_totals(&self, backends: &[BackendCounts], elapsed: Duration) {
        let within: Vec<_> = self.teams.iter().filter(|t| !t.greedy).collect();
        let sent: u64 = within.iter().map(|t| t.sent).sum();
        let limited = within.iter().flat_map(|t| &t.rejections);
        let limited = limited.filter(|(why, _)| why.starts_with("429"));
        let limited: u64 = limited.map(|(_, count)| count).sum();
        let answered: u64 = within.iter().map(|t| t.answered).sum();
        let worst = within.iter().map(|t| share(t.answered, t.sent));
        let worst = worst.fold(100.0, f64::min);
        let slowest = within.iter().map(|t| percentile(&t.latencies, 99));
        let slowest = slowest.fold(0.0, f64::max);
        println!(
            "teams within their rate: {sent} sent, refused for their rate {:.3}%, not answered {:.3}%, worst team answered {worst:.2}%, worst p99 {slowest:.1} ms",
            share(limited, sent),
            share(sent - answered, sent),
        );
        let probes: u32 = backends
            .iter()
            .map(|b| u32::try_from(b.probes).unwrap_or(u32::MAX))
            .sum();
        println!(
            "probes: {:.2} a second on each backend server since its start",
            f64::from(probes)
                / elapsed.as_secs_f64()
                / f64::from(u32::try_from(backends.len().max(1)).unwrap_or(u32::MAX))
        );
        let runs: u64 = backends.iter().map(|b| b.all.started).sum();
        let shed: u64 = backends.iter().map(|b| b.shed).sum();
        let most = backends.iter().map(|b| b.all.most_running).max();
        let twice = backends.iter().flat_map(|b| &b.by_key);
        let mut by_key: BTreeMap<&str, u64> = BTreeMap::new();
        for (key, run) in twice {
            *by_key.entry(key).or_default() += run.started;
        }
        let doubled = by_key.values().filter(|runs| **runs > 1).count();
        let bookings: u64 = self.teams.iter().map(|t| t.bookings).sum();
        println!(
            "backend servers: {runs} runs, {shed} shed, at most {} at once on one, {bookings} bookings answered, {doubled} run twice",
            most.unwrap_or(0)
        );
    }
}

fn list(rejections: &BTreeMap<String, u64>) -> String {
    let entries = rejections
        .iter()
        .map(|(why, count)| format!("[{why}]={count}"));
    entries.collect::<Vec<_>>().join(" ")
}
