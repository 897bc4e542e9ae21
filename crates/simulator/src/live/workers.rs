//! Workers on loopback: their heartbeats, and an address for each where commands arrive.

use std::time::Duration;

use jaspertiller::http_client::HttpClient;
use jaspertiller::types::{AgentEpoch, ControllerId, MachineId, WorkerToken};
use jaspertiller::workers::wire::{
    ExitCause, Heartbeat, HeartbeatResponse, TaskStage, WorkerCommand, WorkerCommandBody,
};
use serde::Deserialize;
use serde_json::{Value, json};
use warp::http::Method;

use super::Shared;
use super::http::{self, Reaction, Request};
use crate::machines::OutgoingHeartbeat;

const ANSWER: Duration = Duration::from_secs(4);

#[derive(Deserialize)]
struct Orders {
    #[serde(rename = "baton")]
    worker_token: Option<WorkerToken>,
    #[serde(rename = "shift")]
    agent_epoch: Option<AgentEpoch>,
    #[serde(default)]
    #[serde(rename = "orders")]
    commands: Vec<WorkerCommandBody>,
}

#[derive(Deserialize)]
struct Elsewhere {
    #[serde(rename = "foreman")]
    redirect_to: Option<ControllerId>,
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

fn cause(cause: ExitCause) -> &'static str {
    match cause {
        ExitCause::Done => "done",
        ExitCause::Stopped => "stopped",
        ExitCause::PeersGone => "mates_gone",
        ExitCause::Alone => "alone",
        ExitCause::Error => "error",
        ExitCause::NoRoom => "no_room",
        ExitCause::Busy => "in_use",
        ExitCause::Unknown => "no_such",
    }
}

/// A report as the protocol writes it.
pub fn heartbeat_body(heartbeat: &Heartbeat) -> Value {
    let tasks = heartbeat.tasks.iter().map(|task| {
        json!({"pick": task.task, "try": task.attempt, "stage": stage(task.stage),
            "cause": task.cause.map(cause), "kept": task.kept})
    });
    let tasks: Vec<Value> = tasks.collect();
    json!({"host": heartbeat.machine_id, "address": heartbeat.address, "rig": heartbeat.machine_type,
        "yard": heartbeat.zone, "loaners": heartbeat.spot, "shift": heartbeat.agent_epoch,
        "tally": heartbeat.heartbeat_sequence, "baton": heartbeat.worker_token, "warningS": heartbeat.warning_s,
        "picks": tasks})
}

fn commands(bodies: &[WorkerCommandBody]) -> Vec<WorkerCommand> {
    bodies.iter().filter_map(WorkerCommandBody::order).collect()
}

/// Carries one heartbeat to the controller and its answer back.
pub async fn heartbeat(shared: Shared, client: HttpClient, out: OutgoingHeartbeat) {
    let address = {
        let region = shared.lock();
        let now = region.now();
        let cut = now < region.trouble.cut[out.controller];
        if cut || !region.machines.reachable(&out.machine_id, now) {
            return;
        }
        region.controllers[out.controller]
    };
    let bytes = heartbeat_body(&out.heartbeat).to_string().into_bytes();
    let client = client.at(address);
    let sent = bytes.len();
    let call = client.call(Method::POST, "/v1/report", bytes, ANSWER).await;
    let received = call.as_ref().map_or(0, |(_, body)| body.len());
    shared.lock().worker_bytes += (sent + received) as u64;
    let answer = match call {
        Ok((200, body)) => match serde_json::from_slice::<Orders>(&body) {
            Ok(Orders {
                worker_token: Some(worker_token),
                commands: bodies,
                ..
            }) => HeartbeatResponse::Commands {
                worker_token,
                commands: commands(&bodies),
            },
            _ => return,
        },
        Ok((421, body)) => {
            let redirect_to = serde_json::from_slice::<Elsewhere>(&body).ok();
            HeartbeatResponse::Redirect(redirect_to.and_then(|f| f.redirect_to))
        }
        _ => HeartbeatResponse::RetryLater,
    };
    let region = &mut *shared.lock();
    let now = region.now();
    if now >= region.trouble.cut[out.controller] && region.machines.reachable(&out.machine_id, now)
    {
        region.machines.receive_response(&out, answer, now);
    }
}

/// Every machine that is up has an address; one that is gone has none.
pub fn keep_listeners(shared: &Shared) {
    let region = &mut *shared.lock();
    for (machine_id, machine) in &mut region.machines.by_id {
        let known = region.listeners.contains_key(machine_id);
        if machine.stopped_at.is_some() {
            if let Some(listener) = region.listeners.remove(machine_id) {
                listener.abort();
            }
        } else if !known && let Ok(listener) = http::listen() {
            if let Ok(address) = listener.local_addr() {
                machine.address = address.to_string();
            }
            let (shared, its) = (shared.clone(), machine_id.clone());
            let serving = http::serve(listener, move |request| {
                worker(shared.clone(), its.clone(), request)
            });
            region
                .listeners
                .insert(machine_id.clone(), tokio::spawn(serving));
        }
    }
}

async fn worker(shared: Shared, machine_id: MachineId, request: Request) -> Reaction {
    let reachable = {
        let region = shared.lock();
        region.machines.reachable(&machine_id, region.now())
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
                worker_token: Some(worker_token),
                agent_epoch: Some(agent_epoch),
                commands: bodies,
            }) => {
                let machines = &mut region.machines;
                if !machines.execute_direct(
                    &machine_id,
                    worker_token,
                    agent_epoch,
                    commands(&bodies),
                    now,
                ) {
                    status = 409;
                }
            }
            _ => status = 400,
        },
        _ => return (404, None),
    }
    let heartbeat = region.machines.heartbeat(&machine_id);
    (status, heartbeat.as_ref().map(heartbeat_body))
}
