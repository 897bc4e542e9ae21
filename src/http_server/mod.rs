//! The HTTP server for users, workers and health checks: the routes, and the request that each sends to the controller.
//!
//! The server has no state: a request goes to the daemon through the [`RequestSender`], and its reply comes back through a
//! oneshot channel. [`connection_acceptor`] owns the connections.

mod body;
mod responses;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper_util::service::TowerToHyperService;
use tokio::sync::oneshot;
use warp::Filter;
use warp::filters::BoxedFilter;
use warp::http::StatusCode;
use warp::reply::Response as HttpResponse;

use crate::clock::Clock;
use crate::jobs::api::{self, Response};
use crate::requests::{Request, RequestSender};
use crate::sockets::{IdleTimeouts, connection_acceptor};
use crate::workers::wire::{Heartbeat, HeartbeatResponse, MAX_HEARTBEAT_BYTES};
use body::bounded;

/// Time within which the controller must reply. Workers time out after 4 s and users after 5 s: instead of timing out,
/// they should get a response that asks them to retry.
const REPLY_TIMEOUT: Duration = Duration::from_millis(3_800);

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
    warp::path!("api" / "jobs")
        .and(warp::post())
        .and(inbox.clone())
        .and(bounded(api::MAX_BODY_BYTES))
        .and_then(|inbox: Arc<RequestSender>, body: Bytes| {
            let submission = api::parse(&body);
            request_for_user(inbox, |reply| Request::Submit { submission, reply })
        })
        .boxed()
}

fn poll_route(inbox: &WithInbox) -> Route {
    warp::path!("api" / "jobs" / String)
        .and(warp::get())
        .and(inbox.clone())
        .and_then(|job: String, inbox: Arc<RequestSender>| {
            let job = job.as_str().into();
            request_for_user(inbox, |reply| Request::Poll { job, reply })
        })
        .boxed()
}

fn abort_route(inbox: &WithInbox) -> Route {
    warp::path!("api" / "jobs" / String / "abort")
        .and(warp::post())
        .and(inbox.clone())
        .and_then(|job: String, inbox: Arc<RequestSender>| {
            let job = job.as_str().into();
            request_for_user(inbox, |reply| Request::Abort { job, reply })
        })
        .boxed()
}

fn heartbeat_route(inbox: &WithInbox) -> Route {
    warp::path!("v1" / "report")
        .and(warp::post())
        .and(inbox.clone())
        .and(bounded(MAX_HEARTBEAT_BYTES))
        .and_then(handle_heartbeat)
        .boxed()
}

fn ready_route(inbox: &WithInbox) -> Route {
    warp::path!("ready")
        .and(warp::get())
        .and(inbox.clone())
        .and_then(|inbox: Arc<RequestSender>| async move {
            let ready = send_request(&inbox, |reply| Request::Ready { reply }).await;
            Ok::<_, Infallible>(responses::to_probe(ready.unwrap_or(false)))
        })
        .boxed()
}

async fn handle_heartbeat(
    inbox: Arc<RequestSender>,
    body: Bytes,
) -> Result<HttpResponse, Infallible> {
    let heartbeat: Heartbeat = match serde_json::from_slice(&body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            tracing::error!(%error, "heartbeat rejected: invalid body");
            let text = error.to_string();
            return Ok(responses::error(StatusCode::BAD_REQUEST, &text));
        }
    };
    let response = send_request(&inbox, |reply| Request::Heartbeat { heartbeat, reply }).await;
    let response = response.unwrap_or(HeartbeatResponse::RetryLater);
    Ok(responses::to_worker(response))
}

async fn request_for_user(
    inbox: Arc<RequestSender>,
    request: impl FnOnce(oneshot::Sender<Response>) -> Request,
) -> Result<HttpResponse, Infallible> {
    let response = send_request(&inbox, request).await;
    Ok(responses::to_user(
        response.unwrap_or_else(Response::retry_soon),
    ))
}

/// Sends a request to the controller and waits for the reply. Returns none if too many requests are queued, the request
/// is dropped, or there is no reply in time.
async fn send_request<T>(
    inbox: &RequestSender,
    request: impl FnOnce(oneshot::Sender<T>) -> Request,
) -> Option<T> {
    let (sender, receiver) = oneshot::channel();
    inbox.try_send(request(sender)).ok()?;
    let reply = tokio::time::timeout(REPLY_TIMEOUT, receiver).await;
    reply.ok()?.ok()
}

/// Creates the response to a request that every route rejected.
async fn on_rejection(rejection: warp::Rejection) -> Result<HttpResponse, Infallible> {
    Ok(if rejection.is_not_found() {
        responses::error(StatusCode::NOT_FOUND, "no such path")
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        responses::error(StatusCode::METHOD_NOT_ALLOWED, "no such method here")
    } else {
        responses::error(
            StatusCode::BAD_REQUEST,
            "the body is too large, too slow, or ended early",
        )
    })
}
