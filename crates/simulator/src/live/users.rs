//! Simulated users of a live region, who upload job descriptions and submit, poll and cancel jobs over HTTP.
//!
//! Each response is reported to the shared region's rules, which check it against the protocol's invariants.

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

/// Timeout of a submission or a cancellation.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two polls of a job.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a submission without a definite response is repeated.
const SUBMIT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// An ID that no job of a run has.
const UNKNOWN_JOB: &str = "job-999999999999";

/// The field of a job's state that users read.
#[derive(Deserialize)]
struct StateBody {
    stage: String,
}

/// Classifies a controller's response to a request about a job. Statuses and bodies that can't be interpreted
/// count as [`JobResponse::Later`].
fn parse_response(status: u16, body: &[u8]) -> JobResponse {
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

/// A client of the region's controllers. Clones share the region and the connections.
#[derive(Clone)]
pub struct User {
    shared: SharedRegion,
    client: HttpClient,
    controllers: Vec<SocketAddr>,
}

impl User {
    /// A user of the controllers at these addresses.
    ///
    /// # Panics
    /// `controllers` is empty.
    #[must_use]
    pub fn new(shared: SharedRegion, controllers: Vec<SocketAddr>) -> Self {
        let client = HttpClient::new(controllers[0]);
        Self {
            shared,
            client,
            controllers,
        }
    }

    /// Sends a request to a random controller, or to the next ones if it could not be sent, as a load balancer
    /// would. A request that a controller may have received is not repeated.
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
                Ok((status, body)) => return parse_response(status, &body),
                Err(Failure::NotSent) => {}
                Err(Failure::Unknown) => break,
            }
        }
        JobResponse::Later
    }

    /// Reports a response to the rules.
    fn check_response(&self, id: &JobId, response: &JobResponse) {
        let region = &mut *self.shared.lock();
        let now = region.now();
        region.rules.told(id, response, &region.machines, now);
    }

    /// Whether the controller with an index reports that it is ready; false if it does not respond in time.
    pub async fn is_ready(&self, index: usize) -> bool {
        let client = self.client.with_address(self.controllers[index]);
        let call = client.call(Method::GET, "/ready", Vec::new(), POLL_TIMEOUT);
        call.await.is_ok_and(|(status, _)| status == 200)
    }

    /// Polls a job that was never submitted; the rules require a response other than 200.
    pub async fn poll_unknown_job(&self) {
        let id = JobId::from(UNKNOWN_JOB);
        self.poll(&id).await;
    }

    /// Stores a job's description, which workers read when they start its tasks. Returns the job's ID and the
    /// body to submit; `None` if the plan is not a valid job.
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

    /// Submits a job once; repeating a failed submission is left to the caller.
    pub async fn submit(&self, id: &JobId, body: &[u8]) -> JobResponse {
        let response = self
            .call(Method::POST, "/api/jobs", body.to_vec(), SUBMIT_TIMEOUT)
            .await;
        self.check_response(id, &response);
        response
    }

    /// Polls a job's state once.
    pub async fn poll(&self, id: &JobId) -> JobResponse {
        let path = format!("/api/jobs/{id}");
        let response = self
            .call(Method::GET, &path, Vec::new(), POLL_TIMEOUT)
            .await;
        self.check_response(id, &response);
        response
    }

    /// Requests a job's cancellation once.
    async fn cancel(&self, id: &JobId) -> JobResponse {
        let now = self.shared.lock().now();
        self.shared.lock().rules.wants_abort(id, now);
        let path = format!("/api/jobs/{id}/abort");
        let response = self
            .call(Method::POST, &path, Vec::new(), SUBMIT_TIMEOUT)
            .await;
        self.check_response(id, &response);
        response
    }

    /// Submits one job at its planned time and polls it until it ends or is rejected. If `cancel_after` is given,
    /// polls that long after the accepted submission become cancellations.
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
            let response = if cancel_at.is_some_and(|at| Instant::now() >= at) {
                self.cancel(&id).await
            } else {
                self.poll(&id).await
            };
            if matches!(
                response,
                JobResponse::State(JobStage::Done | JobStage::Aborted)
            ) {
                return;
            }
        }
    }
}
