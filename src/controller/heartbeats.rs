//! Workers' heartbeats: who answers them, and what they prove.

use std::collections::BTreeSet;

use rustc_hash::FxHashSet as HashSet;

use super::{Controller, DirectAnswer, Effect, PeerState};
use crate::fleet::{Flavor, fetch_rate};
use crate::jobs::Shape;
use crate::jobs::cache::{Change, Evidence, Job};
use crate::queue;
use crate::types::{Attempt, BlockId, HostId, JobId, Millis, NodeId, ReplyId, TaskId, Token, Zone};
use crate::workers::reachability::Said;
use crate::workers::reconcile::{Stop, reconcile};
use crate::workers::wire::{Cause, Order, Report, ReportAnswer, TaskStage};
use crate::workers::{FETCHES_LAST, Machine, block_of};

/// A start that was refused for room shows that the machine holds more than we know.
const AFTER_REFUSAL: Millis = Millis(3_000);
/// Each move costs its replica a moment; one at a time keeps the service as a whole up.
const MOVE_EVERY: Millis = Millis(20_000);
/// A replica that just started is left where it is for this long.
const LONG_ENOUGH: Millis = Millis(40_000);
/// A job that was handed over and stays unknown for this long is forgotten.
const HANDED_EARLY: Millis = Millis(10_000);
/// A controller that gave its shards up, took some since, and heard nobody again waits so much longer before
/// it tries once more. Workers that reach nobody had shards change hands every few seconds.
const DEAF_AGAIN: Millis = Millis(10_000);
const MOST_DEAF: u32 = 3;

fn pause_of(gave_up: u32) -> Millis {
    match gave_up {
        0 => Millis(0),
        again => Millis(DEAF_AGAIN.0 << (again - 1).min(MOST_DEAF)),
    }
}

/// How often a controller that hears nobody asks a worker.
const INSPECT_EVERY: Millis = Millis(2_000);
/// What another controller said holds for this long.
const WORD_HOLDS: Millis = Millis(3_000);
/// A machine without tasks that nobody has heard for this long is forgotten.
pub(super) const FORGET: Millis = Millis(120_000);

/// How long a machine has been silent, and its shard in the same hands.
pub(super) struct Silence {
    pub since_heard: Millis,
    pub held: Millis,
}

impl Silence {
    /// So long that the worker's lease is over, whoever it reported to before.
    pub fn outlasts(&self, lease: Millis) -> bool {
        self.since_heard.min(self.held) > lease
    }
}

fn starts(orders: &[Order]) -> impl Iterator<Item = (TaskId, Attempt)> + '_ {
    orders.iter().filter_map(|order| match order {
        Order::Start { task, attempt } => Some((task.clone(), *attempt)),
        _ => None,
    })
}

impl Controller {
    /// A worker that is silent for longer gets no new tasks.
    pub(super) fn silence(&self) -> Millis {
        Millis::from_secs(self.settings.deployment.workers.report_s * 2.5)
    }

    pub(super) fn on_report(&mut self, reply: ReplyId, report: Report) {
        self.last_report = self.now;
        self.hears = true;
        self.gave_up_deaf = 0;
        let answer = self.answer_report(report);
        self.effects.push(Effect::Worker { reply, answer });
    }

    /// A controller that none of its workers reaches gives its shards up, and takes some again
    /// once it reaches workers.
    pub(super) fn keep_hearing(&mut self) {
        if !self.hears {
            if self.now.since(self.inspected) >= INSPECT_EVERY {
                self.inspected = self.now;
                let asked = self
                    .machines
                    .values()
                    .filter(|m| !self.fleet.gone.contains(&m.host))
                    .max_by_key(|m| m.heard)
                    .and_then(|m| Some((m.host.clone(), m.address?)));
                if let Some((host, address)) = asked {
                    self.effects.push(Effect::Inspect { host, address });
                }
            }
            return;
        }
        let deaf = Millis(self.silence().0 + 2_000);
        let expected = self
            .machines
            .values()
            .filter(|m| m.answered.is_some() && !self.fleet.gone.contains(&m.host))
            .filter(|m| {
                self.token_for(&m.block).is_some()
                    && self
                        .moved
                        .get(&m.block)
                        .is_none_or(|at| self.now.since(*at) > deaf)
                    && self.now.since(m.heard).0 < 4 * deaf.0
            })
            .count();
        if expected >= 2 && self.now.since(self.last_report) > deaf && !self.all_are_deaf() {
            tracing::info!(expected, "no worker reaches us: giving up our blocks");
            self.hears = false;
            self.inspected = self.now + pause_of(self.gave_up_deaf);
            self.gave_up_deaf += 1;
        }
    }

