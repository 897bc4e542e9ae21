//! The exchange of direct commands with one worker, and the starts that may still be in flight to it.

use rustc_hash::FxHashSet as HashSet;

use super::wire::WorkerCommand;
use crate::types::{AgentEpoch, Attempt, FencingToken, Millis, TaskId};

/// The state of the direct commands to a worker: those sent without waiting for its heartbeat.
#[derive(Clone, Debug, Default)]
pub struct DirectChannel {
    /// An exchange is in flight; there is never more than one.
    pub in_flight: bool,
    /// When this controller last sent a request without starts, to see whether the worker responds.
    pub probed_at: Millis,
    /// More commands became due while an exchange was in flight.
    pub resend: bool,
    /// Starts that were sent under the current token and agent epoch and got no response. The network
    /// may deliver them minutes later, so the worker may execute them at any time unless it already has
    /// the attempt: such a task is not proved absent, and its attempt is not forgotten.
    pub unacknowledged_starts: HashSet<(TaskId, Attempt)>,
    valid_under: Validity,
    /// Starts of the exchange in flight, without those that an earlier exchange left unacknowledged.
    in_flight_starts: Vec<(TaskId, Attempt)>,
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

    /// Begins an exchange that sends commands.
    pub fn begin(&mut self, commands: &[WorkerCommand]) {
        self.in_flight = true;
        self.resend = false;
        let unacknowledged_starts = &mut self.unacknowledged_starts;
        self.in_flight_starts = starts(commands)
            // A start that an earlier exchange left unacknowledged stays unacknowledged, even if this
            // exchange is answered.
            .filter(|start| unacknowledged_starts.insert(start.clone()))
            .collect();
    }

    /// Begins an exchange that starts nothing.
    pub fn begin_without_starts(&mut self, now: Millis) {
        self.in_flight = true;
        self.probed_at = now;
        self.in_flight_starts.clear();
    }

    /// Ends the exchange in flight, whether or not the worker responded.
    pub fn end(&mut self) -> EndedExchange {
        self.in_flight = false;
        EndedExchange {
            starts: std::mem::take(&mut self.in_flight_starts),
            resend: std::mem::take(&mut self.resend),
        }
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
