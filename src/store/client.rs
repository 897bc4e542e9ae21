//! The actor that speaks to the state service: waiting calls by class, the rest in flight.

use std::collections::VecDeque;
use std::time::Duration;

use http::Method;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use super::budget::Share;
use super::wire::{GrantBody, Granted, Ledger, Listing, News, NewsItem, txn_body};
use super::{Answer, Call, Class};
use crate::clock::Clock;
use crate::http_client::{Failure, HttpClient};
use crate::settings::Settings;
use crate::types::Millis;

/// All that the service keeps lies under this prefix.
pub const PREFIX: &str = "jt/";
/// A key that never exists; reading it tells the present revision.
const NOWHERE: &str = "jt/nowhere";
/// A user's call that the budget kept waiting for this long is refused: its user is told to come
/// back.
const USERS_WAIT: Millis = Millis(1_500);
/// Calls give up after this long.
const CALL_LIMIT: Duration = Duration::from_millis(2_500);

pub struct StoreAnswer {
    pub tag: u64,
    pub answer: Answer,
}

struct Request {
    tag: u64,
    class: Class,
    call: Call,
    asked: Millis,
}

impl Request {
    fn writes(&self) -> f64 {
        match &self.call {
            Call::Txn(txn) => txn.changes.len() as f64,
            _ => 0.0,
        }
    }
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
        answers: mpsc::UnboundedSender<StoreAnswer>,
    ) -> Self {
        // What the controller asks for is bounded: one call for a lease, watch, list or proof, three
        // transactions of jobs, and one for each user who waits. Users' calls are refused after a while.
        let (inbox, requests) = mpsc::unbounded_channel();
        let now = clock.now();
        let (state, count) = (&settings.deployment.state, settings.controllers());
        let actor = Actor {
            client: HttpClient::new(settings.outside.state),
            requests_left: Share::new(state.rps, count, now),
            writes_left: Share::new(state.write_rps, count, now),
            waiting: Default::default(),
            clock,
            answers,
        };
        tokio::spawn(actor.run(requests));
        Self { inbox, clock }
    }

    pub fn send(&self, tag: u64, class: Class, call: Call) {
        // The actor ends only with the process.
        let asked = self.clock.now();
        let _ = self.inbox.send(Request {
            tag,
            class,
            call,
            asked,
        });
    }
}

struct Actor {
    client: HttpClient,
    requests_left: Share,
    writes_left: Share,
    waiting: [VecDeque<Request>; Class::COUNT],
    clock: Clock,
    answers: mpsc::UnboundedSender<StoreAnswer>,
}

impl Actor {
    async fn run(mut self, mut requests: mpsc::UnboundedReceiver<Request>) {
        let (refused, mut over_limit) = mpsc::unbounded_channel::<Request>();
        loop {
            let pause = self.dispatch(&refused);
            let pause = tokio::time::sleep(Duration::from_millis(pause));
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.waiting[request.class as usize].push_back(request),
                    None => return,
                },
                // It was not executed, so it waits its turn once more.
                Some(request) = over_limit.recv() => {
                    let now = self.clock.now();
                    let (writes, class) = (request.writes(), request.class);
                    tracing::debug!(writes, ?class, "over the state service's limit");
                    if request.writes() > 0.0 {
                        self.writes_left.objection(now);
                    } else {
                        self.requests_left.objection(now);
                    }
                    self.waiting[request.class as usize].push_front(request);
                }
                () = pause => {}
            }
        }
    }

    /// Starts every call the budget allows, by class; returns the milliseconds until the next.
    fn dispatch(&mut self, refused: &mpsc::UnboundedSender<Request>) -> u64 {
        loop {
            let now = self.clock.now();
            self.requests_left.grow(now);
            self.writes_left.grow(now);
            let first = self
                .waiting
                .iter_mut()
                .enumerate()
                .find_map(|(class, waiting)| {
                    let request = waiting.pop_front()?;
                    Some((class, request))
                });
            let Some((class, request)) = first else {
                return 60_000;
            };
            if class == Class::Users as usize && now.since(request.asked) > USERS_WAIT {
                let (tag, answer) = (request.tag, Answer::Refused);
                let _ = self.answers.send(StoreAnswer { tag, answer });
                continue;
            }
            let writes = request.writes();
            let wait = self
                .requests_left
                .bucket
                .wait(1.0, now)
                .max(self.writes_left.bucket.wait(writes, now));
            if wait.0 > 0 && class != Class::Leases as usize {
                self.waiting[class].push_front(request);
                return wait.0;
            }
            if now.since(request.asked).0 > 500 {
                let (class, waited) = (request.class, now.since(request.asked).0);
                tracing::debug!(?class, waited, "the budget kept a call waiting");
            }
            self.requests_left.bucket.take(1.0);
            self.writes_left.bucket.take(writes);
            let (client, answers) = (self.client.clone(), self.answers.clone());
            let refused = refused.clone();
            tokio::spawn(async move {
                let (answer, over) = perform(&client, &request.call).await;
                // A lease can't wait; the rest of its class is asked again soon anyway.
                if over && request.class != Class::Leases {
                    let _ = refused.send(request);
                    return;
                }
                let tag = request.tag;
                let _ = answers.send(StoreAnswer { tag, answer });
            });
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
