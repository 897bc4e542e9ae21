//! Nested quotas in the controller: the tree's way into force, work within its share, and whose
//! work gives way.

use std::collections::BTreeSet;

use tiller_quota::{Amount, NodeIx, Wanted};

use super::{Controller, Purpose};
use crate::jobs::cache::Job;
use crate::jobs::{Rank, Shape};
use crate::queue::Event;
use crate::quota;
use crate::quota::nested::{Force, HEAD, Owed, Standing};
use crate::settings::TeamSettings;
use crate::store::{Answer, Class, Txn};
use crate::types::{JobId, Millis, Revision, Room, TaskId, Team};
use crate::workers::reconcile::Stop;

/// Demand is looked over this often.
const REFRESH: Millis = Millis(500);
/// The file is offered to the state service this often until it is in force.
const OFFER: Millis = Millis(2_000);
/// Pages of one transaction: with 8 KiB each they stay below 64 KiB.
const MOST_PAGES: usize = 6;
/// Work beyond a lowered limit is looked for this often.
const DRAIN: Millis = Millis(2_000);
/// How far a borrower is over its share is told apart in steps of this part of the whole: among
/// those about as far over, waste decides.
const STEPS: f64 = 64.0;

/// Work for which others may have to give way: its team, what it takes, and what is on its way to
/// change hands already.
pub(super) struct Reclaim<'a> {
    force: &'a Force,
    leaf: NodeIx,
    wanted: Wanted,
    /// By team: room that is being made for other jobs, and room of tasks that are being stopped.
    coming: Vec<(Team, Room)>,
    pub(super) leaving: Vec<(Team, Room)>,
}

impl Reclaim<'_> {
    fn sum(&self, rooms: &[(Team, Room)], ix: NodeIx) -> Room {
        let its = rooms.iter().filter(|(team, _)| self.force.counts(team, ix));
        its.fold(Room::default(), |sum, (_, room)| sum.plus(*room))
    }
}

impl Controller {
    /// Sees to the tree: offers the file, drops what was replaced, and looks over demand.
    pub(super) fn keep_tree(&mut self) {
        let jobs = &self.jobs;
        let raised = self.nested.refresh(self.now, REFRESH, || jobs.demands());
        for team in raised {
            self.wake(Event::Entitled(team));
        }
        self.drain_excess();
        if self.now.since(self.tree_offered) < OFFER || !self.synced || !self.may_place() {
            return;
        }
        self.tree_offered = self.now;
        let standing = self.nested.standing();
        if standing != self.tree_standing {
            self.tree_standing = standing;
            match standing {
                Standing::Differs => tracing::error!(
                    "our file's tree differs from the one in force under the same revision: it is \
                     not used before its revision is raised"
                ),
                Standing::Old => tracing::info!("a newer tree than our file's is in force"),
                Standing::New => tracing::info!("offering our file's tree"),
                Standing::None | Standing::InForce => {}
            }
        }
        if self.writing_tree {
            return;
        }
        let ops = self.settings.deployment.state.txn_ops;
        let mut txn = Txn::default();
        match self.nested.owed(ops.min(MOST_PAGES)) {
            Owed::Pages(pages) => {
                for (key, text) in pages {
                    txn.require(key.clone(), self.nested.page_version(&key));
                    txn.put_text(key, text, None);
                }
            }
            Owed::Head(text, version) => {
                txn.require(HEAD.into(), version);
                txn.put_text(HEAD.into(), text, None);
            }
            Owed::Nothing if self.leading().is_some() => {
                for key in self.nested.leftovers().take(ops) {
                    txn.require(key.clone(), self.nested.page_version(key));
                    txn.drop_key(key.clone());
                }
            }
            Owed::Nothing => {}
        }
        if !txn.changes.is_empty() {
            self.writing_tree = true;
            self.transact(Class::Rest, txn, Purpose::Tree);
        }
    }

