//! Users: they upload descriptions, submit, poll and cancel, as the protocol says they do.

use std::net::SocketAddr;
use std::time::Duration;

use jaspertiller::http_client::HttpClient;
use jaspertiller::jobs::api::{self, JobStage};
use jaspertiller::types::{JobId, Millis};
use rand::Rng;
use serde::Deserialize;
use warp::http::Method;

use super::Shared;
use crate::machines::JobDescription;
use crate::rules::Told;
use crate::sim::JobPlan;

const SUBMIT: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_secs(2);
const POLL_EVERY: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct State {
    stage: String,
}

fn told(status: u16, body: &[u8]) -> Told {
    let state = || {
        let state = serde_json::from_slice::<State>(body).ok()?;
        Some(match state.stage.as_str() {
            "queued" => JobStage::Queued,
            "running" => JobStage::Running,
            "done" => JobStage::Done,
            "aborted" => JobStage::Aborted,
            _ => return None,
        })
    };
    match status {
        200 | 201 => state().map_or(Told::Later, Told::State),
        404 => Told::NotFound,
        400 | 422 => Told::Refused(status),
        _ => Told::Later,
    }
}

#[derive(Clone)]
pub struct User {
    shared: Shared,
    client: HttpClient,
    controllers: Vec<SocketAddr>,
}

impl User {
    pub fn new(shared: Shared, controllers: Vec<SocketAddr>) -> Self {
        let client = HttpClient::new(controllers[0]);
        Self {
            shared,
            client,
            controllers,
        }
    }

    /// Asks whichever controller accepts the connection, as behind a load balancer.
    async fn ask(&self, method: Method, path: &str, body: Vec<u8>, limit: Duration) -> Told {
        let first = rand::rng().random_range(0..self.controllers.len());
        for turn in 0..self.controllers.len() {
            let address = self.controllers[(first + turn) % self.controllers.len()];
            let client = self.client.at(address);
            match client.call(method.clone(), path, body.clone(), limit).await {
                Ok((status, body)) => return told(status, &body),
                Err(jaspertiller::http_client::Failure::NotSent) => {}
                Err(jaspertiller::http_client::Failure::Unknown) => break,
            }
        }
        Told::Later
    }

    fn note(&self, id: &JobId, told: &Told) {
        let region = &mut *self.shared.lock();
        let now = region.now();
        region.rules.told(id, told, &region.machines, now);
    }

    /// Whether a controller says that it is ready.
    pub async fn ready(&self, index: usize) -> bool {
        let client = self.client.at(self.controllers[index]);
        let call = client.call(Method::GET, "/ready", Vec::new(), POLL);
        call.await.is_ok_and(|(status, _)| status == 200)
    }

    /// Nobody submitted this job: the answer must not be 200.
    pub async fn ask_for_nothing(&self) {
        let id = JobId::from("job-999999999999");
        let path = format!("/api/jobs/{id}");
        let told = self.ask(Method::GET, &path, Vec::new(), POLL).await;
        self.note(&id, &told);
    }

    /// Uploads the description of a job, which workers fetch; its id and what is to be submitted.
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

    /// Submits a job once.
    pub async fn submit(&self, id: &JobId, body: &[u8]) -> Told {
        let told = self
            .ask(Method::POST, "/api/jobs", body.to_vec(), SUBMIT)
            .await;
        self.note(id, &told);
        told
    }

    /// Asks once how a job stands.
    pub async fn poll(&self, id: &JobId) -> Told {
        let path = format!("/api/jobs/{id}");
        let told = self.ask(Method::GET, &path, Vec::new(), POLL).await;
        self.note(id, &told);
        told
    }

    /// Lives through one job: submits it when its plan says, cancels it after a while if it is to
    /// be cancelled, and polls until it is over.
    pub async fn follow(self, plan: JobPlan, cancel_after: Option<Duration>) {
        if let Some(at) = plan.at {
            tokio::time::sleep(Duration::from_millis(at)).await;
        }
        let Some((id, body)) = self.upload(&plan) else {
            return;
        };
        loop {
            match self.submit(&id, &body).await {
                Told::State(_) => break,
                Told::Refused(_) => return,
                _ => tokio::time::sleep(Duration::from_secs(1)).await,
            }
        }
        let cancel_at = cancel_after.map(|after| tokio::time::Instant::now() + after);
        let path = format!("/api/jobs/{id}");
        loop {
            tokio::time::sleep(POLL_EVERY).await;
            let told = if cancel_at.is_some_and(|at| tokio::time::Instant::now() >= at) {
                let now = self.shared.lock().now();
                self.shared.lock().rules.wants_abort(&id, now);
                let path = format!("{path}/abort");
                let told = self.ask(Method::POST, &path, Vec::new(), SUBMIT).await;
                self.note(&id, &told);
                told
            } else {
                self.poll(&id).await
            };
            if matches!(told, Told::State(JobStage::Done | JobStage::Aborted)) {
                return;
            }
        }
    }
}
