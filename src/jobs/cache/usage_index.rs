//! Usage summed over all jobs, by machine, team and shard, and updated as their tasks change.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap as HashMap;

use super::machine_usage::{Allocation, MachineUsages};
use super::team_usage::TeamUsage;
use crate::jobs::{JobSpec, Placement};
use crate::types::{JobId, MachineId};

/// Index of usage, and of the tasks that the records place on each machine.
#[derive(Default)]
pub(super) struct UsageIndex {
    /// What is allocated on each machine.
    pub(super) machines: MachineUsages,
    /// What each team uses.
    pub(super) teams: TeamUsage,
    /// The tasks that the records place on each machine.
    tasks_by_machine: HashMap<MachineId, BTreeSet<(JobId, u32)>>,
}

impl UsageIndex {
    /// The tasks that the records place on a machine.
    pub(super) fn tasks_on(&self, machine_id: &MachineId) -> impl Iterator<Item = &(JobId, u32)> {
        self.tasks_by_machine.get(machine_id).into_iter().flatten()
    }

    /// The machines that the records place tasks on.
    pub(super) fn machine_ids(&self) -> impl Iterator<Item = &MachineId> {
        self.tasks_by_machine.keys()
    }

    /// Adds a task that the records now place on a machine; the caller updates the team's sum.
    pub(super) fn add_placement(
        &mut self,
        spec: &JobSpec,
        placement: &Placement,
        task: (JobId, u32),
    ) {
        let machine_id = &placement.machine_id;
        self.machines
            .allocate(machine_id, spec, Allocation::Committed);
        self.teams.add_task_to_shard(spec, &placement.shard);
        let tasks = self.tasks_by_machine.entry(machine_id.clone()).or_default();
        tasks.insert(task);
    }

    /// Removes a task that the records no longer place on a machine; the caller updates the team's sum
    /// and the machine's allocation.
    pub(super) fn remove_placement(
        &mut self,
        spec: &JobSpec,
        placement: &Placement,
        task: &(JobId, u32),
    ) {
        self.teams.remove_task_from_shard(spec, &placement.shard);
        if let Some(tasks) = self.tasks_by_machine.get_mut(&placement.machine_id) {
            tasks.remove(task);
            if tasks.is_empty() {
                self.tasks_by_machine.remove(&placement.machine_id);
            }
        }
    }

    /// Reserves the resources of a pending placement.
    pub(super) fn reserve(&mut self, spec: &JobSpec, placement: &Placement) {
        self.machines
            .allocate(&placement.machine_id, spec, Allocation::Reserved);
        self.teams.reserve(spec, placement);
    }

    /// Frees the resources that `reserve` has taken.
    pub(super) fn unreserve(&mut self, spec: &JobSpec, placement: &Placement) {
        self.machines
            .free(&placement.machine_id, spec, Allocation::Reserved);
        self.teams.unreserve(spec, placement);
    }
}
