//! Four instances that report usage through a store and a receiver, with random pauses,
//! lost and late answers, restores of the store, restarts and steps of the clock.
//! Guards against each way in which the reports of one window or the fences of the
//! holders could contradict each other.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::entry::duty::{
    DutyWriter, Fence, LeaseTerms, RowPosition, WriteOutcome,
};
use tarragonpulley_policy::entry::names::InstanceName;
use tarragonpulley_policy::entry::usage::{
    DeliveryOutcome, HandIn, HolderSection, TeamCounts, UnixMillis, UsageCollector, UsageDuty,
    UsageRow, UsageStep, UsageTerms, UsageView, WindowNumber,
};

use crate::at;

const LEASE: Duration = Duration::from_secs(3);
const TERMS: UsageTerms = UsageTerms {
    window: Duration::from_secs(5),
    late: Duration::from_secs(10),
    lease: LeaseTerms {
        length: LEASE,
        margin: Duration::from_secs(1),
    },
    call_timeout: Duration::from_secs(1),
};
const START_MS: i64 = 1_700_000_002_000;
const STEP_MS: u64 = 25;
const RUN_MS: u64 = 90_000;
const INSTANCES: usize = 4;
/// The longest time that a call travels to the receiver. Shorter than the margin.
const MAX_TRAVEL_MS: u64 = 800;

#[derive(Debug, Clone, Default)]
struct StoreState {
    row: Option<(u64, UsageRow)>,
    version: u64,
    era: u64,
}

impl StoreState {
    fn position(&self) -> RowPosition {
        RowPosition {
            era: Some(self.era),
            version: self.row.as_ref().map_or(0, |(version, _)| *version),
        }
    }

    fn write(&mut self, expected: u64, row: &UsageRow) -> WriteOutcome {
        // Other rows change too.
        self.version += 1;
        if self.position().version != expected {
            return WriteOutcome::Conflict;
        }
        self.row = Some((self.version, row.clone()));
        WriteOutcome::Written(self.position())
    }
}

/// A call that an instance waits for, or whose effect comes later.
#[derive(Debug)]
enum Call {
    Read,
    Write {
        expected: u64,
        row: UsageRow,
    },
    Report {
        fence: Fence,
        window: WindowNumber,
        counts: TeamCounts,
    },
}

/// What happens at some time.
#[derive(Debug)]
enum Event {
    /// The call arrives.
    Arrive {
        from: usize,
        process: i64,
        call: Call,
    },
    /// The response arrives, or the caller gives up.
    Respond {
        to: usize,
        process: i64,
        response: Response,
    },
    Digest {
        to: usize,
        section: HolderSection,
    },
}

#[derive(Debug)]
enum Response {
    Read(RowPosition, Option<UsageRow>),
    ReadFailed,
    Write(Fence, WriteOutcome),
    Report(WindowNumber, DeliveryOutcome),
}

struct SimulatedInstance {
    duty: UsageDuty,
    process: i64,
    collector: UsageCollector,
    name: InstanceName,
    handed_in: Option<WindowNumber>,
    paused_until: u64,
    is_calling: bool,
    clock_offset_ms: i64,
}

/// Checks what the receiver gets.
#[derive(Debug, Default)]
struct Receiver {
    highest: Option<(Fence, usize)>,
    holders: BTreeMap<Fence, usize>,
    /// The last calls, with their times.
    calls: Vec<(u64, usize)>,
    reports: BTreeMap<WindowNumber, TeamCounts>,
}

impl Receiver {
    fn receive(
        &mut self,
        now: u64,
        from: usize,
        fence: Fence,
        window: WindowNumber,
        counts: &TeamCounts,
    ) {
        if let Some((highest, by)) = self.highest {
            assert!(
                fence >= highest,
                "{now}: {from} sends {fence} after {by} sent {highest}"
            );
        }
        self.highest = Some((fence, from));
        let holder = *self.holders.entry(fence).or_insert(from);
        assert_eq!(holder, from, "{now}: two holders sent {fence}");
        let lease_ms = u64::try_from(LEASE.as_millis()).expect("milliseconds");
        let recent = self.calls.iter().filter(|(at, _)| now - at < lease_ms);
        let mut holders: Vec<usize> = recent.map(|(_, holder)| *holder).collect();
        holders.push(from);
        holders.dedup();
        let returns = holders.iter().rev().skip(1).any(|other| *other == from);
        assert!(!returns, "{now}: {holders:?} within a lease");
        self.calls.push((now, from));
        let known = self.reports.entry(window).or_insert_with(|| counts.clone());
        assert_eq!(
            known, counts,
            "{now}: a second report of {window:?} by {from}"
        );
    }
}

struct Simulation {
    random: StdRng,
    start: Instant,
    now: u64,
    store: StoreState,
    copies: Vec<StoreState>,
    instances: Vec<SimulatedInstance>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    receiver: Receiver,
    has_faults: bool,
}

