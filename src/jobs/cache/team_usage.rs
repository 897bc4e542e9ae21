//! Resources that each team and each group of teams uses, in total and by shard.

use rustc_hash::FxHashMap as HashMap;

use super::job::Job;
use crate::jobs::{JobSpec, Placement};
use crate::types::{Resources, ShardId, Team};

/// The groups of teams that each team belongs to: its ancestors in the quota tree.
pub type TeamGroups = HashMap<Team, Vec<Team>>;

/// A team and its groups.
fn with_groups<'a>(groups: &'a TeamGroups, team: &'a Team) -> impl Iterator<Item = &'a Team> {
    std::iter::once(team).chain(groups.get(team).into_iter().flatten())
}

/// Adds to the sums of a team and its groups.
fn add_to(
    sums: &mut HashMap<Team, Resources>,
    groups: &TeamGroups,
    team: &Team,
    resources: Resources,
) {
    for team in with_groups(groups, team) {
        let sum = sums.entry(team.clone()).or_default();
        *sum = sum.plus(resources);
    }
}

/// Resources that each team's tasks use in each shard, and the number of these tasks.
#[derive(Default)]
struct UsageByShard(HashMap<Team, HashMap<ShardId, (Resources, u32)>>);

impl UsageByShard {
    fn add(&mut self, groups: &TeamGroups, shard: &ShardId, spec: &JobSpec) {
        for team in with_groups(groups, &spec.team) {
            let shards = self.0.entry(team.clone()).or_default();
            let (resources, tasks) = shards.entry(shard.clone()).or_default();
            *resources = resources.plus(spec.resources);
            *tasks += 1;
        }
    }

    /// Removes a task. The sum of a shard without tasks is dropped, and with it its rounding error.
    fn remove(&mut self, groups: &TeamGroups, shard: &ShardId, spec: &JobSpec) {
        for team in with_groups(groups, &spec.team) {
            let Some(shards) = self.0.get_mut(team) else {
                continue;
            };
            if let Some((resources, tasks)) = shards.get_mut(shard) {
                *resources = resources.minus(spec.resources);
                *tasks -= 1;
                if *tasks == 0 {
                    shards.remove(shard);
                }
            }
        }
    }

    fn get(&self, team: &Team, shard: &ShardId) -> Resources {
        let shards = self.0.get(team);
        shards
            .and_then(|shards| shards.get(shard))
            .map(|(resources, _)| *resources)
            .unwrap_or_default()
    }

    fn shards(&self, team: &Team) -> impl Iterator<Item = &ShardId> {
        self.0
            .get(team)
            .into_iter()
            .flat_map(|shards| shards.keys())
    }
}

/// The usage of all teams. Groups are counted like teams, under their own names.
#[derive(Default)]
pub(super) struct TeamUsage {
    groups: TeamGroups,
    /// What tasks use that the records place on machines.
    committed: HashMap<Team, Resources>,
    /// The part of `committed` used by tasks that are known to have left their machines.
    departed: HashMap<Team, Resources>,
    /// What tasks use whose placements are pending and not in the records yet.
    reserved: HashMap<Team, Resources>,
    /// Committed and reserved usage by shard.
    by_shard: UsageByShard,
    /// Reserved usage by shard.
    reserved_by_shard: UsageByShard,
}

impl TeamUsage {
    /// Replaces the groups and resets all sums.
    pub(super) fn reset(&mut self, groups: TeamGroups) {
        self.groups = groups;
        self.committed.clear();
        self.departed.clear();
        self.reserved.clear();
        self.reserved_by_shard.0.clear();
        self.by_shard.0.clear();
    }

    /// Adds all tasks of a job.
    pub(super) fn add_job(&mut self, job: &Job) {
        for (_, placement) in job.placements() {
            self.add_committed(&job.spec, job.spec.resources);
            self.add_task_to_shard(&job.spec, &placement.shard);
        }
        for _ in &job.departed {
            let (groups, spec) = (&self.groups, &job.spec);
            add_to(&mut self.departed, groups, &spec.team, spec.resources);
        }
        for placement in job.pending_placements() {
            self.reserve(&job.spec, placement);
        }
    }

    /// Adds `difference`, which may be negative, to what a team's placed tasks use.
    pub(super) fn add_committed(&mut self, spec: &JobSpec, difference: Resources) {
        add_to(&mut self.committed, &self.groups, &spec.team, difference);
    }

    /// Adds `difference`, which may be negative, to what departed tasks use. Only a quota tree needs
    /// this sum, so it is not counted without groups.
    pub(super) fn add_departed(&mut self, spec: &JobSpec, difference: Resources) {
        if !self.groups.is_empty() {
            add_to(&mut self.departed, &self.groups, &spec.team, difference);
        }
    }

    /// Adds a task to a shard.
    pub(super) fn add_task_to_shard(&mut self, spec: &JobSpec, shard: &ShardId) {
        self.by_shard.add(&self.groups, shard, spec);
    }

    /// Removes a task from a shard.
    pub(super) fn remove_task_from_shard(&mut self, spec: &JobSpec, shard: &ShardId) {
        self.by_shard.remove(&self.groups, shard, spec);
    }

    /// Adds a pending placement.
    pub(super) fn reserve(&mut self, spec: &JobSpec, placement: &Placement) {
        let groups = &self.groups;
        self.by_shard.add(groups, &placement.shard, spec);
        self.reserved_by_shard.add(groups, &placement.shard, spec);
        add_to(&mut self.reserved, groups, &spec.team, spec.resources);
    }

    /// Removes a pending placement.
    pub(super) fn unreserve(&mut self, spec: &JobSpec, placement: &Placement) {
        let groups = &self.groups;
        self.by_shard.remove(groups, &placement.shard, spec);
        self.reserved_by_shard
            .remove(groups, &placement.shard, spec);
        let difference = Resources::default().minus(spec.resources);
        add_to(&mut self.reserved, groups, &spec.team, difference);
    }

    /// Committed and reserved usage of a team.
    pub(super) fn total(&self, team: &Team) -> Resources {
        let committed = self.committed.get(team).copied().unwrap_or_default();
        let reserved = self.reserved.get(team).copied().unwrap_or_default();
        committed.plus(reserved)
    }

    /// Committed and reserved usage of a team, without tasks that are known to have left.
    pub(super) fn observed(&self, team: &Team) -> Resources {
        let departed = self.departed.get(team).copied().unwrap_or_default();
        self.total(team).minus(departed)
    }

    /// Committed and reserved usage of a team in one shard.
    pub(super) fn in_shard(&self, team: &Team, shard: &ShardId) -> Resources {
        self.by_shard.get(team, shard)
    }

    /// Reserved usage of a team in one shard.
    pub(super) fn reserved_in_shard(&self, team: &Team, shard: &ShardId) -> Resources {
        self.reserved_by_shard.get(team, shard)
    }

    /// The shards that a team has tasks in.
    pub(super) fn shards(&self, team: &Team) -> impl Iterator<Item = &ShardId> {
        self.by_shard.shards(team)
    }
}
