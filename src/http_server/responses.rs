//! Conversion of the controller's responses to HTTP: status, headers and JSON body.

use serde::Serialize;
use warp::Reply;
use warp::http::{HeaderValue, StatusCode, header};
use warp::reply::Response as HttpResponse;

use super::body::BodyError;
use crate::jobs::api::{self, Response};
use crate::types::{ControllerId, JobId, WorkerToken};
use crate::workers::wire::{HeartbeatResponse, WorkerCommand};

/// Seconds after which a client may repeat a request that could not be handled now.
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

/// The body of a response that redirects a worker to another controller; an empty object if none is known.
#[derive(Serialize)]
struct RedirectBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "foreman")]
    redirect_to: Option<ControllerId>,
}

/// The body of a response that renews a worker's lease and carries commands for the worker.
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

/// Creates a response that reports an error to the client.
pub(super) fn error(status: StatusCode, error: &str) -> HttpResponse {
    json(status, &ErrorBody { error })
}

/// Creates a response that asks the client to repeat the request soon.
pub(super) fn unavailable() -> HttpResponse {
    retry_after(RETRY_AFTER_S)
}

/// Creates the response to a request whose body could not be read. It closes the connection, since the rest of the
/// body could be mistaken for another request.
pub(super) fn to_unreadable_body(reason: BodyError) -> HttpResponse {
    let mut response = if reason.is_permanent() {
        error(StatusCode::BAD_REQUEST, &reason.to_string())
    } else {
        unavailable()
    };
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

fn retry_after(seconds: u32) -> HttpResponse {
    let reply = error(StatusCode::SERVICE_UNAVAILABLE, "not now: try again later");
    warp::reply::with_header(reply, "Retry-After", seconds.to_string()).into_response()
}

/// Converts the response to a user.
pub(super) fn to_user(response: Response) -> HttpResponse {
    match response {
        Response::Accepted(id) => {
            let stage = api::JobStage::Queued;
            json(StatusCode::CREATED, &AcceptedBody { id: &id, stage })
        }
        Response::State(state) => json(StatusCode::OK, &state),
        Response::Malformed(reason) => error(StatusCode::BAD_REQUEST, &reason),
        Response::Infeasible(reason) => error(StatusCode::UNPROCESSABLE_ENTITY, &reason),
        Response::UnknownJob => error(StatusCode::NOT_FOUND, "no such job"),
        Response::RetryAfter(seconds) => retry_after(seconds),
    }
}

/// Converts the response to a worker's heartbeat.
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

/// Creates the response to a health check.
pub(super) fn to_probe(ready: bool) -> HttpResponse {
    if ready {
        StatusCode::OK.into_response()
    } else {
        unavailable()
    }
}
