//! One HTTP exchange with the store: a call becomes a request, the status and the body become a response.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;

use super::wire::{
    GrantRequest, GrantResponse, ListResponse, RevisionResponse, WatchItem, WatchResponse,
    encode_transaction,
};
use super::{StoreCall, StoreResponse};
use crate::http_client::{Failure, HttpClient};

/// Prefix of all keys of a deployment.
const PREFIX: &str = "jt/";
/// A key that never exists: reading it returns the store's revision and no value.
const ABSENT_KEY: &str = "jt/nowhere";
/// Entries in a page of a list; bounds the size of a response.
const PAGE_ENTRIES: usize = 500;
/// A call without a response after this long has an unknown outcome. Shorter than the leases, so that a lost
/// renewal can be repeated in time.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Added to the time that a watch waits in the store, for the round trip.
const WATCH_MARGIN_MS: u64 = 3_000;

/// The outcome of an exchange.
pub(super) enum Outcome {
    /// The call was answered, or failed.
    Response(StoreResponse),
    /// The store rejected the call because its rate limit is exceeded; it was not executed.
    RateLimited,
}

/// The HTTP request of a call.
struct HttpRequest {
    method: Method,
    path: String,
    body: Vec<u8>,
    timeout: Duration,
}

impl HttpRequest {
    fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            body: Vec::new(),
            timeout: CALL_TIMEOUT,
        }
    }

    fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// Makes one call.
pub(super) async fn perform(client: &HttpClient, call: &StoreCall) -> Outcome {
    let request = match encode(call) {
        Ok(request) => request,
        Err(error) => {
            tracing::error!(%error, "transaction serialization failed");
            return Outcome::Response(StoreResponse::Refused);
        }
    };
    let HttpRequest {
        method,
        path,
        body,
        timeout,
    } = request;
    match client.call(method, &path, body, timeout).await {
        Ok((429, _)) => Outcome::RateLimited,
        Ok((status, body)) => Outcome::Response(decode(call, &path, status, &body)),
        Err(Failure::NotSent) => Outcome::Response(StoreResponse::Refused),
        Err(Failure::Unknown) => Outcome::Response(StoreResponse::Unknown),
    }
}

fn encode(call: &StoreCall) -> serde_json::Result<HttpRequest> {
    Ok(match call {
        StoreCall::Grant { ttl_ms: life_ms } => {
            let body = serde_json::to_vec(&GrantRequest { life_ms: *life_ms })?;
            HttpRequest::new(Method::POST, "/leases").body(body)
        }
        StoreCall::Renew(lease_id) => {
            let path = format!("/leases/{}/renew", lease_id.0);
            HttpRequest::new(Method::POST, path).body(b"{}".to_vec())
        }
        StoreCall::Revoke(lease_id) => {
            HttpRequest::new(Method::DELETE, format!("/leases/{}", lease_id.0))
        }
        StoreCall::Transaction(transaction) => {
            let body = encode_transaction(transaction)?;
            HttpRequest::new(Method::POST, "/txn").body(body)
        }
        StoreCall::ReadRevision => HttpRequest::new(Method::GET, format!("/store/{ABSENT_KEY}")),
        StoreCall::List { after } => {
            let from = after
                .as_ref()
                .map(|after| format!("&from={after}"))
                .unwrap_or_default();
            let path = format!("/store?starts={PREFIX}{from}&most={PAGE_ENTRIES}");
            HttpRequest::new(Method::GET, path)
        }
        StoreCall::Watch { from, wait_ms } => {
            let path = format!("/follow?starts={PREFIX}&from={}&waitMs={wait_ms}", from.0);
            let timeout = Duration::from_millis(wait_ms + WATCH_MARGIN_MS);
            HttpRequest::new(Method::GET, path).timeout(timeout)
        }
    })
}

fn decode(call: &StoreCall, path: &str, status: u16, body: &Bytes) -> StoreResponse {
    match (call, status) {
        (_, 503) => StoreResponse::Refused,
        (StoreCall::Grant { .. }, 200) => parse(body, |granted: GrantResponse| {
            StoreResponse::Granted(granted.lease_id)
        }),
        (StoreCall::Renew(_), 200) => StoreResponse::Renewed,
        (StoreCall::Renew(_), 404) => StoreResponse::LeaseExpired,
        (StoreCall::Revoke(_), 200 | 204 | 404) => StoreResponse::Revoked,
        (StoreCall::Transaction(_), 200) => parse(body, |at: RevisionResponse| {
            StoreResponse::Committed(at.revision)
        }),
        (StoreCall::Transaction(_), 409) => parse(body, |at: RevisionResponse| {
            StoreResponse::Conflict(at.revision)
        }),
        // What is well-formed is rejected with this status if a lease in it has expired.
        (StoreCall::Transaction(_), 400) => {
            tracing::info!(body = %String::from_utf8_lossy(body), "transaction refused");
            StoreResponse::LeaseExpired
        }
        (StoreCall::ReadRevision, 404) => parse(body, |at: RevisionResponse| {
            StoreResponse::Revision(at.revision)
        }),
        (StoreCall::List { .. }, 200) => parse(body, |list: ListResponse| StoreResponse::Page {
            entries: list.entries.into_iter().map(Into::into).collect(),
            more: list.truncated,
            revision: list.revision,
        }),
        (StoreCall::Watch { .. }, 200) => {
            parse(body, |watch: WatchResponse| StoreResponse::Updates {
                updates: watch
                    .items
                    .into_iter()
                    .filter_map(WatchItem::into_update)
                    .collect(),
                revision: watch.revision,
            })
        }
        (StoreCall::Watch { .. }, 410) => StoreResponse::Compacted,
        (_, status) => {
            tracing::error!(status, path, "unexpected store response status");
            StoreResponse::Unknown
        }
    }
}

/// A body that can't be read leaves the call's outcome unknown: it may have been executed.
fn parse<T: DeserializeOwned>(
    body: &[u8],
    convert: impl FnOnce(T) -> StoreResponse,
) -> StoreResponse {
    match serde_json::from_slice(body) {
        Ok(value) => convert(value),
        Err(error) => {
            tracing::error!(%error, "store response is invalid");
            StoreResponse::Unknown
        }
    }
}
