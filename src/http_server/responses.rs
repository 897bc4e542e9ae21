//! How the controller's responses look on the wire: status, headers and JSON body.

use serde::Serialize;
use warp::Reply;
use warp::http::StatusCode;
use warp::reply::Response as HttpResponse;

use crate::jobs::api::{self, Response};
use crate::types::{ControllerId, JobId, WorkerToken};
use crate::workers::wire::{HeartbeatResponse, WorkerCommand};

/// When a request that could not be handled now may be repeated, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The body of a response that reports an error.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// The body of the response to an accepted submission.
#[derive(Serialize)]
struct AcceptedBody<'a> {
    id: &'a JobId,
    stage: api::JobStage,
}

/// The body of a response that names the controller to report to, if one is known.
#[derive(Serialize)]
struct RedirectBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "foreman")]
    redirect_to: Option<ControllerId>,
}

/// The body of a response that renews a worker's lease.
#[derive(Serialize)]
struct CommandsBody {
    #[serde(rename = "baton")]
    worker_token: WorkerToken,
    #[serde(rename = "orders")]
    commands: Vec<WorkerCommand>,
}

fn json(status: StatusCode, body: &impl Serialize) -> HttpResponse {
    warp::reply::with_status(warp::reply::json(body), status).into_response()
}

/// An error with a text for the client.
pub(super) fn error(status: StatusCode, error: &str) -> HttpResponse {
    json(status, &ErrorBody { error })
}

/// Asks the client to repeat the request soon.
pub(super) fn unavailable() -> HttpResponse {
    retry_after(RETRY_AFTER_S)
}

fn retry_after(seconds: u32) -> HttpResponse {
    let reply = error(StatusCode::SERVICE_UNAVAILABLE, "not now: try again later");
    warp::reply::with_header(reply, "Retry-After", seconds.to_string()).into_response()
}

/// The response to a user.
pub(super) fn to_user(response: Response) -> HttpResponse {
    match response {
        Response::Accepted(id) => {
            let stage = api::JobStage::Queued;
            json(StatusCode::CREATED, &AcceptedBody { id: &id, stage })
        }
        Response::State(state) => json(StatusCode::OK, &state),
        Response::Malformed(why) => error(StatusCode::BAD_REQUEST, &why),
        Response::Infeasible(why) => error(StatusCode::UNPROCESSABLE_ENTITY, &why),
        Response::UnknownJob => error(StatusCode::NOT_FOUND, "no such job"),
        Response::RetryAfter(seconds) => retry_after(seconds),
    }
}

/// The response to a worker's heartbeat.
pub(super) fn to_worker(response: HeartbeatResponse) -> HttpResponse {
    match response {
        HeartbeatResponse::Commands {
            worker_token,
            commands,
        } => {
            let body = CommandsBody {
                worker_token,
                commands,
            };
            json(StatusCode::OK, &body)
        }
        HeartbeatResponse::Redirect(redirect_to) => {
            let body = RedirectBody { redirect_to };
            json(StatusCode::MISDIRECTED_REQUEST, &body)
        }
        HeartbeatResponse::RetryLater => unavailable(),
    }
}

/// The response to a health check.
pub(super) fn to_probe(ready: bool) -> HttpResponse {
    if ready {
        StatusCode::OK.into_response()
    } else {
        unavailable()
    }
}
