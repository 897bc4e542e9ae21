//! Workers' heartbeats: who answers them, and what they prove.

use std::collections::BTreeSet;

use rustc_hash::FxHashSet as HashSet;

use super::peer_messages::PeerStatus;
use super::{CommandReply, Controller, Effect};
use crate::fleet::{MachineTypeSpec, fetch_rate};
use crate::jobs::JobKind;
use crate::jobs::cache::{Evidence, Job, TaskChange};
use crate::queue;
use crate::types::{
    Attempt, ControllerId, FencingToken, JobId, MachineId, Millis, ReplyId, ShardId, TaskId, Zone,
};
use crate::workers::reachability::HeartbeatObservation;
use crate::workers::reconcile::{Stop, reconcile};
use crate::workers::wire::{ExitCause, Heartbeat, HeartbeatResponse, TaskStage, WorkerCommand};
use crate::workers::{FETCHES_LAST, Machine, shard_of};

/// A start that was refused for room shows that the machine holds more than we know.
const AFTER_REFUSAL: Millis = Millis(3_000);
/// Each move costs its replica a moment; one at a time keeps the service as a whole up.
const MOVE_EVERY: Millis = Millis(20_000);
/// A replica that just started is left where it is for this long.
const LONG_ENOUGH: Millis = Millis(40_000);
/// A job that was handed over and stays unknown for this long is forgotten.
const FORWARDED_EARLY_TTL: Millis = Millis(10_000);
/// A controller that gave its shards up, took some since, and heard nobody again waits so much longer before
/// it tries once more. Workers that reach nobody had shards change hands every few seconds.
const RELEASE_BACKOFF: Millis = Millis(10_000);
const MAX_RELEASE_BACKOFF_DOUBLINGS: u32 = 3;

