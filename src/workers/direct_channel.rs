//! The exchange of direct commands with one worker, and the starts that may arrive there again.

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

use super::ReportedAttempts;
use super::wire::WorkerCommand;
use crate::types::{AgentEpoch, Attempt, ExchangeId, Millis, TaskId, WorkerToken};

/// The most attempts of a worker that may be unfenced. The worker lists each of them until it has seen a higher
/// token, and its heartbeat must not exceed 64 KiB.
pub const MAX_UNFENCED_STARTS: usize = 200;

/// The state of the direct commands to a worker: those sent without waiting for its heartbeat.
#[derive(Clone, Debug, Default)]
pub struct DirectChannel {
    /// The exchange in flight; there is never more than one.
    in_flight: Option<ExchangeInFlight>,
    /// When this controller last sent a request without starts, to see whether the worker responds.
    pub probed_at: Millis,
    /// More commands became due while an exchange was in flight.
    pub resend: bool,
    /// Attempts whose start was sent directly, answered or not, and may be carried out by the worker whenever it
    /// does not know the attempt: the network may deliver the request minutes later, and more than once.
    unfenced_starts: HashMap<(TaskId, Attempt), DirectStart>,
    /// Starts in the answer to the last heartbeat.
    pub piggybacked: PiggybackedStarts,
    /// The highest token under which starts may reach the worker although it has lost its memory of them.
    exposed_under: Option<WorkerToken>,
    /// The newest reply of a worker whose counters were reset, as long as its replies look old.
    newest_after_reset: Option<(AgentEpoch, u64)>,
}

/// How a start was sent directly. The worker refuses it once it has seen a higher token or begun a later agent
/// epoch.
#[derive(Clone, Copy, Debug)]
struct DirectStart {
    /// The highest token that it was sent under.
    worker_token: WorkerToken,
    /// The agent epoch that it was sent for.
    agent_epoch: AgentEpoch,
    /// The worker has answered a request with this start.
    answered: bool,
}

impl DirectStart {
    /// Whether a worker that shows this token and agent epoch refuses the start.
    fn is_fenced(self, shown: WorkerToken, agent_epoch: AgentEpoch) -> bool {
        self.worker_token < shown || self.agent_epoch < agent_epoch
    }
}

/// Starts in the answer to a heartbeat. The worker's next heartbeat shows either the starts or that the answer was
/// dropped; its response to direct commands proves neither, since it may have been written before the answer
/// arrived. A worker drops an answer that is late, so none of them can arrive after that.
#[derive(Clone, Debug, Default)]
pub struct PiggybackedStarts {
    /// The attempts that the answer starts.
    pub starts: HashSet<(TaskId, Attempt)>,
    /// The token of the answer.
    pub worker_token: WorkerToken,
    /// The agent epoch of the heartbeat that was answered.
    pub agent_epoch: AgentEpoch,
}

/// An exchange whose outcome is not known yet.
#[derive(Clone, Debug)]
struct ExchangeInFlight {
    exchange: ExchangeId,
    worker_token: WorkerToken,
    /// The attempts that it starts.
    starts: Vec<(TaskId, Attempt)>,
    /// Those of `starts` that were not unfenced before.
    new_starts: Vec<(TaskId, Attempt)>,
    /// The agent epoch and sequence number of the newest heartbeat known when it began. The reply is newer.
    known_heartbeat: (AgentEpoch, u64),
}

/// What an exchange sends, and what was known of the worker when it began.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeStart {
    /// Identifies the exchange.
    pub exchange: ExchangeId,
    /// The token that fences its commands.
    pub worker_token: WorkerToken,
    /// The only agent epoch in which the worker accepts its commands.
    pub agent_epoch: AgentEpoch,
    /// The sequence number of the newest known heartbeat.
    pub heartbeat_sequence: u64,
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// Nothing was sent.
    NotSent,
    /// The worker did not answer: its commands may have been carried out, or may be at any time.
    Unanswered,
    /// The worker answered with this agent epoch and heartbeat sequence.
    Answered(AgentEpoch, u64),
}

impl DirectChannel {
    /// Whether a start may still be carried out by the worker, if it does not know the attempt.
    #[must_use]
    pub fn may_still_start(&self, task: &TaskId, attempt: Attempt) -> bool {
        let start = (task.clone(), attempt);
        self.unfenced_starts.contains_key(&start) || self.piggybacked.starts.contains(&start)
    }

    /// Whether a start was sent directly and the worker has not been seen to refuse it by now. Such an attempt must
    /// not be forgotten, and its absence proves nothing.
    #[must_use]
    pub fn is_unfenced(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.unfenced_starts.contains_key(&(task.clone(), attempt))
    }

    /// The number of attempts that must not be forgotten.
    #[must_use]
    pub fn unfenced_count(&self) -> usize {
        self.unfenced_starts.len()
    }

    /// The number of attempts that only a token above `worker_token` fences.
    #[must_use]
    pub fn unfenced_under(&self, worker_token: WorkerToken) -> usize {
        let starts = self.unfenced_starts.values();
        starts
            .filter(|start| start.worker_token >= worker_token)
            .count()
    }

    /// Whether the worker must see a token above `worker_token`, because starts under that token may reach it though
    /// it has lost its memory of them.
    #[must_use]
    pub fn is_exposed_under(&self, worker_token: WorkerToken) -> bool {
        self.exposed_under
            .is_some_and(|exposed| exposed >= worker_token)
    }

