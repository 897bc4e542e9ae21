//! One scheduling cycle as pure functions: filter, score, and which checks rejected.

pub mod index;

use std::collections::{BTreeMap, BTreeSet};

use crate::jobs::JobSpec;
use crate::jobs::cache::Job;
use crate::queue::Check;
use crate::types::{MachineId, Resources, ShardId, Zone};
use crate::workers::Machine;

/// A machine as the cycle sees it.
pub struct Candidate<'a> {
    pub machine: &'a Machine,
    pub capacity: Resources,
    pub available: Resources,
    /// Nothing here but work that gives way to urgent work: as good as an empty machine.
    pub yielding: bool,
    /// Seconds until the job's image would be here: fetches share the machine's rate.
    pub image_s: f64,
    /// Seconds that its fetch takes here by itself.
    pub fetch_s: f64,
    /// The part of the machine that is taken by work that does not give way.
    pub firm: f64,
}

/// Weights of the scores; each score but that of seconds lies between 0 and 1.
const IMAGE: f64 = 1.0;
/// What a second less until the image is there is worth, against the scores that save machines.
const FETCH_SECOND: f64 = 0.4;
const FULLNESS: f64 = 2.0;
const SPOT: f64 = 1.5;
/// Small lasting tasks keep apart where fetches are slow: a machine full of them has images that
/// nobody else can use. For a whole machine taken, so much for each second of a fetch.
const APART_SECOND: f64 = 0.4;
/// Tasks that end soon and have to fetch spread over machines where that is slow: later ones find
/// their image on more machines. For a whole machine taken, so much for each second of a fetch.
const COLD_SECOND: f64 = 0.08;
const UNTRIED: f64 = 4.0;
/// Small lasting tasks keep off machines that urgent work may want whole.
const WHOLE: f64 = 2.5;

/// A task of a job that looks for a machine. What holds for all machines is worked out once.
pub struct PlacementRequest<'a> {
    pub job: &'a Job,
    /// Where the job's tasks are; only for jobs whose zones depend on it.
    zones: BTreeMap<Zone, u32>,
    /// Shards where the team's share is used up.
    full: Vec<ShardId>,
    /// Empty machines are not for it: no more stand ready than urgent work needs.
    pub avoids_empty_machines: bool,
}

impl<'a> PlacementRequest<'a> {
    pub fn new(job: &'a Job, full: Vec<ShardId>) -> Self {
        let tied = job.spec.one_zone || job.spec.spread;
        let zones = if tied { job.zones() } else { BTreeMap::new() };
        Self {
            job,
            zones,
            full,
            avoids_empty_machines: false,
        }
    }

    /// Whether the machine's zone and shard are open to the job.
    pub fn allows(&self, machine: &Machine) -> bool {
        self.closes(&machine.shard).is_none()
    }

    /// Why no machine of a shard is open to the job, if none is.
    pub fn closes(&self, shard: &ShardId) -> Option<Check> {
        if !self.zone_allowed(&shard.zone) {
            return Some(Check::Zones);
        }
        self.full.contains(shard).then_some(Check::ShardQuota)
    }

    /// `oneZone` counts tasks of old attempts too, until they are proven gone; so does `spread`.
    pub fn zone_allowed(&self, zone: &Zone) -> bool {
        let spec = &self.job.spec;
        if spec.one_zone && self.zones.keys().any(|z| z != zone) {
            return false;
        }
        !spec.spread || self.zones.get(zone).copied().unwrap_or(0) < spec.zone_share()
    }
}

/// Why a machine is not for this task; `None` if it is.
pub fn filter(asking: &PlacementRequest, candidate: &Candidate) -> Option<Check> {
    let (spec, machine) = (&asking.job.spec, candidate.machine);
    if !spec.resources.fits_in(candidate.available) {
        let ever = spec.resources.fits_in(candidate.capacity)
            && spec.allows(&machine.machine_type, &machine.zone, machine.spot);
        return Some(if ever {
            Check::Resources
        } else {
            Check::Machine
        });
    }
    if !spec.allows(&machine.machine_type, &machine.zone, machine.spot) {
        return Some(Check::Machine);
    }
    if let Some(check) = asking.closes(&machine.shard) {
        return Some(check);
    }
    if asking.avoids_empty_machines && candidate.available == candidate.capacity {
        return Some(Check::Resources);
    }
    None
}

/// The weighted sum of the scores.
pub fn score(spec: &JobSpec, candidate: &Candidate, failed_here: bool) -> f64 {
    let machine = candidate.machine;
    let cached = machine.images.contains_key(&spec.image);
    let used = candidate
        .capacity
        .minus(candidate.available)
        .plus(spec.resources);
    let spot_fits = machine.spot == spec.spot;
    let as_score = |yes: bool| f64::from(u8::from(yes));
    let lasts = !spec.yields() && spec.resources.share_of(candidate.capacity) < 0.5;
    let breaks = candidate.yielding && lasts;
    let spreads =
        as_score(spec.yields() && !cached) * used.share_of(candidate.capacity) * candidate.fetch_s;
    let crowds = as_score(lasts) * candidate.firm * candidate.fetch_s;
    IMAGE * as_score(cached) - FETCH_SECOND * candidate.image_s
        + FULLNESS * used.share_of(candidate.capacity)
        + SPOT * as_score(spot_fits)
        + UNTRIED * as_score(!failed_here)
        + WHOLE * as_score(!breaks)
        - APART_SECOND * crowds
        - COLD_SECOND * spreads
}

/// The choice among candidates that come one by one.
pub struct Choice<'a> {
    rejected: BTreeSet<Check>,
    best: Option<(f64, &'a MachineId)>,
}

impl Default for Choice<'_> {
    fn default() -> Self {
        Self {
            rejected: BTreeSet::from([Check::Machine]),
            best: None,
        }
    }
}

impl<'a> Choice<'a> {
    /// Notes that machines were passed over for this.
    pub fn reject(&mut self, check: Check) {
        self.rejected.insert(check);
    }

    /// Looks at a candidate; whether it would do.
    pub fn consider(&mut self, asking: &PlacementRequest, candidate: &Candidate<'a>) -> bool {
        if let Some(check) = filter(asking, candidate) {
            self.reject(check);
            return false;
        }
        let (job, machine) = (asking.job, candidate.machine);
        let score = score(&job.spec, candidate, machine.failed.contains_key(&job.id));
        let better = |(high, machine_id): (f64, &MachineId)| {
            score > high || (score == high && machine.machine_id < *machine_id)
        };
        if self.best.is_none_or(better) {
            self.best = Some((score, &machine.machine_id));
        }
        true
    }

    /// The best machine, or the checks that rejected all.
    pub fn made(self) -> Result<MachineId, BTreeSet<Check>> {
        self.best
            .map(|(_, machine_id)| machine_id.clone())
            .ok_or(self.rejected)
    }
}

#[cfg(test)]
mod tests;
