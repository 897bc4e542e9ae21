//! The steady clock of this process.

use tokio::time::Instant;

use crate::types::Millis;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    pub fn now(self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64 + 1)
    }
}
