//! The actor that owns the connections of the HTTP server: it accepts connections up to a limit and closes idle ones.

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
use tokio::task::{Id, JoinError, JoinSet};

use super::{ConnectionClass, ConnectionPressure, ConnectionTable, IdleTimeouts};
use crate::clock::Clock;

/// Time within which the head of a request must be complete, also on a connection that served requests before.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a connection that is closed as idle to finish its response.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two checks for idle connections; short compared to the idle timeouts.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after `accept` failed: while the process is out of sockets, it would fail again at once.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Capacity of the queue of events to the acceptor. While the queue is full, requests wait before they are handled.
const EVENT_QUEUE_CAPACITY: usize = 256;

/// An event that a connection reports to the acceptor.
enum ConnectionEvent {
    RequestStarted(Id, ConnectionClass),
    RequestFinished(Id),
}

/// The state of the actor.
struct Acceptor {
    clock: Clock,
    table: ConnectionTable<Id>,
    /// The channel that tells a connection to close.
    shutdowns: HashMap<Id, oneshot::Sender<()>>,
    /// The tasks of the connections, which are aborted when the acceptor is dropped.
    tasks: JoinSet<()>,
    pressure: watch::Sender<ConnectionPressure>,
    /// Number of connections rejected since the last idle check.
    rejected: u64,
}

/// Serves at most `max_connections` at a time until the process ends. `busy` creates the response to requests of users
/// that exceed their part of the connections.
pub async fn serve<S, B>(
    listener: TcpListener,
    service: S,
    busy: fn() -> Response<B>,
    max_connections: usize,
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
    let (event_sender, mut events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let mut acceptor = Acceptor::new(max_connections, idle_timeouts, clock);
    let mut idle_checks = tokio::time::interval(IDLE_CHECK_INTERVAL);
    idle_checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some(ended) = acceptor.tasks.join_next_with_id(), if !acceptor.tasks.is_empty() => {
                acceptor.on_closed(&ended);
            }
            Some(event) = events.recv() => acceptor.on_event(event),
            _ = idle_checks.tick() => acceptor.close_idle(),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if acceptor.table.admits() => {
                    let (shutdown, on_shutdown) = oneshot::channel();
                    let handle = acceptor.new_handle(event_sender.clone());
                    let connection =
                        serve_connection(stream, service.clone(), handle, on_shutdown, busy);
                    let id = acceptor.tasks.spawn(connection).id();
                    acceptor.on_opened(id, shutdown);
                }
                // The connection is dropped: its client finds another controller sooner than this one has capacity.
                Ok(_) => acceptor.rejected += 1,
                Err(error) => {
                    tracing::error!(%error, "accepting an HTTP connection failed, retrying");
                    tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
                }
            },
        }
        acceptor.publish_pressure();
    }
}

impl Acceptor {
    fn new(max_connections: usize, idle_timeouts: IdleTimeouts, clock: Clock) -> Self {
        Self {
            clock,
            table: ConnectionTable::new(max_connections, idle_timeouts),
            shutdowns: HashMap::new(),
            tasks: JoinSet::new(),
            pressure: watch::Sender::new(ConnectionPressure::default()),
            rejected: 0,
        }
    }

    fn new_handle(&self, events: mpsc::Sender<ConnectionEvent>) -> AcceptorHandle {
        AcceptorHandle {
            events,
            pressure: self.pressure.subscribe(),
        }
    }

    fn on_opened(&mut self, id: Id, shutdown: oneshot::Sender<()>) {
        self.table.opened(id, self.clock.now());
        self.shutdowns.insert(id, shutdown);
    }

    fn on_closed(&mut self, ended: &Result<(Id, ()), JoinError>) {
        let id = match ended {
            Ok((id, ())) => *id,
            Err(error) => error.id(),
        };
        self.table.closed(id);
        self.shutdowns.remove(&id);
    }

    fn on_event(&mut self, event: ConnectionEvent) {
        let now = self.clock.now();
        match event {
            ConnectionEvent::RequestStarted(id, class) => {
                self.table.request_started(id, class, now)
            }
            ConnectionEvent::RequestFinished(id) => self.table.request_finished(id, now),
        }
    }

    fn publish_pressure(&mut self) {
        let pressure = self.table.pressure();
        self.pressure.send_if_modified(|published| {
            let changed = *published != pressure;
            *published = pressure;
            changed
        });
    }

    fn close_idle(&mut self) {
        for id in self.table.idle(self.clock.now()) {
            if let Some(shutdown) = self.shutdowns.remove(&id) {
                // Fails if the connection has just ended by itself.
                let _ = shutdown.send(());
            }
        }
        if self.rejected > 0 {
            let open = self.table.len();
            tracing::info!(
                open,
                turned_away = self.rejected,
                "HTTP connections rejected: connection limit reached"
            );
            self.rejected = 0;
        }
    }
}

/// A connection's handle to the acceptor.
struct AcceptorHandle {
    events: mpsc::Sender<ConnectionEvent>,
    pressure: watch::Receiver<ConnectionPressure>,
}

impl AcceptorHandle {
    async fn report(&self, event: ConnectionEvent) {
        // Can't fail: the acceptor owns the task of this connection, and so outlives it.
        let _ = self.events.send(event).await;
    }

    fn pressure(&self) -> ConnectionPressure {
        *self.pressure.borrow()
    }
}

async fn serve_connection<S, B>(
    stream: TcpStream,
    service: S,
    acceptor: AcceptorHandle,
    on_shutdown: oneshot::Receiver<()>,
    busy: fn() -> Response<B>,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible> + Send + Sync,
    S::Future: Send,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Responses are small, and with Nagle's algorithm they would wait for the client's acknowledgement. An error is
    // ignored, since it only makes responses slower.
    let _ = stream.set_nodelay(true);
    let id = tokio::task::id();
    let service = service_fn(|request: Request<Incoming>| {
        let class = ConnectionClass::of(request.uri().path());
        let refused = class == ConnectionClass::User && acceptor.pressure().users_full;
        let response = (!refused).then(|| service.call(request));
        let acceptor = &acceptor;
        async move {
            acceptor
                .report(ConnectionEvent::RequestStarted(id, class))
                .await;
            let mut response = match response {
                Some(response) => response.await?,
                None => busy(),
            };
            if refused || acceptor.pressure().closes(class) {
                let headers = response.headers_mut();
                headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            acceptor.report(ConnectionEvent::RequestFinished(id)).await;
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service)
    );
    // Errors of a connection are ignored: the client closed it early, or did not send valid HTTP.
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = on_shutdown => {
            connection.as_mut().graceful_shutdown();
            let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, connection).await;
        }
    }
}
