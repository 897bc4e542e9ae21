//! The actor that owns the connections of our server: it lets them in within the budget, and ends
//! those that only stand there.

use std::collections::HashMap;
use std::convert::Infallible;
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{Id, JoinSet};

use super::{ConnectionClass, ConnectionPressure, IdleTimeouts, Ledger};
use crate::clock::Clock;

/// A request's head has to come within this time, whatever the connection did before.
const HEAD: Duration = Duration::from_secs(30);
/// A connection that is ended gets so long to send what it has.
const LAST: Duration = Duration::from_secs(1);
const SWEEP: Duration = Duration::from_millis(500);
/// After the system refused a connection.
const REFUSED: Duration = Duration::from_millis(50);

/// What a connection tells the door.
enum Told {
    Asked(Id, ConnectionClass),
    Answered(Id),
}

struct Door {
    clock: Clock,
    ledger: Ledger<Id>,
    ends: HashMap<Id, oneshot::Sender<()>>,
    tasks: JoinSet<()>,
    pressure: watch::Sender<ConnectionPressure>,
    turned_away: u64,
}

/// Serves connections, `most` of them at a time. `busy` is the answer when there is no room for
/// users' requests.
pub async fn serve<S, B>(
    listener: TcpListener,
    service: S,
    busy: fn() -> Response<B>,
    most: usize,
    idle_timeouts: IdleTimeouts,
    clock: Clock,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send,
    B: hyper::body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // A connection tells one thing at a time and waits until it is taken.
    let (tell, mut told) = mpsc::channel(256);
    let mut door = Door {
        clock,
        ledger: Ledger::new(most, idle_timeouts),
        ends: HashMap::new(),
        tasks: JoinSet::new(),
        pressure: watch::Sender::new(ConnectionPressure::default()),
        turned_away: 0,
    };
    let mut sweep = tokio::time::interval(SWEEP);
    sweep.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some(ended) = door.tasks.join_next_with_id(), if !door.tasks.is_empty() => {
                door.closed(match ended {
                    Ok((id, ())) => id,
                    Err(error) => error.id(),
                });
            }
            Some(told) = told.recv() => door.hear(told),
            _ = sweep.tick() => door.sweep(),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if door.ledger.admits() => {
                    let (end, ended) = oneshot::channel();
                    let gate = Gate {
                        tell: tell.clone(),
                        pressure: door.pressure.subscribe(),
                    };
                    let talk = converse(stream, service.clone(), gate, ended, busy);
                    let id = door.tasks.spawn(talk).id();
                    door.opened(id, end);
                }
                // Whoever it is finds another controller sooner than we find room.
                Ok(_) => door.turned_away += 1,
                Err(error) => {
                    tracing::error!(%error, "connection accept failed");
                    tokio::time::sleep(REFUSED).await;
                }
            },
        }
        door.publish();
    }
}

impl Door {
    fn opened(&mut self, id: Id, end: oneshot::Sender<()>) {
        self.ledger.opened(id, self.clock.now());
        self.ends.insert(id, end);
    }

    fn closed(&mut self, id: Id) {
        self.ledger.closed(id);
        self.ends.remove(&id);
    }

    fn hear(&mut self, told: Told) {
        let now = self.clock.now();
        match told {
            Told::Asked(id, class) => self.ledger.asked(id, class, now),
            Told::Answered(id) => self.ledger.answered(id, now),
        }
    }

    /// Lets all connections know what they have to know of each other.
    fn publish(&mut self) {
        let pressure = self.ledger.pressure();
        self.pressure.send_if_modified(|known| {
            let changed = *known != pressure;
            *known = pressure;
            changed
        });
    }

    fn sweep(&mut self) {
        for id in self.ledger.idle(self.clock.now()) {
            if let Some(end) = self.ends.remove(&id) {
                // It may have ended just now.
                let _ = end.send(());
            }
        }
        if self.turned_away > 0 {
            let open = self.ledger.len();
            tracing::info!(open, turned_away = self.turned_away, "connections rejected");
            self.turned_away = 0;
        }
    }
}

#[derive(Clone)]
struct Gate {
    tell: mpsc::Sender<Told>,
    pressure: watch::Receiver<ConnectionPressure>,
}

async fn converse<S, B>(
    stream: TcpStream,
    service: S,
    gate: Gate,
    ended: oneshot::Receiver<()>,
    busy: fn() -> Response<B>,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible> + Send + Sync,
    S::Future: Send,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Answers are small; one that waits for more would wait for the other side's acknowledgement.
    let _ = stream.set_nodelay(true);
    let id = tokio::task::id();
    let service = service_fn(|request: Request<Incoming>| {
        let class = ConnectionClass::of(request.uri().path());
        let full = class == ConnectionClass::User && gate.pressure.borrow().users_full;
        let asked = (!full).then(|| service.call(request));
        let gate = &gate;
        async move {
            // The door ends only with the process.
            let _ = gate.tell.send(Told::Asked(id, class)).await;
            let mut response = match asked {
                Some(asked) => asked.await?,
                None => busy(),
            };
            if full || gate.pressure.borrow().closes(class) {
                let headers = response.headers_mut();
                headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            let _ = gate.tell.send(Told::Answered(id)).await;
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD)
            .serve_connection(TokioIo::new(stream), service)
    );
    // How a connection ends is of no interest here.
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = ended => {
            connection.as_mut().graceful_shutdown();
            let _ = tokio::time::timeout(LAST, connection).await;
        }
    }
}
