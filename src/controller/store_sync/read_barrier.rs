//! Read barriers for requests that must be answered from a cache at least as new as the request.
//!
//! A read is requested at a time of this controller's clock. The answer to a watch that was opened
//! later, or to a read of the store's revision that was sent later, gives the revision that the
//! cache has to reach; then the read continues. [`ReadBarrier`] owns the reads in each of these
//! states.

use super::super::{CallPurpose, Controller};
use crate::jobs::api::RejectionReason;
use crate::store::{CallClass, StoreCall, StoreResponse};
use crate::types::{JobId, Millis, ReplyId, Revision};

/// A busy watch answers several times a second. The store's revision is read by a separate call
/// only if the watch has not answered for this long.
const WATCH_GRACE_PERIOD: Millis = Millis(250);
/// A user's read is abandoned once its request is older than this. A poll does not wait longer for
/// its answer, and other controllers may have sent the user a newer answer by then.
const USER_READ_TIMEOUT: Millis = Millis(2_000);

/// The action to take once the cache is known to be new enough.
#[derive(Debug)]
pub(in crate::controller) enum PendingRead {
    /// Answer a poll, or a submission of a job that is known already.
    State {
        /// The user's request.
        reply: ReplyId,
        /// The job that it asks for.
        job: JobId,
    },
    /// Refuse a submission, unless its job turns out to be known.
    Refuse {
        /// The user's request.
        reply: ReplyId,
        /// The job that was submitted.
        job: JobId,
        /// Why it is refused.
        why: RejectionReason,
    },
    /// Cancel a job that the cache did not show when the request came.
    Abort {
        /// The user's request.
        reply: ReplyId,
        /// The job to cancel.
        job: JobId,
    },
    /// Write the final record of a cancelled job: all placements before its cancellation are known.
    FinalizeCancelled {
        /// The cancelled job.
        job: JobId,
    },
    /// Resolve a transaction of unknown outcome: the cache shows whether it was committed.
    ResolveTransaction {
        /// The job whose records the transaction writes.
        job: JobId,
    },
}

impl PendingRead {
    /// Whether a user waits for the answer to this read.
    fn is_user_request(&self) -> bool {
        matches!(
            self,
            PendingRead::State { .. } | PendingRead::Refuse { .. } | PendingRead::Abort { .. }
        )
    }
}

/// A read, and when it was requested.
pub(in crate::controller) type RequestedRead = (Millis, PendingRead);

/// A read that continues when the cache has reached a revision.
#[derive(Debug)]
pub(in crate::controller) struct WaitingRead {
    /// The revision that the cache has to reach.
    needed: Revision,
    /// When the read was requested.
    requested_at: Millis,
    /// The action to take then.
    read: PendingRead,
}

impl WaitingRead {
    /// Whether a user's request is so old that it must not be answered any more.
    fn has_expired(&self, now: Millis) -> bool {
        self.read.is_user_request() && now.since(self.requested_at) > USER_READ_TIMEOUT
    }
}

/// Reads that wait until the cache is new enough, by the event that they wait for.
#[derive(Default)]
pub(in crate::controller) struct ReadBarrier {
    /// Reads that no call in flight serves: none was sent after they were requested.
    pub(in crate::controller) unsent: Vec<RequestedRead>,
    /// Reads requested before the open watch was sent.
    pub(in crate::controller) awaiting_watch: Vec<RequestedRead>,
    /// Reads requested before the read of the store's revision that is in flight was sent.
    pub(in crate::controller) awaiting_revision: Vec<RequestedRead>,
    /// Reads whose revision is known, and that wait until the cache has reached it.
    pub(in crate::controller) awaiting_cache: Vec<WaitingRead>,
    /// Whether a read of the store's revision is in flight.
    revision_read_in_flight: bool,
}

impl ReadBarrier {
    /// Handles the opening of a watch: its answer will show everything that was committed before it
    /// was opened.
    pub(super) fn on_watch_opened(&mut self) {
        let requested = std::mem::take(&mut self.unsent);
        self.awaiting_watch.extend(requested);
    }

    /// Handles the answer to the open watch at `revision`.
    pub(super) fn on_watch_answered(&mut self, revision: Revision) {
        for (requested_at, read) in std::mem::take(&mut self.awaiting_watch) {
            self.wait_for(revision, requested_at, read);
        }
    }

