//! Commands that a worker gets without waiting for its next heartbeat, and its replies to them.

use std::net::SocketAddr;

use rustc_hash::FxHashSet as HashSet;

use crate::controller::{CommandReply, Controller, Effect};
use crate::queue::ClusterEvent;
use crate::types::{Attempt, ExchangeId, FencingToken, MachineId, TaskId};
use crate::workers::Machine;
use crate::workers::wire::{Heartbeat, WorkerCommand};

/// Where commands may be sent directly, and the token that fences them.
struct DirectTarget {
    address: SocketAddr,
    token: FencingToken,
}

impl Controller {
    /// Sends a worker its starts and stops without waiting for its heartbeat.
    pub(in crate::controller) fn push_commands(&mut self, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let Some(DirectTarget { address, token }) = self.direct_target(machine) else {
            return;
        };
        let agent_epoch = machine.agent_epoch;
        let mut commands = without_forgotten(self.reconciliation_for(machine, token).commands);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.direct.set_validity(token, agent_epoch);
        machine.direct.remove_excess_starts(&mut commands);
        if commands.is_empty() || machine.direct.is_in_flight() {
            machine.direct.resend |= !commands.is_empty();
            return;
        }
        let exchange = self.contact.next_exchange();
        machine.direct.begin(exchange, &commands);
        let (machine_id, worker_token) = (machine_id.clone(), self.worker_token(token));
        self.effects.push(Effect::DirectCommands {
            machine_id,
            exchange,
            address,
            worker_token,
            agent_epoch,
            commands,
        });
    }

    /// Where to send commands directly. Only a worker that has seen this controller's token and
    /// reported very recently qualifies, since a start that remains unanswered ties its task to the
    /// machine.
    fn direct_target(&self, machine: &Machine) -> Option<DirectTarget> {
        let token = self.token_for(&machine.shard)?;
        let address = machine.address?;
        let answered_under_token = machine.last_answer.is_some_and(|(under, _)| under == token);
        let allowed = machine.worker_token.fencing_token() == token
            && self.knows_all_placements(&machine.shard)
            && answered_under_token
            && machine.reachability.is_confirmed()
            && self.now.since(machine.last_contact) <= self.heartbeat_timeout()
            && self.may_answer_heartbeats();
        allowed.then_some(DirectTarget { address, token })
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
        let ended = machine.direct.end(exchange);
        let Some(answer) = answer else { return };
        if let Some(ended) = &ended {
            machine.direct.acknowledge(&ended.starts);
        }
        let shard = machine.shard.clone();
        if let (Some(heartbeat), Some(token)) = (answer.heartbeat, self.token_for(&shard)) {
            self.apply_direct_heartbeat(machine_id, token, &heartbeat);
        }
        if ended.is_some_and(|ended| ended.resend) {
            self.push_commands(machine_id);
        }
    }

    /// Applies the heartbeat in a worker's reply to direct commands, if it is newer than the
    /// machine's known state.
    fn apply_direct_heartbeat(
        &mut self,
        machine_id: &MachineId,
        token: FencingToken,
        heartbeat: &Heartbeat,
    ) {
        let (now, silence) = (self.now, self.heartbeat_timeout());
        let unable_to_report = self.is_unable_to_report(machine_id);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if heartbeat.machine_id != *machine_id
            || heartbeat.worker_token.fencing_token() > token
            || !machine.is_newer(heartbeat.agent_epoch, heartbeat.heartbeat_sequence)
        {
            return;
        }
        let was_schedulable = machine.is_schedulable_under(token, now, silence);
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
        machine.confirm_token(token, now);
        if machine.worker_token.fencing_token() != token {
            return;
        }
        machine.direct.set_validity(token, heartbeat.agent_epoch);
        if machine.is_schedulable(now, silence) && !was_schedulable {
            self.wake_parked_jobs(ClusterEvent::MachineSchedulable(machine_id.clone()));
        }
        if unable_to_report {
            self.evacuate_unable_to_report(machine_id);
        }
        let commands = self.reconcile_machine(machine_id, token);
        if unable_to_report {
            self.send_stops_only(machine_id, token, commands);
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