    pub(super) fn on_tree(&mut self, answer: &Answer) {
        self.writing_tree = false;
        // There is more to come: at once, while it goes well.
        if matches!(answer, Answer::Committed(_)) {
            self.tree_offered = Millis(0);
        }
    }

    pub(super) fn feed_tree(&mut self, key: &str, data: Option<&str>, version: Revision) {
        if self.nested.feed(key, data, version) {
            self.jobs.regroup(self.nested.groups());
            self.wake(Event::NewTree);
        }
    }

    /// Whether a job's next task, or all of a gang's, is within what its team is guaranteed: by the
    /// platform, or by the tree and what it lends.
    pub(super) fn guaranteed(&self, job: &Job) -> bool {
        let wanted = self.wanted(job);
        let used = self.jobs.usage(&job.spec.team);
        let team = self.settings.team(&job.spec.team);
        team.is_some_and(|team| quota::guaranteed(used.plus(wanted), team))
            || self.nested.force().is_some_and(|force| {
                let leaf = force.leaf(&job.spec.team);
                leaf.is_some_and(|leaf| {
                    let wanted = amounts(wanted, job);
                    force.shares.within(leaf, used.into(), wanted)
                })
            })
    }

    /// What is to be placed at once.
    fn wanted(&self, job: &Job) -> Room {
        let at_once = match job.spec.shape {
            Shape::Array => 1,
            Shape::Gang | Shape::Service => job.record.tasks,
        };
        job.spec.room.times(f64::from(at_once))
    }

