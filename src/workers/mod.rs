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
    Attempt, Baton, BlockId, HostId, Image, JobId, Millis, NodeId, Session, Sku, TaskId, Token,
    Zone,
};
use reachability::Hearing;
use wire::{Cause, Report, TaskStage};

/// A task as its machine reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    pub attempt: Attempt,
    pub stage: TaskStage,
    pub cause: Option<Cause>,
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
    pub host: HostId,
    pub rig: Sku,
    pub zone: Zone,
    pub spot: bool,
    pub block: BlockId,
    pub session: Session,
    pub tally: u64,
    /// The token that the worker had seen when it last reported to us.
    pub baton: Baton,
    /// When the last heartbeat was received that we answered under a token of ours, and that token.
    pub answered: Option<(Token, Millis)>,
    /// The token of ours that the worker was first known to have seen, and since when. Until then an
    /// earlier holder's answers may have renewed its lease.
    pub aware: Option<(Token, Millis)>,
    /// When anybody last heard from the worker, and could take that for a sign of life.
    pub heard: Millis,
    /// When a heartbeat of its came last, and not only an answer to direct commands.
    pub reported: Millis,
    pub hearing: Hearing,
    /// Who heard.
    pub heard_by: NodeId,
    pub tasks: BTreeMap<TaskId, Seen>,
    pub warned: bool,
    /// Jobs whose tasks failed here since the last success.
    pub failed: BTreeMap<JobId, Failed>,
    pub sick: bool,
    /// The leader wants to return it.
    pub draining: bool,
    /// A start was refused for room: no more until then.
    pub refused_until: Millis,
    /// Where the worker takes commands directly.
    pub address: Option<SocketAddr>,
    pub direct: Direct,
    /// Images in the cache.
    pub images: HashMap<Image, Cached>,
    /// Images that tasks placed here wait for, as far as we placed them.
    pub coming: HashMap<Image, Cached>,
}

/// Orders sent to a worker without waiting for its heartbeat.
#[derive(Clone, Debug, Default)]
pub struct Direct {
    /// An exchange is under way.
    pub busy: bool,
    /// When we last asked for a sign of life.
    pub asked: Millis,
    /// More came up meanwhile.
    pub again: bool,
    /// Starts that were sent under this token and agent epoch and got no answer. The network may
    /// deliver them minutes later, so the worker may start these at any time, unless it knows
    /// the attempt already: such a task is not proved absent, and its attempt not forgotten.
    pub loose: HashSet<(TaskId, Attempt)>,
    pub under: (Token, Session),
    /// Starts of the exchange that is under way.
    pub sent: Vec<(TaskId, Attempt)>,
    /// Starts in the answer to the last heartbeat. The worker's next heartbeat shows them, or that the
    /// answer was dropped; its answer to direct commands proves neither, since it may have been
    /// written before the heartbeat's answer came.
    pub riding: HashSet<(TaskId, Attempt)>,
}

impl Direct {
    /// Whether a start may be on its way to the worker, unless its last heartbeat shows it.
    pub fn may_come(&self, task: &TaskId, attempt: Attempt) -> bool {
        let start = (task.clone(), attempt);
        self.loose.contains(&start) || self.riding.contains(&start)
    }

    /// Whether a start was sent directly and may come minutes late.
    pub fn is_loose(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.loose.contains(&(task.clone(), attempt))
    }

