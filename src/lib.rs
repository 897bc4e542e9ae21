//! jaspertiller, a cluster scheduler: see README.md, and docs/design.md for how it works.
//!
//! - Decisions, free of I/O: [`controller`], with the rules that it uses in [`admission`], [`cycle`], [`fleet`],
//!   [`jobs`], [`lease`], [`preempt`], [`queue`], [`quota`], [`workers`] and [`zones`].
//! - I/O: [`daemon`] owns the controller and starts the actors for the [`store`], the cloud ([`fleet::client`]), the
//!   other controllers ([`peers`]), direct commands ([`workers::direct`]) and the [`http_server`].
//! - Between the two: [`requests`] and [`request_queue`]; [`sockets`] divides the connections.
//! - Start: [`cli`], [`settings_loader`] and [`settings`].

/// Orders writes and submissions when write capacity is scarce.
pub mod admission;
/// The command line.
pub mod cli;
/// The monotonic clock of the process.
pub mod clock;
/// The controller: a state machine that takes events and yields effects.
pub mod controller;
/// One scheduling cycle: filters and scores machines for a task.
pub mod cycle;
/// Runs the controller, and the actors that do its I/O.
pub mod daemon;
/// The fleet of rented machines, and the interface to the cloud.
pub mod fleet;
/// The HTTP client for the store, the cloud and workers.
pub mod http_client;
/// The HTTP server for users, workers and health checks.
pub mod http_server;
/// Jobs, their records, and the cache of all records.
pub mod jobs;
/// Leases of controllers, leadership and ownership of shards.
pub mod lease;
/// Messages between controllers.
pub mod peers;
/// Chooses the tasks to preempt for a task that fits on no machine.
pub mod preempt;
/// The queue of jobs that have tasks to place.
pub mod queue;
/// Guarantees and limits of teams.
pub mod quota;
/// Queues requests to the controller by kind and age.
pub mod request_queue;
/// Messages from the HTTP server to the daemon.
pub mod requests;
/// Parses the settings files into checked types.
pub mod settings;
/// Loads all settings files, and checks them against each other.
pub mod settings_loader;
/// Divides the open sockets among their uses.
pub mod sockets;
/// The client of the key-value store.
pub mod store;
/// Ownership of background tasks.
pub mod task;
/// Identifiers, versions, times and resources that all modules share.
pub mod types;
/// Workers as a controller sees them, and the commands to them.
pub mod workers;
/// Decisions about zones that are cut off.
pub mod zones;
