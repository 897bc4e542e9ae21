//! The daemon: the actor that owns the controller and starts the actors for its I/O.
//!
//! Every input becomes an [`Event`], which the controller handles one at a time. The [`Effect`]s that the controller
//! returns go to the store, the cloud, the peers, the workers and the HTTP server.

mod replies;

pub use crate::requests::Request;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinError;
use tokio::time::{Interval, MissedTickBehavior};

use crate::clock::Clock;
use crate::controller::{Controller, Effect, Event};
use crate::fleet::client::{Cloud, CloudReply};
use crate::http_client::HttpClient;
use crate::http_server::{self, ServeError};
use crate::peers::link::{PeerMessage, Peers};
use crate::request_queue::RequestQueue;
use crate::settings::Settings;
use crate::sockets::{IdleTimeouts, SocketBudget};
use crate::store::{Store, StoreReply};
use crate::task::OwnedTask;
use crate::types::Millis;
use crate::workers::direct::{DirectClient, DirectRequest, DirectRequestKind, DirectResponse};
use replies::{PendingReplies, PendingReply};

/// Time between two ticks of the controller, which bounds how late the controller notices a passed deadline.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the queue of messages from other controllers. While the queue is full, their connections are not read.
const MAX_QUEUED_PEER_MESSAGES: usize = 64;
/// Maximum number of queued requests of each kind, so that an overload can't exhaust the memory.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Why the daemon stopped.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The HTTP server could not be started.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The HTTP server's task panicked.
    #[error(transparent)]
    ServerTask(#[from] JoinError),
}

/// Runs a controller until its HTTP server ends, which it does only on an error.
///
/// # Errors
/// The HTTP server could not be started, or its task panicked.
pub async fn run(settings: Settings) -> Result<(), DaemonError> {
    let (mut daemon, mut inputs) = start(&Arc::new(settings));
    let mut queue = RequestQueue::new(MAX_QUEUED_REQUESTS);
    loop {
        while let Ok(request) = inputs.requests.try_recv() {
            enqueue(&mut queue, request, daemon.clock.now());
        }
        // Biased, so that under overload the inputs that leases and replies depend on go first.
        tokio::select! {
            biased;
            ended = inputs.server.join() => return Ok(ended??),
            _ = inputs.ticks.tick() => daemon.handle(Event::Tick),
            Some(StoreReply { tag, response }) = inputs.store.recv() => {
                daemon.handle(Event::Store { tag, response });
            }
            Some(CloudReply { tag, response }) = inputs.cloud.recv() => {
                daemon.handle(Event::Cloud { tag, response });
            }
            Some(PeerMessage { from, message }) = inputs.peers.recv() => {
                daemon.handle(Event::Peer { from, message });
            }
            Some(response) = inputs.workers.recv() => daemon.handle(worker_event(response)),
            () = std::future::ready(()), if !queue.is_empty() => daemon.handle_next(&mut queue),
            Some(request) = inputs.requests.recv() => {
                enqueue(&mut queue, request, daemon.clock.now());
            }
        }
    }
}

/// The inputs that the daemon waits for.
struct Inputs {
    server: OwnedTask<Result<(), ServeError>>,
    ticks: Interval,
    store: mpsc::UnboundedReceiver<StoreReply>,
    cloud: mpsc::UnboundedReceiver<CloudReply>,
    peers: mpsc::Receiver<PeerMessage>,
    workers: mpsc::UnboundedReceiver<DirectResponse>,
    requests: mpsc::Receiver<Request>,
}

