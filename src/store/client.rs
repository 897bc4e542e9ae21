//! The actor that makes the calls to the store. It owns the priority lanes and the calls in flight.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::exchange::{Outcome, perform};
use super::lanes::{Lanes, NextCall, QueuedCall};
use super::{CallClass, StoreCall, StoreResponse};
use crate::clock::Clock;
use crate::http_client::HttpClient;
use crate::settings::Settings;
use crate::task::OwnedTask;
use crate::types::Millis;

/// Delay by the rate limits above which a call is logged, in milliseconds.
const LOGGED_DELAY_MS: u64 = 500;
/// Maximum time between two looks at the lanes while nothing is queued.
const IDLE_POLL_INTERVAL: Millis = Millis(60_000);

/// The response to a call.
pub struct StoreReply {
    /// The tag under which the call was sent.
    pub tag: u64,
    /// The outcome of the call.
    pub response: StoreResponse,
}

/// A request to the actor.
enum Command {
    Call {
        class: CallClass,
        call: TaggedCall,
        enqueued_at: Millis,
    },
    /// Sets the write rate, in writes per second.
    SetWriteRate(f64),
}

/// A call, with the tag of its reply.
#[derive(Debug)]
struct TaggedCall {
    tag: u64,
    call: StoreCall,
}

/// The handle to the store actor, which owns it: the actor and its calls in flight are aborted when it is dropped.
pub struct Store {
    commands: mpsc::UnboundedSender<Command>,
    clock: Clock,
    _actor: OwnedTask<()>,
}

impl Store {
    /// Starts the actor. Each call gets one reply through `replies`, in the order in which the calls complete.
    ///
    /// # Panics
    /// If called outside of a Tokio runtime.
    #[must_use]
    pub fn start(
        settings: &Settings,
        clock: Clock,
        replies: mpsc::UnboundedSender<StoreReply>,
    ) -> Self {
        // Unbounded, since the controller bounds its calls: one each for a lease, watch, list or read barrier, three
        // transactions of jobs, and one for each waiting user. Users' calls are refused once they are queued too long.
        let (commands, command_receiver) = mpsc::unbounded_channel();
        // Unbounded, but never holds more than the calls in flight.
        let (rate_limited, rejections) = mpsc::unbounded_channel();
        let actor = Actor {
            client: HttpClient::new(settings.endpoints.store),
            lanes: Lanes::new(
                &settings.deployment.state,
                settings.controllers(),
                clock.now(),
            ),
            clock,
            replies,
            rate_limited,
            in_flight: JoinSet::new(),
        };
        Self {
            commands,
            clock,
            _actor: OwnedTask::spawn(actor.run(command_receiver, rejections)),
        }
    }

    /// Sets the write rate that the admission plan assigns to this controller, in writes per second.
    pub fn set_write_rate(&self, rate: f64) {
        self.send_command(Command::SetWriteRate(rate));
    }

    /// Queues a call; its reply carries `tag`.
    pub fn send(&self, tag: u64, class: CallClass, call: StoreCall) {
        let call = TaggedCall { tag, call };
        let enqueued_at = self.clock.now();
        self.send_command(Command::Call {
            class,
            call,
            enqueued_at,
        });
    }

    fn send_command(&self, command: Command) {
        // Can't fail: the actor runs as long as this handle exists.
        let _ = self.commands.send(command);
    }
}

/// The state of the actor.
struct Actor {
    client: HttpClient,
    lanes: Lanes<TaggedCall>,
    clock: Clock,
    replies: mpsc::UnboundedSender<StoreReply>,
    rate_limited: mpsc::UnboundedSender<QueuedCall<TaggedCall>>,
    in_flight: JoinSet<()>,
}

impl Actor {
    async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut rejections: mpsc::UnboundedReceiver<QueuedCall<TaggedCall>>,
    ) {
        loop {
            let pause = self.dispatch();
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.execute(command),
                    None => return,
                },
                Some(call) = rejections.recv() => {
                    tracing::debug!(call.writes, ?call.class, "store rate limit exceeded, call queued again");
                    self.lanes.requeue_rate_limited(call, self.clock.now());
                }
                () = tokio::time::sleep(Duration::from_millis(pause.0)) => {}
            }
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Call {
                class,
                call,
                enqueued_at,
            } => {
                let writes = call.call.writes();
                self.lanes.push(class, writes, call, enqueued_at);
            }
            Command::SetWriteRate(rate) => self.lanes.set_write_rate(rate, self.clock.now()),
        }
    }

    /// Starts every call that the rate limits allow, and returns how long to wait for the next one.
    fn dispatch(&mut self) -> Millis {
        // Finished calls have sent their replies; this only frees their tasks.
        while self.in_flight.try_join_next().is_some() {}
        loop {
            let now = self.clock.now();
            match self.lanes.next(now) {
                NextCall::Start(call) => self.start_call(call, now),
                NextCall::Refuse(call) => {
                    send_reply(&self.replies, call.tag, StoreResponse::Refused);
                }
                NextCall::Wait(wait) => return wait,
                NextCall::Nothing => return IDLE_POLL_INTERVAL,
            }
        }
    }

    fn start_call(&mut self, call: QueuedCall<TaggedCall>, now: Millis) {
        let waited = now.since(call.enqueued_at).0;
        if waited > LOGGED_DELAY_MS {
            let class = call.class;
            tracing::debug!(?class, waited, "store call was delayed by the rate limit");
        }
        let (client, replies) = (self.client.clone(), self.replies.clone());
        let rate_limited = self.rate_limited.clone();
        self.in_flight.spawn(async move {
            let response = match perform(&client, &call.payload.call).await {
                Outcome::Response(response) => response,
                // A lease call is not queued again: its caller must learn of the failure now, and retries by itself.
                Outcome::RateLimited if call.class == CallClass::Leases => StoreResponse::Refused,
                Outcome::RateLimited => {
                    // Can't fail: the actor owns this task, and so outlives it.
                    let _ = rate_limited.send(call);
                    return;
                }
            };
            send_reply(&replies, call.payload.tag, response);
        });
    }
}

fn send_reply(replies: &mpsc::UnboundedSender<StoreReply>, tag: u64, response: StoreResponse) {
    // Fails only while the daemon shuts down, when the reply is no longer needed.
    let _ = replies.send(StoreReply { tag, response });
}
