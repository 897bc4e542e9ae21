//! The controller: a state machine that owns all slices. It takes events and yields effects, and
//! does no I/O and reads no clock itself, so that tests can drive whole controllers through
//! crashes and cuts in virtual time.

mod admission_plan;
mod autoscaling;
mod cancellation;
mod candidates;
mod commits;
mod failure_attribution;
mod heartbeats;
mod hierarchical_quota;
mod membership;
mod peer_messages;
mod placement;
mod preemption;
mod queueing;
mod quota_allocation;
mod reachability;
mod user_requests;
mod wait_reason;
pub mod work_counters;
mod zones;

use std::net::SocketAddr;
use std::sync::Arc;

use admission_control::gate::Gate;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

use crate::admission::Flows;
use crate::admission::backlog::Backlog;
use crate::admission::shared::Shared;
use crate::cycle::index::CapacityIndex;
use crate::fleet::{CloudCall, CloudResponse, Fleet, MachineTypeSpec};
use crate::jobs::api::{Refusal, Refused, Response};
use crate::jobs::cache::JobCache;
use crate::jobs::cancel::Cancelling;
use crate::jobs::completion_forwarding::CompletionForwarder;
use crate::jobs::crash_loop::CrashLoopTracker;
use crate::jobs::{JobSpec, cache::TaskChange};
use crate::lease::Leases;
use crate::peers::Message;
use crate::queue::Queue;
use crate::quota::hierarchical::{HierarchicalQuota, TreeStatus};
use crate::quota::{QuotaAllocations, SHARES};
use crate::settings::Settings;
use crate::store::{CallClass, StoreCall, StoreResponse, Transaction};
use crate::types::{
    AgentEpoch, ControllerId, JobId, MachineId, Millis, ReplyId, Resources, Revision, ShardId,
    WorkerToken,
};
use crate::workers::Machine;
use crate::workers::reconcile::Stops;
use crate::workers::wire::{Heartbeat, HeartbeatResponse, WorkerCommand};
use crate::zones::partition_mode::PartitionMode;
use crate::zones::zone_health::ZoneHealthTracker;
use work_counters::WorkCounters;

/// A worker's answer to commands that were sent to it directly: its heartbeat after them, or what it
/// refused them with.
pub struct CommandReply {
    pub heartbeat: Option<Heartbeat>,
}

pub enum Event {
    /// Time passes; several times a second.
    Tick,
    Store {
        tag: u64,
        answer: StoreResponse,
    },
    Cloud {
        tag: u64,
        answer: CloudResponse,
    },
    Peer {
        from: ControllerId,
        message: Message,
    },
    Heartbeat {
        reply: ReplyId,
        heartbeat: Heartbeat,
    },
    Submit {
        reply: ReplyId,
        submission: Result<(JobId, JobSpec), Refused>,
    },
    Poll {
        reply: ReplyId,
        job: JobId,
    },
    Abort {
        reply: ReplyId,
        job: JobId,
    },
    Ready {
        reply: ReplyId,
    },
    /// What came of asking a worker for its heartbeat.
    Inspected {
        answered: bool,
    },
    /// What came of commands sent directly; none: no answer.
    Direct {
        machine_id: MachineId,
        answer: Option<CommandReply>,
    },
}

#[derive(Debug)]
pub enum Effect {
    /// Asks a worker for its heartbeat, to see whether workers can be reached.
    Inspect {
        machine_id: MachineId,
        address: SocketAddr,
    },
    /// Orders that do not wait for the worker's next heartbeat.
    Direct {
        machine_id: MachineId,
        address: SocketAddr,
        worker_token: WorkerToken,
        agent_epoch: AgentEpoch,
        commands: Vec<WorkerCommand>,
    },
    Store {
        tag: u64,
        class: CallClass,
        call: StoreCall,
    },
    /// So many changes a second of the state service are ours.
    Allow {
        writes: f64,
    },
    Cloud {
        tag: u64,
        call: CloudCall,
    },
    Peer {
        to: ControllerId,
        message: Message,
    },
    User {
        reply: ReplyId,
        response: Response,
    },
    Worker {
        reply: ReplyId,
        answer: HeartbeatResponse,
    },
    Ready {
        reply: ReplyId,
        ready: bool,
    },
}

