//! One scheduling cycle as pure functions: filter, score, and which checks rejected.

use std::collections::{BTreeMap, BTreeSet};

use crate::jobs::Spec;
use crate::jobs::cache::Job;
use crate::queue::Check;
use crate::types::{BlockId, HostId, Room, Zone};
use crate::workers::Machine;

/// A machine as the cycle sees it.
pub struct Candidate<'a> {
    pub machine: &'a Machine,
    pub whole: Room,
    pub free: Room,
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
pub struct Asking<'a> {
    pub job: &'a Job,
    /// Where the job's tasks are; only for jobs whose zones depend on it.
    zones: BTreeMap<Zone, u32>,
    /// Blocks where the team's share is used up.
    full: Vec<BlockId>,
    /// Empty machines are not for it: no more stand ready than urgent work needs.
    pub keeps_off_empty: bool,
}

impl<'a> Asking<'a> {
    pub fn new(job: &'a Job, full: Vec<BlockId>) -> Self {
        let tied = job.spec.one_zone || job.spec.spread;
        let zones = if tied { job.zones() } else { BTreeMap::new() };
        Self {
            job,
            zones,
            full,
            keeps_off_empty: false,
        }
    }

    /// Whether the machine's zone and block are open to the job.
    pub fn allows(&self, machine: &Machine) -> bool {
        self.zone_allowed(&machine.zone) && !self.full.contains(&machine.block)
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
pub fn filter(asking: &Asking, candidate: &Candidate) -> Option<Check> {
    let (spec, machine) = (&asking.job.spec, candidate.machine);
    if !spec.room.fits_in(candidate.free) {
        let ever = spec.room.fits_in(candidate.whole)
            && spec.allows(&machine.rig, &machine.zone, machine.spot);
        return Some(if ever { Check::Room } else { Check::Machine });
    }
    if !spec.allows(&machine.rig, &machine.zone, machine.spot) {
        return Some(Check::Machine);
    }
    if !asking.zone_allowed(&machine.zone) {
        return Some(Check::Zones);
    }
    if asking.full.contains(&machine.block) {
        return Some(Check::Share);
    }
    if asking.keeps_off_empty && candidate.free == candidate.whole {
        return Some(Check::Room);
    }
    None
}

/// The weighted sum of the scores.
pub fn score(spec: &Spec, candidate: &Candidate, failed_here: bool) -> f64 {
    let machine = candidate.machine;
    let cached = machine.images.contains_key(&spec.image);
    let used = candidate.whole.minus(candidate.free).plus(spec.room);
    let spot_fits = machine.spot == spec.spot;
    let as_score = |yes: bool| f64::from(u8::from(yes));
    let lasts = !spec.yields() && spec.room.share_of(candidate.whole) < 0.5;
    let breaks = candidate.yielding && lasts;
    let spreads =
        as_score(spec.yields() && !cached) * used.share_of(candidate.whole) * candidate.fetch_s;
    let crowds = as_score(lasts) * candidate.firm * candidate.fetch_s;
    IMAGE * as_score(cached) - FETCH_SECOND * candidate.image_s
        + FULLNESS * used.share_of(candidate.whole)
        + SPOT * as_score(spot_fits)
        + UNTRIED * as_score(!failed_here)
        + WHOLE * as_score(!breaks)
        - APART_SECOND * crowds
        - COLD_SECOND * spreads
}

/// The best machine, or the checks that rejected all.
pub fn choose<'a>(
    asking: &Asking,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Result<HostId, BTreeSet<Check>> {
    let job = asking.job;
    let mut rejected = BTreeSet::from([Check::Machine]);
    let mut best: Option<(f64, &'a HostId)> = None;
    for candidate in candidates {
        match filter(asking, &candidate) {
            Some(check) => {
                rejected.insert(check);
            }
            None => {
                let machine = candidate.machine;
                let score = score(&job.spec, &candidate, machine.failed.contains_key(&job.id));
                if best.is_none_or(|(high, host)| {
                    score > high || (score == high && machine.host < *host)
                }) {
                    best = Some((score, &machine.host));
                }
            }
        }
    }
    best.map(|(_, host)| host.clone()).ok_or(rejected)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::jobs::Rank;
    use crate::jobs::api::{parse, tests::body};
    use crate::types::BlockId;

    fn room(gpus: f64) -> Room {
        Room {
            cpus: gpus * 6.0,
            gpus,
            memory_gb: gpus * 20.0,
        }
    }

    /// Array tasks that had to fetch filled machines four at a time, and a minute's fetch served one
    /// machine; those that find their image still fill machines.
    #[test]
    fn tasks_that_fetch_slowly_spread() {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.shape, spec.rank) = (crate::jobs::Shape::Array, Rank::Normal);
        (spec.room, spec.image_gb, spec.checkpoint_s) = (room(1.0), 7.0, 15.0);
        assert!(spec.yields());
        let cases = [
            // gigabytes a second, cached, fills
            (0.8, false, true),
            (0.5, false, true),
            (0.12, false, false),
            (0.12, true, true),
        ];
        for (rate, cached, fills) in cases {
            let block = BlockId::parse("a.0").unwrap();
            let (rig, zone) = ("g4".into(), "a".into());
            let mut machine = Machine::new("vm-1".into(), rig, zone, false, block, "n0".into());
            if cached {
                machine.note_image(&spec.image, 7.0, 80.0, crate::types::Millis(0));
            }
            let fetch_s = spec.image_gb / rate;
            let at = |taken: f64| Candidate {
                machine: &machine,
                whole: room(4.0),
                free: room(4.0 - taken),
                yielding: true,
                image_s: if cached { 0.0 } else { fetch_s },
                fetch_s,
                firm: 0.0,
            };
            let (beside, alone) = (score(&spec, &at(2.0), false), score(&spec, &at(0.0), false));
            assert_eq!(beside > alone, fills, "{rate} GB/s: {beside}, {alone}");
        }
    }

    /// Guests' arrays of the lowest rank filled every machine that stood ready: gangs waited for them to
    /// save (started in 30 s 0.87, then 0.97).
    #[test]
    fn who_keeps_off_empty_machines_finds_room_beside_others() {
        let (jobs, id) = crate::jobs::cache::tests::jobs(1, &[]);
        let job = jobs.get(&id).unwrap();
        let block = BlockId::parse("a.0").unwrap();
        let (host, rig, zone) = ("vm-1".into(), "g8".into(), "a".into());
        let machine = &Machine::new(host, rig, zone, false, block, "n0".into());
        for (keeps_off, taken, rejected) in [
            (false, 0.0, None),
            (true, 0.0, Some(Check::Room)),
            (true, 1.0, None),
        ] {
            let mut asking = Asking::new(job, Vec::new());
            asking.keeps_off_empty = keeps_off;
            let whole = room(64.0);
            let candidate = Candidate {
                machine,
                whole,
                free: whole.minus(room(taken)),
                yielding: true,
                image_s: 0.0,
                fetch_s: 1.0,
                firm: 0.0,
            };
            assert_eq!(
                filter(&asking, &candidate),
                rejected,
                "{keeps_off}, {taken}"
            );
        }
    }

    /// Replicas filled machines four at a time, so where an image took a minute to fetch, all the
    /// machines that had it were full of work that never gives way, and each new replica fetched.
    #[test]
    fn replicas_share_machines_only_where_fetches_are_quick() {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.shape, spec.rank) = (crate::jobs::Shape::Service, Rank::Critical);
        (spec.room, spec.image_gb) = (room(1.0), 7.0);
        let block = BlockId::parse("a.0").unwrap();
        let machine = |host: &str| {
            let (rig, zone) = ("g4".into(), "a".into());
            Machine::new(host.into(), rig, zone, false, block.clone(), "n0".into())
        };
        let (empty, used) = (machine("vm-2"), machine("vm-1"));
        let cases = [(0.8, true), (0.5, true), (0.12, false)];
        for (rate, shares) in cases {
            let fetch_s = spec.image_gb / rate;
            let at = |machine, taken: f64| Candidate {
                machine,
                whole: room(4.0),
                free: room(4.0 - taken),
                yielding: taken == 0.0,
                image_s: fetch_s,
                fetch_s,
                firm: taken / 4.0,
            };
            let beside = score(&spec, &at(&used, 1.0), false);
            let alone = score(&spec, &at(&empty, 0.0), false);
            assert_eq!(beside > alone, shares, "{rate} GB/s: {beside}, {alone}");
        }
    }
}
