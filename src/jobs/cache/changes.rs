//! Adds and discards pending changes of tasks, and updates the usage index.

use super::JobCache;
use super::change::TaskChange;
use super::machine_usage::Allocation;
use crate::types::{JobId, Resources};

impl JobCache {
    /// Adds a change to be committed, and replaces an earlier one of the same task. A placement reserves
    /// its resources at once; those of a task that has left are available at once.
    pub fn add_pending_change(&mut self, id: &JobId, index: u32, change: TaskChange) {
        self.discard_changes(id, &[index]);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let TaskChange::Place(placement) = &change {
            self.usage.reserve(&job.spec, placement);
        } else if let Some(machine_id) = job.task(index).placement().map(|p| p.machine_id.clone()) {
            self.usage
                .machines
                .free(&machine_id, &job.spec, Allocation::Committed);
            self.usage.teams.add_departed(&job.spec, job.spec.resources);
            job.departed.insert(index, machine_id);
        }
        job.pending_changes.insert(index, change);
    }

    /// Discards the pending changes of these tasks, whether committed by now or not.
    pub fn discard_changes(&mut self, id: &JobId, indices: &[u32]) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for index in indices {
            let change = job.pending_changes.remove(index);
            // The records still place the task there.
            if let Some(machine_id) = job.departed.remove(index) {
                self.usage
                    .machines
                    .allocate(&machine_id, &job.spec, Allocation::Committed);
                let difference = Resources::default().minus(job.spec.resources);
                self.usage.teams.add_departed(&job.spec, difference);
            }
            if let Some(TaskChange::Place(placement)) = change {
                self.usage.unreserve(&job.spec, &placement);
            }
        }
    }

    /// Discards all pending changes of a job.
    pub fn discard_all_changes(&mut self, id: &JobId) {
        let indices: Vec<u32> = self
            .get(id)
            .map(|job| job.pending_changes.keys().copied().collect())
            .unwrap_or_default();
        self.discard_changes(id, &indices);
    }
}
