//! Tests of the move driver and the evidence collector with fakes of the fleet.
#![allow(dead_code, reason = "each test uses a part of the modules and fakes")]

#[path = "../src"]
mod daemon {
    pub(crate) mod interfaces;
    #[expect(unused_imports, reason = "the guard is named by the instance")]
    pub(crate) mod mover;
}
mod fakes;

use std::rc::Rc;
use std::time::{Duration, Instant};

use daemon::{interfaces, mover};
use fakes::{FakeInstance, member};
use mover::{EvidenceCollector, MoveDriver};
use tarragonpulley_policy::clock::TimeSource;
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::{MoveName, ServiceKey, VersionName};
use tarragonpulley_policy::movement::{
    CentreShiftShare, MoveOrder, MoveStateMachine, centre_shifts, check_order, version_shares,
};
use tarragonpulley_policy::snapshot::{MoveKind, MoveRecord};
use tarragonpulley_policy::units::{ConfigRevision, TrafficShare};

use interfaces::{AttemptReport, ChangeOutcome, EvidenceSink};

const LUNWAN: &str = include_str!("../../../contracts/lunwan.toml");
const POLL_INTERVAL: Duration = Duration::from_millis(200);

struct Fixture {
    instance: FakeInstance,
    collector: Rc<EvidenceCollector>,
    driver: MoveDriver,
    service: ServiceKey,
    old: VersionName,
    new: VersionName,
    name: MoveName,
}

impl Fixture {
    /// An instance with a new rollout.
    fn new() -> Self {
        let instance = FakeInstance::new();
        let contract = LUNWAN.replacen("version = \"fitdesk-41\"", "version = \"first\"", 1);
        let contract = contract.replacen("version = \"fitdesk-41\"", "version = \"fitdesk-42\"", 6);
        instance.put_contract(&contract.replacen("\"first\"", "\"fitdesk-41\"", 1));
        let context = instance.context.clone();
        let collector = EvidenceCollector::new(
            Rc::clone(&context.clock),
            Rc::clone(&context.facts),
            Rc::clone(&context.events),
        );
        let state_machine = Rc::new(MoveStateMachine::built_in().expect("valid"));
        let driver = MoveDriver::new(context, Rc::clone(&collector), state_machine);
        let fixture = Self {
            instance,
            collector,
            driver,
            service: "lunwan/fitdesk".parse().expect("valid"),
            old: "fitdesk-41".parse().expect("valid"),
            new: "fitdesk-42".parse().expect("valid"),
            name: "up".parse().expect("valid"),
        };
        fixture.order("up");
        fixture
    }

    fn order(&self, name: &str) {
        let order = MoveOrder {
            name: name.parse().expect("valid"),
            kind: MoveKind::Rollout {
                service: self.service.clone(),
                from: self.old.clone(),
                to: self.new.clone(),
            },
            cap: TrafficShare::from_percent(5),
            deadline: Duration::from_secs(30),
        };
        let now = self.instance.clock.system();
        let mut snapshot = self.instance.config.snapshot.borrow_mut();
        let clean = tarragonpulley_policy::snapshot::ConfigSnapshot {
            moves: std::collections::BTreeMap::new(),
            ..snapshot.clone()
        };
        let record = check_order(&clean, &order, now).expect("valid");
        snapshot.moves.insert(order.name, record);
    }

    fn record(&self) -> MoveRecord {
        self.instance.config.snapshot.borrow().moves[&self.name].clone()
    }

    fn share(&self) -> TrafficShare {
        self.share_of(&self.new)
    }

    /// The shifts between data centres that routing applies.
    fn shifts(&self) -> Vec<CentreShiftShare> {
        let snapshot = self.instance.config.snapshot.borrow();
        let harmful = self.collector.is_shift_harmful(&self.service);
        centre_shifts(
            &snapshot,
            &self.service,
            harmful,
            self.instance.clock.system(),
        )
    }

    /// The traffic share that routing gives a version, depending on the facts.
    fn share_of(&self, version: &VersionName) -> TrafficShare {
        let snapshot = self.instance.config.snapshot.borrow();
        let faulty = |version: &VersionName| {
            let key = FactKey::VersionFault(self.service.clone(), version.clone());
            self.instance.context.facts.get(&key).is_some()
        };
        let now = self.instance.clock.system();
        let shares = version_shares(&snapshot, &self.service, &faulty, now);
        shares.get(version).copied().unwrap_or(TrafficShare::NONE)
    }

