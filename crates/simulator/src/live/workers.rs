//! The worker side of the protocol over loopback.
//!
//! This module delivers heartbeats to the controllers, and serves an address for each machine that is up, at
//! which controllers inspect the worker and send it commands. The machine models are in the shared region.

use std::time::Duration;

use jaspertiller::http_client::HttpClient;
use jaspertiller::types::{AgentEpoch, ControllerId, MachineId, WorkerToken};
use jaspertiller::workers::wire::{
    ExitCause, Heartbeat, HeartbeatResponse, TaskStage, WorkerCommand, WorkerCommandBody,
};
use serde::Deserialize;
use serde_json::{Value, json};
use warp::http::Method;

use super::http::{self, Request, Response};
use super::{Region, SharedRegion};
use crate::machines::OutgoingHeartbeat;

/// Timeout of a heartbeat, and the time for which a request to an unreachable machine is held before it fails.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Commands in wire format: the response to a heartbeat, or the body of a direct request.
#[derive(Deserialize)]
struct CommandsBody {
    #[serde(rename = "baton")]
    worker_token: Option<WorkerToken>,
    #[serde(rename = "shift")]
    agent_epoch: Option<AgentEpoch>,
    #[serde(default, rename = "orders")]
    commands: Vec<WorkerCommandBody>,
}

impl CommandsBody {
    /// The commands that this version of the protocol supports; others are ignored.
    fn commands(&self) -> Vec<WorkerCommand> {
        let supported = self.commands.iter().filter_map(WorkerCommandBody::command);
        supported.collect()
    }
}

/// The response of a controller that does not hold the machine's shard.
#[derive(Deserialize)]
struct RedirectBody {
    #[serde(rename = "foreman")]
    redirect_to: Option<ControllerId>,
}

/// The wire name of a task stage.
fn stage_name(stage: TaskStage) -> &'static str {
    match stage {
        TaskStage::Fetching => "pulling",
        TaskStage::Waiting => "gathering",
        TaskStage::Running => "running",
        TaskStage::Saving => "saving",
        TaskStage::Exited => "ended",
    }
}

/// The wire name of an exit cause.
fn cause_name(cause: ExitCause) -> &'static str {
    match cause {
        ExitCause::Done => "done",
        ExitCause::Stopped => "stopped",
        ExitCause::GangMemberLost => "mates_gone",
        ExitCause::GangTimeout => "alone",
        ExitCause::Error => "error",
        ExitCause::InsufficientResources => "no_room",
        ExitCause::OtherAttemptPresent => "in_use",
        ExitCause::UnknownTask => "no_such",
    }
}

/// Encodes a heartbeat in wire format.
#[must_use]
pub fn heartbeat_body(heartbeat: &Heartbeat) -> Value {
    let tasks = heartbeat.tasks.iter().map(|task| {
        json!({"pick": task.task, "try": task.attempt, "stage": stage_name(task.stage),
            "cause": task.cause.map(cause_name), "kept": task.checkpoint_saved})
    });
    let tasks: Vec<Value> = tasks.collect();
    json!({"host": heartbeat.machine_id, "address": heartbeat.address, "rig": heartbeat.machine_type,
        "yard": heartbeat.zone, "loaners": heartbeat.spot, "shift": heartbeat.agent_epoch,
        "tally": heartbeat.heartbeat_sequence, "baton": heartbeat.worker_token, "warningS": heartbeat.warning_s,
        "picks": tasks})
}

/// Sends one heartbeat to its controller, and passes the response to the machine. Without a response the machine
/// retries later.
pub(super) async fn deliver(shared: SharedRegion, client: HttpClient, outgoing: OutgoingHeartbeat) {
    let address = {
        let region = shared.lock();
        if !is_connected(&region, &outgoing) {
            return;
        }
        region.controllers[outgoing.controller]
    };
    let body = heartbeat_body(&outgoing.heartbeat).to_string().into_bytes();
    let client = client.with_address(address);
    let sent = body.len();
    let call = client.call(Method::POST, "/v1/report", body, RESPONSE_TIMEOUT);
    let call = call.await;
    let received = call.as_ref().map_or(0, |(_, body)| body.len());
    shared.lock().worker_bytes += (sent + received) as u64;
    let response = match call {
        Ok((status, body)) => parse_response(status, &body),
        Err(_) => Some(HeartbeatResponse::RetryLater),
    };
    let Some(response) = response else {
        return;
    };
    let region = &mut *shared.lock();
    if is_connected(region, &outgoing) {
        let now = region.now();
        region.machines.receive_response(&outgoing, response, now);
    }
}

