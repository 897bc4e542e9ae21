//! A small HTTP server for JSON on loopback, with one handler for all paths.
//!
//! The simulated store, cloud and workers and the control interface are served by it. It keeps no state.

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;

use serde_json::{Value, json};
use warp::http::{Method, StatusCode};
use warp::path::FullPath;
use warp::{Filter, Reply};

/// Largest accepted request body in bytes. The daemon's requests stay well below 1 MiB.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A received request.
pub(super) struct Request {
    /// The HTTP method.
    pub method: Method,
    /// The path without its query.
    pub path: String,
    /// The query's parameters by name.
    pub query: HashMap<String, String>,
    /// The unparsed body.
    pub body: Vec<u8>,
}

impl Request {
    /// A query parameter as a number; `None` if it is missing or not a number.
    pub(super) fn number(&self, key: &str) -> Option<u64> {
        self.query.get(key)?.parse().ok()
    }
}

/// The response of a handler.
pub(super) struct Response {
    status: u16,
    body: Option<Value>,
}

impl Response {
    /// A response with a JSON body.
    pub(super) fn json(status: u16, body: Value) -> Self {
        Self {
            status,
            body: Some(body),
        }
    }

    /// Status 200 with a JSON body.
    pub(super) fn ok(body: Value) -> Self {
        Self::json(200, body)
    }

    /// A response without a body.
    pub(super) fn empty(status: u16) -> Self {
        Self { status, body: None }
    }

    /// An error response, with the reason in the body's field `error`.
    pub(super) fn error(status: u16, reason: impl ToString) -> Self {
        Self::json(status, json!({"error": reason.to_string()}))
    }

    /// Converts the response; a status that is not valid in HTTP becomes 400.
    fn into_warp(self) -> warp::reply::Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_REQUEST);
        let body = self.body.map(|body| body.to_string()).unwrap_or_default();
        warp::reply::with_status(body, status).into_response()
    }
}

/// Opens a listener on a free port of loopback.
///
/// # Errors
/// No port or no file descriptor is left.
pub(super) fn listen() -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves requests that arrive at `listener` until the returned future is dropped. A larger body than
/// [`MAX_BODY_BYTES`] gets 413.
pub(super) async fn serve<F>(
    listener: TcpListener,
    handler: impl Fn(Request) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Response> + Send,
{
    let all_paths = warp::method()
        .and(warp::path::full())
        .and(warp::query::<HashMap<String, String>>())
        .and(warp::body::bytes())
        .then(move |method, path: FullPath, query, body: bytes::Bytes| {
            let request = Request {
                method,
                path: path.as_str().to_string(),
                query,
                body: body.to_vec(),
            };
            let handler = handler.clone();
            async move {
                let response = if request.body.len() > MAX_BODY_BYTES {
                    Response::empty(413)
                } else {
                    handler(request).await
                };
                response.into_warp()
            }
        });
    let routes = all_paths
        .recover(|_| async { Ok::<_, Infallible>(StatusCode::BAD_REQUEST.into_response()) });
    if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
        warp::serve(routes).incoming(listener).run().await;
    }
}
