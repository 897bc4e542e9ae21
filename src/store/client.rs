//! The actor that speaks to the state service: waiting calls by class, the rest in flight.

use std::time::Duration;

use http::Method;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use super::lanes::{Lanes, Next, Waiting};
use super::wire::{GrantBody, Granted, Ledger, Listing, News, NewsItem, txn_body};
use super::{CallClass, StoreCall, StoreResponse};
use crate::clock::Clock;
use crate::http_client::{Failure, HttpClient};
use crate::settings::Settings;
use crate::types::Millis;

/// All that the service keeps lies under this prefix.
pub const PREFIX: &str = "jt/";
/// A key that never exists; reading it tells the present revision.
const NOWHERE: &str = "jt/nowhere";
/// Calls give up after this long.
const CALL_LIMIT: Duration = Duration::from_millis(2_500);

pub struct StoreReply {
    pub tag: u64,
    pub answer: StoreResponse,
}

enum Request {
    StoreCall {
        tag: u64,
        class: CallClass,
        call: StoreCall,
        asked: Millis,
    },
    /// So many changes a second are ours.
    Allow(f64),
}

/// Address of the store actor.
#[derive(Clone)]
pub struct Store {
    inbox: mpsc::UnboundedSender<Request>,
    clock: Clock,
}

impl Store {
    pub fn start(
        settings: &Settings,
        clock: Clock,
        answers: mpsc::UnboundedSender<StoreReply>,
    ) -> Self {
        // What the controller asks for is bounded: one call for a lease, watch, list or proof, three
        // transactions of jobs, and one for each user who waits. Users' calls are refused after a while.
        let (inbox, requests) = mpsc::unbounded_channel();
        let now = clock.now();
        let (state, count) = (&settings.deployment.state, settings.controllers());
        let actor = Actor {
            client: HttpClient::new(settings.outside.state),
            lanes: Lanes::new(state, count, now),
            clock,
            answers,
        };
        tokio::spawn(actor.run(requests));
        Self { inbox, clock }
    }

    pub fn allow(&self, writes: f64) {
        let _ = self.inbox.send(Request::Allow(writes));
    }

    pub fn send(&self, tag: u64, class: CallClass, call: StoreCall) {
        // The actor ends only with the process.
        let asked = self.clock.now();
        let _ = self.inbox.send(Request::StoreCall {
            tag,
            class,
            call,
            asked,
        });
    }
}

struct Actor {
    client: HttpClient,
    lanes: Lanes<(u64, StoreCall)>,
    clock: Clock,
    answers: mpsc::UnboundedSender<StoreReply>,
}

impl Actor {
    async fn run(mut self, mut requests: mpsc::UnboundedReceiver<Request>) {
        let (refused, mut over_limit) = mpsc::unbounded_channel();
        loop {
            let pause = self.dispatch(&refused);
            let pause = tokio::time::sleep(Duration::from_millis(pause.0));
            tokio::select! {
                request = requests.recv() => match request {
                    Some(Request::StoreCall { tag, class, call, asked }) => {
                        let writes = call.writes();
                        self.lanes.push(class, writes, (tag, call), asked);
                    }
                    Some(Request::Allow(writes)) => self.lanes.allow(writes, self.clock.now()),
                    None => return,
                },
                Some(call) = over_limit.recv() => {
                    let call: Waiting<(u64, StoreCall)> = call;
                    tracing::debug!(call.writes, ?call.class, "store rate limit exceeded");
                    self.lanes.over_limit(call, self.clock.now());
                }
                () = pause => {}
            }
        }
    }

    /// Starts every call the budget allows; returns how long until the next.
    fn dispatch(&mut self, refused: &mpsc::UnboundedSender<Waiting<(u64, StoreCall)>>) -> Millis {
        loop {
            let now = self.clock.now();
            let call = match self.lanes.next(now) {
                Next::StoreCall(call) => call,
                Next::Refuse((tag, _)) => {
                    let answer = StoreResponse::Refused;
                    let _ = self.answers.send(StoreReply { tag, answer });
                    continue;
                }
                Next::Wait(wait) => return wait,
                Next::Nothing => return Millis(60_000),
            };
            let waited = now.since(call.asked).0;
            if waited > 500 {
                let class = call.class;
                tracing::debug!(?class, waited, "store call delayed by rate limit");
            }
            let (client, answers) = (self.client.clone(), self.answers.clone());
            let refused = refused.clone();
            tokio::spawn(async move {
                let (answer, over) = perform(&client, &call.what.1).await;
                // A lease can't wait; the rest of its class is asked again soon anyway.
                if over && call.class != CallClass::Leases {
                    let _ = refused.send(call);
                    return;
                }
                let tag = call.what.0;
                let _ = answers.send(StoreReply { tag, answer });
            });
        }
    }
}

