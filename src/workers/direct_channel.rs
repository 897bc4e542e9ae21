//! The exchange of direct commands with one worker, and the starts that may still be in flight to it.

use rustc_hash::FxHashSet as HashSet;

use super::wire::WorkerCommand;
use crate::types::{AgentEpoch, Attempt, ExchangeId, FencingToken, Millis, TaskId};

/// The most starts to a worker that may be unacknowledged. The worker lists the attempt of each until its
/// token or agent epoch changes, and its heartbeat must not exceed 64 KiB.
pub const MAX_UNACKNOWLEDGED_STARTS: usize = 200;

/// The state of the direct commands to a worker: those sent without waiting for its heartbeat.
#[derive(Clone, Debug, Default)]
pub struct DirectChannel {
    /// The exchange in flight; there is never more than one.
    in_flight: Option<ExchangeInFlight>,
    /// When this controller last sent a request without starts, to see whether the worker responds.
    pub probed_at: Millis,
    /// More commands became due while an exchange was in flight.
    pub resend: bool,
    /// Starts that were sent under the current token and agent epoch and got no response. The network
    /// may deliver them minutes later, so the worker may execute them at any time unless it already has
    /// the attempt: such a task is not proved absent, and its attempt is not forgotten.
    pub unacknowledged_starts: HashSet<(TaskId, Attempt)>,
    valid_under: Validity,
    /// Starts in the answer to the last heartbeat. The worker's next heartbeat shows either the starts or
    /// that the answer was dropped; its response to direct commands proves neither, since it may have
    /// been written before the answer arrived.
    pub piggybacked_starts: HashSet<(TaskId, Attempt)>,
}

/// The token and agent epoch under which starts were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Validity {
    token: FencingToken,
    agent_epoch: AgentEpoch,
}

/// An exchange whose outcome is not known yet.
#[derive(Clone, Debug)]
struct ExchangeInFlight {
    exchange: ExchangeId,
    /// Its starts, without those that an earlier exchange left unacknowledged.
    starts: Vec<(TaskId, Attempt)>,
}

/// What an ended exchange leaves to its caller.
#[derive(Debug)]
pub struct EndedExchange {
    /// The starts that this exchange sent and no earlier one left unacknowledged.
    pub starts: Vec<(TaskId, Attempt)>,
    /// Whether more commands became due during the exchange.
    pub resend: bool,
}

impl DirectChannel {
    /// Whether a start may still be in flight to the worker. Does not consider whether the worker's last
    /// heartbeat shows the attempt.
    #[must_use]
    pub fn may_still_start(&self, task: &TaskId, attempt: Attempt) -> bool {
        let start = (task.clone(), attempt);
        self.unacknowledged_starts.contains(&start) || self.piggybacked_starts.contains(&start)
    }

    /// Whether a start was sent directly without a response, so that it may arrive minutes late.
    #[must_use]
    pub fn is_unacknowledged(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.unacknowledged_starts
            .contains(&(task.clone(), attempt))
    }

    /// Sets the token and agent epoch of all further commands. The worker refuses starts of an earlier
    /// token or agent epoch whenever they arrive, so the records of these starts are dropped.
    pub fn set_validity(&mut self, token: FencingToken, agent_epoch: AgentEpoch) {
        let validity = Validity { token, agent_epoch };
        if self.valid_under != validity {
            self.valid_under = validity;
            self.unacknowledged_starts.clear();
            self.piggybacked_starts.clear();
        }
    }

    /// Whether an exchange is in flight.
    #[must_use]
    pub fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Removes the starts from `commands` that would exceed [`MAX_UNACKNOWLEDGED_STARTS`]: they are left to
    /// the answer to the next heartbeat, after which none of them can arrive late.
    pub fn remove_excess_starts(&self, commands: &mut Vec<WorkerCommand>) {
        let mut free = MAX_UNACKNOWLEDGED_STARTS.saturating_sub(self.unacknowledged_starts.len());
        commands.retain(|command| {
            let WorkerCommand::Start { task, attempt } = command else {
                return true;
            };
            if self.is_unacknowledged(task, *attempt) {
                return true;
            }
            let fits = free > 0;
            free -= usize::from(fits);
            fits
        });
    }

    /// Begins an exchange that sends commands.
    pub fn begin(&mut self, exchange: ExchangeId, commands: &[WorkerCommand]) {
        self.resend = false;
        let unacknowledged_starts = &mut self.unacknowledged_starts;
        let starts = starts(commands)
            // A start that an earlier exchange left unacknowledged stays unacknowledged, even if this
            // exchange is answered.
            .filter(|start| unacknowledged_starts.insert(start.clone()))
            .collect();
        self.in_flight = Some(ExchangeInFlight { exchange, starts });
    }

    /// Begins an exchange that starts nothing.
    pub fn begin_without_starts(&mut self, exchange: ExchangeId, now: Millis) {
        self.probed_at = now;
        let starts = Vec::new();
        self.in_flight = Some(ExchangeInFlight { exchange, starts });
    }

    /// Ends an exchange, whether or not the worker responded. Returns none for an exchange that is not in
    /// flight: it began before the machine was dropped from view and seen again, and its outcome says
    /// nothing about the starts of later exchanges.
    pub fn end(&mut self, exchange: ExchangeId) -> Option<EndedExchange> {
        let ended = self
            .in_flight
            .take_if(|in_flight| in_flight.exchange == exchange)?;
        Some(EndedExchange {
            starts: ended.starts,
            resend: std::mem::take(&mut self.resend),
        })
    }

    /// Records that the worker responded to these starts, so that none of them can arrive late.
    pub fn acknowledge(&mut self, starts: &[(TaskId, Attempt)]) {
        for start in starts {
            self.unacknowledged_starts.remove(start);
        }
    }
}

/// The attempts that commands start.
pub fn starts(commands: &[WorkerCommand]) -> impl Iterator<Item = (TaskId, Attempt)> + '_ {
    commands.iter().filter_map(|command| match command {
        WorkerCommand::Start { task, attempt } => Some((task.clone(), *attempt)),
        _ => None,
    })
}

#[cfg(test)]
mod tests;
