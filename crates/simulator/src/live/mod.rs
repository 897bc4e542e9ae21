//! The region on loopback, in real time: the models of this package behind HTTP, round real controller
//! processes.
//!
//! [`SharedRegion`] owns the models. Controllers reach them through `services`, `workers` and `control`,
//! [`users::User`] plays the users, and [`faults`] changes what works.

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

/// Time between two steps of the models: short against every timeout of the daemon.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// A delay of the store's answers, until a time.
#[derive(Default)]
pub struct Slowdown {
    /// The delay ends.
    pub until: Millis,
    /// How long each answer is held back.
    pub delay: Duration,
}

/// The faults that are active, each with the time at which it ends.
#[derive(Default)]
pub struct ActiveFaults {
    /// The store answers 503.
    pub store_down_until: Millis,
    /// The cloud answers 503.
    pub cloud_down_until: Millis,
    /// The store answers late.
    pub store_slow: Slowdown,
    /// By controller: it reaches neither store nor cloud, and gets no heartbeats of workers.
    pub cut_off_until: Vec<Millis>,
}

impl ActiveFaults {
    /// Whether a controller is cut off from store, cloud and workers' heartbeats.
    #[must_use]
    pub fn is_cut_off(&self, controller: usize, now: Millis) -> bool {
        now < self.cut_off_until[controller]
    }
}

/// All models of the region, and what was counted on them.
pub struct Region {
    /// What the region is made of.
    pub config: Config,
    /// Real time since the region began.
    pub clock: Clock,
    /// The key-value store.
    pub store: StateService,
    /// The cloud that machines are rented from.
    pub cloud: Cloud,
    /// The machines with their workers.
    pub machines: Machines,
    /// The protocol's rules, checked on all that happens.
    pub rules: Rules,
    /// The faults that are active.
    pub faults: ActiveFaults,
    /// Requests that the store received.
    pub requests: u64,
    /// Bytes of bodies between workers and controllers, in both directions.
    pub worker_bytes: u64,
    /// Milliseconds of the longest step since the field was last reset.
    pub longest_step_ms: u64,
    /// Interval at which rules are checked on the tasks that started since and are still on their machine.
    /// Zero: in each step, on all tasks that started.
    pub check_interval: Duration,
    last_check: Millis,
    unchecked_starts: Vec<(MachineId, TaskId)>,
    rng: SmallRng,
    /// Watches of the store that wait for a change, by the store's id.
    watches: HashMap<u64, oneshot::Sender<StoreResponse>>,
    /// The server of each machine that is up.
    listeners: HashMap<MachineId, JoinHandle<()>>,
    /// Where each controller answers users and workers.
    controllers: Vec<SocketAddr>,
}

impl Region {
    /// The region's time.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Stops every machine of a zone, and returns how many there were.
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

    /// Advances the store and the machines to the present. Returns the heartbeats that are to be delivered.
    fn step(&mut self) -> Vec<OutgoingHeartbeat> {
        let now = self.now();
        self.store.pass(now, now < self.faults.store_down_until);
        let (started, heartbeats) = self.machines.step(now);
        self.unchecked_starts.extend(started);
        self.check_rules(now);
        for (id, response) in self.store.woken() {
            if let Some(watcher) = self.watches.remove(&id) {
                // A watcher that hung up needs no answer.
                let _ = watcher.send(response);
            }
        }
        self.longest_step_ms = self.longest_step_ms.max(self.now().since(now).0);
        heartbeats
    }

    /// Checks the rules on the tasks that started, if the interval is over.
    fn check_rules(&mut self, now: Millis) {
        if now.since(self.last_check).0 < self.check_interval.as_millis() as u64 {
            return;
        }
        self.last_check = now;
        let mut started = std::mem::take(&mut self.unchecked_starts);
        if !self.check_interval.is_zero() {
            // A task that left its machine since may run elsewhere by now without breaking a rule.
            started.retain(|(machine_id, task)| self.machines.is_on(machine_id, task));
        }
        self.rules.check(&started, &self.machines, now);
    }
}

/// A handle on the region for its servers, users and faults.
#[derive(Clone)]
pub struct SharedRegion(Arc<Mutex<Region>>);

impl SharedRegion {
    /// Makes a region whose controllers answer at `controllers`.
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

    /// Exclusive access to the region. A holder that panicked does not keep the others out: the models
    /// stay usable for the report.
    pub fn lock(&self) -> MutexGuard<'_, Region> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves one controller's addresses of the store and of the cloud.
    pub fn serve_services(&self, controller: usize, store: TcpListener, cloud: TcpListener) {
        services::serve(self, controller, store, cloud);
    }

    /// Advances the models and delivers heartbeats until the returned future is dropped.
    pub async fn run(self) {
        // Only a template: each call names its controller's address.
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
