//! The actors of the link: one listener, and one connection out to each other controller.
//!
//! Each connection carries frames in one direction and an acknowledging byte for each in the other.
//! `frame` reads and writes frames, `outgoing` sends messages, `incoming` receives them.

mod frame;
mod incoming;
mod outgoing;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;

use super::{Message, VERSION};
use crate::settings::Settings;
use crate::types::ControllerId;

/// The byte that acknowledges a frame.
const ACK: u8 = 1;
/// Most messages that wait for a connection; older ones are outdated by then.
const MAX_QUEUED_MESSAGES: usize = 64;
/// The pause before a connection, or the listener, is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// Why a connection between controllers ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The other end closed the connection, or the system reported an error.
    #[error("{action}: {source}")]
    Io {
        /// What was tried.
        action: &'static str,
        /// The system's error.
        source: std::io::Error,
    },
    /// The other end took or sent nothing for too long.
    #[error("{action}: timed out after {} s", limit.as_secs())]
    TimedOut {
        /// What was tried.
        action: &'static str,
        /// The time limit.
        limit: Duration,
    },
    /// The other end announced a frame larger than [`LARGEST_FRAME`](super::LARGEST_FRAME).
    #[error("receiving a frame: {bytes} bytes are too many")]
    FrameTooLarge {
        /// The announced size.
        bytes: usize,
    },
    /// A frame holds no message of this version.
    #[error("decoding a frame: {0}")]
    Malformed(#[from] bitcode::Error),
}

impl LinkError {
    /// Adds to an error of the system what was tried.
    fn io(action: &'static str) -> impl FnOnce(std::io::Error) -> Self {
        move |source| Self::Io { action, source }
    }
}

/// A message of another controller, and which one it is.
pub struct PeerMessage {
    /// The sender.
    pub from: ControllerId,
    /// What it sent.
    pub message: Message,
}

/// Addresses of the connections out.
#[derive(Clone)]
pub struct Peers {
    out: HashMap<ControllerId, mpsc::Sender<Message>>,
}

impl Peers {
    /// Starts the listener and the connections out. Takes at most `max_incoming` connections from
    /// others. Their messages wait while `inbox` is full: a sender that is not acknowledged in time
    /// reconnects.
    pub fn start(
        settings: &Settings,
        max_incoming: usize,
        inbox: mpsc::Sender<PeerMessage>,
    ) -> Self {
        let me = settings.label.clone();
        tokio::spawn(incoming::listen(settings.peer_bind, max_incoming, inbox));
        let out = settings
            .members
            .iter()
            .map(|member| {
                let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
                tokio::spawn(outgoing::run_outgoing(me.clone(), member.address, receiver));
                (member.label.clone(), sender)
            })
            .collect();
        Self { out }
    }

    /// Sends a message unless the queue is full; later messages make up for a lost one.
    pub fn send(&self, to: &ControllerId, message: Message) {
        if let Some(sender) = self.out.get(to) {
            let _ = sender.try_send(message);
        }
    }
}

#[cfg(test)]
mod tests;
