//! HTTP servers of the simulated key-value store and cloud.
//!
//! Each controller has its own address for each of the two services, so that a single controller can be cut off
//! from them. The models are in the shared region.

mod cloud_api;
mod store_api;

use std::net::TcpListener;
use std::time::Duration;

use super::SharedRegion;
use super::http;

/// Time for which a request is held that must go unanswered: longer than the request timeout of controllers, so
/// that they time out as they would without a network.
const UNANSWERED_DELAY: Duration = Duration::from_secs(15);

/// Serves one controller's addresses of the store and the cloud until the runtime shuts down.
pub(super) fn serve(
    shared: &SharedRegion,
    controller: usize,
    store: TcpListener,
    cloud: TcpListener,
) {
    let region = shared.clone();
    tokio::spawn(http::serve(store, move |request| {
        store_api::handle(region.clone(), controller, request)
    }));
    let region = shared.clone();
    tokio::spawn(http::serve(cloud, move |request| {
        cloud_api::handle(region.clone(), controller, request)
    }));
}
