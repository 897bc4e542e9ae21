//! Workers: what they report, what they are told, and the evidence of where a task is.

pub mod client;
pub mod direct;
pub mod reachability;
pub mod reconcile;
pub mod wire;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

use crate::types::{
    AgentEpoch, Attempt, ControllerId, FencingToken, Image, JobId, MachineId, MachineTypeId,
    Millis, ShardId, TaskId, WorkerToken, Zone,
};
use reachability::Reachability;
use wire::{ExitCause, Heartbeat, TaskStage};

/// A task as its machine reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskObservation {
    pub attempt: Attempt,
    pub stage: TaskStage,
    pub cause: Option<ExitCause>,
}

/// An image in a machine's cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cached {
    pub used: Millis,
    pub gb: f64,
}

/// A machine as this controller knows it, from its worker's heartbeats or from another controller.
#[derive(Clone, Debug)]
pub struct Machine {
    pub machine_id: MachineId,
    pub machine_type: MachineTypeId,
    pub zone: Zone,
    pub spot: bool,
    pub shard: ShardId,
    pub agent_epoch: AgentEpoch,
    pub heartbeat_sequence: u64,
    /// The token that the worker had seen when it last reported to us.
    pub worker_token: WorkerToken,
    /// When the last heartbeat was received that we answered under a token of ours, and that token.
    pub answered: Option<(FencingToken, Millis)>,
    /// The token of ours that the worker was first known to have seen, and since when. Until then an
    /// earlier holder's answers may have renewed its lease.
    pub aware: Option<(FencingToken, Millis)>,
    /// When anybody last heard from the worker, and could take that for a sign of life.
    pub heard: Millis,
    /// When a heartbeat of its came last, and not only an answer to direct commands.
    pub reported: Millis,
    pub reachability: Reachability,
    /// Who heard.
    pub heard_by: ControllerId,
    pub tasks: BTreeMap<TaskId, TaskObservation>,
    pub warned: bool,
    /// Jobs whose tasks failed here since the last success.
    pub failed: BTreeMap<JobId, Failed>,
    pub quarantined: bool,
    /// The leader wants to return it.
    pub draining: bool,
    /// A start was refused for room: no more until then.
    pub refused_until: Millis,
    /// Where the worker takes commands directly.
    pub address: Option<SocketAddr>,
    pub direct: DirectChannel,
    /// Images in the cache.
    pub images: HashMap<Image, Cached>,
    /// Images that tasks placed here wait for, as far as we placed them.
    pub coming: HashMap<Image, Cached>,
}

/// Orders sent to a worker without waiting for its heartbeat.
#[derive(Clone, Debug, Default)]
pub struct DirectChannel {
    /// An exchange is under way.
    pub busy: bool,
    /// When we last asked for a sign of life.
    pub asked: Millis,
    /// More came up meanwhile.
    pub again: bool,
    /// Starts that were sent under this token and agent epoch and got no answer. The network may
    /// deliver them minutes later, so the worker may start these at any time, unless it knows
    /// the attempt already: such a task is not proved absent, and its attempt not forgotten.
    pub unacknowledged_starts: HashSet<(TaskId, Attempt)>,
    pub under: (FencingToken, AgentEpoch),
    /// Starts of the exchange that is under way.
    pub sent: Vec<(TaskId, Attempt)>,
    /// Starts in the answer to the last heartbeat. The worker's next heartbeat shows them, or that the
    /// answer was dropped; its answer to direct commands proves neither, since it may have been
    /// written before the heartbeat's answer came.
    pub piggybacked_starts: HashSet<(TaskId, Attempt)>,
}

impl DirectChannel {
    /// Whether a start may be on its way to the worker, unless its last heartbeat shows it.
    pub fn may_come(&self, task: &TaskId, attempt: Attempt) -> bool {
        let start = (task.clone(), attempt);
        self.unacknowledged_starts.contains(&start) || self.piggybacked_starts.contains(&start)
    }

    /// Whether a start was sent directly and may come minutes late.
    pub fn is_unacknowledged(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.unacknowledged_starts
            .contains(&(task.clone(), attempt))
    }

    /// Starts of an earlier token or agent epoch are refused by the worker, whenever they come.
    pub fn enter(&mut self, token: FencingToken, agent_epoch: AgentEpoch) {
        if self.under != (token, agent_epoch) {
            self.under = (token, agent_epoch);
            self.unacknowledged_starts.clear();
            self.piggybacked_starts.clear();
        }
    }
}

