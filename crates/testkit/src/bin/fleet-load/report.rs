//! Report of one load run.

use std::collections::BTreeMap;
use std::time::Duration;

use tarragonpulley_testkit::BackendCounts;

use crate::callers::TeamResult;

/// Results of all teams, printed as a table with totals.
#[derive(Debug)]
pub(crate) struct FleetReport {
    title: String,
    teams: Vec<TeamResult>,
}

#[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
const fn percentage(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    100.0 * part as f64 / whole as f64
}

/// The given percentile of sorted times, in milliseconds.
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
                percentage(team.answered, team.sent),
                percentile(&team.latencies, 50),
                percentile(&team.latencies, 99),
                format_rejections(&team.rejections),
            );
        }
        self.print_totals(backends, elapsed);
    }

    fn print_totals(&self, backends: &[BackendCounts], elapsed: Duration) {
        let within_rate: Vec<_> = self.teams.iter().filter(|t| !t.greedy).collect();
        let sent: u64 = within_rate.iter().map(|t| t.sent).sum();
        let rate_limited = within_rate.iter().flat_map(|t| &t.rejections);
        let rate_limited = rate_limited.filter(|(reason, _)| reason.starts_with("429"));
        let rate_limited: u64 = rate_limited.map(|(_, count)| count).sum();
        let answered: u64 = within_rate.iter().map(|t| t.answered).sum();
        let worst = within_rate.iter().map(|t| percentage(t.answered, t.sent));
        let worst = worst.fold(100.0, f64::min);
        let slowest = within_rate.iter().map(|t| percentile(&t.latencies, 99));
        let slowest = slowest.fold(0.0, f64::max);
        println!(
            "teams within their rate: {sent} sent, refused for their rate {:.3}%, not answered {:.3}%, worst team answered {worst:.2}%, worst p99 {slowest:.1} ms",
            percentage(rate_limited, sent),
            percentage(sent - answered, sent),
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
        let max_running = backends.iter().map(|b| b.all.most_running).max();
        let key_runs = backends.iter().flat_map(|b| &b.by_key);
        let mut by_key: BTreeMap<&str, u64> = BTreeMap::new();
        for (key, run) in key_runs {
            *by_key.entry(key).or_default() += run.started;
        }
        let run_twice = by_key.values().filter(|runs| **runs > 1).count();
        let bookings: u64 = self.teams.iter().map(|t| t.bookings).sum();
        println!(
            "backend servers: {runs} runs, {shed} shed, at most {} at once on one, {bookings} bookings answered, {run_twice} run twice",
            max_running.unwrap_or(0)
        );
    }
}

fn format_rejections(rejections: &BTreeMap<String, u64>) -> String {
    let entries = rejections
        .iter()
        .map(|(reason, count)| format!("[{reason}]={count}"));
    entries.collect::<Vec<_>>().join(" ")
}
