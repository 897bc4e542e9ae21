//! Preemption, the post-filter of the cycle: whom to stop so that a task, or a gang, finds room.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap as HashMap;

use super::candidates::Scope;
use super::{Controller, Effect};
use crate::cycle::PlacementRequest;
use crate::cycle::index::{Group, ImageFilter};
use crate::fleet::fetch_rate;
use crate::jobs::JobKind;
use crate::jobs::cache::Job;
use crate::peers::Message;
use crate::preempt::{self, PreemptionOffer, Site, Victim};
use crate::quota;
use crate::types::{JobId, MachineId, Millis, Resources, TaskId, Zone};
use crate::workers::Machine;
use crate::workers::reconcile::Stop;

/// A guarantee takes room from another team's replicas after its job waited this long.
const REPLICAS_GIVE_WAY: Millis = Millis(20_000);
/// Room is kept this long for the job that it was made for.
const NOMINATED: Millis = Millis(20_000);

/// Of one group of machines so many are weighed on which room could be made, or as many as a gang has tasks.
const MOST_SITES: usize = 64;
/// So many full ones of all groups together are asked whether enough on them could be stopped, and of each
/// group at least so many, those with most free first.
const MOST_LOOKED: usize = 2_048;
const LEAST_LOOKED: usize = 64;

/// Where room may be made.
pub(super) enum PreemptionScope {
    /// On this machine of ours.
    On(MachineId),
    /// Where the job would start soonest, if that is by stopping work rather than by a fetch.
    Quickest,
    Anywhere,
}

/// How far machines are searched for room.
struct Search {
    /// The job lies within its team's guarantee.
    guaranteed: bool,
    /// Work of any priority may give way to it.
    borrowed: bool,
    /// Machines of a group that are weighed.
    sites: usize,
    /// And full ones of it that are looked at.
    looked: usize,
}

impl Controller {
    /// Whether a task may be stopped for the job, by priority or by the teams' flat guarantees.
    /// With a tree of quotas its teams may be stopped as far as that allows; the ledger judges it.
    pub(super) fn may_stop(&self, job: &Job, guaranteed: bool, victim: &Job) -> (bool, bool) {
        let lower = victim.spec.priority < job.spec.priority;
        // Work beyond its team's guarantee gives way to another team's guarantee; replicas only
        // when nothing else made room for a while.
        let patient = self.now.since(job.settled) > REPLICAS_GIVE_WAY;
        let gives = guaranteed
            && (victim.spec.kind != JobKind::Service || patient)
            && victim.spec.team != job.spec.team;
        let nested = self.in_tree(&job.spec.team) && self.in_tree(&victim.spec.team);
        let flat = || {
            self.settings.team(&victim.spec.team).is_some_and(|team| {
                let left = self.jobs.usage(&team.name).minus(victim.spec.resources);
                !quota::guaranteed(left, team)
            })
        };
        (lower || gives && !nested && flat(), gives && nested)
    }

    /// Seconds that stopping a task wastes: saving, or its work so far, and starting it again.
    pub(super) fn waste(&self, victim: &Job) -> f64 {
        let spec = &victim.spec;
        let capacity = self.autoscaler.type_specs.first().map(|f| f.resources);
        let share = victim
            .spec
            .resources
            .share_of(capacity.unwrap_or(victim.spec.resources));
        let lost = if spec.cheap_to_kill() {
            spec.checkpoint_s / 2.0 + 2.0
        } else if spec.checkpoint_s > 0.0 {
            spec.save_s + 5.0
        } else {
            spec.estimate_s.max(120.0)
        };
        // One that is late, or long, can afford it least.
        let age = self.now.since(victim.born).secs();
        let late = (age + spec.estimate_s) / spec.due_s.unwrap_or(600.0).max(1.0);
        lost * share * (0.5 + late)
    }

