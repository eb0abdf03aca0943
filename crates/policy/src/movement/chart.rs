//! Loads and checks the state chart of moves.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use serde::Deserialize;

use super::{MoveAction, MoveEvent, MoveGuard, MoveState};

const STANDARD: &str = include_str!("../movement.toml");

/// Why a chart was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ChartError {
    /// The text is not TOML of the documented form.
    #[error("the chart is not well-formed: {0}")]
    Syntax(String),
    /// The chart breaks rules; all broken ones are listed.
    #[error("{}", .0.join("\n"))]
    Rules(Vec<String>),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    initial: String,
    state: Vec<StateEntry>,
    transition: Vec<TransitionEntry>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StateEntry {
    name: String,
    #[serde(default, rename = "final")]
    is_final: bool,
    #[serde(default)]
    ignores: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TransitionEntry {
    from: String,
    on: String,
    to: String,
    #[serde(default)]
    guards: Vec<String>,
    action: String,
}

/// A transition of the chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct MoveTransition {
    pub(super) from: MoveState,
    pub(super) event: MoveEvent,
    pub(super) to: MoveState,
    pub(super) guards: Vec<MoveGuard>,
    pub(super) action: MoveAction,
}

/// The checked state chart of moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MovementChart {
    pub(super) initial: MoveState,
    pub(super) transitions: Vec<MoveTransition>,
}

struct ChartReader {
    mistakes: Vec<String>,
}

impl ChartReader {
    fn parse<T: FromStr<Err: Display>>(&mut self, field: &str, text: &str) -> Option<T> {
        text.parse()
            .map_err(|error: T::Err| self.mistakes.push(format!("{field}: {error}")))
            .ok()
    }

    fn transition(&mut self, entry: &TransitionEntry) -> Option<MoveTransition> {
        let field = format!("transition[{} on {}]", entry.from, entry.on);
        let guards = entry.guards.iter();
        let guards: Vec<_> = guards.map(|g| self.parse(&field, g)).collect();
        let from = self.parse(&field, &entry.from);
        let event = self.parse(&field, &entry.on);
        let to = self.parse(&field, &entry.to);
        let action = self.parse(&field, &entry.action);
        Some(MoveTransition {
            from: from?,
            event: event?,
            to: to?,
            guards: guards.into_iter().collect::<Option<_>>()?,
            action: action?,
        })
    }

    /// Every pair of a state and an event is handled or ignored, and not both.
    fn check_state(&mut self, entry: &StateEntry, transitions: &[MoveTransition]) {
        let field = format!("state[{}]", entry.name);
        let Some(state) = self.parse::<MoveState>(&field, &entry.name) else {
            return;
        };
        if state.is_final() != entry.is_final {
            self.mistakes
                .push(format!("{field}: final must be {}", state.is_final()));
        }
        let ignored = entry.ignores.iter();
        let ignored: BTreeSet<MoveEvent> = ignored.filter_map(|e| self.parse(&field, e)).collect();
        for event in MoveEvent::ALL {
            let mut of_pair = transitions
                .iter()
                .filter(|t| t.from == state && t.event == *event);
            let handled = of_pair.next().is_some();
            let complaint = match (handled, ignored.contains(event)) {
                (true, _) if entry.is_final => "a final state must have no transition on",
                (true, true) => "both handles and ignores",
                (false, false) if !entry.is_final => "has no transition on",
                _ => continue,
            };
            self.mistakes.push(format!("{field}: {complaint} {event}"));
        }
    }

    fn check_names(&mut self, states: &[StateEntry]) {
        let mut seen = BTreeSet::new();
        for entry in states {
            if !seen.insert(entry.name.clone()) {
                self.mistakes
                    .push(format!("state[{}]: occurs twice", entry.name));
            }
        }
        for state in MoveState::ALL {
            if !seen.contains(&state.to_string()) {
                self.mistakes.push(format!("state[{state}]: is missing"));
            }
        }
    }

    fn check_reach(&mut self, initial: MoveState, transitions: &[MoveTransition]) {
        let forward = transitions.iter().map(|t| (t.from, t.to));
        let reached = closure([initial], forward);
        let ends = MoveState::ALL.iter().copied().filter(|s| s.is_final());
        let backward = transitions.iter().map(|t| (t.to, t.from));
        let ending = closure(ends, backward);
        for state in MoveState::ALL {
            if !reached.contains(state) {
                self.mistakes
                    .push(format!("state[{state}]: cannot be reached"));
            }
            if !ending.contains(state) {
                self.mistakes
                    .push(format!("state[{state}]: leads to no final state"));
            }
        }
    }
}

fn closure(
    start: impl IntoIterator<Item = MoveState>,
    edges: impl Iterator<Item = (MoveState, MoveState)>,
) -> BTreeSet<MoveState> {
    let mut next: BTreeMap<MoveState, Vec<MoveState>> = BTreeMap::new();
    for (from, to) in edges {
        next.entry(from).or_default().push(to);
    }
    let mut open: Vec<MoveState> = start.into_iter().collect();
    let mut seen = BTreeSet::new();
    while let Some(state) = open.pop() {
        if seen.insert(state) {
            open.extend(next.get(&state).into_iter().flatten());
        }
    }
    seen
}

impl MovementChart {
    /// Loads the chart that is part of the program.
    ///
    /// # Errors
    ///
    /// [`ChartError`] when the chart breaks a rule.
    pub fn standard() -> Result<Self, ChartError> {
        Self::load(STANDARD)
    }

    /// Loads and checks the text of a chart.
    ///
    /// # Errors
    ///
    /// [`ChartError`] when the text is not TOML of the documented form, names
    /// something unknown, has a state that cannot be reached or leads to no
    /// end, or lacks a transition. All broken rules are listed.
    pub fn load(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile =
            toml::from_str(text).map_err(|error| ChartError::Syntax(error.to_string()))?;
        let mut reader = ChartReader {
            mistakes: Vec::new(),
        };
        let initial = reader.parse("initial", &file.initial);
        let entries = file.transition.iter();
        let transitions: Vec<_> = entries.filter_map(|t| reader.transition(t)).collect();
        reader.check_names(&file.state);
        for entry in &file.state {
            reader.check_state(entry, &transitions);
        }
        if let Some(initial) = initial {
            reader.check_reach(initial, &transitions);
        }
        match initial {
            Some(initial) if reader.mistakes.is_empty() => Ok(Self {
                initial,
                transitions,
            }),
            _ => Err(ChartError::Rules(reader.mistakes)),
        }
    }

    /// The state in which a move begins.
    #[must_use]
    pub const fn initial(&self) -> MoveState {
        self.initial
    }
}
