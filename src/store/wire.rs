//! The JSON bodies of the store's protocol, and their conversions from and to the types of this module.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{Entry, Mutation, Transaction, Update};
use crate::types::{LeaseId, Revision};

/// Asks for a lease.
#[derive(Serialize)]
pub(super) struct GrantRequest {
    /// Time to live without a renewal, in milliseconds.
    #[serde(rename = "lifeMs")]
    pub life_ms: u64,
}

/// A granted lease.
#[derive(Deserialize)]
pub(super) struct GrantResponse {
    /// The lease, by which it is renewed and attached to keys.
    #[serde(rename = "permit")]
    pub lease_id: LeaseId,
}

/// The part of a response that tells the store's revision; all that is read of some.
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

/// What a watch saw.
#[derive(Deserialize)]
pub(super) struct WatchResponse {
    /// All changes up to this revision are included.
    #[serde(rename = "ledger")]
    pub revision: Revision,
    /// The changes, in the order in which they happened.
    #[serde(default, rename = "news")]
    pub items: Vec<WatchItem>,
}

/// A change: either `put` with `data`, or `drop`.
#[derive(Deserialize)]
pub(super) struct WatchItem {
    put: Option<String>,
    data: Option<Box<RawValue>>,
    drop: Option<String>,
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
    /// The change, or none for a kind of change that this version does not know.
    pub(super) fn into_update(self) -> Option<Update> {
        let version = self.version;
        match (self.put, self.data, self.drop) {
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
        put: &'a str,
        data: &'a RawValue,
        #[serde(skip_serializing_if = "Option::is_none")]
        #[serde(rename = "permit")]
        lease_id: Option<LeaseId>,
    },
    Drop {
        drop: &'a str,
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
                put: key,
                data: serde_json::from_str(data)?,
                lease_id: *lease_id,
            },
            Mutation::Delete { key } => ChangeBody::Drop { drop: key },
        })
    }
}

/// The request of a transaction: all conditions must hold for the changes to be made.
#[derive(Serialize)]
struct TransactionBody<'a> {
    #[serde(rename = "if")]
    conditions: Vec<ConditionBody<'a>>,
    then: Vec<ChangeBody<'a>>,
}

/// The body of a transaction.
///
/// # Errors
/// A value that is not JSON.
pub(super) fn encode_transaction(transaction: &Transaction) -> serde_json::Result<Vec<u8>> {
    let conditions = transaction
        .conditions
        .iter()
        .map(|(key, version)| ConditionBody {
            key,
            version: *version,
        })
        .collect();
    let then = transaction
        .changes
        .iter()
        .map(ChangeBody::try_from)
        .collect::<serde_json::Result<_>>()?;
    serde_json::to_vec(&TransactionBody { conditions, then })
}

#[cfg(test)]
mod tests;
