//! The state service and the cloud behind HTTP, one address of each per controller, so that one
//! can be cut off.

use std::time::Duration;

use jaspertiller::fleet::{CloudCall, CloudResponse, MachineStage, Offer};
use jaspertiller::store::{Entry, StoreResponse, Transaction, Update};
use jaspertiller::types::{LeaseId, MachineId, MachineTypeId, Millis, Revision, Zone};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Value, json};
use tokio::sync::oneshot;
use warp::http::Method;

use super::Shared;
use super::http::{self, Reaction, Request};

/// Whoever is cut off hears nothing for this long, which is longer than it waits.
const SILENCE: Duration = Duration::from_secs(15);

pub fn serve(
    shared: &Shared,
    controller: usize,
    state: std::net::TcpListener,
    cloud: std::net::TcpListener,
) -> anyhow::Result<()> {
    let region = shared.clone();
    tokio::spawn(http::serve(state, move |request| {
        state_service(region.clone(), controller, request)
    }));
    let region = shared.clone();
    tokio::spawn(http::serve(cloud, move |request| {
        the_cloud(region.clone(), controller, request)
    }));
    Ok(())
}

fn ok(body: Value) -> Reaction {
    (200, Some(body))
}

fn error(status: u16, why: &str) -> Reaction {
    (status, Some(json!({"error": why})))
}

#[derive(Deserialize)]
struct ConditionBody {
    key: String,
    stamp: Revision,
}

#[derive(Deserialize)]
struct ChangeBody {
    put: Option<String>,
    data: Option<Box<RawValue>>,
    #[serde(rename = "permit")]
    lease_id: Option<LeaseId>,
    drop: Option<String>,
}

#[derive(Deserialize)]
struct TxnBody {
    #[serde(default, rename = "if")]
    conditions: Vec<ConditionBody>,
    #[serde(default)]
    then: Vec<ChangeBody>,
}

#[derive(Deserialize)]
struct GrantBody {
    #[serde(rename = "lifeMs")]
    life_ms: u64,
}

fn parse_txn(body: &[u8]) -> Option<Transaction> {
    let body: TxnBody = serde_json::from_slice(body).ok()?;
    let mut txn = Transaction::default();
    for condition in body.conditions {
        txn.conditions.push((condition.key, condition.stamp));
    }
    for change in body.then {
        match (change.put, change.data, change.drop) {
            (Some(key), Some(data), None) => {
                txn.put_text(key, data.get().to_string(), change.lease_id);
            }
            (None, None, Some(key)) => txn.drop_key(key),
            _ => return None,
        }
    }
    Some(txn)
}

fn value(data: &str) -> Value {
    serde_json::from_str(data).unwrap_or(Value::Null)
}

fn entry(entry: &Entry) -> Value {
    json!({"key": entry.key, "data": value(entry.data.get()), "stamp": entry.version})
}

fn update(update: &Update) -> Value {
    match update {
        Update::Put(e) => {
            json!({"put": e.key, "data": value(e.data.get()), "stamp": e.version})
        }
        Update::Dropped { key, version } => json!({"drop": key, "stamp": version}),
    }
}

async fn state_service(shared: Shared, controller: usize, request: Request) -> Reaction {
    let (cut, away, slow) = {
        let mut region = shared.lock();
        region.requests += 1;
        let (now, trouble) = (region.now(), &region.trouble);
        let slow = (now < trouble.slow.0).then_some(trouble.slow.1);
        (now < trouble.cut[controller], now < trouble.state, slow)
    };
    let watch = request.path == "/follow";
    if cut || away && watch {
        tokio::time::sleep(SILENCE).await;
        return error(503, "away");
    }
    if away {
        return error(503, "away");
    }
    if let Some(slow) = slow {
        tokio::time::sleep(slow).await;
    }
    if !watch {
        return answer(&shared, &request);
    }
    let (starts, from) = (
        request.query.get("starts").cloned().unwrap_or_default(),
        Revision(request.number("from").unwrap_or(0)),
    );
    let wait = Millis(request.number("waitMs").unwrap_or(0).min(60_000));
    let (sender, receiver) = oneshot::channel();
    {
        let region = &mut *shared.lock();
        let now = region.now();
        if !region.store.allows(0, now) {
            return error(429, "over the limit");
        }
        let id = region.store.watch(&starts, from, wait, now);
        region.watches.insert(id, sender);
    }
    match receiver.await {
        Ok(StoreResponse::Updates { updates, revision }) => {
            let news: Vec<Value> = updates.iter().map(update).collect();
            ok(json!({"ledger": revision, "news": news}))
        }
        _ => error(410, "too old"),
    }
}

