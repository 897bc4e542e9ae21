//! The HTTP server for users, workers and health checks: the routes, and the request that each sends to the controller.
//!
//! The server has no state: a request goes to the daemon through the [`RequestSender`], and its reply comes back through a
//! oneshot channel. [`connection_acceptor`] owns the connections.

mod body;
mod body_memory;
mod responses;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::service::TowerToHyperService;
use tokio::sync::oneshot;
use tokio::time::Instant;
use warp::Filter;
use warp::filters::BoxedFilter;
use warp::http::StatusCode;
use warp::reply::Response as HttpResponse;

use crate::clock::Clock;
use crate::jobs::api::{self, Response};
use crate::requests::{Request, RequestSender};
use crate::sockets::{IdleTimeouts, connection_acceptor};
use crate::workers::wire::{Heartbeat, HeartbeatResponse, MAX_HEARTBEAT_BYTES};
use body::{BodyError, BodyLimits, ReceivedBody, received};
use body_memory::BodyMemory;

/// Time within which the controller must reply. Workers time out after 4 s and users after 5 s: instead of timing out,
/// they should get a response that asks them to retry.
const REPLY_TIMEOUT: Duration = Duration::from_millis(3_800);
/// Time from the end of a submission's head within which its user gets a response.
const SUBMISSION_TIMEOUT: Duration = Duration::from_millis(4_700);
/// Limits of the bodies of submissions. The rest of [`SUBMISSION_TIMEOUT`] is for the controller's reply.
const SUBMISSION_BODY: BodyLimits = BodyLimits {
    max_bytes: api::MAX_BODY_BYTES,
    timeout: Duration::from_millis(4_400),
};
/// Time from the end of a heartbeat's head within which its worker gets a response.
const HEARTBEAT_TIMEOUT: Duration = REPLY_TIMEOUT;
/// Limits of the bodies of heartbeats. The rest of [`HEARTBEAT_TIMEOUT`] is for the controller's reply.
const HEARTBEAT_BODY: BodyLimits = BodyLimits {
    max_bytes: MAX_HEARTBEAT_BYTES,
    timeout: Duration::from_millis(3_400),
};
/// Memory for the bodies of submissions that are being received, in bytes.
const SUBMISSION_BODIES_BYTES: usize = 8 << 20;
/// Memory for the bodies of heartbeats that are being received, in bytes.
const HEARTBEAT_BODIES_BYTES: usize = 16 << 20;

/// Why the HTTP server could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Binding the listening socket failed.
    #[error(transparent)]
    Listen(#[from] std::io::Error),
}

/// Listens on `address`, and serves at most `max_connections` at a time until the process ends.
///
/// # Errors
/// Binding the listening socket failed.
pub async fn serve(
    address: SocketAddr,
    inbox: RequestSender,
    max_connections: usize,
    idle_timeouts: IdleTimeouts,
    clock: Clock,
) -> Result<(), ServeError> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    tracing::info!(%address, "HTTP server listening");
    let routes = routes(inbox).recover(on_rejection);
    let service = TowerToHyperService::new(warp::service(routes));
    connection_acceptor::serve(
        listener,
        service,
        responses::unavailable,
        max_connections,
        idle_timeouts,
        clock,
    )
    .await;
    Ok(())
}

/// A route. It rejects requests that do not match, so that the next route is tried.
type Route = BoxedFilter<(HttpResponse,)>;
/// A filter that extracts the channel to the controller.
type WithInbox = BoxedFilter<(Arc<RequestSender>,)>;

/// Combines all routes, the most frequently used first, since they are tried in order.
fn routes(inbox: RequestSender) -> Route {
    let inbox = Arc::new(inbox);
    let inbox = warp::any().map(move || Arc::clone(&inbox)).boxed();
    poll_route(&inbox)
        .or(heartbeat_route(&inbox))
        .unify()
        .or(submit_route(&inbox))
        .unify()
        .or(abort_route(&inbox))
        .unify()
        .or(ready_route(&inbox))
        .unify()
        .boxed()
}

fn submit_route(inbox: &WithInbox) -> Route {
    let memory = BodyMemory::new(SUBMISSION_BODIES_BYTES);
    warp::path!("api" / "jobs")
        .and(warp::post())
        .and(inbox.clone())
        .and(received(SUBMISSION_BODY, memory))
        .then(handle_submission)
        .boxed()
}

fn poll_route(inbox: &WithInbox) -> Route {
    warp::path!("api" / "jobs" / String)
        .and(warp::get())
        .and(inbox.clone())
        .then(|job: String, inbox: Arc<RequestSender>| {
            let job = job.as_str().into();
            let respond_by = Instant::now() + REPLY_TIMEOUT;
            request_for_user(inbox, respond_by, |reply| Request::Poll { job, reply })
        })
        .boxed()
}

