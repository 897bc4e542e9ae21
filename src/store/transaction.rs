//! Transactions: conditions on the versions of keys, and changes that are made if all conditions hold.

use serde::Serialize;

use crate::types::{LeaseId, Revision};

/// A change of one key.
#[derive(Clone, Debug)]
pub enum Mutation {
    /// Writes the key.
    Put {
        /// The full key, prefix included.
        key: String,
        /// The value, as JSON text.
        data: String,
        /// The lease with whose end the key is deleted; none if the key stays until it is deleted.
        lease_id: Option<LeaseId>,
    },
    /// Deletes the key.
    Delete {
        /// The full key, prefix included.
        key: String,
    },
}

/// A compare-and-swap on several keys: either all changes are made, or none. The store limits the number of conditions
/// and changes (`txn_ops`), which this type does not check.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Keys with the version that each must have; version zero means that the key must not exist.
    pub conditions: Vec<(String, Revision)>,
    /// The changes, in the order in which they are made.
    pub changes: Vec<Mutation>,
}

impl Transaction {
    /// Requires that the key has this version; zero means that it must not exist. A second condition for the same key
    /// is ignored.
    pub fn require(&mut self, key: String, version: Revision) {
        if !self.conditions.iter().any(|(required, _)| *required == key) {
            self.conditions.push((key, version));
        }
    }

    /// Adds a write of a record that stays until it is deleted.
    pub fn put(&mut self, key: String, record: &(impl Serialize + ?Sized)) {
        self.put_json(key, to_json(record), None);
    }

    /// Adds a write of a record that is deleted when the lease expires or is revoked.
    pub fn put_leased(
        &mut self,
        key: String,
        record: &(impl Serialize + ?Sized),
        lease_id: LeaseId,
    ) {
        self.put_json(key, to_json(record), Some(lease_id));
    }

    /// Adds a write of a value that is JSON text already. Text that is not valid JSON makes the whole transaction fail
    /// when it is sent.
    pub fn put_json(&mut self, key: String, data: String, lease_id: Option<LeaseId>) {
        self.changes.push(Mutation::Put {
            key,
            data,
            lease_id,
        });
    }

    /// Adds the deletion of a key.
    pub fn delete(&mut self, key: String) {
        self.changes.push(Mutation::Delete { key });
    }
}

/// Serializes a record. Records consist of plain structs and maps with text keys, which always serialize. Should one
/// fail nevertheless, the result is empty and so not valid JSON, and the whole transaction is refused when it is sent.
fn to_json(record: &(impl Serialize + ?Sized)) -> String {
    serde_json::to_string(record).unwrap_or_default()
}
