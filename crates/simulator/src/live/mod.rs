//! The region on loopback, in real time: the same models behind HTTP, and real controllers.

pub mod control;
pub mod controllers;
pub mod faults;
mod http;
mod services;
pub mod users;
pub mod workers;

use std::collections::HashMap;
use std::net::SocketAddr;
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

const STEP: Duration = Duration::from_millis(20);

/// What is away at present, and until when.
#[derive(Default)]
pub struct Trouble {
    pub state: Millis,
    pub cloud: Millis,
    /// The state service answers this late until then.
    pub slow: (Millis, Duration),
    /// By controller: cut from the state service and the cloud, and from the workers' heartbeats.
    pub cut: Vec<Millis>,
}

pub struct Region {
    pub config: Config,
    pub clock: Clock,
    pub store: StateService,
    pub cloud: Cloud,
    pub machines: Machines,
    pub rules: Rules,
    pub trouble: Trouble,
    /// Requests that the state service was asked.
    pub requests: u64,
    /// Bodies between workers and controllers, in both directions.
    pub worker_bytes: u64,
    /// The longest step since somebody asked.
    pub longest_step_ms: u64,
    /// Rules are checked this often on what has started since and is still there; zero: in each step, on all
    /// that has started.
    pub check_every: Duration,
    checked: Millis,
    unchecked: Vec<(MachineId, TaskId)>,
    rng: SmallRng,
    watches: HashMap<u64, oneshot::Sender<StoreResponse>>,
    listeners: HashMap<MachineId, JoinHandle<()>>,
    /// Where each controller answers users and workers.
    controllers: Vec<SocketAddr>,
}

impl Region {
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Every machine of a zone stops; how many there were.
    pub fn lose_zone(&mut self, zone: &Zone) -> usize {
        let now = self.now();
        let machine_ids = self.machines.by_id.iter();
        let inside = machine_ids.filter(|(_, m)| m.zone == *zone && m.stopped_at.is_none());
        let inside: Vec<MachineId> = inside.map(|(machine_id, _)| machine_id.clone()).collect();
        for machine_id in &inside {
            self.machines.kill(machine_id, now);
        }
        inside.len()
    }

    /// Lets time pass for the state service and the machines; the heartbeats to be carried.
    fn step(&mut self) -> Vec<OutgoingHeartbeat> {
        let now = self.now();
        self.store.pass(now, now < self.trouble.state);
        let (started, heartbeats) = self.machines.step(now);
        self.unchecked.extend(started);
        if now.since(self.checked).0 >= self.check_every.as_millis() as u64 {
            self.checked = now;
            let mut started = std::mem::take(&mut self.unchecked);
            if !self.check_every.is_zero() {
                // What has left its machine since may be elsewhere by now without breaking a rule.
                started.retain(|(machine_id, task)| self.machines.is_on(machine_id, task));
            }
            self.rules.check(&started, &self.machines, now);
        }
        for (id, answer) in self.store.woken() {
            if let Some(waiting) = self.watches.remove(&id) {
                let _ = waiting.send(answer);
            }
        }
        self.longest_step_ms = self.longest_step_ms.max(self.now().since(now).0);
        heartbeats
    }
}

#[derive(Clone)]
pub struct Shared(Arc<Mutex<Region>>);

impl Shared {
    pub fn new(config: Config, seed: u64, controllers: Vec<SocketAddr>) -> Self {
        let cut = vec![Millis(0); config.controllers];
        let trouble = Trouble {
            cut,
            ..Trouble::default()
        };
        Self(Arc::new(Mutex::new(Region {
            clock: Clock::start(),
            store: StateService::new(config.state),
            cloud: Cloud::new(&config),
            machines: Machines::new(&config, seed),
            rules: Rules::new(&config),
            trouble,
            requests: 0,
            worker_bytes: 0,
            longest_step_ms: 0,
            check_every: Duration::ZERO,
            checked: Millis(0),
            unchecked: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            watches: HashMap::new(),
            listeners: HashMap::new(),
            controllers,
            config,
        })))
    }

    pub fn lock(&self) -> MutexGuard<'_, Region> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves one controller's way to the state service and to the cloud.
    pub fn serve_services(
        &self,
        controller: usize,
        state: std::net::TcpListener,
        cloud: std::net::TcpListener,
    ) -> anyhow::Result<()> {
        services::serve(self, controller, state, cloud)
    }

    /// Lets time pass for as long as the program runs.
    pub async fn run(self) {
        let client = HttpClient::new(SocketAddr::from(([127, 0, 0, 1], 0)));
        let mut steps = tokio::time::interval(STEP);
        loop {
            steps.tick().await;
            let heartbeats = self.lock().step();
            workers::keep_listeners(&self);
            for out in heartbeats {
                tokio::spawn(workers::heartbeat(self.clone(), client.clone(), out));
            }
        }
    }
}
