//! The watch: a long poll that delivers every change of a record after the revision that the cache
//! has reached.

use super::super::{CallPurpose, Controller};
use super::{CacheRead, READ_RETRY_DELAY};
use crate::store::{CallClass, StoreCall, StoreResponse, Update};
use crate::types::{Millis, Revision};

/// How long the store holds a watch open when nothing changes, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 10_000;
/// The share of the store's request budget that the watches of all controllers may use together. If
/// changes follow each other faster than this allows, one watch delivers several of them.
const MAX_WATCH_BUDGET_SHARE: f64 = 0.3;
/// Maximum pause, in seconds, before a busy watch is repeated, however small the request budget is.
const MAX_WATCH_PAUSE_S: f64 = 1.0;

impl Controller {
    /// Opens the watch, once the snapshot read is complete and unless a watch is open already.
    pub(in crate::controller) fn poll_watch(&mut self) {
        if !self.store_sync.synced || !self.store_sync.may_start_read(self.now) {
            return;
        }
        self.store_sync.in_flight = Some(CacheRead::Watch);
        self.store_sync.read_barrier.on_watch_opened();
        let call = StoreCall::Watch {
            from: self.store_sync.applied,
            wait_ms: WATCH_TIMEOUT_MS,
        };
        self.call_store(CallClass::Leases, call, CallPurpose::Watch);
    }

    /// Handles the answer to a watch and opens the next.
    pub(in crate::controller) fn on_watch(&mut self, response: StoreResponse) {
        self.store_sync.in_flight = None;
        match response {
            StoreResponse::Updates { updates, revision } => self.on_updates(updates, revision),
            StoreResponse::Compacted => {
                tracing::info!("watch revision compacted, reading a new snapshot");
                self.resync();
            }
            _ => self.store_sync.next_read_at = self.now + READ_RETRY_DELAY,
        }
    }

    /// Applies the changes that a watch delivered.
    fn on_updates(&mut self, updates: Vec<Update>, revision: Revision) {
        let busy = !updates.is_empty();
        for update in updates {
            match update {
                Update::Put(entry) => {
                    self.apply(&entry.key, Some(entry.data.get()), entry.version);
                }
                Update::Deleted { key, version } => self.apply(&key, None, version),
            }
        }
        self.store_sync.advance_to(revision);
        self.store_sync.next_read_at = if busy {
            self.now + self.watch_pause()
        } else {
            self.now
        };
        self.store_sync.read_barrier.on_watch_answered(revision);
        self.resume_ready_reads();
        self.renew_membership();
        self.poll_watch();
    }

    /// The pause after a watch that delivered changes, which keeps all controllers' watches within
    /// their part of the request budget.
    fn watch_pause(&self) -> Millis {
        let rate = self.settings.deployment.state.rps * MAX_WATCH_BUDGET_SHARE;
        let count = self.settings.controllers() as f64;
        Millis::from_secs((count / rate).min(MAX_WATCH_PAUSE_S))
    }
}