/// What an answer of the state service is for.
#[derive(Debug)]
enum Purpose {
    Grant {
        sent: Millis,
    },
    Renew {
        sent: Millis,
    },
    EndOld,
    Register,
    Lead,
    Assign,
    List,
    Watch,
    Revision,
    Submit {
        job: JobId,
    },
    Abort {
        reply: ReplyId,
        job: JobId,
    },
    Changes {
        job: JobId,
        changes: Vec<(u32, TaskChange)>,
    },
    Clear {
        job: JobId,
    },
    /// Pages of jobs that are over.
    Dropped,
    /// New shares of the teams' limits.
    Deal {
        /// A shard whose share it is conditioned on, and the version of that.
        rests_on: (ShardId, Revision),
    },
    /// The tree of quotas, page by page.
    Tree,
    /// Makes sure that a transaction of unknown fate is not applied from now on.
    FenceOff {
        jobs: Vec<JobId>,
        shard: ShardId,
    },
    /// Who may write how much.
    Plan,
    /// Nobody waits for it.
    Note,
}

/// The records that a transaction writes, or drops.
type WrittenRecords = Vec<(String, Option<String>)>;

/// What to do once the cache is proved new enough.
#[derive(Debug)]
enum PendingRead {
    /// Answer a poll, or a submission of a job that is known.
    State {
        reply: ReplyId,
        job: JobId,
    },
    /// Refuse a submission, unless its job is known after all.
    Refuse {
        reply: ReplyId,
        job: JobId,
        why: Refusal,
    },
    Abort {
        reply: ReplyId,
        job: JobId,
    },
    /// All that was placed of a job before it was cancelled is known now.
    Clear {
        job: JobId,
    },
    /// A transaction's fate is clear now.
    Settle {
        job: JobId,
    },
}

/// Who waits for a proof that the cache is new, and since when.
#[derive(Default)]
struct ReadBarrier {
    /// Not asked for yet.
    next: Vec<(Millis, PendingRead)>,
    /// The watch that is open was asked after they came.
    watched: Vec<(Millis, PendingRead)>,
    /// A read of the revision is under way for them.
    current: Vec<(Millis, PendingRead)>,
    reading: bool,
    /// Proved as soon as the cache is this new.
    waiting: Vec<(Revision, Millis, PendingRead)>,
}

/// Room that is being made for jobs: nobody of lower order takes it.
#[derive(Debug, Default)]
struct Nominations {
    jobs: HashMap<JobId, Nomination>,
    machine_ids: HashMap<MachineId, Vec<JobId>>,
}

/// Room on each of these machines, for one task each.
#[derive(Debug)]
struct Nomination {
    machine_ids: Vec<MachineId>,
    resources: Resources,
    until: Millis,
}

impl Nominations {
    fn add(&mut self, job: &JobId, machine_id: &MachineId, resources: Resources, until: Millis) {
        let nomination = self.jobs.entry(job.clone()).or_insert(Nomination {
            machine_ids: Vec::new(),
            resources,
            until,
        });
        nomination.until = until;
        if !nomination.machine_ids.contains(machine_id) {
            nomination.machine_ids.push(machine_id.clone());
            let jobs = self.machine_ids.entry(machine_id.clone()).or_default();
            jobs.push(job.clone());
        }
    }

    /// The job has its task on a machine where room was made for it.
    fn taken(&mut self, job: &JobId, machine_id: &MachineId) {
        let Some(nomination) = self.jobs.get_mut(job) else {
            return;
        };
        nomination.machine_ids.retain(|other| other != machine_id);
        if nomination.machine_ids.is_empty() {
            self.jobs.remove(job);
        }
        if let Some(jobs) = self.machine_ids.get_mut(machine_id) {
            jobs.retain(|other| other != job);
            if jobs.is_empty() {
                self.machine_ids.remove(machine_id);
            }
        }
    }

    fn remove(&mut self, job: &JobId) {
        let Some(nomination) = self.jobs.remove(job) else {
            return;
        };
        for machine_id in nomination.machine_ids {
            if let Some(jobs) = self.machine_ids.get_mut(&machine_id) {
                jobs.retain(|other| other != job);
                if jobs.is_empty() {
                    self.machine_ids.remove(&machine_id);
                }
            }
        }
    }

