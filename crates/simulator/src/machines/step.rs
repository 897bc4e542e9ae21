//! Periodic step of all machines: lease expiry, task stages and due heartbeats.

use std::collections::{HashMap, HashSet};

use jaspertiller::jobs::JobKind;
use jaspertiller::types::{JobId, MachineId, Millis, TaskId};
use jaspertiller::workers::wire::{ExitCause, TaskStage};

use super::machine::{Machine, NEVER, OutgoingHeartbeat, Task};
use super::{HEARTBEAT_AFTER_CHANGE, JobDescription, Machines, RETRY_DELAY};
use crate::config::Timing;

/// Time after which a worker stops waiting for the response to a heartbeat and tries another controller.
const RESPONSE_TIMEOUT: Millis = Millis(4_000);

/// State other than the machine that advancing its tasks reads and changes.
struct TaskStages<'a> {
    now: Millis,
    timing: Timing,
    run_time_spread: f64,
    jobs: &'a HashMap<JobId, JobDescription>,
    completed: &'a mut HashSet<TaskId>,
    progress: &'a mut HashMap<TaskId, Millis>,
    lost_run_time: &'a mut Millis,
    /// Tasks whose image became available in this step.
    started: Vec<(MachineId, TaskId)>,
}

impl TaskStages<'_> {
    /// Advances each task of a machine whose stage has ended; returns whether any did, not counting unknown tasks.
    fn advance_all(&mut self, machine_id: &MachineId, machine: &mut Machine) -> bool {
        let mut changed = false;
        for (id, task) in &mut machine.tasks {
            if task.is_exited() || self.now < task.stage_ends_at {
                continue;
            }
            let id = &id.task;
            let Some(job) = self.jobs.get(&id.job) else {
                task.exit(ExitCause::UnknownTask);
                continue;
            };
            changed = true;
            match task.stage {
                TaskStage::Fetching if machine.faulty || job.broken => task.exit(ExitCause::Error),
                TaskStage::Fetching => self.start(machine_id, id, task, job),
                TaskStage::Waiting => task.exit(ExitCause::GangTimeout),
                TaskStage::Running => {
                    task.exit(ExitCause::Done);
                    self.completed.insert(id.clone());
                }
                TaskStage::Saving => self.finish_saving(id, task),
                TaskStage::Exited => {}
            }
        }
        changed
    }

    fn start(
        &mut self,
        machine_id: &MachineId,
        id: &TaskId,
        task: &mut Task,
        job: &JobDescription,
    ) {
        self.started.push((machine_id.clone(), id.clone()));
        let is_completed = self.completed.contains(id);
        if job.spec.kind == JobKind::Gang && !is_completed {
            task.stage = TaskStage::Waiting;
            task.stage_ends_at = self.now + self.timing.gang_wait;
            return;
        }
        let saved = self.progress.get(id).copied().unwrap_or_default();
        let remaining = if is_completed {
            Millis(0)
        } else {
            self.run_time(id, job) - saved
        };
        let ends_at = if job.spec.kind == JobKind::Service {
            NEVER
        } else {
            self.now + remaining
        };
        task.run(self.now, ends_at);
    }

    /// Returns the run time of a task. It varies by a multiplicative hash of the task index instead of a random draw,
    /// so that it is the same in each attempt.
    fn run_time(&self, id: &TaskId, job: &JobDescription) -> Millis {
        let deviation =
            f64::from(id.index.wrapping_mul(2_654_435_761) >> 8) / f64::from(1u32 << 23) - 1.0;
        Millis((job.run_time.0 as f64 * (1.0 + self.run_time_spread * deviation)) as u64)
    }

    fn finish_saving(&mut self, id: &TaskId, task: &mut Task) {
        let stop_requested_at = task.stop_requested_at.unwrap_or(self.now);
        let progress = self.progress.entry(id.clone()).or_default();
        *progress = *progress + stop_requested_at.since(task.running_since);
        *self.lost_run_time = *self.lost_run_time + self.now.since(stop_requested_at);
        task.checkpointed = true;
        task.exit(ExitCause::Stopped);
    }
}

impl Machines {
    /// Advances all machines to `now`. Returns the tasks whose image became available, and the heartbeats to deliver.
    pub fn step(&mut self, now: Millis) -> (Vec<(MachineId, TaskId)>, Vec<OutgoingHeartbeat>) {
        let mut heartbeats = Vec::new();
        let (timing, controllers) = (self.timing, self.controllers);
        let mut stages = TaskStages {
            now,
            timing,
            run_time_spread: self.run_time_spread,
            jobs: &self.jobs,
            completed: &mut self.completed,
            progress: &mut self.progress,
            lost_run_time: &mut self.lost_run_time,
            started: Vec::new(),
        };
        for (machine_id, machine) in &mut self.by_id {
            if !machine.is_running() || now < machine.up_at || now < machine.hung_until {
                continue;
            }
            if machine.is_lease_expired(timing.lease, now) && !self.ignore_lease_expiry {
                let killed = machine.tasks.values().filter(|task| task.on_machine());
                self.killed_by_lease += killed.count() as u64;
                machine.expire_lease(now);
            }
            if stages.advance_all(machine_id, machine) {
                machine.heartbeat_by(now + HEARTBEAT_AFTER_CHANGE);
            }
            if let Some((sent_at, _)) = machine.in_flight
                && now.since(sent_at) > RESPONSE_TIMEOUT
            {
                machine.in_flight = None;
                machine.try_next_controller(controllers, now + RETRY_DELAY);
            }
            if machine.in_flight.is_none() && now >= machine.next_heartbeat {
                machine.heartbeat_sequence += 1;
                machine.in_flight = Some((now, machine.heartbeat_sequence));
                machine.next_heartbeat = now + timing.heartbeat;
                heartbeats.push(OutgoingHeartbeat {
                    machine_id: machine_id.clone(),
                    controller: machine.controller,
                    heartbeat: machine.heartbeat(machine_id, &self.machine_type),
                });
            }
        }
        let started = stages.started;
        self.step_gangs(now);
        (started, heartbeats)
    }
}
