//! Worker commands: starting, stopping and forgetting tasks.

use jaspertiller::jobs::{JobKind, JobSpec};
use jaspertiller::types::{AgentEpoch, Attempt, Image, MachineId, Millis, TaskId, WorkerToken};
use jaspertiller::workers::wire::{ExitCause, HeartbeatResponse, TaskStage, WorkerCommand};
use rand::Rng;

use super::machine::{NEVER, OutgoingHeartbeat, Task, TaskAttempt};
use super::{HEARTBEAT_AFTER_CHANGE, Machines, RETRY_DELAY, last_checkpoint};
use crate::config::Config;

/// Delay of the heartbeat to a controller that the worker was redirected to.
const REDIRECT_DELAY: Millis = Millis(100);
/// Longest delay of the next heartbeat after a direct command or the start of a task.
const HEARTBEAT_AFTER_COMMAND: Millis = Millis(500);

impl Machines {
    /// Handles a controller's response to a heartbeat. A response is dropped if it cannot reach the machine, or if the
    /// machine no longer waits for it.
    pub fn receive_response(
        &mut self,
        outgoing: &OutgoingHeartbeat,
        response: HeartbeatResponse,
        now: Millis,
    ) {
        let (machine_id, controllers) = (&outgoing.machine_id, self.controllers);
        if !self.is_reachable_from(machine_id, outgoing.controller, now) {
            return;
        }
        let Some(machine) = self.by_id.get_mut(machine_id) else {
            return;
        };
        let arrives = machine.is_running() && machine.commands_lost_until <= now;
        let sequence = outgoing.heartbeat.heartbeat_sequence;
        let in_flight = machine.in_flight;
        let Some((sent_at, _)) = in_flight.filter(|(_, number)| arrives && *number == sequence)
        else {
            return;
        };
        machine.in_flight = None;
        match response {
            HeartbeatResponse::Commands {
                worker_token,
                commands,
            } => {
                // A controller with an old token is fenced: it neither renews the lease nor commands the worker.
                if worker_token < machine.worker_token {
                    return;
                }
                if worker_token > machine.worker_token {
                    machine.worker_token = worker_token;
                    machine.next_heartbeat = now + HEARTBEAT_AFTER_CHANGE;
                }
                machine.lease_start = sent_at;
                machine.last_renewal = Some((outgoing.controller, now));
                self.execute(machine_id, commands, now);
            }
            HeartbeatResponse::Redirect(Some(redirect_to)) => {
                let target = (0..controllers).find(|i| Config::label(*i) == redirect_to.as_str());
                machine.controller = target.unwrap_or((machine.controller + 1) % controllers);
                machine.next_heartbeat = now + REDIRECT_DELAY;
            }
            _ => machine.try_next_controller(controllers, now + RETRY_DELAY),
        }
    }

    /// Executes commands that a controller sent directly to a worker, and returns whether the worker accepted them. It
    /// rejects a token lower than its own and any agent epoch but its current one.
    pub fn execute_direct(
        &mut self,
        machine_id: &MachineId,
        worker_token: WorkerToken,
        agent_epoch: AgentEpoch,
        commands: Vec<WorkerCommand>,
        now: Millis,
    ) -> bool {
        let Some(machine) = self.by_id.get_mut(machine_id) else {
            return false;
        };
        let is_accepted =
            worker_token >= machine.worker_token && agent_epoch.0 == machine.agent_epoch;
        if is_accepted {
            machine.worker_token = machine.worker_token.max(worker_token);
            self.execute(machine_id, commands, now);
        }
        if let Some(machine) = self.by_id.get_mut(machine_id) {
            machine.heartbeat_sequence += 1;
            machine.heartbeat_by(now + HEARTBEAT_AFTER_COMMAND);
        }
        is_accepted
    }

    fn execute(&mut self, machine_id: &MachineId, commands: Vec<WorkerCommand>, now: Millis) {
        for command in commands {
            match command {
                WorkerCommand::Start { task, attempt } => {
                    self.start(machine_id, task, attempt, now);
                }
                WorkerCommand::Stop {
                    task,
                    attempt,
                    grace_s,
                } => self.stop(machine_id, &task, attempt, grace_s, now),
                WorkerCommand::Forget { task, attempt } => self.forget(machine_id, &task, attempt),
            }
        }
    }

    fn forget(&mut self, machine_id: &MachineId, id: &TaskId, attempt: Attempt) {
        let Some(machine) = self.by_id.get_mut(machine_id) else {
            return;
        };
        let task = id.clone();
        let id = TaskAttempt { task, attempt };
        if machine.tasks.get(&id).is_some_and(Task::is_exited) {
            machine.tasks.remove(&id);
        }
    }

