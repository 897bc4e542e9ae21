//! This controller's view of a machine: identity, liveness, health, tasks and image cache.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rustc_hash::FxHashMap as HashMap;

use super::direct_channel::DirectChannel;
use super::failures::FailureStreak;
use super::image_cache::CachedImage;
use super::reachability::Reachability;
use super::reported_attempts::ReportedAttempts;
use super::wire::{Heartbeat, TaskStatus};
use crate::lease::Tenure;
use crate::types::{
    AgentEpoch, ControllerId, FencingToken, Image, JobId, MachineId, MachineTypeId, Millis,
    ShardId, TaskId, WorkerToken, Zone,
};

/// This controller's view of a machine, from its worker's heartbeats or from the status of another
/// controller.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The machine's name, unique in the cluster.
    pub machine_id: MachineId,
    /// The machine type that it was rented as.
    pub machine_type: MachineTypeId,
    /// The zone that it runs in.
    pub zone: Zone,
    /// A spot instance: the cloud may reclaim it at short notice.
    pub spot: bool,
    /// The shard that it belongs to, computed by [`shard_of`](super::shard_of).
    pub shard: ShardId,
    /// The worker's newest known agent epoch; a new one begins whenever its lease expires.
    pub agent_epoch: AgentEpoch,
    /// The sequence number of the newest known heartbeat within that epoch.
    pub heartbeat_sequence: u64,
    /// The highest token that the worker had seen when it last reported to this controller.
    pub worker_token: WorkerToken,
    /// The tenure, by the token under which it began, in which this controller last answered a heartbeat,
    /// and when it received that heartbeat.
    pub last_answer: Option<(FencingToken, Millis)>,
    /// The tenure, by the token under which it began, of which the worker has seen a token, and when
    /// that was first known. Until then responses of an earlier holder may have renewed the worker's lease.
    pub token_confirmed: Option<(FencingToken, Millis)>,
    /// When any controller last received a heartbeat that is evidence of liveness.
    pub last_contact: Millis,
    /// When this controller last received a heartbeat; a response to direct commands doesn't count.
    pub last_heartbeat: Millis,
    /// In which directions messages arrive.
    pub reachability: Reachability,
    /// The controller that last received evidence of liveness.
    pub last_contact_by: ControllerId,
    /// The attempts in the newest heartbeat.
    pub reported: ReportedAttempts,
    /// The cloud has announced that it will reclaim the machine.
    pub termination_announced: bool,
    /// Jobs whose tasks failed here since the last success.
    pub failure_streaks: BTreeMap<JobId, FailureStreak>,
    /// Tasks fail here because of the machine, so no tasks are placed on it.
    pub quarantined: bool,
    /// The leader wants to scale it in.
    pub draining: bool,
    /// No task is placed here before this time, since a start was refused for lack of resources.
    pub starts_paused_until: Millis,
    /// Where the worker takes direct commands; `None` if it takes none.
    pub address: Option<SocketAddr>,
    /// The exchange of direct commands with the worker.
    pub direct: DirectChannel,
    /// Images in the machine's cache, as far as this controller knows.
    pub images: HashMap<Image, CachedImage>,
    /// Images that tasks placed here by this controller wait for.
    pub pending_fetches: HashMap<Image, CachedImage>,
}

impl Machine {
    /// A machine of which only the identity and the controller that reported it are known.
    #[must_use]
    pub fn new(
        machine_id: MachineId,
        machine_type: MachineTypeId,
        zone: Zone,
        spot: bool,
        shard: ShardId,
        last_contact_by: ControllerId,
    ) -> Self {
        Self {
            machine_id,
            machine_type,
            zone,
            spot,
            shard,
            agent_epoch: AgentEpoch(0),
            heartbeat_sequence: 0,
            worker_token: WorkerToken(0),
            last_answer: None,
            token_confirmed: None,
            last_contact: Millis(0),
            last_heartbeat: Millis(0),
            reachability: Reachability::default(),
            last_contact_by,
            reported: ReportedAttempts::default(),
            termination_announced: false,
            failure_streaks: BTreeMap::new(),
            quarantined: false,
            draining: false,
            starts_paused_until: Millis(0),
            address: None,
            direct: DirectChannel::default(),
            images: HashMap::default(),
            pending_fetches: HashMap::default(),
        }
    }

