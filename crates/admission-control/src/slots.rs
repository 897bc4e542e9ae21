//! Numbers for classes and teams, so that names which users invent take no memory.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The number of a class or a team.
pub type Slot = u16;

/// Unknown names share this many slots, as in stochastic fairness queueing.
const UNKNOWN_SLOTS: u16 = 16;
/// The most names that get a slot of their own.
const MAX_KNOWN_NAMES: usize = 256;

/// The names with slots of their own, in the order of their slots.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    known: Vec<String>,
}

impl Slots {
    /// Gives each of these names a slot of its own, up to `MAX_KNOWN_NAMES`, in the order given.
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

    /// The name that has this slot to itself.
    pub fn name(&self, slot: Slot) -> Option<&str> {
        self.known.get(usize::from(slot)).map(String::as_str)
    }
}

#[cfg(test)]
mod tests;