    /// Starts of an earlier token or agent epoch are refused by the worker, whenever they come.
    pub fn enter(&mut self, token: Token, session: Session) {
        if self.under != (token, session) {
            self.under = (token, session);
            self.loose.clear();
            self.riding.clear();
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
const SICK_AFTER: usize = 2;
/// And after so many tries in a row that failed, though the jobs are suspect themselves: a job that
/// has nowhere else to go is tried on faulty machines again and again.
const SICK_AFTER_TRIES: u32 = 4;
/// Tasks that fail closer together were started together.
const ONE_TRY: Millis = Millis(5_000);

/// Tries of a job that failed on a machine in a row, and when the last of them did first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Failed {
    tries: u32,
    last: Millis,
}

impl Machine {
    pub fn new(host: HostId, rig: Sku, zone: Zone, spot: bool, block: BlockId, by: NodeId) -> Self {
        Self {
            host,
            rig,
            zone,
            spot,
            block,
            session: Session(0),
            tally: 0,
            baton: Baton(0),
            answered: None,
            aware: None,
            heard: Millis(0),
            reported: Millis(0),
            hearing: Hearing::default(),
            heard_by: by,
            tasks: BTreeMap::new(),
            warned: false,
            failed: BTreeMap::new(),
            sick: false,
            draining: false,
            refused_until: Millis(0),
            address: None,
            direct: Direct::default(),
            images: HashMap::default(),
            coming: HashMap::default(),
        }
    }

    /// Whether the heartbeat is newer than what is known. A late one is not: its list is old.
    pub fn newer(&self, session: Session, tally: u64) -> bool {
        (session, tally) > (self.session, self.tally)
    }

    /// Takes in a heartbeat that is known to be newer. Only of a machine that hears us is it a sign of
    /// life.
    pub fn take_in(&mut self, report: &Report, now: Millis, by: &NodeId) {
        self.session = report.shift;
        self.tally = report.tally;
        self.baton = report.baton;
        if self.hearing.proved() || self.heard == Millis(0) {
            self.heard = now;
        }
        self.heard_by = by.clone();
        // That was its last holder's word. Kept, it shut sound machines out for ever.
        self.draining = false;
        self.address = report.address.parse().ok();
        self.warned = report.warning_s.is_some();
        self.tasks = report
            .picks
            .iter()
            .filter_map(|pick| {
                let seen = Seen {
                    attempt: pick.attempt,
                    stage: pick.stage,
                    cause: pick.cause,
                };
                Some((TaskId::parse(&pick.pick)?, seen))
            })
            .collect();
    }

    /// The worker has seen our token, by what it just said.
    pub fn note_aware(&mut self, token: Token, now: Millis) {
        if self.baton.token() >= token && self.aware.is_none_or(|(seen, _)| seen != token) {
            self.aware = Some((token, now));
        }
    }

    /// Whether the worker's lease is over by our clock: nobody's answer has renewed it for so long.
    /// From when it saw our token it dropped all others' answers, and before that nobody can tell
    /// when it was answered last.
    pub fn lease_over(&self, token: Token, lease: Millis, now: Millis) -> bool {
        let since = |at: &Option<(Token, Millis)>| at.filter(|(under, _)| *under == token);
        let Some((_, aware)) = since(&self.aware) else {
            return false;
        };
        let renewed = since(&self.answered).map_or(aware, |(_, answered)| answered.max(aware));
        now.since(renewed) > lease
    }

    /// Whether a heartbeat shows any of the starts that rode on the answer to the last one; none: there
    /// were none, or the worker began anew since.
    pub fn obeyed(&self, report: &Report) -> Option<bool> {
        let riding = &self.direct.riding;
        if riding.is_empty() || report.shift != self.session {
            return None;
        }
        let shown = |pick: &wire::Pick| {
            let start = TaskId::parse(&pick.pick).map(|task| (task, pick.attempt));
            start.is_some_and(|start| riding.contains(&start))
        };
        Some(report.picks.iter().any(shown))
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
        self.hearing.proved()
            && !self.warned
            && !self.sick
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
        self.sick = sound >= SICK_AFTER || tries >= SICK_AFTER_TRIES;
    }

    pub fn note_success(&mut self) {
        self.failed.clear();
        self.sick = false;
    }
}

/// Which shard of its zone a machine belongs to: fixed by its name, so that all agree.
pub fn block_of(host: &HostId, zone: &Zone, parts: u32) -> BlockId {
    let digits: String = host.as_str().chars().filter(char::is_ascii_digit).collect();
    let number: u64 = digits.parse().unwrap_or_else(|_| {
        host.as_str().bytes().fold(0u64, |sum, b| {
            sum.wrapping_mul(31).wrapping_add(u64::from(b))
        })
    });
    BlockId {
        zone: zone.clone(),
        part: (number % u64::from(parts.max(1))) as u32,
    }
}

#[cfg(test)]
mod tests;
