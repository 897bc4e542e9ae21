//! What follows a transaction of task changes: commands for new placements, or a fresh start from
//! the records.

use std::collections::BTreeSet;

use super::Controller;
use crate::controller::store_sync::PendingRead;
use crate::jobs::cache::{TaskChange, Writing};
use crate::store::StoreResponse;
use crate::types::{JobId, MachineId};

impl Controller {
    /// Handles the store's answer to a transaction of task changes.
    pub(in crate::controller) fn on_changes(
        &mut self,
        id: JobId,
        changes: Vec<(u32, TaskChange)>,
        answer: StoreResponse,
    ) {
        self.commits.backlog.under_way -= 1;
        match answer {
            StoreResponse::Committed(_) => self.on_committed(&id, changes),
            StoreResponse::Conflict(revision) => {
                tracing::debug!(job = %id, "transaction conflict");
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.writing = Writing::Settling(Some(revision));
                }
                self.settle_at(id, revision);
            }
            StoreResponse::Unknown => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.writing = Writing::Settling(None);
                }
                if self.fence_off_later(&id, &changes) {
                    return;
                }
                self.once_fresh(PendingRead::Settle { job: id });
            }
            _ => self.settle(&id),
        }
        self.write_next();
    }

    /// The records hold the changes now: the next ones are due, and machines get commands for the
    /// tasks that were placed.
    fn on_committed(&mut self, id: &JobId, changes: Vec<(u32, TaskChange)>) {
        for (index, change) in &changes {
            tracing::debug!(job = %id, index, ?change, "transaction committed");
        }
        let indices: Vec<u32> = changes.iter().map(|(index, _)| *index).collect();
        self.jobs.discard(id, &indices);
        if let Some(job) = self.jobs.get_mut(id) {
            job.writing = Writing::Idle;
        }
        self.commit(id);
        self.consider(id);
        let machine_ids: BTreeSet<MachineId> = changes
            .into_iter()
            .filter_map(|(_, change)| match change {
                TaskChange::Place(placement) => Some(placement.machine_id),
                _ => None,
            })
            .collect();
        for machine_id in machine_ids {
            self.push_commands(&machine_id);
        }
    }

    /// Starts over from the records after a transaction that did not plainly succeed; the cache shows
    /// by now what came of it. Noted changes are dropped, except completions: the next heartbeats and
    /// cycles bring back what still holds.
    pub(in crate::controller) fn settle(&mut self, id: &JobId) {
        let departed_from = self.machines_departed_from(id);
        let completions = self.noted_completions(id);
        self.jobs.discard_changes(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.writing = Writing::Idle;
            self.fail_later(id);
        }
        // Of tasks that left their machines, the last heartbeats still hold: replicas on two holders'
        // machines end at once, and one of the two had to wait for its machine's next heartbeat.
        for machine_id in departed_from {
            self.look_again(&machine_id);
        }
        for (index, change) in completions {
            let job = self.jobs.get(id);
            if job.is_some_and(|job| !job.changes.contains_key(&index)) {
                self.jobs.want(id, index, change);
            }
        }
        self.drop_overtaken(id);
        self.commit(id);
    }

    /// The machines of a job's tasks that are noted to have left them.
    fn machines_departed_from(&self, id: &JobId) -> BTreeSet<MachineId> {
        let Some(job) = self.jobs.get(id) else {
            return BTreeSet::new();
        };
        job.changes
            .iter()
            .filter(|(_, change)| !matches!(change, TaskChange::Place(_)))
            .filter_map(|(index, _)| Some(job.task(*index).placement()?.machine_id.clone()))
            .collect()
    }

    /// A job's noted completions. What is done stays done, and other holders report it only once.
    fn noted_completions(&self, id: &JobId) -> Vec<(u32, TaskChange)> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        job.changes
            .iter()
            .filter(|(_, change)| change.finishes())
            .map(|(index, change)| (*index, change.clone()))
            .collect()
    }
}
