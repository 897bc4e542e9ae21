//! Model of the key-value store: keys with versions, leases, watches, transactions and rate limits.

use std::collections::{BTreeMap, VecDeque};

use jaspertiller::store::{Entry, Mutation, StoreResponse, Transaction, Update};
use jaspertiller::types::{LeaseId, Millis, Revision};
use serde_json::value::RawValue;

use crate::config::StateLimits;

/// Changes kept for watches; a watch from an older revision is answered with `TooOld`.
const KEPT_CHANGES: usize = 10_000;

struct Value {
    data: String,
    version: u64,
    lease_id: Option<u64>,
}

struct Watch {
    id: u64,
    starts: String,
    from: u64,
    until: Millis,
}

/// A token bucket that holds at most one second of its rate.
struct Bucket {
    rate: f64,
    left: f64,
    at: Millis,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        let (left, at) = (rate, Millis(0));
        Self { rate, left, at }
    }

    fn take(&mut self, amount: f64, now: Millis) -> bool {
        let grown = self.left + self.rate * now.since(self.at).secs();
        self.left = grown.min(self.rate);
        self.at = now;
        let enough = self.left >= amount;
        if enough {
            self.left -= amount;
        }
        enough
    }
}

/// The store.
pub struct StateService {
    /// Revision of the latest change or lease.
    pub revision: u64,
    keys: BTreeMap<String, Value>,
    /// Newest last: key, what was put, and the revision.
    changes: VecDeque<(String, Option<String>, u64)>,
    /// When each ends, and how long it lasts.
    leases: BTreeMap<u64, (Millis, Millis)>,
    watches: Vec<Watch>,
    woken: Vec<(u64, StoreResponse)>,
    next_watch: u64,
    limits: StateLimits,
    requests: Bucket,
    writes: Bucket,
    /// Puts and drops that were applied.
    pub written: u64,
    /// Disables a safeguard for tests: conditions of transactions are ignored.
    pub ignore_conditions: bool,
}

/// Values are JSON, not text: the store may return another spelling than the one that was put.
fn rewritten(data: String) -> String {
    let value = serde_json::from_str::<serde_json::Value>(&data);
    value.map(|value| value.to_string()).unwrap_or(data)
}

