//! The key-value store and the cloud behind HTTP.
//!
//! Each controller gets an address of its own for each of the two, so that one controller can be cut off
//! from them. The models are in the shared region.

mod cloud_api;
mod store_api;

use std::net::TcpListener;
use std::time::Duration;

use super::SharedRegion;
use super::http;

/// A request of a controller that is cut off is held this long: longer than controllers wait for an answer,
/// so that they time out, as they would without a network.
const UNANSWERED_DELAY: Duration = Duration::from_secs(15);

/// Serves one controller's addresses of the store and of the cloud, as long as the runtime lives.
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
