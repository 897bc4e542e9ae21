//! The listener, and the incoming connections from other controllers.

use std::sync::Arc;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

use super::frame::read_frame;
use super::{
    ACK, ControllerId, Duration, LinkError, Message, PeerMessage, RETRY_INTERVAL, SocketAddr,
    VERSION,
};

/// Time limit for the hello of a new connection; a connecting controller sends it at once.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);

/// Accepts connections for as long as the process runs and serves at most `max_incoming` at a time; further
/// ones are closed at once.
pub(super) async fn listen(
    address: SocketAddr,
    max_incoming: usize,
    inbox: mpsc::Sender<PeerMessage>,
) {
    let permits = Arc::new(Semaphore::new(max_incoming));
    let listener = bind(address).await;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(permit) = permits.clone().try_acquire_owned() else {
                    continue;
                };
                let inbox = inbox.clone();
                tokio::spawn(async move {
                    serve_incoming(stream, inbox).await;
                    drop(permit);
                });
            }
            Err(error) => {
                tracing::error!(%error, "accepting a peer connection failed; retrying");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Binds the listener, and retries until the address is available.
async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => {
                tracing::error!(%address, %error, "binding the peer listener failed; retrying");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Receives messages from one connection and acknowledges each once it is in the inbox.
pub(super) async fn serve_incoming(mut stream: TcpStream, inbox: mpsc::Sender<PeerMessage>) {
    let Some(from) = receive_hello(&mut stream).await else {
        return;
    };
    if stream.write_all(&[ACK]).await.is_err() {
        return;
    }
    loop {
        match read_frame(&mut stream).await {
            Ok(message) => {
                let from = from.clone();
                let delivered = inbox.send(PeerMessage { from, message }).await.is_ok();
                if !delivered || stream.write_all(&[ACK]).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                tracing::debug!(%from, %error, "peer connection lost");
                return;
            }
        }
    }
}

/// Receives the hello and returns the ID of the connected controller; `None` if the connection must not be
/// served.
async fn receive_hello(stream: &mut TcpStream) -> Option<ControllerId> {
    let received = tokio::time::timeout(HELLO_TIMEOUT, read_frame(stream)).await;
    let timed_out = |_| {
        Err(LinkError::TimedOut {
            action: "receiving a hello",
            limit: HELLO_TIMEOUT,
        })
    };
    match received.unwrap_or_else(timed_out) {
        Ok(Message::Hello { version, label }) if version == VERSION => {
            Some(ControllerId::from(label))
        }
        Ok(Message::Hello { version, label }) => {
            tracing::error!(
                version,
                label,
                "peer protocol version mismatch; connection closed"
            );
            None
        }
        Ok(_) => {
            tracing::error!("first frame from peer is not a hello; connection closed");
            None
        }
        Err(error) => {
            tracing::debug!(%error, "receiving the hello of a peer failed");
            None
        }
    }
}
