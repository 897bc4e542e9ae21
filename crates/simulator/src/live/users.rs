//! Users of a live region: they upload descriptions, and submit, poll and cancel jobs over HTTP.
//!
//! What they are told goes to the rules of the shared region.

use std::net::SocketAddr;
use std::time::Duration;

use jaspertiller::http_client::{Failure, HttpClient};
use jaspertiller::jobs::api::{self, JobStage};
use jaspertiller::types::{JobId, Millis};
use rand::Rng;
use serde::Deserialize;
use tokio::time::Instant;
use warp::http::Method;

use super::SharedRegion;
use crate::machines::JobDescription;
use crate::rules::JobResponse;
use crate::sim::JobPlan;

/// How long a user waits for the answer to a submission or a cancellation.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a user waits for the answer to a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two polls of a job.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time until a submission without an answer is repeated.
const SUBMIT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// An ID that no job of a run has.
const UNKNOWN_JOB: &str = "job-999999999999";

/// The part of an answer about a job that users read.
#[derive(Deserialize)]
struct StateBody {
    stage: String,
}

/// What an answer tells a user.
fn told(status: u16, body: &[u8]) -> JobResponse {
    let state = || {
        let state = serde_json::from_slice::<StateBody>(body).ok()?;
        Some(match state.stage.as_str() {
            "queued" => JobStage::Queued,
            "running" => JobStage::Running,
            "done" => JobStage::Done,
            "aborted" => JobStage::Aborted,
            _ => return None,
        })
    };
    match status {
        200 | 201 => state().map_or(JobResponse::Later, JobResponse::State),
        404 => JobResponse::NotFound,
        400 | 422 => JobResponse::Refused(status),
        _ => JobResponse::Later,
    }
}

/// A user of the region's controllers.
#[derive(Clone)]
pub struct User {
    shared: SharedRegion,
    client: HttpClient,
    controllers: Vec<SocketAddr>,
}

impl User {
    /// A user of the controllers at these addresses, of which there must be one at least.
    #[must_use]
    pub fn new(shared: SharedRegion, controllers: Vec<SocketAddr>) -> Self {
        let client = HttpClient::new(controllers[0]);
        Self {
            shared,
            client,
            controllers,
        }
    }

    /// Sends a request to the first controller that accepts the connection, from a random one on, as a load
    /// balancer would. A request that may have arrived is not repeated.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> JobResponse {
        let first = rand::rng().random_range(0..self.controllers.len());
        for offset in 0..self.controllers.len() {
            let address = self.controllers[(first + offset) % self.controllers.len()];
            let client = self.client.with_address(address);
            match client
                .call(method.clone(), path, body.clone(), timeout)
                .await
            {
                Ok((status, body)) => return told(status, &body),
                Err(Failure::NotSent) => {}
                Err(Failure::Unknown) => break,
            }
        }
        JobResponse::Later
    }

    /// Hands what a user was told to the rules.
    fn record(&self, id: &JobId, told: &JobResponse) {
        let region = &mut *self.shared.lock();
        let now = region.now();
        region.rules.told(id, told, &region.machines, now);
    }

    /// Whether a controller answers that it is ready.
    pub async fn is_ready(&self, index: usize) -> bool {
        let client = self.client.with_address(self.controllers[index]);
        let call = client.call(Method::GET, "/ready", Vec::new(), POLL_TIMEOUT);
        call.await.is_ok_and(|(status, _)| status == 200)
    }

    /// Polls a job that was never submitted: the rules demand an answer other than 200.
    pub async fn poll_unknown_job(&self) {
        let id = JobId::from(UNKNOWN_JOB);
        self.poll(&id).await;
    }

    /// Stores a job's description, which workers fetch when they start its tasks. Returns the job's ID and
    /// the body to submit; none if the plan is no valid job.
    pub fn upload(&self, plan: &JobPlan) -> Option<(JobId, Vec<u8>)> {
        let body = plan.body.to_string().into_bytes();
        let (id, spec) = api::parse(&body).ok()?;
        let region = &mut *self.shared.lock();
        let run = Millis(plan.run_ms);
        let description = JobDescription {
            spec,
            run_time: run,
            broken: false,
        };
        region.machines.jobs.insert(id.clone(), description);
        let now = region.now();
        region.rules.submit(&id, now);
        Some((id, body))
    }

    /// Submits a job once, without repeating it.
    pub async fn submit(&self, id: &JobId, body: &[u8]) -> JobResponse {
        let told = self
            .call(Method::POST, "/api/jobs", body.to_vec(), SUBMIT_TIMEOUT)
            .await;
        self.record(id, &told);
        told
    }

    /// Asks once for a job's stage.
    pub async fn poll(&self, id: &JobId) -> JobResponse {
        let path = format!("/api/jobs/{id}");
        let told = self
            .call(Method::GET, &path, Vec::new(), POLL_TIMEOUT)
            .await;
        self.record(id, &told);
        told
    }

    /// Cancels a job once.
    async fn cancel(&self, id: &JobId) -> JobResponse {
        let now = self.shared.lock().now();
        self.shared.lock().rules.wants_abort(id, now);
        let path = format!("/api/jobs/{id}/abort");
        let told = self
            .call(Method::POST, &path, Vec::new(), SUBMIT_TIMEOUT)
            .await;
        self.record(id, &told);
        told
    }

    /// Follows one job through its life: submits it at the time of its plan, polls it until it is over, and
    /// cancels it `cancel_after` its submission, if that is given.
    pub async fn follow(self, plan: JobPlan, cancel_after: Option<Duration>) {
        if let Some(at_ms) = plan.at {
            tokio::time::sleep(Duration::from_millis(at_ms)).await;
        }
        let Some((id, body)) = self.upload(&plan) else {
            return;
        };
        loop {
            match self.submit(&id, &body).await {
                JobResponse::State(_) => break,
                JobResponse::Refused(_) => return,
                JobResponse::Later | JobResponse::NotFound => {
                    tokio::time::sleep(SUBMIT_RETRY_DELAY).await
                }
            }
        }
        let cancel_at = cancel_after.map(|after| Instant::now() + after);
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let told = if cancel_at.is_some_and(|at| Instant::now() >= at) {
                self.cancel(&id).await
            } else {
                self.poll(&id).await
            };
            if matches!(told, JobResponse::State(JobStage::Done | JobStage::Aborted)) {
                return;
            }
        }
    }
}