    /// Reports attempts on two routes, each with 50 requests a second on the old
    /// version, and the share of the new one in addition, at least one in ten.
    fn requests(&self, failed: bool) {
        let share = self.share().ppm().max(100_000);
        for index in 0..20_u32 {
            let on_new = index * 50_000 % 1_000_000 < share && self.share() > TrafficShare::NONE;
            let reports = [(&self.old, false), (&self.new, failed)];
            for (version, failed) in reports.into_iter().take(1 + usize::from(on_new)) {
                self.collector.record_attempt(&AttemptReport {
                    service: self.service.clone(),
                    version: version.clone(),
                    route: if index % 2 == 0 { "/fits" } else { "/shops" }.to_owned(),
                    failed,
                    latency: Duration::from_millis(8),
                });
            }
        }
    }

    fn poll(&mut self) {
        self.instance.clock.advance(POLL_INTERVAL);
        actix_rt::System::new().block_on(self.driver.poll());
    }

    fn run(&mut self, seconds: u64, failed: bool) {
        for _ in 0..seconds * 5 {
            self.requests(failed);
            self.poll();
        }
    }
}

// Guards against a version without faults that stays at its cap, and against a
// driver that completes its rollout without steps.
#[test]
fn a_good_rollout_completes() {
    let mut fixture = Fixture::new();
    fixture.run(27, false);
    assert_eq!(
        fixture.record().state,
        "completed",
        "{:?}",
        fixture.record()
    );
    assert_eq!(fixture.share(), TrafficShare::ALL);
    let events = fixture.instance.events.0.borrow();
    let steps = events.iter().filter(|(kind, ..)| kind == "move_step");
    assert_eq!(
        steps.count(),
        6,
        "five shares and the completion: {events:?}"
    );
}

// Guards against traffic to a faulty version between the detection of the fault
// and the write, above all while the table cannot be written.
#[test]
fn a_fault_stops_the_traffic_before_the_table_is_written() {
    let mut fixture = Fixture::new();
    fixture.run(3, false);
    assert!(fixture.share() > TrafficShare::NONE);
    let script = &fixture.instance.config.script;
    let down = ChangeOutcome::Unavailable("down".to_owned());
    script.borrow_mut().extend(vec![down; 3]);
    while fixture.share() > TrafficShare::NONE {
        fixture.requests(true);
    }
    assert!(
        fixture.record().share > TrafficShare::NONE,
        "the table is not written yet"
    );
    let key = FactKey::VersionFault(fixture.service.clone(), fixture.new.clone());
    assert!(
        fixture.instance.context.facts.get(&key).is_some(),
        "the fault is published to peers"
    );
    fixture.run(10, false);
    let record = fixture.record();
    assert_eq!(record.state, "taken_back", "{record:?}");
    assert_eq!(fixture.share(), TrafficShare::NONE);
    let events = fixture.instance.events.0.borrow();
    let reasons = events
        .iter()
        .filter(|(_, _, detail)| detail.contains("fail more often"));
    assert!(
        reasons.count() >= 2,
        "the events of the fault and of the step contain the reason: {events:?}"
    );
}

// Guards against traffic to a version whose fault was found only by a peer.
#[test]
fn a_fault_found_by_a_peer_stops_the_traffic_at_once() {
    let mut fixture = Fixture::new();
    fixture.run(3, false);
    assert!(fixture.share() > TrafficShare::NONE);
    let key = FactKey::VersionFault(fixture.service.clone(), fixture.new.clone());
    let value = FactValue::FlagWithReason("peer".to_owned());
    fixture.instance.context.facts.publish(key, value, false);
    assert_eq!(fixture.share(), TrafficShare::NONE);
    assert_eq!(fixture.share_of(&fixture.old), TrafficShare::ALL);
    fixture.poll();
    assert_eq!(fixture.record().reason, "fault: peer");
}

// Guards against a traffic share that remains after the deadline because the table
// cannot be written or because the share was computed before.
#[test]
fn the_deadline_ends_a_share_without_the_table() {
    let mut fixture = Fixture::new();
    fixture.run(3, false);
    assert!(fixture.share() > TrafficShare::NONE);
    let down = ChangeOutcome::Unavailable("down".to_owned());
    let script = &fixture.instance.config.script;
    script.borrow_mut().extend(vec![down; 1000]);
    fixture.run(26, false);
    assert!(fixture.share() > TrafficShare::NONE, "one second is left");
    fixture.run(1, false);
    assert_eq!(fixture.share(), TrafficShare::NONE);
    assert_eq!(
        fixture.record().state,
        "shifting",
        "the table is not written"
    );
}

