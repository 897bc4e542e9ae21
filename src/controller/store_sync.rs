//! How new this controller's cache of the key-value store is: the watch, the snapshot read that
//! precedes it, and the read barriers that answers to users wait for.

use crate::jobs::api::Refusal;
use crate::types::{JobId, Millis, ReplyId, Revision};

/// The state of the cache of all records.
#[derive(Default)]
pub(super) struct StoreSync {
    /// All records have been read once.
    pub(super) synced: bool,
    /// Every change up to this revision is in the cache.
    pub(super) applied: Revision,
    /// No watch or snapshot read is opened before.
    pub(super) watch_not_before: Millis,
    pub(super) watch_open: bool,
    /// A snapshot read is under way.
    pub(super) list_open: bool,
    /// The revision of the snapshot's first page, from which the watch continues.
    pub(super) snapshot_start: Option<Revision>,
    /// The revision of its last page: the cache is consistent once the watch has passed it.
    pub(super) snapshot_end: Revision,
    /// When the store last answered.
    pub(super) last_response: Millis,
    pub(super) read_barrier: ReadBarrier,
}

/// What to do once the cache is proved new enough.
#[derive(Debug)]
pub(super) enum PendingRead {
    /// Answer a poll, or a submission of a job that is known.
    State {
        reply: ReplyId,
        job: JobId,
    },
    /// Refuse a submission, unless its job is known after all.
    Refuse {
        reply: ReplyId,
        job: JobId,
        why: Refusal,
    },
    Abort {
        reply: ReplyId,
        job: JobId,
    },
    /// All that was placed of a job before it was cancelled is known now.
    Clear {
        job: JobId,
    },
    /// A transaction's fate is clear now.
    Settle {
        job: JobId,
    },
}

/// Who waits for a proof that the cache is new, and since when.
#[derive(Default)]
pub(super) struct ReadBarrier {
    /// Not asked for yet.
    pub(super) next: Vec<(Millis, PendingRead)>,
    /// The watch that is open was asked after they came.
    pub(super) watched: Vec<(Millis, PendingRead)>,
    /// A read of the revision is under way for them.
    pub(super) current: Vec<(Millis, PendingRead)>,
    pub(super) reading: bool,
    /// Proved as soon as the cache is this new.
    pub(super) waiting: Vec<(Revision, Millis, PendingRead)>,
}
