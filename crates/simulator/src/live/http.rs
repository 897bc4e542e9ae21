//! A small JSON server: one handler for all paths.

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;

use serde_json::Value;
use warp::http::{Method, StatusCode};
use warp::path::FullPath;
use warp::{Filter, Reply};

pub struct Request {
    pub method: Method,
    pub path: String,
    pub query: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn number(&self, key: &str) -> Option<u64> {
        self.query.get(key)?.parse().ok()
    }
}

/// Status and body; no body: an empty one.
pub type Reaction = (u16, Option<Value>);

/// No request body is larger.
const LARGEST: usize = 1 << 20;

pub fn listen() -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

pub async fn serve<F>(
    listener: TcpListener,
    handler: impl Fn(Request) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Reaction> + Send,
{
    let all = warp::method()
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
                let (status, body) = if request.body.len() > LARGEST {
                    (413, None)
                } else {
                    handler(request).await
                };
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
                let body = body.map(|b| b.to_string()).unwrap_or_default();
                warp::reply::with_status(body, status).into_response()
            }
        });
    let routes =
        all.recover(|_| async { Ok::<_, Infallible>(StatusCode::BAD_REQUEST.into_response()) });
    if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
        warp::serve(routes).incoming(listener).run().await;
    }
}
