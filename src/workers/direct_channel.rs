//! The exchange of direct commands with one worker, and the starts that may still be on their way.

use rustc_hash::FxHashSet as HashSet;

use super::wire::WorkerCommand;
use crate::types::{AgentEpoch, Attempt, FencingToken, Millis, TaskId};

/// Commands sent to a worker without waiting for its heartbeat.
#[derive(Clone, Debug, Default)]
pub struct DirectChannel {
    /// An exchange is under way; there is never more than one.
    pub in_flight: bool,
    /// When we last sent commands that start nothing, to see whether the worker answers.
    pub probed_at: Millis,
    /// More commands became due while an exchange was under way.
    pub resend: bool,
    /// Starts that were sent under this token and agent epoch and got no answer. The network may
    /// deliver them minutes later, so the worker may start these at any time, unless it has
    /// the attempt already: such a task is not proved absent, and its attempt not forgotten.
    pub unacknowledged_starts: HashSet<(TaskId, Attempt)>,
    valid_under: Validity,
    /// Starts of the exchange that is under way, without those that an earlier one left unacknowledged.
    in_flight_starts: Vec<(TaskId, Attempt)>,
    /// Starts in the answer to the last heartbeat. The worker's next heartbeat shows them, or that
    /// the answer was dropped; its answer to direct commands proves neither, since it may have been
    /// written before the heartbeat's answer came.
    pub piggybacked_starts: HashSet<(TaskId, Attempt)>,
}

/// The token and agent epoch under which starts were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Validity {
    token: FencingToken,
    agent_epoch: AgentEpoch,
}

/// The result of an exchange that has ended.
#[derive(Debug)]
pub struct EndedExchange {
    /// The starts that it sent for the first time.
    pub starts: Vec<(TaskId, Attempt)>,
    /// Whether more commands became due meanwhile.
    pub resend: bool,
}

impl DirectChannel {
    /// Whether a start may be on its way to the worker, unless its last heartbeat shows it.
    #[must_use]
    pub fn may_still_start(&self, task: &TaskId, attempt: Attempt) -> bool {
        let start = (task.clone(), attempt);
        self.unacknowledged_starts.contains(&start) || self.piggybacked_starts.contains(&start)
    }

    /// Whether a start was sent directly and may come minutes late.
    #[must_use]
    pub fn is_unacknowledged(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.unacknowledged_starts
            .contains(&(task.clone(), attempt))
    }

    /// Sets the token and agent epoch of what is sent from now on. The worker refuses starts of an
    /// earlier token or agent epoch whenever they come, so these are dropped here.
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
            // A start that an earlier exchange left unacknowledged stays so, whether or not this one is answered.
            .filter(|start| unacknowledged_starts.insert(start.clone()))
            .collect();
    }

    /// Begins an exchange that starts nothing.
    pub fn begin_without_starts(&mut self, now: Millis) {
        self.in_flight = true;
        self.probed_at = now;
        self.in_flight_starts.clear();
    }

    /// Ends the exchange that is under way, answered or not.
    pub fn end(&mut self) -> EndedExchange {
        self.in_flight = false;
        EndedExchange {
            starts: std::mem::take(&mut self.in_flight_starts),
            resend: std::mem::take(&mut self.resend),
        }
    }

    /// Records that the worker answered these starts, so that none of them can arrive late.
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
