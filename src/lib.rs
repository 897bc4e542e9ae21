//! jaspertiller, a cluster scheduler: see README.md, and docs/design.md for how it works.

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
pub mod settings;
pub mod sockets;
pub mod store;
pub mod task;
pub mod types;
pub mod workers;
pub mod zones;
