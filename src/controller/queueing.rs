//! Which jobs this controller queues, in which order, and which events wake parked jobs.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::Controller;
use crate::jobs::cache::Job;
use crate::queue::{Check, ClusterEvent, QueueKey};
use crate::types::{JobId, MachineId, Resources};
use crate::workers::Machine;

/// The machine that an event is about.
#[derive(Clone, Copy)]
struct EventMachine<'a> {
    machine: &'a Machine,
    available: Resources,
}

impl Controller {
    /// Whether this controller places a job's tasks: as its owner, because the job was forwarded
    /// to it, or as the leader while the owner is gone.
    pub(super) fn is_responsible_for(&self, job: &Job) -> bool {
        let owner = &job.record.owner;
        *owner == self.me
            || self.scheduler.forwarded.contains(&job.id)
            || (self.leading().is_some() && !self.membership.leases.controllers.contains_key(owner))
    }

    /// A job's sort key in the queue.
    pub(super) fn queue_key(&self, job: &Job) -> QueueKey {
        QueueKey {
            beyond_guarantee: !self.is_entitled(job),
            priority: Reverse(job.spec.priority),
            first_seen_at: job.first_seen,
            flow: self.commits.flows.of(&job.spec),
        }
    }

    /// Queues a job if it has tasks to place and this controller is responsible for it. Cleans up
    /// after a job that has ended.
    pub(super) fn update_queue_entry(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            self.scheduler.forget_job(id);
            return;
        };
        if !job.is_active() {
            let responsible = self.is_responsible_for(job);
            self.scheduler.queue.remove(id);
            if responsible || self.requests.cancellations.waits_for(id) {
                self.finalize_cancelled(id);
            }
            return;
        }
        if job.is_completed_gang() && self.is_responsible_for(job) {
            self.finalize_completed_gang(id);
        }
        let Some(job) = self.jobs.get(id) else { return };
        if job.waiting_tasks() > 0
            && self.is_responsible_for(job)
            && !self.scheduler.queue.contains(id)
        {
            let key = self.queue_key(job);
            self.enqueue(id, key);
        }
    }

    /// Queues a job under its key; one whose last task failed backs off first.
    fn enqueue(&mut self, id: &JobId, key: QueueKey) {
        let last_task_failed = self.scheduler.failed_jobs.remove(id);
        if self.defer_crash_looping(id, key) {
            return;
        }
        if last_task_failed {
            // The job may fail on any machine, so it backs off twice as long as after a failed
            // cycle.
            self.requeue(id, 1, BTreeSet::new(), key);
        } else {
            self.scheduler.queue.push(id, key);
        }
    }

    /// Backs a job off after a temporary error, regardless of events in the cluster.
    pub(super) fn back_off(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.is_active() && job.waiting_tasks() > 0 && self.is_responsible_for(job) {
            let key = self.queue_key(job);
            self.requeue(id, 0, BTreeSet::new(), key);
        }
    }

    /// Returns a job to the queue after one more failed cycle than `failures`, see
    /// [`Queue::requeue_after_failure`](crate::queue::Queue::requeue_after_failure).
    pub(super) fn requeue(
        &mut self,
        id: &JobId,
        failures: u32,
        checks: BTreeSet<Check>,
        key: QueueKey,
    ) {
        let (now, rng) = (self.now, &mut self.rng);
        self.scheduler
            .queue
            .requeue_after_failure(id, failures, checks, key, now, rng);
    }

    /// Wakes the parked jobs that may be placeable after a change in the cluster.
    pub(super) fn wake_parked_jobs(&mut self, event: ClusterEvent) {
        if let ClusterEvent::ResourcesReleased(machine_id) = &event {
            self.activate_head_of_line_jobs(machine_id);
        }
        if let ClusterEvent::MachineSchedulable(machine_id) = &event {
            self.scheduler
                .candidates
                .changed_machines
                .push(machine_id.clone());
        }
        // The queue is moved out, since evaluating its jobs borrows the whole controller.
        let mut queue = std::mem::take(&mut self.scheduler.queue);
        let event_machine = self.event_machine(&event);
        queue.wake(self.now, |id, check| {
            self.work_counters.parked.add(1);
            self.jobs.get(id).is_none_or(|job| {
                !self.awaits_preemption(job, check)
                    && self.event_may_unblock(job, check, &event, event_machine)
            })
        });
        self.scheduler.queue = queue;
    }

    /// The machine that an event is about, if there is one and it is known.
    fn event_machine(&self, event: &ClusterEvent) -> Option<EventMachine<'_>> {
        let (ClusterEvent::MachineSchedulable(machine_id)
        | ClusterEvent::ResourcesReleased(machine_id)) = event
        else {
            return None;
        };
        let machine = self.machines.get(machine_id)?;
        let available = self.available(machine);
        Some(EventMachine { machine, available })
    }

    /// Whether a job that was rejected for resources waits until it fits on all machines that it is
    /// nominated for. A gang does; of other jobs any task may start, unless their resources were
    /// freed without a quota tree.
    fn awaits_preemption(&self, job: &Job, check: Check) -> bool {
        let needs_all = job.is_multi_task_gang() || self.quota.hierarchy.active_tree().is_none();
        if check != Check::Resources || !needs_all {
            return false;
        }
        let Some(machine_ids) = self.scheduler.nominations.machines_for(&job.id, self.now) else {
            return false;
        };
        let fits = |machine_id: &MachineId| {
            let machine = self.machines.get(machine_id);
            machine.is_some_and(|machine| job.spec.resources.fits_in(self.available(machine)))
        };
        machine_ids.len() > 1 && !machine_ids.iter().all(fits)
    }

    /// Whether an event may change the outcome of a check that rejected a job.
    fn event_may_unblock(
        &self,
        job: &Job,
        check: Check,
        event: &ClusterEvent,
        event_machine: Option<EventMachine>,
    ) -> bool {
        match (check, event) {
            (
                Check::Resources | Check::Machine,
                ClusterEvent::MachineSchedulable(_) | ClusterEvent::ResourcesReleased(_),
            ) => event_machine.is_some_and(|EventMachine { machine, available }| {
                job.spec
                    .allows(&machine.machine_type, &machine.zone, machine.spot)
                    && job.spec.resources.fits_in(available)
            }),
            (Check::Zones, ClusterEvent::MachineSchedulable(_)) => true,
            (Check::Zones | Check::EarlierAttempt, ClusterEvent::TaskLeft(left)) => *left == job.id,
            (Check::TeamQuota | Check::ShardQuota, ClusterEvent::TeamUsageReduced(team)) => {
                self.may_gain_from(team, &job.id)
            }
            (Check::ShardQuota, ClusterEvent::QuotaReallocated) => true,
            (
                Check::TeamQuota | Check::ShardQuota | Check::Resources,
                ClusterEvent::QuotaTreeReplaced,
            ) => true,
            (Check::Resources | Check::Machine, ClusterEvent::EntitlementRaised(team)) => {
                *team == job.spec.team
            }
            _ => false,
        }
    }
}
