//! The actor that sends workers their commands directly, a bounded number at a time.
//!
//! Orders go before mere shows of a token, of which there is one for each machine of a shard that
//! changes hands, many of them perhaps unreachable. There is never more than one exchange for a
//! machine, so no more wait here than there are machines.

use std::collections::VecDeque;
use std::net::SocketAddr;

use tokio::sync::mpsc;

use super::client;
use super::wire::WorkerCommand;
use crate::clock::Clock;
use crate::controller::CommandReply;
use crate::http_client::HttpClient;
use crate::types::{AgentEpoch, MachineId, Millis, WorkerToken};

/// Orders that waited for longer were decided on an old heartbeat: they ride on the next answer.
const WAITS: Millis = Millis(2_000);
/// Of what is under way at a time, the part for mere shows of a token.
const SHOWS: f64 = 0.5;

/// What is to be sent to a worker.
pub struct DirectRequest {
    pub machine_id: MachineId,
    pub address: SocketAddr,
    pub what: DirectRequestKind,
}

pub enum DirectRequestKind {
    Orders {
        worker_token: WorkerToken,
        agent_epoch: AgentEpoch,
        commands: Vec<WorkerCommand>,
    },
    /// Asks for its heartbeat.
    Inspect,
}

/// What came of it.
pub enum DirectResponse {
    Commands(MachineId, Option<CommandReply>),
    Inspected(bool),
}

impl DirectRequest {
    fn shows(&self) -> bool {
        match &self.what {
            DirectRequestKind::Orders { commands, .. } => commands.is_empty(),
            DirectRequestKind::Inspect => false,
        }
    }

    /// Nothing was sent, so nothing can come late.
    fn unsent(self) -> DirectResponse {
        match self.what {
            DirectRequestKind::Orders { .. } => {
                DirectResponse::Commands(self.machine_id, Some(CommandReply { heartbeat: None }))
            }
            DirectRequestKind::Inspect => DirectResponse::Inspected(false),
        }
    }
}

/// Which requests may leave.
struct Turns {
    commands: VecDeque<(Millis, DirectRequest)>,
    shows: VecDeque<(Millis, DirectRequest)>,
    most: usize,
    under_way: usize,
    shows_under_way: usize,
}

impl Turns {
    fn new(most: usize) -> Self {
        Self {
            commands: VecDeque::new(),
            shows: VecDeque::new(),
            most,
            under_way: 0,
            shows_under_way: 0,
        }
    }

    fn push(&mut self, request: DirectRequest, now: Millis) {
        if request.shows() {
            self.shows.push_back((now, request));
        } else {
            self.commands.push_back((now, request));
        }
    }

    /// The next request, and whether it came too late to be sent.
    fn next(&mut self, now: Millis) -> Option<(DirectRequest, bool)> {
        if let Some((since, _)) = self.commands.front() {
            let late = now.since(*since) > WAITS;
            if late || self.under_way < self.most {
                self.under_way += usize::from(!late);
                return self
                    .commands
                    .pop_front()
                    .map(|(_, request)| (request, late));
            }
        }
        let most_shows = ((self.most as f64 * SHOWS) as usize).max(1);
        if self.under_way >= self.most || self.shows_under_way >= most_shows {
            return None;
        }
        let (_, request) = self.shows.pop_front()?;
        self.under_way += 1;
        self.shows_under_way += 1;
        Some((request, false))
    }

    fn done(&mut self, show: bool) {
        self.under_way -= 1;
        self.shows_under_way -= usize::from(show);
    }
}

/// Address of the actor.
#[derive(Clone)]
pub struct DirectClient {
    requests: mpsc::UnboundedSender<DirectRequest>,
}

impl DirectClient {
    /// `outcomes` holds as much as this sends on: one for each machine at the most.
    pub fn start(
        client: HttpClient,
        most: usize,
        clock: Clock,
        outcomes: mpsc::UnboundedSender<DirectResponse>,
    ) -> Self {
        let (requests, inbox) = mpsc::unbounded_channel();
        tokio::spawn(run(client, Turns::new(most), clock, inbox, outcomes));
        Self { requests }
    }

    pub fn send(&self, request: DirectRequest) {
        // The actor ends only with the process.
        let _ = self.requests.send(request);
    }
}

async fn run(
    client: HttpClient,
    mut turns: Turns,
    clock: Clock,
    mut inbox: mpsc::UnboundedReceiver<DirectRequest>,
    outcomes: mpsc::UnboundedSender<DirectResponse>,
) {
    // No more than `most` are under way.
    let (done, mut ended) = mpsc::unbounded_channel();
    loop {
        tokio::select! {
            Some(show) = ended.recv() => turns.done(show),
            request = inbox.recv() => match request {
                Some(request) => turns.push(request, clock.now()),
                None => return,
            },
        }
        while let Some((request, late)) = turns.next(clock.now()) {
            if late {
                let _ = outcomes.send(request.unsent());
                continue;
            }
            let (client, outcomes, done) = (client.clone(), outcomes.clone(), done.clone());
            tokio::spawn(async move {
                let show = request.shows();
                let DirectRequest {
                    machine_id,
                    address,
                    what,
                } = request;
                let outcome = match what {
                    DirectRequestKind::Orders {
                        worker_token,
                        agent_epoch,
                        commands,
                    } => {
                        let sent =
                            client::send(client, address, worker_token, agent_epoch, commands);
                        DirectResponse::Commands(machine_id, sent.await)
                    }
                    DirectRequestKind::Inspect => {
                        DirectResponse::Inspected(client::inspect(client, address).await)
                    }
                };
                let _ = outcomes.send(outcome);
                let _ = done.send(show);
            });
        }
    }
}

#[cfg(test)]
mod tests;
