//! The actor that speaks to the cloud within its budget.

use std::time::Duration;

use http::Method;
use tokio::sync::mpsc;

use super::wire::{ListBody, MachineTypesBody, Machines, RentBody};
use super::{CloudCall, CloudResponse};
use crate::clock::Clock;
use crate::http_client::HttpClient;
use crate::settings::Settings;
use crate::store::budget::Bucket;

const CALL_LIMIT: Duration = Duration::from_secs(5);
/// The most machines one list shows.
const PAGE: u32 = 500;
/// Part of the budget that is used; the other controllers read the machine types too.
const SHARE: f64 = 0.8;

/// Address of the cloud actor.
#[derive(Clone)]
pub struct Cloud {
    inbox: mpsc::UnboundedSender<(u64, CloudCall)>,
}

pub struct CloudReply {
    pub tag: u64,
    pub answer: CloudResponse,
}

impl Cloud {
    pub fn start(
        settings: &Settings,
        clock: Clock,
        answers: mpsc::UnboundedSender<CloudReply>,
    ) -> Self {
        // The leader makes a few calls a second, and none for what is under way.
        let (inbox, mut calls) = mpsc::unbounded_channel::<(u64, CloudCall)>();
        let client = HttpClient::new(settings.outside.cloud);
        let mut left = Bucket::new(settings.deployment.cloud.rps * SHARE, clock.now());
        tokio::spawn(async move {
            while let Some((tag, call)) = calls.recv().await {
                let wait = left.wait(1.0, clock.now());
                tokio::time::sleep(Duration::from_millis(wait.0)).await;
                left.take(1.0);
                let (client, answers) = (client.clone(), answers.clone());
                tokio::spawn(async move {
                    let answer = perform(&client, &call).await;
                    let _ = answers.send(CloudReply { tag, answer });
                });
            }
        });
        Self { inbox }
    }

    pub fn send(&self, tag: u64, call: CloudCall) {
        // The actor ends only with the process.
        let _ = self.inbox.send((tag, call));
    }
}

async fn perform(client: &HttpClient, call: &CloudCall) -> CloudResponse {
    let body_of = |value: Result<Vec<u8>, serde_json::Error>| value.unwrap_or_default();
    let (method, path, body) = match call {
        CloudCall::MachineTypes => (Method::GET, "/flavors".to_string(), Vec::new()),
        CloudCall::List { after } => {
            let from = after
                .as_ref()
                .map(|a| format!("from={a}&"))
                .unwrap_or_default();
            (
                Method::GET,
                format!("/rentals?{from}most={PAGE}"),
                Vec::new(),
            )
        }
        CloudCall::Rent {
            request_id,
            offer,
            count,
        } => {
            let body = RentBody {
                request_id,
                machine_type: &offer.0,
                zone: &offer.1,
                spot: offer.2,
                count: *count,
            };
            (
                Method::POST,
                "/rentals".into(),
                body_of(serde_json::to_vec(&body)),
            )
        }
        CloudCall::Delete(machine_ids) => {
            let machine_ids = machine_ids.clone();
            let body = body_of(serde_json::to_vec(&Machines { machine_ids }));
            (Method::POST, "/rentals/delete".into(), body)
        }
    };
    let Ok((status, body)) = client.call(method, &path, body, CALL_LIMIT).await else {
        return CloudResponse::Failed;
    };
    let parsed = match (call, status) {
        (CloudCall::MachineTypes, 200) => {
            serde_json::from_slice(&body).map(|b: MachineTypesBody| {
                CloudResponse::MachineTypes(b.machine_types.into_iter().map(Into::into).collect())
            })
        }
        (CloudCall::List { .. }, 200) => {
            serde_json::from_slice(&body).map(|b: ListBody| CloudResponse::Page {
                machine_ids: b.machine_ids.into_iter().map(Into::into).collect(),
                more: b.truncated,
            })
        }
        (CloudCall::Rent { .. }, 200) => {
            serde_json::from_slice(&body).map(|b: Machines| CloudResponse::Rented(b.machine_ids))
        }
        (CloudCall::Rent { .. }, 503) if body.windows(8).any(|w| w == b"capacity") => {
            Ok(CloudResponse::NoCapacity)
        }
        (CloudCall::Delete(_), 200) => Ok(CloudResponse::Deleted),
        (_, status) => {
            tracing::debug!(status, path, "cloud request refused");
            Ok(CloudResponse::Failed)
        }
    };
    parsed.unwrap_or_else(|error| {
        tracing::error!(%error, path, "cloud response is invalid");
        CloudResponse::Failed
    })
}
