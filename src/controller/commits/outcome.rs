//! Handles the outcome of a transaction of task changes: commands for new placements, or a restart
//! from the records.

use std::collections::BTreeSet;

use super::Controller;
use crate::controller::store_sync::PendingRead;
use crate::jobs::cache::{CommitState, TaskChange};
use crate::store::StoreResponse;
use crate::types::{JobId, MachineId};

impl Controller {
    /// Handles the store's answer to a transaction of task changes.
    pub(in crate::controller) fn on_task_changes_written(
        &mut self,
        id: JobId,
        changes: Vec<(u32, TaskChange)>,
        response: StoreResponse,
    ) {
        self.commits.backlog.in_flight -= 1;
        match response {
            StoreResponse::Committed(_) => self.on_committed(&id, changes),
            StoreResponse::Conflict(revision) => {
                tracing::debug!(job = %id, "transaction conflict, waiting for the current records");
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.commit_state = CommitState::Resolving(Some(revision));
                }
                self.resolve_at_revision(id, revision);
            }
            StoreResponse::Unknown => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.commit_state = CommitState::Resolving(None);
                }
                if self.mark_for_fencing_off(&id, &changes) {
                    return;
                }
                self.request_read_barrier(PendingRead::ResolveTransaction { job: id });
            }
            _ => self.restart_from_records(&id),
        }
        self.write_next();
    }

    /// Handles a committed transaction: the next changes become due, and machines get commands for
    /// the tasks that were placed.
    fn on_committed(&mut self, id: &JobId, changes: Vec<(u32, TaskChange)>) {
        for (index, change) in &changes {
            tracing::debug!(job = %id, index, ?change, "transaction committed");
        }
        let indices: Vec<u32> = changes.iter().map(|(index, _)| *index).collect();
        self.jobs.discard_changes(id, &indices);
        if let Some(job) = self.jobs.get_mut(id) {
            job.commit_state = CommitState::Idle;
        }
        self.commit(id);
        self.update_queue_entry(id);
        let placed_on = changes.into_iter().filter_map(|(_, change)| match change {
            TaskChange::Place(placement) => Some(placement.machine_id),
            _ => None,
        });
        let placed_on: Vec<MachineId> = placed_on.collect();
        for machine_id in self.machines_to_command(id, placed_on) {
            self.push_commands(&machine_id);
        }
    }

    /// Restarts from the records after a transaction that failed, or whose outcome was unknown and
    /// is shown by the cache now. Pending changes are discarded, except completions: the next
    /// heartbeats and scheduling cycles add those again that still apply.
    pub(in crate::controller) fn restart_from_records(&mut self, id: &JobId) {
        let departed_from = self.machines_departed_from(id);
        let completions = self.pending_completions(id);
        self.jobs.discard_all_changes(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.commit_state = CommitState::Idle;
            self.back_off(id);
        }
        // The last heartbeats of machines that tasks left are still valid evidence. If they were
        // not used, and replicas on machines of two holders ended at the same time, one holder
        // would wait for its machine's next heartbeat.
        for machine_id in departed_from {
            self.reconcile_again(&machine_id);
        }
        for (index, change) in completions {
            let job = self.jobs.get(id);
            if job.is_some_and(|job| !job.pending_changes.contains_key(&index)) {
                self.jobs.add_pending_change(id, index, change);
            }
        }
        self.discard_superseded_departures(id);
        self.commit(id);
    }

    /// The machines that a job's tasks have left by its pending changes.
    fn machines_departed_from(&self, id: &JobId) -> BTreeSet<MachineId> {
        let Some(job) = self.jobs.get(id) else {
            return BTreeSet::new();
        };
        job.pending_changes
            .iter()
            .filter(|(_, change)| !matches!(change, TaskChange::Place(_)))
            .filter_map(|(index, _)| Some(job.task(*index).placement()?.machine_id.clone()))
            .collect()
    }

    /// A job's pending completions. Completions are final, and other holders report each only once.
    fn pending_completions(&self, id: &JobId) -> Vec<(u32, TaskChange)> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        job.pending_changes
            .iter()
            .filter(|(_, change)| change.finishes())
            .map(|(index, change)| (*index, change.clone()))
            .collect()
    }
}
