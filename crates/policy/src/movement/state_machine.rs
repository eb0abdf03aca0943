//! Loads and checks the definition of the state machine of moves.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use serde::Deserialize;

use super::{MoveAction, MoveEvent, MoveGuard, MoveState};

const BUILT_IN: &str = include_str!("../movement.toml");

/// Why a definition was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum StateMachineError {
    /// The text is not TOML of the documented form.
    #[error("the state machine definition is not well-formed: {0}")]
    Syntax(String),
    /// The definition breaks rules; all violations are listed.
    #[error("{}", .0.join("\n"))]
    Rules(Vec<String>),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StateMachineFile {
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

/// A transition of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct MoveTransition {
    pub(super) from: MoveState,
    pub(super) event: MoveEvent,
    pub(super) to: MoveState,
    pub(super) guards: Vec<MoveGuard>,
    pub(super) action: MoveAction,
}

/// The state machine of moves, from a checked definition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveStateMachine {
    pub(super) initial: MoveState,
    pub(super) transitions: Vec<MoveTransition>,
}

struct StateMachineParser {
    violations: Vec<String>,
}

impl StateMachineParser {
    fn parse<T: FromStr<Err: Display>>(&mut self, field: &str, text: &str) -> Option<T> {
        text.parse()
            .map_err(|error: T::Err| self.violations.push(format!("{field}: {error}")))
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

    /// Checks that every event is either handled or ignored in a state, and not
    /// both.
    fn check_state(&mut self, entry: &StateEntry, transitions: &[MoveTransition]) {
        let field = format!("state[{}]", entry.name);
        let Some(state) = self.parse::<MoveState>(&field, &entry.name) else {
            return;
        };
        if state.is_final() != entry.is_final {
            self.violations
                .push(format!("{field}: final must be {}", state.is_final()));
        }
        let ignored = entry.ignores.iter();
        let ignored: BTreeSet<MoveEvent> = ignored.filter_map(|e| self.parse(&field, e)).collect();
        for event in MoveEvent::ALL {
            let mut matching = transitions
                .iter()
                .filter(|t| t.from == state && t.event == *event);
            let handled = matching.next().is_some();
            let problem = match (handled, ignored.contains(event)) {
                (true, _) if entry.is_final => "a final state must have no transition on",
                (true, true) => "both handles and ignores",
                (false, false) if !entry.is_final => "has no transition on",
                _ => continue,
            };
            self.violations.push(format!("{field}: {problem} {event}"));
        }
    }

    fn check_names(&mut self, states: &[StateEntry]) {
        let mut seen = BTreeSet::new();
        for entry in states {
            if !seen.insert(entry.name.clone()) {
                self.violations
                    .push(format!("state[{}]: occurs twice", entry.name));
            }
        }
        for state in MoveState::ALL {
            if !seen.contains(&state.to_string()) {
                self.violations.push(format!("state[{state}]: is missing"));
            }
        }
    }

    fn check_reachability(&mut self, initial: MoveState, transitions: &[MoveTransition]) {
        let forward = transitions.iter().map(|t| (t.from, t.to));
        let reachable = reachable_from([initial], forward);
        let final_states = MoveState::ALL.iter().copied().filter(|s| s.is_final());
        let backward = transitions.iter().map(|t| (t.to, t.from));
        let reaches_final = reachable_from(final_states, backward);
        for state in MoveState::ALL {
            if !reachable.contains(state) {
                self.violations
                    .push(format!("state[{state}]: cannot be reached"));
            }
            if !reaches_final.contains(state) {
                self.violations
                    .push(format!("state[{state}]: leads to no final state"));
            }
        }
    }
}

fn reachable_from(
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

impl MoveStateMachine {
    /// Loads the definition that is compiled into the program.
    ///
    /// # Errors
    ///
    /// [`StateMachineError`] when the definition breaks a rule.
    pub fn built_in() -> Result<Self, StateMachineError> {
        Self::load(BUILT_IN)
    }

    /// Loads and checks the text of a definition.
    ///
    /// # Errors
    ///
    /// [`StateMachineError`] when the text is not TOML of the documented form, names
    /// something unknown, has a state that is unreachable or leads to no final
    /// state, or lacks a transition. All violations are listed.
    pub fn load(text: &str) -> Result<Self, StateMachineError> {
        let file: StateMachineFile =
            toml::from_str(text).map_err(|error| StateMachineError::Syntax(error.to_string()))?;
        let mut parser = StateMachineParser {
            violations: Vec::new(),
        };
        let initial = parser.parse("initial", &file.initial);
        let entries = file.transition.iter();
        let transitions: Vec<_> = entries.filter_map(|t| parser.transition(t)).collect();
        parser.check_names(&file.state);
        for entry in &file.state {
            parser.check_state(entry, &transitions);
        }
        if let Some(initial) = initial {
            parser.check_reachability(initial, &transitions);
        }
        match initial {
            Some(initial) if parser.violations.is_empty() => Ok(Self {
                initial,
                transitions,
            }),
            _ => Err(StateMachineError::Rules(parser.violations)),
        }
    }

    /// The state of a new move.
    #[must_use]
    pub const fn initial(&self) -> MoveState {
        self.initial
    }
}
