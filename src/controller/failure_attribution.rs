//! Tasks that fail: whether the job is to blame or the machine, and what follows.

use std::collections::BTreeSet;

use super::{Controller, Effect};
use crate::jobs::JobKind;
use crate::jobs::cache::{Job, TaskChange};
use crate::jobs::crash_loop::CrashLoopTracker;
use crate::peers::Message;
use crate::queue::QueueKey;
use crate::types::{JobId, MachineId};
use crate::workers::Machine;

impl Controller {
    /// Whether the job is suspect: it failed wherever it was tried. A task that is done clears it.
    fn suspected(&self, job: &Job) -> bool {
        job.done == 0 && self.scheduler.crash_loops.suspect(&job.id)
    }

    /// Tasks of these jobs failed on a machine of ours: all controllers are told, since any of them
    /// may place the next.
    pub(super) fn tasks_failed(&mut self, failed: BTreeSet<JobId>, machine_id: &MachineId) {
        for id in failed {
            self.scheduler.failed_jobs.insert(id.clone());
            let (job, on) = (id.to_string(), machine_id.to_string());
            for member in &self.settings.members {
                let to = member.label.clone();
                let (job, machine_id) = (job.clone(), on.clone());
                let message = Message::Failed { job, machine_id };
                self.effects.push(Effect::Peer { to, message });
            }
            self.note_failed(&id, machine_id);
        }
    }

    /// A task of the job failed on that machine, by our own word or another's.
    pub(super) fn note_failed(&mut self, id: &JobId, machine_id: &MachineId) {
        let Some(job) = self.jobs.get(id).filter(|job| job.active()) else {
            return;
        };
        let fails_everywhere = job.done == 0;
        let newly = fails_everywhere
            && (self.scheduler.crash_loops).failed(id, job.spec.kind, machine_id, self.now);
        let jobs = &self.jobs;
        let suspect = |crash_loops: &CrashLoopTracker, id: &JobId| {
            let done = jobs.get(id).is_some_and(|job| job.done > 0);
            !done && crash_loops.suspect(id)
        };
        // Its holder judges a machine, and tells the others.
        let (leases, me) = (&self.membership.leases, &self.me);
        let ours = |machine: &&mut Machine| leases.holds(&machine.shard, me).is_some();
        if let Some(machine) = self.machines.get_mut(machine_id).filter(ours) {
            machine.note_failure(id, self.now);
            machine.judge(|id| suspect(&self.scheduler.crash_loops, id));
            if machine.quarantined {
                tracing::info!(%machine_id, "machine quarantined");
                self.scheduler.crash_loops.quarantined(machine_id, self.now);
            }
        }
        if newly {
            tracing::info!(job = %id, "job crash-looping");
            // What it did to machines before that was not their fault.
            for (machine_id, machine) in self.machines.iter_mut() {
                if machine.failed.contains_key(id) && ours(&machine) {
                    let was = machine.quarantined;
                    machine.judge(|id| suspect(&self.scheduler.crash_loops, id));
                    if was && !machine.quarantined {
                        self.autoscaler.drains.remove(machine_id);
                    }
                }
            }
        }
    }

    /// Holds a suspect job back: one task of it at a time, and not before its wait is over. True if
    /// it was held.
    pub(super) fn hold_suspect(&mut self, id: &JobId, order: QueueKey) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| self.suspected(job)) else {
            return false;
        };
        let placing = |change: &TaskChange| matches!(change, TaskChange::Place(_));
        // Of a service each replica is one try by itself: those that run are not waited for.
        let service = job.spec.kind == JobKind::Service;
        if !service && (job.placed > 0 || job.changes.values().any(placing)) {
            // Its next end brings it back.
            self.scheduler.queue.remove(id);
            return true;
        }
        match self
            .scheduler
            .crash_loops
            .not_before(id)
            .filter(|until| *until > self.now)
        {
            Some(until) => {
                self.scheduler.queue.hold(id, order, until);
                true
            }
            None => false,
        }
    }
}