fn raw(data: &str) -> Box<RawValue> {
    RawValue::from_string(data.to_string()).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

impl StateService {
    /// An empty store with these limits.
    pub fn new(limits: StateLimits) -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            changes: VecDeque::new(),
            leases: BTreeMap::new(),
            watches: Vec::new(),
            woken: Vec::new(),
            next_watch: 0,
            limits,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
            written: 0,
            ignore_conditions: false,
        }
    }

    /// Halves the rate limit of changes from now on.
    pub fn halve_limit(&mut self) {
        self.writes.rate /= 2.0;
    }

    /// Whether the limits allow a request that makes so many changes.
    pub fn allows(&mut self, changes: usize, now: Millis) -> bool {
        self.requests.take(1.0, now) && self.writes.take(changes as f64, now)
    }

    /// The value of a key with its version and its lease.
    pub fn get(&self, key: &str) -> Option<(&str, Revision, Option<LeaseId>)> {
        let value = self.keys.get(key)?;
        let lease_id = value.lease_id.map(LeaseId);
        Some((&value.data, Revision(value.version), lease_id))
    }

    /// A page of the keys that begin with `starts`, after the key `after`.
    pub fn list(&self, starts: &str, after: Option<&str>, most: usize) -> StoreResponse {
        let mut left = self
            .keys
            .range(starts.to_string()..)
            .take_while(|(key, _)| key.starts_with(starts))
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let entries = left
            .by_ref()
            .take(most)
            .map(|(key, value)| Entry {
                key: key.clone(),
                data: raw(&value.data),
                version: Revision(value.version),
            })
            .collect();
        StoreResponse::Page {
            entries,
            more: left.next().is_some(),
            revision: Revision(self.revision),
        }
    }

    /// Grants a lease of this duration.
    pub fn grant(&mut self, life: Millis, now: Millis) -> LeaseId {
        self.revision += 1;
        self.leases.insert(self.revision, (now + life, life));
        LeaseId(self.revision)
    }

    /// Renews a lease; false if it has expired.
    pub fn renew(&mut self, lease_id: LeaseId, now: Millis) -> bool {
        let lease = self.leases.get_mut(&lease_id.0);
        lease.is_some_and(|(until, life)| {
            *until = now + *life;
            true
        })
    }

    /// Ends a lease and drops its keys.
    pub fn end(&mut self, lease_id: LeaseId) {
        if self.leases.remove(&lease_id.0).is_none() {
            return;
        }
        let held = |value: &Value| value.lease_id == Some(lease_id.0);
        let keys = self.keys.iter().filter(|(_, value)| held(value));
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.keys.remove(&key);
                self.note(key, None);
            }
            self.wake();
        }
    }

    /// Lets time pass: leases expire, watches time out. During an outage every lease is renewed.
    pub fn pass(&mut self, now: Millis, outage: bool) {
        if outage {
            for (until, life) in self.leases.values_mut() {
                *until = now + *life;
            }
            return;
        }
        let over = self.leases.iter().filter(|(_, (until, _))| *until < now);
        let mut over: Vec<u64> = over.map(|(lease_id, _)| *lease_id).collect();
        over.sort_unstable();
        for lease_id in over {
            self.end(LeaseId(lease_id));
        }
        let (due, open) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| watch.until <= now);
        self.watches = open;
        for watch in due {
            self.woken.push((watch.id, self.news(&watch)));
        }
    }

    fn note(&mut self, key: String, data: Option<String>) {
        self.written += 1;
        self.changes.push_back((key, data, self.revision));
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn wake(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            if self.changed(&watch.starts, watch.from) {
                self.woken.push((watch.id, self.news(&watch)));
            } else {
                self.watches.push(watch);
            }
        }
    }

    fn since(&self, from: u64) -> impl Iterator<Item = &(String, Option<String>, u64)> {
        let start = self
            .changes
            .partition_point(|(_, _, revision)| *revision <= from);
        self.changes.range(start..)
    }

    fn changed(&self, starts: &str, from: u64) -> bool {
        self.since(from).any(|(key, _, _)| key.starts_with(starts))
    }

    fn news(&self, watch: &Watch) -> StoreResponse {
        let updates = self
            .since(watch.from)
            .filter(|(key, _, _)| key.starts_with(&watch.starts))
            .map(|(key, data, revision)| match data {
                Some(data) => Update::Put(Entry {
                    key: key.clone(),
                    data: raw(data),
                    version: Revision(*revision),
                }),
                None => Update::Deleted {
                    key: key.clone(),
                    version: Revision(*revision),
                },
            })
            .collect();
        StoreResponse::Updates {
            updates,
            revision: Revision(self.revision),
        }
    }

    /// Opens a watch and returns its identity; `woken` returns its response.
    pub fn watch(&mut self, starts: &str, from: Revision, wait: Millis, now: Millis) -> u64 {
        self.next_watch += 1;
        let watch = Watch {
            id: self.next_watch,
            starts: starts.to_string(),
            from: from.0,
            until: now + wait,
        };
        let kept = self.changes.len() >= KEPT_CHANGES;
        if kept
            && self
                .changes
                .front()
                .is_some_and(|(_, _, r)| *r > from.0 + 1)
        {
            self.woken.push((watch.id, StoreResponse::Compacted));
        } else if self.changed(starts, from.0) {
            self.woken.push((watch.id, self.news(&watch)));
        } else {
            self.watches.push(watch);
        }
        self.next_watch
    }

    /// Takes the responses of watches that have one now.
    pub fn woken(&mut self) -> Vec<(u64, StoreResponse)> {
        std::mem::take(&mut self.woken)
    }

    /// Why a transaction is malformed, if it is.
    pub fn malformed(&self, txn: &Transaction) -> Option<String> {
        let limits = &self.limits;
        if txn.changes.len() > limits.txn_ops || txn.conditions.len() > limits.txn_ops * 4 {
            return Some("too many changes or conditions".into());
        }
        let too_large = |change: &&Mutation| match change {
            Mutation::Put { data, .. } => data.len() as f64 > limits.value_kb * 1024.0,
            Mutation::Delete { .. } => false,
        };
        if let Some(Mutation::Put { key, .. }) = txn.changes.iter().find(too_large) {
            return Some(format!("the value of {key} is too large"));
        }
        let size = |change: &Mutation| match change {
            Mutation::Put { key, data, .. } => key.len() + data.len(),
            Mutation::Delete { key } => key.len(),
        };
        (txn.changes.iter().map(size).sum::<usize>() > 64 << 10).then(|| "too large".into())
    }

    /// Applies a transaction if its conditions hold and its leases exist.
    pub fn apply(&mut self, txn: Transaction) -> StoreResponse {
        let version = |key: &String| self.keys.get(key).map_or(0, |value| value.version);
        let holds = |(key, stamp): &(String, Revision)| version(key) == stamp.0;
        if !txn.conditions.iter().all(holds) && !self.ignore_conditions {
            return StoreResponse::Conflict(Revision(self.revision));
        }
        let leased = |change: &Mutation| match change {
            Mutation::Put {
                lease_id: Some(lease_id),
                ..
            } => self.leases.contains_key(&lease_id.0),
            _ => true,
        };
        if !txn.changes.iter().all(leased) {
            return StoreResponse::LeaseExpired;
        }
        if txn.changes.is_empty() {
            return StoreResponse::Committed(Revision(self.revision));
        }
        self.revision += 1;
        for change in txn.changes {
            match change {
                Mutation::Put {
                    key,
                    data,
                    lease_id,
                } => {
                    let data = rewritten(data);
                    self.note(key.clone(), Some(data.clone()));
                    let value = Value {
                        data,
                        version: self.revision,
                        lease_id: lease_id.map(|p| p.0),
                    };
                    self.keys.insert(key, value);
                }
                Mutation::Delete { key } => {
                    self.keys.remove(&key);
                    self.note(key, None);
                }
            }
        }
        self.wake();
        StoreResponse::Committed(Revision(self.revision))
    }
}