    /// Whether the worker was found without memory of starts, and has not shown a higher token since.
    #[must_use]
    pub fn is_exposed(&self) -> bool {
        self.exposed_under.is_some()
    }

    /// Applies the token, the agent epoch and the attempts that the worker showed: it refuses starts that were sent
    /// under a lower token or for an earlier agent epoch, whenever they arrive.
    pub fn observe(
        &mut self,
        shown: WorkerToken,
        agent_epoch: AgentEpoch,
        reported: &ReportedAttempts,
    ) {
        self.unfenced_starts
            .retain(|_, start| !start.is_fenced(shown, agent_epoch));
        let piggybacked = &mut self.piggybacked;
        if piggybacked.worker_token < shown || piggybacked.agent_epoch != agent_epoch {
            piggybacked.starts.clear();
        }
        self.exposed_under.take_if(|exposed| *exposed < shown);
        let exposed = self.starts_without_memory(agent_epoch, reported);
        self.exposed_under = self.exposed_under.max(exposed);
    }

    /// The highest token under which a start was sent of which the worker has lost its memory: it lists what it
    /// started until it is told to forget it, which it is not. After a reset it may reach the agent epoch of a start
    /// again.
    fn starts_without_memory(
        &self,
        agent_epoch: AgentEpoch,
        reported: &ReportedAttempts,
    ) -> Option<WorkerToken> {
        let is_lost = |((task, attempt), start): &(&(TaskId, Attempt), &DirectStart)| {
            let was_known = start.answered || start.agent_epoch > agent_epoch;
            was_known && reported.get(task, *attempt).is_none()
        };
        let lost = self.unfenced_starts.iter().filter(is_lost);
        lost.map(|(_, start)| start.worker_token).max()
    }

    /// Keeps what must not be forgotten while the machine is dropped from view.
    #[must_use]
    pub fn without_exchange(mut self) -> Self {
        self.in_flight = None;
        self
    }

    /// Whether an exchange is in flight.
    #[must_use]
    pub fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Removes the starts from `commands` that would exceed [`MAX_UNFENCED_STARTS`]: they are left to the answer to
    /// the next heartbeat, after which none of them can arrive late. Returns how many were removed.
    pub fn remove_excess_starts(&self, commands: &mut Vec<WorkerCommand>) -> usize {
        let mut free = MAX_UNFENCED_STARTS.saturating_sub(self.unfenced_starts.len());
        let before = commands.len();
        commands.retain(|command| {
            let WorkerCommand::Start { task, attempt } = command else {
                return true;
            };
            if self.is_unfenced(task, *attempt) {
                return true;
            }
            let fits = free > 0;
            free -= usize::from(fits);
            fits
        });
        before - commands.len()
    }

    /// Begins an exchange that sends commands, or none.
    pub fn begin(&mut self, start: ExchangeStart, commands: &[WorkerCommand]) {
        let mut new_starts = Vec::new();
        let sent = DirectStart {
            worker_token: start.worker_token,
            agent_epoch: start.agent_epoch,
            answered: false,
        };
        let starts: Vec<_> = starts(commands).collect();
        for attempt in &starts {
            match self.unfenced_starts.get_mut(attempt) {
                Some(known) => known.worker_token = known.worker_token.max(start.worker_token),
                None => {
                    self.unfenced_starts.insert(attempt.clone(), sent);
                    new_starts.push(attempt.clone());
                }
            }
        }
        self.in_flight = Some(ExchangeInFlight {
            exchange: start.exchange,
            worker_token: start.worker_token,
            starts,
            new_starts,
            known_heartbeat: (start.agent_epoch, start.heartbeat_sequence),
        });
    }

    /// Ends an exchange. Returns whether more commands became due during it; `None` for an exchange that is not in
    /// flight: it began before the machine was dropped from view and seen again, and its outcome says nothing about
    /// later exchanges.
    pub fn end(&mut self, exchange: ExchangeId, outcome: ExchangeOutcome) -> Option<bool> {
        let ended = self
            .in_flight
            .take_if(|in_flight| in_flight.exchange == exchange)?;
        match outcome {
            ExchangeOutcome::NotSent => {
                for attempt in &ended.new_starts {
                    self.unfenced_starts.remove(attempt);
                }
            }
            ExchangeOutcome::Unanswered => {}
            ExchangeOutcome::Answered(agent_epoch, sequence) => {
                self.detect_reset((agent_epoch, sequence), &ended);
                for attempt in &ended.starts {
                    if let Some(start) = self.unfenced_starts.get_mut(attempt) {
                        start.answered = true;
                    }
                }
            }
        }
        Some(std::mem::take(&mut self.resend))
    }

    /// A reply that is no newer than what was known before its exchange began shows that the worker's counters were
    /// reset, and with them the highest token that it has seen.
    fn detect_reset(&mut self, reply: (AgentEpoch, u64), exchange: &ExchangeInFlight) {
        if reply > exchange.known_heartbeat {
            self.newest_after_reset = None;
            return;
        }
        let known_reset = self.newest_after_reset.replace(reply);
        if known_reset.is_none_or(|newest| reply <= newest) {
            self.exposed_under = self.exposed_under.max(Some(exchange.worker_token));
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
