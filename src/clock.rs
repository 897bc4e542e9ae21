//! The monotonic clock of this process.

use tokio::time::Instant;

use crate::types::Millis;

/// A monotonic clock that starts with the process. Copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// The time since the start plus one millisecond, since zero means "never" in many places.
    #[must_use]
    pub fn now(self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64 + 1)
    }
}