    /// Makes a read wait until the cache has reached `needed`.
    fn wait_for(&mut self, needed: Revision, requested_at: Millis, read: PendingRead) {
        self.awaiting_cache.push(WaitingRead {
            needed,
            requested_at,
            read,
        });
    }

    /// Marks a read of the revision as sent for all reads that are not waiting for a revision yet.
    /// Returns false if one is in flight, or the watch may still answer in time.
    fn begin_revision_read(&mut self, now: Millis) -> bool {
        let oldest = self.awaiting_watch.first().or(self.unsent.first());
        let due =
            oldest.is_some_and(|(requested_at, _)| now.since(*requested_at) >= WATCH_GRACE_PERIOD);
        if self.revision_read_in_flight || !due {
            return false;
        }
        self.revision_read_in_flight = true;
        self.awaiting_revision = std::mem::take(&mut self.awaiting_watch);
        self.awaiting_revision.append(&mut self.unsent);
        true
    }

    /// Handles the answer to the read of the revision: returns the reads that it was sent for.
    fn end_revision_read(&mut self) -> Vec<RequestedRead> {
        self.revision_read_in_flight = false;
        std::mem::take(&mut self.awaiting_revision)
    }

    /// Removes the waiting reads for which a cache at revision `applied` is new enough.
    fn take_ready(&mut self, applied: Revision) -> Vec<WaitingRead> {
        let (ready, waiting) = std::mem::take(&mut self.awaiting_cache)
            .into_iter()
            .partition(|waiting| waiting.needed <= applied);
        self.awaiting_cache = waiting;
        ready
    }

    /// Removes the waiting reads of users that have expired.
    fn take_expired(&mut self, now: Millis) -> Vec<WaitingRead> {
        let (expired, waiting) = std::mem::take(&mut self.awaiting_cache)
            .into_iter()
            .partition(|waiting| waiting.has_expired(now));
        self.awaiting_cache = waiting;
        expired
    }
}

impl Controller {
    /// Requests a read barrier: `read` continues once the cache shows everything that was committed
    /// before this moment. The answer to the next watch gives the revision to reach, or a read of
    /// the store's revision if the watch does not answer in time.
    pub(in crate::controller) fn request_read_barrier(&mut self, read: PendingRead) {
        self.store_sync.read_barrier.unsent.push((self.now, read));
        self.poll_watch();
        self.read_revision();
    }

    /// Reads the store's revision for read barriers that the watch has not served in time.
    pub(in crate::controller) fn read_revision(&mut self) {
        if self.store_sync.read_barrier.begin_revision_read(self.now) {
            self.call_store(
                CallClass::ReadBarriers,
                StoreCall::ReadRevision,
                CallPurpose::ReadRevision,
            );
        }
    }

    /// Handles the answer to a read of the store's revision.
    pub(in crate::controller) fn on_revision(&mut self, response: StoreResponse) {
        let requested = self.store_sync.read_barrier.end_revision_read();
        match response {
            StoreResponse::Revision(revision) => {
                for (requested_at, read) in requested {
                    self.resume_at_revision(revision, requested_at, read);
                }
                self.resume_ready_reads();
            }
            _ => {
                for (_, read) in requested {
                    self.on_read_barrier_expired(read);
                }
            }
        }
        self.read_revision();
    }

    /// Continues the reads that the cache is new enough for.
    pub(in crate::controller) fn resume_ready_reads(&mut self) {
        if !self.store_sync.synced {
            return;
        }
        let applied = self.store_sync.applied;
        for ready in self.store_sync.read_barrier.take_ready(applied) {
            if ready.has_expired(self.now) {
                self.on_read_barrier_expired(ready.read);
            } else {
                self.on_read_barrier_reached(ready.read);
            }
        }
    }

    /// Continues a read, requested at `requested_at`, once the cache has reached `revision`.
    pub(in crate::controller) fn resume_at_revision(
        &mut self,
        revision: Revision,
        requested_at: Millis,
        read: PendingRead,
    ) {
        self.store_sync
            .read_barrier
            .wait_for(revision, requested_at, read);
    }

    /// Abandons users' reads for which the cache has not reached the needed revision in time.
    pub(in crate::controller) fn expire_pending_reads(&mut self) {
        for expired in self.store_sync.read_barrier.take_expired(self.now) {
            self.on_read_barrier_expired(expired.read);
        }
    }
}

#[cfg(test)]
mod tests;