fn answer(shared: &Shared, request: &Request) -> Reaction {
    let region = &mut *shared.lock();
    let now = region.now();
    let txn = match request.path.as_str() {
        "/txn" => match parse_txn(&request.body) {
            Some(txn) => Some(txn),
            None => return error(400, "malformed"),
        },
        _ => None,
    };
    let changes = txn.as_ref().map_or(0, |txn| txn.changes.len());
    if !region.store.allows(changes, now) {
        return error(429, "over the limit");
    }
    let store = &mut region.store;
    if let Some(txn) = txn {
        if let Some(why) = store.malformed(&txn) {
            return error(400, &why);
        }
        return match store.apply(txn) {
            StoreResponse::Committed(revision) => ok(json!({"ledger": revision})),
            StoreResponse::Conflict(revision) => {
                (409, Some(json!({"failed": [], "ledger": revision})))
            }
            _ => error(400, "no such lease"),
        };
    }
    let path: Vec<&str> = request
        .path
        .trim_start_matches('/')
        .splitn(2, '/')
        .collect();
    match (&request.method, path.as_slice()) {
        (&Method::GET, ["store"]) => {
            let starts = request.query.get("starts").map_or("", String::as_str);
            let most = request.number("most").unwrap_or(1_000).min(1_000) as usize;
            let after = request.query.get("from").map(String::as_str);
            match store.list(starts, after, most) {
                StoreResponse::Page {
                    entries,
                    more,
                    revision,
                } => {
                    let entries: Vec<Value> = entries.iter().map(entry).collect();
                    ok(json!({"entries": entries, "truncated": more, "ledger": revision}))
                }
                _ => error(500, "no page"),
            }
        }
        (&Method::GET, ["store", key]) => match store.get(key) {
            Some((data, version, lease_id)) => {
                ok(json!({"key": key, "data": value(data), "stamp": version, "permit": lease_id}))
            }
            None => (404, Some(json!({"ledger": store.revision}))),
        },
        (&Method::POST, ["leases"]) => match serde_json::from_slice::<GrantBody>(&request.body) {
            Ok(body) if (100..=600_000).contains(&body.life_ms) => {
                ok(json!({"permit": store.grant(Millis(body.life_ms), now)}))
            }
            _ => error(400, "malformed"),
        },
        (method, ["leases", rest]) => {
            let id = rest.strip_suffix("/renew").unwrap_or(rest).parse();
            let Ok(lease_id) = id.map(LeaseId) else {
                return error(400, "malformed");
            };
            match *method {
                Method::POST if store.renew(lease_id, now) => ok(json!({})),
                Method::DELETE => {
                    store.end(lease_id);
                    ok(json!({}))
                }
                _ => error(404, "no such lease"),
            }
        }
        _ => error(404, "no such path"),
    }
}

#[derive(Deserialize)]
struct RentBody {
    #[serde(rename = "hire")]
    request_id: String,
    #[serde(rename = "rig")]
    machine_type: MachineTypeId,
    #[serde(rename = "yard")]
    zone: Zone,
    #[serde(rename = "loaners")]
    spot: bool,
    count: u32,
}

#[derive(Deserialize)]
struct MachinesBody {
    #[serde(rename = "hosts")]
    machine_ids: Vec<MachineId>,
}

async fn the_cloud(shared: Shared, controller: usize, request: Request) -> Reaction {
    let cut = {
        let region = shared.lock();
        region.now() < region.trouble.cut[controller]
    };
    if cut {
        tokio::time::sleep(SILENCE).await;
    }
    let region = &mut *shared.lock();
    let now = region.now();
    if cut || now < region.trouble.cloud {
        return error(503, "trouble");
    }
    let call = match (&request.method, request.path.as_str()) {
        (&Method::GET, "/flavors") => return ok(region.cloud.type_specs()),
        (&Method::GET, "/rentals") => CloudCall::List {
            after: request.query.get("from").map(|h| h.as_str().into()),
        },
        (&Method::POST, "/rentals") => match serde_json::from_slice::<RentBody>(&request.body) {
            Ok(body) => CloudCall::Rent {
                request_id: body.request_id,
                offer: Offer {
                    machine_type: body.machine_type,
                    zone: body.zone,
                    spot: body.spot,
                },
                count: body.count,
            },
            Err(_) => return error(400, "malformed"),
        },
        (&Method::POST, "/rentals/delete") => {
            match serde_json::from_slice::<MachinesBody>(&request.body) {
                Ok(body) => CloudCall::Delete(body.machine_ids),
                Err(_) => return error(400, "malformed"),
            }
        }
        _ => return error(404, "no such path"),
    };
    let machines = &mut region.machines;
    match region.cloud.call(call, machines, now, &mut region.rng) {
        CloudResponse::Rented(machine_ids) => ok(json!({"hosts": machine_ids})),
        CloudResponse::NoCapacity => error(503, "no capacity"),
        CloudResponse::Deleted => ok(json!({})),
        CloudResponse::Page { machine_ids, more } => {
            let listed = machine_ids.iter().map(|m| {
                let stage = match m.stage {
                    MachineStage::Booting => "booting",
                    MachineStage::Running => "running",
                    MachineStage::Failed => "failed",
                };
                let address = region.machines.by_id.get(&m.machine_id).map(|h| &h.address);
                json!({"id": m.machine_id, "address": address, "rig": m.machine_type, "yard": m.zone,
                    "loaners": m.spot, "stage": stage, "ageS": m.age.secs()})
            });
            let listed: Vec<Value> = listed.collect();
            ok(json!({"hosts": listed, "truncated": more}))
        }
        _ => error(503, "trouble"),
    }
}
