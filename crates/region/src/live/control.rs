//! Where faults are asked for.

use std::net::SocketAddr;

use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use warp::http::Method;

use super::faults::Fault;
use super::http::{self, Request};

pub type Asked = (Fault, oneshot::Sender<Result<(), String>>);

/// Serves `POST /faults` on an address of its own.
pub fn serve() -> std::io::Result<(SocketAddr, mpsc::UnboundedReceiver<Asked>)> {
    let listener = http::listen()?;
    let address = listener.local_addr()?;
    let (inbox, asked) = mpsc::unbounded_channel::<Asked>();
    tokio::spawn(http::serve(listener, move |request: Request| {
        let inbox = inbox.clone();
        async move {
            let error = |status, why: String| (status, Some(json!({"error": why})));
            if (&request.method, request.path.as_str()) != (&Method::POST, "/faults") {
                return error(404, "POST /faults is all there is".into());
            }
            let fault = match serde_json::from_slice::<Fault>(&request.body) {
                Ok(fault) => fault,
                Err(why) => return error(400, why.to_string()),
            };
            let (reply, outcome) = oneshot::channel();
            let _ = inbox.send((fault, reply));
            match outcome.await {
                Ok(Ok(())) => (200, Some(json!({}))),
                Ok(Err(why)) => error(422, why),
                Err(_) => error(503, "the region is ending".into()),
            }
        }
    }));
    Ok((address, asked))
}
