//! Reclaiming capacity for work within its entitlement: which tasks may be stopped for a job, and
//! how long the capacity is kept for that job.

use rustc_hash::FxHashMap as HashMap;

use super::super::Controller;
use super::super::quota_allocation::Quota;
use super::resource_request;
use crate::jobs::JobKind;
use crate::jobs::cache::{Job, TaskChange};
use crate::preempt::PreemptionOffer;
use crate::quota::reclaim::{PendingUsage, ReclaimPlanner, TeamUsage};
use crate::types::{JobId, MachineId, Millis};

/// Maximum number of tasks of a job for which capacity is reclaimed at a time. A job that is
/// entitled to more requests capacity again afterwards.
const MAX_RECLAIMS_PER_JOB: u32 = 16;

/// Reclaimed capacity is kept for the time that the slowest stopped task needs to save its
/// checkpoint, plus this margin.
const NOMINATION_MARGIN: Millis = Millis(4_000);

/// State of reclaiming borrowed capacity. A new tree resets it.
#[derive(Default)]
pub(in crate::controller) struct ReclaimState {
    /// The first waiting job of each team in the tree.
    pub(super) head_of_line_jobs: Vec<JobId>,
    /// The earliest time at which a machine may be reserved for a job.
    pub(super) reserve_not_before: HashMap<JobId, Millis>,
}

impl Quota {
    /// Whether capacity is reclaimed for a job's tasks one by one: there is a tree, and the job is
    /// not a gang of several tasks.
    fn reclaims_per_task(&self, job: Option<&Job>) -> bool {
        let is_gang = job.is_none_or(Job::is_multi_task_gang);
        self.hierarchy.active_tree().is_some() && !is_gang
    }
}

impl Controller {
    /// A planner that chooses the tasks to stop for a job by the quota tree. `None`: there is no
    /// tree, or the job's team is not in it.
    pub(in crate::controller) fn reclaim_planner<'a>(
        &'a self,
        job: &Job,
    ) -> Option<ReclaimPlanner<'a>> {
        let tree = self.quota.hierarchy.active_tree()?;
        let pending = PendingUsage {
            gained: self.nominated_usage(job),
            lost: self.stopping_usage(),
        };
        ReclaimPlanner::new(
            tree,
            &self.jobs,
            &job.spec.team,
            resource_request(job),
            pending,
        )
    }

    /// Capacity that is being freed for jobs other than `job`, by their current nominations.
    fn nominated_usage(&self, job: &Job) -> Vec<TeamUsage> {
        let mut usages = Vec::new();
        for (id, nomination) in &self.scheduler.nominations.by_job {
            let other = self.jobs.get(id).filter(|_| *id != job.id);
            if let Some(other) = other.filter(|_| nomination.expires_at > self.now) {
                let machines = nomination.machine_ids.len() as f64;
                usages.push(TeamUsage {
                    team: other.spec.team.clone(),
                    resources: nomination.resources.times(machines),
                });
            }
        }
        usages
    }

    /// Capacity of tasks that are being stopped.
    fn stopping_usage(&self) -> Vec<TeamUsage> {
        let tasks = self.scheduler.stops.keys();
        let usages = tasks.filter_map(|task| {
            let job = self.jobs.get(&task.job)?;
            Some(TeamUsage {
                team: job.spec.team.clone(),
                resources: job.spec.resources,
            })
        });
        usages.collect()
    }

    /// Maximum number of a job's tasks for which capacity is reclaimed at a time. A gang counts as
    /// one.
    pub(in crate::controller) fn max_reclaims(job: &Job) -> usize {
        match job.spec.kind {
            JobKind::Gang => 1,
            JobKind::Array | JobKind::Service => {
                job.waiting_tasks().min(MAX_RECLAIMS_PER_JOB) as usize
            }
        }
    }

    /// Whether capacity is reclaimed for a job's tasks one by one: there is a tree, and the job
    /// exists and is not a gang of several tasks.
    pub(in crate::controller) fn reclaims_per_task(&self, id: &JobId) -> bool {
        self.quota.reclaims_per_task(self.jobs.get(id))
    }

    /// How long reclaimed capacity is kept for a job. `None`: capacity is not reclaimed for the
    /// job's tasks one by one, and the default timeout applies.
    pub(in crate::controller) fn nomination_timeout(
        &self,
        id: &JobId,
        offers: &[PreemptionOffer],
    ) -> Option<Millis> {
        let victims = offers.iter().flat_map(|offer| &offer.victims);
        let jobs = victims.filter_map(|task| self.jobs.get(&task.job));
        let longest_save_s = jobs.map(|job| job.spec.save_s).fold(0.0, f64::max);
        self.reclaims_per_task(id)
            .then(|| NOMINATION_MARGIN + Millis::from_secs(longest_save_s))
    }

    /// Queues a job for which the leader reclaims capacity in the shards of this controller, which
    /// then places the job's tasks.
    pub(in crate::controller) fn expect_reclaimed_capacity(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|_| self.reclaims_per_task(id)) else {
            return;
        };
        if job.is_active() && job.waiting_tasks() > 0 {
            let key = self.queue_key(job);
            self.scheduler.forwarded.insert(id.clone());
            self.scheduler.queue.park_nominated(id, 0, key, self.now);
        }
    }

    /// Removes the nominations that a job has used by placing tasks. Where capacity is reclaimed
    /// for its tasks one by one, the nominations on other machines stay.
    pub(in crate::controller) fn end_used_nominations(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|_| self.reclaims_per_task(id)) else {
            return self.scheduler.nominations.remove(id);
        };
        let machine_ids: Vec<MachineId> = job
            .pending_changes
            .values()
            .filter_map(|change| match change {
                TaskChange::Place(placement) => Some(placement.machine_id.clone()),
                _ => None,
            })
            .collect();
        for machine_id in machine_ids {
            self.scheduler.nominations.remove_machine(id, &machine_id);
        }
    }

    /// Removes a job's nominations on machines where another controller placed its tasks. Does
    /// nothing without a tree.
    pub(in crate::controller) fn end_nominations_on(
        &mut self,
        id: &JobId,
        machine_ids: &[MachineId],
    ) {
        if self.quota.hierarchy.active_tree().is_some() {
            for machine_id in machine_ids {
                self.scheduler.nominations.remove_machine(id, machine_id);
            }
        }
    }
}