    /// The machines where room is being made for a job.
    fn of(&self, job: &JobId, now: Millis) -> Option<&[MachineId]> {
        let nomination = self.jobs.get(job).filter(|n| n.until > now)?;
        Some(&nomination.machine_ids)
    }

    /// The jobs that room is being made for on a machine, and how much.
    fn on(&self, machine_id: &MachineId, now: Millis) -> impl Iterator<Item = (&JobId, Resources)> {
        let jobs = self.machine_ids.get(machine_id).into_iter().flatten();
        jobs.filter_map(move |job| {
            let nomination = self.jobs.get(job).filter(|n| n.until > now)?;
            Some((job, nomination.resources))
        })
    }
}

/// Machines that can take tasks.
#[derive(Debug, Default)]
struct Pool {
    /// When all machines were last looked over.
    built: Millis,
    /// More machines are empty than stand ready for urgent work.
    spare: bool,
    resources: CapacityIndex,
    /// Hosts of which something else than what is taken has changed.
    touched: Vec<MachineId>,
}

/// Work that came and should not have to wait for a machine to boot.
#[derive(Debug)]
struct Arrival {
    at: Millis,
    /// How many machines it takes.
    share: f64,
    image_gb: f64,
    /// Whether spot machines will do.
    spot: bool,
    /// Whether it may have other work stopped.
    urgent: bool,
}

/// What another controller said last.
#[derive(Debug)]
struct PeerStatus {
    heard: Millis,
    revision: Revision,
    /// How long it had been without the state service.
    without_store: Millis,
    /// Whether workers reach it.
    receives_heartbeats: bool,
}

pub struct Controller {
    settings: Arc<Settings>,
    me: ControllerId,
    now: Millis,
    rng: SmallRng,
    effects: Vec<Effect>,
    next_tag: u64,
    /// Calls in flight: what for, and the records that a transaction writes.
    calls: HashMap<u64, (Purpose, WrittenRecords)>,
    cloud_calls: HashMap<u64, CloudCall>,

    /// All records have been read once.
    synced: bool,
    applied: Revision,
    watch_after: Millis,
    watch_open: bool,
    listing: bool,
    list_revision: Option<Revision>,
    list_end: Revision,
    store_heard: Millis,
    ended_old: bool,

    leases: Leases,
    partition_mode: PartitionMode,
    zones: ZoneHealthTracker,
    /// When each shard last changed hands, as far as we saw.
    moved: HashMap<ShardId, Millis>,
    /// Whether we hear from workers; without that we can hold no shards.
    receives_heartbeats: bool,
    last_heartbeat: Millis,
    inspected: Millis,
    /// How often in a row we gave our shards up since no worker reached us.
    shard_release_streak: u32,
    /// Most of our machines have not reported for a while.
    most_are_quiet: bool,
    moved_replica: Millis,
    busy_membership: HashSet<&'static str>,
    led_since: Millis,

    jobs: JobCache,
    shares: QuotaAllocations,
    nested: HierarchicalQuota,
    tree_offered: Millis,
    tree_standing: TreeStatus,
    writing_tree: bool,
    excess_looked: Millis,
    /// With a tree: each team's first job that waits.
    head_of_line_jobs: Vec<JobId>,
    /// When room may be gathered for a job again.
    gathered: HashMap<JobId, Millis>,
    /// Transactions under way that write shares.
    allocations_in_flight: u32,
    /// Deals without an answer that may still be carried out: a shard of each, and the version of its
    /// share that the deal rests on.
    unresolved_allocations: Vec<(ShardId, Revision)>,
    dealt: Millis,
    fenced_off_at: Millis,
    /// Jobs with a transaction of unknown fate that must come to nothing before its room is free.
    to_fence_off: HashMap<JobId, ShardId>,
    submitting: HashMap<JobId, Vec<ReplyId>>,
    cancelling: Cancelling,
    read_barrier: ReadBarrier,

