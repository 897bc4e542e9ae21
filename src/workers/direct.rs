//! The actor that sends workers their commands directly, a bounded number at a time.
//!
//! Commands go before probes, which only show our token. There is a probe for each machine of a
//! shard that changes hands, and many of these machines may be unreachable. There is never more than
//! one exchange for a machine, so no more requests wait here than there are machines.

use std::collections::VecDeque;
use std::net::SocketAddr;

use tokio::sync::mpsc;

use super::client;
use super::wire::WorkerCommand;
use crate::clock::Clock;
use crate::controller::CommandReply;
use crate::http_client::HttpClient;
use crate::types::{AgentEpoch, MachineId, Millis, WorkerToken};

/// Commands that waited for longer were decided on an outdated heartbeat: they are sent with the
/// next answer instead.
const COMMANDS_TIMEOUT: Millis = Millis(2_000);
/// The fraction of the concurrent exchanges that probes may take, so that commands start at once.
const MAX_PROBE_SHARE: f64 = 0.5;

/// What is to be sent to a worker.
pub struct DirectRequest {
    /// The machine whose worker gets the request.
    pub machine_id: MachineId,
    /// Where the worker takes commands directly.
    pub address: SocketAddr,
    /// What to send.
    pub kind: DirectRequestKind,
}

/// The kinds of requests to a worker.
pub enum DirectRequestKind {
    /// Commands; without any, the request is a probe that only shows the token.
    Commands {
        /// The token that fences the commands.
        worker_token: WorkerToken,
        /// The agent epoch to which they apply; the worker refuses them in any other.
        agent_epoch: AgentEpoch,
        /// The commands, in the order of their execution.
        commands: Vec<WorkerCommand>,
    },
    /// Asks for its heartbeat.
    Inspect,
}

/// The outcome of a request.
pub enum DirectResponse {
    /// The answer to commands; `None` if it is unknown whether they were, or will be, executed.
    Commands(MachineId, Option<CommandReply>),
    /// Whether a worker answered an inspection.
    Inspected(bool),
}

/// Which limits a request counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestClass {
    /// It carries commands, or inspects a worker.
    Command,
    /// It only shows a token.
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

    /// The response for a request that was not sent, so that nothing of it can arrive late.
    fn unsent(self) -> DirectResponse {
        match self.kind {
            DirectRequestKind::Commands { .. } => {
                DirectResponse::Commands(self.machine_id, Some(CommandReply { heartbeat: None }))
            }
            DirectRequestKind::Inspect => DirectResponse::Inspected(false),
        }
    }

    async fn exchange(self, client: HttpClient) -> DirectResponse {
        match self.kind {
            DirectRequestKind::Commands {
                worker_token,
                agent_epoch,
                commands,
            } => {
                let reply = client::send(client, self.address, worker_token, agent_epoch, commands);
                DirectResponse::Commands(self.machine_id, reply.await)
            }
            DirectRequestKind::Inspect => {
                DirectResponse::Inspected(client::inspect(client, self.address).await)
            }
        }
    }
}

/// A request that leaves the queue.
enum Dequeued {
    /// It is to be sent.
    Send(DirectRequest),
    /// It waited for too long, and is not to be sent.
    Expired(DirectRequest),
}

/// Requests that wait, each with the time since when, and the count of those under way.
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

    /// The next request that expired or may leave, commands first.
    fn next(&mut self, now: Millis) -> Option<Dequeued> {
        self.next_command(now).or_else(|| self.next_probe())
    }

    fn next_command(&mut self, now: Millis) -> Option<Dequeued> {
        let (since, _) = self.commands.front()?;
        if now.since(*since) > COMMANDS_TIMEOUT {
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
        let max_probes = ((self.max_in_flight as f64 * MAX_PROBE_SHARE) as usize).max(1);
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

/// Handle to the actor, by which requests are sent to it.
#[derive(Clone)]
pub struct DirectClient {
    requests: mpsc::UnboundedSender<DirectRequest>,
}

impl DirectClient {
    /// Starts the actor, which has at most `max_in_flight` exchanges under way. The actor
    /// sends each response to `responses`: at most one at a time for each machine.
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

    /// Queues a request; its response comes on the channel given at the start.
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
    // Holds at most one entry for each exchange under way.
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
                    let _ = responses.send(request.unsent());
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
