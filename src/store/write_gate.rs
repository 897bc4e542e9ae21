//! When a kind of transaction may be sent again: one is in flight at a time, and a refused one is not repeated
//! before the cache shows why it was refused, or a second has passed.

use super::StoreResponse;
use crate::types::{Millis, Revision};

/// A refused transaction may be repeated this long after it was sent. The cache reaches the revision of a refusal only
/// with the next change, if the refusal was due to a change that it had missed when the transaction was sent.
const MAX_REFUSAL_WAIT: Millis = Millis(1_000);

/// Whether a transaction of one kind may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WriteGate {
    /// One may be sent.
    #[default]
    Open,
    /// One is in flight.
    InFlight {
        /// When it was sent.
        sent_at: Millis,
    },
    /// The store refused the last one, since a record had another version than the cache showed. The same conditions
    /// would fail again until the cache shows that record.
    Refused {
        /// The revision at which it was refused.
        revision: Revision,
        /// When it was sent.
        sent_at: Millis,
    },
}

impl WriteGate {
    /// Whether a transaction may be sent now by a controller whose cache has reached revision `applied`.
    #[must_use]
    pub fn is_open(self, applied: Revision, now: Millis) -> bool {
        match self {
            WriteGate::Open => true,
            WriteGate::InFlight { .. } => false,
            WriteGate::Refused { revision, sent_at } => {
                revision <= applied || now.since(sent_at) >= MAX_REFUSAL_WAIT
            }
        }
    }

    /// Marks a transaction as in flight.
    pub fn begin(&mut self, now: Millis) {
        *self = WriteGate::InFlight { sent_at: now };
    }

    /// Marks the transaction in flight as answered.
    pub fn end(&mut self, response: &StoreResponse) {
        *self = match (*self, response) {
            (WriteGate::InFlight { sent_at }, StoreResponse::Conflict(revision)) => {
                let revision = *revision;
                WriteGate::Refused { revision, sent_at }
            }
            _ => WriteGate::Open,
        };
    }
}

#[cfg(test)]
mod tests;
