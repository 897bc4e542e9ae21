//! When a kind of transaction may be sent again: one is in flight at a time, and a refused one is not repeated
//! before the cache shows why it was refused.

use super::StoreResponse;
use crate::types::Revision;

/// Whether a transaction of one kind may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WriteGate {
    /// One may be sent.
    #[default]
    Open,
    /// One is in flight.
    InFlight,
    /// The store refused the last one at this revision, since a record had another version than the cache showed.
    /// The same conditions would fail again until the cache has reached the revision.
    Refused(Revision),
}

impl WriteGate {
    /// Whether a transaction may be sent by a controller whose cache has reached revision `applied`.
    #[must_use]
    pub fn is_open(self, applied: Revision) -> bool {
        match self {
            WriteGate::Open => true,
            WriteGate::InFlight => false,
            WriteGate::Refused(revision) => revision <= applied,
        }
    }

    /// Marks a transaction as in flight.
    pub fn begin(&mut self) {
        *self = WriteGate::InFlight;
    }

    /// Marks the transaction in flight as answered.
    pub fn end(&mut self, response: &StoreResponse) {
        *self = match response {
            StoreResponse::Conflict(revision) => WriteGate::Refused(*revision),
            _ => WriteGate::Open,
        };
    }
}

#[cfg(test)]
mod tests;
