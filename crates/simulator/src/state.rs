//! In-memory model of the key-value store: versioned keys, leases, watches, transactions and rate limits.

use std::collections::{BTreeMap, VecDeque};

use jaspertiller::store::{Entry, Mutation, StoreResponse, Transaction, Update};
use jaspertiller::types::{LeaseId, Millis, Revision};
use serde_json::value::RawValue;

use crate::config::StateLimits;

/// Number of changes kept for watches; a watch from an older revision is answered with `Compacted`.
const KEPT_CHANGES: usize = 10_000;

struct Value {
    data: String,
    version: u64,
    lease_id: Option<u64>,
}

struct Watch {
    id: u64,
    prefix: String,
    /// Only changes after this revision are reported.
    from: u64,
    until: Millis,
}

/// A token bucket whose capacity is one second of its rate.
struct Bucket {
    rate: f64,
    tokens: f64,
    refilled_at: Millis,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        let (tokens, refilled_at) = (rate, Millis(0));
        Self {
            rate,
            tokens,
            refilled_at,
        }
    }

    fn take(&mut self, amount: f64, now: Millis) -> bool {
        let refilled = self.tokens + self.rate * now.since(self.refilled_at).secs();
        self.tokens = refilled.min(self.rate);
        self.refilled_at = now;
        let has_enough = self.tokens >= amount;
        if has_enough {
            self.tokens -= amount;
        }
        has_enough
    }
}

/// The simulated key-value store; the caller passes in the current time.
pub struct StateService {
    /// Revision of the latest change or lease grant.
    pub revision: u64,
    keys: BTreeMap<String, Value>,
    /// Recent changes, oldest first: key, the value (`None` for a deletion) and the revision.
    changes: VecDeque<(String, Option<String>, u64)>,
    /// By lease ID: when the lease expires, and its duration.
    leases: BTreeMap<u64, (Millis, Millis)>,
    watches: Vec<Watch>,
    /// Responses of finished watches, by watch ID, until the caller takes them.
    finished_watches: Vec<(u64, StoreResponse)>,
    /// ID of the watch that was opened last.
    last_watch_id: u64,
    limits: StateLimits,
    requests: Bucket,
    writes: Bucket,
    /// Number of puts and deletions applied, with the deletions caused by ended leases.
    pub written: u64,
    /// Disables a safeguard for tests: the conditions of transactions are not checked.
    pub ignore_conditions: bool,
}