/// Whether the machine and the controller of a heartbeat can reach each other.
fn is_connected(region: &Region, outgoing: &OutgoingHeartbeat) -> bool {
    let now = region.now();
    !region.faults.is_cut_off(outgoing.controller, now)
        && region.machines.reachable(&outgoing.machine_id, now)
}

/// Parses a controller's response to a heartbeat; `None` if its body is malformed.
fn parse_response(status: u16, body: &[u8]) -> Option<HeartbeatResponse> {
    match status {
        200 => {
            let body: CommandsBody = serde_json::from_slice(body).ok()?;
            Some(HeartbeatResponse::Commands {
                worker_token: body.worker_token?,
                commands: body.commands(),
            })
        }
        421 => {
            let redirect = serde_json::from_slice::<RedirectBody>(body).ok();
            let redirect_to = redirect.and_then(|redirect| redirect.redirect_to);
            Some(HeartbeatResponse::Redirect(redirect_to))
        }
        _ => Some(HeartbeatResponse::RetryLater),
    }
}

/// Starts a server for each machine that came up, and stops those of machines that stopped.
pub(super) fn update_listeners(shared: &SharedRegion) {
    let region = &mut *shared.lock();
    for (machine_id, machine) in &mut region.machines.by_id {
        let is_served = region.listeners.contains_key(machine_id);
        if machine.stopped_at.is_some() {
            if let Some(server) = region.listeners.remove(machine_id) {
                server.abort();
            }
        } else if !is_served && let Ok(listener) = http::listen() {
            if let Ok(address) = listener.local_addr() {
                machine.address = address.to_string();
            }
            let (shared, served_id) = (shared.clone(), machine_id.clone());
            let server = http::serve(listener, move |request| {
                handle(shared.clone(), served_id.clone(), request)
            });
            region
                .listeners
                .insert(machine_id.clone(), tokio::spawn(server));
        }
    }
}

/// Handles a controller's request to a worker. The response body is the worker's heartbeat.
async fn handle(shared: SharedRegion, machine_id: MachineId, request: Request) -> Response {
    let reachable = {
        let region = shared.lock();
        region.machines.reachable(&machine_id, region.now())
    };
    if !reachable {
        tokio::time::sleep(RESPONSE_TIMEOUT).await;
        return Response::empty(503);
    }
    let region = &mut *shared.lock();
    region.worker_bytes += request.body.len() as u64;
    let status = match (&request.method, request.path.as_str()) {
        (&Method::GET, "/inspect") => 200,
        (&Method::POST, "/do") => execute(region, &machine_id, &request.body),
        _ => return Response::empty(404),
    };
    match region.machines.heartbeat(&machine_id) {
        Some(heartbeat) => Response::json(status, heartbeat_body(&heartbeat)),
        None => Response::empty(status),
    }
}

/// Executes the commands of a direct request. Returns the HTTP status: 400 if the body is malformed, 409 if the
/// worker rejects the request's token or epoch.
fn execute(region: &mut Region, machine_id: &MachineId, body: &[u8]) -> u16 {
    let Ok(body) = serde_json::from_slice::<CommandsBody>(body) else {
        return 400;
    };
    let (Some(worker_token), Some(agent_epoch)) = (body.worker_token, body.agent_epoch) else {
        return 400;
    };
    let (commands, now) = (body.commands(), region.now());
    let accepted =
        region
            .machines
            .execute_direct(machine_id, worker_token, agent_epoch, commands, now);
    if accepted { 200 } else { 409 }
}
