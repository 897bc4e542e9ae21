//! The actor that sends calls to the cloud, limited to the budget of requests per second, and returns
//! each response with the tag of its call.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::sync::mpsc;

use super::wire::{ListBody, MachineIdsBody, MachineTypesBody, RentBody};
use super::{CloudCall, CloudResponse};
use crate::clock::Clock;
use crate::http_client::{Failure, HttpClient};
use crate::settings::Settings;
use crate::store::budget::TokenBucket;

/// A call that takes longer counts as failed; the leader repeats what it still needs.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of machines on a page of the list.
const LIST_PAGE_SIZE: u32 = 500;
/// Fraction of the request budget that this controller uses. The other controllers draw on the budget
/// too, to read the machine types.
const BUDGET_FRACTION: f64 = 0.8;
/// Text in the body of a response with status 503 which means that the offer has no capacity.
const NO_CAPACITY_MARKER: &[u8] = b"capacity";

/// Handle for sending calls to the cloud actor.
#[derive(Clone)]
pub struct Cloud {
    inbox: mpsc::UnboundedSender<(u64, CloudCall)>,
}

/// The response to a call, with the call's tag.
pub struct CloudReply {
    /// The tag that the call was sent with.
    pub tag: u64,
    /// The response; [`CloudResponse::Failed`] if there is none or it is invalid.
    pub response: CloudResponse,
}

/// Why a call has no usable response.
#[derive(Debug, thiserror::Error)]
enum CloudError {
    #[error("no response: {0:?}")]
    NoResponse(Failure),
    #[error("refused with status {status}")]
    Refused { status: u16 },
    #[error(transparent)]
    Invalid(#[from] serde_json::Error),
}

struct Request {
    method: Method,
    path: String,
    body: Vec<u8>,
}

impl Cloud {
    /// Starts the actor, which sends one reply to `replies` for each call. Must be called within a
    /// Tokio runtime.
    pub fn start(
        settings: &Settings,
        clock: Clock,
        replies: mpsc::UnboundedSender<CloudReply>,
    ) -> Self {
        // Unbounded, since the leader makes only a few calls a second, and repeats none in flight.
        let (inbox, mut calls) = mpsc::unbounded_channel::<(u64, CloudCall)>();
        let client = HttpClient::new(settings.endpoints.cloud);
        let mut budget =
            TokenBucket::new(settings.deployment.cloud.rps * BUDGET_FRACTION, clock.now());
        tokio::spawn(async move {
            while let Some((tag, call)) = calls.recv().await {
                let wait = budget.time_until_available(1.0, clock.now());
                tokio::time::sleep(Duration::from_millis(wait.0)).await;
                budget.take(1.0);
                let (client, replies) = (client.clone(), replies.clone());
                tokio::spawn(async move {
                    let response = perform(&client, &call).await;
                    // The receiver is dropped only when the process ends.
                    let _ = replies.send(CloudReply { tag, response });
                });
            }
        });
        Self { inbox }
    }

    /// Queues a call; its reply carries `tag`.
    pub fn send(&self, tag: u64, call: CloudCall) {
        // The actor ends only with the process.
        let _ = self.inbox.send((tag, call));
    }
}

async fn perform(client: &HttpClient, call: &CloudCall) -> CloudResponse {
    let Request { method, path, body } = build_request(call);
    let result = client.call(method, &path, body, CALL_TIMEOUT).await;
    let response = result
        .map_err(CloudError::NoResponse)
        .and_then(|(status, body)| parse_response(call, status, &body));
    response.unwrap_or_else(|error| {
        match error {
            // Failed connections and timeouts are not logged.
            CloudError::NoResponse(_) => {}
            CloudError::Refused { status } => {
                tracing::debug!(status, path, "cloud request refused; call counts as failed");
            }
            CloudError::Invalid(error) => {
                tracing::error!(%error, path, "invalid cloud response; call counts as failed");
            }
        }
        CloudResponse::Failed
    })
}

fn build_request(call: &CloudCall) -> Request {
    match call {
        CloudCall::MachineTypes => get("/flavors".into()),
        CloudCall::List { after: None } => get(format!("/rentals?most={LIST_PAGE_SIZE}")),
        CloudCall::List { after: Some(after) } => {
            get(format!("/rentals?from={after}&most={LIST_PAGE_SIZE}"))
        }
        CloudCall::Rent {
            request_id,
            offer,
            count,
        } => {
            let body = RentBody {
                request_id,
                machine_type: &offer.machine_type,
                zone: &offer.zone,
                spot: offer.spot,
                count: *count,
            };
            post("/rentals".into(), &body)
        }
        CloudCall::Delete(machine_ids) => {
            let machine_ids = machine_ids.clone();
            post("/rentals/delete".into(), &MachineIdsBody { machine_ids })
        }
    }
}

fn get(path: String) -> Request {
    Request {
        method: Method::GET,
        path,
        body: Vec::new(),
    }
}

fn post(path: String, body: &impl serde::Serialize) -> Request {
    Request {
        method: Method::POST,
        path,
        // Bodies consist of strings, integers and bools, whose serialization cannot fail.
        body: serde_json::to_vec(body).unwrap_or_default(),
    }
}

fn parse_response(
    call: &CloudCall,
    status: u16,
    body: &Bytes,
) -> Result<CloudResponse, CloudError> {
    match (call, status) {
        (CloudCall::MachineTypes, 200) => {
            let body: MachineTypesBody = serde_json::from_slice(body)?;
            let type_specs = body.machine_types.into_iter().map(Into::into);
            Ok(CloudResponse::MachineTypes(type_specs.collect()))
        }
        (CloudCall::List { .. }, 200) => {
            let body: ListBody = serde_json::from_slice(body)?;
            Ok(CloudResponse::Page {
                machines: body.machines.into_iter().map(Into::into).collect(),
                more: body.truncated,
            })
        }
        (CloudCall::Rent { .. }, 200) => {
            let body: MachineIdsBody = serde_json::from_slice(body)?;
            Ok(CloudResponse::Rented(body.machine_ids))
        }
        (CloudCall::Rent { .. }, 503) if mentions_capacity(body) => Ok(CloudResponse::NoCapacity),
        (CloudCall::Delete(_), 200) => Ok(CloudResponse::Deleted),
        (_, status) => Err(CloudError::Refused { status }),
    }
}

fn mentions_capacity(body: &[u8]) -> bool {
    body.windows(NO_CAPACITY_MARKER.len())
        .any(|window| window == NO_CAPACITY_MARKER)
}

#[cfg(test)]
mod tests;
