//! The state service: its calls and answers, and the actor that makes them within the budget.

pub mod budget;
mod client;
pub mod lanes;
pub mod wire;

pub use client::{Store, StoreReply};

use serde::Serialize;
use serde_json::value::RawValue;

use crate::types::{LeaseId, Revision};

/// What calls are for, the most urgent first. Leases go at once; of the others, each has a floor
/// when the budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallClass {
    Leases,
    /// Proofs that the cache is new, which polls wait for. They change nothing, and do not wait
    /// behind what does.
    Proofs,
    Cancellations,
    Submissions,
    /// Starts and ends of tasks.
    Jobs,
    /// What others' work rests on: shares of limits, transactions that make sure.
    Duties,
    Rest,
}

impl CallClass {
    pub const ALL: [CallClass; 7] = [
        CallClass::Leases,
        CallClass::Proofs,
        CallClass::Cancellations,
        CallClass::Submissions,
        CallClass::Jobs,
        CallClass::Duties,
        CallClass::Rest,
    ];

    /// Whether a user waits for it and can be told to come back.
    pub fn of_users(self) -> bool {
        matches!(
            self,
            CallClass::Proofs | CallClass::Cancellations | CallClass::Submissions
        )
    }

    /// How the floors of changes weigh against each other.
    pub fn weight(&self) -> f64 {
        match self {
            CallClass::Leases | CallClass::Proofs => 0.0,
            CallClass::Cancellations => 0.15,
            CallClass::Submissions => 0.35,
            CallClass::Jobs => 0.35,
            CallClass::Duties => 0.1,
            CallClass::Rest => 0.05,
        }
    }
}

#[derive(Clone, Debug)]
pub enum Mutation {
    Put {
        key: String,
        data: String,
        lease_id: Option<LeaseId>,
    },
    Drop {
        key: String,
    },
}

fn json(record: &(impl Serialize + ?Sized)) -> String {
    serde_json::to_string(record).unwrap_or_default()
}

#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Keys with the version each must have; zero: it must not exist.
    pub conditions: Vec<(String, Revision)>,
    pub changes: Vec<Mutation>,
}

impl Transaction {
    pub fn require(&mut self, key: String, version: Revision) {
        if !self.conditions.iter().any(|(k, _)| *k == key) {
            self.conditions.push((key, version));
        }
    }

    pub fn put(&mut self, key: String, record: &(impl Serialize + ?Sized)) {
        self.put_text(key, json(record), None);
    }

    pub fn put_leased(
        &mut self,
        key: String,
        record: &(impl Serialize + ?Sized),
        lease_id: LeaseId,
    ) {
        self.put_text(key, json(record), Some(lease_id));
    }

    /// Puts what is JSON already.
    pub fn put_text(&mut self, key: String, data: String, lease_id: Option<LeaseId>) {
        self.changes.push(Mutation::Put {
            key,
            data,
            lease_id,
        });
    }

    pub fn drop_key(&mut self, key: String) {
        self.changes.push(Mutation::Drop { key });
    }
}

#[derive(Clone, Debug)]
pub enum StoreCall {
    Grant { life_ms: u64 },
    Renew(LeaseId),
    End(LeaseId),
    Transaction(Transaction),
    ReadRevision,
    List { after: Option<String> },
    Watch { from: Revision, wait_ms: u64 },
}

impl StoreCall {
    /// Puts and deletes, which the state service counts.
    pub fn writes(&self) -> f64 {
        match self {
            StoreCall::Transaction(txn) => txn.changes.len() as f64,
            _ => 0.0,
        }
    }
}

#[derive(Debug)]
pub struct Entry {
    pub key: String,
    pub data: Box<RawValue>,
    pub version: Revision,
}

#[derive(Debug)]
pub enum Update {
    Put(Entry),
    Dropped { key: String, version: Revision },
}

#[derive(Debug)]
pub enum StoreResponse {
    Granted(LeaseId),
    Renewed,
    Ended,
    /// The lease is over.
    NoLease,
    Committed(Revision),
    Conflict(Revision),
    Revision(Revision),
    Page {
        entries: Vec<Entry>,
        more: bool,
        revision: Revision,
    },
    Updates {
        updates: Vec<Update>,
        revision: Revision,
    },
    /// The watch asked for changes that are no longer kept.
    TooOld,
    /// Not executed.
    Refused,
    /// Executed, or not, or yet to be.
    Unknown,
}
