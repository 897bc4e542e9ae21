//! Calls to the store and their responses, apart from how they look on the wire.

use serde_json::value::RawValue;

use super::Transaction;
use crate::types::{LeaseId, Revision};

/// What a call is for; the order is that of urgency. Leases go at once; each of the others is guaranteed a part
/// of the write rate when that is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallClass {
    /// Leases, and what depends on their time: membership, elections, the watch.
    Leases,
    /// Read barriers, which polls wait for. They write nothing, and do not queue behind calls that do.
    ReadBarriers,
    /// Cancellations by users.
    Cancellations,
    /// Submissions by users.
    Submissions,
    /// Starts and ends of tasks.
    Jobs,
    /// What other controllers depend on: quota allocations, and transactions that resolve an unknown outcome.
    Coordination,
    /// Everything that can wait.
    Background,
}

impl CallClass {
    /// All classes, the most urgent first.
    pub const ALL: [CallClass; 7] = [
        CallClass::Leases,
        CallClass::ReadBarriers,
        CallClass::Cancellations,
        CallClass::Submissions,
        CallClass::Jobs,
        CallClass::Coordination,
        CallClass::Background,
    ];

    /// Whether a user waits for the call, and can be asked to retry later.
    #[must_use]
    pub fn is_for_user(self) -> bool {
        matches!(
            self,
            CallClass::ReadBarriers | CallClass::Cancellations | CallClass::Submissions
        )
    }

    /// The class's weight among the guaranteed parts of the write rate; zero for classes that are not queued by it.
    #[must_use]
    pub fn weight(&self) -> f64 {
        match self {
            CallClass::Leases | CallClass::ReadBarriers => 0.0,
            CallClass::Cancellations => 0.15,
            CallClass::Submissions => 0.35,
            CallClass::Jobs => 0.35,
            CallClass::Coordination => 0.1,
            CallClass::Background => 0.05,
        }
    }
}

/// A call to the store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Grants a lease.
    Grant {
        /// Time to live without a renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew(LeaseId),
    /// Revokes a lease, which deletes the keys attached to it.
    Revoke(LeaseId),
    /// A compare-and-swap on several keys.
    Transaction(Transaction),
    /// Reads the store's revision; a linearizable read, which makes it a read barrier.
    ReadRevision,
    /// Reads a page of all entries.
    List {
        /// The key after which the page starts; none for the first page.
        after: Option<String>,
    },
    /// Waits for changes (long poll).
    Watch {
        /// Changes after this revision.
        from: Revision,
        /// The response comes after so long even if nothing changed.
        wait_ms: u64,
    },
}

impl StoreCall {
    /// Puts and deletes, which count against the store's write limit.
    #[must_use]
    pub fn writes(&self) -> f64 {
        match self {
            StoreCall::Transaction(transaction) => transaction.changes.len() as f64,
            _ => 0.0,
        }
    }
}

/// A key with its value.
#[derive(Debug)]
pub struct Entry {
    /// The whole key, prefix included.
    pub key: String,
    /// The value, as JSON.
    pub data: Box<RawValue>,
    /// The revision that last wrote the key.
    pub version: Revision,
}

/// A change that a watch reports.
#[derive(Debug)]
pub enum Update {
    /// The key was written.
    Put(Entry),
    /// The key was deleted, or its lease expired.
    Deleted {
        /// The whole key, prefix included.
        key: String,
        /// The revision that deleted it.
        version: Revision,
    },
}

/// The outcome of a call.
#[derive(Debug)]
pub enum StoreResponse {
    /// The lease is granted.
    Granted(LeaseId),
    /// The lease is renewed.
    Renewed,
    /// The lease is revoked, or had expired before.
    Revoked,
    /// The lease has expired.
    LeaseExpired,
    /// The transaction is committed at this revision.
    Committed(Revision),
    /// A condition of the transaction does not hold at this revision; nothing was written.
    Conflict(Revision),
    /// The store's revision.
    Revision(Revision),
    /// A page of a list.
    Page {
        /// In the order of their keys.
        entries: Vec<Entry>,
        /// Whether more pages follow.
        more: bool,
        /// The revision at which the page was read.
        revision: Revision,
    },
    /// What a watch saw.
    Updates {
        /// In the order in which they happened.
        updates: Vec<Update>,
        /// All changes up to this revision are included.
        revision: Revision,
    },
    /// The changes that the watch asked for are compacted away.
    Compacted,
    /// The call was not executed.
    Refused,
    /// The call may have been executed, or may still be.
    Unknown,
}
