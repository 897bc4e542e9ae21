//! Capacity levels: machines of a group with the same available resources are equivalent to a cycle.

use std::cmp::Ordering;

use crate::types::Resources;

/// The properties of a machine that matter to a cycle, except for its images.
#[derive(Clone, Copy, Debug)]
pub struct CapacityLevel {
    available: Resources,
    /// Allocated to tasks that urgent work can preempt at little loss.
    preemptible: Resources,
    /// Number of images that are being fetched: a further fetch has to share the rate.
    fetches: usize,
}

/// Steps in one unit of a resource (core, GPU, GB). Amounts are rounded to steps, so that sums
/// which differ in their last bits are one level.
const STEPS_PER_UNIT: f64 = 1e4;

fn rounded(resources: Resources) -> Resources {
    // Adding zero makes a negative zero a positive one.
    let round = |amount: f64| (amount * STEPS_PER_UNIT).round() / STEPS_PER_UNIT + 0.0;
    Resources {
        cpus: round(resources.cpus),
        gpus: round(resources.gpus),
        memory_gb: round(resources.memory_gb),
    }
}

impl CapacityLevel {
    /// The level of a machine with these available resources, these resources allocated to tasks that
    /// can be preempted at little loss, and this number of fetches in progress.
    pub fn new(available: Resources, preemptible: Resources, fetches: usize) -> Self {
        Self {
            available: rounded(available),
            preemptible: rounded(preemptible),
            fetches,
        }
    }

    /// The resources that are available on machines of this level, rounded.
    pub fn available(self) -> Resources {
        self.available
    }

    /// The least level at which these resources may be available, in the order by GPUs first.
    pub(super) fn least_fitting(resources: Resources) -> Self {
        Self {
            available: Resources {
                cpus: f64::NEG_INFINITY,
                gpus: resources.gpus - 1.0 / STEPS_PER_UNIT,
                memory_gb: f64::NEG_INFINITY,
            },
            preemptible: Resources::default(),
            fetches: 0,
        }
    }

    /// The amounts in the order in which levels are compared.
    fn amounts(&self) -> [f64; 6] {
        let (available, preemptible) = (self.available, self.preemptible);
        [
            available.gpus,
            available.cpus,
            available.memory_gb,
            preemptible.gpus,
            preemptible.cpus,
            preemptible.memory_gb,
        ]
    }
}

/// GPUs are compared first: levels with too few of them are skipped as a range.
impl Ord for CapacityLevel {
    fn cmp(&self, other: &Self) -> Ordering {
        let pairs = self.amounts().into_iter().zip(other.amounts());
        let mut orders = pairs.map(|(own, others)| own.total_cmp(&others));
        let first_difference = orders.find(|order| order.is_ne());
        first_difference.unwrap_or_else(|| self.fetches.cmp(&other.fetches))
    }
}

impl PartialOrd for CapacityLevel {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for CapacityLevel {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for CapacityLevel {}
