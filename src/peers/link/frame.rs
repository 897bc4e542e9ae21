//! Framing: a four-byte big-endian length, followed by a message encoded with `bitcode`.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

use super::LinkError;
use crate::peers::{MAX_FRAME_BYTES, Message};

/// If a frame is not written within this time, the connection is considered lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Each controller sends a status every second; a connection without a frame for this long is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes a message as one frame, within [`WRITE_TIMEOUT`].
pub(super) async fn write_frame(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &Message,
) -> Result<(), LinkError> {
    const ACTION: &str = "sending a frame";
    let frame = bitcode::encode(message);
    let mut bytes = Vec::with_capacity(frame.len() + 4);
    bytes.extend_from_slice(&(frame.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&frame);
    match tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await {
        Ok(written) => written.map_err(LinkError::io(ACTION)),
        Err(_) => Err(LinkError::TimedOut {
            action: ACTION,
            limit: WRITE_TIMEOUT,
        }),
    }
}

/// Reads one frame, waiting for at most [`READ_TIMEOUT`].
pub(super) async fn read_frame(stream: &mut TcpStream) -> Result<Message, LinkError> {
    match tokio::time::timeout(READ_TIMEOUT, receive(stream)).await {
        Ok(received) => received,
        Err(_) => Err(LinkError::TimedOut {
            action: "receiving a frame",
            limit: READ_TIMEOUT,
        }),
    }
}

async fn receive(stream: &mut TcpStream) -> Result<Message, LinkError> {
    let length = stream.read_u32().await;
    let bytes = length.map_err(LinkError::io("receiving a frame's length"))? as usize;
    if bytes > MAX_FRAME_BYTES {
        return Err(LinkError::FrameTooLarge { bytes });
    }
    let mut frame = vec![0; bytes];
    let read = stream.read_exact(&mut frame).await;
    read.map_err(LinkError::io("receiving a frame"))?;
    Ok(bitcode::decode(&frame)?)
}
