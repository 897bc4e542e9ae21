//! The actor that speaks to the state service: waiting calls by class, the rest in flight.

use std::collections::VecDeque;
use std::time::Duration;

use http::Method;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use super::budget::Bucket;
use super::wire::{GrantBody, Granted, Ledger, Listing, News, NewsItem, txn_body};
use super::{Answer, Call, Class};
use crate::clock::Clock;
use crate::http_client::{Failure, HttpClient};
use crate::settings::Settings;

/// All that the service keeps lies under this prefix.
pub const PREFIX: &str = "jt/";
/// A key that never exists; reading it tells the present revision.
const NOWHERE: &str = "jt/nowhere";
/// Part of the deployment's budget that one controller takes at the most: not all peak at once.
const SHARE: f64 = 0.45;
/// Calls of the same kind give up after this long.
const CALL_LIMIT: Duration = Duration::from_millis(2_500);

pub struct StoreAnswer {
    pub tag: u64,
    pub answer: Answer,
}

struct Request {
    tag: u64,
    class: Class,
    call: Call,
}

/// Address of the store actor.
#[derive(Clone)]
pub struct Store {
    inbox: mpsc::UnboundedSender<Request>,
}

impl Store {
    pub fn start(
        settings: &Settings,
        clock: Clock,
        answers: mpsc::UnboundedSender<StoreAnswer>,
    ) -> Self {
        let (inbox, requests) = mpsc::unbounded_channel();
        let now = clock.now();
        let actor = Actor {
            client: HttpClient::new(settings.outside.state),
            requests_left: Bucket::new(settings.deployment.state.rps * SHARE, now),
            writes_left: Bucket::new(settings.deployment.state.write_rps * SHARE, now),
            waiting: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
            clock,
            answers,
        };
        tokio::spawn(actor.run(requests));
        Self { inbox }
    }

    pub fn send(&self, tag: u64, class: Class, call: Call) {
        // The actor ends only with the process.
        let _ = self.inbox.send(Request { tag, class, call });
    }
}

struct Actor {
    client: HttpClient,
    requests_left: Bucket,
    writes_left: Bucket,
    waiting: [VecDeque<Request>; 3],
    clock: Clock,
    answers: mpsc::UnboundedSender<StoreAnswer>,
}

impl Actor {
    async fn run(mut self, mut requests: mpsc::UnboundedReceiver<Request>) {
        let (throttled, mut overruns) = mpsc::unbounded_channel::<()>();
        loop {
            let pause = self.dispatch(&throttled);
            let pause = tokio::time::sleep(Duration::from_millis(pause));
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.waiting[request.class as usize].push_back(request),
                    None => return,
                },
                Some(()) = overruns.recv() => {
                    self.requests_left.drain();
                    self.writes_left.drain();
                }
                () = pause => {}
            }
        }
    }

    /// Starts every call the budget allows, by class; returns the milliseconds until the next.
    fn dispatch(&mut self, throttled: &mpsc::UnboundedSender<()>) -> u64 {
        loop {
            let Some(queue) = self.waiting.iter_mut().find(|q| !q.is_empty()) else {
                return 60_000;
            };
            let now = self.clock.now();
            let writes = match &queue[0].call {
                Call::Txn(txn) => txn.changes.len() as f64,
                _ => 0.0,
            };
            let urgent = queue[0].class == Class::Leases;
            let wait = self
                .requests_left
                .wait(1.0, now)
                .max(self.writes_left.wait(writes, now));
            if wait.0 > 0 && !urgent {
                return wait.0;
            }
            self.requests_left.take(1.0);
            self.writes_left.take(writes);
            if let Some(request) = queue.pop_front() {
                let (client, answers) = (self.client.clone(), self.answers.clone());
                let throttled = throttled.clone();
                tokio::spawn(async move {
                    let (answer, over) = perform(&client, &request.call).await;
                    if over {
                        let _ = throttled.send(());
                    }
                    let tag = request.tag;
                    let _ = answers.send(StoreAnswer { tag, answer });
                });
            }
        }
    }
}