    /// Stops work of lower order on the machine where that wastes least, and keeps its room for
    /// the job. The leader looks at the whole fleet and leaves the stopping to the machine's
    /// holder.
    pub(super) fn preempt(&mut self, id: &JobId, place: PreemptionScope) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let guaranteed = !self.order(job).beyond_guarantee;
        let sites = match &place {
            PreemptionScope::On(machine_id) => self
                .site_on(job, guaranteed, machine_id)
                .into_iter()
                .collect(),
            PreemptionScope::Quickest | PreemptionScope::Anywhere => self.sites(job, guaranteed),
        };
        let resources = job.spec.resources;
        let most = match &place {
            PreemptionScope::Anywhere => Self::claims(job),
            PreemptionScope::On(_) | PreemptionScope::Quickest => 1,
        };
        let offers = match self.ledger(job) {
            Some(ledger) => {
                let offers = ledger.clone().plan(resources, sites.clone(), most);
                if offers.is_empty() && !matches!(place, PreemptionScope::Quickest) {
                    let gathered = self.gather(id, ledger, &sites);
                    let asked = matches!(place, PreemptionScope::On(_));
                    return gathered.is_some_and(|gathered| {
                        (asked || self.may_gather(id)) && self.gather_on(id, gathered)
                    });
                }
                offers
            }
            None => preempt::choose(resources, sites).into_iter().collect(),
        };
        let Some(first) = offers.first() else {
            return false;
        };
        if matches!(place, PreemptionScope::Quickest) && first.victims.is_empty() {
            return false;
        }
        let several = offers.len() > 1;
        let until = self.now + self.kept_for(id, &offers).unwrap_or(NOMINATED);
        for PreemptionOffer {
            machine_id,
            victims,
            ..
        } in offers
        {
            tracing::info!(job = %id, %machine_id, ?victims, "preempting");
            self.scheduler
                .nominations
                .add(id, &machine_id, resources, until);
            match self.machines.get(&machine_id) {
                Some(machine) if !self.ours(machine) => {
                    let to = machine.heard_by.clone();
                    let (job, machine_id) = (id.to_string(), machine_id.to_string());
                    let message = if several {
                        Message::MakeRoom { job, machine_id }
                    } else {
                        let preempt = Some(machine_id);
                        Message::Place { job, preempt }
                    };
                    self.effects.push(Effect::Peer { to, message });
                }
                _ => self.stop_victims(&machine_id, victims),
            }
        }
        true
    }

    pub(super) fn stop_victims(&mut self, machine_id: &MachineId, victims: Vec<TaskId>) {
        for task in victims {
            let attempt = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.task(task.index).placement())
                .map(|placement| placement.attempt);
            let save = !self
                .jobs
                .get(&task.job)
                .is_some_and(|j| j.spec.cheap_to_kill());
            if let Some(attempt) = attempt {
                self.scheduler.stops.insert(task, Stop { attempt, save });
            }
        }
        self.push_commands(machine_id);
    }

    /// Where a gang would start soonest, all in one zone if it must: on machines that are free, and
    /// on those where stopping lower work wastes less than a fetch.
    pub(super) fn gang_offers(&self, id: &JobId) -> Option<Vec<PreemptionOffer>> {
        let job = self.jobs.get(id)?;
        let guaranteed = !self.order(job).beyond_guarantee;
        let (resources, count) = (job.spec.resources, job.record.tasks as usize);
        let asking = PlacementRequest::new(job, self.full_shards(job, Some(job.record.tasks)));
        let mut zones: BTreeMap<Option<&Zone>, Vec<Site>> = BTreeMap::new();
        let mut groups = self.groups(job, Scope::All, None);
        groups.retain(|group| asking.closes(&group.shard).is_none());
        let search = self.search(job, guaranteed, groups.len(), count);
        for group in groups {
            let zone = job.spec.one_zone.then_some(group.zone());
            let sites = zones.entry(zone).or_default();
            sites.extend(self.sites_of(job, &search, group));
        }
        let ledger = self.ledger(job);
        let sets = zones.into_values().map(|sites| match &ledger {
            Some(ledger) => ledger.clone().plan_all(resources, sites, count),
            None => {
                let offers = sites
                    .iter()
                    .filter_map(|site| preempt::offer(resources, site));
                offers.collect()
            }
        });
        preempt::cheapest_set(sets, count)
    }

    /// Makes room for all tasks of a gang. Each machine's holder does it and keeps the room.
    pub(super) fn make_room_for_gang(&mut self, id: &JobId) -> bool {
        let Some(offers) = self.gang_offers(id) else {
            return false;
        };
        let Some(resources) = self.jobs.get(id).map(|job| job.spec.resources) else {
            return false;
        };
        tracing::info!(job = %id, machine_ids = ?offers.iter().map(|o| &o.machine_id).collect::<Vec<_>>(),
            "preempting for gang");
        let until = self.now + NOMINATED;
        for offer in offers {
            self.scheduler
                .nominations
                .add(id, &offer.machine_id, resources, until);
            match self.machines.get(&offer.machine_id) {
                Some(machine) if !self.ours(machine) => {
                    let to = machine.heard_by.clone();
                    let (job, machine_id) = (id.to_string(), offer.machine_id.to_string());
                    let message = Message::MakeRoom { job, machine_id };
                    self.effects.push(Effect::Peer { to, message });
                }
                _ => self.stop_victims(&offer.machine_id, offer.victims),
            }
        }
        true
    }

    /// A machine of ours as a place where room could be made.
    fn site_on(&self, job: &Job, guaranteed: bool, machine_id: &MachineId) -> Option<Site> {
        let asking = PlacementRequest::new(job, Vec::new());
        let machine = self.machines.get(machine_id).filter(|m| {
            self.ours(m)
                && job.spec.allows(&m.machine_type, &m.zone, m.spot)
                && asking.zone_allowed(&m.zone)
        })?;
        Some(self.site(job, guaranteed, machine))
    }

    /// Machines where room could be made for one task of the job.
    fn sites(&self, job: &Job, guaranteed: bool) -> Vec<Site> {
        let asking = PlacementRequest::new(job, Vec::new());
        let mut groups = self.groups(job, Scope::All, None);
        groups.retain(|group| asking.zone_allowed(group.zone()));
        let search = self.search(job, guaranteed, groups.len(), 1);
        let groups = groups.into_iter();
        let sites = groups.flat_map(|group| self.sites_of(job, &search, group));
        sites.collect()
    }

    /// How far machines are searched for room for so many tasks of a job, in so many groups. With a tree of
    /// quotas all machines count, since its ledger weighs them against each other.
    fn search(&self, job: &Job, guaranteed: bool, groups: usize, tasks: usize) -> Search {
        if self.ledger(job).is_some() {
            return Search {
                guaranteed,
                borrowed: true,
                sites: usize::MAX,
                looked: usize::MAX,
            };
        }
        let share = MOST_LOOKED / groups.max(1);
        Search {
            guaranteed,
            borrowed: guaranteed && self.somebody_borrows(),
            sites: tasks.max(MOST_SITES),
            looked: share.max(LEAST_LOOKED),
        }
    }

    /// Machines of a group where room could be made for tasks of the job: those with its image that are
    /// free, others that are free, and those where enough could be stopped.
    fn sites_of(&self, job: &Job, search: &Search, group: &Group) -> Vec<Site> {
        let resources = job.spec.resources;
        let mut found: HashMap<&MachineId, Site> = HashMap::default();
        for having in [ImageFilter::Image(&job.spec.image), ImageFilter::Any] {
            let available = self
                .scheduler
                .candidates
                .index
                .fitting(having, group, resources);
            for machine_id in available
                .flat_map(|class| class.machine_ids)
                .take(search.sites)
            {
                if let Some(machine) = self.machines.get(machine_id)
                    && !found.contains_key(machine_id)
                {
                    found.insert(machine_id, self.site(job, search.guaranteed, machine));
                }
            }
        }
        let mut offered = 0;
        let full = self.scheduler.candidates.index.too_full(group, resources);
        for machine_id in full.flat_map(|class| class.machine_ids).take(search.looked) {
            if offered >= search.sites {
                break;
            }
            self.work_counters.candidates.add(1);
            let Some(machine) = self.machines.get(machine_id) else {
                continue;
            };
            let lower = self.jobs.machine_usage(machine_id).below(job.spec.priority);
            if !search.borrowed && !resources.fits_in(self.available(machine).plus(lower)) {
                continue;
            }
            let site = self.site(job, search.guaranteed, machine);
            offered += usize::from(preempt::offer(resources, &site).is_some());
            found.insert(machine_id, site);
        }
        found.into_values().collect()
    }

    /// Whether any team uses more than its flat guarantee.
    fn somebody_borrows(&self) -> bool {
        let mut teams = self.settings.deployment.teams.iter();
        teams.any(|team| !quota::guaranteed(self.jobs.usage(&team.name), team))
    }

    /// What could be stopped on a machine for the job.
    fn site(&self, job: &Job, guaranteed: bool, machine: &Machine) -> Site {
        self.work_counters.sites.add(1);
        let victim = |(id, index): &(JobId, u32)| {
            let task = TaskId {
                job: id.clone(),
                index: *index,
            };
            let victim = self.jobs.get(id)?;
            let leaving = self.scheduler.stops.contains_key(&task) || !victim.active();
            let (lower, borrowed) = if leaving || victim.whole_gang() {
                (false, false)
            } else {
                self.may_stop(job, guaranteed, victim)
            };
            (leaving || lower || borrowed).then(|| Victim {
                task,
                resources: victim.spec.resources,
                priority: victim.spec.priority,
                waste_s: self.waste(victim),
                leaving,
                lower,
                team: borrowed.then(|| victim.spec.team.clone()),
                over: None,
            })
        };
        let available = self.free_for(machine, &job.id);
        // Where the task fits as it is, nobody has to be weighed, but for shares of a tree.
        let fits = job.spec.resources.fits_in(available) && !self.in_tree(&job.spec.team);
        let on_it = self.jobs.on_machine(&machine.machine_id).filter(|_| !fits);
        let victims = on_it.filter_map(victim).collect();
        let rate = fetch_rate(&self.autoscaler.type_specs, &machine.machine_type);
        let (image, gb) = (&job.spec.image, job.spec.image_gb);
        Site {
            machine_id: machine.machine_id.clone(),
            available,
            victims,
            delay_s: machine.image_s(image, gb, rate, self.now),
            nested: false,
        }
    }

    /// Free room, without what is being made for others of no lower priority.
    pub(super) fn free_for(&self, machine: &Machine, id: &JobId) -> Resources {
        let mut available = self.available(machine);
        let mut priority = None;
        for (other, resources) in self.scheduler.nominations.on(&machine.machine_id, self.now) {
            let priority =
                priority.get_or_insert_with(|| self.jobs.get(id).map(|job| job.spec.priority));
            let above = |job: &Job| *priority <= Some(job.spec.priority);
            if other != id && self.jobs.get(other).is_some_and(above) {
                available = available.minus(resources);
            }
        }
        available
    }
}
