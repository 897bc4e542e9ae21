//! The controller: a state machine that handles events and returns effects. It does no I/O and
//! reads no clock itself, so that tests can drive whole controllers through crashes and network
//! partitions in virtual time.
//!
//! [`Controller`] sequences the work: each of its fields is a component that owns one part of the
//! state, and the modules here contain the steps that involve several components.

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
pub use reachability::StartCounts;
use reachability::WorkerContact;
use scheduler::Scheduler;
use store_sync::StoreSync;
use user_requests::UserRequests;
use work_counters::WorkCounters;
use zones::PartitionState;

/// One controller of a deployment.
pub struct Controller {
    settings: Arc<Settings>,
    /// This controller's own label.
    me: ControllerId,
    /// The time of the event that is being handled.
    now: Millis,
    rng: SmallRng,
    /// Effects of the event that is being handled, in order.
    effects: Vec<Effect>,
    /// Calls to the store and the cloud that are in flight.
    calls: Calls,
    /// The progress of the cache of the store.
    store_sync: StoreSync,
    /// This controller's lease, and the cached leases of all controllers.
    membership: Membership,
    /// Partition mode, and the health of zones.
    partition: PartitionState,
    /// Whether workers and this controller reach each other.
    contact: WorkerContact,
    /// All machines that sent a heartbeat to this controller or to a peer.
    machines: HashMap<MachineId, Machine>,
    /// The cached records of jobs, and changes of them that are not written yet.
    jobs: JobCache,
    /// The quotas of teams, and their allocation to shards.
    quota: Quota,
    /// Users' requests that wait for a response.
    requests: UserRequests,
    /// Which job is placed next, and where.
    scheduler: Scheduler,
    /// Transactions on jobs that wait or are in flight.
    commits: Commits,
    /// The fleet of rented machines, used by the leader.
    autoscaler: Autoscaler,
    /// The latest statuses of the other controllers.
    peers: Peers,
    /// Counts of the items that this controller has examined.
    work_counters: WorkCounters,
}

impl Controller {
    /// A controller with an empty cache. `seed` determines all its random choices.
    #[must_use]
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        Self {
            me: settings.label.clone(),
            now: Millis(0),
            rng: SmallRng::seed_from_u64(seed),
            effects: Vec::new(),
            calls: Calls::new(),
            store_sync: StoreSync::default(),
            membership: Membership::default(),
            partition: PartitionState::default(),
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

    /// Handles one event at time `now`, and returns the effects to carry out, in order. Time does
    /// not run backwards: a `now` earlier than the time of a previous event is replaced by that
    /// time.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.on_tick(),
            Event::Store { tag, response } => self.on_store(tag, response),
            Event::Cloud { tag, response } => self.on_cloud_response(tag, response),
            Event::Peer { from, message } => self.on_peer_message(from, message),
            Event::Heartbeat { reply, heartbeat } => self.on_heartbeat(reply, heartbeat),
            Event::Submit { reply, submission } => self.on_submit(reply, submission),
            Event::Poll { reply, job } => self.on_poll(reply, job),
            Event::Cancel { reply, job } => self.on_cancel(reply, job),
            Event::Inspected { answered } => self.on_inspected(answered),
            Event::DirectReply {
                machine_id,
                exchange,
                answer,
            } => self.on_direct_reply(&machine_id, exchange, answer),
            Event::Ready { reply } => {
                let ready = self.ready();
                self.effects.push(Effect::Ready { reply, ready });
            }
        }
        self.schedule();
        std::mem::take(&mut self.effects)
    }

    /// Runs the periodic steps. The order matters: later steps depend on the results of earlier
    /// ones.
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
        self.sweep_machines();
        self.update_admission_plan();
        self.broadcast_status();
        self.reconcile_fleet();
    }

    /// Whether this controller believes that it is the leader.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.leading().is_some()
    }

    /// Counts of what this controller has examined since it started.
    #[must_use]
    pub fn work_counters(&self) -> &WorkCounters {
        &self.work_counters
    }

    /// How many machines this controller knows in the shards that it holds.
    #[must_use]
    pub fn machines_held(&self) -> usize {
        let held = |machine: &&Machine| self.token_for(&machine.shard).is_some();
        self.machines.values().filter(held).count()
    }
}
