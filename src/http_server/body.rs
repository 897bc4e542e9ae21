//! Request bodies, bounded in size and time.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use warp::Filter;

/// Time within which a body must be complete. Without it, a client that sends one byte per second would occupy its
/// connection for hours.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// A body that is too large, is not complete in time, or ended early.
#[derive(Debug)]
struct UnreadableBody;

impl warp::reject::Reject for UnreadableBody {}

/// Extracts a body of at most `max_bytes`, with or without a `Content-Length` header.
pub(super) fn bounded(
    max_bytes: usize,
) -> impl Filter<Extract = (Bytes,), Error = warp::Rejection> + Clone + Send + Sync + 'static {
    warp::body::stream().and_then(move |stream| collect(stream, max_bytes))
}

async fn collect(
    stream: impl Stream<Item = Result<impl Buf, warp::Error>> + Send,
    max_bytes: usize,
) -> Result<Bytes, warp::Rejection> {
    let mut stream = std::pin::pin!(stream);
    let mut body = BytesMut::new();
    let read_all = async {
        while let Some(chunk) = stream.next().await {
            let chunk = chunk.ok()?;
            if body.len() + chunk.remaining() > max_bytes {
                return None;
            }
            body.put(chunk);
        }
        Some(())
    };
    match tokio::time::timeout(BODY_TIMEOUT, read_all).await {
        Ok(Some(())) => Ok(body.freeze()),
        _ => Err(warp::reject::custom(UnreadableBody)),
    }
}