    queue: Queue,
    forwarded: HashSet<JobId>,
    /// Handed over, since when, before the watch brought them.
    forwarded_early: HashMap<JobId, Millis>,
    machines: HashMap<MachineId, Machine>,
    stops: Stops,
    nominations: Nominations,
    pool: Pool,
    work: WorkCounters,
    /// Jobs with changes that the cycles of this event noted.
    to_commit: Vec<JobId>,
    completions: CompletionForwarder,
    flows: Flows,
    shared: Shared,
    gate: Gate,
    unwritten: Backlog,
    /// Cycles were stopped for want of changes a moment ago.
    short_until: Millis,
    /// Pages of jobs that are over are being dropped.
    dropping: bool,
    /// Jobs that the leader wants room made for in our shards.
    to_preempt: HashMap<JobId, MachineId>,
    /// Jobs whose last task failed.
    failed_jobs: HashSet<JobId>,
    crash_loops: CrashLoopTracker,
    swept: Millis,
    drains: HashSet<MachineId>,
    drains_heard: Millis,

    type_specs: Vec<MachineTypeSpec>,
    /// As the state service has them.
    stored_type_specs: Vec<MachineTypeSpec>,
    type_specs_asked: Millis,
    fleet: Fleet,
    fleet_ticked: Millis,
    arrivals: Vec<Arrival>,
    arrivals_until: Millis,
    arrivals_since: Millis,

    peers: HashMap<ControllerId, PeerStatus>,
    status_sent: Millis,
    /// When machines were heard that others speak of and that we know nothing else of yet.
    relayed_heartbeats: HashMap<MachineId, Millis>,
    /// What the others were told of each machine, as a hash.
    told: HashMap<MachineId, u64>,
}

