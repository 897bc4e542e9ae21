//! The outgoing connection to another controller, re-established whenever it is lost.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::frame::write_frame;
use super::{ControllerId, Duration, Message, RETRY_INTERVAL, SocketAddr, VERSION};

/// Time limit for establishing a connection; afterwards it is retried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A connection with outstanding acknowledgements that receives none for this long is closed.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// The most acknowledgements that are read at a time; each is one byte.
const ACK_BUFFER_BYTES: usize = 64;

/// Maintains a connection to another controller and sends it messages, until the queue is closed.
pub(super) async fn run_outgoing(
    local_id: ControllerId,
    address: SocketAddr,
    mut messages: mpsc::Receiver<Message>,
) {
    let hello = Message::Hello {
        version: VERSION,
        label: local_id.to_string(),
    };
    loop {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = connected {
            let _ = stream.set_nodelay(true);
            run_connection(stream, &hello, &mut messages).await;
        }
        if messages.is_closed() {
            return;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
        // Messages that were queued while there was no connection are outdated by now.
        while messages.try_recv().is_ok() {}
    }
}

/// Sends messages over one connection until it fails. Frames are acknowledged because a connection
/// whose peer has failed may accept them for minutes without an error.
async fn run_connection(
    stream: TcpStream,
    hello: &Message,
    messages: &mut mpsc::Receiver<Message>,
) {
    let (mut acks, mut frames) = stream.into_split();
    if write_frame(&mut frames, hello).await.is_err() {
        return;
    }
    let mut unacknowledged: usize = 1;
    let mut last_progress = Instant::now();
    let mut buffer = [0; ACK_BUFFER_BYTES];
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) if write_frame(&mut frames, &message).await.is_ok() => {
                    if unacknowledged == 0 {
                        last_progress = Instant::now();
                    }
                    unacknowledged += 1;
                }
                _ => return,
            },
            read = acks.read(&mut buffer) => match read {
                Ok(count) if count > 0 => {
                    unacknowledged = unacknowledged.saturating_sub(count);
                    last_progress = Instant::now();
                }
                _ => return,
            },
            () = tokio::time::sleep_until(last_progress + ACK_TIMEOUT), if unacknowledged > 0 => return,
        }
    }
}
