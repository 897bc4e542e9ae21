//! The actor that owns the connections of the server: it accepts them within the budget and closes idle ones.

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

/// The head of a request must be complete within this time, whatever the connection did before.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// A connection that is closed for being idle may finish its response within this time.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two searches for idle connections; short against the idle timeouts.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after the system refused a connection, which it does again at once while its sockets are used up.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Capacity of the queue of notices to the acceptor; while it is full, a connection's request waits.
const NOTICE_BACKLOG: usize = 256;

/// A notice from a connection to the acceptor.
enum Notice {
    RequestStarted(Id, ConnectionClass),
    RequestFinished(Id),
}

/// The state of the actor.
struct Acceptor {
    clock: Clock,
    table: ConnectionTable<Id>,
    /// The signal for a connection to close.
    shutdowns: HashMap<Id, oneshot::Sender<()>>,
    /// The connections; they end with the acceptor.
    tasks: JoinSet<()>,
    pressure: watch::Sender<ConnectionPressure>,
    /// Connections that were not accepted since the last idle check.
    rejected: u64,
}

/// Serves at most `max_connections` at a time, until the process ends. `busy` is the response while there is no
/// capacity for users' requests.
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
    let (sender, mut notices) = mpsc::channel(NOTICE_BACKLOG);
    let mut acceptor = Acceptor::new(max_connections, idle_timeouts, clock);
    let mut idle_checks = tokio::time::interval(IDLE_CHECK_INTERVAL);
    idle_checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some(ended) = acceptor.tasks.join_next_with_id(), if !acceptor.tasks.is_empty() => {
                acceptor.on_closed(&ended);
            }
            Some(notice) = notices.recv() => acceptor.on_notice(notice),
            _ = idle_checks.tick() => acceptor.close_idle(),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if acceptor.table.admits() => {
                    let (shutdown, on_shutdown) = oneshot::channel();
                    let link = acceptor.link(sender.clone());
                    let connection =
                        serve_connection(stream, service.clone(), link, on_shutdown, busy);
                    let id = acceptor.tasks.spawn(connection).id();
                    acceptor.on_opened(id, shutdown);
                }
                // The client finds another controller sooner than a connection is free here.
                Ok(_) => acceptor.rejected += 1,
                Err(error) => {
                    tracing::error!(%error, "connection accept failed");
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

    fn link(&self, notices: mpsc::Sender<Notice>) -> AcceptorLink {
        AcceptorLink {
            notices,
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

    fn on_notice(&mut self, notice: Notice) {
        let now = self.clock.now();
        match notice {
            Notice::RequestStarted(id, class) => self.table.request_started(id, class, now),
            Notice::RequestFinished(id) => self.table.request_finished(id, now),
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
                // The connection may have ended just now.
                let _ = shutdown.send(());
            }
        }
        if self.rejected > 0 {
            let open = self.table.len();
            tracing::info!(open, turned_away = self.rejected, "connections rejected");
            self.rejected = 0;
        }
    }
}

/// What connects a connection with the acceptor.
struct AcceptorLink {
    notices: mpsc::Sender<Notice>,
    pressure: watch::Receiver<ConnectionPressure>,
}

impl AcceptorLink {
    async fn notify(&self, notice: Notice) {
        // Can't fail: the acceptor owns the task of this connection.
        let _ = self.notices.send(notice).await;
    }

    fn pressure(&self) -> ConnectionPressure {
        *self.pressure.borrow()
    }
}

async fn serve_connection<S, B>(
    stream: TcpStream,
    service: S,
    link: AcceptorLink,
    on_shutdown: oneshot::Receiver<()>,
    busy: fn() -> Response<B>,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible> + Send + Sync,
    S::Future: Send,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Responses are small: with Nagle's algorithm they would wait for the client's acknowledgement. If it can't be
    // turned off, they are only slower.
    let _ = stream.set_nodelay(true);
    let id = tokio::task::id();
    let service = service_fn(|request: Request<Incoming>| {
        let class = ConnectionClass::of(request.uri().path());
        let refused = class == ConnectionClass::User && link.pressure().users_full;
        let response = (!refused).then(|| service.call(request));
        let link = &link;
        async move {
            link.notify(Notice::RequestStarted(id, class)).await;
            let mut response = match response {
                Some(response) => response.await?,
                None => busy(),
            };
            if refused || link.pressure().closes(class) {
                let headers = response.headers_mut();
                headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            link.notify(Notice::RequestFinished(id)).await;
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service)
    );
    // Errors of a connection are the client's: it closed early, or sent no HTTP.
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = on_shutdown => {
            connection.as_mut().graceful_shutdown();
            let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, connection).await;
        }
    }
}