fn pause_of(shards_given_up: u32) -> Millis {
    match shards_given_up {
        0 => Millis(0),
        again => Millis(RELEASE_BACKOFF.0 << (again - 1).min(MAX_RELEASE_BACKOFF_DOUBLINGS)),
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

fn starts(commands: &[WorkerCommand]) -> impl Iterator<Item = (TaskId, Attempt)> + '_ {
    commands.iter().filter_map(|order| match order {
        WorkerCommand::Start { task, attempt } => Some((task.clone(), *attempt)),
        _ => None,
    })
}

impl Controller {
    /// A worker that is silent for longer gets no new tasks.
    pub(super) fn silence(&self) -> Millis {
        Millis::from_secs(self.settings.deployment.workers.heartbeat_interval_s * 2.5)
    }

    pub(super) fn on_heartbeat(&mut self, reply: ReplyId, heartbeat: Heartbeat) {
        self.contact.last_heartbeat = self.now;
        self.contact.receives_heartbeats = true;
        self.contact.shard_release_streak = 0;
        let answer = self.answer_heartbeat(heartbeat);
        self.effects.push(Effect::Worker { reply, answer });
    }

    /// A controller that none of its workers reaches gives its shards up, and takes some again
    /// once it reaches workers.
    pub(super) fn check_worker_contact(&mut self) {
        if !self.contact.receives_heartbeats {
            if self.now.since(self.contact.last_inspection) >= INSPECT_EVERY {
                self.contact.last_inspection = self.now;
                let asked = self
                    .machines
                    .values()
                    .filter(|m| !self.autoscaler.fleet.gone.contains(&m.machine_id))
                    .max_by_key(|m| m.heard)
                    .and_then(|m| Some((m.machine_id.clone(), m.address?)));
                if let Some((machine_id, address)) = asked {
                    self.effects.push(Effect::Inspect {
                        machine_id,
                        address,
                    });
                }
            }
            return;
        }
        let one_way = Millis(self.silence().0 + 2_000);
        let expected = self
            .machines
            .values()
            .filter(|m| m.answered.is_some() && !self.autoscaler.fleet.gone.contains(&m.machine_id))
            .filter(|m| {
                self.token_for(&m.shard).is_some()
                    && self
                        .membership
                        .shard_moved_at
                        .get(&m.shard)
                        .is_none_or(|at| self.now.since(*at) > one_way)
                    && self.now.since(m.heard).0 < 4 * one_way.0
            })
            .count();
        if expected >= 2
            && self.now.since(self.contact.last_heartbeat) > one_way
            && !self.no_controller_receives_heartbeats()
        {
            tracing::info!(expected, "no heartbeats received, releasing shards");
            self.contact.receives_heartbeats = false;
            self.contact.last_inspection = self.now + pause_of(self.contact.shard_release_streak);
            self.contact.shard_release_streak += 1;
        }
    }

    /// Whether no other controller hears workers either: then it is they who can't report, and nobody would
    /// do better with our shards.
    fn no_controller_receives_heartbeats(&self) -> bool {
        let members = &self.settings.members;
        let one_way = |label| {
            self.recent_status(label)
                .is_some_and(|peer| !peer.receives_heartbeats)
        };
        !members.is_empty() && members.iter().all(|member| one_way(&member.label))
    }

    pub(super) fn on_inspected(&mut self, answered: bool) {
        if answered && !self.contact.receives_heartbeats {
            tracing::info!("workers reachable again");
            self.contact.receives_heartbeats = true;
            self.contact.last_heartbeat = self.now;
        }
    }

    /// What another controller said last, if that was just now.
    pub(super) fn recent_status(&self, controller: &ControllerId) -> Option<&PeerStatus> {
        let peer = self.peers.statuses.get(controller);
        peer.filter(|peer| self.now.since(peer.heard) <= WORD_HOLDS)
    }

    /// When anybody heard a machine last, as far as we know; 0: never.
    pub(super) fn last_heard(&self, machine_id: &MachineId) -> Millis {
        let known = self.machines.get(machine_id).map(|m| m.heard);
        let heard = known.or(self.contact.relayed_heartbeats.get(machine_id).copied());
        heard.unwrap_or_default()
    }

    /// How long a machine has been silent, by the word of whoever holds its shard now; nobody
    /// else can tell. A holder that hears nobody can't either.
    pub(super) fn silent_for(&self, machine_id: &MachineId, shard: &ShardId) -> Option<Silence> {
        let (holder, _) = self.membership.leases.shards.get(shard)?;
        let held = self
            .membership
            .shard_moved_at
            .get(shard)
            .map_or(self.now, |at| self.now.since(*at));
        let heard = self.last_heard(machine_id);
        let can_tell = if *holder == self.me {
            self.contact.receives_heartbeats
                && self.now.since(self.contact.last_heartbeat) <= self.silence()
        } else {
            self.recent_status(holder)
                .is_some_and(|peer| peer.receives_heartbeats)
        };
        can_tell.then(|| Silence {
            since_heard: self.now.since(heard),
            held,
        })
    }

    /// Whether most other machines of the zone are heard: then it is the machine that is silent,
    /// not the network.
    pub(super) fn zone_speaks(&self, machine_id: &MachineId, zone: &Zone) -> bool {
        let read_barrier = self.silence();
        let others: Vec<bool> = self
            .machines
            .values()
            .filter(|m| {
                m.zone == *zone
                    && m.machine_id != *machine_id
                    && !self.autoscaler.fleet.gone.contains(&m.machine_id)
            })
            .filter(|m| self.now.since(m.heard).0 < 8 * read_barrier.0)
            .map(|m| self.now.since(m.heard) <= read_barrier)
            .collect();
        let speaking = others.iter().filter(|speaks| **speaks).count();
        speaking >= 2 && speaking * 3 >= others.len() * 2
    }

    pub(super) fn answer_heartbeat(&mut self, heartbeat: Heartbeat) -> HeartbeatResponse {
        let parts = self.settings.operator.blocks_per_zone;
        let shard = shard_of(&heartbeat.machine_id, &heartbeat.zone, parts);
        let Some(token) = self.token_for(&shard) else {
            if let Some(kept) = self.renew_for_partitioned_holder(&shard, heartbeat.worker_token) {
                return kept;
            }
            return match self.membership.leases.shards.get(&shard) {
                Some((holder, _)) => HeartbeatResponse::Redirect(Some(holder.clone())),
                None => HeartbeatResponse::RetryLater,
            };
        };
        let worker_token = self.worker_token(token);
        if heartbeat.worker_token > worker_token {
            // Somebody holds this shard under a higher token, whatever we have heard so far.
            return HeartbeatResponse::Redirect(None);
        }
        if !self.may_answer() {
            return HeartbeatResponse::RetryLater;
        }
        let complete = self.complete(&shard);
        let none = HeartbeatResponse::Commands {
            worker_token,
            commands: Vec::new(),
        };
        let (now, me) = (self.now, self.me.clone());
        let silence = self.silence();
        let lease_s = self.settings.deployment.workers.lease_s;
        // An agent epoch that ends sooner after an answer has not heard it.
        let most = Millis::from_secs(lease_s * 0.75);
        let lease = Millis::from_secs(lease_s * 1.05 + 2.0);
        let machine = self
            .machines
            .entry(heartbeat.machine_id.clone())
            .or_insert_with(|| {
                let (machine_type, zone) = (heartbeat.machine_type.clone(), heartbeat.zone.clone());
                Machine::new(
                    heartbeat.machine_id.clone(),
                    machine_type,
                    zone,
                    heartbeat.spot,
                    shard,
                    me.clone(),
                )
            });
        // Whatever its age, the worker's lease may be renewed by this answer.
        let answered = machine.answered.replace((token, now));
        if !machine.newer(heartbeat.agent_epoch, heartbeat.heartbeat_sequence) {
            return none;
        }
        let was_fit = machine.fit(now, silence) && machine.worker_token.token() >= token;
        let said = HeartbeatObservation {
            agent_epoch: heartbeat.agent_epoch,
            unexpected: now.since(machine.heard) > silence,
            broken: heartbeat.agent_epoch > machine.agent_epoch
                && answered.is_some_and(|(under, at)| under == token && now.since(at) < most),
            obeyed: machine.obeyed(&heartbeat),
        };
        machine.reachability.reported(said, lease, now);
        machine.reported = now;
        machine.take_in(&heartbeat, now, &me);
        machine.note_aware(token, now);
        let ask = !machine.reachability.proved();
        let machine_id = heartbeat.machine_id.clone();
        if ask {
            // Whether it is there, and hears us, is asked at once.
            self.ask(&machine_id);
        }
        let Some(machine) = self.machines.get_mut(&machine_id) else {
            return none;
        };
        if machine.worker_token.token() < token || !complete {
            // Its first heartbeat to us: it sees our token in the answer and reports again at once. A
            // holder that does not know yet what was placed before it came gives no commands: a
            // task that has left the machine since would start there once more.
            return none;
        }
        machine.direct.enter(token, machine.agent_epoch);
        machine.direct.piggybacked_starts.clear();
        let fit = machine.fit(now, silence);
        if fit && !was_fit {
            self.wake(queue::ClusterEvent::Machine(machine_id.clone()));
        }
        let commands = self.see_to(&machine_id, token);
        if let Some(machine) = self.machines.get_mut(&machine_id) {
            machine.direct.piggybacked_starts = starts(&commands).collect();
        }
        HeartbeatResponse::Commands {
            worker_token,
            commands,
        }
    }

    /// Sends a worker its starts and stops without waiting for its heartbeat. Only to one that was
    /// heard just now: a start that stays without an answer ties the task to the machine.
    pub(super) fn push_commands(&mut self, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let Some(token) = self.token_for(&machine.shard) else {
            return;
        };
        let seen = machine.worker_token.token() == token && self.complete(&machine.shard);
        let (Some(address), true) = (machine.address, seen) else {
            return;
        };
        let heard = machine.answered.is_some_and(|(under, _)| under == token)
            && machine.reachability.proved()
            && self.now.since(machine.heard) <= self.silence();
        if !heard || !self.may_answer() {
            return;
        }
        let gathering = |job: &Job| self.gathering(job);
        let mut commands =
            reconcile(machine, token, &self.jobs, &self.scheduler.stops, gathering).commands;
        // An attempt is forgotten, and one that waited alone is started once more, only by the
        // answer to a heartbeat: direct commands may come minutes late.
        let forgotten: HashSet<(TaskId, Attempt)> = commands
            .iter()
            .filter_map(|order| match order {
                WorkerCommand::Forget { task, attempt } => Some((task.clone(), *attempt)),
                _ => None,
            })
            .collect();
        commands.retain(|order| match order {
            WorkerCommand::Forget { .. } => false,
            WorkerCommand::Start { task, attempt } => {
                !forgotten.contains(&(task.clone(), *attempt))
            }
            WorkerCommand::Stop { .. } => true,
        });
        let agent_epoch = machine.agent_epoch;
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if commands.is_empty() || machine.direct.busy {
            machine.direct.again |= !commands.is_empty();
            return;
        }
        machine.direct.enter(token, agent_epoch);
        machine.direct.busy = true;
        machine.direct.again = false;
        let unacknowledged_starts = &mut machine.direct.unacknowledged_starts;
        machine.direct.sent = starts(&commands)
            // One that is loose already stays so, whatever becomes of this request.
            .filter(|start| unacknowledged_starts.insert(start.clone()))
            .collect();
        let (machine_id, worker_token) = (machine_id.clone(), self.worker_token(token));
        self.effects.push(Effect::Direct {
            machine_id,
            address,
            worker_token,
            agent_epoch,
            commands,
        });
    }

    pub(super) fn on_direct(&mut self, machine_id: &MachineId, answer: Option<CommandReply>) {
        let (now, me, silence) = (self.now, self.me.clone(), self.silence());
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.direct.busy = false;
        let again = std::mem::take(&mut machine.direct.again);
        let sent = std::mem::take(&mut machine.direct.sent);
        let Some(answer) = answer else { return };
        for start in sent {
            machine.direct.unacknowledged_starts.remove(&start);
        }
        let shard = machine.shard.clone();
        let unable_to_report = self.is_unable_to_report(machine_id);
        if let (Some(heartbeat), Some(token)) = (answer.heartbeat, self.token_for(&shard))
            && let Some(machine) = self.machines.get_mut(machine_id)
            && heartbeat.machine_id == *machine_id
            && heartbeat.worker_token.token() <= token
            && machine.newer(heartbeat.agent_epoch, heartbeat.heartbeat_sequence)
        {
            let was_fit = machine.fit(now, silence) && machine.worker_token.token() >= token;
            if unable_to_report {
                machine.reachability.unable_to_report(now);
            } else {
                machine.reachability.prove();
            }
            if heartbeat.agent_epoch != machine.agent_epoch {
                // The lease of an agent epoch that we did not know of runs from when it began, not from
                // when we answered a heartbeat last.
                machine.aware = None;
            }
            machine.take_in(&heartbeat, now, &me);
            machine.note_aware(token, now);
            if machine.worker_token.token() == token {
                machine.direct.enter(token, heartbeat.agent_epoch);
                if machine.fit(now, silence) && !was_fit {
                    self.wake(queue::ClusterEvent::Machine(machine_id.clone()));
                }
                if unable_to_report {
                    self.evacuate_unable_to_report(machine_id);
                }
                let commands = self.see_to(machine_id, token);
                if unable_to_report {
                    self.stop_where_unable_to_report(machine_id, token, commands);
                }
            }
        }
        if again {
            self.push_commands(machine_id);
        }
    }

    /// Draws from a machine's newest report what it still proves.
    pub(super) fn look_again(&mut self, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        if let Some(token) = self.token_for(&machine.shard)
            && self.complete(&machine.shard)
        {
            self.see_to(machine_id, token);
        }
    }

    /// Whether tasks of a gang may still be fetching its image, wherever they were placed.
    fn gathering(&self, job: &Job) -> bool {
        let rates = self.autoscaler.type_specs.iter().map(MachineTypeSpec::rate);
        let fetch_s = job.spec.image_gb / rates.fold(f64::MAX, f64::min);
        let most = self.settings.deployment.workers.gang_wait_s + FETCHES_LAST * fetch_s;
        job.whole_gang() && self.now.since(job.settled) < Millis::from_secs(most)
    }

    /// Compares a machine's newest report with the records.
    pub(super) fn see_to(
        &mut self,
        machine_id: &MachineId,
        token: FencingToken,
    ) -> Vec<WorkerCommand> {
        self.note_images(machine_id);
        self.drain_warned(machine_id);
        let Some(machine) = self.machines.get(machine_id) else {
            return Vec::new();
        };
        let gathering = |job: &Job| self.gathering(job);
        let outcome = reconcile(machine, token, &self.jobs, &self.scheduler.stops, gathering);
        let refused_until = self.now + AFTER_REFUSAL;
        if let Some(machine) = self.machines.get_mut(machine_id) {
            if outcome.successes > 0 {
                machine.note_success();
            }
            if outcome
                .failures
                .iter()
                .any(|(_, c)| *c == ExitCause::NoRoom)
            {
                machine.refused_until = refused_until;
            }
        }
        let mut failed = BTreeSet::new();
        for (job, cause) in &outcome.failures {
            tracing::debug!(%job, %machine_id, ?cause, "task failed");
            if *cause == ExitCause::Error {
                failed.insert(job.clone());
            } else {
                self.scheduler.failed_jobs.insert(job.clone());
            }
        }
        self.tasks_failed(failed, machine_id);
        if !outcome.changes.is_empty() {
            self.note_changes(outcome.changes);
            self.wake(queue::ClusterEvent::Freed(machine_id.clone()));
        }
        outcome.commands
    }

    pub(super) fn note_changes(&mut self, changes: Vec<(JobId, u32, TaskChange)>) {
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
    fn note_images(&mut self, machine_id: &MachineId) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let cache_gb = self
            .type_spec(&machine.machine_type)
            .map_or(f64::MAX, |f| f.cache_gb);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let mut used = Vec::new();
        for (task, seen) in &machine.tasks {
            let fetched = match seen.stage {
                TaskStage::Fetching => false,
                TaskStage::Exited => {
                    matches!(seen.cause, Some(ExitCause::Done | ExitCause::Stopped))
                }
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
                tracing::debug!(%machine_id, image = image.as_str(), gb, took_s, others, "image fetched");
            }
            if machine.note_image(image, gb, cache_gb, self.now) {
                self.scheduler.candidates.touched.push(machine_id.clone());
            }
        }
    }

    /// Stops replicas on machines that are being emptied, if another machine has room for them and
    /// their image, so that they run again at once.
    fn move_replicas(&mut self) {
        if self.now.since(self.scheduler.replica_moved_at) < MOVE_EVERY {
            return;
        }
        let mut moved = Vec::new();
        let draining = self
            .machines
            .values()
            .filter(|m| self.autoscaler.drains.contains(&m.machine_id));
        for machine in draining.filter(|m| self.token_for(&m.shard).is_some()) {
            let replica = self
                .jobs
                .on_machine(&machine.machine_id)
                .find_map(|(id, index)| {
                    let job = self.jobs.get(id)?;
                    let placement = job.task(*index).placement()?;
                    let task = TaskId {
                        job: id.clone(),
                        index: *index,
                    };
                    let service = job.spec.kind == JobKind::Service
                        && job.active()
                        && self.now.since(job.settled) > LONG_ENOUGH;
                    let owner = service
                        && !self.scheduler.stops.contains_key(&task)
                        && self.machines.values().any(|m| {
                            (self.ours(m) || self.others(m))
                            && m.images.contains_key(&job.spec.image)
                            // With several replicas the zone is part of the bargain.
                            && (job.record.tasks == 1 || m.zone == machine.zone)
                            && job.spec.allows(&m.machine_type, &m.zone, m.spot)
                            && job.spec.resources.fits_in(self.available(m))
                        });
                    owner.then(|| (task, placement.attempt, machine.machine_id.clone()))
                });
            moved.extend(replica);
        }
        for (task, attempt, machine_id) in moved {
            tracing::info!(?task, %machine_id, "replica migration started");
            let save = false;
            self.scheduler.stops.insert(task, Stop { attempt, save });
            self.push_commands(&machine_id);
            self.scheduler.replica_moved_at = self.now;
        }
    }

    /// Once in a while: leases of workers that ran out by our own clock, stops that are over, and
    /// machines that are no more.
    pub(super) fn detect_silent_machines(&mut self) {
        if self.now.since(self.contact.last_sweep) < Millis(1_000) {
            return;
        }
        self.contact.last_sweep = self.now;
        self.note_quiet();
        self.fence();
        self.ask_silent();
        // The worker's clock may be slower than ours, and its timers late.
        let lease_s = self.settings.deployment.workers.lease_s;
        let lease = Millis::from_secs(lease_s * 1.002 + 1.5);
        let mut changes = Vec::new();
        for machine in self.machines.values() {
            let Some(token) = self.token_for(&machine.shard) else {
                continue;
            };
            // While we keep machines alive anybody may renew their leases.
            if self.partition.mode.on() || !machine.lease_over(token, lease, self.now) {
                continue;
            }
            for (id, index) in self.jobs.on_machine(&machine.machine_id) {
                let Some(job) = self.jobs.get(id) else {
                    continue;
                };
                let Some(placement) = job.task(*index).placement() else {
                    continue;
                };
                if placement.agent_epoch <= machine.agent_epoch && !job.changes.contains_key(index)
                {
                    let release = TaskChange::Release {
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
            machine.forget_fetches(
                fetch_rate(&self.autoscaler.type_specs, &machine.machine_type),
                now,
            );
        }
        let jobs = &self.jobs;
        self.scheduler.stops.retain(|task, stop| {
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
            .scheduler
            .nominations
            .jobs
            .iter()
            .filter(|(id, n)| n.until <= now || !wants(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            self.scheduler.nominations.remove(&id);
        }
        self.scheduler
            .preemption_requests
            .retain(|id, _| jobs.get(id).is_some());
        self.scheduler.crash_loops.retain(|id| {
            jobs.get(id)
                .is_some_and(|job| job.active() && job.done == 0)
        });
        self.scheduler
            .forwarded_early
            .retain(|_, since| now.since(*since) < FORWARDED_EARLY_TTL);
        self.machines.retain(|machine_id, machine| {
            now.since(machine.heard) < FORGET || jobs.busy(machine_id)
        });
        self.reconsider_all();
    }
}

#[cfg(test)]
mod tests;
