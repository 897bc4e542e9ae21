//! Evacuation of machines whose lease expires because their heartbeats are lost, and of machines
//! whose termination the cloud has announced.

use crate::controller::Controller;
use crate::controller::heartbeats::SILENT_MACHINE_TTL;
use crate::jobs::JobKind;
use crate::types::{FencingToken, MachineId, Millis, TaskId};
use crate::workers::reconcile::Stop;
use crate::workers::wire::{TaskStage, WorkerCommand};
use crate::workers::{Machine, ReportedAttempt};

/// A machine's heartbeat is overdue once none has arrived for this many intervals, which takes more
/// than one lost heartbeat.
const OVERDUE_HEARTBEAT_INTERVALS: f64 = 1.6;
/// Fewer machines with overdue heartbeats than this are single failures, whatever fraction of all
/// machines they are.
const MIN_OVERDUE_MACHINES: usize = 3;
/// A silent machine counts as unable to report only after its shard has been held for this long: by
/// then the shard's machines have found a new holder.
const MIN_HELD_TIME_FOR_EVACUATION: Millis = Millis(10_000);
/// Time for a stop command to reach a machine and for the reply to arrive, in addition to the time
/// for the checkpoint.
const STOP_ROUND_TRIP: Millis = Millis(7_000);

impl Controller {
    /// Records whether the heartbeats of most machines of this controller's shards are overdue.
    /// Then no other machines are better for placing tasks, and such an outage mostly ends before
    /// the leases do, including leases that begin during it. So machines that answer direct
    /// commands are used as if they reported: evacuating each of them would needlessly stop nearly
    /// all tasks.
    pub(in crate::controller) fn update_overdue_heartbeats(&mut self) {
        let interval_s = self.settings.deployment.workers.heartbeat_interval_s;
        let overdue_after = Millis::from_secs(interval_s * OVERDUE_HEARTBEAT_INTERVALS);
        let (mut all, mut overdue) = (0, 0);
        for machine in self.machines.values() {
            let silent_for = self.now.since(machine.last_heartbeat);
            let reported_recently =
                machine.last_heartbeat > Millis(0) && silent_for < SILENT_MACHINE_TTL;
            if reported_recently && self.token_for(&machine.shard).is_some() {
                all += 1;
                overdue += usize::from(silent_for > overdue_after);
            }
        }
        self.contact.most_heartbeats_overdue =
            overdue >= MIN_OVERDUE_MACHINES && overdue * 2 >= all;
    }

    /// Whether a machine of this controller's shards has not sent a heartbeat for so long that its
    /// worker must be unable to send one. The worker's replies to direct commands do not renew its
    /// lease.
    pub(in crate::controller) fn is_unable_to_report(&self, machine_id: &MachineId) -> bool {
        if self.contact.most_heartbeats_overdue {
            return false;
        }
        self.machines.get(machine_id).is_some_and(|machine| {
            let moved_at = self.membership.shard_moved_at.get(&machine.shard);
            let held_for = self.now.since(moved_at.copied().unwrap_or_default());
            let silent = self.now.since(machine.last_heartbeat) > self.heartbeat_timeout();
            // A machine that the previous holder found unable to report counts as such until it
            // reports.
            silent
                && (held_for > MIN_HELD_TIME_FOR_EVACUATION || !machine.reachability.is_confirmed())
        })
    }

    /// Evacuates a machine that cannot report before its lease expires: tasks that have not begun
    /// there are placed elsewhere immediately, and running tasks save a checkpoint while there is
    /// time for it.
    pub(in crate::controller) fn evacuate_unable_to_report(&mut self, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let lease = Millis::from_secs(self.settings.deployment.workers.lease_s);
        let lease_left = (machine.last_heartbeat + lease).since(self.now);
        for (task, save) in self.tasks_to_evacuate(machine, lease_left) {
            self.stop_with_gang(&task, save);
        }
    }

    /// The tasks placed on a machine that are to be stopped now, and whether each saves a
    /// checkpoint first.
    fn tasks_to_evacuate(&self, machine: &Machine, lease_left: Millis) -> Vec<(TaskId, bool)> {
        let placed = self.jobs.tasks_on(&machine.machine_id);
        placed
            .filter_map(|(id, index)| {
                let task = TaskId {
                    job: id.clone(),
                    index: *index,
                };
                let job = self.jobs.get(id)?;
                let attempt = job.task(*index).placement()?.attempt;
                let spec = &job.spec;
                let stop_takes = Millis::from_secs(spec.save_s) + STOP_ROUND_TRIP;
                let reported = machine.reported.get(&task, attempt);
                match reported.map(|reported| reported.stage) {
                    None => Some((task, false)),
                    Some(TaskStage::Running)
                        if spec.checkpoint_s > 0.0 && lease_left < stop_takes =>
                    {
                        Some((task, true))
                    }
                    Some(_) => None,
                }
            })
            .collect()
    }

    /// Requests a stop of a task's current attempt; for a gang, of all its tasks, since they save
    /// together.
    fn stop_with_gang(&mut self, task: &TaskId, save: bool) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let gang = job.spec.kind == JobKind::Gang;
        let attempts = job
            .placements()
            .filter(|(index, _)| gang || *index == task.index)
            .map(|(index, placement)| (index, placement.attempt));
        for (index, attempt) in attempts {
            let job = task.job.clone();
            self.scheduler
                .stops
                .insert(TaskId { job, index }, Stop { attempt, save });
        }
    }

    /// Stops the running tasks that can save a checkpoint on a machine whose termination the cloud
    /// has announced.
    pub(in crate::controller) fn checkpoint_before_termination(&mut self, machine_id: &MachineId) {
        let Some(machine) = self
            .machines
            .get(machine_id)
            .filter(|m| m.termination_announced)
        else {
            return;
        };
        // An outdated attempt says nothing about the current one, which may be on another machine.
        let is_current_with_checkpoints = |reported: &&ReportedAttempt| {
            let current = self
                .jobs
                .placed_on(machine_id, &reported.task, reported.attempt);
            current.is_some_and(|(job, _)| job.spec.checkpoint_s > 0.0)
        };
        let stopped: Vec<TaskId> = machine
            .reported
            .iter()
            .filter(|reported| reported.stage == TaskStage::Running)
            .filter(is_current_with_checkpoints)
            .map(|reported| reported.task.clone())
            .collect();
        for task in stopped {
            self.stop_with_gang(&task, true);
        }
    }

    /// Sends a machine that is unable to report only the stops among `commands`: tasks that start
    /// there would end with its lease.
    pub(in crate::controller) fn send_stops_only(
        &mut self,
        machine_id: &MachineId,
        token: FencingToken,
        mut commands: Vec<WorkerCommand>,
    ) {
        commands.retain(|command| matches!(command, WorkerCommand::Stop { .. }));
        if !commands.is_empty() && self.may_answer_heartbeats() {
            self.send_direct(machine_id, token, commands);
        }
    }
}