fn new_duty(name: &InstanceName, process: i64) -> UsageDuty {
    let own = DutyWriter {
        name: name.clone(),
        start: process,
    };
    UsageDuty::new(own, TERMS)
}

impl Simulation {
    fn new(seed: u64, has_faults: bool) -> Self {
        let instances = (0..INSTANCES).map(|index| {
            let name: InstanceName = format!("e{index}").parse().expect("a name");
            SimulatedInstance {
                duty: new_duty(&name, 0),
                process: 0,
                collector: UsageCollector::default(),
                name,
                handed_in: None,
                paused_until: 0,
                is_calling: false,
                clock_offset_ms: 0,
            }
        });
        Self {
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            store: StoreState {
                era: 1,
                ..StoreState::default()
            },
            copies: Vec::new(),
            instances: instances.collect(),
            events: BTreeMap::new(),
            next_event: 0,
            receiver: Receiver::default(),
            has_faults,
        }
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.has_faults && self.random.random_range(0..one_in) == 0
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + delay, self.next_event), event);
    }

    fn instant(&self) -> Instant {
        at(self.start, self.now)
    }

    fn run(&mut self) {
        while self.now < RUN_MS {
            self.now += STEP_MS;
            self.disturb();
            self.handle_events();
            for index in 0..INSTANCES {
                self.step(index);
            }
        }
    }

    fn disturb(&mut self) {
        let index = self.random.random_range(0..INSTANCES);
        if self.chance(300) {
            let length = self.random.random_range(100..9000);
            self.instances[index].paused_until = self.now + length;
        }
        if self.chance(600) {
            let instance = &mut self.instances[index];
            instance.process += 1;
            instance.duty = new_duty(&instance.name, instance.process);
            instance.collector = UsageCollector::default();
            instance.handed_in = None;
            instance.is_calling = false;
        }
        if self.chance(600) {
            self.instances[index].clock_offset_ms = self.random.random_range(-3000..3000);
        }
        if self.chance(400) {
            self.copies.push(self.store.clone());
        }
        if self.chance(1500)
            && let Some(copy) = self.copies.pop()
        {
            let era = self.store.era + 1;
            self.store = StoreState { era, ..copy };
        }
    }

    /// Delivers what is due. What is for a paused instance waits.
    fn handle_events(&mut self) {
        let due: Vec<(u64, u64)> = self
            .events
            .range(..=(self.now, u64::MAX))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let Some(event) = self.events.remove(&key) else {
                continue;
            };
            let receiver = match &event {
                Event::Arrive { .. } => None,
                Event::Respond { to, .. } | Event::Digest { to, .. } => Some(*to),
            };
            let paused_until = receiver.map_or(0, |to| self.instances[to].paused_until);
            if paused_until > self.now {
                self.events.insert((paused_until, key.1), event);
                continue;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.instant();
        match event {
            Event::Arrive {
                from,
                process,
                call,
            } => self.arrive(from, process, call),
            Event::Digest { to, section } => self.instances[to].duty.record_heard(&section, now),
            Event::Respond {
                to,
                process,
                response,
            } => {
                let time = self.time(to);
                let instance = &mut self.instances[to];
                if instance.process != process {
                    return;
                }
                instance.is_calling = false;
                let duty = &mut instance.duty;
                match response {
                    Response::Read(position, row) => duty.record_read(position, row, time, now),
                    Response::ReadFailed => duty.record_read_failed(now),
                    Response::Write(fence, outcome) => duty.record_write(fence, outcome, now),
                    Response::Report(window, outcome) => duty.record_delivery(window, outcome, now),
                }
            }
        }
    }

    fn arrive(&mut self, from: usize, process: i64, call: Call) {
        let is_lost = self.chance(5);
        let delay = self.random.random_range(1..200);
        let response = match call {
            Call::Read if is_lost => Response::ReadFailed,
            Call::Read => {
                let row = self.store.row.as_ref().map(|(_, row)| row.clone());
                Response::Read(self.store.position(), row)
            }
            Call::Write { expected, row } => {
                let outcome = self.store.write(expected, &row);
                let outcome = if is_lost {
                    WriteOutcome::Unknown
                } else {
                    outcome
                };
                Response::Write(row.fence, outcome)
            }
            Call::Report {
                fence,
                window,
                counts,
            } => {
                self.receiver
                    .receive(self.now, from, fence, window, &counts);
                let outcome = if is_lost {
                    DeliveryOutcome::Unknown
                } else {
                    DeliveryOutcome::Accepted
                };
                Response::Report(window, outcome)
            }
        };
        self.schedule(
            delay,
            Event::Respond {
                to: from,
                process,
                response,
            },
        );
    }

    fn time(&self, index: usize) -> UnixMillis {
        let since = i64::try_from(self.now).expect("a time");
        UnixMillis(START_MS + since + self.instances[index].clock_offset_ms)
    }

    /// Each instance gets different counts, so that two reports of a window are the
    /// same only if one repeats the other.
    fn hand_in(&mut self, index: usize) {
        let time = self.time(index);
        let current = TERMS.window_at(time);
        let closed = WindowNumber(current.0 - 1);
        let instance = &mut self.instances[index];
        if instance.handed_in.is_some_and(|window| window >= closed) {
            return;
        }
        instance.handed_in = Some(closed);
        instance.collector.expire(&TERMS.kept_windows(time));
        let count = self.random.random();
        let counts = TeamCounts::from([("team".parse().expect("a name"), count)]);
        instance.collector.add(&HandIn {
            writer: DutyWriter {
                name: instance.name.clone(),
                start: instance.process,
            },
            window: closed,
            part: 0,
            parts: 1,
            sent_at: time,
            counts,
        });
    }

    fn step(&mut self, index: usize) {
        if self.instances[index].paused_until > self.now {
            return;
        }
        self.hand_in(index);
        self.send_digest(index);
        if self.instances[index].is_calling {
            return;
        }
        let time = self.time(index);
        let now = self.instant();
        // Any instance may believe that it is its turn.
        let rank = if self.has_faults {
            Some(self.random.random_range(0..2))
        } else {
            Some(index)
        };
        let instance = &mut self.instances[index];
        let live = [instance.name.clone()];
        let view = UsageView {
            time,
            rank,
            live: &live,
        };
        let process = instance.process;
        let step = instance.duty.next_step(&view, &instance.collector, now);
        let (call, max_travel) = match step {
            UsageStep::Idle => return,
            UsageStep::Read => (Call::Read, 300),
            UsageStep::Write { expected, row } => (Call::Write { expected, row }, 300),
            UsageStep::Send { grant, report } => (
                Call::Report {
                    fence: grant.fence,
                    window: report.window,
                    counts: report.counts,
                },
                MAX_TRAVEL_MS,
            ),
        };
        self.send(index, process, call, max_travel);
    }

    fn send(&mut self, from: usize, process: i64, call: Call, max_travel: u64) {
        self.instances[from].is_calling = true;
        let is_dropped = self.chance(10);
        // A write without a response may be applied seconds later.
        let is_delayed = self.chance(10);
        if is_dropped || is_delayed {
            let response = match &call {
                Call::Read => Response::ReadFailed,
                Call::Write { row, .. } => Response::Write(row.fence, WriteOutcome::Unknown),
                Call::Report { window, .. } => Response::Report(*window, DeliveryOutcome::Unknown),
            };
            let event = Event::Respond {
                to: from,
                process,
                response,
            };
            self.schedule(1000, event);
            if let (true, Call::Write { expected, row }) = (is_delayed, call) {
                let delay = self.random.random_range(1000..8000);
                let call = Call::Write { expected, row };
                // Nobody waits for the response.
                let event = Event::Arrive {
                    from,
                    process: -1,
                    call,
                };
                self.schedule(delay, event);
            }
            return;
        }
        let travel = self.random.random_range(1..max_travel);
        self.schedule(
            travel,
            Event::Arrive {
                from,
                process,
                call,
            },
        );
    }

    /// Each instance sends a digest every 500 ms; some are lost.
    fn send_digest(&mut self, index: usize) {
        if !self.now.is_multiple_of(500) {
            return;
        }
        let Some(section) = self.instances[index].duty.section(self.instant()) else {
            return;
        };
        for to in (0..INSTANCES).filter(|to| *to != index) {
            let is_lost = self.chance(4);
            let delay = self.random.random_range(1..1000);
            if !is_lost {
                self.schedule(
                    delay,
                    Event::Digest {
                        to,
                        section: section.clone(),
                    },
                );
            }
        }
    }
}

#[test]
fn reports_never_contradict_each_other() {
    const SEEDS: u64 = 300;
    let mut reported = 0;
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, true);
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| simulation.run()));
        assert!(result.is_ok(), "seed {seed}");
        reported += simulation.receiver.reports.len();
    }
    // 18 windows a run: the faults leave some, so that the checks have something to do.
    assert!(
        reported > usize::try_from(SEEDS).expect("a number") * 4,
        "{reported} reports"
    );
}

/// Guards against windows that are missed without a fault.
#[test]
fn without_faults_each_window_is_reported() {
    let mut simulation = Simulation::new(1, false);
    simulation.run();
    let windows: Vec<u64> = simulation
        .receiver
        .reports
        .keys()
        .map(|window| window.0)
        .collect();
    let first = windows[0];
    let expected: Vec<u64> = (first..first + 17).collect();
    assert!(windows.starts_with(&expected), "{windows:?}");
    assert_eq!(
        simulation.receiver.holders.len(),
        windows.len(),
        "one write a window"
    );
}
