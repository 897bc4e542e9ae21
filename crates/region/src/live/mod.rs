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
use jaspertiller::store::Answer;
use jaspertiller::types::{HostId, Millis};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::cloud::Cloud;
use crate::config::Config;
use crate::machines::Machines;
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
    /// By controller: cut from the state service and the cloud, and from the workers' reports.
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
    rng: SmallRng,
    watches: HashMap<u64, oneshot::Sender<Answer>>,
    listeners: HashMap<HostId, JoinHandle<()>>,
    /// Where each controller answers users and workers.
    controllers: Vec<SocketAddr>,
}

impl Region {
    pub fn now(&self) -> Millis {
        self.clock.now()
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
            let reports = {
                let region = &mut *self.lock();
                let now = region.now();
                region.store.pass(now, now < region.trouble.state);
                let (started, reports) = region.machines.step(now);
                region.rules.check(&started, &region.machines, now);
                for (id, answer) in region.store.woken() {
                    if let Some(waiting) = region.watches.remove(&id) {
                        let _ = waiting.send(answer);
                    }
                }
                reports
            };
            workers::keep_listeners(&self);
            for out in reports {
                tokio::spawn(workers::report(self.clone(), client.clone(), out));
            }
        }
    }
}