    /// Whether a heartbeat is newer than the newest known one. The task list of a late heartbeat is
    /// outdated.
    #[must_use]
    pub fn is_newer(&self, agent_epoch: AgentEpoch, heartbeat_sequence: u64) -> bool {
        (agent_epoch, heartbeat_sequence) > (self.agent_epoch, self.heartbeat_sequence)
    }

    /// Applies a heartbeat that [`is_newer`](Self::is_newer). It is evidence of liveness only for a
    /// machine that had no contact yet or is known to receive commands: a delayed copy may arrive
    /// long after the machine was deleted.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: Millis, by: &ControllerId) {
        self.agent_epoch = heartbeat.agent_epoch;
        self.heartbeat_sequence = heartbeat.heartbeat_sequence;
        self.worker_token = heartbeat.worker_token;
        if self.reachability.is_confirmed() || self.last_contact == Millis(0) {
            self.last_contact = now;
        }
        self.last_contact_by = by.clone();
        // Reported by an earlier holder of the shard; if it were kept, the machine would be excluded
        // permanently.
        self.draining = false;
        self.address = heartbeat.address.parse().ok();
        self.termination_announced = heartbeat.warning_s.is_some();
        self.reported = ReportedAttempts::from_statuses(&heartbeat.tasks);
        self.direct
            .observe(self.worker_token, self.agent_epoch, &self.reported);
    }

    /// Whether the worker has seen a token of a tenure, and none of a later holder.
    #[must_use]
    pub fn has_joined(&self, tenure: Tenure) -> bool {
        tenure.covers(self.worker_token.fencing_token())
    }

    /// Records that the worker has seen a token of this controller's tenure, if its last heartbeat shows
    /// that.
    pub fn confirm_token(&mut self, tenure: Tenure, now: Millis) {
        let acquired = tenure.acquired;
        let confirmed = self
            .token_confirmed
            .is_some_and(|(seen, _)| seen == acquired);
        if self.worker_token.fencing_token() >= acquired && !confirmed {
            self.token_confirmed = Some((acquired, now));
        }
    }

    /// Whether the worker's lease has expired by this controller's clock: no answer has renewed it for
    /// longer than `lease`. Once the worker has seen a token of this controller's tenure it drops the
    /// answers of all others; when it was last answered before that is unknown.
    #[must_use]
    pub fn lease_expired(&self, tenure: Tenure, lease: Millis, now: Millis) -> bool {
        let in_tenure =
            |at: Option<(FencingToken, Millis)>| at.filter(|(under, _)| *under == tenure.acquired);
        let Some((_, confirmed)) = in_tenure(self.token_confirmed) else {
            return false;
        };
        let renewed =
            in_tenure(self.last_answer).map_or(confirmed, |(_, answered)| answered.max(confirmed));
        now.since(renewed) > lease
    }

    /// Whether a heartbeat shows any of the starts in the answer to the previous heartbeat; `None`
    /// if there were none, or the worker has begun a new agent epoch since.
    #[must_use]
    pub fn shows_piggybacked_start(&self, heartbeat: &Heartbeat) -> Option<bool> {
        let piggybacked_starts = &self.direct.piggybacked.starts;
        if piggybacked_starts.is_empty() || heartbeat.agent_epoch != self.agent_epoch {
            return None;
        }
        let shown = |status: &TaskStatus| {
            let start = TaskId::parse(&status.task).map(|task| (task, status.attempt));
            start.is_some_and(|start| piggybacked_starts.contains(&start))
        };
        Some(heartbeat.tasks.iter().any(shown))
    }

    /// Whether the machine's own condition lets it take new tasks, resources aside. Its last contact
    /// must be within `silence`.
    #[must_use]
    pub fn is_schedulable(&self, now: Millis, silence: Millis) -> bool {
        self.reachability.is_confirmed()
            && !self.termination_announced
            && !self.quarantined
            && !self.draining
            && now >= self.starts_paused_until
            && now.since(self.last_contact) <= silence
    }

    /// Whether the machine [is schedulable](Self::is_schedulable) and its worker has seen a token of the
    /// tenure.
    #[must_use]
    pub fn is_schedulable_in(&self, tenure: Tenure, now: Millis, silence: Millis) -> bool {
        self.is_schedulable(now, silence) && self.worker_token.fencing_token() >= tenure.acquired
    }
}
