//! Users of a scale run: each sends one job at its planned time and polls it until it is over. The times that
//! they see are measured from the planned times, so that a slow answer delays no later measurement.

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
/// Time until a submission without an answer is repeated.
const SUBMIT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Times that users saw, in milliseconds.
pub(super) struct UserTimes {
    /// From the planned time of a submission to its answer.
    pub submissions: Histogram<u64>,
    /// From the planned time of a poll to its answer.
    pub polls: Histogram<u64>,
    /// Submissions that were refused for good.
    pub refused: u64,
}

/// The times of all users.
#[derive(Clone)]
pub(super) struct SharedUserTimes(Arc<Mutex<UserTimes>>);

impl SharedUserTimes {
    /// No times yet.
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(UserTimes {
            submissions: histogram(),
            polls: histogram(),
            refused: 0,
        })))
    }

    /// Exclusive access to the times.
    pub(super) fn lock(&self) -> MutexGuard<'_, UserTimes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Follows one job through its life: submits it at `send_at`, and polls it until it is over.
pub(super) async fn follow(user: User, plan: JobPlan, send_at: Instant, times: SharedUserTimes) {
    tokio::time::sleep_until(send_at).await;
    let Some((id, body)) = user.upload(&plan) else {
        return;
    };
    loop {
        match user.submit(&id, &body).await {
            JobResponse::State(_) => break,
            JobResponse::Refused(_) => {
                times.lock().refused += 1;
                return;
            }
            JobResponse::Later | JobResponse::NotFound => {
                tokio::time::sleep(SUBMIT_RETRY_DELAY).await
            }
        }
    }
    let took_ms = send_at.elapsed().as_millis() as u64;
    record(&mut times.lock().submissions, took_ms);
    let mut poll_at = Instant::now() + POLL_INTERVAL;
    loop {
        tokio::time::sleep_until(poll_at).await;
        let told = user.poll(&id).await;
        let took_ms = poll_at.elapsed().as_millis() as u64;
        if !matches!(told, JobResponse::Later) {
            record(&mut times.lock().polls, took_ms);
        }
        if matches!(told, JobResponse::State(JobStage::Done | JobStage::Aborted)) {
            return;
        }
        poll_at += POLL_INTERVAL;
    }
}
