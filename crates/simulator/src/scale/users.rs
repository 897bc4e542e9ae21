//! Simulated users of a scale run: each submits one job at its planned time and polls it until it ends. Latencies
//! are measured from the planned times, so that a slow response delays no later measurement.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use jaspertiller::jobs::api::JobStage;
use tokio::time::Instant;

use super::measure::{histogram, record};
use crate::live::users::User;
use crate::rules::JobResponse;
use crate::sim::JobPlan;

/// Time between two polls of a job.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a submission without a definite response is repeated.
const SUBMIT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Latencies that users observed, in milliseconds.
pub(super) struct UserLatencies {
    /// From the planned time of a submission to its response.
    pub submissions: Histogram<u64>,
    /// From the planned time of a poll to its response.
    pub polls: Histogram<u64>,
    /// Submissions that were rejected permanently.
    pub rejected: u64,
}

/// The latencies of all users.
#[derive(Clone)]
pub(super) struct SharedUserLatencies(Arc<Mutex<UserLatencies>>);

impl SharedUserLatencies {
    /// Latencies without a recorded value.
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(UserLatencies {
            submissions: histogram(),
            polls: histogram(),
            rejected: 0,
        })))
    }

    /// Locks the latencies; a panic of another holder is ignored.
    pub(super) fn lock(&self) -> MutexGuard<'_, UserLatencies> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Submits one job at `send_at` and polls it until it ends. Returns early if the job is rejected.
pub(super) async fn run_job(
    user: User,
    plan: JobPlan,
    send_at: Instant,
    latencies: SharedUserLatencies,
) {
    tokio::time::sleep_until(send_at).await;
    let Some((id, body)) = user.upload(&plan) else {
        return;
    };
    loop {
        match user.submit(&id, &body).await {
            JobResponse::State(_) => break,
            JobResponse::Refused(_) => {
                latencies.lock().rejected += 1;
                return;
            }
            JobResponse::Later | JobResponse::NotFound => {
                tokio::time::sleep(SUBMIT_RETRY_DELAY).await
            }
        }
    }
    let latency_ms = send_at.elapsed().as_millis() as u64;
    record(&mut latencies.lock().submissions, latency_ms);
    let mut poll_at = Instant::now() + POLL_INTERVAL;
    loop {
        tokio::time::sleep_until(poll_at).await;
        let response = user.poll(&id).await;
        let latency_ms = poll_at.elapsed().as_millis() as u64;
        if !matches!(response, JobResponse::Later) {
            record(&mut latencies.lock().polls, latency_ms);
        }
        if matches!(
            response,
            JobResponse::State(JobStage::Done | JobStage::Aborted)
        ) {
            return;
        }
        poll_at += POLL_INTERVAL;
    }
}
