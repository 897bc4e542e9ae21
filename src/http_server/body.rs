//! Request bodies, bounded in size, time and memory.
//!
//! A body that can't be read is either wrong ([`BodyError::TooLarge`], [`BodyError::Malformed`]), or it did not arrive
//! in time or in full, which says nothing about the request: its sender must be asked to repeat it.

use std::error::Error as StdError;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::time::{Instant, timeout_at};
use warp::Filter;

use super::body_memory::{BodyMemory, Reservation};

/// How much of a body that is too large is read and discarded before the response, in bytes. If a connection is closed
/// with unread data, its client may not see the response.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Limits of a route's request bodies.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyLimits {
    /// The largest accepted body, in bytes.
    pub(super) max_bytes: usize,
    /// Time from the end of the request's head within which the body must be complete.
    pub(super) timeout: Duration,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BodyError {
    /// The body is larger than its route accepts.
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge {
        /// The largest accepted body.
        max_bytes: usize,
    },
    /// The body's transfer encoding is invalid.
    #[error("the body's transfer encoding is invalid")]
    Malformed,
    /// The body was not complete in time.
    #[error("the body was not complete in time")]
    TimedOut,
    /// The connection ended within the body.
    #[error("the connection ended within the body")]
    Interrupted,
    /// Other bodies that are being received take all the memory for them.
    #[error("too many bodies are being received")]
    Overloaded,
}

impl BodyError {
    /// Whether the same request would be refused again, so that repeating it is of no use.
    pub(super) fn is_permanent(self) -> bool {
        match self {
            Self::TooLarge { .. } | Self::Malformed => true,
            Self::TimedOut | Self::Interrupted | Self::Overloaded => false,
        }
    }

    /// Tells an invalid encoding from a connection that ended early.
    fn from_stream(error: &(dyn StdError + 'static)) -> Self {
        let mut cause = Some(error);
        while let Some(current) = cause {
            if let Some(error) = current.downcast_ref::<io::Error>() {
                return match error.kind() {
                    io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData => Self::Malformed,
                    _ => Self::Interrupted,
                };
            }
            cause = current.source();
        }
        Self::Interrupted
    }
}

/// A complete request body.
#[derive(Debug)]
pub(super) struct ReceivedBody {
    /// The body.
    pub(super) bytes: Bytes,
    /// When the request's head was complete.
    pub(super) request_started: Instant,
    /// The memory that the body takes until it is decoded.
    _reservation: Reservation,
}

/// Extracts a body within `limits`, with or without a `Content-Length` header, or why it could not be read.
pub(super) fn received(
    limits: BodyLimits,
    memory: Arc<BodyMemory>,
) -> impl Filter<Extract = (Result<ReceivedBody, BodyError>,), Error = warp::Rejection>
+ Clone
+ Send
+ Sync
+ 'static {
    warp::header::optional::<usize>("content-length")
        .and(warp::body::stream())
        .then(move |announced_bytes: Option<usize>, stream| {
            let receiver = Receiver::new(limits, Arc::clone(&memory));
            receiver.receive(announced_bytes.unwrap_or(0), stream)
        })
}

/// The state of a body that is being received.
struct Receiver {
    limits: BodyLimits,
    request_started: Instant,
    body: BytesMut,
    reservation: Reservation,
}

impl Receiver {
    fn new(limits: BodyLimits, memory: Arc<BodyMemory>) -> Self {
        Self {
            limits,
            request_started: Instant::now(),
            body: BytesMut::new(),
            reservation: Reservation::new(memory),
        }
    }

    async fn receive<S, B>(
        mut self,
        announced_bytes: usize,
        stream: S,
    ) -> Result<ReceivedBody, BodyError>
    where
        S: Stream<Item = Result<B, warp::Error>> + Send,
        B: Buf,
    {
        let mut stream = std::pin::pin!(stream);
        let deadline = self.request_started + self.limits.timeout;
        let read_all = self.read_all(announced_bytes, &mut stream);
        let received = timeout_at(deadline, read_all).await;
        match received.unwrap_or(Err(BodyError::TimedOut)) {
            Ok(()) => Ok(self.into_received()),
            Err(error) => {
                self.release();
                if error.is_permanent() {
                    // The outcome is known, so a sender that is too slow only misses the response.
                    let _ = timeout_at(deadline, discard(&mut stream)).await;
                }
                Err(error)
            }
        }
    }

    async fn read_all<S, B>(
        &mut self,
        announced_bytes: usize,
        stream: &mut S,
    ) -> Result<(), BodyError>
    where
        S: Stream<Item = Result<B, warp::Error>> + Unpin,
        B: Buf,
    {
        self.check_size(announced_bytes)?;
        while let Some(chunk) = stream.next().await {
            let chunk = chunk.map_err(|error| BodyError::from_stream(&error))?;
            self.check_size(self.body.len() + chunk.remaining())?;
            if !self.reservation.grow(chunk.remaining()) {
                return Err(BodyError::Overloaded);
            }
            self.body.put(chunk);
        }
        Ok(())
    }

    fn check_size(&self, bytes: usize) -> Result<(), BodyError> {
        let max_bytes = self.limits.max_bytes;
        if bytes > max_bytes {
            return Err(BodyError::TooLarge { max_bytes });
        }
        Ok(())
    }

    /// Frees the memory of a body that is given up.
    fn release(&mut self) {
        self.body = BytesMut::new();
        self.reservation.release();
    }

    fn into_received(self) -> ReceivedBody {
        ReceivedBody {
            bytes: self.body.freeze(),
            request_started: self.request_started,
            _reservation: self.reservation,
        }
    }
}

/// Reads and discards the rest of a body, up to [`MAX_DISCARDED_BYTES`].
async fn discard<S, B>(stream: &mut S)
where
    S: Stream<Item = Result<B, warp::Error>> + Unpin,
    B: Buf,
{
    let mut discarded = 0;
    while discarded <= MAX_DISCARDED_BYTES
        && let Some(Ok(chunk)) = stream.next().await
    {
        discarded += chunk.remaining();
    }
}
