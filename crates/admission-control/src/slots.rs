//! Maps the names of classes and teams to a bounded number of slots, so that arbitrary names from
//! users take no memory.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The number of a class or a team.
pub type Slot = u16;

/// Number of slots that unknown names share by hash, as in stochastic fairness queueing.
const UNKNOWN_SLOTS: u16 = 16;
/// Upper bound on the number of names that get a slot of their own.
const MAX_KNOWN_NAMES: usize = 256;

/// The assignment of names to slots.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    /// The names with slots of their own, sorted; the slot is the index.
    known: Vec<String>,
}

impl Slots {
    /// Gives each of these names a slot of its own: the first `MAX_KNOWN_NAMES` in alphabetical
    /// order; repeated names count once.
    pub fn new(names: impl IntoIterator<Item = String>) -> Self {
        let mut known: Vec<String> = names.into_iter().collect();
        known.sort();
        known.dedup();
        known.truncate(MAX_KNOWN_NAMES);
        Self { known }
    }

    /// The slot of a name. It is the same on every controller that was given the same names.
    pub fn of(&self, name: &str) -> Slot {
        let found = self
            .known
            .binary_search_by(|known| known.as_str().cmp(name));
        match found {
            Ok(index) => index as Slot,
            Err(_) => {
                let mut hasher = DefaultHasher::new();
                name.hash(&mut hasher);
                self.known.len() as Slot + (hasher.finish() % u64::from(UNKNOWN_SLOTS)) as Slot
            }
        }
    }

    /// The name that has this slot to itself; `None` for the slots that unknown names share.
    pub fn name(&self, slot: Slot) -> Option<&str> {
        self.known.get(usize::from(slot)).map(String::as_str)
    }
}

#[cfg(test)]
mod tests;
