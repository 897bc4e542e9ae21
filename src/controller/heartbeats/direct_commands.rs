//! Commands that a worker gets without waiting for its next heartbeat, and its replies to them.

use std::net::SocketAddr;

use rustc_hash::FxHashSet as HashSet;

use crate::controller::{CommandReply, Controller, Effect};
use crate::lease::Tenure;
use crate::queue::ClusterEvent;
use crate::types::{Attempt, ExchangeId, MachineId, TaskId, WorkerToken};
use crate::workers::Machine;
use crate::workers::direct_channel::{ExchangeOutcome, ExchangeStart, starts};
use crate::workers::wire::{Heartbeat, WorkerCommand};

/// Where commands may be sent directly, and the tokens that fence them.
struct DirectTarget {
    address: SocketAddr,
    tenure: Tenure,
}

impl Controller {
    /// Sends a worker its starts and stops without waiting for its heartbeat.
    pub(in crate::controller) fn push_commands(&mut self, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let Some(DirectTarget { address, tenure }) = self.direct_target(machine) else {
            return;
        };
        let worker_token = self.worker_token(tenure.token);
        let mut commands = without_forgotten(self.reconciliation_for(machine, tenure).commands);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let deferred = machine.direct.remove_excess_starts(&mut commands);
        self.contact.start_counts.deferred_starts += deferred as u64;
        if commands.is_empty() || machine.direct.is_in_flight() {
            machine.direct.resend |= !commands.is_empty();
            return;
        }
        self.contact.start_counts.direct_starts += starts(&commands).count() as u64;
        machine.direct.resend = false;
        self.begin_exchange(machine_id, address, worker_token, commands);
    }

    /// Sends a machine of this controller's shards commands, possibly none, as a new exchange.
    pub(in crate::controller) fn begin_exchange(
        &mut self,
        machine_id: &MachineId,
        address: SocketAddr,
        worker_token: WorkerToken,
        commands: Vec<WorkerCommand>,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let exchange = self.contact.next_exchange();
        let agent_epoch = machine.agent_epoch;
        let start = ExchangeStart {
            exchange,
            worker_token,
            agent_epoch,
            heartbeat_sequence: machine.heartbeat_sequence,
        };
        machine.direct.begin(start, &commands);
        tracing::debug!(exchange = exchange.0, %machine_id, worker_token = worker_token.0,
            agent_epoch = agent_epoch.0, ?commands, "direct commands sent");
        self.effects.push(Effect::DirectCommands {
            machine_id: machine_id.clone(),
            exchange,
            address,
            worker_token,
            agent_epoch,
            commands,
        });
    }

    /// Where to send commands directly. Only a worker that has seen a token of this controller's tenure
    /// and reported very recently qualifies, since a start that remains unanswered ties its task to the
    /// machine.
    fn direct_target(&self, machine: &Machine) -> Option<DirectTarget> {
        let tenure = self.tenure_of(&machine.shard)?;
        let address = machine.address?;
        let answered_in_tenure = machine
            .last_answer
            .is_some_and(|(under, _)| under == tenure.acquired);
        let allowed = machine.has_joined(tenure)
            && self.knows_all_placements(&machine.shard)
            && answered_in_tenure
            && machine.reachability.is_confirmed()
            && self.now.since(machine.last_contact) <= self.heartbeat_timeout()
            && self.may_answer_heartbeats();
        allowed.then_some(DirectTarget { address, tenure })
    }

    /// Ends an exchange of direct commands. `answer` is `None` if the worker did not reply: it is
    /// unknown whether the commands were, or will be, executed.
    pub(in crate::controller) fn on_direct_reply(
        &mut self,
        machine_id: &MachineId,
        exchange: ExchangeId,
        answer: Option<CommandReply>,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let outcome = exchange_outcome(answer.as_ref());
        let resend = machine.direct.end(exchange, outcome);
        tracing::debug!(exchange = exchange.0, %machine_id, ?outcome, "direct exchange ended");
        let Some(answer) = answer else { return };
        let shard = machine.shard.clone();
        if let (Some(heartbeat), Some(tenure)) = (answer.heartbeat, self.tenure_of(&shard)) {
            self.apply_direct_heartbeat(machine_id, tenure, &heartbeat);
        }
        if resend == Some(true) {
            self.push_commands(machine_id);
        }
        let machine = self.machines.get(machine_id);
        if machine.is_some_and(|machine| machine.direct.is_exposed()) {
            self.raise_token_if_due();
        }
    }

    /// Applies the heartbeat in a worker's reply to direct commands, if it is newer than the
    /// machine's known state.
    fn apply_direct_heartbeat(
        &mut self,
        machine_id: &MachineId,
        tenure: Tenure,
        heartbeat: &Heartbeat,
    ) {
        let (now, silence) = (self.now, self.heartbeat_timeout());
        let unable_to_report = self.is_unable_to_report(machine_id);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if heartbeat.machine_id != *machine_id
            || heartbeat.worker_token.fencing_token() > tenure.token
            || !machine.is_newer(heartbeat.agent_epoch, heartbeat.heartbeat_sequence)
        {
            return;
        }
        let was_schedulable = machine.is_schedulable_in(tenure, now, silence);
        if unable_to_report {
            machine.reachability.mark_heartbeats_lost(now);
        } else {
            machine.reachability.confirm();
        }
        if heartbeat.agent_epoch != machine.agent_epoch {
            // The lease of an agent epoch that was unknown here starts when the epoch began, not
            // when this controller last answered a heartbeat.
            machine.token_confirmed = None;
        }
        machine.apply_heartbeat(heartbeat, now, &self.me);
        machine.confirm_token(tenure, now);
        if !machine.has_joined(tenure) {
            return;
        }
        if machine.is_schedulable(now, silence) && !was_schedulable {
            self.wake_parked_jobs(ClusterEvent::MachineSchedulable(machine_id.clone()));
        }
        if unable_to_report {
            self.evacuate_unable_to_report(machine_id);
        }
        let commands = self.reconcile_machine(machine_id, tenure);
        if unable_to_report {
            self.send_stops_only(machine_id, tenure.token, commands);
        }
    }
}

/// How an exchange ended, by the worker's answer.
fn exchange_outcome(answer: Option<&CommandReply>) -> ExchangeOutcome {
    match answer.map(|answer| &answer.heartbeat) {
        None => ExchangeOutcome::Unanswered,
        Some(None) => ExchangeOutcome::NotSent,
        Some(Some(heartbeat)) => {
            ExchangeOutcome::Answered(heartbeat.agent_epoch, heartbeat.heartbeat_sequence)
        }
    }
}

/// The commands that may be sent directly. Only the response to a heartbeat may forget an attempt
/// or restart one that waited alone, since direct commands may arrive minutes late.
fn without_forgotten(mut commands: Vec<WorkerCommand>) -> Vec<WorkerCommand> {
    let forgotten: HashSet<(TaskId, Attempt)> = commands
        .iter()
        .filter_map(|command| match command {
            WorkerCommand::Forget { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        })
        .collect();
    commands.retain(|command| match command {
        WorkerCommand::Forget { .. } => false,
        WorkerCommand::Start { task, attempt } => !forgotten.contains(&(task.clone(), *attempt)),
        WorkerCommand::Stop { .. } => true,
    });
    commands
}
