//! Amounts of the resources that quotas govern.

use serde::{Deserialize, Serialize};

/// Tolerance of comparisons, in CPUs or GPUs: sums of decimal amounts carry rounding errors.
pub(crate) const TOLERANCE: f64 = 1e-6;

/// A number of CPUs and a number of GPUs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
}

impl Amount {
    /// No CPUs and no GPUs.
    pub const ZERO: Amount = Amount {
        cpus: 0.0,
        gpus: 0.0,
    };

    /// The amount with these numbers of CPUs and GPUs.
    #[must_use]
    pub fn new(cpus: f64, gpus: f64) -> Self {
        Self { cpus, gpus }
    }

    /// CPUs and GPUs, in this order, for loops over the kinds of resources.
    #[must_use]
    pub fn to_array(self) -> [f64; 2] {
        [self.cpus, self.gpus]
    }

    fn zip(self, other: Amount, combine: impl Fn(f64, f64) -> f64) -> Amount {
        Amount {
            cpus: combine(self.cpus, other.cpus),
            gpus: combine(self.gpus, other.gpus),
        }
    }

    /// Adds another amount.
    #[must_use]
    pub fn plus(self, other: Amount) -> Amount {
        self.zip(other, |a, b| a + b)
    }

    /// Subtracts another amount; each kind of resource is at least 0 in the result.
    #[must_use]
    pub fn minus(self, other: Amount) -> Amount {
        self.zip(other, |a, b| (a - b).max(0.0))
    }

    /// Both numbers multiplied by a factor.
    #[must_use]
    pub fn times(self, factor: f64) -> Amount {
        self.zip(self, |a, _| a * factor)
    }

    /// The smaller of both, for each kind of resource.
    #[must_use]
    pub fn min(self, other: Amount) -> Amount {
        self.zip(other, f64::min)
    }

    /// Whether the amount has neither CPUs nor GPUs; negative numbers count as none.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self.cpus <= 0.0 && self.gpus <= 0.0
    }

    /// The amount reduced to a limit for each kind of resource; 0 in `limit` means no limit.
    #[must_use]
    pub fn capped(self, limit: Amount) -> Amount {
        self.zip(limit, |amount, limit| {
            if limit > 0.0 {
                amount.min(limit)
            } else {
                amount
            }
        })
    }

    /// The tighter of two limits for each kind of resource; 0 means no limit.
    #[must_use]
    pub fn tighter(self, other: Amount) -> Amount {
        self.zip(other, |a, b| match (a > 0.0, b > 0.0) {
            (true, true) => a.min(b),
            (true, false) => a,
            (false, _) => b,
        })
    }
}
