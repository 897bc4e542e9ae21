//! Duplicates of direct commands that were carried out and answered, and that the network delivers again later.

use jaspertiller::types::{AgentEpoch, MachineId, Millis, TaskId, WorkerToken};
use jaspertiller::workers::wire::WorkerCommand;
use rand::Rng;

use super::World;
use super::message::{DirectCommands, ScheduledMessage};

/// How many executed commands are kept for duplicates after a restart.
const KEPT_COMMANDS: usize = 256;
/// A process or machine that is back within this many milliseconds is followed by more duplicates.
const INSTANT_RESTART: u64 = 1_000;

/// Direct commands that a worker carried out and answered.
#[derive(Clone, Debug)]
pub struct ExecutedCommands {
    /// Index of the controller that sent them.
    pub controller: usize,
    /// The machine that carried them out.
    pub machine_id: MachineId,
    /// The token under which they were sent.
    pub worker_token: WorkerToken,
    /// The agent epoch that they were meant for.
    pub agent_epoch: AgentEpoch,
    /// The commands, in order.
    pub commands: Vec<WorkerCommand>,
    /// Virtual time in milliseconds at which they were sent.
    pub sent_at: u64,
}

impl ExecutedCommands {
    pub(super) fn of(direct: &DirectCommands) -> Self {
        Self {
            controller: direct.sender.controller,
            machine_id: direct.machine_id.clone(),
            worker_token: direct.worker_token,
            agent_epoch: direct.agent_epoch,
            commands: direct.commands.clone(),
            sent_at: direct.sent_at,
        }
    }

    /// Whether a start of a task is among them.
    pub fn starts_task(&self, task: &TaskId) -> bool {
        let is_start = |command: &WorkerCommand| matches!(command, WorkerCommand::Start { task: started, .. } if started == task);
        self.commands.iter().any(is_start)
    }
}

impl World {
    /// Records commands that a worker has just carried out, and schedules duplicates if they are injected.
    pub(super) fn record_executed_commands(&mut self, executed: ExecutedCommands) {
        if let Some(recorded) = &mut self.executed_commands {
            recorded.push(executed.clone());
        }
        let Some(copies) = self.network.command_copies.clone() else {
            return;
        };
        if self.rng.random_bool(copies.share) {
            self.schedule_command_copies(&executed);
        }
        self.recent_commands.push_back(executed);
        if self.recent_commands.len() > KEPT_COMMANDS {
            self.recent_commands.pop_front();
        }
    }

    fn schedule_command_copies(&mut self, executed: &ExecutedCommands) {
        let Some(copies) = self.network.command_copies.clone() else {
            return;
        };
        for _ in 0..self.rng.random_range(1..=copies.max_copies) {
            let at = self.now + self.rng.random_range(copies.delay_ms.clone());
            self.post(at, ScheduledMessage::CommandCopy(executed.clone()));
        }
    }

    /// Schedules duplicates of recent commands of a controller that was back within a second.
    pub(super) fn copy_commands_of_restarted_controller(&mut self, controller: usize) {
        let was_stopped = self.stopped_at[controller] > 0;
        if was_stopped && self.now - self.stopped_at[controller] <= INSTANT_RESTART {
            self.copy_recent_commands(|executed| executed.controller == controller);
        }
    }

    /// Schedules duplicates of recent commands to a machine that was back at once.
    pub(super) fn copy_commands_of_restarted_machine(&mut self, machine_id: &MachineId) {
        self.copy_recent_commands(|executed| executed.machine_id == *machine_id);
    }

    fn copy_recent_commands(&mut self, selects: impl Fn(&ExecutedCommands) -> bool) {
        let Some(copies) = self.network.command_copies.clone() else {
            return;
        };
        let selected: Vec<ExecutedCommands> = self
            .recent_commands
            .iter()
            .filter(|executed| selects(executed))
            .cloned()
            .collect();
        for executed in selected {
            if self.rng.random_bool(copies.restart_share) {
                self.schedule_command_copies(&executed);
            }
        }
    }

    /// Delivers a duplicate of commands to their worker, which nobody waits for. Returns how many tasks it started.
    ///
    /// A worker whose counters were reset since obeys any token until it has seen one, and no controller can prevent
    /// that (docs/questions.md): it gets no duplicates from before.
    pub fn deliver_command_copy(&mut self, executed: &ExecutedCommands) -> u64 {
        let (now, machine_id) = (Millis(self.now), &executed.machine_id);
        let machine = self.machines.by_id.get(machine_id);
        let was_reset = machine.is_some_and(|machine| {
            machine.reset_at.0 > executed.sent_at && machine.worker_token <= executed.worker_token
        });
        if was_reset || !self.machines.reachable(machine_id, now) {
            return 0;
        }
        let begun = self.machines.attempts_begun;
        let is_accepted = self.machines.execute_direct(
            machine_id,
            executed.worker_token,
            executed.agent_epoch,
            executed.commands.clone(),
            now,
        );
        let started = self.machines.attempts_begun - begun;
        self.fault_counts.command_copies += u64::from(is_accepted);
        self.fault_counts.starts_by_copies += started;
        started
    }
}