/// Creates the controller, and starts the actors and the HTTP server.
fn start(settings: &Arc<Settings>) -> (Daemon, Inputs) {
    let clock = Clock::start();
    // Unbounded: there is one reply for each call, and the controller bounds its calls.
    let (store_replies, store) = mpsc::unbounded_channel();
    let (cloud_replies, cloud) = mpsc::unbounded_channel();
    let (peer_messages, peers) = mpsc::channel(MAX_QUEUED_PEER_MESSAGES);
    // Unbounded: there is at most one direct request in flight to each machine.
    let (worker_responses, workers) = mpsc::unbounded_channel();
    let (inbox, requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
    let deployment = &settings.deployment;
    let socket_budget =
        SocketBudget::new(deployment.process_limits.sockets, settings.members.len());
    let worker_client = HttpClient::without_idle_connections(settings.public_addr);
    let daemon = Daemon {
        controller: Controller::new(settings.clone(), rand::random()),
        clock,
        store: Store::start(settings, clock, store_replies),
        cloud: Cloud::start(settings, clock, cloud_replies),
        peers: Peers::start(settings, socket_budget.peers, peer_messages),
        workers: DirectClient::start(worker_client, socket_budget.direct, clock, worker_responses),
        replies: PendingReplies::default(),
    };
    let heartbeat_interval = Millis::from_secs(deployment.workers.heartbeat_interval_s);
    let server = OwnedTask::spawn(http_server::serve(
        settings.public_addr,
        inbox,
        socket_budget.server,
        IdleTimeouts::for_heartbeats_every(heartbeat_interval),
        clock,
    ));
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let inputs = Inputs {
        server,
        ticks,
        store,
        cloud,
        peers,
        workers,
        requests,
    };
    (daemon, inputs)
}

fn enqueue(queue: &mut RequestQueue<Request>, request: Request, now: Millis) {
    // A request that does not fit into the queue is dropped; its requester notices the closed channel.
    drop(queue.push(request.kind(), request, now));
}

fn worker_event(response: DirectResponse) -> Event {
    match response {
        DirectResponse::Inspected(answered) => Event::Inspected { answered },
        DirectResponse::Commands {
            machine_id,
            exchange,
            reply,
        } => Event::DirectReply {
            machine_id,
            exchange,
            answer: reply,
        },
    }
}

/// The state of the actor: the controller, and handles to the other actors.
struct Daemon {
    controller: Controller,
    clock: Clock,
    store: Store,
    cloud: Cloud,
    peers: Peers,
    workers: DirectClient,
    replies: PendingReplies,
}

impl Daemon {
    fn handle_next(&mut self, queue: &mut RequestQueue<Request>) {
        // Requests that expired in the queue are dropped, since their requesters have timed out.
        let mut expired = Vec::new();
        if let Some(request) = queue.pop(self.clock.now(), &mut expired)
            && !request.is_abandoned()
        {
            self.handle_request(request);
        }
    }

    fn handle_request(&mut self, request: Request) {
        let event = match request {
            Request::Submit { submission, reply } => {
                let reply = self.replies.insert(PendingReply::User(reply));
                Event::Submit { reply, submission }
            }
            Request::Poll { job, reply } => {
                let reply = self.replies.insert(PendingReply::User(reply));
                Event::Poll { reply, job }
            }
            Request::Abort { job, reply } => {
                let reply = self.replies.insert(PendingReply::User(reply));
                Event::Cancel { reply, job }
            }
            Request::Heartbeat { heartbeat, reply } => {
                let reply = self.replies.insert(PendingReply::Worker(reply));
                Event::Heartbeat { reply, heartbeat }
            }
            Request::Ready { reply } => {
                let reply = self.replies.insert(PendingReply::Ready(reply));
                Event::Ready { reply }
            }
        };
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        for effect in self.controller.handle(event, now) {
            self.apply(effect);
        }
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Store { tag, class, call } => self.store.send(tag, class, call),
            Effect::SetWriteLimit { writes_per_s } => self.store.set_write_rate(writes_per_s),
            Effect::Cloud { tag, call } => self.cloud.send(tag, call),
            Effect::Peer { to, message } => self.peers.send(&to, message),
            Effect::Inspect {
                machine_id,
                address,
            } => self.workers.send(DirectRequest {
                machine_id,
                address,
                kind: DirectRequestKind::Inspect,
            }),
            Effect::DirectCommands {
                machine_id,
                exchange,
                address,
                worker_token,
                agent_epoch,
                commands,
            } => self.workers.send(DirectRequest {
                machine_id,
                address,
                kind: DirectRequestKind::Commands {
                    exchange,
                    worker_token,
                    agent_epoch,
                    commands,
                },
            }),
            Effect::User { reply, response } => self.replies.send_to_user(reply, response),
            Effect::Worker { reply, answer } => self.replies.send_to_worker(reply, answer),
            Effect::Ready { reply, ready } => self.replies.send_readiness(reply, ready),
        }
    }
}