/// An image that is not here after this many times what its fetch takes by itself, and some
/// seconds, is not on its way: machines that fetch several share their rate.
pub const FETCHES_LAST: f64 = 4.0;
const FETCH_STARTS: f64 = 20.0;
/// A fetch whose end was not heard yet has at least this part to go.
const LEAST_LEFT: f64 = 0.1;

/// A machine is quarantined once tasks of this many jobs failed on it in a row.
const QUARANTINED_AFTER: usize = 2;
/// And after so many tries in a row that failed, though the jobs are suspect themselves: a job that
/// has nowhere else to go is tried on faulty machines again and again.
const QUARANTINED_AFTER_TRIES: u32 = 4;
/// Tasks that fail closer together were started together.
const ONE_TRY: Millis = Millis(5_000);

/// Tries of a job that failed on a machine in a row, and when the last of them did first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Failed {
    tries: u32,
    last: Millis,
}

impl Machine {
    pub fn new(
        machine_id: MachineId,
        machine_type: MachineTypeId,
        zone: Zone,
        spot: bool,
        shard: ShardId,
        by: ControllerId,
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
            answered: None,
            aware: None,
            heard: Millis(0),
            reported: Millis(0),
            reachability: Reachability::default(),
            heard_by: by,
            tasks: BTreeMap::new(),
            warned: false,
            failed: BTreeMap::new(),
            quarantined: false,
            draining: false,
            refused_until: Millis(0),
            address: None,
            direct: DirectChannel::default(),
            images: HashMap::default(),
            coming: HashMap::default(),
        }
    }

    /// Whether the heartbeat is newer than what is known. A late one is not: its list is old.
    pub fn newer(&self, agent_epoch: AgentEpoch, heartbeat_sequence: u64) -> bool {
        (agent_epoch, heartbeat_sequence) > (self.agent_epoch, self.heartbeat_sequence)
    }

    /// Takes in a heartbeat that is known to be newer. Only of a machine that hears us is it a sign of
    /// life.
    pub fn take_in(&mut self, heartbeat: &Heartbeat, now: Millis, by: &ControllerId) {
        self.agent_epoch = heartbeat.agent_epoch;
        self.heartbeat_sequence = heartbeat.heartbeat_sequence;
        self.worker_token = heartbeat.worker_token;
        if self.reachability.proved() || self.heard == Millis(0) {
            self.heard = now;
        }
        self.heard_by = by.clone();
        // That was its last holder's word. Kept, it shut sound machines out for ever.
        self.draining = false;
        self.address = heartbeat.address.parse().ok();
        self.warned = heartbeat.warning_s.is_some();
        self.tasks = heartbeat
            .tasks
            .iter()
            .filter_map(|status| {
                let seen = TaskObservation {
                    attempt: status.attempt,
                    stage: status.stage,
                    cause: status.cause,
                };
                Some((TaskId::parse(&status.task)?, seen))
            })
            .collect();
    }

    /// The worker has seen our token, by what it just said.
    pub fn note_aware(&mut self, token: FencingToken, now: Millis) {
        if self.worker_token.token() >= token && self.aware.is_none_or(|(seen, _)| seen != token) {
            self.aware = Some((token, now));
        }
    }

    /// Whether the worker's lease is over by our clock: nobody's answer has renewed it for so long.
    /// From when it saw our token it dropped all others' answers, and before that nobody can tell
    /// when it was answered last.
    pub fn lease_over(&self, token: FencingToken, lease: Millis, now: Millis) -> bool {
        let since = |at: &Option<(FencingToken, Millis)>| at.filter(|(under, _)| *under == token);
        let Some((_, aware)) = since(&self.aware) else {
            return false;
        };
        let renewed = since(&self.answered).map_or(aware, |(_, answered)| answered.max(aware));
        now.since(renewed) > lease
    }

    /// Whether a heartbeat shows any of the starts that rode on the answer to the last one; none: there
    /// were none, or the worker began anew since.
    pub fn obeyed(&self, heartbeat: &Heartbeat) -> Option<bool> {
        let piggybacked_starts = &self.direct.piggybacked_starts;
        if piggybacked_starts.is_empty() || heartbeat.agent_epoch != self.agent_epoch {
            return None;
        }
        let shown = |status: &wire::TaskStatus| {
            let start = TaskId::parse(&status.task).map(|task| (task, status.attempt));
            start.is_some_and(|start| piggybacked_starts.contains(&start))
        };
        Some(heartbeat.tasks.iter().any(shown))
    }

    /// An image was used just now. The cache keeps the most recently used ones: those that fell
    /// out must not draw tasks here. Whether that changes which images are there, or on their way.
    pub fn note_image(&mut self, image: &Image, gb: f64, cache_gb: f64, now: Millis) -> bool {
        let used = Cached { used: now, gb };
        let came = self.coming.remove(image).is_some();
        if self.images.insert(image.clone(), used).is_some() {
            return came;
        }
        let size = |images: &HashMap<Image, Cached>| images.values().map(|c| c.gb).sum::<f64>();
        while self.images.len() > 1 && size(&self.images) > cache_gb {
            let oldest = self
                .images
                .iter()
                .min_by_key(|(image, cached)| (cached.used, *image))
                .map(|(image, _)| image.clone());
            let Some(oldest) = oldest else { break };
            self.images.remove(&oldest);
        }
        true
    }

    /// A task that waits for an image was placed here.
    pub fn expect_image(&mut self, image: &Image, gb: f64, now: Millis) {
        if !self.images.contains_key(image) {
            let coming = Cached { used: now, gb };
            self.coming.entry(image.clone()).or_insert(coming);
        }
    }

    /// Forgets images that are here by now, or were given up.
    pub fn forget_fetches(&mut self, rate: f64, now: Millis) {
        let all_gb: f64 = self.coming.values().map(|coming| coming.gb).sum();
        let most = Millis::from_secs(FETCH_STARTS + FETCHES_LAST * all_gb / rate);
        let images = &self.images;
        self.coming
            .retain(|image, coming| !images.contains_key(image) && now.since(coming.used) < most);
    }

    /// Seconds until an image would be here, with `rate` gigabytes a second shared by all fetches.
    pub fn image_s(&self, image: &Image, gb: f64, rate: f64, now: Millis) -> f64 {
        if self.images.contains_key(image) {
            return 0.0;
        }
        let each = rate / self.coming.len().max(1) as f64;
        let left = |coming: &Cached| {
            let done = now.since(coming.used).secs() * each;
            (coming.gb - done).max(coming.gb * LEAST_LEFT)
        };
        let own = self.coming.get(image).map_or(gb, left);
        // Of each other fetch as much comes meanwhile as of this one.
        let others = self.coming.iter().filter(|(other, _)| *other != image);
        let all: f64 = others.map(|(_, coming)| left(coming).min(own)).sum();
        (own + all) / rate
    }

    /// Fit for new tasks, as far as its own condition goes.
    pub fn fit(&self, now: Millis, silence: Millis) -> bool {
        self.reachability.proved()
            && !self.warned
            && !self.quarantined
            && !self.draining
            && now >= self.refused_until
            && now.since(self.heard) <= silence
    }

    pub fn note_failure(&mut self, job: &JobId, now: Millis) {
        let failed = self.failed.entry(job.clone()).or_default();
        if failed.tries == 0 || now.since(failed.last) > ONE_TRY {
            failed.tries += 1;
            failed.last = now;
        }
    }

    /// Decides anew whether it is the machine that fails tasks, or the jobs. Two jobs with a mistake
    /// would else take any sound machine that they are tried on.
    pub fn judge(&mut self, suspect: impl Fn(&JobId) -> bool) {
        let sound = self.failed.keys().filter(|job| !suspect(job)).count();
        let tries: u32 = self.failed.values().map(|failed| failed.tries).sum();
        self.quarantined = sound >= QUARANTINED_AFTER || tries >= QUARANTINED_AFTER_TRIES;
    }

    pub fn note_success(&mut self) {
        self.failed.clear();
        self.quarantined = false;
    }
}

/// Which shard of its zone a machine belongs to: fixed by its name, so that all agree.
pub fn shard_of(machine_id: &MachineId, zone: &Zone, parts: u32) -> ShardId {
    let digits: String = machine_id
        .as_str()
        .chars()
        .filter(char::is_ascii_digit)
        .collect();
    let number: u64 = digits.parse().unwrap_or_else(|_| {
        machine_id.as_str().bytes().fold(0u64, |sum, b| {
            sum.wrapping_mul(31).wrapping_add(u64::from(b))
        })
    });
    ShardId {
        zone: zone.clone(),
        part: (number % u64::from(parts.max(1))) as u32,
    }
}

#[cfg(test)]
mod tests;
