//! The actor that sends direct commands to workers, with a bounded number of concurrent requests.
//!
//! Commands take precedence over probes, which only show the controller's token. When a shard changes
//! holders, each of its machines is probed, and many of them may be unreachable. There is never more than
//! one exchange per machine, so no more requests are queued here than there are machines.

use std::collections::VecDeque;
use std::net::SocketAddr;

use tokio::sync::mpsc;

use super::client;
use super::wire::WorkerCommand;
use crate::clock::Clock;
use crate::controller::CommandReply;
use crate::http_client::HttpClient;
use crate::types::{AgentEpoch, ExchangeId, MachineId, Millis, WorkerToken};

/// Commands that were queued for longer are based on an outdated heartbeat: they are sent with the
/// answer to the next heartbeat instead.
const MAX_COMMAND_QUEUE_TIME: Millis = Millis(2_000);
/// The fraction of the concurrent exchanges that probes may occupy, so that commands are sent at once.
const MAX_PROBE_FRACTION: f64 = 0.5;

/// A request to a worker.
pub struct DirectRequest {
    /// The machine whose worker gets the request.
    pub machine_id: MachineId,
    /// Where the worker takes direct commands.
    pub address: SocketAddr,
    /// What the request asks of the worker.
    pub kind: DirectRequestKind,
}

/// The kinds of requests to a worker.
pub enum DirectRequestKind {
    /// Sends commands; a request without any is a probe that only shows the token.
    Commands {
        /// The exchange that the request begins.
        exchange: ExchangeId,
        /// The token that fences the commands.
        worker_token: WorkerToken,
        /// The agent epoch for which the commands are valid; the worker refuses them in any other.
        agent_epoch: AgentEpoch,
        /// The commands, in the order of their execution.
        commands: Vec<WorkerCommand>,
    },
    /// Requests the worker's state, without any command or token, to see whether it responds.
    Inspect,
}

/// The outcome of a request.
pub enum DirectResponse {
    /// An exchange of commands has ended.
    Commands {
        /// The machine whose worker got the commands.
        machine_id: MachineId,
        /// The exchange that has ended.
        exchange: ExchangeId,
        /// The worker's reply; `None` if it is unknown whether the commands were, or will be, executed.
        reply: Option<CommandReply>,
    },
    /// Whether a worker responded to an inspection.
    Inspected(bool),
}

/// Which concurrency limits apply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestClass {
    /// A request that carries commands, or inspects a worker.
    Command,
    /// A request that only shows a token.
    Probe,
}

impl DirectRequest {
    fn class(&self) -> RequestClass {
        match &self.kind {
            DirectRequestKind::Commands { commands, .. } if commands.is_empty() => {
                RequestClass::Probe
            }
            DirectRequestKind::Commands { .. } | DirectRequestKind::Inspect => {
                RequestClass::Command
            }
        }
    }

    /// The response to a request that expired in the queue. Its commands are reported as definitely
    /// not executed, since nothing was sent that could arrive late.
    fn expired_response(self) -> DirectResponse {
        match self.kind {
            DirectRequestKind::Commands { exchange, .. } => DirectResponse::Commands {
                machine_id: self.machine_id,
                exchange,
                reply: Some(CommandReply { heartbeat: None }),
            },
            DirectRequestKind::Inspect => DirectResponse::Inspected(false),
        }
    }

    async fn exchange(self, client: HttpClient) -> DirectResponse {
        match self.kind {
            DirectRequestKind::Commands {
                exchange,
                worker_token,
                agent_epoch,
                commands,
            } => {
                let reply = client::send(client, self.address, worker_token, agent_epoch, commands);
                DirectResponse::Commands {
                    machine_id: self.machine_id,
                    exchange,
                    reply: reply.await,
                }
            }
            DirectRequestKind::Inspect => {
                DirectResponse::Inspected(client::inspect(client, self.address).await)
            }
        }
    }
}

/// A request that was taken from the queue.
enum Dequeued {
    /// The request is due to be sent.
    Send(DirectRequest),
    /// The request was queued for too long and must not be sent.
    Expired(DirectRequest),
}

