//! The HTTP server for users, workers and health checks.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use tokio::sync::oneshot;
use warp::http::StatusCode;
use warp::reply::Response as HttpResponse;
use warp::{Filter, Reply};

use crate::clock::Clock;
use crate::daemon::{Inbox, Request};
use crate::jobs::api::{self, Response};
use crate::sockets::{IdleTimeouts, connection_acceptor};
use crate::types::{ControllerId, JobId, WorkerToken};
use crate::workers::wire::{Heartbeat, HeartbeatResponse, MAX_HEARTBEAT_BYTES, WorkerCommand};

/// No request is worked on for longer: users wait 5 s, workers 4.
const ANSWER_LIMIT: Duration = Duration::from_millis(3_800);
/// A body that is not there by then is not waited for.
const BODY_LIMIT: Duration = Duration::from_secs(3);

#[derive(Serialize)]
struct Reason<'a> {
    error: &'a str,
}

#[derive(Serialize)]
struct Accepted<'a> {
    id: &'a JobId,
    stage: api::JobStage,
}

#[derive(Serialize)]
struct RedirectBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "foreman")]
    redirect_to: Option<ControllerId>,
}

#[derive(Serialize)]
struct Orders {
    #[serde(rename = "baton")]
    worker_token: WorkerToken,
    #[serde(rename = "orders")]
    commands: Vec<WorkerCommand>,
}

fn json(status: StatusCode, body: &impl Serialize) -> HttpResponse {
    warp::reply::with_status(warp::reply::json(body), status).into_response()
}

fn reason(status: StatusCode, error: &str) -> HttpResponse {
    json(status, &Reason { error })
}

fn later(seconds: u32) -> HttpResponse {
    let error = "not now: try again later";
    let reply = json(StatusCode::SERVICE_UNAVAILABLE, &Reason { error });
    warp::reply::with_header(reply, "Retry-After", seconds.to_string()).into_response()
}

fn user_response(response: Response) -> HttpResponse {
    match response {
        Response::Accepted(id) => {
            let stage = api::JobStage::Queued;
            json(StatusCode::CREATED, &Accepted { id: &id, stage })
        }
        Response::State(state) => json(StatusCode::OK, &state),
        Response::Malformed(why) => reason(StatusCode::BAD_REQUEST, &why),
        Response::NeverRuns(why) => reason(StatusCode::UNPROCESSABLE_ENTITY, &why),
        Response::Unknown => reason(StatusCode::NOT_FOUND, "no such job"),
        Response::Later(seconds) => later(seconds),
    }
}

fn worker_response(answer: HeartbeatResponse) -> HttpResponse {
    match answer {
        HeartbeatResponse::Commands {
            worker_token,
            commands,
        } => json(
            StatusCode::OK,
            &Orders {
                worker_token,
                commands,
            },
        ),
        HeartbeatResponse::Redirect(redirect_to) => json(
            StatusCode::MISDIRECTED_REQUEST,
            &RedirectBody { redirect_to },
        ),
        HeartbeatResponse::RetryLater => later(1),
    }
}

/// Asks the controller and waits for its answer.
async fn ask<T>(inbox: &Inbox, request: impl FnOnce(oneshot::Sender<T>) -> Request) -> Option<T> {
    let (sender, receiver) = oneshot::channel();
    // If too many wait, the asker is told at once to come back.
    inbox.try_send(request(sender)).ok()?;
    tokio::time::timeout(ANSWER_LIMIT, receiver)
        .await
        .ok()?
        .ok()
}

async fn ask_for_user(
    inbox: Inbox,
    request: impl FnOnce(oneshot::Sender<Response>) -> Request,
) -> Result<HttpResponse, Infallible> {
    let response = ask(&inbox, request).await;
    Ok(user_response(response.unwrap_or_else(Response::later)))
}

async fn heartbeat(inbox: Inbox, body: Bytes) -> Result<HttpResponse, Infallible> {
    let heartbeat: Heartbeat = match serde_json::from_slice(&body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            tracing::error!(%error, "heartbeat rejected");
            return Ok(reason(StatusCode::BAD_REQUEST, &error.to_string()));
        }
    };
    let answer = ask(&inbox, |reply| Request::Heartbeat { heartbeat, reply }).await;
    Ok(worker_response(
        answer.unwrap_or(HeartbeatResponse::RetryLater),
    ))
}