/// Parses and serializes a value again. The store keeps JSON and not its text, so it may return another spelling than
/// the one that was put.
fn reserialized(data: String) -> String {
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
            finished_watches: Vec::new(),
            last_watch_id: 0,
            limits,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
            written: 0,
            ignore_conditions: false,
        }
    }

    /// Halves the rate limit of changes for the rest of the run.
    pub fn halve_limit(&mut self) {
        self.writes.rate /= 2.0;
    }

    /// Whether the rate limits allow a request with this number of changes; takes its tokens.
    /// A request that only the limit of changes refuses still counts against the limit of requests.
    pub fn allows(&mut self, changes: usize, now: Millis) -> bool {
        self.requests.take(1.0, now) && self.writes.take(changes as f64, now)
    }

    /// Returns the value of a key with its version and its lease, or `None` if the key does not exist.
    pub fn get(&self, key: &str) -> Option<(&str, Revision, Option<LeaseId>)> {
        let value = self.keys.get(key)?;
        let lease_id = value.lease_id.map(LeaseId);
        Some((&value.data, Revision(value.version), lease_id))
    }

    /// Returns at most `limit` of the keys that begin with `prefix` and sort after `after`, in key order.
    pub fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> StoreResponse {
        let mut remaining = self
            .keys
            .range(prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let entries = remaining
            .by_ref()
            .take(limit)
            .map(|(key, value)| Entry {
                key: key.clone(),
                data: raw(&value.data),
                version: Revision(value.version),
            })
            .collect();
        StoreResponse::Page {
            entries,
            more: remaining.next().is_some(),
            revision: Revision(self.revision),
        }
    }

    /// Grants a lease that expires after `duration` unless it is renewed. Its ID is the new revision.
    pub fn grant(&mut self, duration: Millis, now: Millis) -> LeaseId {
        self.revision += 1;
        self.leases
            .insert(self.revision, (now + duration, duration));
        LeaseId(self.revision)
    }

    /// Renews a lease for its duration; returns false if it does not exist any more.
    pub fn renew(&mut self, lease_id: LeaseId, now: Millis) -> bool {
        let lease = self.leases.get_mut(&lease_id.0);
        lease.is_some_and(|(until, duration)| {
            *until = now + *duration;
            true
        })
    }

    /// Ends a lease and deletes the keys attached to it. Does nothing if the lease does not exist.
    pub fn end(&mut self, lease_id: LeaseId) {
        if self.leases.remove(&lease_id.0).is_none() {
            return;
        }
        let is_attached = |value: &Value| value.lease_id == Some(lease_id.0);
        let keys = self.keys.iter().filter(|(_, value)| is_attached(value));
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.keys.remove(&key);
                self.record_change(key, None);
            }
            self.finish_watches();
        }
    }

    /// Advances time: expires leases and times out watches. During an outage every lease is renewed instead, and no
    /// watch times out.
    pub fn pass(&mut self, now: Millis, outage: bool) {
        if outage {
            for (until, duration) in self.leases.values_mut() {
                *until = now + *duration;
            }
            return;
        }
        let expired = self.leases.iter().filter(|(_, (until, _))| *until < now);
        let mut expired: Vec<u64> = expired.map(|(lease_id, _)| *lease_id).collect();
        expired.sort_unstable();
        for lease_id in expired {
            self.end(LeaseId(lease_id));
        }
        let (timed_out, open) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| watch.until <= now);
        self.watches = open;
        for watch in timed_out {
            self.finished_watches
                .push((watch.id, self.updates_for(&watch)));
        }
    }

    fn record_change(&mut self, key: String, data: Option<String>) {
        self.written += 1;
        self.changes.push_back((key, data, self.revision));
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn finish_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            if self.has_changed(&watch.prefix, watch.from) {
                self.finished_watches
                    .push((watch.id, self.updates_for(&watch)));
            } else {
                self.watches.push(watch);
            }
        }
    }

    fn changes_since(&self, from: u64) -> impl Iterator<Item = &(String, Option<String>, u64)> {
        let start = self
            .changes
            .partition_point(|(_, _, revision)| *revision <= from);
        self.changes.range(start..)
    }

    fn has_changed(&self, prefix: &str, from: u64) -> bool {
        self.changes_since(from)
            .any(|(key, _, _)| key.starts_with(prefix))
    }

    fn updates_for(&self, watch: &Watch) -> StoreResponse {
        let updates = self
            .changes_since(watch.from)
            .filter(|(key, _, _)| key.starts_with(&watch.prefix))
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

    /// Opens a watch for changes after revision `from` to keys that begin with `prefix`, and returns its ID. `woken`
    /// returns its response: at the first change, after `wait`, or at once if changes since `from` are no longer kept.
    pub fn watch(&mut self, prefix: &str, from: Revision, wait: Millis, now: Millis) -> u64 {
        self.last_watch_id += 1;
        let watch = Watch {
            id: self.last_watch_id,
            prefix: prefix.to_string(),
            from: from.0,
            until: now + wait,
        };
        let is_full = self.changes.len() >= KEPT_CHANGES;
        if is_full
            && self
                .changes
                .front()
                .is_some_and(|(_, _, r)| *r > from.0 + 1)
        {
            self.finished_watches
                .push((watch.id, StoreResponse::Compacted));
        } else if self.has_changed(prefix, from.0) {
            self.finished_watches
                .push((watch.id, self.updates_for(&watch)));
        } else {
            self.watches.push(watch);
        }
        self.last_watch_id
    }

    /// Removes and returns the responses of finished watches, each with the ID of its watch.
    pub fn woken(&mut self) -> Vec<(u64, StoreResponse)> {
        std::mem::take(&mut self.finished_watches)
    }

    /// Returns why the store would reject a transaction as malformed, or `None` if its sizes are within the limits.
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

    /// Applies all changes of a transaction under one new revision if its conditions hold and its leases exist;
    /// otherwise applies none. In a condition, version 0 means that the key does not exist.
    pub fn apply(&mut self, txn: Transaction) -> StoreResponse {
        let version = |key: &String| self.keys.get(key).map_or(0, |value| value.version);
        let holds = |(key, expected): &(String, Revision)| version(key) == expected.0;
        if !txn.conditions.iter().all(holds) && !self.ignore_conditions {
            return StoreResponse::Conflict(Revision(self.revision));
        }
        let has_live_lease = |change: &Mutation| match change {
            Mutation::Put {
                lease_id: Some(lease_id),
                ..
            } => self.leases.contains_key(&lease_id.0),
            _ => true,
        };
        if !txn.changes.iter().all(has_live_lease) {
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
                    let data = reserialized(data);
                    self.record_change(key.clone(), Some(data.clone()));
                    let value = Value {
                        data,
                        version: self.revision,
                        lease_id: lease_id.map(|id| id.0),
                    };
                    self.keys.insert(key, value);
                }
                Mutation::Delete { key } => {
                    self.keys.remove(&key);
                    self.record_change(key, None);
                }
            }
        }
        self.finish_watches();
        StoreResponse::Committed(Revision(self.revision))
    }
}
