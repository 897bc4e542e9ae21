//! A monotonic clock in milliseconds.

use tokio::time::Instant;

use crate::types::Millis;

/// A monotonic clock. Copies share its start, and so show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock, which reads one millisecond now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the time since the start plus one millisecond: many users of the time take zero to mean "never".
    #[must_use]
    pub fn now(self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64 + 1)
    }
}
