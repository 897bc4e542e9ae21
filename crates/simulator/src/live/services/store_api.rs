//! The key-value store's HTTP interface: transactions, reads, leases and watches.

use jaspertiller::store::{Entry, StoreResponse, Transaction, Update};
use jaspertiller::types::{LeaseId, Millis, Revision};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Value, json};
use tokio::sync::oneshot;
use warp::http::Method;

use super::UNANSWERED_DELAY;
use crate::live::SharedRegion;
use crate::live::http::{Request, Response};
use crate::state::StateService;

/// Longest time in milliseconds that a watch waits for a change.
const MAX_WATCH_WAIT_MS: u64 = 60_000;
/// Maximum and default number of entries in a page of a listing.
const MAX_PAGE_ENTRIES: u64 = 1_000;
/// Range of a lease's duration in milliseconds.
const LEASE_MS: std::ops::RangeInclusive<u64> = 100..=600_000;

/// A condition of a transaction: the version that a key must have for the transaction to commit.
#[derive(Deserialize)]
struct ConditionBody {
    key: String,
    #[serde(rename = "stamp")]
    version: Revision,
}

/// A change of a transaction: either `put` with `data`, or `drop`.
#[derive(Deserialize)]
struct ChangeBody {
    put: Option<String>,
    data: Option<Box<RawValue>>,
    #[serde(rename = "permit")]
    lease_id: Option<LeaseId>,
    drop: Option<String>,
}

/// A transaction: its changes are applied if all its conditions hold.
#[derive(Deserialize)]
struct TransactionBody {
    #[serde(default, rename = "if")]
    conditions: Vec<ConditionBody>,
    #[serde(default)]
    then: Vec<ChangeBody>,
}

/// A request for a lease.
#[derive(Deserialize)]
struct GrantBody {
    #[serde(rename = "lifeMs")]
    life_ms: u64,
}

/// Handles one request of a controller. All requests of a controller that is cut off, and watches during an outage,
/// are held; other requests during an outage fail at once.
pub(super) async fn handle(shared: SharedRegion, controller: usize, request: Request) -> Response {
    let (cut_off, down, delay) = {
        let mut region = shared.lock();
        region.requests += 1;
        let (now, faults) = (region.now(), &region.faults);
        let delay = (now < faults.store_slow.until).then_some(faults.store_slow.delay);
        let cut_off = faults.is_cut_off(controller, now);
        (cut_off, now < faults.store_down_until, delay)
    };
    let is_watch = request.path == "/follow";
    if cut_off || down && is_watch {
        tokio::time::sleep(UNANSWERED_DELAY).await;
        return Response::error(503, "away");
    }
    if down {
        return Response::error(503, "away");
    }
    if let Some(delay) = delay {
        tokio::time::sleep(delay).await;
    }
    if is_watch {
        watch(&shared, &request).await
    } else {
        handle_immediate(&shared, &request)
    }
}

/// Waits for changes of keys with a prefix, and responds with the changes or with 410 if their history is gone.
async fn watch(shared: &SharedRegion, request: &Request) -> Response {
    let prefix = request.query.get("starts").cloned().unwrap_or_default();
    let from = Revision(request.number("from").unwrap_or(0));
    let wait_ms = request.number("waitMs").unwrap_or(0);
    let wait = Millis(wait_ms.min(MAX_WATCH_WAIT_MS));
    let (sender, receiver) = oneshot::channel();
    {
        let region = &mut *shared.lock();
        let now = region.now();
        if !region.store.allows(0, now) {
            return Response::error(429, "over the limit");
        }
        let id = region.store.watch(&prefix, from, wait, now);
        region.watches.insert(id, sender);
    }
    match receiver.await {
        Ok(StoreResponse::Updates { updates, revision }) => {
            let updates: Vec<Value> = updates.iter().map(encode_update).collect();
            Response::ok(json!({"ledger": revision, "news": updates}))
        }
        _ => Response::error(410, "too old"),
    }
}