    /// Whether no other controller hears workers either: then it is they who can't report, and nobody would
    /// do better with our shards.
    fn all_are_deaf(&self) -> bool {
        let members = &self.settings.members;
        let deaf = |label| self.word_of(label).is_some_and(|peer| !peer.hears);
        !members.is_empty() && members.iter().all(|member| deaf(&member.label))
    }

    pub(super) fn on_inspected(&mut self, answered: bool) {
        if answered && !self.hears {
            tracing::info!("workers can be reached again");
            self.hears = true;
            self.last_report = self.now;
        }
    }

    /// What another controller said last, if that was just now.
    pub(super) fn word_of(&self, node: &NodeId) -> Option<&PeerState> {
        let peer = self.peers.get(node);
        peer.filter(|peer| self.now.since(peer.heard) <= WORD_HOLDS)
    }

    /// When anybody heard a machine last, as far as we know; 0: never.
    pub(super) fn last_heard(&self, host: &HostId) -> Millis {
        let known = self.machines.get(host).map(|m| m.heard);
        let heard = known.or(self.heard_of.get(host).copied());
        heard.unwrap_or_default()
    }

    /// How long a machine has been silent, by the word of whoever holds its shard now; nobody
    /// else can tell. A holder that hears nobody can't either.
    pub(super) fn silent_for(&self, host: &HostId, block: &BlockId) -> Option<Silence> {
        let (holder, _) = self.leases.blocks.get(block)?;
        let held = self
            .moved
            .get(block)
            .map_or(self.now, |at| self.now.since(*at));
        let heard = self.last_heard(host);
        let can_tell = if *holder == self.me {
            self.hears && self.now.since(self.last_report) <= self.silence()
        } else {
            self.word_of(holder).is_some_and(|peer| peer.hears)
        };
        can_tell.then(|| Silence {
            since_heard: self.now.since(heard),
            held,
        })
    }

    /// Whether most other machines of the zone are heard: then it is the machine that is silent,
    /// not the network.
    pub(super) fn zone_speaks(&self, host: &HostId, zone: &Zone) -> bool {
        let fresh = self.silence();
        let others: Vec<bool> = self
            .machines
            .values()
            .filter(|m| m.zone == *zone && m.host != *host && !self.fleet.gone.contains(&m.host))
            .filter(|m| self.now.since(m.heard).0 < 8 * fresh.0)
            .map(|m| self.now.since(m.heard) <= fresh)
            .collect();
        let speaking = others.iter().filter(|speaks| **speaks).count();
        speaking >= 2 && speaking * 3 >= others.len() * 2
    }

