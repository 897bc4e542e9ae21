//! The HTTP client for the store, the cloud and workers. It bounds response bodies and request times, and its errors
//! tell whether a failed request may have been executed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Largest response body that is accepted, in bytes; larger than any response of the services.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Timeout for establishing a connection. Shorter than the timeout of any caller, so that a connection that can't be
/// established is reported as [`Failure::NotSent`].
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which an idle connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// No connection was established, so the request was not executed.
    #[error("the request was not sent")]
    NotSent,
    /// The outcome is unknown: the request may have been executed, or may still be executed later.
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

/// An HTTP client for one address. Clones share its connections.
#[derive(Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    base_url: String,
}

impl HttpClient {
    /// Creates a client that keeps idle connections open for later requests.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_max_idle(address, usize::MAX)
    }

    /// Creates a client that keeps no idle connections, so that it has no more connections than requests in flight.
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
        let base_url = format!("http://{address}");
        Self { inner, base_url }
    }

    /// Returns a client for another address that shares the connection pool and its settings with this client.
    #[must_use]
    pub fn with_address(&self, address: SocketAddr) -> Self {
        Self {
            inner: self.inner.clone(),
            base_url: format!("http://{address}"),
        }
    }

    /// Sends a request with a JSON body, and returns the status and the body of the response. A status that reports
    /// an error is a response, too.
    ///
    /// # Errors
    /// The connection failed, the response body is too large, or there is no complete response within `timeout`.
    pub async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url))
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
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(Failure::Unknown))
    }
}
