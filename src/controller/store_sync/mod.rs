//! Keeps this controller's cache of the key-value store up to date: a snapshot read of all records,
//! then a watch that delivers every later change, and read barriers for answers that must not be
//! older than their request.
//!
//! [`StoreSync`] owns the progress of the cache and which read of the store is in flight. The
//! records themselves are cached by the components that they belong to; [`apply`] dispatches them.

mod apply;
mod availability;
mod read_barrier;
mod snapshot;
mod watch;

use crate::types::{Millis, Revision};
pub(super) use read_barrier::{PendingRead, ReadBarrier};

/// Pause after a snapshot read or a watch that failed, so that a failing store is not flooded.
const READ_RETRY_DELAY: Millis = Millis(300);

/// The progress of the cache of the key-value store, and the reads that keep it up to date.
#[derive(Default)]
pub(super) struct StoreSync {
    /// Whether all records have been read once since the start or the last resync.
    pub(super) synced: bool,
    /// Every change up to this revision is in the cache.
    pub(super) applied: Revision,
    /// The revision of the last page of the snapshot read. Its pages are of different revisions, so
    /// the cache is consistent only once the watch has passed the last of them.
    pub(super) snapshot_end: Revision,
    /// When the store last answered any call, by this controller's clock.
    pub(super) last_response: Millis,
    /// Reads that wait until the cache is new enough.
    pub(super) read_barrier: ReadBarrier,
    /// The read that is in flight; at most one, since a snapshot read precedes the watch.
    in_flight: Option<CacheRead>,
    /// How far the snapshot read has come, if it has begun.
    snapshot: Option<SnapshotProgress>,
    /// No snapshot read or watch starts before this time.
    next_read_at: Millis,
}

/// A snapshot read that has read its first pages. If a page can't be read, the read continues after the page before
/// it: a read that began anew would keep cached what has been deleted meanwhile.
#[derive(Debug)]
struct SnapshotProgress {
    /// The revision of the first page, from which the watch continues.
    start: Revision,
    /// The last key that was read.
    last_key: String,
}

/// A call to the store that fills the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CacheRead {
    /// All records, page by page.
    Snapshot,
    /// Changes after the applied revision; the store answers when there are any.
    Watch,
}

impl StoreSync {
    /// Whether the cache shows all records as they were at one revision.
    pub(super) fn is_consistent(&self) -> bool {
        self.synced && self.applied >= self.snapshot_end
    }

    /// Whether a record written at `revision` may still be missing in the cache. Once the watch has passed that
    /// revision, the cache shows the record, or what has replaced or deleted it since.
    pub(super) fn may_miss(&self, revision: Revision) -> bool {
        // What is written during a snapshot read is read by it or delivered by the watch after it.
        self.synced && revision > self.applied
    }

    /// Whether a new snapshot read or watch may start at `now`.
    fn may_start_read(&self, now: Millis) -> bool {
        self.in_flight.is_none() && now >= self.next_read_at
    }

    /// Records that every change up to `revision` is in the cache.
    fn advance_to(&mut self, revision: Revision) {
        self.applied = self.applied.max(revision);
    }
}
