//! The JSON bodies of the store's protocol, and conversions between them and the types of calls and responses.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{Entry, Mutation, Transaction, Update};
use crate::types::{LeaseId, Revision};

/// The request for a lease.
#[derive(Serialize)]
pub(super) struct GrantRequest {
    /// Time to live without a renewal, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

/// The response with a granted lease.
#[derive(Deserialize)]
pub(super) struct GrantResponse {
    /// The id by which the lease is renewed, and keys are attached to it.
    #[serde(rename = "permit")]
    pub lease_id: LeaseId,
}

/// The store's revision, which is part of most responses; some responses are read for it only.
#[derive(Deserialize)]
pub(super) struct RevisionResponse {
    /// The revision at which the call was executed.
    #[serde(rename = "ledger")]
    pub revision: Revision,
}

/// A page of entries.
#[derive(Deserialize)]
pub(super) struct ListResponse {
    /// In the order of their keys.
    #[serde(default)]
    pub entries: Vec<ListItem>,
    /// Whether more pages follow.
    #[serde(default)]
    pub truncated: bool,
    /// The revision at which the page was read.
    #[serde(rename = "ledger")]
    pub revision: Revision,
}

/// A key with its value.
#[derive(Deserialize)]
pub(super) struct ListItem {
    key: String,
    data: Box<RawValue>,
    #[serde(rename = "stamp")]
    version: Revision,
}

/// The response to a watch.
#[derive(Deserialize)]
pub(super) struct WatchResponse {
    /// All changes up to this revision are included.
    #[serde(rename = "ledger")]
    pub revision: Revision,
    /// The changes, in the order in which they happened.
    #[serde(default, rename = "news")]
    pub changes: Vec<WatchItem>,
}

/// A change in the response to a watch: either `put_key` with `data`, or `deleted_key`.
#[derive(Deserialize)]
pub(super) struct WatchItem {
    #[serde(rename = "put")]
    put_key: Option<String>,
    data: Option<Box<RawValue>>,
    #[serde(rename = "drop")]
    deleted_key: Option<String>,
    #[serde(rename = "stamp")]
    version: Revision,
}

impl From<ListItem> for Entry {
    fn from(item: ListItem) -> Self {
        Self {
            key: item.key,
            data: item.data,
            version: item.version,
        }
    }
}

impl WatchItem {
    /// Converts the change; none for a kind of change that this version does not know.
    pub(super) fn into_update(self) -> Option<Update> {
        let version = self.version;
        match (self.put_key, self.data, self.deleted_key) {
            (Some(key), Some(data), _) => Some(Update::Put(Entry { key, data, version })),
            (_, _, Some(key)) => Some(Update::Deleted { key, version }),
            _ => None,
        }
    }
}

/// A condition of a transaction: the version that a key must have.
#[derive(Serialize)]
struct ConditionBody<'a> {
    key: &'a str,
    #[serde(rename = "stamp")]
    version: Revision,
}

/// A change that a transaction makes.
#[derive(Serialize)]
#[serde(untagged)]
enum ChangeBody<'a> {
    Put {
        #[serde(rename = "put")]
        key: &'a str,
        data: &'a RawValue,
        #[serde(skip_serializing_if = "Option::is_none")]
        #[serde(rename = "permit")]
        lease_id: Option<LeaseId>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: &'a str,
    },
}

impl<'a> TryFrom<&'a Mutation> for ChangeBody<'a> {
    type Error = serde_json::Error;

    fn try_from(change: &'a Mutation) -> Result<Self, Self::Error> {
        Ok(match change {
            Mutation::Put {
                key,
                data,
                lease_id,
            } => ChangeBody::Put {
                key,
                data: serde_json::from_str(data)?,
                lease_id: *lease_id,
            },
            Mutation::Delete { key } => ChangeBody::Delete { key },
        })
    }
}

/// The request of a transaction: all conditions must hold for the changes to be made.
#[derive(Serialize)]
struct TransactionBody<'a> {
    #[serde(rename = "if")]
    conditions: Vec<ConditionBody<'a>>,
    #[serde(rename = "then")]
    changes: Vec<ChangeBody<'a>>,
}

/// Encodes the body of a transaction.
///
/// # Errors
/// A value is not valid JSON.
pub(super) fn encode_transaction(transaction: &Transaction) -> serde_json::Result<Vec<u8>> {
    let conditions = transaction
        .conditions
        .iter()
        .map(|(key, version)| ConditionBody {
            key,
            version: *version,
        })
        .collect();
    let changes = transaction
        .changes
        .iter()
        .map(ChangeBody::try_from)
        .collect::<serde_json::Result<_>>()?;
    serde_json::to_vec(&TransactionBody {
        conditions,
        changes,
    })
}

#[cfg(test)]
mod tests;
