//! Read barriers: what must be answered from a cache that is at least as new as the question.
//!
//! A read is requested at a time of this controller's clock. The answer to a watch that was opened
//! later, or to a read of the store's revision that was sent later, gives the revision that the cache
//! has to reach; once the cache has reached it, the read goes on. [`ReadBarrier`] owns the reads in each
//! of these states.

use super::super::{CallPurpose, Controller};
use crate::jobs::api::Refusal;
use crate::store::{CallClass, StoreCall, StoreResponse};
use crate::types::{JobId, Millis, ReplyId, Revision};

/// A busy watch answers several times a second. Only when it has not answered for this long is the
/// store's revision read by a call of its own.
const WATCH_GRACE_PERIOD: Millis = Millis(250);
/// A user's read is given up once its request is older than this. A poll does not wait longer for its
/// answer, and other controllers may have told the user something newer by then.
const USER_READ_TIMEOUT: Millis = Millis(2_000);

/// What to do once the cache is known to be new enough.
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
        why: Refusal,
    },
    /// Cancel a job that the cache did not show when the request came.
    Abort {
        /// The user's request.
        reply: ReplyId,
        /// The job to cancel.
        job: JobId,
    },
    /// Delete the description of a job that is over: all placements before its cancellation are known.
    Clear {
        /// The job that is over.
        job: JobId,
    },
    /// Resolve a transaction of unknown outcome: the cache shows whether it was committed.
    Settle {
        /// The job whose records the transaction writes.
        job: JobId,
    },
}

impl PendingRead {
    /// Whether a user waits for it.
    fn is_of_user(&self) -> bool {
        matches!(
            self,
            PendingRead::State { .. } | PendingRead::Refuse { .. } | PendingRead::Abort { .. }
        )
    }
}

/// A read, and when it was requested.
pub(in crate::controller) type RequestedRead = (Millis, PendingRead);

/// A read that goes on when the cache has reached a revision.
#[derive(Debug)]
pub(in crate::controller) struct WaitingRead {
    /// The cache is new enough at this revision.
    needed: Revision,
    /// When the read was requested.
    requested_at: Millis,
    /// What to do then.
    read: PendingRead,
}

impl WaitingRead {
    /// Whether a user's request is so old that an answer of its time tells nothing any more.
    fn has_expired(&self, now: Millis) -> bool {
        self.read.is_of_user() && now.since(self.requested_at) > USER_READ_TIMEOUT
    }
}

/// Reads that wait until the cache is new enough, by what they wait for.
#[derive(Default)]
pub(in crate::controller) struct ReadBarrier {
    /// No call that was sent after these requests is in flight.
    pub(in crate::controller) next: Vec<RequestedRead>,
    /// The open watch was sent after these requests.
    pub(in crate::controller) watched: Vec<RequestedRead>,
    /// The read of the store's revision that is in flight was sent after these requests.
    pub(in crate::controller) current: Vec<RequestedRead>,
    /// Reads whose revision is known, and that wait until the cache has reached it.
    pub(in crate::controller) waiting: Vec<WaitingRead>,
    /// A read of the store's revision is in flight.
    revision_read_in_flight: bool,
}

impl ReadBarrier {
    /// A watch is opened: its answer shows everything that was committed before.
    pub(super) fn on_watch_opened(&mut self) {
        let requested = std::mem::take(&mut self.next);
        self.watched.extend(requested);
    }

    /// The open watch was answered at `revision`.
    pub(super) fn on_watch_answered(&mut self, revision: Revision) {
        for (requested_at, read) in std::mem::take(&mut self.watched) {
            self.wait_for(revision, requested_at, read);
        }
    }

    fn wait_for(&mut self, needed: Revision, requested_at: Millis, read: PendingRead) {
        self.waiting.push(WaitingRead {
            needed,
            requested_at,
            read,
        });
    }

    /// Marks a read of the revision as sent for all reads that are not waiting for a revision yet.
    /// False if one is in flight, or the watch may still answer in time.
    fn begin_revision_read(&mut self, now: Millis) -> bool {
        let oldest = self.watched.first().or(self.next.first());
        let due =
            oldest.is_some_and(|(requested_at, _)| now.since(*requested_at) >= WATCH_GRACE_PERIOD);
        if self.revision_read_in_flight || !due {
            return false;
        }
        self.revision_read_in_flight = true;
        self.current = std::mem::take(&mut self.watched);
        self.current.append(&mut self.next);
        true
    }

    /// The read of the revision was answered: the reads that it was sent for.
    fn end_revision_read(&mut self) -> Vec<RequestedRead> {
        self.revision_read_in_flight = false;
        std::mem::take(&mut self.current)
    }

    /// Removes the waiting reads for which a cache at revision `applied` is new enough.
    fn take_ready(&mut self, applied: Revision) -> Vec<WaitingRead> {
        let (ready, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.needed <= applied);
        self.waiting = waiting;
        ready
    }

    /// Removes the waiting reads of users that are too old.
    fn take_expired(&mut self, now: Millis) -> Vec<WaitingRead> {
        let (expired, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.has_expired(now));
        self.waiting = waiting;
        expired
    }
}

impl Controller {
    /// Requests a read barrier: `read` goes on once the cache shows all that was committed before
    /// this moment. The next watch brings that, or a read of the revision if nothing changes.
    pub(in crate::controller) fn once_fresh(&mut self, read: PendingRead) {
        self.store_sync.read_barrier.next.push((self.now, read));
        self.poll_watch();
        self.read_revision();
    }

    /// Reads the store's revision for read barriers that the watch has not served in time.
    pub(in crate::controller) fn read_revision(&mut self) {
        if self.store_sync.read_barrier.begin_revision_read(self.now) {
            self.call_store(
                CallClass::Proofs,
                StoreCall::ReadRevision,
                CallPurpose::Revision,
            );
        }
    }

    /// Takes in the answer to a read of the store's revision.
    pub(in crate::controller) fn on_revision(&mut self, answer: StoreResponse) {
        let requested = self.store_sync.read_barrier.end_revision_read();
        match answer {
            StoreResponse::Revision(revision) => {
                for (requested_at, read) in requested {
                    self.once_applied(revision, requested_at, read);
                }
                self.proved();
            }
            _ => {
                for (_, read) in requested {
                    self.not_proved(read);
                }
            }
        }
        self.read_revision();
    }

    /// Goes on with the reads that the cache is new enough for.
    pub(in crate::controller) fn proved(&mut self) {
        if !self.store_sync.synced {
            return;
        }
        let applied = self.store_sync.applied;
        for ready in self.store_sync.read_barrier.take_ready(applied) {
            if ready.has_expired(self.now) {
                self.not_proved(ready.read);
            } else {
                self.go_on(ready.read);
            }
        }
    }

    /// Goes on with a read, requested at `requested_at`, once the cache has reached `revision`.
    pub(in crate::controller) fn once_applied(
        &mut self,
        revision: Revision,
        requested_at: Millis,
        read: PendingRead,
    ) {
        self.store_sync
            .read_barrier
            .wait_for(revision, requested_at, read);
    }

    /// Gives up users' reads whose revision the cache has not reached in time.
    pub(in crate::controller) fn expire_pending_reads(&mut self) {
        for expired in self.store_sync.read_barrier.take_expired(self.now) {
            self.not_proved(expired.read);
        }
    }
}

#[cfg(test)]
mod tests;
