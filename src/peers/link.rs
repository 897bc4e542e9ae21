//! The actors of the link: one listener, and one connection out to each other controller.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

use super::{LARGEST_FRAME, Message, VERSION};
use crate::settings::Settings;
use crate::types::ControllerId;

const ACK: u8 = 1;
/// Messages that wait for a connection; older ones are of no use by then.
const BACKLOG: usize = 64;
const RECONNECT: Duration = Duration::from_millis(700);
/// A frame that can't be handed to the system for this long means that the connection is dead.
const WRITE_LIMIT: Duration = Duration::from_secs(4);
/// A connection that owes an acknowledgement for this long is given up.
const ACK_LIMIT: Duration = Duration::from_secs(3);
/// Each controller sends a status every second; silence for this long ends a connection.
const READ_LIMIT: Duration = Duration::from_secs(10);
/// Whoever connects says at once who it is.
const HELLO_LIMIT: Duration = Duration::from_secs(3);

pub struct PeerMessage {
    pub from: ControllerId,
    pub message: Message,
}

/// Addresses of the connections out.
#[derive(Clone)]
pub struct Peers {
    out: HashMap<ControllerId, mpsc::Sender<Message>>,
}

impl Peers {
    /// Takes `most` connections from others. What they say waits for its turn: a sender that is not
    /// acknowledged in time starts anew.
    pub fn start(settings: &Settings, most: usize, inbox: mpsc::Sender<PeerMessage>) -> Self {
        let me = settings.label.clone();
        tokio::spawn(listen(settings.peer_bind, most, inbox));
        let out = settings
            .members
            .iter()
            .map(|member| {
                let (sender, receiver) = mpsc::channel(BACKLOG);
                tokio::spawn(speak(me.clone(), member.address, receiver));
                (member.label.clone(), sender)
            })
            .collect();
        Self { out }
    }

    /// Sends if there is room; a lost message is made up for by later ones.
    pub fn send(&self, to: &ControllerId, message: Message) {
        if let Some(sender) = self.out.get(to) {
            let _ = sender.try_send(message);
        }
    }
}

async fn write_frame(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &Message,
) -> std::io::Result<()> {
    let frame = bitcode::encode(message);
    let mut bytes = Vec::with_capacity(frame.len() + 4);
    bytes.extend_from_slice(&(frame.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&frame);
    tokio::time::timeout(WRITE_LIMIT, stream.write_all(&bytes))
        .await
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}

async fn read_frame(stream: &mut TcpStream) -> std::io::Result<Message> {
    let exchange = async {
        let len = stream.read_u32().await? as usize;
        if len > LARGEST_FRAME {
            return Err(std::io::Error::other("the frame is too large"));
        }
        let mut frame = vec![0; len];
        stream.read_exact(&mut frame).await?;
        bitcode::decode(&frame).map_err(std::io::Error::other)
    };
    tokio::time::timeout(READ_LIMIT, exchange)
        .await
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}

/// Sends messages over one connection until it fails. Each frame is acknowledged with a byte: a
/// connection whose other end is gone may take frames for minutes without an error.
async fn converse(stream: TcpStream, hello: &Message, messages: &mut mpsc::Receiver<Message>) {
    let (mut acks, mut frames) = stream.into_split();
    if write_frame(&mut frames, hello).await.is_err() {
        return;
    }
    let mut owed: usize = 1;
    let mut heard = Instant::now();
    let mut buffer = [0; 64];
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) if write_frame(&mut frames, &message).await.is_ok() => {
                    if owed == 0 {
                        heard = Instant::now();
                    }
                    owed += 1;
                }
                _ => return,
            },
            read = acks.read(&mut buffer) => match read {
                Ok(count) if count > 0 => {
                    owed = owed.saturating_sub(count);
                    heard = Instant::now();
                }
                _ => return,
            },
            () = tokio::time::sleep_until(heard + ACK_LIMIT), if owed > 0 => return,
        }
    }
}

async fn speak(me: ControllerId, address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    let hello = Message::Hello {
        version: VERSION,
        label: me.to_string(),
    };
    loop {
        let connected =
            tokio::time::timeout(Duration::from_millis(1_500), TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = connected {
            let _ = stream.set_nodelay(true);
            converse(stream, &hello, &mut messages).await;
        }
        if messages.is_closed() {
            return;
        }
        tokio::time::sleep(RECONNECT).await;
        // What was said to nobody is old by now.
        while messages.try_recv().is_ok() {}
    }
}

async fn listen(address: SocketAddr, most: usize, inbox: mpsc::Sender<PeerMessage>) {
    let resources = Arc::new(Semaphore::new(most));
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(error) => {
                tracing::error!(%address, %error, "peer listener failed");
                tokio::time::sleep(RECONNECT).await;
            }
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(place) = resources.clone().try_acquire_owned() else {
                    continue;
                };
                let inbox = inbox.clone();
                tokio::spawn(async move {
                    hear(stream, inbox).await;
                    drop(place);
                });
            }
            Err(error) => {
                tracing::error!(%error, "peer connection accept failed");
                tokio::time::sleep(RECONNECT).await;
            }
        }
    }
}

async fn hear(mut stream: TcpStream, inbox: mpsc::Sender<PeerMessage>) {
    let hello = tokio::time::timeout(HELLO_LIMIT, read_frame(&mut stream)).await;
    let from = match hello.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
        Ok(Message::Hello { version, label }) if version == VERSION => ControllerId::from(label),
        Ok(Message::Hello { version, label }) => {
            tracing::error!(version, label, "peer protocol version mismatch");
            return;
        }
        Ok(_) => {
            tracing::error!("peer sent no hello");
            return;
        }
        Err(error) => {
            tracing::debug!(%error, "peer hello failed");
            return;
        }
    };
    if stream.write_all(&[ACK]).await.is_err() {
        return;
    }
    loop {
        match read_frame(&mut stream).await {
            Ok(message) => {
                let from = from.clone();
                let heard = inbox.send(PeerMessage { from, message }).await.is_ok();
                if !heard || stream.write_all(&[ACK]).await.is_err() {
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

#[cfg(test)]
mod tests;