    fn start(&mut self, machine_id: &MachineId, id: TaskId, attempt: Attempt, now: Millis) {
        let Some(machine) = self.by_id.get(machine_id) else {
            return;
        };
        let id = TaskAttempt { task: id, attempt };
        if machine.tasks.contains_key(&id) {
            return;
        }
        let other_attempt_present = machine
            .attempts_of(&id.task)
            .any(|other| !other.is_exited());
        let mut task = Task {
            stage: TaskStage::Fetching,
            cause: None,
            checkpointed: false,
            stage_ends_at: now,
            running_since: now,
            stop_requested_at: None,
        };
        let job = self.jobs.get(&id.task.job);
        let spec = job.map(|job| &job.spec);
        match spec.filter(|spec| id.task.index < spec.tasks) {
            Some(_) if other_attempt_present => task.exit(ExitCause::OtherAttemptPresent),
            None => task.exit(ExitCause::UnknownTask),
            Some(spec) => {
                let allocated = self.allocated_on(machine).plus(spec.resources);
                if allocated.fits_in(self.machine_type.resources) {
                    self.attempts_begun += 1;
                    let (image, size_gb) = (spec.image.clone(), spec.image_gb);
                    task.stage_ends_at = self.image_ready_at(machine_id, &image, size_gb, now);
                } else {
                    task.exit(ExitCause::InsufficientResources);
                }
            }
        }
        if let Some(machine) = self.by_id.get_mut(machine_id) {
            machine.tasks.insert(id, task);
            machine.heartbeat_by(now + HEARTBEAT_AFTER_COMMAND);
        }
    }

    /// Returns when an image is available on a machine; starts to fetch it unless the machine has it or is fetching it.
    fn image_ready_at(
        &mut self,
        machine_id: &MachineId,
        image: &Image,
        size_gb: f64,
        now: Millis,
    ) -> Millis {
        // Drawn even if the image is present, so that random draws of other machines do not depend on image caches.
        let duration_ms = match self.fetch_duration.clone() {
            Some(range) => self.rng.random_range(range) as f64,
            None => {
                size_gb / self.machine_type.fetch_gb_per_s * self.rng.random_range(670.0..1_330.0)
            }
        };
        let Some(machine) = self.by_id.get_mut(machine_id) else {
            return NEVER;
        };
        let ready_at = machine.image_ready_at.entry(image.clone());
        *ready_at.or_insert(now + Millis(duration_ms as u64))
    }

    fn stop(
        &mut self,
        machine_id: &MachineId,
        id: &TaskId,
        attempt: Attempt,
        grace_s: f64,
        now: Millis,
    ) {
        let (Some(machine), Some(job)) = (self.by_id.get_mut(machine_id), self.jobs.get(&id.job))
        else {
            return;
        };
        let spec = &job.spec;
        let known = TaskAttempt {
            task: id.clone(),
            attempt,
        };
        let task = machine.tasks.get_mut(&known);
        let Some(task) = task.filter(|task| !task.is_exited()) else {
            return;
        };
        machine.next_heartbeat = machine.next_heartbeat.min(now + HEARTBEAT_AFTER_CHANGE);
        match task.stage {
            TaskStage::Running if can_save(spec, grace_s) => {
                task.stage = TaskStage::Saving;
                task.stop_requested_at = Some(now);
                task.stage_ends_at = now + Millis::from_secs(spec.save_s);
            }
            // The task may continue saving; only a stop without a grace period aborts it.
            TaskStage::Saving if grace_s > 0.0 => {}
            TaskStage::Running | TaskStage::Saving => {
                let ran = task.stop_requested_at.unwrap_or(now);
                let ran = ran.since(task.running_since);
                let checkpoint = last_checkpoint(ran, spec);
                if spec.kind == JobKind::Array {
                    let progress = self.progress.entry(id.clone()).or_default();
                    *progress = *progress + checkpoint;
                }
                if spec.kind != JobKind::Service {
                    self.lost_run_time = self.lost_run_time + (ran - checkpoint);
                }
                task.exit(ExitCause::Stopped);
            }
            _ => task.exit(ExitCause::Stopped),
        }
    }
}

/// Whether a task can save its progress within a grace period.
fn can_save(spec: &JobSpec, grace_s: f64) -> bool {
    spec.checkpoint_s > 0.0 && grace_s >= spec.save_s
}
