//! Dispatches each record that a snapshot read, a watch or a transaction of this controller
//! delivers to the component that caches it, and then handles the consequences of a change of a
//! job's records: jobs are queued, machines get commands, parked jobs are woken.

use std::collections::BTreeSet;

use super::super::Controller;
use super::super::calls::WrittenRecord;
use crate::admission::shared::PLAN_KEY;
use crate::fleet::MACHINE_TYPES_KEY;
use crate::jobs::cache::{CommitState, GangPlacement, RecordChange};
use crate::queue::ClusterEvent;
use crate::quota;
use crate::types::{JobId, MachineId, Revision, ShardId};

impl Controller {
    /// Applies the records of a transaction of this controller that was committed at `revision`, so
    /// that the cache shows them before the watch delivers them. An answer may come after the watch
    /// has passed its revision, and the cache keeps no version of a deleted record by which an older
    /// one could be told from a new one; such an answer brings nothing new.
    pub(in crate::controller) fn apply_committed(
        &mut self,
        written: Vec<WrittenRecord>,
        revision: Revision,
    ) {
        if !self.store_sync.may_miss(revision) {
            let applied = self.store_sync.applied.0;
            tracing::debug!(
                revision = revision.0,
                applied,
                "committed records already known"
            );
            return;
        }
        for record in written {
            self.apply(&record.key, record.data.as_deref(), revision);
        }
    }

    /// Applies the record at `key`, or its deletion if there is no `data`. A record that is not
    /// newer than the cached one changes nothing. A deletion leaves no version behind, so records
    /// must come from a snapshot read, from the watch in its order, or by
    /// [`Self::apply_committed`].
    pub(in crate::controller) fn apply(
        &mut self,
        key: &str,
        data: Option<&str>,
        version: Revision,
    ) {
        if let Some(shard) = key.strip_prefix(quota::ALLOCATION_KEY_PREFIX) {
            return self.apply_quota_allocation(shard, data, version);
        }
        if key.starts_with(quota::hierarchical::TREE_HEAD_KEY) {
            return self.apply_tree(key, data, version);
        }
        if key == PLAN_KEY {
            return self.commits.admission.apply(data, version);
        }
        if key == MACHINE_TYPES_KEY {
            return self.apply_machine_types(data);
        }
        if let Some(change) = self.membership.leases.apply(&self.me, key, data, version) {
            return self.on_lease_change(change);
        }
        let change = self.jobs.apply(key, data, version, self.now);
        self.on_job_change(change);
    }

    /// Applies a shard's quota allocation, and wakes the parked jobs that may fit into it now.
    fn apply_quota_allocation(&mut self, shard: &str, data: Option<&str>, version: Revision) {
        if let Some(shard) = ShardId::parse(shard)
            && self.quota.allocations.apply(shard, data, version)
        {
            self.wake_parked_jobs(ClusterEvent::QuotaReallocated);
        }
    }

    /// Applies the stored machine types, which this controller uses if it knows none yet.
    fn apply_machine_types(&mut self, data: Option<&str>) {
        self.autoscaler.stored_type_specs = data
            .and_then(|text| serde_json::from_str(text).ok())
            .unwrap_or_default();
        if self.autoscaler.type_specs.is_empty() {
            self.autoscaler
                .type_specs
                .clone_from(&self.autoscaler.stored_type_specs);
        }
    }

    /// Handles the consequences of a change of a job's records.
    fn on_job_change(&mut self, change: RecordChange) {
        let Some(id) = change.job else { return };
        self.discard_superseded_departures(&id);
        self.end_nominations_on(&id, &change.allocated);
        if self.store_sync.synced {
            self.update_queue_entry(&id);
            if self.scheduler.forwarded_early.remove(&id).is_some() {
                self.accept_forwarded(&id);
            }
        }
        self.add_pending_image_fetches(&id, &change.allocated);
        self.stop_finished_job(&id);
        self.push_foreign_placements(&id, change.allocated);
        if !change.freed.is_empty() {
            self.wake_parked_jobs(ClusterEvent::TaskLeft(id));
            if let Some(team) = change.team {
                self.wake_parked_jobs(ClusterEvent::TeamUsageReduced(team));
            }
        }
        for machine_id in change.freed {
            self.wake_parked_jobs(ClusterEvent::ResourcesReleased(machine_id));
        }
    }

    /// Records that machines which gained a task of a job will fetch its image.
    fn add_pending_image_fetches(&mut self, id: &JobId, allocated: &[MachineId]) {
        let Some(job) = self.jobs.get(id) else { return };
        for machine_id in allocated {
            if let Some(machine) = self.machines.get_mut(machine_id) {
                machine.add_pending_fetch(&job.spec.image, job.spec.image_gb, self.now);
            }
        }
    }

    /// Sends the machines of a job that is no longer active the commands to stop its tasks.
    fn stop_finished_job(&mut self, id: &JobId) {
        let machine_ids: BTreeSet<MachineId> = self
            .jobs
            .get(id)
            .filter(|job| !job.is_active())
            .map(|job| {
                job.placements()
                    .map(|(_, placement)| placement.machine_id.clone())
                    .collect()
            })
            .unwrap_or_default();
        for machine_id in machine_ids {
            self.push_commands(&machine_id);
        }
    }

    /// Sends this controller's machines the commands to start tasks that another controller placed
    /// there, for example for a gang over the shards of several holders. For transactions of this
    /// controller these commands are sent on commit.
    fn push_foreign_placements(&mut self, id: &JobId, allocated: Vec<MachineId>) {
        let foreign = self
            .jobs
            .get(id)
            .is_some_and(|job| job.commit_state == CommitState::Idle);
        if foreign {
            for machine_id in self.machines_to_command(id, allocated) {
                self.push_commands(&machine_id);
            }
        }
    }

    /// The machines to send commands after tasks of a job were placed on some: these, or for a gang
    /// all machines of its tasks once the last of them is placed, since its tasks start together.
    pub(in crate::controller) fn machines_to_command(
        &self,
        id: &JobId,
        placed_on: Vec<MachineId>,
    ) -> BTreeSet<MachineId> {
        let Some(job) = self.jobs.get(id).filter(|_| !placed_on.is_empty()) else {
            return BTreeSet::new();
        };
        match job.gang_placement() {
            GangPlacement::Incomplete(_) => BTreeSet::new(),
            GangPlacement::Complete => {
                let placements = job.placements();
                placements
                    .map(|(_, placement)| placement.machine_id.clone())
                    .collect()
            }
            GangPlacement::None | GangPlacement::Broken => placed_on.into_iter().collect(),
        }
    }

    /// Queues every job that this controller is responsible for.
    pub(in crate::controller) fn update_all_queue_entries(&mut self) {
        let ids: Vec<JobId> = self.jobs.iter().map(|job| job.id.clone()).collect();
        for id in ids {
            self.update_queue_entry(&id);
        }
    }
}

#[cfg(test)]
mod tests;
