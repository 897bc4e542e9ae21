//! jaspertiller, a cluster scheduler. README.md is the introduction; docs/design.md describes the design.
//!
//! - Scheduling decisions, without I/O: [`controller`], with the rules that the controller uses in [`admission`],
//!   [`cycle`], [`fleet`], [`jobs`], [`lease`], [`preempt`], [`queue`], [`quota`], [`workers`] and [`zones`].
//! - I/O: [`daemon`] owns the controller, and starts the actors for the [`store`], the cloud ([`fleet::client`]), the
//!   other controllers ([`peers`]), direct commands ([`workers::direct`]) and the [`http_server`].
//! - Between the HTTP server and the controller: [`requests`] and [`request_queue`]. [`sockets`] divides the open
//!   sockets among their uses.
//! - Startup: [`cli`], [`settings_loader`] and [`settings`].

pub mod admission;
pub mod cli;
pub mod clock;
pub mod controller;
pub mod cycle;
pub mod daemon;
pub mod fleet;
pub mod http_client;
pub mod http_server;
pub mod jobs;
pub mod lease;
pub mod peers;
pub mod preempt;
pub mod queue;
pub mod quota;
pub mod request_queue;
pub mod requests;
pub mod settings;
pub mod settings_loader;
pub mod sockets;
pub mod store;
pub mod task;
pub mod types;
pub mod workers;
pub mod zones;
