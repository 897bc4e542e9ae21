//! The region's HTTP control interface, for fault requests and users' uploads of job descriptions.
//!
//! Uploads are stored in the shared region. Fault requests go through the channel that [`serve`] returns, because
//! only the owner of the controller processes can inject every kind of fault.

use std::net::SocketAddr;

use jaspertiller::jobs::api;
use jaspertiller::types::Millis;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use warp::http::Method;

use super::SharedRegion;
use super::faults::{Fault, FaultError};
use super::http::{self, Request, Response};
use crate::machines::JobDescription;

/// The field of an uploaded description that only the simulator reads; controllers ignore it.
#[derive(Deserialize)]
struct RunTimeBody {
    /// Run time of each task in seconds; defaults to the job's estimate.
    #[serde(rename = "runS", default)]
    run_s: Option<f64>,
}

/// A request to inject a fault, with the channel for its outcome.
pub struct FaultRequest {
    /// The fault to inject.
    pub fault: Fault,
    /// Takes the outcome, which becomes the HTTP response. Dropping it makes the request fail with 503.
    pub reply: oneshot::Sender<Result<(), FaultError>>,
}

/// Serves `POST /faults` and `POST /jobs` on a new loopback address. Returns the address and the channel of fault
/// requests.
///
/// # Errors
/// No listener can be opened.
pub fn serve(
    shared: &SharedRegion,
) -> std::io::Result<(SocketAddr, mpsc::UnboundedReceiver<FaultRequest>)> {
    let listener = http::listen()?;
    let address = listener.local_addr()?;
    let (sender, receiver) = mpsc::unbounded_channel();
    let shared = shared.clone();
    tokio::spawn(http::serve(listener, move |request| {
        handle(shared.clone(), sender.clone(), request)
    }));
    Ok((address, receiver))
}

async fn handle(
    shared: SharedRegion,
    sender: mpsc::UnboundedSender<FaultRequest>,
    request: Request,
) -> Response {
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/faults") => request_fault(&sender, &request.body).await,
        (&Method::POST, "/jobs") => upload(&shared, &request.body),
        _ => Response::error(404, "POST /faults and POST /jobs are all there is"),
    }
}

/// Forwards a fault request and waits for its outcome.
async fn request_fault(sender: &mpsc::UnboundedSender<FaultRequest>, body: &[u8]) -> Response {
    let fault = match serde_json::from_slice::<Fault>(body) {
        Ok(fault) => fault,
        Err(error) => return Response::error(400, error),
    };
    let (reply, outcome) = oneshot::channel();
    // If the channel is closed, the reply sender is dropped and the request gets 503 below.
    let _ = sender.send(FaultRequest { fault, reply });
    match outcome.await {
        Ok(Ok(())) => Response::ok(json!({})),
        Ok(Err(error)) => Response::error(422, error),
        Err(_) => Response::error(503, "the region is ending"),
    }
}

/// Stores a job's description, which workers read when they start the job's tasks.
fn upload(shared: &SharedRegion, body: &[u8]) -> Response {
    let run_time: RunTimeBody = match serde_json::from_slice(body) {
        Ok(run_time) => run_time,
        Err(error) => return Response::error(400, error),
    };
    let (id, spec) = match api::parse(body) {
        Ok(parsed) => parsed,
        Err(error) => return Response::error(400, format!("{:?}", error.reason)),
    };
    let run = Millis::from_secs(run_time.run_s.unwrap_or(spec.estimate_s));
    let region = &mut *shared.lock();
    let now = region.now();
    region.rules.submit(&id, now);
    let response = json!({"id": id, "runS": run.secs()});
    let description = JobDescription {
        spec,
        run_time: run,
        broken: false,
    };
    region.machines.jobs.insert(id, description);
    Response::json(201, response)
}
