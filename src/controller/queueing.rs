//! Which jobs this controller queues, in which order, and which events wake those that are parked.

use std::collections::BTreeSet;

use super::Controller;
use crate::jobs::cache::Job;
use crate::queue::{Check, ClusterEvent, QueueKey};
use crate::types::{JobId, MachineId};

impl Controller {
    pub(super) fn responsible(&self, job: &Job) -> bool {
        let owner = &job.record.owner;
        *owner == self.me
            || self.scheduler.forwarded.contains(&job.id)
            || (self.leading().is_some() && !self.membership.leases.controllers.contains_key(owner))
    }

    pub(super) fn order(&self, job: &Job) -> QueueKey {
        QueueKey {
            beyond_guarantee: !self.guaranteed(job),
            priority: std::cmp::Reverse(job.spec.priority),
            born: job.born,
            flow: self.commits.flows.of(&job.spec),
        }
    }

    /// Queues a job if it has tasks to place and that is ours to do; sees to the rest of one
    /// that is over.
    pub(super) fn consider(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            self.scheduler.queue.remove(id);
            self.scheduler.forwarded.remove(id);
            self.scheduler.failed_jobs.remove(id);
            return;
        };
        if !job.active() {
            let ours = self.responsible(job);
            self.scheduler.queue.remove(id);
            if ours || self.requests.cancellations.waits_for(id) {
                self.clear(id);
            }
            return;
        }
        if job.waiting() > 0 && self.responsible(job) && !self.scheduler.queue.contains(id) {
            let order = self.order(job);
            let failed = self.scheduler.failed_jobs.remove(id);
            if self.hold_suspect(id, order) {
                return;
            }
            if failed {
                // Its last task failed: no machine may be right for it.
                let none = BTreeSet::new();
                self.scheduler
                    .queue
                    .fail(id, 1, none, order, self.now, &mut self.rng);
            } else {
                self.scheduler.queue.push(id, order);
            }
        }
    }

    /// A temporary error: the job waits, whatever the cluster does.
    pub(super) fn fail_later(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.active() && job.waiting() > 0 && self.responsible(job) {
            let order = self.order(job);
            self.scheduler
                .queue
                .fail(id, 0, BTreeSet::new(), order, self.now, &mut self.rng);
        }
    }

    /// Tells the parked jobs of a change in the cluster.
    pub(super) fn wake(&mut self, event: ClusterEvent) {
        if let ClusterEvent::Freed(machine_id) = &event {
            self.activate_due(machine_id);
        }
        let machine = match &event {
            ClusterEvent::Machine(machine_id) | ClusterEvent::Freed(machine_id) => {
                self.machines.get(machine_id)
            }
            _ => None,
        };
        let resources = machine.map(|m| (m, self.available(m)));
        if let ClusterEvent::Machine(machine_id) = &event {
            self.scheduler.candidates.touched.push(machine_id.clone());
        }
        let jobs = &self.jobs;
        let mut queue = std::mem::take(&mut self.scheduler.queue);
        queue.wake(self.now, |id, check| {
            self.work_counters.parked.add(1);
            let Some(job) = jobs.get(id) else { return true };
            // A gang waits until all of its machines are free; of other jobs any task may start.
            let all = job.whole_gang() || self.quota.hierarchy.force().is_none();
            let machine_ids = self.scheduler.nominations.of(id, self.now).filter(|_| all);
            let machine_ids = machine_ids.unwrap_or_default();
            let fits = |machine_id: &MachineId| {
                let machine = self.machines.get(machine_id);
                machine.is_some_and(|m| job.spec.resources.fits_in(self.available(m)))
            };
            if machine_ids.len() > 1 && check == Check::Resources && !machine_ids.iter().all(fits) {
                return false;
            }
            match (check, &event) {
                (
                    Check::Resources | Check::Machine,
                    ClusterEvent::Machine(_) | ClusterEvent::Freed(_),
                ) => resources.as_ref().is_some_and(|(machine, available)| {
                    job.spec
                        .allows(&machine.machine_type, &machine.zone, machine.spot)
                        && job.spec.resources.fits_in(*available)
                }),
                (Check::Zones, ClusterEvent::Machine(_)) => true,
                (Check::Zones | Check::Attempt, ClusterEvent::TaskLeft(left)) => left == id,
                (Check::Team | Check::ShardQuota, ClusterEvent::TeamFreed(team)) => {
                    self.team_helps(team, id)
                }
                (Check::ShardQuota, ClusterEvent::QuotaReallocated) => true,
                (Check::Team | Check::ShardQuota | Check::Resources, ClusterEvent::NewTree) => true,
                (Check::Resources | Check::Machine, ClusterEvent::Entitled(team)) => {
                    *team == job.spec.team
                }
                _ => false,
            }
        });
        self.scheduler.queue = queue;
    }
}
