//! Preemption as pure functions, the post-filter of the cycle: which tasks to stop, and on which
//! machine, so that a task fits at the least cost.

use crate::jobs::PriorityClass;
use crate::types::{MachineId, Resources, TaskId, Team};

/// Cost rank of stopping borrowed work, before its overuse is subtracted. It is larger than any
/// overuse in steps, so that the rank stays above zero, the rank of stopping no task.
const BORROWED_RANK: i64 = 1 << 20;
/// Cost rank of stopping work that its team is entitled to: above that of any borrowed work.
const ENTITLED_RANK: i64 = 1 << 21;

/// A task that may be stopped for another.
#[derive(Clone, Debug)]
pub struct Victim {
    /// The task that would be stopped.
    pub task: TaskId,
    /// The resources that stopping it releases.
    pub resources: Resources,
    /// Its priority: victims of lower priority are stopped first.
    pub priority: PriorityClass,
    /// Seconds of its machine's time that stopping it wastes.
    pub waste_s: f64,
    /// The task is already being stopped: its resources count as released, and no offer names it
    /// as a task to stop.
    pub already_stopping: bool,
    /// It may be stopped regardless of its team's share: by priority, or for a flat guarantee.
    pub unconditional: bool,
    /// Its team, if the quota tree may let it be stopped.
    pub borrowing_team: Option<Team>,
    /// For work that its team borrowed: how far the team is over its share, in steps. `None` for
    /// other work.
    pub overuse_steps: Option<i64>,
}

/// A machine on which tasks could be preempted.
#[derive(Clone, Debug)]
pub struct PreemptionSite {
    /// The machine.
    pub machine_id: MachineId,
    /// The resources that are available on it without stopping any task.
    pub available: Resources,
    /// The tasks on it that may be stopped.
    pub victims: Vec<Victim>,
    /// Additional seconds until the task could start on this machine, such as for its image fetch.
    pub delay_s: f64,
    /// Whether the shares of a quota tree decide the order: machines where no task has to be stopped
    /// come first, then those with borrowed work, starting with the team furthest over its share.
    pub under_quota_tree: bool,
}

/// A way to make resources available to a task on one machine: the tasks to stop, and the cost.
#[derive(Clone, Debug, PartialEq)]
pub struct PreemptionOffer {
    /// The machine.
    pub machine_id: MachineId,
    /// The tasks to stop there, without those that are already being stopped.
    pub victims: Vec<TaskId>,
    cost: Cost,
}

/// The cost of stopping tasks, compared field by field.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Cost {
    /// With a quota tree, the rank of the victims, see [`entitlement_rank`]; otherwise zero.
    entitlement_rank: i64,
    /// The highest priority of the victims.
    priority: PriorityClass,
    /// Seconds of machine time that are wasted, plus the additional seconds until the task could start.
    waste_s: f64,
}

/// The offer of a machine for a task that needs these resources; `None` if the task would not fit
/// even if all victims were stopped.
pub fn offer_on_site(resources: Resources, site: &PreemptionSite) -> Option<PreemptionOffer> {
    let chosen = cheapest_victims(resources, site)?;
    let needed = without_unneeded(resources, chosen);
    let highest_priority = needed.iter().map(|victim| victim.priority).max();
    let stopped = || needed.iter().filter(|victim| !victim.already_stopping);
    let waste_s: f64 = stopped().map(|victim| victim.waste_s).sum();
    let highest_rank = stopped().map(|victim| entitlement_rank(site, victim)).max();
    Some(PreemptionOffer {
        machine_id: site.machine_id.clone(),
        victims: stopped().map(|victim| victim.task.clone()).collect(),
        cost: Cost {
            entitlement_rank: highest_rank.unwrap_or(0),
            // Stopping no task is no better than stopping work of normal priority if it takes
            // longer.
            priority: highest_priority
                .unwrap_or(PriorityClass::BestEffort)
                .max(PriorityClass::Normal),
            waste_s: waste_s + site.delay_s,
        },
    })
}

