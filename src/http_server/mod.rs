//! The HTTP server for users, workers and health checks: routes, and what each asks of the controller.
//!
//! It owns no state: a request goes to the daemon through the [`RequestSender`], and the response comes back on a channel of
//! its own. Connections are owned by [`connection_acceptor`].

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

/// The controller must reply within this time. Workers wait 4 s and users 5: they should get a response that asks
/// them to retry rather than time out.
const REPLY_TIMEOUT: Duration = Duration::from_millis(3_800);

/// The HTTP server can't start.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The address can't be listened on.
    #[error(transparent)]
    Listen(#[from] std::io::Error),
}

/// Serves at most `max_connections` at a time, until the process ends.
///
/// # Errors
/// The address can't be listened on.
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

/// A route, which rejects requests that it does not match.
type Route = BoxedFilter<(HttpResponse,)>;
/// Passes the channel to the controller to a route.
type WithInbox = BoxedFilter<(Arc<RequestSender>,)>;

/// All routes; the frequent ones first, since they are tried in turn.
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
            ask_for_user(inbox, |reply| Request::Submit { submission, reply })
        })
        .boxed()
}

fn poll_route(inbox: &WithInbox) -> Route {
    warp::path!("api" / "jobs" / String)
        .and(warp::get())
        .and(inbox.clone())
        .and_then(|job: String, inbox: Arc<RequestSender>| {
            let job = job.as_str().into();
            ask_for_user(inbox, |reply| Request::Poll { job, reply })
        })
        .boxed()
}

fn abort_route(inbox: &WithInbox) -> Route {
    warp::path!("api" / "jobs" / String / "abort")
        .and(warp::post())
        .and(inbox.clone())
        .and_then(|job: String, inbox: Arc<RequestSender>| {
            let job = job.as_str().into();
            ask_for_user(inbox, |reply| Request::Abort { job, reply })
        })
        .boxed()
}

fn heartbeat_route(inbox: &WithInbox) -> Route {
    warp::path!("v1" / "report")
        .and(warp::post())
        .and(inbox.clone())
        .and(bounded(MAX_HEARTBEAT_BYTES))
        .and_then(heartbeat)
        .boxed()
}

fn ready_route(inbox: &WithInbox) -> Route {
    warp::path!("ready")
        .and(warp::get())
        .and(inbox.clone())
        .and_then(|inbox: Arc<RequestSender>| async move {
            let ready = ask(&inbox, |reply| Request::Ready { reply }).await;
            Ok::<_, Infallible>(responses::to_probe(ready.unwrap_or(false)))
        })
        .boxed()
}

async fn heartbeat(inbox: Arc<RequestSender>, body: Bytes) -> Result<HttpResponse, Infallible> {
    let heartbeat: Heartbeat = match serde_json::from_slice(&body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            tracing::error!(%error, "heartbeat rejected");
            let text = error.to_string();
            return Ok(responses::error(StatusCode::BAD_REQUEST, &text));
        }
    };
    let response = ask(&inbox, |reply| Request::Heartbeat { heartbeat, reply }).await;
    let response = response.unwrap_or(HeartbeatResponse::RetryLater);
    Ok(responses::to_worker(response))
}

async fn ask_for_user(
    inbox: Arc<RequestSender>,
    request: impl FnOnce(oneshot::Sender<Response>) -> Request,
) -> Result<HttpResponse, Infallible> {
    let response = ask(&inbox, request).await;
    Ok(responses::to_user(
        response.unwrap_or_else(Response::retry_soon),
    ))
}

/// Asks the controller and waits for its reply; none if too many requests are queued or the reply is not there in
/// time.
async fn ask<T>(
    inbox: &RequestSender,
    request: impl FnOnce(oneshot::Sender<T>) -> Request,
) -> Option<T> {
    let (sender, receiver) = oneshot::channel();
    inbox.try_send(request(sender)).ok()?;
    let reply = tokio::time::timeout(REPLY_TIMEOUT, receiver).await;
    reply.ok()?.ok()
}

/// The response to a request that no route took.
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