    /// What a job may reclaim by the tree; none: there is no tree, or its team is not in it.
    pub(super) fn reclaim<'a>(&'a self, job: &Job) -> Option<Reclaim<'a>> {
        let force = self.nested.force()?;
        let leaf = force.leaf(&job.spec.team)?;
        let mut coming = Vec::new();
        for (id, nomination) in &self.nominations.jobs {
            let other = self.jobs.get(id).filter(|_| *id != job.id);
            if let Some(other) = other.filter(|_| nomination.until > self.now) {
                let room = nomination.room.times(nomination.hosts.len() as f64);
                coming.push((other.spec.team.clone(), room));
            }
        }
        let leaving = self.stops.keys().filter_map(|task| {
            let job = self.jobs.get(&task.job)?;
            Some((job.spec.team.clone(), job.spec.room))
        });
        Some(Reclaim {
            force,
            leaf,
            wanted: amounts(self.wanted(job), job),
            coming,
            leaving: leaving.collect(),
        })
    }

    /// Whether the tree lets a job have a task of another team stopped, and how far that team is
    /// over its share, in steps.
    pub(super) fn borrowed(&self, reclaim: &Reclaim, victim: &Job) -> Option<i64> {
        let force = reclaim.force;
        let from = force.leaf(&victim.spec.team)?;
        let used = |ix: NodeIx| {
            let now = self.jobs.usage(force.name(ix));
            let with = now.plus(reclaim.sum(&reclaim.coming, ix));
            Amount::from(with.minus(reclaim.sum(&reclaim.leaving, ix)))
        };
        let task = victim.spec.room.into();
        let may = force
            .shares
            .may_reclaim(from, task, reclaim.leaf, reclaim.wanted, used);
        may.then(|| (force.shares.over(from, used(from)) * STEPS).ceil() as i64)
    }

    /// Whether a team is in the tree in force.
    pub(super) fn in_tree(&self, team: &Team) -> bool {
        let force = self.nested.force();
        force.is_some_and(|force| force.leaf(team).is_some())
    }

    /// A tree that lowers a limit below what runs: each holder stops its part of what is too much,
    /// the least valuable first. What was accepted waits until there is room for it again.
    fn drain_excess(&mut self) {
        let due = self.now.since(self.excess_looked) >= DRAIN;
        if !due || self.nested.force().is_none() || !self.may_place() {
            return;
        }
        self.excess_looked = self.now;
        for team in self.nested.limited() {
            let used = self.jobs.usage(&team.name);
            if !quota::within(used, &team) {
                self.drain(&team, used);
            }
        }
    }

    fn drain(&mut self, team: &TeamSettings, used: Room) {
        let over = |most: f64, used: f64| {
            if most > 0.0 {
                (used - most).max(0.0)
            } else {
                0.0
            }
        };
        let (cpus, gpus) = (
            over(team.cpus_max, used.cpus),
            over(team.gpus_max, used.gpus),
        );
        // Blocks of ours, each for its part of the excess.
        let ours: Vec<_> = self
            .jobs
            .blocks_of(&team.name)
            .filter(|block| self.leases.holds(block, &self.me).is_some())
            .cloned()
            .collect();
        for block in ours {
            let here = self.jobs.used_in(&team.name, &block);
            let mut excess = Room {
                cpus: cpus * here.cpus / used.cpus.max(1e-9),
                gpus: gpus * here.gpus / used.gpus.max(1e-9),
                memory_gb: 0.0,
            };
            let mut tasks: Vec<(bool, i64, Rank, f64, TaskId)> = Vec::new();
            for job in self.jobs.iter().filter(|job| job.active()) {
                if !self
                    .nested
                    .limits(&job.spec.team)
                    .iter()
                    .any(|l| l.name == team.name)
                {
                    continue;
                }
                let here = job.placements().filter(|(_, p)| p.block == block);
                for index in here.map(|(index, _)| index) {
                    let task = TaskId {
                        job: job.id.clone(),
                        index,
                    };
                    if self.stops.contains_key(&task) {
                        excess = excess.minus(job.spec.room);
                    } else if !job.whole_gang() && !job.changes.contains_key(&index) {
                        let service = job.spec.shape == Shape::Service;
                        let its = self.steps_over(&job.spec.team);
                        let waste = self.waste(job);
                        tasks.push((service, -its, job.spec.rank, waste, task));
                    }
                }
            }
            tasks.sort_by(|a, b| {
                let key = |t: &(bool, i64, Rank, f64, TaskId)| (t.0, t.1, t.2);
                key(a)
                    .cmp(&key(b))
                    .then(a.3.total_cmp(&b.3))
                    .then(a.4.cmp(&b.4))
            });
            let mut hosts = BTreeSet::new();
            for (.., task) in tasks {
                if excess.cpus <= 1e-6 && excess.gpus <= 1e-6 {
                    break;
                }
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let Some(placement) = job.task(task.index).placement() else {
                    continue;
                };
                excess = excess.minus(job.spec.room);
                hosts.insert(placement.host.clone());
                let (attempt, save) = (placement.attempt, !job.spec.cheap_to_kill());
                self.stops.insert(task, Stop { attempt, save });
            }
            if !hosts.is_empty() {
                tracing::info!(team = %team.name, %block, ?hosts, "over a limit that was lowered");
            }
            for host in hosts {
                self.poke(&host);
            }
        }
    }

    fn steps_over(&self, team: &Team) -> i64 {
        let Some(force) = self.nested.force() else {
            return 0;
        };
        let leaf = force.leaf(team);
        leaf.map_or(0, |leaf| {
            let used = self.jobs.usage(team).into();
            (force.shares.over(leaf, used) * STEPS).ceil() as i64
        })
    }

    /// What every placement rests on besides its block: the tree in force.
    pub(super) fn require_tree(&self, txn: &mut Txn) {
        txn.require(HEAD.into(), self.nested.version());
    }

    /// Whether a parked job may get on because another team uses less.
    pub(super) fn team_helps(&self, freed: &Team, id: &JobId) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| self.nested.related(freed, &job.spec.team))
    }
}

fn amounts(total: Room, job: &Job) -> Wanted {
    Wanted {
        total: total.into(),
        task: job.spec.room.into(),
    }
}
