//! Refreshes the entitlements, and wakes the jobs of teams that are entitled to more.

use std::collections::BTreeMap;

use super::super::Controller;
use crate::jobs::cache::Job;
use crate::queue::{Check, ClusterEvent, QueueKey};
use crate::types::{JobId, MachineId, Millis, Resources, Team};
use crate::workers::Machine;

/// Time between recomputations of the entitlements. Demand changes much more often: with every job
/// that starts or ends.
const REFRESH_INTERVAL: Millis = Millis(500);

impl Controller {
    /// Recomputes the entitlements and the order of the queue, at most once per
    /// [`REFRESH_INTERVAL`], and wakes the parked jobs of teams that are entitled to more.
    pub(super) fn refresh_entitlements(&mut self) {
        let jobs = &self.jobs;
        let raised = self
            .quota
            .hierarchy
            .refresh(self.now, REFRESH_INTERVAL, || jobs.demands());
        let Some(raised) = raised else {
            return;
        };
        self.reorder_queue();
        self.quota.reclaim.head_of_line_jobs = self.find_head_of_line_jobs();
        for team in raised {
            self.wake_parked_jobs(ClusterEvent::EntitlementRaised(team));
        }
    }

    /// Updates the keys of queued jobs by the new entitlements, and wakes jobs that are entitled to
    /// capacity that is not being reclaimed for them yet.
    fn reorder_queue(&mut self) {
        let mut queue = std::mem::take(&mut self.scheduler.queue);
        queue.reorder(|id| Some(self.queue_key(self.jobs.get(id)?)));
        // Retries work that is within its entitlement and for which no capacity is being reclaimed.
        queue.wake(self.now, |id, check| {
            let waits = check == Check::Resources
                && self
                    .scheduler
                    .nominations
                    .machines_for(id, self.now)
                    .is_none();
            waits && self.jobs.get(id).is_some_and(|job| self.is_entitled(job))
        });
        self.scheduler.queue = queue;
    }

    /// The first waiting job of each team in the tree, without gangs of several tasks.
    fn find_head_of_line_jobs(&self) -> Vec<JobId> {
        let mut first_by_team: BTreeMap<&Team, (QueueKey, &JobId)> = BTreeMap::new();
        for job in self.jobs.iter() {
            let waits = job.is_active() && job.waiting_tasks() > 0 && !job.is_multi_task_gang();
            if !waits || !self.in_tree(&job.spec.team) {
                continue;
            }
            let candidate = (self.queue_key(job), &job.id);
            let first = first_by_team.entry(&job.spec.team).or_insert(candidate);
            *first = candidate.min(*first);
        }
        first_by_team
            .into_values()
            .map(|(_, id)| id.clone())
            .collect()
    }

    /// Activates the head-of-line jobs within their entitlement that fit on a machine of this
    /// controller where capacity became available. Without this, borrowed work would take the
    /// capacity first, because other controllers learn of it seconds later.
    pub(in crate::controller) fn activate_head_of_line_jobs(&mut self, machine_id: &MachineId) {
        if self.quota.reclaim.head_of_line_jobs.is_empty() {
            return;
        }
        let Some(machine) = self
            .machines
            .get(machine_id)
            .filter(|m| self.is_schedulable_locally(m))
        else {
            return;
        };
        let jobs = self.fitting_head_of_line_jobs(machine, self.available(machine));
        for (key, id) in jobs {
            self.scheduler.forwarded.insert(id.clone());
            self.scheduler.queue.activate(&id, key);
        }
    }

    /// The head-of-line jobs within their entitlement of which one task each fits together in the
    /// available resources of a machine, in the order of the queue.
    fn fitting_head_of_line_jobs(
        &self,
        machine: &Machine,
        available: Resources,
    ) -> Vec<(QueueKey, JobId)> {
        let jobs = self.quota.reclaim.head_of_line_jobs.iter();
        let mut candidates: Vec<(QueueKey, &Job)> = jobs
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.waiting_tasks() > 0 && job.spec.resources.fits_in(available))
            .filter(|job| {
                job.spec
                    .allows(&machine.machine_type, &machine.zone, machine.spot)
            })
            .filter(|job| self.is_entitled(job))
            .map(|job| (self.queue_key(job), job))
            .collect();
        candidates.sort_by_key(|(key, job)| (*key, job.id.clone()));
        let mut remaining = available;
        let mut fitting = Vec::new();
        for (key, job) in candidates {
            if job.spec.resources.fits_in(remaining) {
                remaining = remaining.minus(job.spec.resources);
                fitting.push((key, job.id.clone()));
            }
        }
        fitting
    }
}