/// Handles every request except watches, without waiting.
fn handle_immediate(shared: &SharedRegion, request: &Request) -> Response {
    let region = &mut *shared.lock();
    let now = region.now();
    let transaction = match request.path.as_str() {
        "/txn" => match parse_transaction(&request.body) {
            Some(transaction) => Some(transaction),
            None => return Response::error(400, "malformed"),
        },
        _ => None,
    };
    let changes = transaction.as_ref().map_or(0, |txn| txn.changes.len());
    if !region.store.allows(changes, now) {
        return Response::error(429, "over the limit");
    }
    let store = &mut region.store;
    if let Some(transaction) = transaction {
        return commit(store, transaction);
    }
    let path = request.path.trim_start_matches('/');
    let path: Vec<&str> = path.splitn(2, '/').collect();
    match (&request.method, path.as_slice()) {
        (&Method::GET, ["store"]) => list(store, request),
        (&Method::GET, ["store", key]) => get(store, key),
        (&Method::POST, ["leases"]) => grant_lease(store, &request.body, now),
        (method, ["leases", rest]) => renew_or_end_lease(store, method, rest, now),
        _ => Response::error(404, "no such path"),
    }
}

fn commit(store: &mut StateService, transaction: Transaction) -> Response {
    if let Some(reason) = store.malformed(&transaction) {
        return Response::error(400, reason);
    }
    match store.apply(transaction) {
        StoreResponse::Committed(revision) => Response::ok(json!({"ledger": revision})),
        StoreResponse::Conflict(revision) => {
            Response::json(409, json!({"failed": [], "ledger": revision}))
        }
        _ => Response::error(400, "no such lease"),
    }
}

fn list(store: &StateService, request: &Request) -> Response {
    let prefix = request.query.get("starts").map_or("", String::as_str);
    let limit = request.number("most").unwrap_or(MAX_PAGE_ENTRIES);
    let limit = limit.min(MAX_PAGE_ENTRIES) as usize;
    let after = request.query.get("from").map(String::as_str);
    match store.list(prefix, after, limit) {
        StoreResponse::Page {
            entries,
            more,
            revision,
        } => {
            let entries: Vec<Value> = entries.iter().map(encode_entry).collect();
            Response::ok(json!({"entries": entries, "truncated": more, "ledger": revision}))
        }
        _ => Response::error(500, "no page"),
    }
}

fn get(store: &StateService, key: &str) -> Response {
    match store.get(key) {
        Some((data, version, lease_id)) => Response::ok(json!({
            "key": key, "data": parse_value(data), "stamp": version, "permit": lease_id
        })),
        None => Response::json(404, json!({"ledger": store.revision})),
    }
}

fn grant_lease(store: &mut StateService, body: &[u8], now: Millis) -> Response {
    match serde_json::from_slice::<GrantBody>(body) {
        Ok(body) if LEASE_MS.contains(&body.life_ms) => {
            Response::ok(json!({"permit": store.grant(Millis(body.life_ms), now)}))
        }
        _ => Response::error(400, "malformed"),
    }
}

/// Handles `POST /leases/ID/renew`, which renews a lease, and `DELETE /leases/ID`, which ends it.
fn renew_or_end_lease(
    store: &mut StateService,
    method: &Method,
    rest: &str,
    now: Millis,
) -> Response {
    let id = rest.strip_suffix("/renew").unwrap_or(rest).parse();
    let Ok(lease_id) = id.map(LeaseId) else {
        return Response::error(400, "malformed");
    };
    match *method {
        Method::POST if store.renew(lease_id, now) => Response::ok(json!({})),
        Method::DELETE => {
            store.end(lease_id);
            Response::ok(json!({}))
        }
        _ => Response::error(404, "no such lease"),
    }
}

fn parse_transaction(body: &[u8]) -> Option<Transaction> {
    let body: TransactionBody = serde_json::from_slice(body).ok()?;
    let mut transaction = Transaction::default();
    for condition in body.conditions {
        transaction
            .conditions
            .push((condition.key, condition.version));
    }
    for change in body.then {
        match (change.put, change.data, change.drop) {
            (Some(key), Some(data), None) => {
                transaction.put_json(key, data.get().to_string(), change.lease_id);
            }
            (None, None, Some(key)) => transaction.delete(key),
            _ => return None,
        }
    }
    Some(transaction)
}

/// Parses a stored value. Every stored value was received as JSON, so parsing doesn't fail.
fn parse_value(data: &str) -> Value {
    serde_json::from_str(data).unwrap_or(Value::Null)
}

fn encode_entry(entry: &Entry) -> Value {
    json!({"key": entry.key, "data": parse_value(entry.data.get()), "stamp": entry.version})
}

fn encode_update(update: &Update) -> Value {
    match update {
        Update::Put(entry) => {
            json!({"put": entry.key, "data": parse_value(entry.data.get()), "stamp": entry.version})
        }
        Update::Deleted { key, version } => json!({"drop": key, "stamp": version}),
    }
}
