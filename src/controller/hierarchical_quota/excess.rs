//! Stopping work beyond a lowered limit.
//!
//! A new tree may lower a limit below the current usage. Each controller then stops its part of
//! the excess in the shards that it holds, the least valuable tasks first. The stopped tasks wait
//! until they fit within the limit again.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use super::super::Controller;
use crate::jobs::PriorityClass;
use crate::jobs::cache::Job;
use crate::quota;
use crate::quota::reclaim::overuse_steps;
use crate::settings::TeamSettings;
use crate::types::{MachineId, Millis, Resources, ShardId, TaskId, Team};
use crate::workers::reconcile::Stop;

/// Time between comparisons of usage with the limits. Usage exceeds a limit only after a new tree,
/// and the previous stops must be observed before the next comparison.
const EXCESS_CHECK_INTERVAL: Millis = Millis(2_000);

/// Excess below this many CPUs or GPUs is a rounding error.
const EXCESS_TOLERANCE: f64 = 1e-6;

/// Lower bound of a usage that is divided by, which avoids division by zero.
const MIN_USED: f64 = 1e-9;

/// A task that may be stopped because its team is over its limit.
struct ExcessTask {
    task: TaskId,
    /// Tasks of services are stopped last.
    is_service: bool,
    /// How far the team is over its entitlement, in steps; the highest is stopped first.
    overuse_steps: i64,
    /// The lowest priority is stopped first.
    priority: PriorityClass,
    /// Seconds of machine time that stopping the task wastes; the lowest is stopped first.
    waste_s: f64,
}

impl ExcessTask {
    /// The order in which tasks are stopped.
    fn stop_order(&self, other: &Self) -> Ordering {
        self.is_service
            .cmp(&other.is_service)
            .then(other.overuse_steps.cmp(&self.overuse_steps))
            .then(self.priority.cmp(&other.priority))
            .then(self.waste_s.total_cmp(&other.waste_s))
            .then(self.task.cmp(&other.task))
    }
}

/// A shard's part of the excess of a team or node.
struct ShardExcess {
    /// The resources to free, without those of tasks that are being stopped already.
    remaining: Resources,
    /// The tasks that may be stopped.
    tasks: Vec<ExcessTask>,
}

impl Controller {
    /// Stops tasks of the teams and nodes that use more than their limit in the tree, at most once
    /// per [`EXCESS_CHECK_INTERVAL`].
    pub(super) fn stop_excess(&mut self) {
        let due = self.now.since(self.quota.excess_checked_at) >= EXCESS_CHECK_INTERVAL;
        if !due || self.quota.hierarchy.active_tree().is_none() || !self.may_place() {
            return;
        }
        self.quota.excess_checked_at = self.now;
        for team in self.quota.hierarchy.all_limits() {
            let used = self.jobs.usage(&team.name);
            if !quota::within_limit(used, &team) {
                self.stop_excess_of(&team, used);
            }
        }
    }

    /// Stops a team's excess in the shards that this controller holds, in proportion to each
    /// shard's fraction of the team's usage.
    fn stop_excess_of(&mut self, team: &TeamSettings, used: Resources) {
        let cpus = excess_amount(team.cpus_max, used.cpus);
        let gpus = excess_amount(team.gpus_max, used.gpus);
        for shard in self.held_shards_of(team) {
            let used_in_shard = self.jobs.usage_in_shard(&team.name, &shard);
            let part = Resources {
                cpus: cpus * used_in_shard.cpus / used.cpus.max(MIN_USED),
                gpus: gpus * used_in_shard.gpus / used.gpus.max(MIN_USED),
                memory_gb: 0.0,
            };
            let mut excess = self.shard_excess(team, &shard, part);
            excess.tasks.sort_by(ExcessTask::stop_order);
            let machine_ids = self.stop_tasks(excess);
            if !machine_ids.is_empty() {
                tracing::info!(team = %team.name, %shard, ?machine_ids, "usage exceeds limit; stopping tasks");
            }
            for machine_id in machine_ids {
                self.push_commands(&machine_id);
            }
        }
    }

    /// The shards that this controller holds and in which the team has tasks.
    fn held_shards_of(&self, team: &TeamSettings) -> Vec<ShardId> {
        self.jobs
            .shards_of(&team.name)
            .filter(|shard| self.membership.leases.held_token(shard, &self.me).is_some())
            .cloned()
            .collect()
    }

    /// The tasks of a shard that count towards a team's limit and may be stopped, which excludes
    /// gangs of several tasks and tasks with an unwritten change. Resources that are being freed
    /// already are subtracted from `part`, the shard's part of the excess.
    fn shard_excess(&self, team: &TeamSettings, shard: &ShardId, part: Resources) -> ShardExcess {
        let mut remaining = part;
        let mut tasks = Vec::new();
        for job in self.jobs.iter().filter(|job| job.is_active()) {
            let limits = self.quota.hierarchy.limits(&job.spec.team);
            if !limits.iter().any(|limit| limit.name == team.name) {
                continue;
            }
            let placed = job
                .placements()
                .filter(|(_, placement)| placement.shard == *shard);
            for (index, _) in placed {
                let task = TaskId {
                    job: job.id.clone(),
                    index,
                };
                if self.scheduler.stops.contains_key(&task) {
                    remaining = remaining.minus(job.spec.resources);
                } else if !job.is_multi_task_gang() && !job.pending_changes.contains_key(&index) {
                    tasks.push(self.excess_task(job, task));
                }
            }
        }
        ShardExcess { remaining, tasks }
    }

    fn excess_task(&self, job: &Job, task: TaskId) -> ExcessTask {
        ExcessTask {
            task,
            is_service: job.spec.kind == crate::jobs::JobKind::Service,
            overuse_steps: self.team_overuse_steps(&job.spec.team),
            priority: job.spec.priority,
            waste_s: self.wasted_machine_s(job),
        }
    }

    /// How far a team is over its entitlement, in steps; 0 if the team is not in a tree.
    fn team_overuse_steps(&self, team: &Team) -> i64 {
        let Some(tree) = self.quota.hierarchy.active_tree() else {
            return 0;
        };
        tree.leaf(team).map_or(0, |leaf| {
            let used = self.jobs.observed_usage(team).into();
            overuse_steps(tree, leaf, used)
        })
    }

    /// Marks tasks as stopping, in their order, until the excess is covered. Returns their
    /// machines, which must be sent the commands.
    fn stop_tasks(&mut self, excess: ShardExcess) -> BTreeSet<MachineId> {
        let mut remaining = excess.remaining;
        let mut machine_ids = BTreeSet::new();
        for ExcessTask { task, .. } in excess.tasks {
            if remaining.cpus <= EXCESS_TOLERANCE && remaining.gpus <= EXCESS_TOLERANCE {
                break;
            }
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let Some(placement) = job.task(task.index).placement() else {
                continue;
            };
            remaining = remaining.minus(job.spec.resources);
            machine_ids.insert(placement.machine_id.clone());
            let stop = Stop {
                attempt: placement.attempt,
                save: !job.spec.is_cheap_to_kill(),
            };
            self.scheduler.stops.insert(task, stop);
        }
        machine_ids
    }
}

/// The amount by which usage exceeds a limit; a limit of 0 means that there is none.
fn excess_amount(limit: f64, used: f64) -> f64 {
    if limit > 0.0 {
        (used - limit).max(0.0)
    } else {
        0.0
    }
}
