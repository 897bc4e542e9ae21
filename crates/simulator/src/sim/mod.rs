//! Whole controllers in a simulated cluster: virtual time, seeded randomness and injected faults.
//!
//! `World` owns the controllers, the models of the store, the cloud and the machines, and the queue of scheduled
//! messages. Messages with equal times are delivered in the order in which they were scheduled, so that a run
//! repeats exactly.

mod command_copies;
mod delivery;
mod effects;
mod faults;
mod message;
mod metering;
mod process_faults;
mod queries;
mod store_calls;
mod users;
mod workers;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use jaspertiller::controller::{Controller, Event};
use jaspertiller::settings::Settings;
use jaspertiller::store::StoreCall;
use jaspertiller::store::lanes::Lanes;
use jaspertiller::types::{JobId, ReplyId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::cloud::Cloud;
use crate::config::Config;
use crate::machines::Machines;
use crate::meter::Meter;
use crate::rules::Rules;
use crate::state::StateService;

pub use command_copies::ExecutedCommands;
pub use faults::{
    CommandCopies, Cut, FaultCounts, HeartbeatCopies, NetworkFaults, RandomDelay, Refusal,
    SlowStore, StoreFaults, ZoneCut,
};
pub use users::{JobPlan, job};

use message::{PendingReply, ProcessId, ScheduledMessage};
use store_calls::{OpenWatch, store_lanes};

/// A simulated cluster.
pub struct World {
    /// Configuration that the cluster was built from.
    pub config: Config,
    /// Virtual time in milliseconds.
    pub now: u64,
    /// Source of every random draw, except for those of the machines.
    pub rng: SmallRng,
    /// Time in milliseconds and identity of each scheduled message, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled messages by identity.
    messages: HashMap<u64, ScheduledMessage>,
    /// Identity assigned last, to a message or to a pending reply.
    last_id: u64,
    /// Controllers by index; `None` while a controller is not running.
    pub controllers: Vec<Option<Controller>>,
    /// How many times each controller has been started.
    epochs: Vec<u64>,
    /// Store calls that wait for each controller's budget.
    store_lanes: Vec<Lanes<(u64, StoreCall)>>,
    /// When each controller's budget is checked next, in milliseconds.
    next_budget_check: Vec<u64>,
    /// When each controller was last stopped, in milliseconds.
    stopped_at: Vec<u64>,
    /// Settings that each controller gets at its next start.
    pub settings: Vec<Arc<Settings>>,
    pending_replies: HashMap<ReplyId, PendingReply>,
    /// The store.
    pub store: StateService,
    /// Open watches by the identity that the store gave them.
    watches: HashMap<u64, OpenWatch>,
    /// Injected faults of the network and the cloud.
    pub network: NetworkFaults,
    /// Injected faults of the store.
    pub store_faults: StoreFaults,
    /// How often injected faults took effect.
    pub fault_counts: FaultCounts,
    /// Direct commands that were carried out and answered lately, while their duplication is injected.
    recent_commands: VecDeque<ExecutedCommands>,
    /// All direct commands that were carried out and answered, if they are recorded.
    pub executed_commands: Option<Vec<ExecutedCommands>>,
    /// Share of jobs whose user cancels, polls and resubmits as the last task completes, from 0 to 1.
    pub completion_race_share: f64,
    /// Jobs whose tasks have all completed.
    completed_jobs: HashSet<JobId>,
    /// The worker machines.
    pub machines: Machines,
    /// The cloud that machines are rented from.
    pub cloud: Cloud,
    /// Jobs of the users, in the order of `submit`.
    pub jobs: Vec<JobPlan>,
    /// The protocol's invariants, checked on every event.
    pub rules: Rules,
    /// Counts the messages and events of each controller, if set.
    pub meter: Option<Meter>,
}

/// Settings of each controller, with addresses that nothing listens on.
fn controller_settings(config: &Config) -> Vec<Arc<Settings>> {
    let address = |host: usize, port| SocketAddr::from(([10, 0, 0, host as u8], port));
    let addresses: Vec<_> = (0..config.controllers)
        .map(|controller| (address(controller, 1), address(controller, 2)))
        .collect();
    let settings = (0..config.controllers).map(|controller| {
        let text = config.settings(controller, &addresses, address(100, 1), address(101, 1));
        let settings = Settings::parse("region", &text.to_string());
        // The simulator generated the text, so an error here is a fault of the simulator.
        Arc::new(settings.unwrap_or_else(|error| panic!("{error}")))
    });
    settings.collect()
}

impl World {
    /// Builds a cluster without machines, whose controllers start at once and whose users submit `jobs`.
    ///
    /// # Panics
    /// If the settings generated from `config` are invalid.
    pub fn new(config: Config, seed: u64, jobs: Vec<JobPlan>) -> Self {
        let settings = controller_settings(&config);
        let controllers = config.controllers;
        let mut world = Self {
            now: 1,
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            messages: HashMap::new(),
            last_id: 0,
            controllers: (0..controllers).map(|_| None).collect(),
            epochs: vec![0; controllers],
            store_lanes: settings.iter().map(|s| store_lanes(s, 1)).collect(),
            next_budget_check: vec![0; controllers],
            stopped_at: vec![0; controllers],
            settings,
            pending_replies: HashMap::new(),
            store: StateService::new(config.state),
            watches: HashMap::new(),
            network: NetworkFaults::default(),
            store_faults: StoreFaults::default(),
            fault_counts: FaultCounts::default(),
            recent_commands: VecDeque::new(),
            executed_commands: None,
            completion_race_share: 0.0,
            completed_jobs: HashSet::new(),
            machines: Machines::new(&config, seed),
            cloud: Cloud::new(&config),
            jobs: Vec::new(),
            rules: Rules::new(&config),
            meter: None,
            config,
        };
        world.post(1, ScheduledMessage::Step);
        for controller in 0..controllers {
            let start = ScheduledMessage::Start { controller };
            world.post(1 + controller as u64, start);
        }
        for plan in jobs {
            world.submit(plan);
        }
        world
    }

    /// Runs until a virtual time in milliseconds, inclusive.
    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(message) = self.messages.remove(&id) {
                self.deliver(message);
                self.respond_to_watches();
            }
        }
        self.now = end;
    }

    /// Schedules a message; a time in the past means now.
    fn post(&mut self, at: u64, message: ScheduledMessage) {
        self.last_id += 1;
        self.messages.insert(self.last_id, message);
        self.queue.push(Reverse((at.max(self.now), self.last_id)));
    }

    /// Schedules an event for the current process of a controller.
    fn send_to(&mut self, controller: usize, at: u64, event: Event) {
        let process = self.process(controller);
        let event = Box::new(event);
        self.post(at, ScheduledMessage::ControllerEvent { process, event });
    }

    /// The current process of a controller.
    fn process(&self, controller: usize) -> ProcessId {
        ProcessId {
            controller,
            epoch: self.epochs[controller],
        }
    }

    /// Whether the controller has not been restarted since this process started.
    fn is_current(&self, process: ProcessId) -> bool {
        self.epochs[process.controller] == process.epoch
    }

    /// Registers who waits for the response to an event.
    fn expect_reply(&mut self, pending: PendingReply) -> ReplyId {
        self.last_id += 1;
        let reply = ReplyId(self.last_id);
        self.pending_replies.insert(reply, pending);
        reply
    }
}
