//! The store of facts that instances replicate to each other.

use tarragonpulley_policy::facts::{FactKey, FactValue};

use super::core::FleetCore;
use crate::interfaces::GossipFacts;

impl FleetCore {
    /// Merges a fact. If it changed the store and is `urgent`, it is sent to the
    /// peers at once.
    pub(super) fn publish_fact(&self, key: FactKey, value: FactValue, urgent: bool) {
        let mut facts = self.facts.borrow_mut();
        let changed = facts.merge(key, value);
        let change = facts.last_change();
        drop(facts);
        if changed && urgent {
            self.urgent_facts.set(change);
            self.wake_heartbeats();
        }
    }
}

impl GossipFacts for FleetCore {
    fn publish(&self, key: FactKey, value: FactValue, urgent: bool) {
        self.publish_fact(key, value, urgent);
    }

    fn get(&self, key: &FactKey) -> Option<FactValue> {
        self.facts.borrow().get(key).cloned()
    }

    fn select(&self, select: &dyn Fn(&FactKey) -> bool) -> Vec<(FactKey, FactValue)> {
        let facts = self.facts.borrow();
        let selected = facts.iter().filter(|(key, _value)| select(key));
        selected
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect()
    }
}
