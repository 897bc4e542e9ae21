//! Transactions: conditions on the versions of keys, and changes that are made if all of them hold.

use serde::Serialize;

use crate::types::{LeaseId, Revision};

/// A change of one key.
#[derive(Clone, Debug)]
pub enum Mutation {
    /// Writes the key.
    Put {
        /// The whole key, prefix included.
        key: String,
        /// The value, as JSON.
        data: String,
        /// The key is deleted when this lease expires.
        lease_id: Option<LeaseId>,
    },
    /// Deletes the key.
    Drop {
        /// The whole key, prefix included.
        key: String,
    },
}

/// A compare-and-swap on several keys: all changes are made, or none.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Keys with the version that each must have; zero: the key must not exist.
    pub conditions: Vec<(String, Revision)>,
    /// The changes, in the order in which they are made.
    pub changes: Vec<Mutation>,
}

impl Transaction {
    /// Requires that the key is at this version; the first requirement for a key counts.
    pub fn require(&mut self, key: String, version: Revision) {
        if !self.conditions.iter().any(|(required, _)| *required == key) {
            self.conditions.push((key, version));
        }
    }

    /// Writes a record that stays until it is deleted.
    pub fn put(&mut self, key: String, record: &(impl Serialize + ?Sized)) {
        self.put_text(key, to_json(record), None);
    }

    /// Writes a record that is deleted when the lease expires.
    pub fn put_leased(
        &mut self,
        key: String,
        record: &(impl Serialize + ?Sized),
        lease_id: LeaseId,
    ) {
        self.put_text(key, to_json(record), Some(lease_id));
    }

    /// Writes a value that is JSON already.
    pub fn put_text(&mut self, key: String, data: String, lease_id: Option<LeaseId>) {
        self.changes.push(Mutation::Put {
            key,
            data,
            lease_id,
        });
    }

    /// Deletes the key.
    pub fn drop_key(&mut self, key: String) {
        self.changes.push(Mutation::Drop { key });
    }
}

/// Records hold plain structs and maps with text keys, which always serialize. Should one fail nevertheless, the
/// empty text is no JSON: the transaction is refused as a whole when it is sent.
fn to_json(record: &(impl Serialize + ?Sized)) -> String {
    serde_json::to_string(record).unwrap_or_default()
}
