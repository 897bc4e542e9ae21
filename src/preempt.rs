//! Preemption, the post-filter of the cycle: whom to stop so that a task finds room.

use crate::jobs::PriorityClass;
use crate::types::{MachineId, Resources, TaskId, Team};

/// A task that may be stopped for another.
#[derive(Clone, Debug)]
pub struct Victim {
    pub task: TaskId,
    pub resources: Resources,
    pub priority: PriorityClass,
    /// Seconds of its machine's time that stopping it wastes.
    pub waste_s: f64,
    /// It is being stopped already.
    pub leaving: bool,
    /// It may be stopped whatever its team's share is: by priority, or for a flat guarantee.
    pub lower: bool,
    /// Its team, if the tree of quotas may let it be stopped.
    pub team: Option<Team>,
    /// Of work that its team borrowed: how far that is over its share, in steps.
    pub over: Option<i64>,
}

/// A machine on which room could be made.
#[derive(Clone, Debug)]
pub struct Site {
    pub machine_id: MachineId,
    pub available: Resources,
    pub victims: Vec<Victim>,
    /// Seconds that the task would have to wait here besides, such as for its image.
    pub delay_s: f64,
    /// Shares of a tree count: nobody is stopped without need, then those who borrowed, the
    /// furthest over first.
    pub nested: bool,
}

/// What room for a task costs on one machine.
#[derive(Clone, Debug, PartialEq)]
pub struct PreemptionOffer {
    pub machine_id: MachineId,
    /// Whom to stop there; tasks that are leaving already cost nothing.
    pub victims: Vec<TaskId>,
    cost: Cost,
}

/// What is stopped: with nested shares the borrower furthest over its share first; then the lowest
/// priority, then the fewest seconds wasted.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Cost {
    near: i64,
    priority: PriorityClass,
    waste_s: f64,
}

/// Stopping borrowed work comes before stopping work that its team is entitled to.
const BORROWED: i64 = 1 << 20;
const OWN: i64 = 1 << 21;

fn near(site: &Site, victim: &Victim) -> i64 {
    match victim.over {
        _ if !site.nested => 0,
        Some(over) => BORROWED - over,
        None => OWN,
    }
}

pub fn offer(resources: Resources, site: &Site) -> Option<PreemptionOffer> {
    let (chosen, available) = gather(resources, site)?;
    let needed = spare(resources, chosen, available);
    let highest = needed.iter().map(|v| v.priority).max();
    let stopped = || needed.iter().filter(|victim| !victim.leaving);
    let waste: f64 = stopped().map(|v| v.waste_s).sum();
    let nearest = stopped().map(|victim| near(site, victim)).max();
    Some(PreemptionOffer {
        machine_id: site.machine_id.clone(),
        victims: stopped().map(|victim| victim.task.clone()).collect(),
        // Stopping nobody is no better than stopping work of normal priority if it takes longer.
        cost: Cost {
            near: nearest.unwrap_or(0),
            priority: highest
                .unwrap_or(PriorityClass::BestEffort)
                .max(PriorityClass::Normal),
            waste_s: waste + site.delay_s,
        },
    })
}

/// The machine where room for a task costs least, and whom to stop there.
pub fn choose(resources: Resources, sites: Vec<Site>) -> Option<PreemptionOffer> {
    let offers = sites
        .iter()
        .filter_map(|site| offer(resources, site))
        .collect();
    cheapest_set(std::iter::once(offers), 1)?.pop()
}

/// Of several sets of machines, the one where room for `count` tasks costs least, and where there.
pub fn cheapest_set(
    sets: impl Iterator<Item = Vec<PreemptionOffer>>,
    count: usize,
) -> Option<Vec<PreemptionOffer>> {
    let mut best: Option<(Cost, Vec<PreemptionOffer>)> = None;
    for mut offers in sets.filter(|offers| offers.len() >= count) {
        offers.sort_by(|a, b| {
            let key = |offer: &PreemptionOffer| (offer.cost.near, offer.cost.priority);
            let by_waste = a.cost.waste_s.total_cmp(&b.cost.waste_s);
            key(a)
                .cmp(&key(b))
                .then(by_waste)
                .then(a.machine_id.cmp(&b.machine_id))
        });
        offers.truncate(count);
        let highest = offers.iter().map(|o| o.cost.priority).max();
        let cost = Cost {
            near: offers.iter().map(|o| o.cost.near).sum(),
            priority: highest.unwrap_or(PriorityClass::BestEffort),
            waste_s: offers.iter().map(|o| o.cost.waste_s).sum(),
        };
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, offers));
        }
    }
    best.map(|(_, offers)| offers)
}

/// Victims, the cheapest first, until the task fits.
fn gather(resources: Resources, site: &Site) -> Option<(Vec<&Victim>, Resources)> {
    let mut order: Vec<&Victim> = site.victims.iter().collect();
    order.sort_by(|a, b| {
        let key = |v: &Victim| (!v.leaving, near(site, v), v.priority);
        key(a)
            .cmp(&key(b))
            .then(a.waste_s.total_cmp(&b.waste_s))
            .then(a.task.cmp(&b.task))
    });
    let mut available = site.available;
    let mut chosen = Vec::new();
    for victim in order {
        if resources.fits_in(available) {
            break;
        }
        available = available.plus(victim.resources);
        chosen.push(victim);
    }
    resources.fits_in(available).then_some((chosen, available))
}

/// Lets go of victims that turn out not to be needed, the dearest first.
fn spare(resources: Resources, mut chosen: Vec<&Victim>, mut available: Resources) -> Vec<&Victim> {
    for index in (0..chosen.len()).rev() {
        let without = available.minus(chosen[index].resources);
        if !chosen[index].leaving && resources.fits_in(without) {
            available = without;
            chosen.remove(index);
        }
    }
    chosen
}

#[cfg(test)]
mod tests;
