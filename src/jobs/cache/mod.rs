//! The cache of all job records, updated from the watch and from this controller's own commits.
//!
//! [`JobCache`] stores the jobs ([`job`]), their changes that the records don't show yet
//! ([`changes`]), and an index of usage by machine, team and shard ([`usage_index`]) that [`apply`]
//! keeps consistent with the records.

mod apply;
mod change;
mod changes;
mod gang;
mod job;
mod machine_usage;
mod team_usage;
mod usage_index;

use std::collections::BTreeMap;

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

use super::api::JobState;
use crate::jobs::Placement;
use crate::types::{Attempt, JobId, MachineId, Resources, Revision, ShardId, TaskId, Team};
pub use apply::RecordChange;
pub use change::{CommitState, Evidence, TaskChange};
pub use gang::GangPlacement;
use job::FinishedJob;
pub use job::Job;
pub use machine_usage::MachineUsage;
pub use team_usage::TeamGroups;
use usage_index::UsageIndex;

/// All jobs, and the resources that they use.
#[derive(Default)]
pub struct JobCache {
    /// Jobs that are not over, or whose tasks may still be on machines.
    jobs: HashMap<JobId, Job>,
    /// How the other jobs ended.
    finished: HashMap<JobId, FinishedJob>,
    usage: UsageIndex,
    /// Pages that arrived before their job's record, not decoded yet.
    early_pages: HashMap<JobId, BTreeMap<u32, (Revision, String)>>,
    /// Pages of finished jobs that are still in the store.
    obsolete_pages: HashSet<(JobId, u32)>,
}

impl JobCache {
    /// A job; `None` if it is unknown or finished.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// A job; `None` if it is unknown or finished.
    pub fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    /// All jobs that are not finished, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// The state of a job in responses to users, finished or not; `None` if it is unknown.
    pub fn state(&self, id: &JobId) -> Option<JobState> {
        self.get(id).map(Job::state).or_else(|| {
            let finished = self.finished.get(id)?;
            Some(finished.state(id))
        })
    }

    /// Pages of finished jobs that are still in the store and can be deleted.
    pub fn obsolete_pages(&self) -> impl Iterator<Item = &(JobId, u32)> {
        self.obsolete_pages.iter()
    }

    /// The tasks that the records place on a machine.
    pub fn tasks_on(&self, machine_id: &MachineId) -> impl Iterator<Item = &(JobId, u32)> {
        self.usage.tasks_on(machine_id)
    }

    /// The job of a task and its placement, if the records place this attempt on the machine.
    pub fn placed_on(
        &self,
        machine_id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
    ) -> Option<(&Job, &Placement)> {
        let job = self.jobs.get(&task.job)?;
        let placement = job.task(task.index).placement()?;
        let matches = placement.machine_id == *machine_id && placement.attempt == attempt;
        matches.then_some((job, placement))
    }

    /// The machines that the records place tasks on.
    pub fn machine_ids(&self) -> impl Iterator<Item = &MachineId> {
        self.usage.machine_ids()
    }

    /// Whether anything is allocated on a machine, by the records or by reservations.
    pub fn is_occupied(&self, machine_id: &MachineId) -> bool {
        self.usage.machines.is_occupied(machine_id)
    }

    /// What is allocated on a machine, by the records and by reservations.
    pub fn machine_usage(&self, machine_id: &MachineId) -> MachineUsage {
        self.usage.machines.get(machine_id)
    }

    /// The machines whose allocation has changed since the last call.
    pub fn take_changed_machines(&mut self) -> HashSet<MachineId> {
        self.usage.machines.take_changed()
    }

    /// Resources allocated on a machine, by the records and by reservations.
    pub fn allocated(&self, machine_id: &MachineId) -> Resources {
        self.machine_usage(machine_id).allocated
    }

    /// Whether all committed tasks on a machine can be preempted without much loss.
    pub fn is_preemptible(&self, machine_id: &MachineId) -> bool {
        self.machine_usage(machine_id).is_preemptible()
    }

    /// What a team's tasks use, by the records and by reservations.
    pub fn usage(&self, team: &Team) -> Resources {
        self.usage.teams.total(team)
    }

    /// What a team's tasks use, without those that are known to have left. Quota limits are based on
    /// the records, allocations of quota on what is observed. Tasks that have left are only tracked while
    /// groups of teams are set, so it must not be used without them.
    pub fn observed_usage(&self, team: &Team) -> Resources {
        self.usage.teams.observed(team)
    }

    /// What a team's tasks use in one shard, reservations included.
    pub fn usage_in_shard(&self, team: &Team, shard: &ShardId) -> Resources {
        self.usage.teams.in_shard(team, shard)
    }

    /// What is reserved for a team's tasks in one shard and not in the records yet.
    pub fn reserved_in_shard(&self, team: &Team, shard: &ShardId) -> Resources {
        self.usage.teams.reserved_in_shard(team, shard)
    }

    /// The shards that a team has tasks in.
    pub fn shards_of(&self, team: &Team) -> impl Iterator<Item = &ShardId> {
        self.usage.teams.shards(team)
    }

    /// Replaces the groups of teams by which usage is counted, and recounts it.
    pub fn set_groups(&mut self, groups: TeamGroups) {
        self.usage.teams.reset(groups);
        for job in self.jobs.values() {
            self.usage.teams.add_job(job);
        }
    }

    /// What the tasks of each team's active jobs that are not done request in total.
    pub fn demands(&self) -> HashMap<&Team, Resources> {
        let mut demands: HashMap<&Team, Resources> = HashMap::default();
        for job in self.jobs.values().filter(|job| job.is_active()) {
            let unfinished = job.record.tasks.saturating_sub(job.done);
            let demand = demands.entry(&job.spec.team).or_default();
            *demand = demand.plus(job.spec.resources.times(f64::from(unfinished)));
        }
        demands
    }
}

#[cfg(test)]
pub(crate) mod tests;
