//! One HTTP exchange with the store: encodes a call as a request, and decodes the status and the body of the response.

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
const KEY_PREFIX: &str = "jt/";
/// A key that never exists: reading it returns the store's revision and no value.
const ABSENT_KEY: &str = "jt/nowhere";
/// Maximum number of entries in a page of a list, which bounds the size of a response.
const LIST_PAGE_SIZE: usize = 500;
/// Time without a response after which the outcome of a call is unknown. Shorter than the leases, so that a lost
/// renewal can be repeated in time.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Added to the time that the store holds a watch open, to allow for the round trip.
const WATCH_TIMEOUT_MARGIN_MS: u64 = 3_000;

/// The outcome of an exchange.
pub(super) enum Outcome {
    /// The call was answered, or failed.
    Response(StoreResponse),
    /// The store rejected the call because its rate limit is exceeded; it was not executed.
    RateLimited,
}

/// The HTTP request that a call is encoded as.
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

/// Makes one call. Errors are part of the outcome.
pub(super) async fn perform(client: &HttpClient, call: &StoreCall) -> Outcome {
    let request = match encode(call) {
        Ok(request) => request,
        Err(error) => {
            tracing::error!(%error, "store call not sent: encoding failed");
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
        StoreCall::Grant { ttl_ms } => {
            let body = serde_json::to_vec(&GrantRequest { ttl_ms: *ttl_ms })?;
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
            let path = format!("/store?starts={KEY_PREFIX}{from}&most={LIST_PAGE_SIZE}");
            HttpRequest::new(Method::GET, path)
        }
        StoreCall::Watch { from, wait_ms } => {
            let path = format!(
                "/follow?starts={KEY_PREFIX}&from={}&waitMs={wait_ms}",
                from.0
            );
            let timeout = Duration::from_millis(wait_ms + WATCH_TIMEOUT_MARGIN_MS);
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
        (StoreCall::Transaction(_), 200) => parse(body, |response: RevisionResponse| {
            StoreResponse::Committed(response.revision)
        }),
        (StoreCall::Transaction(_), 409) => parse(body, |response: RevisionResponse| {
            StoreResponse::Conflict(response.revision)
        }),
        // The store rejects a well-formed transaction with this status if a lease in it has expired.
        (StoreCall::Transaction(_), 400) => {
            tracing::info!(
                body = %String::from_utf8_lossy(body),
                "store rejected a transaction, taken as an expired lease"
            );
            StoreResponse::LeaseExpired
        }
        (StoreCall::ReadRevision, 404) => parse(body, |response: RevisionResponse| {
            StoreResponse::Revision(response.revision)
        }),
        (StoreCall::List { .. }, 200) => parse(body, |list: ListResponse| StoreResponse::Page {
            entries: list.entries.into_iter().map(Into::into).collect(),
            more: list.truncated,
            revision: list.revision,
        }),
        (StoreCall::Watch { .. }, 200) => {
            parse(body, |watch: WatchResponse| StoreResponse::Updates {
                updates: watch
                    .changes
                    .into_iter()
                    .filter_map(WatchItem::into_update)
                    .collect(),
                revision: watch.revision,
            })
        }
        (StoreCall::Watch { .. }, 410) => StoreResponse::Compacted,
        (_, status) => {
            tracing::error!(
                status,
                path,
                "unexpected status in store response, outcome of the call unknown"
            );
            StoreResponse::Unknown
        }
    }
}

/// Decodes a body. An invalid body leaves the outcome of the call unknown, since the call may have been executed.
fn parse<T: DeserializeOwned>(
    body: &[u8],
    convert: impl FnOnce(T) -> StoreResponse,
) -> StoreResponse {
    match serde_json::from_slice(body) {
        Ok(value) => convert(value),
        Err(error) => {
            tracing::error!(%error, "invalid body in store response, outcome of the call unknown");
            StoreResponse::Unknown
        }
    }
}