async fn rejected(rejection: warp::Rejection) -> Result<HttpResponse, Infallible> {
    Ok(if rejection.is_not_found() {
        reason(StatusCode::NOT_FOUND, "no such path")
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        reason(StatusCode::METHOD_NOT_ALLOWED, "no such method here")
    } else {
        reason(
            StatusCode::BAD_REQUEST,
            "the body is too large, too slow, or ended early",
        )
    })
}

#[derive(Debug)]
struct TooLarge;

impl warp::reject::Reject for TooLarge {}

/// The body, whether its length was announced or not, up to a limit.
fn bounded(
    limit: usize,
) -> impl Filter<Extract = (Bytes,), Error = warp::Rejection> + Clone + Send + Sync + 'static {
    warp::body::stream().and_then(move |stream| collect(stream, limit))
}

async fn collect(
    stream: impl Stream<Item = Result<impl Buf, warp::Error>> + Send,
    limit: usize,
) -> Result<Bytes, warp::Rejection> {
    let mut stream = std::pin::pin!(stream);
    let mut body = BytesMut::new();
    let whole = async {
        while let Some(part) = stream.next().await {
            let part = part.ok()?;
            if body.len() + part.remaining() > limit {
                return None;
            }
            body.put(part);
        }
        Some(())
    };
    // One that sends a byte a second would keep its connection for hours.
    match tokio::time::timeout(BODY_LIMIT, whole).await {
        Ok(Some(())) => Ok(body.freeze()),
        _ => Err(warp::reject::custom(TooLarge)),
    }
}

/// Serves `most` connections at a time.
pub async fn serve(
    address: SocketAddr,
    inbox: Inbox,
    most: usize,
    idle_timeouts: IdleTimeouts,
    clock: Clock,
) -> anyhow::Result<()> {
    let inbox = Arc::new(inbox);
    let inbox = warp::any().map(move || Inbox::clone(&inbox));
    let body = || bounded(api::LARGEST_BODY);
    let submit = warp::path!("api" / "jobs")
        .and(warp::post())
        .and(inbox.clone())
        .and(body())
        .and_then(|inbox: Inbox, body: Bytes| {
            let submission = api::parse(&body);
            ask_for_user(inbox, |reply| Request::Submit { submission, reply })
        });
    let poll = warp::path!("api" / "jobs" / String)
        .and(warp::get())
        .and(inbox.clone())
        .and_then(|job: String, inbox: Inbox| {
            let job = job.as_str().into();
            ask_for_user(inbox, |reply| Request::Poll { job, reply })
        });
    let abort = warp::path!("api" / "jobs" / String / "abort")
        .and(warp::post())
        .and(inbox.clone())
        .and_then(|job: String, inbox: Inbox| {
            let job = job.as_str().into();
            ask_for_user(inbox, |reply| Request::Abort { job, reply })
        });
    let heartbeats = warp::path!("v1" / "report")
        .and(warp::post())
        .and(inbox.clone())
        .and(bounded(MAX_HEARTBEAT_BYTES))
        .and_then(heartbeat);
    let ready =
        warp::path!("ready")
            .and(warp::get())
            .and(inbox)
            .and_then(|inbox: Inbox| async move {
                let ready = ask(&inbox, |reply| Request::Ready { reply }).await;
                Ok::<_, Infallible>(if ready == Some(true) {
                    StatusCode::OK.into_response()
                } else {
                    later(1)
                })
            });
    let routes = poll
        .or(heartbeats)
        .unify()
        .or(submit)
        .unify()
        .or(abort)
        .unify()
        .or(ready)
        .unify();
    let listener = tokio::net::TcpListener::bind(address).await?;
    tracing::info!(%address, "HTTP server listening");
    let service = TowerToHyperService::new(warp::service(routes.recover(rejected)));
    connection_acceptor::serve(listener, service, || later(1), most, idle_timeouts, clock).await;
    Ok(())
}
