//! Bodies of requests, bounded in size and in time.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use warp::Filter;

/// A body must be complete within this time: a client that sends a byte a second would occupy its connection for
/// hours.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// The body is too large, too slow, or ended early.
#[derive(Debug)]
struct UnreadableBody;

impl warp::reject::Reject for UnreadableBody {}

/// Extracts a body of at most `max_bytes`, whether its length was announced or not.
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
    let complete = async {
        while let Some(part) = stream.next().await {
            let part = part.ok()?;
            if body.len() + part.remaining() > max_bytes {
                return None;
            }
            body.put(part);
        }
        Some(())
    };
    match tokio::time::timeout(BODY_TIMEOUT, complete).await {
        Ok(Some(())) => Ok(body.freeze()),
        _ => Err(warp::reject::custom(UnreadableBody)),
    }
}
