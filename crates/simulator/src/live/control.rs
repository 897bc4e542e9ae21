//! Where faults are asked for, and where users upload what their jobs are.

use std::net::SocketAddr;

use jaspertiller::jobs::api;
use jaspertiller::types::Millis;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use warp::http::Method;

use super::Shared;
use super::faults::Fault;
use super::http::{self, Reaction, Request};
use crate::machines::JobDescription;

/// Beside what the controllers are told, how long a task runs; left out: as long as expected.
#[derive(Deserialize)]
struct Runs {
    #[serde(rename = "runS", default)]
    run_s: Option<f64>,
}

fn error(status: u16, why: impl ToString) -> Reaction {
    (status, Some(json!({"error": why.to_string()})))
}

/// A user uploads a job's description: the workers fetch it when they start its tasks.
fn upload(shared: &Shared, body: &[u8]) -> Reaction {
    let runs: Runs = match serde_json::from_slice(body) {
        Ok(runs) => runs,
        Err(why) => return error(400, why),
    };
    let (id, spec) = match api::parse(body) {
        Ok(parsed) => parsed,
        Err(why) => return error(400, format!("{:?}", why.why)),
    };
    let run = Millis::from_secs(runs.run_s.unwrap_or(spec.estimate_s));
    let region = &mut *shared.lock();
    let now = region.now();
    region.rules.submit(&id, now);
    let answer = json!({"id": id, "runS": run.secs()});
    let description = JobDescription {
        spec,
        run_time: run,
        broken: false,
    };
    region.machines.jobs.insert(id, description);
    (201, Some(answer))
}

pub type Asked = (Fault, oneshot::Sender<Result<(), String>>);

/// Serves `POST /faults` and `POST /jobs` on an address of its own.
pub fn serve(shared: &Shared) -> std::io::Result<(SocketAddr, mpsc::UnboundedReceiver<Asked>)> {
    let listener = http::listen()?;
    let address = listener.local_addr()?;
    let (inbox, asked) = mpsc::unbounded_channel::<Asked>();
    let shared = shared.clone();
    tokio::spawn(http::serve(listener, move |request: Request| {
        let (inbox, shared) = (inbox.clone(), shared.clone());
        async move {
            match (&request.method, request.path.as_str()) {
                (&Method::POST, "/faults") => {}
                (&Method::POST, "/jobs") => return upload(&shared, &request.body),
                _ => return error(404, "POST /faults and POST /jobs are all there is"),
            }
            let fault = match serde_json::from_slice::<Fault>(&request.body) {
                Ok(fault) => fault,
                Err(why) => return error(400, why),
            };
            let (reply, outcome) = oneshot::channel();
            let _ = inbox.send((fault, reply));
            match outcome.await {
                Ok(Ok(())) => (200, Some(json!({}))),
                Ok(Err(why)) => error(422, why),
                Err(_) => error(503, "the region is ending"),
            }
        }
    }));
    Ok((address, asked))
}