fn abort_route(inbox: &WithInbox) -> Route {
    warp::path!("api" / "jobs" / String / "abort")
        .and(warp::post())
        .and(inbox.clone())
        .then(|job: String, inbox: Arc<RequestSender>| {
            let job = job.as_str().into();
            let respond_by = Instant::now() + REPLY_TIMEOUT;
            request_for_user(inbox, respond_by, |reply| Request::Abort { job, reply })
        })
        .boxed()
}

fn heartbeat_route(inbox: &WithInbox) -> Route {
    let memory = BodyMemory::new(HEARTBEAT_BODIES_BYTES);
    warp::path!("v1" / "report")
        .and(warp::post())
        .and(inbox.clone())
        .and(received(HEARTBEAT_BODY, memory))
        .then(handle_heartbeat)
        .boxed()
}

fn ready_route(inbox: &WithInbox) -> Route {
    warp::path!("ready")
        .and(warp::get())
        .and(inbox.clone())
        .then(|inbox: Arc<RequestSender>| async move {
            let respond_by = Instant::now() + REPLY_TIMEOUT;
            let ready = send_request(&inbox, respond_by, |reply| Request::Ready { reply }).await;
            responses::to_probe(ready.unwrap_or(false))
        })
        .boxed()
}

async fn handle_submission(
    inbox: Arc<RequestSender>,
    received: Result<ReceivedBody, BodyError>,
) -> HttpResponse {
    let body = match received {
        Ok(body) => body,
        Err(error) => return unreadable_body("submission", error),
    };
    let respond_by = reply_deadline(&body, SUBMISSION_TIMEOUT);
    let submission = api::parse(&body.bytes);
    drop(body);
    request_for_user(inbox, respond_by, |reply| Request::Submit {
        submission,
        reply,
    })
    .await
}

async fn handle_heartbeat(
    inbox: Arc<RequestSender>,
    received: Result<ReceivedBody, BodyError>,
) -> HttpResponse {
    let body = match received {
        Ok(body) => body,
        Err(error) => return unreadable_body("heartbeat", error),
    };
    let respond_by = reply_deadline(&body, HEARTBEAT_TIMEOUT);
    let heartbeat: Heartbeat = match serde_json::from_slice(&body.bytes) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            tracing::error!(%error, "heartbeat rejected: invalid body");
            return responses::error(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    drop(body);
    let request = |reply| Request::Heartbeat { heartbeat, reply };
    let response = send_request(&inbox, respond_by, request).await;
    responses::to_worker(response.unwrap_or(HeartbeatResponse::RetryLater))
}

/// When the controller must have replied to a request, of which the sender expects the response within
/// `response_timeout` of its head.
fn reply_deadline(body: &ReceivedBody, response_timeout: Duration) -> Instant {
    let response_due = body.request_started + response_timeout;
    response_due.min(Instant::now() + REPLY_TIMEOUT)
}

/// The response to a request whose body could not be read.
fn unreadable_body(request: &str, error: BodyError) -> HttpResponse {
    tracing::debug!(request, %error, permanent = error.is_permanent(), "request body not read");
    responses::to_unreadable_body(error)
}

async fn request_for_user(
    inbox: Arc<RequestSender>,
    respond_by: Instant,
    request: impl FnOnce(oneshot::Sender<Response>) -> Request,
) -> HttpResponse {
    let response = send_request(&inbox, respond_by, request).await;
    responses::to_user(response.unwrap_or_else(Response::retry_soon))
}

/// Sends a request to the controller and waits for the reply. Returns none if too many requests are queued, the request
/// is dropped, or there is no reply in time.
async fn send_request<T>(
    inbox: &RequestSender,
    respond_by: Instant,
    request: impl FnOnce(oneshot::Sender<T>) -> Request,
) -> Option<T> {
    let (sender, receiver) = oneshot::channel();
    inbox.try_send(request(sender)).ok()?;
    let reply = tokio::time::timeout_at(respond_by, receiver).await;
    reply.ok()?.ok()
}

/// Creates the response to a request that every route rejected. A rejection whose cause is not known to be in the
/// request asks the client to retry.
async fn on_rejection(rejection: warp::Rejection) -> Result<HttpResponse, Infallible> {
    Ok(if rejection.is_not_found() {
        responses::error(StatusCode::NOT_FOUND, "no such path")
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        responses::error(StatusCode::METHOD_NOT_ALLOWED, "no such method here")
    } else if rejection.find::<warp::reject::InvalidHeader>().is_some() {
        responses::error(StatusCode::BAD_REQUEST, "a header is invalid")
    } else {
        tracing::error!(?rejection, "request rejected for an unknown reason");
        responses::unavailable()
    })
}

#[cfg(test)]
mod tests;