// Guards against a lost race that stops the driver, or that makes it retry without
// a delay.
#[test]
fn a_lost_race_is_retried_later() {
    let mut fixture = Fixture::new();
    let conflict = ChangeOutcome::Conflict(ConfigRevision::new(7));
    fixture
        .instance
        .config
        .script
        .borrow_mut()
        .push_back(conflict);
    for _ in 0..4 {
        fixture.poll();
    }
    assert_eq!(fixture.instance.config.edits.borrow().len(), 1);
    for _ in 0..3 {
        fixture.poll();
    }
    assert_eq!(fixture.record().state, "shifting");
}

/// A fixture whose move is a shift between data centres.
fn fixture_with_shift() -> Fixture {
    let fixture = Fixture::new();
    let mut snapshot = fixture.instance.config.snapshot.borrow_mut();
    let record = snapshot.moves.get_mut(&fixture.name).expect("ordered");
    record.kind = MoveKind::CentreShift {
        service: fixture.service.clone(),
        from: "tainan-a".parse().expect("valid"),
        to: "taipei-a".parse().expect("valid"),
    };
    drop(snapshot);
    fixture
}

// Guards against a shift that is not driven, or whose share routing does not get.
#[test]
fn a_good_shift_completes() {
    let mut fixture = fixture_with_shift();
    fixture.run(27, false);
    assert_eq!(
        fixture.record().state,
        "completed",
        "{:?}",
        fixture.record()
    );
    let shifts = fixture.shifts();
    assert_eq!(shifts.len(), 1);
    assert_eq!(shifts[0].share, TrafficShare::ALL);
    assert_eq!(shifts[0].to.as_str(), "taipei-a");
}

// Guards against a harmful shift that continues, or that marks the version as
// faulty, which would stop its traffic in every data centre.
#[test]
fn a_harmful_shift_is_rolled_back() {
    let mut fixture = fixture_with_shift();
    fixture.run(4, false);
    assert!(!fixture.shifts().is_empty());
    for index in 0..200_u64 {
        fixture.collector.record_attempt(&AttemptReport {
            service: fixture.service.clone(),
            version: fixture.old.clone(),
            route: "/fits".to_owned(),
            failed: index.is_multiple_of(3),
            latency: Duration::from_millis(8),
        });
    }
    assert!(fixture.shifts().is_empty(), "before the write");
    fixture.poll();
    assert_eq!(fixture.record().state, "taking_back");
    assert!(fixture.shifts().is_empty());
    assert_eq!(fixture.share_of(&fixture.old), TrafficShare::ALL);
    let key = FactKey::VersionFault(fixture.service.clone(), fixture.old.clone());
    assert!(fixture.instance.context.facts.get(&key).is_none());
}

// Guards against two concurrent moves of a service.
#[test]
fn a_second_move_is_rolled_back() {
    let mut fixture = Fixture::new();
    fixture.order("zz");
    fixture.run(3, false);
    let snapshot = fixture.instance.config.snapshot.borrow();
    let second = &snapshot.moves[&"zz".parse::<MoveName>().expect("valid")];
    assert_eq!(second.state, "taken_back");
    assert!(
        second
            .reason
            .contains("move up of lunwan/fitdesk is under way")
    );
    assert_eq!(fixture.record().state, "shifting");
}

// Guards against a driver that still runs after its guard is dropped, and against a
// fault that is handled only at the next regular poll.
#[test]
fn the_driver_runs_until_its_guard_is_dropped() {
    let fixture = Fixture::new();
    actix_rt::System::new().block_on(async {
        let state_machine = Rc::new(MoveStateMachine::built_in().expect("valid"));
        let context = fixture.instance.context.clone();
        let guard = MoveDriver::start(context, Rc::clone(&fixture.collector), state_machine);
        let deadline = Instant::now() + Duration::from_secs(5);
        while fixture.record().state == "planned" && Instant::now() < deadline {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(fixture.record().state, "shifting");
        drop(guard);
        fixture.instance.clock.advance(Duration::from_secs(40));
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(fixture.record().state, "shifting");
    });
}

// Guards against all instances writing a step at the same time.
#[test]
fn an_instance_of_higher_rank_delays_its_write() {
    let mut fixture = Fixture::new();
    let members = (0..9).map(|n| member(&format!("a-{n}"), "taipei-a"));
    let members = Rc::new(fakes::StubSources(members.collect()));
    let context = interfaces::InstanceContext {
        members,
        ..fixture.instance.context.clone()
    };
    let state_machine = Rc::new(MoveStateMachine::built_in().expect("valid"));
    fixture.driver = MoveDriver::new(context, Rc::clone(&fixture.collector), state_machine);
    fixture.poll();
    assert_eq!(fixture.record().state, "planned");
    for _ in 0..5 {
        fixture.poll();
    }
    assert_eq!(fixture.record().state, "shifting");
}
