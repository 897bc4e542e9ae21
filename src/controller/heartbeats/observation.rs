//! What a machine's newest heartbeat proves about its tasks, and the resulting changes of the job
//! records.

use std::collections::BTreeSet;

use crate::controller::Controller;
use crate::fleet::MachineTypeSpec;
use crate::jobs::cache::{Job, TaskChange};
use crate::lease::Tenure;
use crate::queue::ClusterEvent;
use crate::types::{JobId, MachineId, Millis, TaskId};
use crate::workers::reconcile::{Reconciliation, reconcile};
use crate::workers::wire::{ExitCause, TaskStage, WorkerCommand};
use crate::workers::{FETCH_TIMEOUT_FACTOR, Machine, ReportedAttempt};

/// How long a machine gets no new tasks after it refused a start for lack of resources: more is
/// allocated there than this controller knows, and the next heartbeats show what.
const REFUSED_START_PAUSE: Millis = Millis(3_000);

impl Controller {
    /// Reconciles a machine's newest heartbeat with the records again, if this controller holds its
    /// shard and knows all placements there.
    pub(in crate::controller) fn reconcile_again(&mut self, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        if let Some(tenure) = self.tenure_of(&machine.shard)
            && self.knows_all_placements(&machine.shard)
        {
            // The response to the next heartbeat carries the commands.
            let _ = self.reconcile_machine(machine_id, tenure);
        }
    }

    /// Compares a machine's newest heartbeat with the records, requests the changes of records that
    /// it proves, and returns the commands for the worker.
    pub(super) fn reconcile_machine(
        &mut self,
        machine_id: &MachineId,
        tenure: Tenure,
    ) -> Vec<WorkerCommand> {
        self.record_image_use(machine_id);
        self.checkpoint_before_termination(machine_id);
        let Some(machine) = self.machines.get(machine_id) else {
            return Vec::new();
        };
        let outcome = self.reconciliation_for(machine, tenure);
        log_releases(machine, &outcome.changes);
        log_forgets(machine, &outcome.commands);
        self.contact.start_counts.unplaced_attempts += u64::from(outcome.unplaced);
        self.record_task_results(machine_id, &outcome);
        self.attribute_failures(machine_id, &outcome.failures);
        if !outcome.changes.is_empty() {
            self.request_changes(outcome.changes);
            self.wake_parked_jobs(ClusterEvent::ResourcesReleased(machine_id.clone()));
        }
        outcome.commands
    }

    /// The result of comparing a machine's newest heartbeat with the records; changes no state.
    pub(super) fn reconciliation_for(&self, machine: &Machine, tenure: Tenure) -> Reconciliation {
        let gang_may_be_fetching = |job: &Job| self.gang_may_be_fetching(job);
        let gang_is_being_placed = |job: &Job| self.gang_is_being_placed(job);
        reconcile(
            machine,
            tenure,
            &self.jobs,
            &self.scheduler.stops,
            gang_may_be_fetching,
            gang_is_being_placed,
        )
    }

    /// Whether tasks of a gang may still be fetching its image on any of their machines, assuming
    /// the slowest fetch rate of all machine types.
    fn gang_may_be_fetching(&self, job: &Job) -> bool {
        let rates = self
            .autoscaler
            .type_specs
            .iter()
            .map(MachineTypeSpec::fetch_rate);
        let slowest_rate = rates.fold(f64::MAX, f64::min);
        let fetch_s = job.spec.image_gb / slowest_rate;
        let gang_wait_s = self.settings.deployment.workers.gang_wait_s;
        let limit = Millis::from_secs(gang_wait_s + FETCH_TIMEOUT_FACTOR * fetch_s);
        job.is_multi_task_gang() && self.now.since(job.last_placement_change) < limit
    }

