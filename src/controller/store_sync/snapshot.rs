//! The snapshot read: all records of the key-value store, page by page, before the watch starts and
//! again after the store has compacted the revision from which the watch would have continued. A page
//! that could not be read is requested again; the read does not begin anew.

use super::super::candidates::Candidates;
use super::super::scheduler::new_queue;
use super::super::{CallPurpose, Controller};
use super::{CacheRead, READ_RETRY_DELAY, SnapshotProgress};
use crate::jobs::cache::JobCache;
use crate::quota::QuotaAllocations;
use crate::store::{CallClass, Entry, StoreCall, StoreResponse};
use crate::types::Revision;

impl Controller {
    /// Starts a snapshot read, or continues one, unless a page is in flight or could not be read very
    /// recently.
    pub(in crate::controller) fn continue_snapshot_read(&mut self) {
        if !self.store_sync.may_start_read(self.now) {
            return;
        }
        self.store_sync.in_flight = Some(CacheRead::Snapshot);
        let progress = self.store_sync.snapshot.as_ref();
        let after = progress.map(|progress| progress.last_key.clone());
        let call = StoreCall::List { after };
        self.call_store(CallClass::Leases, call, CallPurpose::Snapshot);
    }

    /// Handles the answer to a page of the snapshot read.
    pub(in crate::controller) fn on_snapshot(&mut self, response: StoreResponse) {
        match response {
            StoreResponse::Page {
                entries,
                more,
                revision,
            } => self.on_snapshot_page(entries, more, revision),
            _ => {
                self.store_sync.in_flight = None;
                self.store_sync.next_read_at = self.now + READ_RETRY_DELAY;
            }
        }
    }

    /// Applies a page, and requests the next one or finishes the read.
    fn on_snapshot_page(&mut self, entries: Vec<Entry>, more: bool, revision: Revision) {
        // Later pages may contain newer records; the watch starts at the first page's revision and
        // delivers the changes since then in order.
        let progress = self.store_sync.snapshot.take();
        let start = progress.map_or(revision, |progress| progress.start);
        self.store_sync.snapshot_end = revision;
        self.store_sync.in_flight = None;
        let last_key = entries.last().map(|entry| entry.key.clone());
        for entry in entries {
            self.apply(&entry.key, Some(entry.data.get()), entry.version);
        }
        if let Some(last_key) = last_key.filter(|_| more) {
            self.store_sync.snapshot = Some(SnapshotProgress { start, last_key });
            self.continue_snapshot_read();
        } else {
            self.finish_snapshot_read(start);
        }
    }

    /// Marks the cache as synced, queues the jobs, and opens the watch from revision `start`.
    fn finish_snapshot_read(&mut self, start: Revision) {
        self.store_sync.synced = true;
        self.store_sync.advance_to(start);
        tracing::info!(revision = start.0, "cache synchronized");
        self.autoscaler.arrivals_until = self.now;
        self.autoscaler.arrivals_since = self.now;
        self.autoscaler.arrivals.clear();
        self.update_all_queue_entries();
        self.renew_membership();
        self.poll_watch();
    }

    /// Discards all cached records, so that the next snapshot read fills the cache again.
    pub(super) fn resync(&mut self) {
        self.store_sync.synced = false;
        self.store_sync.in_flight = None;
        self.store_sync.snapshot = None;
        // Reservations are discarded too, so transactions in flight must fail: they are conditioned
        // on the shards' fencing tokens, which end with the lease.
        self.membership.old_lease_ended = false;
        self.membership.leases.drop_own_lease(&self.me);
        self.jobs = JobCache::default();
        self.scheduler.candidates = Candidates::default();
        self.membership.leases.controllers.clear();
        self.membership.leases.shards.clear();
        self.membership.leases.leader = None;
        self.quota.allocations = QuotaAllocations::default();
        self.quota.hierarchy.forget_records();
        self.jobs.set_groups(self.quota.hierarchy.groups());
        self.scheduler.forwarded.clear();
        self.scheduler.stops.clear();
        self.scheduler.queue = new_queue(&self.settings.operator);
        self.store_sync.next_read_at = self.now;
    }
}
