//! The actor that sends workers their commands directly, a bounded number at a time.
//!
//! Orders go before mere shows of a token, of which there is one for each machine of a shard that
//! changes hands, many of them perhaps unreachable. There is never more than one exchange for a
//! machine, so no more wait here than there are machines.

use std::collections::VecDeque;
use std::net::SocketAddr;

use tokio::sync::mpsc;

use super::client;
use super::wire::Order;
use crate::clock::Clock;
use crate::controller::DirectAnswer;
use crate::http_client::HttpClient;
use crate::types::{Baton, HostId, Millis, Session};

/// Orders that waited for longer were decided on an old heartbeat: they ride on the next answer.
const WAITS: Millis = Millis(2_000);
/// Of what is under way at a time, the part for mere shows of a token.
const SHOWS: f64 = 0.5;

/// What is to be sent to a worker.
pub struct Errand {
    pub host: HostId,
    pub address: SocketAddr,
    pub what: What,
}

pub enum What {
    Orders {
        baton: Baton,
        session: Session,
        orders: Vec<Order>,
    },
    /// Asks for its heartbeat.
    Inspect,
}

/// What came of it.
pub enum Outcome {
    Direct(HostId, Option<DirectAnswer>),
    Inspected(bool),
}

impl Errand {
    fn shows(&self) -> bool {
        match &self.what {
            What::Orders { orders, .. } => orders.is_empty(),
            What::Inspect => false,
        }
    }

    /// Nothing was sent, so nothing can come late.
    fn unsent(self) -> Outcome {
        match self.what {
            What::Orders { .. } => Outcome::Direct(self.host, Some(DirectAnswer { report: None })),
            What::Inspect => Outcome::Inspected(false),
        }
    }
}

/// Which requests may leave.
struct Turns {
    orders: VecDeque<(Millis, Errand)>,
    shows: VecDeque<(Millis, Errand)>,
    most: usize,
    under_way: usize,
    shows_under_way: usize,
}

impl Turns {
    fn new(most: usize) -> Self {
        Self {
            orders: VecDeque::new(),
            shows: VecDeque::new(),
            most,
            under_way: 0,
            shows_under_way: 0,
        }
    }

    fn push(&mut self, errand: Errand, now: Millis) {
        if errand.shows() {
            self.shows.push_back((now, errand));
        } else {
            self.orders.push_back((now, errand));
        }
    }

    /// The next request, and whether it came too late to be sent.
    fn next(&mut self, now: Millis) -> Option<(Errand, bool)> {
        if let Some((since, _)) = self.orders.front() {
            let late = now.since(*since) > WAITS;
            if late || self.under_way < self.most {
                self.under_way += usize::from(!late);
                return self.orders.pop_front().map(|(_, errand)| (errand, late));
            }
        }
        let most_shows = ((self.most as f64 * SHOWS) as usize).max(1);
        if self.under_way >= self.most || self.shows_under_way >= most_shows {
            return None;
        }
        let (_, errand) = self.shows.pop_front()?;
        self.under_way += 1;
        self.shows_under_way += 1;
        Some((errand, false))
    }

    fn done(&mut self, show: bool) {
        self.under_way -= 1;
        self.shows_under_way -= usize::from(show);
    }
}

/// Address of the actor.
#[derive(Clone)]
pub struct Direct {
    errands: mpsc::UnboundedSender<Errand>,
}

impl Direct {
    /// `outcomes` holds as much as this sends on: one for each machine at the most.
    pub fn start(
        client: HttpClient,
        most: usize,
        clock: Clock,
        outcomes: mpsc::UnboundedSender<Outcome>,
    ) -> Self {
        let (errands, inbox) = mpsc::unbounded_channel();
        tokio::spawn(run(client, Turns::new(most), clock, inbox, outcomes));
        Self { errands }
    }

    pub fn send(&self, errand: Errand) {
        // The actor ends only with the process.
        let _ = self.errands.send(errand);
    }
}

async fn run(
    client: HttpClient,
    mut turns: Turns,
    clock: Clock,
    mut inbox: mpsc::UnboundedReceiver<Errand>,
    outcomes: mpsc::UnboundedSender<Outcome>,
) {
    // No more than `most` are under way.
    let (done, mut ended) = mpsc::unbounded_channel();
    loop {
        tokio::select! {
            Some(show) = ended.recv() => turns.done(show),
            errand = inbox.recv() => match errand {
                Some(errand) => turns.push(errand, clock.now()),
                None => return,
            },
        }
        while let Some((errand, late)) = turns.next(clock.now()) {
            if late {
                let _ = outcomes.send(errand.unsent());
                continue;
            }
            let (client, outcomes, done) = (client.clone(), outcomes.clone(), done.clone());
            tokio::spawn(async move {
                let show = errand.shows();
                let Errand {
                    host,
                    address,
                    what,
                } = errand;
                let outcome = match what {
                    What::Orders {
                        baton,
                        session,
                        orders,
                    } => {
                        let sent = client::send(client, address, baton, session, orders);
                        Outcome::Direct(host, sent.await)
                    }
                    What::Inspect => Outcome::Inspected(client::inspect(client, address).await),
                };
                let _ = outcomes.send(outcome);
                let _ = done.send(show);
            });
        }
    }
}

#[cfg(test)]
mod tests;
