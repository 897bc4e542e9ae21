//! Refreshes the entitlements, and wakes the jobs that gain by it.

use std::collections::BTreeMap;

use super::super::Controller;
use crate::jobs::cache::Job;
use crate::queue::{Check, ClusterEvent, QueueKey};
use crate::types::{JobId, MachineId, Millis, Resources, Team};
use crate::workers::Machine;

/// Time between recomputations of the entitlements. Demand changes much more often, with every job
/// that starts or ends.
const REFRESH_INTERVAL: Millis = Millis(500);

impl Controller {
    /// Recomputes the entitlements and, if they changed, the order of the queue.
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

    /// Updates the keys of queued jobs by the new entitlements.
    fn reorder_queue(&mut self) {
        let mut queue = std::mem::take(&mut self.scheduler.queue);
        queue.reorder(|id| Some(self.queue_key(self.jobs.get(id)?)));
        // Work within its entitlement for which no capacity is being reclaimed is tried again.
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

    /// The first waiting job of each team in the tree; gangs are left out.
    fn find_head_of_line_jobs(&self) -> Vec<JobId> {
        let mut first: BTreeMap<&Team, (QueueKey, &JobId)> = BTreeMap::new();
        for job in self.jobs.iter() {
            let waits = job.is_active() && job.waiting_tasks() > 0 && !job.is_multi_task_gang();
            if !waits || !self.in_tree(&job.spec.team) {
                continue;
            }
            let candidate = (self.queue_key(job), &job.id);
            let best = first.entry(&job.spec.team).or_insert(candidate);
            *best = candidate.min(*best);
        }
        first.into_values().map(|(_, id)| id.clone()).collect()
    }

    /// Activates the head-of-line jobs within their entitlement that fit on a machine of ours where
    /// capacity became available. Other controllers learn of the capacity seconds later; otherwise
    /// borrowed work would take it first.
    pub(in crate::controller) fn activate_head_of_line_jobs(&mut self, machine_id: &MachineId) {
        if self.quota.reclaim.head_of_line_jobs.is_empty() {
            return;
        }
        let Some(machine) = self
            .machines
            .get(machine_id)
            .filter(|m| self.is_schedulable_by_us(m))
        else {
            return;
        };
        let due = self.due_jobs(machine, self.available(machine));
        for (order, id) in due {
            self.scheduler.forwarded.insert(id.clone());
            self.scheduler.queue.activate(&id, order);
        }
    }

    /// The head-of-line jobs within their entitlement that have a task which fits in the available
    /// resources of a machine, in the order of the queue.
    fn due_jobs(&self, machine: &Machine, available: Resources) -> Vec<(QueueKey, JobId)> {
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
        candidates.sort_by_key(|(order, job)| (*order, job.id.clone()));
        let mut available = available;
        let mut due = Vec::new();
        for (order, job) in candidates {
            if job.spec.resources.fits_in(available) {
                available = available.minus(job.spec.resources);
                due.push((order, job.id.clone()));
            }
        }
        due
    }
}
