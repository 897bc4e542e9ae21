//! The stored records of controllers, the leader and the shards, and the tokens that a shard's record carries.

use serde::{Deserialize, Serialize};

use crate::types::{ControllerId, FencingToken, LeaseId, ShardId, Zone};

/// The prefix of controllers' records; the controller's label follows.
pub const CONTROLLER_PREFIX: &str = "jt/node/";
/// The key of the leader's record.
pub const LEADER_KEY: &str = "jt/lead";
/// The prefix of shards' records; the shard follows.
pub const SHARD_PREFIX: &str = "jt/block/";

/// The key of a controller's own record.
#[must_use]
pub fn controller_key(controller: &ControllerId) -> String {
    format!("{CONTROLLER_PREFIX}{controller}")
}

/// The key of a shard's record.
#[must_use]
pub fn shard_key(shard: &ShardId) -> String {
    format!("{SHARD_PREFIX}{shard}")
}

/// A controller's own record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// The lease that the record is attached to. A restarted controller has a different one.
    #[serde(rename = "permit")]
    pub lease_id: LeaseId,
    /// The controller's zone.
    pub zone: Zone,
    /// Whether workers' heartbeats reach the controller. It holds shards without them only if no
    /// controller receives any.
    #[serde(rename = "hears")]
    pub receives_heartbeats: bool,
}

/// The leader's record. It names the lease in addition to the label, since leadership belongs to a process:
/// a restarted controller reads the record of its previous process, and must not take itself for the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller that leads.
    pub leader: ControllerId,
    /// The lease of the process that leads.
    #[serde(rename = "permit")]
    pub lease_id: LeaseId,
}

/// The record of a shard's holder. The revision at which it was written is the shard's fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The controller that holds the shard.
    pub holder: ControllerId,
    /// The lease of the process that holds the shard.
    #[serde(rename = "permit")]
    pub lease_id: LeaseId,
    /// The token under which that process acquired the shard, if it has raised the token since.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acquired: Option<FencingToken>,
}

/// The fencing tokens under which one controller process has held a shard without interruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// The token under which the process acquired the shard. It identifies the tenure: a worker that has seen this
    /// token, or a higher one, obeys no earlier holder.
    pub acquired: FencingToken,
    /// The present token, which the holder may have raised. Commands and transactions carry it.
    pub token: FencingToken,
}

impl Tenure {
    /// The tenure of a holder that has not raised its token.
    #[must_use]
    pub fn new(token: FencingToken) -> Self {
        let acquired = token;
        Self { acquired, token }
    }

    /// Whether a token belongs to this tenure. No other controller held the shard between two such tokens, so what
    /// was observed under one of them holds under the others.
    #[must_use]
    pub fn covers(self, token: FencingToken) -> bool {
        (self.acquired..=self.token).contains(&token)
    }
}