fn decode<T: DeserializeOwned>(
    body: &[u8],
    then: impl FnOnce(T) -> StoreResponse,
) -> StoreResponse {
    match serde_json::from_slice(body) {
        Ok(value) => then(value),
        Err(error) => {
            tracing::error!(%error, "store response is invalid");
            StoreResponse::Unknown
        }
    }
}

/// Makes one call. Also tells whether the service said that the budget is exceeded.
async fn perform(client: &HttpClient, call: &StoreCall) -> (StoreResponse, bool) {
    let json = |value: &GrantBody| serde_json::to_vec(value).unwrap_or_default();
    let (method, path, body, limit) = match call {
        StoreCall::Grant { life_ms } => {
            let body = json(&GrantBody { life_ms: *life_ms });
            (Method::POST, "/leases".into(), body, CALL_LIMIT)
        }
        StoreCall::Renew(lease_id) => {
            let path = format!("/leases/{}/renew", lease_id.0);
            (Method::POST, path, b"{}".to_vec(), CALL_LIMIT)
        }
        StoreCall::End(lease_id) => (
            Method::DELETE,
            format!("/leases/{}", lease_id.0),
            Vec::new(),
            CALL_LIMIT,
        ),
        StoreCall::Transaction(txn) => match txn_body(txn) {
            Ok(body) => (Method::POST, "/txn".into(), body, CALL_LIMIT),
            Err(error) => {
                tracing::error!(%error, "transaction serialization failed");
                return (StoreResponse::Refused, false);
            }
        },
        StoreCall::ReadRevision => (
            Method::GET,
            format!("/store/{NOWHERE}"),
            Vec::new(),
            CALL_LIMIT,
        ),
        StoreCall::List { after } => {
            let from = after
                .as_ref()
                .map(|a| format!("&from={a}"))
                .unwrap_or_default();
            let path = format!("/store?starts={PREFIX}{from}&most=500");
            (Method::GET, path, Vec::new(), CALL_LIMIT)
        }
        StoreCall::Watch { from, wait_ms } => {
            let path = format!("/follow?starts={PREFIX}&from={}&waitMs={wait_ms}", from.0);
            let limit = Duration::from_millis(wait_ms + 3_000);
            (Method::GET, path, Vec::new(), limit)
        }
    };
    let (status, body) = match client.call(method, &path, body, limit).await {
        Ok(response) => response,
        Err(Failure::NotSent) => return (StoreResponse::Refused, false),
        Err(Failure::Unknown) => return (StoreResponse::Unknown, false),
    };
    let answer = match (call, status) {
        (_, 429) => return (StoreResponse::Refused, true),
        (_, 503) => StoreResponse::Refused,
        (StoreCall::Grant { .. }, 200) => {
            decode(&body, |g: Granted| StoreResponse::Granted(g.lease_id))
        }
        (StoreCall::Renew(_), 200) => StoreResponse::Renewed,
        (StoreCall::Renew(_), 404) => StoreResponse::NoLease,
        (StoreCall::End(_), 200 | 204 | 404) => StoreResponse::Ended,
        (StoreCall::Transaction(_), 200) => {
            decode(&body, |l: Ledger| StoreResponse::Committed(l.ledger))
        }
        (StoreCall::Transaction(_), 409) => {
            decode(&body, |l: Ledger| StoreResponse::Conflict(l.ledger))
        }
        (StoreCall::Transaction(_), 400) => {
            tracing::info!(body = %String::from_utf8_lossy(&body), "transaction refused");
            StoreResponse::NoLease
        }
        (StoreCall::ReadRevision, 404) => {
            decode(&body, |l: Ledger| StoreResponse::Revision(l.ledger))
        }
        (StoreCall::List { .. }, 200) => decode(&body, |l: Listing| StoreResponse::Page {
            entries: l.entries.into_iter().map(Into::into).collect(),
            more: l.truncated,
            revision: l.ledger,
        }),
        (StoreCall::Watch { .. }, 200) => decode(&body, |n: News| StoreResponse::Updates {
            updates: n.news.into_iter().filter_map(NewsItem::update).collect(),
            revision: n.ledger,
        }),
        (StoreCall::Watch { .. }, 410) => StoreResponse::TooOld,
        (_, status) => {
            tracing::error!(status, path, "unexpected store response status");
            StoreResponse::Unknown
        }
    };
    (answer, false)
}