    pub(super) fn answer_report(&mut self, report: Report) -> ReportAnswer {
        let parts = self.settings.operator.blocks_per_zone;
        let block = block_of(&report.host, &report.yard, parts);
        let Some(token) = self.token_for(&block) else {
            if let Some(kept) = self.keep_for_others(&block, report.baton) {
                return kept;
            }
            return match self.leases.blocks.get(&block) {
                Some((holder, _)) => ReportAnswer::Elsewhere(Some(holder.clone())),
                None => ReportAnswer::Later,
            };
        };
        let baton = self.baton(token);
        if report.baton > baton {
            // Somebody holds this shard under a higher token, whatever we have heard so far.
            return ReportAnswer::Elsewhere(None);
        }
        if !self.may_answer() {
            return ReportAnswer::Later;
        }
        let complete = self.complete(&block);
        let none = ReportAnswer::Orders {
            baton,
            orders: Vec::new(),
        };
        let (now, me) = (self.now, self.me.clone());
        let silence = self.silence();
        let lease_s = self.settings.deployment.workers.lease_s;
        // An agent epoch that ends sooner after an answer has not heard it.
        let most = Millis::from_secs(lease_s * 0.75);
        let lease = Millis::from_secs(lease_s * 1.05 + 2.0);
        let machine = self.machines.entry(report.host.clone()).or_insert_with(|| {
            let (rig, zone) = (report.rig.clone(), report.yard.clone());
            Machine::new(
                report.host.clone(),
                rig,
                zone,
                report.loaners,
                block,
                me.clone(),
            )
        });
        // Whatever its age, the worker's lease may be renewed by this answer.
        let answered = machine.answered.replace((token, now));
        if !machine.newer(report.shift, report.tally) {
            return none;
        }
        let was_fit = machine.fit(now, silence) && machine.baton.token() >= token;
        let said = Said {
            session: report.shift,
            unexpected: now.since(machine.heard) > silence,
            broken: report.shift > machine.session
                && answered.is_some_and(|(under, at)| under == token && now.since(at) < most),
            obeyed: machine.obeyed(&report),
        };
        machine.hearing.reported(said, lease, now);
        machine.reported = now;
        machine.take_in(&report, now, &me);
        machine.note_aware(token, now);
        let ask = !machine.hearing.proved();
        let host = report.host.clone();
        if ask {
            // Whether it is there, and hears us, is asked at once.
            self.ask(&host);
        }
        let Some(machine) = self.machines.get_mut(&host) else {
            return none;
        };
        if machine.baton.token() < token || !complete {
            // Its first heartbeat to us: it sees our token in the answer and reports again at once. A
            // holder that does not know yet what was placed before it came gives no commands: a
            // task that has left the machine since would start there once more.
            return none;
        }
        machine.direct.enter(token, machine.session);
        machine.direct.riding.clear();
        let fit = machine.fit(now, silence);
        if fit && !was_fit {
            self.wake(queue::Event::Machine(host.clone()));
        }
        let orders = self.see_to(&host, token);
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.direct.riding = starts(&orders).collect();
        }
        ReportAnswer::Orders { baton, orders }
    }

    /// Sends a worker its starts and stops without waiting for its heartbeat. Only to one that was
    /// heard just now: a start that stays without an answer ties the task to the machine.
    pub(super) fn poke(&mut self, host: &HostId) {
        let Some(machine) = self.machines.get(host) else {
            return;
        };
        let Some(token) = self.token_for(&machine.block) else {
            return;
        };
        let seen = machine.baton.token() == token && self.complete(&machine.block);
        let (Some(address), true) = (machine.address, seen) else {
            return;
        };
        let heard = machine.answered.is_some_and(|(under, _)| under == token)
            && machine.hearing.proved()
            && self.now.since(machine.heard) <= self.silence();
        if !heard || !self.may_answer() {
            return;
        }
        let gathering = |job: &Job| self.gathering(job);
        let mut orders = reconcile(machine, token, &self.jobs, &self.stops, gathering).orders;
        // An attempt is forgotten, and one that waited alone is started once more, only by the
        // answer to a heartbeat: direct commands may come minutes late.
        let forgotten: HashSet<(TaskId, Attempt)> = orders
            .iter()
            .filter_map(|order| match order {
                Order::Forget { task, attempt } => Some((task.clone(), *attempt)),
                _ => None,
            })
            .collect();
        orders.retain(|order| match order {
            Order::Forget { .. } => false,
            Order::Start { task, attempt } => !forgotten.contains(&(task.clone(), *attempt)),
            Order::Stop { .. } => true,
        });
        let session = machine.session;
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        if orders.is_empty() || machine.direct.busy {
            machine.direct.again |= !orders.is_empty();
            return;
        }
        machine.direct.enter(token, session);
        machine.direct.busy = true;
        machine.direct.again = false;
        let loose = &mut machine.direct.loose;
        machine.direct.sent = starts(&orders)
            // One that is loose already stays so, whatever becomes of this request.
            .filter(|start| loose.insert(start.clone()))
            .collect();
        let (host, baton) = (host.clone(), self.baton(token));
        self.effects.push(Effect::Direct {
            host,
            address,
            baton,
            session,
            orders,
        });
    }

    pub(super) fn on_direct(&mut self, host: &HostId, answer: Option<DirectAnswer>) {
        let (now, me, silence) = (self.now, self.me.clone(), self.silence());
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        machine.direct.busy = false;
        let again = std::mem::take(&mut machine.direct.again);
        let sent = std::mem::take(&mut machine.direct.sent);
        let Some(answer) = answer else { return };
        for start in sent {
            machine.direct.loose.remove(&start);
        }
        let block = machine.block.clone();
        let mute = self.is_mute(host);
        if let (Some(report), Some(token)) = (answer.report, self.token_for(&block))
            && let Some(machine) = self.machines.get_mut(host)
            && report.host == *host
            && report.baton.token() <= token
            && machine.newer(report.shift, report.tally)
        {
            let was_fit = machine.fit(now, silence) && machine.baton.token() >= token;
            if mute {
                machine.hearing.mute(now);
            } else {
                machine.hearing.prove();
            }
            if report.shift != machine.session {
                // The lease of an agent epoch that we did not know of runs from when it began, not from
                // when we answered a heartbeat last.
                machine.aware = None;
            }
            machine.take_in(&report, now, &me);
            machine.note_aware(token, now);
            if machine.baton.token() == token {
                machine.direct.enter(token, report.shift);
                if machine.fit(now, silence) && !was_fit {
                    self.wake(queue::Event::Machine(host.clone()));
                }
                if mute {
                    self.leave_mute(host);
                }
                let orders = self.see_to(host, token);
                if mute {
                    self.stop_on_mute(host, token, orders);
                }
            }
        }
        if again {
            self.poke(host);
        }
    }

    /// Draws from a machine's newest report what it still proves.
    pub(super) fn look_again(&mut self, host: &HostId) {
        let Some(machine) = self.machines.get(host) else {
            return;
        };
        if let Some(token) = self.token_for(&machine.block)
            && self.complete(&machine.block)
        {
            self.see_to(host, token);
        }
    }

    /// Whether tasks of a gang may still be fetching its image, wherever they were placed.
    fn gathering(&self, job: &Job) -> bool {
        let rates = self.flavors.iter().map(Flavor::rate);
        let fetch_s = job.spec.image_gb / rates.fold(f64::MAX, f64::min);
        let most = self.settings.deployment.workers.gang_wait_s + FETCHES_LAST * fetch_s;
        job.whole_gang() && self.now.since(job.settled) < Millis::from_secs(most)
    }

    /// Compares a machine's newest report with the records.
    pub(super) fn see_to(&mut self, host: &HostId, token: Token) -> Vec<Order> {
        self.note_images(host);
        self.drain_warned(host);
        let Some(machine) = self.machines.get(host) else {
            return Vec::new();
        };
        let gathering = |job: &Job| self.gathering(job);
        let outcome = reconcile(machine, token, &self.jobs, &self.stops, gathering);
        let refused_until = self.now + AFTER_REFUSAL;
        if let Some(machine) = self.machines.get_mut(host) {
            if outcome.successes > 0 {
                machine.note_success();
            }
            if outcome.failures.iter().any(|(_, c)| *c == Cause::NoRoom) {
                machine.refused_until = refused_until;
            }
        }
        let mut failed = BTreeSet::new();
        for (job, cause) in &outcome.failures {
            tracing::debug!(%job, %host, ?cause, "a task failed");
            if *cause == Cause::Error {
                failed.insert(job.clone());
            } else {
                self.failed_jobs.insert(job.clone());
            }
        }
        self.tasks_failed(failed, host);
        if !outcome.changes.is_empty() {
            self.note_changes(outcome.changes);
            self.wake(queue::Event::Freed(host.clone()));
        }
        outcome.orders
    }

    pub(super) fn note_changes(&mut self, changes: Vec<(JobId, u32, Change)>) {
        let mut jobs: Vec<JobId> = Vec::new();
        for (job, index, change) in changes {
            self.jobs.want(&job, index, change);
            if jobs.last() != Some(&job) {
                jobs.push(job);
            }
        }
        for job in jobs {
            self.commit(&job);
        }
    }

    /// A task past its fetch shows that its image is in the machine's cache.
    fn note_images(&mut self, host: &HostId) {
        let Some(machine) = self.machines.get(host) else {
            return;
        };
        let cache_gb = self.flavor(&machine.rig).map_or(f64::MAX, |f| f.cache_gb);
        let Some(machine) = self.machines.get_mut(host) else {
            return;
        };
        let mut used = Vec::new();
        for (task, seen) in &machine.tasks {
            let fetched = match seen.stage {
                TaskStage::Fetching => false,
                TaskStage::Exited => matches!(seen.cause, Some(Cause::Done | Cause::Stopped)),
                _ => true,
            };
            if fetched && let Some(job) = self.jobs.get(&task.job) {
                used.push((&job.spec.image, job.spec.image_gb));
            }
        }
        for (image, gb) in used {
            if let Some(coming) = machine.coming.get(image) {
                let took_s = self.now.since(coming.used).secs();
                let others = machine.coming.len() - 1;
                tracing::debug!(%host, image = image.as_str(), gb, took_s, others, "fetched");
            }
            if machine.note_image(image, gb, cache_gb, self.now) {
                self.pool.touched.push(host.clone());
            }
        }
    }

    /// Stops replicas on machines that are being emptied, if another machine has room for them and
    /// their image, so that they run again at once.
    fn move_replicas(&mut self) {
        if self.now.since(self.moved_replica) < MOVE_EVERY {
            return;
        }
        let mut moved = Vec::new();
        let draining = self
            .machines
            .values()
            .filter(|m| self.drains.contains(&m.host));
        for machine in draining.filter(|m| self.token_for(&m.block).is_some()) {
            let replica = self.jobs.on_host(&machine.host).find_map(|(id, index)| {
                let job = self.jobs.get(id)?;
                let placement = job.task(*index).placement()?;
                let task = TaskId {
                    job: id.clone(),
                    index: *index,
                };
                let service = job.spec.shape == Shape::Service
                    && job.active()
                    && self.now.since(job.settled) > LONG_ENOUGH;
                let home = service
                    && !self.stops.contains_key(&task)
                    && self.machines.values().any(|m| {
                        (self.ours(m) || self.others(m))
                            && m.images.contains_key(&job.spec.image)
                            // With several replicas the zone is part of the bargain.
                            && (job.record.tasks == 1 || m.zone == machine.zone)
                            && job.spec.allows(&m.rig, &m.zone, m.spot)
                            && job.spec.room.fits_in(self.free(m))
                    });
                home.then(|| (task, placement.attempt, machine.host.clone()))
            });
            moved.extend(replica);
        }
        for (task, attempt, host) in moved {
            tracing::info!(?task, %host, "moving a replica");
            let save = false;
            self.stops.insert(task, Stop { attempt, save });
            self.poke(&host);
            self.moved_replica = self.now;
        }
    }

    /// Once in a while: leases of workers that ran out by our own clock, stops that are over, and
    /// machines that are no more.
    pub(super) fn notice_silence(&mut self) {
        if self.now.since(self.swept) < Millis(1_000) {
            return;
        }
        self.swept = self.now;
        self.note_quiet();
        self.fence();
        self.ask_silent();
        // The worker's clock may be slower than ours, and its timers late.
        let lease_s = self.settings.deployment.workers.lease_s;
        let lease = Millis::from_secs(lease_s * 1.002 + 1.5);
        let mut changes = Vec::new();
        for machine in self.machines.values() {
            let Some(token) = self.token_for(&machine.block) else {
                continue;
            };
            // While we keep machines alive anybody may renew their leases.
            if self.keeping.on() || !machine.lease_over(token, lease, self.now) {
                continue;
            }
            for (id, index) in self.jobs.on_host(&machine.host) {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let Some(placement) = job.task(*index).placement() else {
                    continue;
                };
                if placement.session <= machine.session && !job.changes.contains_key(index) {
                    let release = Change::Release {
                        attempt: placement.attempt,
                        evidence: Evidence::Holder(token),
                    };
                    changes.push((id.clone(), *index, release));
                }
            }
        }
        self.note_changes(changes);
        let now = self.now;
        for machine in self.machines.values_mut().filter(|m| !m.coming.is_empty()) {
            machine.forget_fetches(fetch_rate(&self.flavors, &machine.rig), now);
        }
        let jobs = &self.jobs;
        self.stops.retain(|task, stop| {
            jobs.get(&task.job)
                .and_then(|job| job.task(task.index).placement())
                .is_some_and(|placement| placement.attempt == stop.attempt)
        });
        self.move_replicas();
        let (now, jobs) = (self.now, &self.jobs);
        let wants = |id: &JobId| {
            jobs.get(id)
                .is_some_and(|job| job.active() && job.waiting() > 0)
        };
        let over: Vec<JobId> = self
            .nominations
            .jobs
            .iter()
            .filter(|(id, n)| n.until <= now || !wants(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            self.nominations.remove(&id);
        }
        self.to_preempt.retain(|id, _| jobs.get(id).is_some());
        self.trials.retain(|id| {
            jobs.get(id)
                .is_some_and(|job| job.active() && job.done == 0)
        });
        self.handed_early
            .retain(|_, since| now.since(*since) < HANDED_EARLY);
        self.machines
            .retain(|host, machine| now.since(machine.heard) < FORGET || jobs.busy(host));
        self.reconsider_all();
    }
}

#[cfg(test)]
mod tests;
