//! Amounts of what quotas govern.

use serde::{Deserialize, Serialize};

/// Sums of decimal amounts are compared with this much slack.
pub const SLACK: f64 = 1e-6;

/// CPUs and GPUs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    pub cpus: f64,
    pub gpus: f64,
}

impl Amount {
    pub const ZERO: Amount = Amount {
        cpus: 0.0,
        gpus: 0.0,
    };

    pub fn new(cpus: f64, gpus: f64) -> Self {
        Self { cpus, gpus }
    }

    pub fn each(self) -> [f64; 2] {
        [self.cpus, self.gpus]
    }

    fn zip(self, other: Amount, f: impl Fn(f64, f64) -> f64) -> Amount {
        Amount {
            cpus: f(self.cpus, other.cpus),
            gpus: f(self.gpus, other.gpus),
        }
    }

    pub fn plus(self, other: Amount) -> Amount {
        self.zip(other, |a, b| a + b)
    }

    /// What is left of it, at least nothing.
    pub fn minus(self, other: Amount) -> Amount {
        self.zip(other, |a, b| (a - b).max(0.0))
    }

    pub fn times(self, factor: f64) -> Amount {
        self.zip(self, |a, _| a * factor)
    }

    pub fn least(self, other: Amount) -> Amount {
        self.zip(other, f64::min)
    }

    pub fn is_zero(self) -> bool {
        self.cpus <= 0.0 && self.gpus <= 0.0
    }

    /// The smaller of it and a limit, of which 0 means none.
    pub fn capped(self, limit: Amount) -> Amount {
        self.zip(limit, |a, most| if most > 0.0 { a.min(most) } else { a })
    }

    /// The tighter of two limits, of which 0 means none.
    pub fn tighter(self, other: Amount) -> Amount {
        self.zip(other, |a, b| match (a > 0.0, b > 0.0) {
            (true, true) => a.min(b),
            (true, false) => a,
            (false, _) => b,
        })
    }
}
