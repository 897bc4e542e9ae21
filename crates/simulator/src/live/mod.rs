//! The live region: serves the models of this package to real controller processes over HTTP on loopback, in real
//! time.
//!
//! [`SharedRegion`] owns the models. `services` and `workers` are their interfaces for controllers, `control` is
//! the one for faults and uploads, [`users::User`] simulates users, and [`faults`] injects faults.

pub mod control;
pub mod controllers;
pub mod faults;
mod http;
mod services;
pub mod users;
pub mod workers;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jaspertiller::clock::Clock;
use jaspertiller::http_client::HttpClient;
use jaspertiller::store::StoreResponse;
use jaspertiller::types::{MachineId, Millis, TaskId, Zone};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::cloud::Cloud;
use crate::config::Config;
use crate::machines::{Machines, OutgoingHeartbeat};
use crate::rules::Rules;
use crate::state::StateService;

/// Time between two simulation steps: short compared with every timeout of the daemon.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// A temporary delay of the store's responses.
#[derive(Default)]
pub struct Slowdown {
    /// End of the delay, in the region's time.
    pub until: Millis,
    /// Delay of each response.
    pub delay: Duration,
}

/// The end times of faults, in the region's time. A fault whose time has passed is not active.
#[derive(Default)]
pub struct ActiveFaults {
    /// Until then the store responds with 503, and holds watches.
    pub store_down_until: Millis,
    /// Until then the cloud responds with 503.
    pub cloud_down_until: Millis,
    /// The delay of the store's responses.
    pub store_slow: Slowdown,
    /// By controller index: until then it reaches neither store nor cloud, and receives no heartbeats.
    pub cut_off_until: Vec<Millis>,
}

impl ActiveFaults {
    /// Whether a controller is cut off from store, cloud and workers' heartbeats.
    ///
    /// # Panics
    /// The region has no controller with this index.
    #[must_use]
    pub fn is_cut_off(&self, controller: usize, now: Millis) -> bool {
        now < self.cut_off_until[controller]
    }
}

/// All models of the region, and counters of their use.
pub struct Region {
    /// The configuration from which the region was created.
    pub config: Config,
    /// Real time since the region was created.
    pub clock: Clock,
    /// The key-value store.
    pub store: StateService,
    /// The cloud that machines are rented from.
    pub cloud: Cloud,
    /// The machines and their workers.
    pub machines: Machines,
    /// The protocol's invariants, which are checked while the region runs.
    pub rules: Rules,
    /// Faults that were injected and when they end.
    pub faults: ActiveFaults,
    /// Number of requests that the store received.
    pub requests: u64,
    /// Bytes of message bodies between workers and controllers: heartbeats, their responses, and requests to
    /// workers.
    pub worker_bytes: u64,
    /// Milliseconds of the longest simulation step since this field was last reset.
    pub longest_step_ms: u64,
    /// Interval of the rule checks, which then cover the tasks that started since the previous check and are
    /// still on their machine. If zero, every step checks all tasks that started.
    pub check_interval: Duration,
    last_check: Millis,
    unchecked_starts: Vec<(MachineId, TaskId)>,
    rng: SmallRng,
    /// Watches that wait for a change, by the ID that the store assigned.
    watches: HashMap<u64, oneshot::Sender<StoreResponse>>,
    /// The server task of each machine that is up.
    listeners: HashMap<MachineId, JoinHandle<()>>,
    /// The address at which each controller serves users and workers.
    controllers: Vec<SocketAddr>,
}

impl Region {
    /// Time since the region was created; never zero, because zero means "never" in many places.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Stops all machines of a zone that are up, and returns their number.
    pub fn lose_zone(&mut self, zone: &Zone) -> usize {
        let now = self.now();
        let machines = self.machines.by_id.iter();
        let in_zone =
            machines.filter(|(_, machine)| machine.zone == *zone && machine.stopped_at.is_none());
        let in_zone: Vec<MachineId> = in_zone.map(|(machine_id, _)| machine_id.clone()).collect();
        for machine_id in &in_zone {
            self.machines.kill(machine_id, now);
        }
        in_zone.len()
    }

    /// Advances the store and the machines to the current time. Returns the heartbeats to deliver.
    fn step(&mut self) -> Vec<OutgoingHeartbeat> {
        let now = self.now();
        self.store.pass(now, now < self.faults.store_down_until);
        let (started, heartbeats) = self.machines.step(now);
        self.unchecked_starts.extend(started);
        self.check_rules(now);
        for (id, response) in self.store.woken() {
            if let Some(watcher) = self.watches.remove(&id) {
                // Sending fails only if the watch's request was dropped, so there is nobody to notify.
                let _ = watcher.send(response);
            }
        }
        self.longest_step_ms = self.longest_step_ms.max(self.now().since(now).0);
        heartbeats
    }

    /// Checks the rules on the tasks that started, if the check interval has elapsed.
    fn check_rules(&mut self, now: Millis) {
        if now.since(self.last_check).0 < self.check_interval.as_millis() as u64 {
            return;
        }
        self.last_check = now;
        let mut started = std::mem::take(&mut self.unchecked_starts);
        if !self.check_interval.is_zero() {
            // A task that has left its machine since its start may already run elsewhere without violating a rule.
            started.retain(|(machine_id, task)| self.machines.is_on(machine_id, task));
        }
        self.rules.check(&started, &self.machines, now);
    }
}

/// A shared handle to the region for its servers, users and fault injection.
#[derive(Clone)]
pub struct SharedRegion(Arc<Mutex<Region>>);

impl SharedRegion {
    /// Creates a region whose controllers serve users and workers at the addresses `controllers`.
    #[must_use]
    pub fn new(config: Config, seed: u64, controllers: Vec<SocketAddr>) -> Self {
        let faults = ActiveFaults {
            cut_off_until: vec![Millis(0); config.controllers],
            ..ActiveFaults::default()
        };
        Self(Arc::new(Mutex::new(Region {
            clock: Clock::start(),
            store: StateService::new(config.state),
            cloud: Cloud::new(&config),
            machines: Machines::new(&config, seed),
            rules: Rules::new(&config),
            faults,
            requests: 0,
            worker_bytes: 0,
            longest_step_ms: 0,
            check_interval: Duration::ZERO,
            last_check: Millis(0),
            unchecked_starts: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            watches: HashMap::new(),
            listeners: HashMap::new(),
            controllers,
            config,
        })))
    }

    /// Locks the region. The lock stays usable after a panic of a holder, because the report still needs the
    /// models.
    pub fn lock(&self) -> MutexGuard<'_, Region> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves one controller's addresses of the store and the cloud until the runtime shuts down.
    pub fn serve_services(&self, controller: usize, store: TcpListener, cloud: TcpListener) {
        services::serve(self, controller, store, cloud);
    }

    /// Advances the models and delivers heartbeats until the returned future is dropped.
    pub async fn run(self) {
        // The address is a placeholder: each heartbeat replaces it with that of its controller.
        let client = HttpClient::new(SocketAddr::from(([127, 0, 0, 1], 0)));
        let mut steps = tokio::time::interval(STEP_INTERVAL);
        loop {
            steps.tick().await;
            let heartbeats = self.lock().step();
            workers::update_listeners(&self);
            for outgoing in heartbeats {
                tokio::spawn(workers::deliver(self.clone(), client.clone(), outgoing));
            }
        }
    }
}
