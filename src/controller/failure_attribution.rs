//! Attribution of task failures to the job (it is crash-looping) or the machine (it is
//! quarantined), and the backoff of crash-looping jobs.
//!
//! Failures are reported to all controllers, since any of them may place the job's next task.

use std::collections::BTreeSet;

use super::{Controller, Effect};
use crate::jobs::JobKind;
use crate::jobs::cache::{Job, JobCache, TaskChange};
use crate::jobs::crash_loop::CrashLoopTracker;
use crate::peers::Message;
use crate::queue::QueueKey;
use crate::types::{JobId, MachineId};

impl Controller {
    /// Reports to all controllers that tasks of these jobs failed on a machine of this controller,
    /// and records the failures here.
    pub(super) fn report_task_failures(&mut self, failed: BTreeSet<JobId>, machine_id: &MachineId) {
        for id in failed {
            self.scheduler.failed_jobs.insert(id.clone());
            for member in &self.settings.members {
                let to = member.label.clone();
                let message = Message::TaskFailed {
                    job: id.to_string(),
                    machine_id: machine_id.to_string(),
                };
                self.effects.push(Effect::Peer { to, message });
            }
            self.record_task_failure(&id, machine_id);
        }
    }

    /// Records that a task of a job failed on a machine, as observed by this controller or another.
    pub(super) fn record_task_failure(&mut self, id: &JobId, machine_id: &MachineId) {
        let Some(job) = self.jobs.get(id).filter(|job| job.is_active()) else {
            return;
        };
        let crash_loops = &mut self.scheduler.crash_loops;
        // A job of which a task has finished is not crash-looping.
        let newly_crash_looping =
            job.done == 0 && crash_loops.record_failure(id, job.spec.kind, machine_id, self.now);
        self.record_machine_failure(id, machine_id);
        if newly_crash_looping {
            tracing::info!(job = %id, "job is crash-looping, backing off");
            self.reevaluate_quarantines(id);
        }
    }

    /// Counts a failure against a machine. Only the controller that holds the machine decides on
    /// its quarantine, and reports the result to the others in its status.
    fn record_machine_failure(&mut self, id: &JobId, machine_id: &MachineId) {
        let (leases, me) = (&self.membership.leases, &self.me);
        let (jobs, crash_loops) = (&self.jobs, &mut self.scheduler.crash_loops);
        let Some(machine) = self
            .machines
            .get_mut(machine_id)
            .filter(|machine| leases.held_token(&machine.shard, me).is_some())
        else {
            return;
        };
        machine.record_failure(id, self.now);
        machine.update_quarantine(|id| is_crash_looping(jobs, crash_loops, id));
        if machine.quarantined {
            tracing::info!(%machine_id, "machine quarantined");
            crash_loops.forget_machine(machine_id, self.now);
        }
    }

    /// Decides again on the quarantine of this controller's machines on which a job failed that has
    /// proved to be crash-looping: the machines did not cause its failures.
    fn reevaluate_quarantines(&mut self, id: &JobId) {
        let (leases, me) = (&self.membership.leases, &self.me);
        let (jobs, crash_loops) = (&self.jobs, &self.scheduler.crash_loops);
        for (machine_id, machine) in &mut self.machines {
            if !machine.failure_streaks.contains_key(id)
                || leases.held_token(&machine.shard, me).is_none()
            {
                continue;
            }
            let was_quarantined = machine.quarantined;
            machine.update_quarantine(|id| is_crash_looping(jobs, crash_loops, id));
            if was_quarantined && !machine.quarantined {
                self.autoscaler.drains.remove(machine_id);
            }
        }
    }

    /// Defers a crash-looping job: one task of it is tried at a time, and not before its backoff is
    /// over. Returns whether the job was deferred.
    pub(super) fn defer_crash_looping(&mut self, id: &JobId, key: QueueKey) -> bool {
        let crash_loops = &self.scheduler.crash_loops;
        let Some(job) = self
            .jobs
            .get(id)
            .filter(|job| job.done == 0 && crash_loops.is_crash_looping(&job.id))
        else {
            return false;
        };
        if awaits_task_outcome(job) {
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

/// Whether a job failed on every machine where it was tried, and none of its tasks has finished.
fn is_crash_looping(jobs: &JobCache, crash_loops: &CrashLoopTracker, id: &JobId) -> bool {
    let finished_any = jobs.get(id).is_some_and(|job| job.done > 0);
    !finished_any && crash_loops.is_crash_looping(id)
}

/// Whether a task of a crash-looping job runs, or is about to, whose end shows whether the job
/// still fails. Each replica of a service is tried independently, so running replicas are not
/// waited for.
fn awaits_task_outcome(job: &Job) -> bool {
    let is_placement = |change: &TaskChange| matches!(change, TaskChange::Place(_));
    job.spec.kind != JobKind::Service
        && (job.placed > 0 || job.pending_changes.values().any(is_placement))
}
