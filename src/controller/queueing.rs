//! Which jobs this controller queues, in which order, and which events wake those that are parked.

use std::collections::BTreeSet;

use super::Controller;
use crate::jobs::cache::Job;
use crate::queue::{Check, Event, Order};
use crate::types::{HostId, JobId};

impl Controller {
    pub(super) fn responsible(&self, job: &Job) -> bool {
        let home = &job.record.home;
        *home == self.me
            || self.handed.contains(&job.id)
            || (self.leading().is_some() && !self.leases.nodes.contains_key(home))
    }

    pub(super) fn order(&self, job: &Job) -> Order {
        Order {
            beyond_guarantee: !self.guaranteed(job),
            rank: std::cmp::Reverse(job.spec.rank),
            born: job.born,
            flow: self.flows.of(&job.spec),
        }
    }

    /// Queues a job if it has tasks to place and that is ours to do; sees to the rest of one
    /// that is over.
    pub(super) fn consider(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            self.queue.remove(id);
            self.handed.remove(id);
            self.failed_jobs.remove(id);
            return;
        };
        if !job.active() {
            let ours = self.responsible(job);
            self.queue.remove(id);
            if ours || self.cancelling.waits_for(id) {
                self.clear(id);
            }
            return;
        }
        if job.waiting() > 0 && self.responsible(job) && !self.queue.contains(id) {
            let order = self.order(job);
            let failed = self.failed_jobs.remove(id);
            if self.hold_suspect(id, order) {
                return;
            }
            if failed {
                // Its last task failed: no machine may be right for it.
                let none = BTreeSet::new();
                self.queue.fail(id, 1, none, order, self.now, &mut self.rng);
            } else {
                self.queue.push(id, order);
            }
        }
    }

    /// A temporary error: the job waits, whatever the cluster does.
    pub(super) fn fail_later(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.active() && job.waiting() > 0 && self.responsible(job) {
            let order = self.order(job);
            self.queue
                .fail(id, 0, BTreeSet::new(), order, self.now, &mut self.rng);
        }
    }

    /// Tells the parked jobs of a change in the cluster.
    pub(super) fn wake(&mut self, event: Event) {
        if let Event::Freed(host) = &event {
            self.take_due(host);
        }
        let machine = match &event {
            Event::Machine(host) | Event::Freed(host) => self.machines.get(host),
            _ => None,
        };
        let room = machine.map(|m| (m, self.free(m)));
        if let Event::Machine(host) = &event {
            self.pool.touched.push(host.clone());
        }
        let jobs = &self.jobs;
        let mut queue = std::mem::take(&mut self.queue);
        queue.wake(self.now, |id, check| {
            self.work.parked.add(1);
            let Some(job) = jobs.get(id) else { return true };
            // A gang waits until all of its machines are free; of other jobs any task may start.
            let all = job.whole_gang() || self.nested.force().is_none();
            let hosts = self.nominations.of(id, self.now).filter(|_| all);
            let hosts = hosts.unwrap_or_default();
            let fits = |host: &HostId| {
                let machine = self.machines.get(host);
                machine.is_some_and(|m| job.spec.room.fits_in(self.free(m)))
            };
            if hosts.len() > 1 && check == Check::Room && !hosts.iter().all(fits) {
                return false;
            }
            match (check, &event) {
                (Check::Room | Check::Machine, Event::Machine(_) | Event::Freed(_)) => {
                    room.as_ref().is_some_and(|(machine, free)| {
                        job.spec.allows(&machine.rig, &machine.zone, machine.spot)
                            && job.spec.room.fits_in(*free)
                    })
                }
                (Check::Zones, Event::Machine(_)) => true,
                (Check::Zones | Check::Attempt, Event::TaskLeft(left)) => left == id,
                (Check::Team | Check::Share, Event::TeamFreed(team)) => self.team_helps(team, id),
                (Check::Share, Event::Dealt) => true,
                (Check::Team | Check::Share | Check::Room, Event::NewTree) => true,
                (Check::Room | Check::Machine, Event::Entitled(team)) => *team == job.spec.team,
                _ => false,
            }
        });
        self.queue = queue;
    }
}
