//! Identifiers, versions, times and resources: small types that every part of the daemon shares.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Makes the debug form of a type the same as its displayed form, so that log lines show plain names.
macro_rules! debug_as_display {
    ($name:ident) => {
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }
    };
}

/// Defines a string type that is cheap to clone, written as a string on the wire and in records.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The text as it is written on the wire and in records.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.to_string()
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        debug_as_display!($name);
    };
}

name_type!(
    /// A job's id, chosen by the user who submits it, such as `job-000412`. Conversions from text don't check the
    /// format: [`JobId::well_formed`] does.
    JobId
);
name_type!(
    /// A machine's name in the cloud, such as `vm-000231`.
    MachineId
);
name_type!(
    /// A controller's label, as in the deploy file.
    ControllerId
);
name_type!(
    /// A zone of the cloud.
    Zone
);
name_type!(
    /// A machine type that the cloud offers.
    MachineTypeId
);
name_type!(
    /// A team of users, with its own quota.
    Team
);
name_type!(
    /// The image that a job's tasks run.
    Image
);

impl JobId {
    /// Whether `text` is a job id: `job-` and one to eighteen digits.
    #[must_use]
    pub fn well_formed(text: &str) -> bool {
        text.strip_prefix("job-").is_some_and(|digits| {
            (1..=18).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
        })
    }
}

/// Defines a number that counts or identifies something, written as a number on the wire and in records.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);
    };
}

number_type!(
    /// A revision of the key-value store, which counts its changes. The version of a record is the revision of
    /// its last change.
    Revision
);
number_type!(
    /// A shard's fencing token, the revision at which its holder was written. Workers reject commands
    /// under a token lower than the highest that they have seen.
    FencingToken
);
number_type!(
    /// A fencing token as workers see it: twice the fencing token, and one more while its holder is in
    /// partition mode.
    WorkerToken
);
number_type!(
    /// Identifies a lease in the key-value store.
    LeaseId
);
number_type!(
    /// The number of an attempt to run a task, from one; zero: none yet. All tasks of a gang that start together
    /// share it.
    Attempt
);
number_type!(
    /// The incarnation of a worker's agent, which changes when the agent restarts.
    AgentEpoch
);
number_type!(
    /// Identifies a request that waits for its response.
    ReplyId
);
number_type!(
    /// Identifies an exchange of direct commands with a worker, among all of a controller's process.
    ExchangeId
);
number_type!(
    /// Identifies a transaction in flight.
    TxnId
);

impl WorkerToken {
    /// The token of a holder in contact with the store.
    #[must_use]
    pub fn connected(token: FencingToken) -> Self {
        Self(token.0 * 2)
    }

    /// The token of a holder in partition mode: higher than [`WorkerToken::connected`] the same fencing token, and
    /// lower than any form of a later one.
    #[must_use]
    pub fn partitioned(token: FencingToken) -> Self {
        Self(token.0 * 2 + 1)
    }

    /// The fencing token that this token was derived from.
    #[must_use]
    pub fn fencing_token(self) -> FencingToken {
        FencingToken(self.0 / 2)
    }

    /// Whether the holder was in partition mode.
    #[must_use]
    pub fn is_partitioned(self) -> bool {
        self.0 % 2 == 1
    }
}

/// Milliseconds, as a time of this process's monotonic clock or as a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts seconds, rounded down to whole milliseconds; negative values become zero.
    #[must_use]
    pub fn from_secs(seconds: f64) -> Self {
        Self((seconds.max(0.0) * 1000.0) as u64)
    }

    /// The time since `earlier`; zero if `earlier` is later than this time.
    #[must_use]
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// The value in seconds.
    #[must_use]
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add for Millis {
    type Output = Millis;
    fn add(self, other: Millis) -> Millis {
        Millis(self.0 + other.0)
    }
}

/// Saturates at zero.
impl Sub for Millis {
    type Output = Millis;
    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}

/// One task of a job, written `job-000412/3` on the wire.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The task's job.
    pub job: JobId,
    /// The task's index within the job, from zero.
    pub index: u32,
}

impl TaskId {
    /// Parses the form on the wire; `None` if the job id is not well formed or the index is not a number.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        JobId::well_formed(job).then_some(())?;
        Some(Self {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

debug_as_display!(TaskId);

/// A shard, written `a.0`: a part of a zone's machines. One controller at a time holds it and places tasks on its
/// machines.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardId {
    /// The zone of the shard's machines.
    pub zone: Zone,
    /// The index of the shard within the zone, from zero.
    pub index: u32,
}

impl ShardId {
    /// Parses the form in which shards are written in keys and messages; `None` if there is no dot or no index
    /// after it.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (zone, index) = text.rsplit_once('.')?;
        Some(Self {
            zone: zone.into(),
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.zone, self.index)
    }
}

debug_as_display!(ShardId);

/// Amounts of resources: what a task requests, or what a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

/// Tolerance in comparisons of amounts, since sums of decimal fractions are not exact.
const TOLERANCE: f64 = 1e-6;

/// The result of [`Resources::fit_count`] for a request of nothing. Half of the largest number, so that the sum of two
/// counts does not overflow.
const UNLIMITED_COUNT: u32 = u32::MAX / 2;

impl Resources {
    /// Whether a request for these resources can be met by `available`.
    #[must_use]
    pub fn fits_in(self, available: Resources) -> bool {
        self.cpus <= available.cpus + TOLERANCE
            && self.gpus <= available.gpus + TOLERANCE
            && self.memory_gb <= available.memory_gb + TOLERANCE
    }

    /// The sum of the two amounts of each resource.
    #[must_use]
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }

    /// The difference of the two amounts of each resource, which may be negative.
    #[must_use]
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory_gb: self.memory_gb - other.memory_gb,
        }
    }

    /// The resources of `count` such tasks.
    #[must_use]
    pub fn times(self, count: f64) -> Resources {
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }

    /// How many tasks fit that request `request` each; a very large number if they request nothing.
    #[must_use]
    pub fn fit_count(self, request: Resources) -> u32 {
        [
            (self.cpus, request.cpus),
            (self.gpus, request.gpus),
            (self.memory_gb, request.memory_gb),
        ]
        .into_iter()
        .filter(|(_, requested)| *requested > 0.0)
        .map(|(available, requested)| ((available + TOLERANCE) / requested).max(0.0) as u32)
        .min()
        .unwrap_or(UNLIMITED_COUNT)
    }

    /// The dominant share in `capacity`: the largest of the fractions of CPUs, GPUs and memory. A resource of which
    /// `capacity` has none is ignored.
    #[must_use]
    pub fn dominant_share(self, capacity: Resources) -> f64 {
        [
            (self.cpus, capacity.cpus),
            (self.gpus, capacity.gpus),
            (self.memory_gb, capacity.memory_gb),
        ]
        .into_iter()
        .filter(|(_, capacity)| *capacity > 0.0)
        .map(|(requested, capacity)| requested / capacity)
        .fold(0.0, f64::max)
    }
}
