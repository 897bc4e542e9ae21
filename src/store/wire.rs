//! What the state service's JSON looks like.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{Entry, Mutation, Transaction, Update};
use crate::types::{LeaseId, Revision};

#[derive(Serialize)]
pub struct GrantBody {
    #[serde(rename = "lifeMs")]
    pub life_ms: u64,
}

#[derive(Deserialize)]
pub struct Granted {
    #[serde(rename = "permit")]
    pub lease_id: LeaseId,
}

#[derive(Deserialize)]
pub struct Ledger {
    pub ledger: Revision,
}

#[derive(Deserialize)]
pub struct Listing {
    #[serde(default)]
    pub entries: Vec<Item>,
    #[serde(default)]
    pub truncated: bool,
    pub ledger: Revision,
}

#[derive(Deserialize)]
pub struct Item {
    pub key: String,
    pub data: Box<RawValue>,
    pub stamp: Revision,
}

#[derive(Deserialize)]
pub struct News {
    pub ledger: Revision,
    #[serde(default)]
    pub news: Vec<NewsItem>,
}

/// Either `put` with `data`, or `drop`.
#[derive(Deserialize)]
pub struct NewsItem {
    put: Option<String>,
    data: Option<Box<RawValue>>,
    drop: Option<String>,
    stamp: Revision,
}

impl From<Item> for Entry {
    fn from(item: Item) -> Self {
        Self {
            key: item.key,
            data: item.data,
            version: item.stamp,
        }
    }
}

impl NewsItem {
    pub fn update(self) -> Option<Update> {
        let version = self.stamp;
        match (self.put, self.data, self.drop) {
            (Some(key), Some(data), _) => Some(Update::Put(Entry { key, data, version })),
            (_, _, Some(key)) => Some(Update::Dropped { key, version }),
            _ => None,
        }
    }
}

#[derive(Serialize)]
struct Condition<'a> {
    key: &'a str,
    stamp: Revision,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Op<'a> {
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

#[derive(Serialize)]
struct TxnBody<'a> {
    #[serde(rename = "if")]
    conditions: Vec<Condition<'a>>,
    then: Vec<Op<'a>>,
}

pub fn txn_body(txn: &Transaction) -> serde_json::Result<Vec<u8>> {
    let conditions = txn
        .conditions
        .iter()
        .map(|(key, stamp)| Condition { key, stamp: *stamp })
        .collect();
    let then = txn
        .changes
        .iter()
        .map(|change| {
            Ok(match change {
                Mutation::Put {
                    key,
                    data,
                    lease_id,
                } => Op::Put {
                    put: key,
                    data: serde_json::from_str(data)?,
                    lease_id: *lease_id,
                },
                Mutation::Drop { key } => Op::Drop { drop: key },
            })
        })
        .collect::<serde_json::Result<_>>()?;
    serde_json::to_vec(&TxnBody { conditions, then })
}

#[cfg(test)]
mod tests;
