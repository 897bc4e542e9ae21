//! Workers on loopback: their heartbeats, and an address for each where commands arrive.

use std::time::Duration;

use jaspertiller::http_client::HttpClient;
use jaspertiller::types::{Baton, HostId, NodeId, Session};
use jaspertiller::workers::wire::{Cause, Order, OrderBody, Report, ReportAnswer, TaskStage};
use serde::Deserialize;
use serde_json::{Value, json};
use warp::http::Method;

use super::Shared;
use super::http::{self, Reaction, Request};
use crate::machines::Outgoing;

const ANSWER: Duration = Duration::from_secs(4);

#[derive(Deserialize)]
struct Orders {
    baton: Option<Baton>,
    shift: Option<Session>,
    #[serde(default)]
    orders: Vec<OrderBody>,
}

#[derive(Deserialize)]
struct Elsewhere {
    foreman: Option<NodeId>,
}

fn stage(stage: TaskStage) -> &'static str {
    match stage {
        TaskStage::Fetching => "pulling",
        TaskStage::Waiting => "gathering",
        TaskStage::Running => "running",
        TaskStage::Saving => "saving",
        TaskStage::Exited => "ended",
    }
}

fn cause(cause: Cause) -> &'static str {
    match cause {
        Cause::Done => "done",
        Cause::Stopped => "stopped",
        Cause::PeersGone => "mates_gone",
        Cause::Alone => "alone",
        Cause::Error => "error",
        Cause::NoRoom => "no_room",
        Cause::Busy => "in_use",
        Cause::Unknown => "no_such",
    }
}

/// A report as the protocol writes it.
pub fn report_body(report: &Report) -> Value {
    let picks = report.picks.iter().map(|pick| {
        json!({"pick": pick.pick, "try": pick.attempt, "stage": stage(pick.stage),
            "cause": pick.cause.map(cause), "kept": pick.kept})
    });
    let picks: Vec<Value> = picks.collect();
    json!({"host": report.host, "address": report.address, "rig": report.rig,
        "yard": report.yard, "loaners": report.loaners, "shift": report.shift,
        "tally": report.tally, "baton": report.baton, "warningS": report.warning_s,
        "picks": picks})
}

fn orders(bodies: &[OrderBody]) -> Vec<Order> {
    bodies.iter().filter_map(OrderBody::order).collect()
}

/// Carries one heartbeat to the controller and its answer back.
pub async fn report(shared: Shared, client: HttpClient, out: Outgoing) {
    let address = {
        let region = shared.lock();
        let now = region.now();
        let cut = now < region.trouble.cut[out.node];
        if cut || !region.machines.reachable(&out.host, now) {
            return;
        }
        region.controllers[out.node]
    };
    let bytes = report_body(&out.report).to_string().into_bytes();
    let client = client.at(address);
    let sent = bytes.len();
    let call = client.call(Method::POST, "/v1/report", bytes, ANSWER).await;
    let received = call.as_ref().map_or(0, |(_, body)| body.len());
    shared.lock().worker_bytes += (sent + received) as u64;
    let answer = match call {
        Ok((200, body)) => match serde_json::from_slice::<Orders>(&body) {
            Ok(Orders {
                baton: Some(baton),
                orders: bodies,
                ..
            }) => ReportAnswer::Orders {
                baton,
                orders: orders(&bodies),
            },
            _ => return,
        },
        Ok((421, body)) => {
            let foreman = serde_json::from_slice::<Elsewhere>(&body).ok();
            ReportAnswer::Elsewhere(foreman.and_then(|f| f.foreman))
        }
        _ => ReportAnswer::Later,
    };
    let region = &mut *shared.lock();
    let now = region.now();
    if now >= region.trouble.cut[out.node] && region.machines.reachable(&out.host, now) {
        region.machines.answered(&out, answer, now);
    }
}

/// Every machine that is up has an address; one that is gone has none.
pub fn keep_listeners(shared: &Shared) {
    let region = &mut *shared.lock();
    for (host, machine) in &mut region.machines.hosts {
        let known = region.listeners.contains_key(host);
        if machine.dead.is_some() {
            if let Some(listener) = region.listeners.remove(host) {
                listener.abort();
            }
        } else if !known && let Ok(listener) = http::listen() {
            if let Ok(address) = listener.local_addr() {
                machine.address = address.to_string();
            }
            let (shared, its) = (shared.clone(), host.clone());
            let serving = http::serve(listener, move |request| {
                worker(shared.clone(), its.clone(), request)
            });
            region.listeners.insert(host.clone(), tokio::spawn(serving));
        }
    }
}

async fn worker(shared: Shared, host: HostId, request: Request) -> Reaction {
    let reachable = {
        let region = shared.lock();
        region.machines.reachable(&host, region.now())
    };
    if !reachable {
        tokio::time::sleep(ANSWER).await;
        return (503, None);
    }
    let region = &mut *shared.lock();
    let now = region.now();
    region.worker_bytes += request.body.len() as u64;
    let mut status = 200;
    match (&request.method, request.path.as_str()) {
        (&Method::GET, "/inspect") => {}
        (&Method::POST, "/do") => match serde_json::from_slice::<Orders>(&request.body) {
            Ok(Orders {
                baton: Some(baton),
                shift: Some(session),
                orders: bodies,
            }) => {
                let machines = &mut region.machines;
                if !machines.direct(&host, baton, session, orders(&bodies), now) {
                    status = 409;
                }
            }
            _ => status = 400,
        },
        _ => return (404, None),
    }
    let report = region.machines.report(&host);
    (status, report.as_ref().map(report_body))
}
