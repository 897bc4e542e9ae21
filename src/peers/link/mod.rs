//! The connections between controllers: one listener, and one outgoing connection to each other controller.
//!
//! Each connection carries frames in one direction and one acknowledgement byte per frame in the other.
//! `frame` reads and writes frames, `outgoing` sends messages, `incoming` receives them.

mod frame;
mod incoming;
mod outgoing;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;

use super::{MAX_FRAME_BYTES, Message, VERSION};
use crate::settings::Settings;
use crate::types::ControllerId;

/// The byte that acknowledges a frame.
const ACK: u8 = 1;
/// Maximum number of queued messages for each outgoing connection; with a longer queue the messages would be
/// outdated when sent.
const MAX_QUEUED_MESSAGES: usize = 64;
/// The delay before a failed connection or listener is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// Why a connection between controllers ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The peer closed the connection, or the operating system reported an error.
    #[error("{action}: {source}")]
    Io {
        /// The operation that failed.
        action: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The peer did not accept or send a frame in time.
    #[error("{action}: timed out after {} s", limit.as_secs())]
    TimedOut {
        /// The operation that timed out.
        action: &'static str,
        /// The time limit that was exceeded.
        limit: Duration,
    },
    /// The peer announced a frame larger than [`MAX_FRAME_BYTES`].
    #[error("receiving a frame: {bytes} bytes exceed the limit of {MAX_FRAME_BYTES} bytes")]
    FrameTooLarge {
        /// The announced size.
        bytes: usize,
    },
    /// A frame does not contain a valid message of this [`VERSION`].
    #[error("decoding a frame: {0}")]
    Malformed(#[from] bitcode::Error),
}

impl LinkError {
    /// Adds the failed operation to an error of the operating system.
    fn io(action: &'static str) -> impl FnOnce(std::io::Error) -> Self {
        move |source| Self::Io { action, source }
    }
}

/// A message from another controller, with its sender.
pub struct PeerMessage {
    /// The sender, as named in the hello of its connection.
    pub from: ControllerId,
    /// The received message.
    pub message: Message,
}

/// A handle for sending messages to the other controllers.
#[derive(Clone)]
pub struct Peers {
    senders: HashMap<ControllerId, mpsc::Sender<Message>>,
}

impl Peers {
    /// Starts the listener and the outgoing connections. At most `max_incoming` connections from other
    /// controllers are served. Their messages wait while `inbox` is full: a sender that is not
    /// acknowledged in time reconnects.
    pub fn start(
        settings: &Settings,
        max_incoming: usize,
        inbox: mpsc::Sender<PeerMessage>,
    ) -> Self {
        let local_id = settings.label.clone();
        tokio::spawn(incoming::listen(settings.peer_bind, max_incoming, inbox));
        let senders = settings
            .members
            .iter()
            .map(|member| {
                let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
                tokio::spawn(outgoing::run_outgoing(
                    local_id.clone(),
                    member.address,
                    receiver,
                ));
                (member.label.clone(), sender)
            })
            .collect();
        Self { senders }
    }

    /// Queues a message for a controller. It is dropped if the queue is full or the controller is not a
    /// member; later messages make up for a lost one.
    pub fn send(&self, to: &ControllerId, message: Message) {
        if let Some(sender) = self.senders.get(to) {
            let _ = sender.try_send(message);
        }
    }
}

#[cfg(test)]
mod tests;
