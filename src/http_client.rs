//! The HTTP client for the store, the cloud and workers: bounded bodies, and a failure that tells whether the request
//! may have been executed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Largest body of a response, in bytes: more than any of the services sends.
const MAX_BODY_BYTES: usize = 16 << 20;
/// A connection must be made within this time; less than any caller's limit, so that the failure is known to be
/// [`Failure::NotSent`].
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle connections are closed after this time.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// No connection was made, so nothing was executed.
    #[error("the request was not sent")]
    NotSent,
    /// The request may have been executed, or may be executed later.
    #[error("it is unknown whether the request was executed")]
    Unknown,
}

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Self {
        if error.is_connect() {
            Failure::NotSent
        } else {
            Failure::Unknown
        }
    }
}

/// Connections to one address, which clones share.
#[derive(Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    base: String,
}

impl HttpClient {
    /// A client that keeps connections for the next request.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_max_idle(address, usize::MAX)
    }

    /// A client that has no more connections than requests in flight.
    #[must_use]
    pub fn without_idle_connections(address: SocketAddr) -> Self {
        Self::with_max_idle(address, 0)
    }

    fn with_max_idle(address: SocketAddr, max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(false)
            .build(connector);
        let base = format!("http://{address}");
        Self { inner, base }
    }

    /// A client for another address that shares the connections and the settings of this one.
    #[must_use]
    pub fn with_address(&self, address: SocketAddr) -> Self {
        Self {
            inner: self.inner.clone(),
            base: format!("http://{address}"),
        }
    }

    /// Sends a JSON body, and returns the status and the body of the response.
    ///
    /// # Errors
    /// There is no complete response within `limit`.
    pub async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Failure::NotSent)?;
        let exchange = async {
            let response = self.inner.request(request).await?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
                .collect()
                .await
                .map_err(|_| Failure::Unknown)?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(limit, exchange)
            .await
            .unwrap_or(Err(Failure::Unknown))
    }
}
