//! Scaling in: drains machines, deletes them, and releases the tasks that the records still have on a
//! deleted machine.

use rustc_hash::FxHashMap as HashMap;

use super::{Autoscaler, Controller};
use crate::fleet::CloudCall;
use crate::jobs::cache::{Evidence, TaskChange};
use crate::types::{JobId, MachineId, Millis};
use crate::workers::Machine;

/// Idle machines are returned one by one until arrivals have been observed for this long: a
/// controller that has just started knows neither how long machines have been idle nor how much
/// work usually arrives for them.
const FULL_RATE_RETURNS_AFTER: Millis = Millis(90_000);
/// Time between returns of single machines.
const SINGLE_RETURN_INTERVAL: Millis = Millis(3_000);
/// The most machines that one request may delete.
pub(super) const MAX_DELETIONS_PER_REQUEST: usize = 100;

impl Autoscaler {
    /// Whether arrivals have been observed for long enough to return all idle machines together.
    pub(super) fn returns_at_full_rate(&self, now: Millis) -> bool {
        now.since(self.arrivals_since) >= FULL_RATE_RETURNS_AFTER
    }

    /// Truncates `returns` to the machines that may be returned now.
    pub(super) fn limit_returns(&mut self, returns: &mut Vec<MachineId>, now: Millis) {
        if !self.returns_at_full_rate(now) {
            let due = now.since(self.fleet.last_scale_in_at) >= SINGLE_RETURN_INTERVAL;
            returns.truncate(usize::from(due));
        }
        if !returns.is_empty() {
            self.fleet.last_scale_in_at = now;
        }
    }

    /// Cancels the drains of healthy machines, for use when capacity is short. Returns whether there
    /// were any.
    pub(super) fn cancel_drains(&mut self, machines: &HashMap<MachineId, Machine>) -> bool {
        let healthy = |machine_id: &MachineId| {
            machines
                .get(machine_id)
                .is_some_and(|machine| !machine.quarantined && !machine.termination_announced)
        };
        let kept: Vec<MachineId> = self
            .drains
            .iter()
            .filter(|machine_id| !self.fleet.deleting.contains(*machine_id))
            .filter(|machine_id| healthy(machine_id))
            .cloned()
            .collect();
        for machine_id in &kept {
            self.drains.remove(machine_id);
        }
        !kept.is_empty()
    }

    /// Marks machines as being deleted, at most [`MAX_DELETIONS_PER_REQUEST`], and returns those
    /// that were not marked before.
    fn mark_deleting(&mut self, machine_ids: Vec<MachineId>) -> Vec<MachineId> {
        let mut marked: Vec<MachineId> = machine_ids
            .into_iter()
            .filter(|machine_id| !self.fleet.deleting.contains(machine_id))
            .collect();
        marked.truncate(MAX_DELETIONS_PER_REQUEST);
        self.fleet.deleting.extend(marked.iter().cloned());
        marked
    }
}

impl Controller {
    /// Deletes those of the machines in `draining` that are drained.
    pub(super) fn delete_drained(&mut self, draining: Vec<MachineId>) {
        let drained: Vec<MachineId> = draining
            .into_iter()
            .filter(|machine_id| self.is_drained(machine_id))
            .collect();
        self.delete_machines(drained);
    }

    /// Whether a machine is empty and stays so: the holder of its shard places nothing on it, and all
    /// tasks that the holder placed there before are in this controller's cache.
    pub(super) fn is_drained(&self, machine_id: &MachineId) -> bool {
        if !self.autoscaler.drains.contains(machine_id) || self.jobs.is_occupied(machine_id) {
            return false;
        }
        let Some(machine) = self.machines.get(machine_id) else {
            return false;
        };
        if self.token_for(&machine.shard).is_some() {
            return true;
        }
        machine.draining
            && self
                .recent_status(&machine.last_contact_by)
                .is_some_and(|peer| self.store_sync.applied >= peer.revision)
    }

    /// Requests the deletion of machines that are not being deleted yet.
    pub(super) fn delete_machines(&mut self, machine_ids: Vec<MachineId>) {
        let machine_ids = self.autoscaler.mark_deleting(machine_ids);
        if !machine_ids.is_empty() {
            tracing::info!(?machine_ids, "machine deletion requested");
            self.call_cloud(CloudCall::Delete(machine_ids));
        }
    }

    /// Handles the cloud's confirmation that machines are deleted.
    pub(super) fn on_machines_deleted(&mut self, machine_ids: Vec<MachineId>) {
        let mut changes = Vec::new();
        for machine_id in machine_ids {
            self.autoscaler.fleet.deleting.remove(&machine_id);
            self.autoscaler.fleet.machines.remove(&machine_id);
            self.autoscaler.drains.remove(&machine_id);
            self.machines.remove(&machine_id);
            changes.extend(self.task_releases_on(&machine_id));
            self.autoscaler.fleet.deleted.insert(machine_id);
        }
        self.request_changes(changes);
    }

    /// Releases tasks that were placed on a machine after its deletion, by a holder that had not
    /// learned of the deletion and received a delayed copy of a heartbeat, and tasks whose release was
    /// overtaken by another change. No worker will ever report that these tasks ended.
    pub(super) fn release_tasks_on_deleted_machines(&mut self) {
        let gone = &self.autoscaler.fleet.deleted;
        let with_tasks = self.jobs.machine_ids();
        let changes: Vec<_> = with_tasks
            .filter(|machine_id| gone.contains(*machine_id))
            .flat_map(|machine_id| self.task_releases_on(machine_id))
            .collect();
        self.request_changes(changes);
    }

    /// Releases of the tasks that the records have on a deleted machine, except for tasks with a
    /// change that is not written yet.
    fn task_releases_on(
        &self,
        machine_id: &MachineId,
    ) -> impl Iterator<Item = (JobId, u32, TaskChange)> {
        self.jobs
            .tasks_on(machine_id)
            .filter_map(|(job_id, index)| {
                let job = self.jobs.get(job_id)?;
                let placement = job.task(*index).placement()?;
                if job.pending_changes.contains_key(index) {
                    return None;
                }
                let release = TaskChange::Release {
                    attempt: placement.attempt,
                    evidence: Evidence::Deleted,
                };
                Some((job_id.clone(), *index, release))
            })
    }
}
