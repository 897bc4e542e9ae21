//! One HTTP client for the state service and the cloud: bounded bodies, and a failure that tells
//! whether the request can have been executed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// No answer of the services we call is larger than this.
const LARGEST_BODY: usize = 16 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made, so nothing was executed.
    NotSent,
    /// The request may have been executed, or may be executed later.
    Unknown,
}

#[derive(Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    base: String,
}

impl HttpClient {
    /// Keeps connections for the next request.
    pub fn new(address: SocketAddr) -> Self {
        Self::keeping(address, usize::MAX)
    }

    /// Has no more connections than requests under way.
    pub fn without_idle(address: SocketAddr) -> Self {
        Self::keeping(address, 0)
    }

    fn keeping(address: SocketAddr, idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(1_500)));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(idle)
            .retry_canceled_requests(false)
            .build(connector);
        let base = format!("http://{address}");
        Self { inner, base }
    }

    /// The same client, for another address.
    pub fn at(&self, address: SocketAddr) -> Self {
        Self {
            inner: self.inner.clone(),
            base: format!("http://{address}"),
        }
    }

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
            let response = self.inner.request(request).await.map_err(|error| {
                if error.is_connect() {
                    Failure::NotSent
                } else {
                    Failure::Unknown
                }
            })?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), LARGEST_BODY)
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
