//! Calls to the store and their responses, independent of their encoding.

use serde_json::value::RawValue;

use super::Transaction;
use crate::types::{LeaseId, Revision};

/// The priority class of a call, ordered from the most to the least urgent. Calls for leases are never delayed. Each
/// class with a [weight](CallClass::weight) is guaranteed a part of the write rate when the rate is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallClass {
    /// Leases, and calls that are as time-critical: membership, elections, the watch.
    Leases,
    /// Read barriers, which polls wait for. They write nothing, and so do not queue behind calls that write.
    ReadBarriers,
    /// Cancellations by users.
    Cancellations,
    /// Submissions by users.
    Submissions,
    /// Starts and ends of tasks.
    Jobs,
    /// Calls that other controllers depend on: quota allocations, and transactions that resolve an unknown outcome.
    Coordination,
    /// Calls that can wait.
    Background,
}

impl CallClass {
    /// All classes, the most urgent first. The position is that of the variant, which [`super::lanes`] uses as an
    /// index.
    pub const ALL: [CallClass; 7] = [
        CallClass::Leases,
        CallClass::ReadBarriers,
        CallClass::Cancellations,
        CallClass::Submissions,
        CallClass::Jobs,
        CallClass::Coordination,
        CallClass::Background,
    ];

    /// Whether a user waits for the call. Such a call is refused rather than delayed for long, since the user can be
    /// asked to retry.
    #[must_use]
    pub fn is_for_user(self) -> bool {
        matches!(
            self,
            CallClass::ReadBarriers | CallClass::Cancellations | CallClass::Submissions
        )
    }

    /// Returns the weight by which this class shares the guaranteed part of the write rate. Zero for classes that do
    /// not queue for the write rate.
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
    /// Reads the store's revision. The read is linearizable, and so serves as a read barrier.
    ReadRevision,
    /// Reads one page of all entries, in the order of their keys.
    List {
        /// The key after which the page starts; none for the first page.
        after: Option<String>,
    },
    /// Waits for changes with a long poll.
    Watch {
        /// The revision after which changes are reported.
        from: Revision,
        /// Time after which the store responds even if nothing changed, in milliseconds.
        wait_ms: u64,
    },
}

impl StoreCall {
    /// Returns the number of puts and deletes, which count against the store's write limit.
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
    /// The full key, prefix included.
    pub key: String,
    /// The value, as JSON text.
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
        /// The full key, prefix included.
        key: String,
        /// The revision at which the key was deleted.
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
    /// The lease is revoked, or had already expired.
    Revoked,
    /// The lease of the call, or a lease in the transaction, has expired. A transaction was not executed.
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
    /// The changes that a watch saw; may be none.
    Updates {
        /// In the order in which they happened.
        updates: Vec<Update>,
        /// All changes up to this revision are included.
        revision: Revision,
    },
    /// The store no longer has the changes after the revision that the watch asked for; the caller must list all
    /// entries again.
    Compacted,
    /// The call was not executed, so repeating it is safe.
    Refused,
    /// The outcome is unknown: the call may have been executed, or may still be executed later.
    Unknown,
}
