//! The daemon: the actor that owns the controller, and the actors that do its I/O.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use crate::clock::Clock;
use crate::controller::{Controller, DirectAnswer, Effect, Event};
use crate::fleet::client::{Cloud, CloudReply};
use crate::http_client::HttpClient;
use crate::http_server;
use crate::jobs::Spec;
use crate::jobs::api::{Refusal, Response};
use crate::peers::link::{PeerMessage, Peers};
use crate::settings::Settings;
use crate::store::{Store, StoreAnswer};
use crate::types::{HostId, JobId, ReplyId};
use crate::workers::client;
use crate::workers::wire::{Report, ReportAnswer};

const TICK: Duration = Duration::from_millis(100);

/// What the HTTP server asks of the controller.
pub enum Request {
    Submit {
        submission: Result<(JobId, Spec), Refusal>,
        reply: oneshot::Sender<Response>,
    },
    Poll {
        job: JobId,
        reply: oneshot::Sender<Response>,
    },
    Abort {
        job: JobId,
        reply: oneshot::Sender<Response>,
    },
    Report {
        report: Report,
        reply: oneshot::Sender<ReportAnswer>,
    },
    Ready {
        reply: oneshot::Sender<bool>,
    },
}

pub type Inbox = mpsc::UnboundedSender<Request>;

/// Answers that are still owed.
enum Owed {
    User(oneshot::Sender<Response>),
    Worker(oneshot::Sender<ReportAnswer>),
    Ready(oneshot::Sender<bool>),
}

struct Daemon {
    controller: Controller,
    clock: Clock,
    store: Store,
    cloud: Cloud,
    peers: Peers,
    workers: HttpClient,
    inspections: mpsc::UnboundedSender<bool>,
    from_workers: mpsc::UnboundedSender<(HostId, Option<DirectAnswer>)>,
    owed: HashMap<ReplyId, Owed>,
    next_reply: u64,
}

pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let settings = Arc::new(settings);
    let clock = Clock::start();
    let (store_answers, mut from_store) = mpsc::unbounded_channel::<StoreAnswer>();
    let (cloud_answers, mut from_cloud) = mpsc::unbounded_channel::<CloudReply>();
    let (peer_messages, mut from_peers) = mpsc::unbounded_channel::<PeerMessage>();
    let (inspections, mut inspected) = mpsc::unbounded_channel();
    let (from_workers, mut direct_answers) = mpsc::unbounded_channel();
    let (inbox, mut requests) = mpsc::unbounded_channel::<Request>();
    let mut daemon = Daemon {
        controller: Controller::new(settings.clone(), rand::random()),
        clock,
        store: Store::start(&settings, clock, store_answers),
        cloud: Cloud::start(&settings, clock, cloud_answers),
        peers: Peers::start(&settings, peer_messages),
        workers: HttpClient::new(settings.public_addr),
        from_workers,
        inspections,
        owed: HashMap::new(),
        next_reply: 0,
    };
    let mut server = tokio::spawn(http_server::serve(settings.public_addr, inbox));
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        // What leases and answers depend on goes first when there is more to do than time.
        tokio::select! {
            biased;
            ended = &mut server => return ended?,
            _ = ticks.tick() => daemon.handle(Event::Tick),
            Some(StoreAnswer { tag, answer }) = from_store.recv() => {
                daemon.handle(Event::Store { tag, answer });
            }
            Some(CloudReply { tag, answer }) = from_cloud.recv() => {
                daemon.handle(Event::Cloud { tag, answer });
            }
            Some(PeerMessage { from, message }) = from_peers.recv() => {
                daemon.handle(Event::Peer { from, message });
            }
            Some(answered) = inspected.recv() => daemon.handle(Event::Inspected { answered }),
            Some((host, answer)) = direct_answers.recv() => {
                daemon.handle(Event::Direct { host, answer });
            }
            Some(request) = requests.recv() => daemon.request(request),
        }
    }
}

impl Daemon {
    fn owe(&mut self, owed: Owed) -> ReplyId {
        self.next_reply += 1;
        let reply = ReplyId(self.next_reply);
        self.owed.insert(reply, owed);
        reply
    }

    fn request(&mut self, request: Request) {
        let event = match request {
            Request::Submit { submission, reply } => {
                let reply = self.owe(Owed::User(reply));
                Event::Submit { reply, submission }
            }
            Request::Poll { job, reply } => {
                let reply = self.owe(Owed::User(reply));
                Event::Poll { reply, job }
            }
            Request::Abort { job, reply } => {
                let reply = self.owe(Owed::User(reply));
                Event::Abort { reply, job }
            }
            Request::Report { report, reply } => {
                let reply = self.owe(Owed::Worker(reply));
                Event::Report { reply, report }
            }
            Request::Ready { reply } => {
                let reply = self.owe(Owed::Ready(reply));
                Event::Ready { reply }
            }
        };
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        for effect in self.controller.handle(event, now) {
            self.carry_out(effect);
        }
    }

    /// Whoever asked may have given up by now: an answer that nobody waits for is dropped.
    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Store { tag, class, call } => self.store.send(tag, class, call),
            Effect::Inspect { host, address } => {
                let (workers, answers) = (self.workers.clone(), self.inspections.clone());
                tokio::spawn(async move {
                    let answered = client::inspect(workers, address).await;
                    tracing::debug!(%host, answered, "inspected");
                    let _ = answers.send(answered);
                });
            }
            Effect::Direct {
                host,
                address,
                baton,
                session,
                orders,
            } => {
                let (workers, answers) = (self.workers.clone(), self.from_workers.clone());
                tokio::spawn(async move {
                    let answer = client::send(workers, address, baton, session, orders).await;
                    let _ = answers.send((host, answer));
                });
            }
            Effect::Cloud { tag, call } => self.cloud.send(tag, call),
            Effect::Peer { to, message } => self.peers.send(&to, message),
            Effect::User { reply, response } => {
                if let Some(Owed::User(sender)) = self.owed.remove(&reply) {
                    let _ = sender.send(response);
                }
            }
            Effect::Worker { reply, answer } => {
                if let Some(Owed::Worker(sender)) = self.owed.remove(&reply) {
                    let _ = sender.send(answer);
                }
            }
            Effect::Ready { reply, ready } => {
                if let Some(Owed::Ready(sender)) = self.owed.remove(&reply) {
                    let _ = sender.send(ready);
                }
            }
        }
    }
}
