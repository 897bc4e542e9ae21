//! Classes and teams by small numbers, so that names which users make up take no memory.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Stands for a class or a team.
pub type Slot = u16;

/// Names that nobody told us of share so many slots, as in stochastic fairness queueing.
const UNKNOWN: u16 = 16;
/// The most names with a slot of their own.
const KNOWN: usize = 256;

#[derive(Clone, Debug, Default)]
pub struct Slots {
    known: Vec<String>,
}

impl Slots {
    /// The names that have slots of their own; of more than there are slots for, the first.
    pub fn new(names: impl IntoIterator<Item = String>) -> Self {
        let mut known: Vec<String> = names.into_iter().collect();
        known.sort();
        known.dedup();
        known.truncate(KNOWN);
        Self { known }
    }

    /// The same name has the same slot on every controller that knows the same names.
    pub fn of(&self, name: &str) -> Slot {
        match self
            .known
            .binary_search_by(|known| known.as_str().cmp(name))
        {
            Ok(index) => index as Slot,
            Err(_) => {
                let mut hasher = DefaultHasher::new();
                name.hash(&mut hasher);
                self.known.len() as Slot + (hasher.finish() % u64::from(UNKNOWN)) as Slot
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