    /// Updates the machine's own state by how its tasks ended: a success resets its failures and
    /// quarantine, a refused start pauses new tasks.
    fn record_task_results(&mut self, machine_id: &MachineId, outcome: &Reconciliation) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if outcome.successes > 0 {
            machine.record_success();
        }
        let refused = |(_, cause): &(JobId, ExitCause)| *cause == ExitCause::InsufficientResources;
        if outcome.failures.iter().any(refused) {
            machine.starts_paused_until = self.now + REFUSED_START_PAUSE;
        }
    }

    /// Counts failures of the tasks themselves against the job or the machine. Refused starts only
    /// return the job to the queue.
    fn attribute_failures(&mut self, machine_id: &MachineId, failures: &[(JobId, ExitCause)]) {
        let mut failed = BTreeSet::new();
        for (job, cause) in failures {
            tracing::debug!(%job, %machine_id, ?cause, "task failed");
            if *cause == ExitCause::Error {
                failed.insert(job.clone());
            } else {
                self.scheduler.failed_jobs.insert(job.clone());
            }
        }
        self.report_task_failures(failed, machine_id);
    }

    /// Records pending changes of tasks and commits them job by job. The changes must be grouped by
    /// job, or a job is committed more than once.
    pub(in crate::controller) fn request_changes(
        &mut self,
        changes: Vec<(JobId, u32, TaskChange)>,
    ) {
        let mut jobs: Vec<JobId> = Vec::new();
        for (job, index, change) in changes {
            self.jobs.add_pending_change(&job, index, change);
            if jobs.last() != Some(&job) {
                jobs.push(job);
            }
        }
        for job in jobs {
            self.commit(&job);
        }
    }

    /// Records the images of the machine's tasks as cached there, as far as the tasks' stages show
    /// that the fetch has finished.
    fn record_image_use(&mut self, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let cache_gb = self
            .type_spec(&machine.machine_type)
            .map_or(f64::MAX, |spec| spec.cache_gb);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        // An exited attempt may stay listed long after its image was used.
        let is_in_use = |reported: &&ReportedAttempt| {
            let (task, attempt) = (&reported.task, reported.attempt);
            let is_current = || self.jobs.placed_on(machine_id, task, attempt).is_some();
            !reported.has_exited() || is_current()
        };
        let images: Vec<_> = machine
            .reported
            .iter()
            .filter(|reported| has_image(reported))
            .filter(is_in_use)
            .filter_map(|reported| self.jobs.get(&reported.task.job))
            .map(|job| (&job.spec.image, job.spec.image_gb))
            .collect();
        for (image, gb) in images {
            if let Some(fetch) = machine.pending_fetches.get(image) {
                let took_s = self.now.since(fetch.last_used).secs();
                let others = machine.pending_fetches.len() - 1;
                tracing::debug!(%machine_id, image = image.as_str(), gb, took_s, others, "image fetched");
            }
            if machine.record_image_use(image, gb, cache_gb, self.now) {
                self.scheduler
                    .candidates
                    .changed_machines
                    .push(machine_id.clone());
            }
        }
    }
}

/// Logs each task that the heartbeat proves to be off its machine, with what the heartbeat lists of it.
fn log_releases(machine: &Machine, changes: &[(JobId, u32, TaskChange)]) {
    for (job, index, change) in changes {
        let TaskChange::Release { attempt, .. } = change else {
            continue;
        };
        let task = TaskId {
            job: job.clone(),
            index: *index,
        };
        let reported = machine.reported.of_task(&task);
        let (machine_id, shown) = (&machine.machine_id, machine.worker_token.0);
        tracing::debug!(%task, attempt = attempt.0, %machine_id, shown, ?reported, "task released by a heartbeat");
    }
}

/// Logs each attempt that the worker is told to forget.
fn log_forgets(machine: &Machine, commands: &[WorkerCommand]) {
    let (machine_id, shown) = (&machine.machine_id, machine.worker_token.0);
    for command in commands {
        if let WorkerCommand::Forget { task, attempt } = command {
            tracing::debug!(%task, attempt = attempt.0, %machine_id, shown, "forget requested");
        }
    }
}

/// Whether the reported state of an attempt shows that its image is in the machine's cache.
fn has_image(reported: &ReportedAttempt) -> bool {
    match reported.stage {
        TaskStage::Fetching => false,
        TaskStage::Exited => matches!(reported.cause, Some(ExitCause::Done | ExitCause::Stopped)),
        TaskStage::Waiting | TaskStage::Running | TaskStage::Saving => true,
    }
}
