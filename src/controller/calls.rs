//! Calls of this controller to the key-value store and the cloud that have not been answered yet.

use rustc_hash::FxHashMap as HashMap;

use crate::fleet::CloudCall;
use crate::jobs::cache::TaskChange;
use crate::types::{JobId, Millis, ReplyId, Revision, ShardId};

/// What an answer of the state service is for.
#[derive(Debug)]
pub(super) enum CallPurpose {
    Grant {
        sent: Millis,
    },
    Renew {
        sent: Millis,
    },
    EndOld,
    Register,
    Lead,
    Assign,
    List,
    Watch,
    Revision,
    Submit {
        job: JobId,
    },
    Abort {
        reply: ReplyId,
        job: JobId,
    },
    Changes {
        job: JobId,
        changes: Vec<(u32, TaskChange)>,
    },
    Clear {
        job: JobId,
    },
    /// Pages of jobs that are over.
    Dropped,
    /// New shares of the teams' limits.
    Deal {
        /// A shard whose share it is conditioned on, and the version of that.
        rests_on: (ShardId, Revision),
    },
    /// The tree of quotas, page by page.
    Tree,
    /// Makes sure that a transaction of unknown fate is not applied from now on.
    FenceOff {
        jobs: Vec<JobId>,
        shard: ShardId,
    },
    /// Who may write how much.
    Plan,
    /// Nobody waits for it.
    Note,
}

/// The records that a transaction writes, or drops.
pub(super) type WrittenRecords = Vec<(String, Option<String>)>;

/// Calls in flight, by the tag that their response carries.
#[derive(Debug)]
pub(super) struct Calls {
    pub(super) next_tag: u64,
    /// What each call to the key-value store is for, and the records that a transaction writes.
    pub(super) store: HashMap<u64, (CallPurpose, WrittenRecords)>,
    pub(super) cloud: HashMap<u64, CloudCall>,
}

impl Calls {
    pub(super) fn new() -> Self {
        Self {
            next_tag: 1,
            store: HashMap::default(),
            cloud: HashMap::default(),
        }
    }
}
