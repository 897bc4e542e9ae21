//! The HTTP requests of a controller to a worker: direct commands, and an inspection.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::Serialize;

use super::wire::{Heartbeat, WorkerCommand};
use crate::controller::CommandReply;
use crate::http_client::HttpClient;
use crate::types::{AgentEpoch, WorkerToken};

/// Time limit of a request: workers respond at once, and a later response would be outdated.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// The body of a request that carries commands.
#[derive(Serialize)]
struct CommandsBody<'a> {
    #[serde(rename = "baton")]
    worker_token: WorkerToken,
    #[serde(rename = "shift")]
    agent_epoch: AgentEpoch,
    #[serde(rename = "orders")]
    commands: &'a [WorkerCommand],
}

/// Sends commands to the worker at `address`. Returns `None` if it is unknown whether they were, or will
/// be, executed.
pub async fn send(
    client: HttpClient,
    address: SocketAddr,
    worker_token: WorkerToken,
    agent_epoch: AgentEpoch,
    commands: Vec<WorkerCommand>,
) -> Option<CommandReply> {
    let body = CommandsBody {
        worker_token,
        agent_epoch,
        commands: &commands,
    };
    let body = serde_json::to_vec(&body).ok()?;
    let (status, body) = client
        .with_address(address)
        .call(Method::POST, "/do", body, RESPONSE_TIMEOUT)
        .await
        .ok()?;
    match status {
        // Status 409 means that nothing was executed, which is as definite as 200.
        200 | 409 => {
            let heartbeat = serde_json::from_slice::<Heartbeat>(&body).ok()?;
            let heartbeat = Some(heartbeat);
            Some(CommandReply { heartbeat })
        }
        400 => Some(CommandReply { heartbeat: None }),
        _ => None,
    }
}

/// Whether the worker at `address` responds with its state within the time limit.
pub async fn inspect(client: HttpClient, address: SocketAddr) -> bool {
    let response = client
        .with_address(address)
        .call(Method::GET, "/inspect", Vec::new(), RESPONSE_TIMEOUT)
        .await;
    response.is_ok_and(|(status, _)| status == 200)
}
