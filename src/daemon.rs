//! The daemon: the actor that owns the controller, and the actors that do its I/O.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use crate::clock::Clock;
use crate::controller::{Controller, Effect, Event};
use crate::fleet::client::{Cloud, CloudReply};
use crate::http_client::HttpClient;
use crate::http_server;
use crate::jobs::JobSpec;
use crate::jobs::api::{Refused, Response};
use crate::peers::link::{PeerMessage, Peers};
use crate::request_queue::{RequestKind, RequestQueue};
use crate::settings::Settings;
use crate::sockets::{Budget, IdleTimeouts};
use crate::store::{Store, StoreReply};
use crate::types::{JobId, Millis, ReplyId};
use crate::workers::direct::{DirectClient, DirectRequest, DirectRequestKind, DirectResponse};
use crate::workers::wire::{Heartbeat, HeartbeatResponse};

const TICK: Duration = Duration::from_millis(100);

/// What the HTTP server asks of the controller.
pub enum Request {
    Submit {
        submission: Result<(JobId, JobSpec), Refused>,
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
    Heartbeat {
        heartbeat: Heartbeat,
        reply: oneshot::Sender<HeartbeatResponse>,
    },
    Ready {
        reply: oneshot::Sender<bool>,
    },
}

impl Request {
    fn kind(&self) -> RequestKind {
        match self {
            Request::Ready { .. } => RequestKind::Probe,
            Request::Heartbeat { .. } => RequestKind::Heartbeat,
            Request::Submit { .. } | Request::Poll { .. } | Request::Abort { .. } => {
                RequestKind::User
            }
        }
    }

    /// Whether its asker has given up.
    fn given_up(&self) -> bool {
        match self {
            Request::Submit { reply, .. }
            | Request::Poll { reply, .. }
            | Request::Abort { reply, .. } => reply.is_closed(),
            Request::Heartbeat { reply, .. } => reply.is_closed(),
            Request::Ready { reply } => reply.is_closed(),
        }
    }
}

pub type Inbox = mpsc::Sender<Request>;

/// Messages of other controllers that wait to be read.
const PEERS_WAIT: usize = 64;
/// The most requests of a kind that wait.
const MOST_WAITING: usize = 4_096;

/// Answers that are still owed.
enum PendingReply {
    User(oneshot::Sender<Response>),
    Worker(oneshot::Sender<HeartbeatResponse>),
    Ready(oneshot::Sender<bool>),
}

struct Daemon {
    controller: Controller,
    clock: Clock,
    store: Store,
    cloud: Cloud,
    peers: Peers,
    workers: DirectClient,
    pending_replies: HashMap<ReplyId, PendingReply>,
    next_reply: u64,
}

pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let settings = Arc::new(settings);
    let clock = Clock::start();
    // No more answers wait than calls were made, and the controller bounds those.
    let (store_answers, mut from_store) = mpsc::unbounded_channel::<StoreReply>();
    let (cloud_answers, mut from_cloud) = mpsc::unbounded_channel::<CloudReply>();
    let (peer_messages, mut from_peers) = mpsc::channel::<PeerMessage>(PEERS_WAIT);
    // One for each machine at the most.
    let (outcomes, mut from_workers) = mpsc::unbounded_channel();
    let (inbox, mut requests) = mpsc::channel::<Request>(MOST_WAITING);
    let budget = Budget::new(settings.deployment.quota.sockets, settings.members.len());
    let to_workers = HttpClient::without_idle(settings.public_addr);
    let mut daemon = Daemon {
        controller: Controller::new(settings.clone(), rand::random()),
        clock,
        store: Store::start(&settings, clock, store_answers),
        cloud: Cloud::start(&settings, clock, cloud_answers),
        peers: Peers::start(&settings, budget.peers, peer_messages),
        workers: DirectClient::start(to_workers, budget.direct, clock, outcomes),
        pending_replies: HashMap::new(),
        next_reply: 0,
    };
    let heartbeat = Millis::from_secs(settings.deployment.workers.heartbeat_interval_s);
    let idle_timeouts = IdleTimeouts::for_heartbeats_every(heartbeat);
    let serving = http_server::serve(
        settings.public_addr,
        inbox,
        budget.server,
        idle_timeouts,
        clock,
    );
    let mut server = tokio::spawn(serving);
    let mut intake = RequestQueue::new(MOST_WAITING);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        while let Ok(request) = requests.try_recv() {
            // Its sender learns that it is dropped.
            intake.push(request.kind(), request, daemon.clock.now());
        }
        // What leases and answers depend on goes first when there is more to do than time.
        tokio::select! {
            biased;
            ended = &mut server => return ended?,
            _ = ticks.tick() => daemon.handle(Event::Tick),
            Some(StoreReply { tag, answer }) = from_store.recv() => {
                daemon.handle(Event::Store { tag, answer });
            }
            Some(CloudReply { tag, answer }) = from_cloud.recv() => {
                daemon.handle(Event::Cloud { tag, answer });
            }
            Some(PeerMessage { from, message }) = from_peers.recv() => {
                daemon.handle(Event::Peer { from, message });
            }
            Some(outcome) = from_workers.recv() => match outcome {
                DirectResponse::Inspected(answered) => daemon.handle(Event::Inspected { answered }),
                DirectResponse::Commands(machine_id, answer) => daemon.handle(Event::Direct { machine_id, answer }),
            },
            () = std::future::ready(()), if !intake.is_empty() => {
                if let Some(request) = intake.pop(daemon.clock.now(), &mut Vec::new())
                    && !request.given_up()
                {
                    daemon.request(request);
                }
            }
            Some(request) = requests.recv() => {
                intake.push(request.kind(), request, daemon.clock.now());
            }
        }
    }
}