fn decode<T: DeserializeOwned>(body: &[u8], then: impl FnOnce(T) -> Answer) -> Answer {
    match serde_json::from_slice(body) {
        Ok(value) => then(value),
        Err(error) => {
            tracing::error!(%error, "the state service's answer makes no sense");
            Answer::Unknown
        }
    }
}

/// Makes one call. Also tells whether the service said that the budget is exceeded.
async fn perform(client: &HttpClient, call: &Call) -> (Answer, bool) {
    let json = |value: &GrantBody| serde_json::to_vec(value).unwrap_or_default();
    let (method, path, body, limit) = match call {
        Call::Grant { life_ms } => {
            let body = json(&GrantBody { life_ms: *life_ms });
            (Method::POST, "/leases".into(), body, CALL_LIMIT)
        }
        Call::Renew(permit) => {
            let path = format!("/leases/{}/renew", permit.0);
            (Method::POST, path, b"{}".to_vec(), CALL_LIMIT)
        }
        Call::End(permit) => (
            Method::DELETE,
            format!("/leases/{}", permit.0),
            Vec::new(),
            CALL_LIMIT,
        ),
        Call::Txn(txn) => match txn_body(txn) {
            Ok(body) => (Method::POST, "/txn".into(), body, CALL_LIMIT),
            Err(error) => {
                tracing::error!(%error, "a transaction can't be written as JSON");
                return (Answer::Refused, false);
            }
        },
        Call::ReadRevision => (
            Method::GET,
            format!("/store/{NOWHERE}"),
            Vec::new(),
            CALL_LIMIT,
        ),
        Call::List { after } => {
            let from = after
                .as_ref()
                .map(|a| format!("&from={a}"))
                .unwrap_or_default();
            let path = format!("/store?starts={PREFIX}{from}&most=500");
            (Method::GET, path, Vec::new(), CALL_LIMIT)
        }
        Call::Follow { from, wait_ms } => {
            let path = format!("/follow?starts={PREFIX}&from={}&waitMs={wait_ms}", from.0);
            let limit = Duration::from_millis(wait_ms + 3_000);
            (Method::GET, path, Vec::new(), limit)
        }
    };
    let (status, body) = match client.call(method, &path, body, limit).await {
        Ok(response) => response,
        Err(Failure::NotSent) => return (Answer::Refused, false),
        Err(Failure::Unknown) => return (Answer::Unknown, false),
    };
    let answer = match (call, status) {
        (_, 429) => return (Answer::Refused, true),
        (_, 503) => Answer::Refused,
        (Call::Grant { .. }, 200) => decode(&body, |g: Granted| Answer::Granted(g.permit)),
        (Call::Renew(_), 200) => Answer::Renewed,
        (Call::Renew(_), 404) => Answer::NoLease,
        (Call::End(_), 200 | 204 | 404) => Answer::Ended,
        (Call::Txn(_), 200) => decode(&body, |l: Ledger| Answer::Committed(l.ledger)),
        (Call::Txn(_), 409) => decode(&body, |l: Ledger| Answer::Conflict(l.ledger)),
        (Call::Txn(_), 400) => {
            tracing::info!(body = %String::from_utf8_lossy(&body), "transaction refused");
            Answer::NoLease
        }
        (Call::ReadRevision, 404) => decode(&body, |l: Ledger| Answer::Revision(l.ledger)),
        (Call::List { .. }, 200) => decode(&body, |l: Listing| Answer::Page {
            entries: l.entries.into_iter().map(Into::into).collect(),
            more: l.truncated,
            revision: l.ledger,
        }),
        (Call::Follow { .. }, 200) => decode(&body, |n: News| Answer::Updates {
            updates: n.news.into_iter().filter_map(NewsItem::update).collect(),
            revision: n.ledger,
        }),
        (Call::Follow { .. }, 410) => Answer::TooOld,
        (_, status) => {
            tracing::error!(status, path, "the state service gave an unexpected status");
            Answer::Unknown
        }
    };
    (answer, false)
}
