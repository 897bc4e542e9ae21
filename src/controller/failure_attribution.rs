//! Tasks that fail: whether the job is to blame (it is crash-looping) or the machine (it is
//! quarantined), and how a crash-looping job is held back.
//!
//! Failures are told to all controllers, since any of them may place the job's next task.

use std::collections::BTreeSet;

use super::{Controller, Effect};
use crate::jobs::JobKind;
use crate::jobs::cache::{Job, JobCache, TaskChange};
use crate::jobs::crash_loop::CrashLoopTracker;
use crate::peers::Message;
use crate::queue::QueueKey;
use crate::types::{JobId, MachineId};

impl Controller {
    /// Tells all controllers that tasks of these jobs failed on a machine of ours, and takes the
    /// failures into account here.
    pub(super) fn tasks_failed(&mut self, failed: BTreeSet<JobId>, machine_id: &MachineId) {
        for id in failed {
            self.scheduler.failed_jobs.insert(id.clone());
            for member in &self.settings.members {
                let to = member.label.clone();
                let message = Message::Failed {
                    job: id.to_string(),
                    machine_id: machine_id.to_string(),
                };
                self.effects.push(Effect::Peer { to, message });
            }
            self.note_failed(&id, machine_id);
        }
    }

    /// Takes into account that a task of a job failed on a machine, which this controller or
    /// another saw.
    pub(super) fn note_failed(&mut self, id: &JobId, machine_id: &MachineId) {
        let Some(job) = self.jobs.get(id).filter(|job| job.active()) else {
            return;
        };
        let crash_loops = &mut self.scheduler.crash_loops;
        // A job of which a task has finished is not to blame.
        let newly_crash_looping =
            job.done == 0 && crash_loops.failed(id, job.spec.kind, machine_id, self.now);
        self.blame_machine(id, machine_id);
        if newly_crash_looping {
            tracing::info!(job = %id, "job crash-looping");
            self.clear_machines_blamed_for(id);
        }
    }

    /// Counts a failure against a machine. Only the controller that holds it judges it, and tells
    /// the others by its status.
    fn blame_machine(&mut self, id: &JobId, machine_id: &MachineId) {
        let (leases, me) = (&self.membership.leases, &self.me);
        let (jobs, crash_loops) = (&self.jobs, &mut self.scheduler.crash_loops);
        let Some(machine) = self
            .machines
            .get_mut(machine_id)
            .filter(|machine| leases.holds(&machine.shard, me).is_some())
        else {
            return;
        };
        machine.note_failure(id, self.now);
        machine.judge(|id| is_crash_looping(jobs, crash_loops, id));
        if machine.quarantined {
            tracing::info!(%machine_id, "machine quarantined");
            crash_loops.quarantined(machine_id, self.now);
        }
    }

    /// Judges our machines again on which a job failed that turned out to be crash-looping: its
    /// failures were not their fault.
    fn clear_machines_blamed_for(&mut self, id: &JobId) {
        let (leases, me) = (&self.membership.leases, &self.me);
        let (jobs, crash_loops) = (&self.jobs, &self.scheduler.crash_loops);
        for (machine_id, machine) in &mut self.machines {
            if !machine.failed.contains_key(id) || leases.holds(&machine.shard, me).is_none() {
                continue;
            }
            let was_quarantined = machine.quarantined;
            machine.judge(|id| is_crash_looping(jobs, crash_loops, id));
            if was_quarantined && !machine.quarantined {
                self.autoscaler.drains.remove(machine_id);
            }
        }
    }

    /// Holds a crash-looping job back: one task of it is tried at a time, and not before its
    /// backoff is over. Returns whether it was held back.
    pub(super) fn hold_back_crash_looping(&mut self, id: &JobId, key: QueueKey) -> bool {
        let crash_loops = &self.scheduler.crash_loops;
        let Some(job) = self
            .jobs
            .get(id)
            .filter(|job| job.done == 0 && crash_loops.suspect(&job.id))
        else {
            return false;
        };
        if awaits_trial(job) {
            // The end of that task queues the job again.
            self.scheduler.queue.remove(id);
            return true;
        }
        let retry_at = crash_loops.not_before(id);
        let Some(until) = retry_at.filter(|until| *until > self.now) else {
            return false;
        };
        self.scheduler.queue.back_off_until(id, key, until);
        true
    }
}

/// Whether a job failed wherever it was tried. A task that finishes clears it.
fn is_crash_looping(jobs: &JobCache, crash_loops: &CrashLoopTracker, id: &JobId) -> bool {
    let finished_any = jobs.get(id).is_some_and(|job| job.done > 0);
    !finished_any && crash_loops.suspect(id)
}

/// Whether a task of a crash-looping job runs, or is about to, whose end shows how the job fares.
/// Of a service each replica is a trial by itself, so the running ones are not waited for.
fn awaits_trial(job: &Job) -> bool {
    let is_placement = |change: &TaskChange| matches!(change, TaskChange::Place(_));
    job.spec.kind != JobKind::Service && (job.placed > 0 || job.changes.values().any(is_placement))
}
