//! Preemption, the post-filter of the cycle: whom to stop so that a task finds room.

use crate::jobs::Rank;
use crate::types::{MachineId, Room, TaskId, Team};

/// A task that may be stopped for another.
#[derive(Clone, Debug)]
pub struct Victim {
    pub task: TaskId,
    pub room: Room,
    pub rank: Rank,
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
    pub free: Room,
    pub victims: Vec<Victim>,
    /// Seconds that the task would have to wait here besides, such as for its image.
    pub delay_s: f64,
    /// Shares of a tree count: nobody is stopped without need, then those who borrowed, the
    /// furthest over first.
    pub nested: bool,
}

/// What room for a task costs on one machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
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
    rank: Rank,
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

pub fn offer(room: Room, site: &Site) -> Option<Offer> {
    let (chosen, free) = gather(room, site)?;
    let needed = spare(room, chosen, free);
    let highest = needed.iter().map(|v| v.rank).max();
    let stopped = || needed.iter().filter(|victim| !victim.leaving);
    let waste: f64 = stopped().map(|v| v.waste_s).sum();
    let nearest = stopped().map(|victim| near(site, victim)).max();
    Some(Offer {
        machine_id: site.machine_id.clone(),
        victims: stopped().map(|victim| victim.task.clone()).collect(),
        // Stopping nobody is no better than stopping work of normal priority if it takes longer.
        cost: Cost {
            near: nearest.unwrap_or(0),
            rank: highest.unwrap_or(Rank::BestEffort).max(Rank::Normal),
            waste_s: waste + site.delay_s,
        },
    })
}

/// The machine where room for a task costs least, and whom to stop there.
pub fn choose(room: Room, sites: Vec<Site>) -> Option<Offer> {
    let offers = sites.iter().filter_map(|site| offer(room, site)).collect();
    cheapest_set(std::iter::once(offers), 1)?.pop()
}

/// Of several sets of machines, the one where room for `count` tasks costs least, and where there.
pub fn cheapest_set(sets: impl Iterator<Item = Vec<Offer>>, count: usize) -> Option<Vec<Offer>> {
    let mut best: Option<(Cost, Vec<Offer>)> = None;
    for mut offers in sets.filter(|offers| offers.len() >= count) {
        offers.sort_by(|a, b| {
            let key = |offer: &Offer| (offer.cost.near, offer.cost.rank);
            let by_waste = a.cost.waste_s.total_cmp(&b.cost.waste_s);
            key(a)
                .cmp(&key(b))
                .then(by_waste)
                .then(a.machine_id.cmp(&b.machine_id))
        });
        offers.truncate(count);
        let highest = offers.iter().map(|o| o.cost.rank).max();
        let cost = Cost {
            near: offers.iter().map(|o| o.cost.near).sum(),
            rank: highest.unwrap_or(Rank::BestEffort),
            waste_s: offers.iter().map(|o| o.cost.waste_s).sum(),
        };
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, offers));
        }
    }
    best.map(|(_, offers)| offers)
}

/// Victims, the cheapest first, until the task fits.
fn gather(room: Room, site: &Site) -> Option<(Vec<&Victim>, Room)> {
    let mut order: Vec<&Victim> = site.victims.iter().collect();
    order.sort_by(|a, b| {
        let key = |v: &Victim| (!v.leaving, near(site, v), v.rank);
        key(a)
            .cmp(&key(b))
            .then(a.waste_s.total_cmp(&b.waste_s))
            .then(a.task.cmp(&b.task))
    });
    let mut free = site.free;
    let mut chosen = Vec::new();
    for victim in order {
        if room.fits_in(free) {
            break;
        }
        free = free.plus(victim.room);
        chosen.push(victim);
    }
    room.fits_in(free).then_some((chosen, free))
}

/// Lets go of victims that turn out not to be needed, the dearest first.
fn spare(room: Room, mut chosen: Vec<&Victim>, mut free: Room) -> Vec<&Victim> {
    for index in (0..chosen.len()).rev() {
        let without = free.minus(chosen[index].room);
        if !chosen[index].leaving && room.fits_in(without) {
            free = without;
            chosen.remove(index);
        }
    }
    chosen
}

#[cfg(test)]
mod tests;
