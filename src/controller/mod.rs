//! The controller: a state machine that owns all slices. It takes events and yields effects, and
//! does no I/O and reads no clock itself, so that tests can drive whole controllers through
//! crashes and network partitions in virtual time.
//!
//! [`Controller`] is a sequencer: each of its fields is a component that owns one part of the state,
//! and the modules here hold the steps that several components take part in.

mod admission_plan;
mod autoscaling;
mod calls;
mod cancellation;
mod candidates;
mod commits;
mod event;
mod failure_attribution;
mod heartbeats;
mod hierarchical_quota;
mod membership;
mod nominations;
mod peer_messages;
mod placement;
mod preemption;
mod queueing;
mod quota_allocation;
mod reachability;
mod scheduler;
mod store_sync;
mod user_requests;
mod wait_reason;
pub mod work_counters;
mod zones;

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap as HashMap;

use crate::jobs::cache::JobCache;
use crate::settings::Settings;
use crate::types::{ControllerId, MachineId, Millis};
use crate::workers::Machine;
use autoscaling::Autoscaler;
use calls::{CallPurpose, Calls};
use commits::Commits;
pub use event::{CommandReply, Effect, Event};
use membership::Membership;
use peer_messages::Peers;
use quota_allocation::Quota;
use reachability::WorkerContact;
use scheduler::Scheduler;
use store_sync::StoreSync;
use user_requests::UserRequests;
use work_counters::WorkCounters;
use zones::Partition;

/// One controller of a deployment.
pub struct Controller {
    settings: Arc<Settings>,
    me: ControllerId,
    now: Millis,
    rng: SmallRng,
    effects: Vec<Effect>,
    calls: Calls,
    store_sync: StoreSync,
    membership: Membership,
    partition: Partition,
    contact: WorkerContact,
    machines: HashMap<MachineId, Machine>,
    jobs: JobCache,
    quota: Quota,
    requests: UserRequests,
    scheduler: Scheduler,
    commits: Commits,
    autoscaler: Autoscaler,
    peers: Peers,
    work_counters: WorkCounters,
}

impl Controller {
    /// A controller that knows nothing yet. `seed` decides all its random choices.
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        Self {
            me: settings.label.clone(),
            now: Millis(0),
            rng: SmallRng::seed_from_u64(seed),
            effects: Vec::new(),
            calls: Calls::new(),
            store_sync: StoreSync::default(),
            membership: Membership::default(),
            partition: Partition::default(),
            contact: WorkerContact::new(),
            machines: HashMap::default(),
            jobs: JobCache::default(),
            quota: Quota::new(&settings),
            requests: UserRequests::default(),
            scheduler: Scheduler::new(&settings.operator),
            commits: Commits::new(&settings),
            autoscaler: Autoscaler::default(),
            peers: Peers::default(),
            work_counters: WorkCounters::default(),
            settings,
        }
    }

    /// Takes one event and returns what is to be done about it.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.on_tick(),
            Event::Store { tag, answer } => self.on_store(tag, answer),
            Event::Cloud { tag, answer } => self.on_cloud(tag, answer),
            Event::Peer { from, message } => self.on_peer(from, message),
            Event::Heartbeat { reply, heartbeat } => self.on_heartbeat(reply, heartbeat),
            Event::Submit { reply, submission } => self.on_submit(reply, submission),
            Event::Poll { reply, job } => self.on_poll(reply, job),
            Event::Abort { reply, job } => self.on_abort(reply, job),
            Event::Inspected { answered } => self.on_inspected(answered),
            Event::Direct { machine_id, answer } => self.on_direct(&machine_id, answer),
            Event::Ready { reply } => {
                let ready = self.ready();
                self.effects.push(Effect::Ready { reply, ready });
            }
        }
        self.schedule();
        std::mem::take(&mut self.effects)
    }

    fn on_tick(&mut self) {
        self.renew_membership();
        self.poll_watch();
        self.read_revision();
        self.scheduler.queue.tick(self.now);
        self.check_worker_contact();
        self.check_partition_mode();
        self.expire_cancellations();
        self.expire_pending_reads();
        self.forward_completions();
        self.write_next();
        self.delete_finished_pages();
        self.resolve_unknown_transactions();
        self.reallocate_quota();
        self.refresh_quota_tree();
        self.detect_silent_machines();
        self.update_admission_plan();
        self.broadcast_status();
        self.reconcile_fleet();
    }

    /// Whether this controller leads, as far as it knows.
    pub fn is_leading(&self) -> bool {
        self.leading().is_some()
    }

    /// What this controller looked at since it started.
    pub fn work(&self) -> &WorkCounters {
        &self.work_counters
    }

    /// How many machines of its own shards this controller knows.
    pub fn machines_held(&self) -> usize {
        let held = |machine: &&Machine| self.token_for(&machine.shard).is_some();
        self.machines.values().filter(held).count()
    }
}
