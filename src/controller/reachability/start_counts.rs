//! Periodic log line about starts that may arrive again, and what is done about them.

use crate::controller::Controller;
use crate::types::Millis;

/// Time between log lines.
const LOG_INTERVAL: Millis = Millis(10_000);

/// Counts since this process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartCounts {
    /// Starts that were sent directly.
    pub direct_starts: u64,
    /// Starts that were left to the answer to a heartbeat, since too many of the worker's were unfenced.
    pub deferred_starts: u64,
    /// Tokens of shards that this controller has raised.
    pub tokens_raised: u64,
    /// Attempts that a heartbeat showed on a machine where no record places them.
    pub unplaced_attempts: u64,
    logged_at: Millis,
}

impl Controller {
    /// Logs the counts at [`LOG_INTERVAL`], with the attempts that workers must not be told to forget.
    pub(in crate::controller) fn log_start_counts(&mut self) {
        let counts = self.contact.start_counts;
        if self.now.since(counts.logged_at) < LOG_INTERVAL {
            return;
        }
        self.contact.start_counts.logged_at = self.now;
        let (unfenced, most_on_machine) = self.unfenced_starts();
        tracing::info!(
            unfenced,
            most_on_machine,
            direct_starts = counts.direct_starts,
            deferred_starts = counts.deferred_starts,
            tokens_raised = counts.tokens_raised,
            unplaced_attempts = counts.unplaced_attempts,
            "direct starts"
        );
    }

    /// The attempts that workers must not be told to forget: their number, and the most of one worker.
    fn unfenced_starts(&self) -> (u64, u64) {
        let machines = self.machines.values();
        let counts = machines.map(|machine| machine.direct.unfenced_count() as u64);
        counts.fold((0, 0), |(sum, most), count| (sum + count, most.max(count)))
    }

    /// The counts since this process began.
    #[must_use]
    pub fn start_counts(&self) -> StartCounts {
        self.contact.start_counts
    }

    /// The counts with their names, and the attempts that must not be forgotten, for tables.
    #[must_use]
    pub fn direct_start_rows(&self) -> [(&'static str, u64); 6] {
        let counts = &self.contact.start_counts;
        let (unfenced, most_on_machine) = self.unfenced_starts();
        [
            ("direct starts", counts.direct_starts),
            ("deferred starts", counts.deferred_starts),
            ("tokens raised", counts.tokens_raised),
            ("unplaced attempts", counts.unplaced_attempts),
            ("unfenced starts", unfenced),
            ("most unfenced starts of a machine", most_on_machine),
        ]
    }
}