impl Daemon {
    fn expect_reply(&mut self, pending_replies: PendingReply) -> ReplyId {
        self.next_reply += 1;
        let reply = ReplyId(self.next_reply);
        self.pending_replies.insert(reply, pending_replies);
        reply
    }

    fn request(&mut self, request: Request) {
        let event = match request {
            Request::Submit { submission, reply } => {
                let reply = self.expect_reply(PendingReply::User(reply));
                Event::Submit { reply, submission }
            }
            Request::Poll { job, reply } => {
                let reply = self.expect_reply(PendingReply::User(reply));
                Event::Poll { reply, job }
            }
            Request::Abort { job, reply } => {
                let reply = self.expect_reply(PendingReply::User(reply));
                Event::Abort { reply, job }
            }
            Request::Heartbeat { heartbeat, reply } => {
                let reply = self.expect_reply(PendingReply::Worker(reply));
                Event::Heartbeat { reply, heartbeat }
            }
            Request::Ready { reply } => {
                let reply = self.expect_reply(PendingReply::Ready(reply));
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
            Effect::Allow { writes } => self.store.allow(writes),
            Effect::Inspect {
                machine_id,
                address,
            } => {
                let what = DirectRequestKind::Inspect;
                self.workers.send(DirectRequest {
                    machine_id,
                    address,
                    what,
                });
            }
            Effect::Direct {
                machine_id,
                address,
                worker_token,
                agent_epoch,
                commands,
            } => {
                let what = DirectRequestKind::Orders {
                    worker_token,
                    agent_epoch,
                    commands,
                };
                self.workers.send(DirectRequest {
                    machine_id,
                    address,
                    what,
                });
            }
            Effect::Cloud { tag, call } => self.cloud.send(tag, call),
            Effect::Peer { to, message } => self.peers.send(&to, message),
            Effect::User { reply, response } => {
                if let Some(PendingReply::User(sender)) = self.pending_replies.remove(&reply) {
                    let _ = sender.send(response);
                }
            }
            Effect::Worker { reply, answer } => {
                if let Some(PendingReply::Worker(sender)) = self.pending_replies.remove(&reply) {
                    let _ = sender.send(answer);
                }
            }
            Effect::Ready { reply, ready } => {
                if let Some(PendingReply::Ready(sender)) = self.pending_replies.remove(&reply) {
                    let _ = sender.send(ready);
                }
            }
        }
    }
}
