//! Orders sent to workers directly.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::Serialize;

use super::wire::{Order, Report};
use crate::controller::DirectAnswer;
use crate::http_client::HttpClient;
use crate::types::{Baton, Session};

const LIMIT: Duration = Duration::from_secs(3);

#[derive(Serialize)]
struct Body<'a> {
    baton: Baton,
    shift: Session,
    orders: &'a [Order],
}

/// Sends commands; `None` if it stays open whether they were, or will be, executed.
pub async fn send(
    client: HttpClient,
    address: SocketAddr,
    baton: Baton,
    session: Session,
    orders: Vec<Order>,
) -> Option<DirectAnswer> {
    let body = Body {
        baton,
        shift: session,
        orders: &orders,
    };
    let body = serde_json::to_vec(&body).ok()?;
    let (status, body) = client
        .at(address)
        .call(Method::POST, "/do", body, LIMIT)
        .await
        .ok()?;
    // 409 and 400 mean that nothing was executed; they settle the matter just the same.
    matches!(status, 200 | 400 | 409).then(|| DirectAnswer {
        report: serde_json::from_slice::<Report>(&body).ok(),
    })
}

/// Whether a worker answers.
pub async fn inspect(client: HttpClient, address: SocketAddr) -> bool {
    let asked = client
        .at(address)
        .call(Method::GET, "/inspect", Vec::new(), LIMIT)
        .await;
    asked.is_ok_and(|(status, _)| status == 200)
}
