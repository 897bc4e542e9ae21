//! Reclaiming capacity for work within its entitlement: what may be stopped for a job, and for how
//! long the capacity is kept for it.

use rustc_hash::FxHashMap as HashMap;

use super::super::Controller;
use super::super::quota_allocation::Quota;
use super::wanted;
use crate::jobs::JobKind;
use crate::jobs::cache::{Job, TaskChange};
use crate::preempt::PreemptionOffer;
use crate::quota::reclaim::{PendingUsage, ReclaimPlanner, TeamUsage};
use crate::types::{JobId, MachineId, Millis};

/// The most tasks of a job that capacity is reclaimed for at once. A job that is entitled to more
/// asks again.
const MAX_RECLAIMS_PER_JOB: u32 = 16;

/// Reclaimed capacity is kept this long beyond what the slowest stopped task needs to save its
/// checkpoint.
const NOMINATION_MARGIN: Millis = Millis(4_000);

/// State of reclaiming borrowed capacity. A new tree resets it.
#[derive(Default)]
pub(in crate::controller) struct ReclaimState {
    /// The first waiting job of each team in the tree.
    pub(super) head_of_line_jobs: Vec<JobId>,
    /// When a machine may be reserved for a job.
    pub(super) reserve_not_before: HashMap<JobId, Millis>,
}

impl Quota {
    /// Whether capacity is reclaimed for a job's tasks one by one: there is a tree, and the job is
    /// no gang.
    fn reclaims_per_task(&self, job: Option<&Job>) -> bool {
        let gang = job.is_none_or(Job::whole_gang);
        self.hierarchy.force().is_some() && !gang
    }
}

impl Controller {
    /// Plans what to stop for a job by the tree. `None`: there is no tree, or the job's team is not
    /// in it.
    pub(in crate::controller) fn ledger<'a>(&'a self, job: &Job) -> Option<ReclaimPlanner<'a>> {
        let tree = self.quota.hierarchy.force()?;
        let pending = PendingUsage {
            gained: self.nominated_usage(job),
            lost: self.stopping_usage(),
        };
        ReclaimPlanner::new(tree, &self.jobs, &job.spec.team, wanted(job), pending)
    }

    /// Capacity that is being made available to other jobs than this.
    fn nominated_usage(&self, job: &Job) -> Vec<TeamUsage> {
        let mut usages = Vec::new();
        for (id, nomination) in &self.scheduler.nominations.jobs {
            let other = self.jobs.get(id).filter(|_| *id != job.id);
            if let Some(other) = other.filter(|_| nomination.until > self.now) {
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

    /// The number of a job's tasks that capacity is reclaimed for at once.
    pub(in crate::controller) fn claims(job: &Job) -> usize {
        match job.spec.kind {
            JobKind::Gang => 1,
            JobKind::Array | JobKind::Service => job.waiting().min(MAX_RECLAIMS_PER_JOB) as usize,
        }
    }

    /// Whether capacity is reclaimed for a job's tasks one by one: there is a tree, and the job is
    /// no gang.
    pub(in crate::controller) fn several(&self, id: &JobId) -> bool {
        self.quota.reclaims_per_task(self.jobs.get(id))
    }

    /// How long reclaimed capacity is kept for a job. `None`: the job's tasks are not reclaimed for
    /// one by one, and the usual time applies.
    pub(in crate::controller) fn kept_for(
        &self,
        id: &JobId,
        offers: &[PreemptionOffer],
    ) -> Option<Millis> {
        let victims = offers.iter().flat_map(|offer| &offer.victims);
        let jobs = victims.filter_map(|task| self.jobs.get(&task.job));
        let longest_save_s = jobs.map(|job| job.spec.save_s).fold(0.0, f64::max);
        self.several(id)
            .then(|| NOMINATION_MARGIN + Millis::from_secs(longest_save_s))
    }

    /// Queues a job for which the leader has capacity reclaimed in our shards: its tasks are
    /// placed by this controller.
    pub(in crate::controller) fn expect_task(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|_| self.several(id)) else {
            return;
        };
        if job.active() && job.waiting() > 0 {
            let order = self.order(job);
            self.scheduler.forwarded.insert(id.clone());
            self.scheduler.queue.expect_room(id, 0, order, self.now);
        }
    }

    /// Ends the nominations that a job has used by placing tasks. Where capacity is reclaimed for
    /// several of its tasks, the other nominations stay.
    pub(in crate::controller) fn room_taken(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|_| self.several(id)) else {
            return self.scheduler.nominations.remove(id);
        };
        let machine_ids: Vec<MachineId> = job
            .changes
            .values()
            .filter_map(|change| match change {
                TaskChange::Place(placement) => Some(placement.machine_id.clone()),
                _ => None,
            })
            .collect();
        for machine_id in machine_ids {
            self.scheduler.nominations.taken(id, &machine_id);
        }
    }

    /// Ends a job's nominations on machines where another controller placed its tasks.
    pub(in crate::controller) fn placed_elsewhere(
        &mut self,
        id: &JobId,
        machine_ids: &[MachineId],
    ) {
        if self.quota.hierarchy.force().is_some() {
            for machine_id in machine_ids {
                self.scheduler.nominations.taken(id, machine_id);
            }
        }
    }
}
