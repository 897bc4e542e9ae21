//! Small types for ids, versions and times, shared by every slice.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
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
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// A job's id as its user chose it, such as `job-000412`.
    JobId
);
name_type!(
    /// A machine's name in the cloud, such as `vm-000231`.
    MachineId
);
name_type!(
    /// The label of a controller.
    ControllerId
);
name_type!(
    /// A zone.
    Zone
);
name_type!(
    /// A machine type.
    MachineTypeId
);
name_type!(
    /// A team.
    Team
);
name_type!(
    /// An image.
    Image
);

impl JobId {
    /// The form every id has: `job-` and one to eighteen digits.
    pub fn well_formed(text: &str) -> bool {
        text.strip_prefix("job-").is_some_and(|digits| {
            (1..=18).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
        })
    }
}

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
    /// A revision of the state service; the version of a key is the revision of its last change.
    Revision
);
number_type!(
    /// What entitles a holder to command a machine: the revision at which its shard was taken.
    FencingToken
);
number_type!(
    /// What workers see of a token: twice the token, and one more while its holder keeps machines
    /// alive that are cut off together with it.
    WorkerToken
);
number_type!(
    /// A lease of the state service.
    LeaseId
);
number_type!(
    /// One start of a task; shared by all tasks of a gang that start together.
    Attempt
);
number_type!(
    /// A worker's agent epoch.
    AgentEpoch
);
number_type!(
    /// Names a request whose answer is still owed.
    ReplyId
);
number_type!(
    /// Names a transaction in flight.
    TxnId
);

impl WorkerToken {
    pub fn of(token: FencingToken) -> Self {
        Self(token.0 * 2)
    }

    /// Obeyed after `of` the same token, and before any later one.
    pub fn partitioned(token: FencingToken) -> Self {
        Self(token.0 * 2 + 1)
    }

    pub fn token(self) -> FencingToken {
        FencingToken(self.0 / 2)
    }

    pub fn is_partitioned(self) -> bool {
        self.0 % 2 == 1
    }
}

/// Milliseconds of this process's steady clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Millis(pub u64);

impl Millis {
    pub fn from_secs(seconds: f64) -> Self {
        Self((seconds.max(0.0) * 1000.0) as u64)
    }

    /// Time since `earlier`, or zero.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

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

impl Sub for Millis {
    type Output = Millis;
    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}

/// One task of a job, written `job-000412/3` on the wire.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
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

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A shard of machines: a part of one zone that one controller at a time places in.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardId {
    pub zone: Zone,
    pub part: u32,
}

impl ShardId {
    pub fn parse(text: &str) -> Option<Self> {
        let (zone, part) = text.rsplit_once('.')?;
        Some(Self {
            zone: zone.into(),
            part: part.parse().ok()?,
        })
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.zone, self.part)
    }
}

impl fmt::Debug for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// What a task takes of a machine, or what a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Sums of decimal amounts are compared with this much slack.
const SLACK: f64 = 1e-6;

impl Resources {
    pub fn fits_in(self, available: Resources) -> bool {
        self.cpus <= available.cpus + SLACK
            && self.gpus <= available.gpus + SLACK
            && self.memory_gb <= available.memory_gb + SLACK
    }

    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }

    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory_gb: self.memory_gb - other.memory_gb,
        }
    }

    pub fn times(self, count: f64) -> Resources {
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }

    /// How many times `part` fits.
    pub fn holds(self, part: Resources) -> u32 {
        [
            (self.cpus, part.cpus),
            (self.gpus, part.gpus),
            (self.memory_gb, part.memory_gb),
        ]
        .into_iter()
        .filter(|(_, take)| *take > 0.0)
        .map(|(have, take)| ((have + SLACK) / take).max(0.0) as u32)
        .min()
        .unwrap_or(u32::MAX / 2)
    }

    /// The largest share that this takes of any resource of `capacity`.
    pub fn share_of(self, capacity: Resources) -> f64 {
        [
            (self.cpus, capacity.cpus),
            (self.gpus, capacity.gpus),
            (self.memory_gb, capacity.memory_gb),
        ]
        .into_iter()
        .filter(|(_, have)| *have > 0.0)
        .map(|(take, have)| take / have)
        .fold(0.0, f64::max)
    }
}