/// The machine where preemption for a task costs least, and the tasks to stop there.
pub fn cheapest_offer(resources: Resources, sites: Vec<PreemptionSite>) -> Option<PreemptionOffer> {
    let offers = sites
        .iter()
        .filter_map(|site| offer_on_site(resources, site))
        .collect();
    cheapest_set(std::iter::once(offers), 1)?.pop()
}

/// Of several sets of machines, such as one for each zone, the `count` machines of one set where
/// preemption for one task each costs least; `None` if no set has `count` such machines.
pub fn cheapest_set(
    sets: impl Iterator<Item = Vec<PreemptionOffer>>,
    count: usize,
) -> Option<Vec<PreemptionOffer>> {
    let mut best: Option<(Cost, Vec<PreemptionOffer>)> = None;
    for mut offers in sets.filter(|offers| offers.len() >= count) {
        offers.sort_by(PreemptionOffer::cmp_by_cost);
        offers.truncate(count);
        let cost = total_cost(&offers);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, offers));
        }
    }
    best.map(|(_, offers)| offers)
}

impl PreemptionOffer {
    fn cmp_by_cost(&self, other: &Self) -> std::cmp::Ordering {
        let rank = |offer: &Self| (offer.cost.entitlement_rank, offer.cost.priority);
        rank(self)
            .cmp(&rank(other))
            .then(self.cost.waste_s.total_cmp(&other.cost.waste_s))
            .then(self.machine_id.cmp(&other.machine_id))
    }
}

fn total_cost(offers: &[PreemptionOffer]) -> Cost {
    let costs = || offers.iter().map(|offer| offer.cost);
    let highest_priority = costs().map(|cost| cost.priority).max();
    Cost {
        entitlement_rank: costs().map(|cost| cost.entitlement_rank).sum(),
        priority: highest_priority.unwrap_or(PriorityClass::BestEffort),
        waste_s: costs().map(|cost| cost.waste_s).sum(),
    }
}

/// How costly it is, by the quota tree, to stop a victim: the further its team is over its share,
/// the cheaper; work within the share costs most. Zero without a tree.
fn entitlement_rank(site: &PreemptionSite, victim: &Victim) -> i64 {
    match victim.overuse_steps {
        _ if !site.under_quota_tree => 0,
        Some(overuse_steps) => BORROWED_RANK - overuse_steps,
        None => ENTITLED_RANK,
    }
}

/// Victims that were chosen on a machine, the cheapest first.
struct ChosenVictims<'a> {
    victims: Vec<&'a Victim>,
    /// The resources that are available once the victims have stopped.
    available: Resources,
}

/// Selects victims, the cheapest first, until the task fits; `None` if it does not fit even without
/// all of them.
fn cheapest_victims(resources: Resources, site: &PreemptionSite) -> Option<ChosenVictims<'_>> {
    let mut by_cost: Vec<&Victim> = site.victims.iter().collect();
    by_cost.sort_by(|left, right| {
        let rank = |victim: &Victim| {
            let stopped = !victim.already_stopping;
            (stopped, entitlement_rank(site, victim), victim.priority)
        };
        rank(left)
            .cmp(&rank(right))
            .then(left.waste_s.total_cmp(&right.waste_s))
            .then(left.task.cmp(&right.task))
    });
    let mut chosen = ChosenVictims {
        victims: Vec::new(),
        available: site.available,
    };
    for victim in by_cost {
        if resources.fits_in(chosen.available) {
            break;
        }
        chosen.available = chosen.available.plus(victim.resources);
        chosen.victims.push(victim);
    }
    resources.fits_in(chosen.available).then_some(chosen)
}

/// Removes victims that need not be stopped for the task to fit, the most costly first.
fn without_unneeded(resources: Resources, chosen: ChosenVictims<'_>) -> Vec<&Victim> {
    let ChosenVictims {
        mut victims,
        mut available,
    } = chosen;
    for index in (0..victims.len()).rev() {
        let without = available.minus(victims[index].resources);
        if !victims[index].already_stopping && resources.fits_in(without) {
            available = without;
            victims.remove(index);
        }
    }
    victims
}

#[cfg(test)]
mod tests;