/// Queued requests, each with the time at which it was queued, and the numbers of requests in flight.
struct RequestQueue {
    commands: VecDeque<(Millis, DirectRequest)>,
    probes: VecDeque<(Millis, DirectRequest)>,
    max_in_flight: usize,
    in_flight: usize,
    probes_in_flight: usize,
}

impl RequestQueue {
    fn new(max_in_flight: usize) -> Self {
        Self {
            commands: VecDeque::new(),
            probes: VecDeque::new(),
            max_in_flight,
            in_flight: 0,
            probes_in_flight: 0,
        }
    }

    fn push(&mut self, request: DirectRequest, now: Millis) {
        let queue = match request.class() {
            RequestClass::Command => &mut self.commands,
            RequestClass::Probe => &mut self.probes,
        };
        queue.push_back((now, request));
    }

    /// Takes the next request that has expired or may be sent, commands before probes.
    fn next(&mut self, now: Millis) -> Option<Dequeued> {
        self.next_command(now).or_else(|| self.next_probe())
    }

    fn next_command(&mut self, now: Millis) -> Option<Dequeued> {
        let (queued_at, _) = self.commands.front()?;
        if now.since(*queued_at) > MAX_COMMAND_QUEUE_TIME {
            let (_, request) = self.commands.pop_front()?;
            return Some(Dequeued::Expired(request));
        }
        if self.in_flight >= self.max_in_flight {
            return None;
        }
        let (_, request) = self.commands.pop_front()?;
        self.in_flight += 1;
        Some(Dequeued::Send(request))
    }

    fn next_probe(&mut self) -> Option<Dequeued> {
        let max_probes = ((self.max_in_flight as f64 * MAX_PROBE_FRACTION) as usize).max(1);
        if self.in_flight >= self.max_in_flight || self.probes_in_flight >= max_probes {
            return None;
        }
        let (_, request) = self.probes.pop_front()?;
        self.in_flight += 1;
        self.probes_in_flight += 1;
        Some(Dequeued::Send(request))
    }

    fn finish(&mut self, class: RequestClass) {
        self.in_flight -= 1;
        self.probes_in_flight -= usize::from(class == RequestClass::Probe);
    }
}

/// A handle for sending requests to the actor.
#[derive(Clone)]
pub struct DirectClient {
    requests: mpsc::UnboundedSender<DirectRequest>,
}

impl DirectClient {
    /// Starts the actor, which has at most `max_in_flight` exchanges in flight and sends each response
    /// to `responses`: at most one at a time for each machine.
    pub fn start(
        client: HttpClient,
        max_in_flight: usize,
        clock: Clock,
        responses: mpsc::UnboundedSender<DirectResponse>,
    ) -> Self {
        let (requests, inbox) = mpsc::unbounded_channel();
        let queue = RequestQueue::new(max_in_flight);
        tokio::spawn(run(client, queue, clock, inbox, responses));
        Self { requests }
    }

    /// Queues a request; its response arrives on the channel passed to [`start`](Self::start).
    pub fn send(&self, request: DirectRequest) {
        // The actor ends only with the process.
        let _ = self.requests.send(request);
    }
}

async fn run(
    client: HttpClient,
    mut queue: RequestQueue,
    clock: Clock,
    mut inbox: mpsc::UnboundedReceiver<DirectRequest>,
    responses: mpsc::UnboundedSender<DirectResponse>,
) {
    // Unbounded, but holds at most one entry for each exchange in flight.
    let (finished, mut finished_inbox) = mpsc::unbounded_channel();
    loop {
        tokio::select! {
            Some(class) = finished_inbox.recv() => queue.finish(class),
            request = inbox.recv() => match request {
                Some(request) => queue.push(request, clock.now()),
                None => return,
            },
        }
        while let Some(dequeued) = queue.next(clock.now()) {
            let request = match dequeued {
                Dequeued::Send(request) => request,
                Dequeued::Expired(request) => {
                    let _ = responses.send(request.expired_response());
                    continue;
                }
            };
            let (client, responses, finished) =
                (client.clone(), responses.clone(), finished.clone());
            tokio::spawn(async move {
                let class = request.class();
                let response = request.exchange(client).await;
                let _ = responses.send(response);
                let _ = finished.send(class);
            });
        }
    }
}

#[cfg(test)]
mod tests;
