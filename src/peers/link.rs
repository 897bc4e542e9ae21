//! The actors of the link: one listener, and one connection out to each other controller.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::{LARGEST_FRAME, Message, VERSION};
use crate::settings::Settings;
use crate::types::NodeId;

/// Messages that wait for a connection; older ones are of no use by then.
const BACKLOG: usize = 64;
const RECONNECT: Duration = Duration::from_millis(700);
/// A frame that can't be handed to the system for this long means that the connection is dead.
const WRITE_LIMIT: Duration = Duration::from_secs(4);
/// Each controller sends a status every second; silence for this long ends a connection.
const READ_LIMIT: Duration = Duration::from_secs(10);

pub struct PeerMessage {
    pub from: NodeId,
    pub message: Message,
}

/// Addresses of the connections out.
#[derive(Clone)]
pub struct Peers {
    out: HashMap<NodeId, mpsc::Sender<Message>>,
}

impl Peers {
    pub fn start(settings: &Settings, inbox: mpsc::UnboundedSender<PeerMessage>) -> Self {
        let me = settings.label.clone();
        tokio::spawn(listen(settings.peer_bind, inbox));
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
    pub fn send(&self, to: &NodeId, message: Message) {
        if let Some(sender) = self.out.get(to) {
            let _ = sender.try_send(message);
        }
    }
}

async fn write_frame(stream: &mut TcpStream, message: &Message) -> std::io::Result<()> {
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

async fn speak(me: NodeId, address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    loop {
        let connected =
            tokio::time::timeout(Duration::from_millis(1_500), TcpStream::connect(address)).await;
        if let Ok(Ok(mut stream)) = connected {
            let _ = stream.set_nodelay(true);
            let hello = Message::Hello {
                version: VERSION,
                label: me.to_string(),
            };
            let mut fine = write_frame(&mut stream, &hello).await.is_ok();
            while fine {
                match messages.recv().await {
                    Some(message) => fine = write_frame(&mut stream, &message).await.is_ok(),
                    None => return,
                }
            }
        }
        tokio::time::sleep(RECONNECT).await;
        // What was said to nobody is old by now.
        while messages.try_recv().is_ok() {}
    }
}

async fn listen(address: SocketAddr, inbox: mpsc::UnboundedSender<PeerMessage>) {
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(error) => {
                tracing::error!(%address, %error, "can't listen for other controllers");
                tokio::time::sleep(RECONNECT).await;
            }
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(hear(stream, inbox.clone()));
            }
            Err(error) => {
                tracing::error!(%error, "can't accept another controller");
                tokio::time::sleep(RECONNECT).await;
            }
        }
    }
}

async fn hear(mut stream: TcpStream, inbox: mpsc::UnboundedSender<PeerMessage>) {
    let from = match read_frame(&mut stream).await {
        Ok(Message::Hello { version, label }) if version == VERSION => NodeId::from(label),
        Ok(Message::Hello { version, label }) => {
            tracing::error!(version, label, "another controller speaks another version");
            return;
        }
        Ok(_) => {
            tracing::error!("another controller did not say who it is");
            return;
        }
        Err(error) => {
            tracing::debug!(%error, "no greeting from another controller");
            return;
        }
    };
    loop {
        match read_frame(&mut stream).await {
            Ok(message) => {
                let from = from.clone();
                if inbox.send(PeerMessage { from, message }).is_err() {
                    return;
                }
            }
            Err(error) => {
                tracing::debug!(%from, %error, "lost another controller's connection");
                return;
            }
        }
    }
}