impl Controller {
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        let operator = &settings.operator;
        let queue = Queue::new(
            operator.backoff_first,
            operator.backoff_most,
            operator.flush,
        );
        Self {
            me: settings.label.clone(),
            now: Millis(0),
            rng: SmallRng::seed_from_u64(seed),
            effects: Vec::new(),
            next_tag: 1,
            calls: HashMap::default(),
            cloud_calls: HashMap::default(),
            synced: false,
            applied: Revision(0),
            watch_after: Millis(0),
            watch_open: false,
            listing: false,
            list_revision: None,
            list_end: Revision(0),
            store_heard: Millis(0),
            ended_old: false,
            leases: Leases::default(),
            partition_mode: PartitionMode::default(),
            zones: ZoneHealthTracker::default(),
            moved: HashMap::default(),
            receives_heartbeats: true,
            last_heartbeat: Millis(0),
            inspected: Millis(0),
            shard_release_streak: 0,
            most_are_quiet: false,
            moved_replica: Millis(0),
            busy_membership: HashSet::default(),
            led_since: Millis(0),
            jobs: JobCache::default(),
            shares: QuotaAllocations::default(),
            nested: HierarchicalQuota::new(
                &settings.deployment.teams,
                settings.tree.as_ref(),
                settings.deployment.state.value_kb,
            ),
            tree_offered: Millis(0),
            tree_standing: TreeStatus::None,
            writing_tree: false,
            excess_looked: Millis(0),
            head_of_line_jobs: Vec::new(),
            gathered: HashMap::default(),
            allocations_in_flight: 0,
            unresolved_allocations: Vec::new(),
            dealt: Millis(0),
            fenced_off_at: Millis(0),
            to_fence_off: HashMap::default(),
            submitting: HashMap::default(),
            cancelling: Cancelling::default(),
            read_barrier: ReadBarrier::default(),
            queue,
            forwarded: HashSet::default(),
            forwarded_early: HashMap::default(),
            machines: HashMap::default(),
            stops: Stops::default(),
            nominations: Nominations::default(),
            pool: Pool::default(),
            work: WorkCounters::default(),
            to_commit: Vec::new(),
            completions: CompletionForwarder::default(),
            flows: Flows::new(&settings),
            shared: Shared::default(),
            gate: Gate::default(),
            unwritten: Backlog::default(),
            short_until: Millis(0),
            dropping: false,
            to_preempt: HashMap::default(),
            failed_jobs: HashSet::default(),
            crash_loops: CrashLoopTracker::default(),
            swept: Millis(0),
            drains: HashSet::default(),
            drains_heard: Millis(0),
            type_specs: Vec::new(),
            stored_type_specs: Vec::new(),
            type_specs_asked: Millis(0),
            fleet: Fleet::default(),
            fleet_ticked: Millis(0),
            arrivals: Vec::new(),
            arrivals_until: Millis(0),
            arrivals_since: Millis(0),
            peers: HashMap::default(),
            status_sent: Millis(0),
            relayed_heartbeats: HashMap::default(),
            told: HashMap::default(),
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
        self.queue.tick(self.now);
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

    fn tag(&mut self) -> u64 {
        self.next_tag += 1;
        self.next_tag
    }

    fn call_store(&mut self, class: CallClass, call: StoreCall, purpose: Purpose) {
        let tag = self.tag();
        self.calls.insert(tag, (purpose, Vec::new()));
        self.effects.push(Effect::Store { tag, class, call });
    }

    fn transact(&mut self, class: CallClass, txn: Transaction, purpose: Purpose) {
        let tag = self.tag();
        let written: WrittenRecords = txn
            .changes
            .iter()
            .map(|change| match change {
                crate::store::Mutation::Put { key, data, .. } => (key.clone(), Some(data.clone())),
                crate::store::Mutation::Drop { key } => (key.clone(), None),
            })
            .collect();
        if written.iter().any(|(key, _)| key.starts_with(SHARES)) {
            self.allocations_in_flight += 1;
        }
        self.shared.wrote(written.len());
        tracing::debug!(?purpose, changes = written.len(), "writing");
        self.calls.insert(tag, (purpose, written));
        let call = StoreCall::Transaction(txn);
        self.effects.push(Effect::Store { tag, class, call });
    }

    fn on_store(&mut self, tag: u64, answer: StoreResponse) {
        let Some((purpose, written)) = self.calls.remove(&tag) else {
            return;
        };
        if written.iter().any(|(key, _)| key.starts_with(SHARES)) {
            self.allocations_in_flight -= 1;
        }
        if !matches!(answer, StoreResponse::Refused | StoreResponse::Unknown) {
            self.store_heard = self.now;
            self.leave_partition_mode();
        }
        if let StoreResponse::Committed(revision) = answer {
            // What we wrote is known at once; the watch brings it again, as old news.
            for (key, data) in written {
                self.apply(&key, data.as_deref(), revision);
            }
        }
        match purpose {
            Purpose::Grant { .. }
            | Purpose::Renew { .. }
            | Purpose::EndOld
            | Purpose::Register
            | Purpose::Lead
            | Purpose::Assign => self.on_membership(purpose, answer),
            Purpose::List => self.on_list(answer),
            Purpose::Watch => self.on_watch(answer),
            Purpose::Revision => self.on_revision(answer),
            Purpose::Submit { job } => self.on_submitted(job, answer),
            Purpose::Abort { reply, job } => self.on_aborted(reply, job, answer),
            Purpose::Changes { job, changes } => self.on_changes(job, changes, answer),
            Purpose::Clear { job } => self.on_cleared(job),
            Purpose::Dropped => self.dropping = false,
            Purpose::Deal { rests_on } => self.on_allocated(rests_on, answer),
            Purpose::Tree => self.on_tree(&answer),
            Purpose::FenceOff { jobs, shard } => self.on_fenced_off(jobs, shard, answer),
            Purpose::Plan => self.shared.writing = false,
            Purpose::Note => {}
        }
        self.tell_cancelled();
    }

    /// How long the state service has not answered.
    fn without_store(&self) -> Millis {
        self.now.since(self.store_heard)
    }

    fn leading(&self) -> Option<Revision> {
        self.leases.leads(&self.me)
    }

    /// Whether this controller leads, as far as it knows.
    pub fn is_leading(&self) -> bool {
        self.leading().is_some()
    }

    /// What this controller looked at since it started.
    pub fn work(&self) -> &WorkCounters {
        &self.work
    }

    /// How many machines of its own shards this controller knows.
    pub fn machines_held(&self) -> usize {
        let held = |machine: &&Machine| self.token_for(&machine.shard).is_some();
        self.machines.values().filter(held).count()
    }

    fn leader(&self) -> Option<&ControllerId> {
        self.leases.leader.as_ref().map(|(leader, _)| leader)
    }
}
