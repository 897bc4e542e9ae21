//! How changes of tasks reach the state service: one transaction at a time per job, conditioned
//! on all that the decision rested on.

use std::collections::{BTreeMap, BTreeSet};

use super::{After, Controller, Effect, Purpose};
use crate::admission::backlog::Lane;
use crate::jobs::cache::{Change, Evidence, Job, Writing};
use crate::jobs::record::{JobRecord, encode_page, job_key, page_key};
use crate::jobs::{Phase, Rank, Shape, Task};
use crate::lease::{LEADER, block_key};
use crate::peers::{Left, Message};
use crate::quota;
use crate::settings::TeamSettings;
use crate::store::{Answer, Class, Txn};
use crate::types::{Attempt, BlockId, HostId, JobId, Millis, Revision, Room};

/// Pages of one transaction: with 8 KiB each they stay below 64 KiB.
const MOST_PAGES: usize = 6;

/// Transactions of jobs under way at a time. One that waited long for the budget would rest on
/// versions that others have changed since; what waits here is gathered instead, and written as
/// it stands when its turn comes.
const MOST_UNDER_WAY: usize = 3;
/// Of the changes that are allowed, so many seconds' worth are under way.
const UNDER_WAY_S: f64 = 0.1;
/// Ends are gathered for so long: changes are what the service's limit counts, and their room is
/// free meanwhile.
const GATHER: Millis = Millis(3_000);
/// The same while changes are short.
const GATHER_SHORT: Millis = Millis(45_000);
/// While changes are short, the first starts of an array wait so long for room for more of them.
const MORE_ROOM: Millis = Millis(2_500);
/// The last tasks of a job that is being taken apart are waited for so long.
const MATES: Millis = Millis(400);
/// What a job's home was told of is written here after this long, if it was not there.
const HOME_WRITES: Millis = Millis(12_000);
/// Urgent work goes before other work that has waited up to so long.
const URGENT_FIRST: Millis = Millis(2_000);
/// A team that uses this part of its limit waits for every end.
const NEAR_LIMIT: f64 = 0.8;

impl Controller {
    /// Has a job's noted changes written when it is their turn.
    pub(super) fn commit(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.writing != Writing::Idle || job.changes.is_empty() || self.ends.waits(job, self.now)
        {
            return;
        }
        let ends = job.changes.values().all(Change::finishes);
        let all = job.done as usize + job.changes.len() >= job.record.tasks as usize;
        let near = |team: &TeamSettings| {
            let used = self.jobs.usage(&team.name).times(1.0 / NEAR_LIMIT);
            !quota::within(used, team)
        };
        let (now, urgent) = (self.now, Millis(self.now.0.saturating_sub(URGENT_FIRST.0)));
        // While changes are short, waiting for company costs less than a change.
        let short = self.short();
        let gather = if short { GATHER_SHORT } else { GATHER };
        // Room that a task has left may be what a gang waits for on another's word.
        let starts = job.changes.values().all(|c| matches!(c, Change::Place(_)));
        let part = job.spec.shape == Shape::Array && job.waiting() > 0 && starts;
        // Other holders are about to say that their tasks of it have left too.
        let more = job.placed as usize > job.changes.len();
        let (lane, turn) = if !job.active() {
            // Somebody waits to hear that a cancelled job's tasks are gone.
            (Lane::Ends, if more { now + MATES } else { urgent })
        } else if ends && (all || job.whole_gang()) {
            (Lane::Ends, now)
        } else if ends && self.limits(job).iter().any(near) {
            (Lane::Gathered, if short { now + GATHER } else { now })
        } else if ends {
            (Lane::Gathered, now + gather)
        } else if more && job.broken_gang() {
            (Lane::Places, now + MATES)
        } else if job.whole_gang() && job.placed == 0 {
            // Its room is on machines of several holders, who may take it meanwhile.
            (Lane::Ends, urgent)
        } else if job.spec.rank >= Rank::Urgent {
            (Lane::Places, urgent)
        } else if short && part {
            (Lane::Places, now + MORE_ROOM)
        } else {
            (Lane::Places, now)
        };
        let class = self.flows.of(&job.spec).class;
        let turn = if self.told_home(id) {
            turn + HOME_WRITES
        } else {
            turn
        };
        self.unwritten.add(id, lane, class, turn);
        self.write_next();
    }

    /// Tells a job's home what left its machines here, if that can write it for all holders.
    fn told_home(&mut self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let home = &job.record.home;
        let there = self.leases.nodes.contains_key(home) && self.word_of(home).is_some();
        if *home == self.me || !there {
            return false;
        }
        let token = |index| {
            let block = &job.task(index).placement()?.block;
            self.leases.holds(block, &self.me)
        };
        self.ends.tell(home, job, token, self.now)
    }

    /// Sends the homes what there is to tell, and sees to what they have not written yet.
    pub(super) fn tell_homes(&mut self) {
        let jobs = &self.jobs;
        let waits = |id: &JobId| {
            jobs.get(id)
                .is_some_and(|job| job.writing == Writing::Idle && !job.changes.is_empty())
        };
        let mut due = self.ends.pending(waits);
        due.extend(self.ends.due(self.now));
        for id in due {
            self.commit(&id);
        }
        for (to, left) in self.ends.take() {
            let message = Message::Left(left);
            self.effects.push(Effect::Peer { to, message });
        }
    }

    /// Tasks of jobs of ours have left machines of other holders. Whether that still holds is
    /// checked once more when it is written.
    pub(super) fn on_left(&mut self, left: Vec<Left>) {
        let mut changes = Vec::new();
        for left in left {
            let id = JobId::from(left.job.as_str());
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if left.index >= job.record.tasks || job.changes.contains_key(&left.index) {
                continue;
            }
            let Task::Placed(placement) = job.task(left.index) else {
                continue;
            };
            let token = self.leases.blocks.get(&placement.block).map(|(_, t)| t.0);
            if placement.attempt.0 == left.attempt && token == Some(left.token) {
                changes.push((id, left.index, left.change()));
            }
        }
        self.note_changes(changes);
    }

    /// Forgets noted changes of tasks that another has written meanwhile.
    pub(super) fn drop_overtaken(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.writing != Writing::Idle {
            return;
        }
        let over = |index: &u32, attempt: &Attempt| {
            let placement = job.task(*index).placement();
            placement.is_none_or(|p| p.attempt != *attempt)
        };
        let stale: Vec<u32> = job
            .changes
            .iter()
            .filter(|(index, change)| match change {
                Change::Place(_) => false,
                Change::Finish { attempt } | Change::Release { attempt, .. } => {
                    over(index, attempt)
                }
            })
            .map(|(index, _)| *index)
            .collect();
        self.jobs.discard(id, &stale);
    }

    pub(super) fn write_next(&mut self) {
        // What waits in the budget's queue rests on versions that grow old.
        let most = (self.shared.allowed * UNDER_WAY_S).ceil() as usize;
        while self.unwritten.under_way < most.clamp(1, MOST_UNDER_WAY)
            && let Some(id) = self.unwritten.next(self.now)
        {
            self.write(&id);
        }
    }

    /// Writes a job's noted changes, if none are on their way.
    fn write(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.writing != Writing::Idle || job.changes.is_empty() {
            return;
        }
        let ops = self.settings.deployment.state.txn_ops;
        let mut txn = Txn::default();
        txn.require(job_key(id), job.version);
        let mut pages: BTreeMap<u32, Vec<Task>> = BTreeMap::new();
        let mut changes = Vec::new();
        let mut stale = Vec::new();
        let (mut placing, mut unplaced, mut borrowed) = (false, false, false);
        // Zones of a job in many pages are agreed on through its first page.
        let tied = (job.spec.one_zone || job.spec.spread) && job.record.pages() > 1;
        for (index, change) in &job.changes {
            let page = index / job.record.page;
            if !pages.contains_key(&page) && pages.len() >= MOST_PAGES.min(ops.saturating_sub(4)) {
                break;
            }
            // No higher token may exist when this is written. The leader places in blocks of
            // others too: whoever holds the block then starts the task.
            let held = |block| self.leases.holds(block, &self.me);
            let known = |block| self.leases.blocks.get(block).map(|(_, token)| *token);
            let leads = self.leading().is_some();
            let next = match (change, job.task(*index)) {
                (Change::Place(placement), Task::Waiting { tried })
                    if job.active() && *tried < placement.attempt =>
                {
                    // Somebody else may have placed a task there since this one was reserved.
                    let machine = self.machines.get(&placement.host).filter(|machine| {
                        machine.session == placement.session
                            && Room::default().fits_in(self.free(machine))
                    });
                    let token = held(&placement.block);
                    let token = token.or_else(|| known(&placement.block).filter(|_| leads));
                    let token = token.filter(|_| machine.is_some());
                    let next = Task::Placed(placement.clone());
                    token.map(|token| (next, Some((&placement.block, token))))
                }
                (Change::Release { attempt, evidence }, Task::Placed(placement))
                    if placement.attempt == *attempt =>
                {
                    let tried = placement.attempt;
                    let under = match evidence {
                        Evidence::Deleted => Some(None),
                        Evidence::Holder(token) if known(&placement.block) == Some(*token) => {
                            Some(Some((&placement.block, *token)))
                        }
                        Evidence::Holder(_) => None,
                    };
                    under.map(|under| (Task::Waiting { tried }, under))
                }
                (Change::Finish { attempt }, Task::Placed(placement))
                    if placement.attempt == *attempt =>
                {
                    known(&placement.block)
                        .map(|token| (Task::Done, Some((&placement.block, token))))
                }
                _ => None,
            };
            let places = matches!(change, Change::Place(_));
            let Some((next, under)) = next else {
                stale.push(*index);
                unplaced |= places;
                continue;
            };
            if let Some((block, token)) = under {
                txn.require(block_key(block), Revision(token.0));
                borrowed |= places && self.leases.holds(block, &self.me).is_none();
            }
            placing |= places;
            let tasks = pages.entry(page).or_insert_with(|| job.page_tasks(page));
            if let Some(slot) = tasks.get_mut((index % job.record.page) as usize) {
                *slot = next;
            }
            changes.push((*index, change.clone()));
        }
        // The tasks of a gang complete together: one that is done shows that all of its attempt are,
        // also those that left their machines unseen.
        let finished = changes.iter().find_map(|(_, change)| match change {
            Change::Finish { attempt } => Some(*attempt),
            _ => None,
        });
        if let Some(finished) = finished.filter(|_| job.whole_gang() && job.active())
            && job.record.pages() as usize <= MOST_PAGES
        {
            for page in 0..job.record.pages() {
                let tasks = pages.entry(page).or_insert_with(|| job.page_tasks(page));
                for (index, task) in (page * job.record.page..).zip(tasks) {
                    let attempt = match task {
                        Task::Placed(placement) => placement.attempt,
                        Task::Waiting { tried } => *tried,
                        Task::Done => continue,
                    };
                    if attempt == finished {
                        *task = Task::Done;
                        changes.retain(|(other, _)| *other != index);
                        changes.push((index, Change::Finish { attempt }));
                    }
                }
            }
        }
        if placing && tied && !pages.contains_key(&0) {
            pages.insert(0, job.page_tasks(0));
        }
        let mut blocks: Vec<(BlockId, u32)> = Vec::new();
        for (_, change) in &changes {
            if let Change::Place(placement) = change {
                match blocks.iter_mut().find(|(b, _)| *b == placement.block) {
                    Some((_, tasks)) => *tasks += 1,
                    None => blocks.push((placement.block.clone(), 1)),
                }
            }
        }
        // Others may have placed tasks of the job since these were reserved. A gang is placed as a
        // whole, and nothing beyond the shares of its team's limit.
        let whole = !(unplaced && job.whole_gang());
        if !whole || placing && !job.zones_allowed() || !self.require_shares(job, &mut txn, &blocks)
        {
            return self.settle(id);
        }
        if placing {
            self.require_tree(&mut txn);
        }
        if let Some(lead) = self.leading().filter(|_| borrowed) {
            // In blocks of others a leader places on what it knows of all: carried out after its term,
            // it would add to what its successor has dealt out meanwhile.
            txn.require(LEADER.into(), lead);
        }
        for page in pages.keys() {
            txn.require(page_key(id, *page), job.page_version(*page));
        }
        let finished = changes.iter().filter(|(_, c)| c.finishes()).count() as u32;
        let complete = job.active() && job.done + finished == job.record.tasks;
        // With the last task of a job that is over goes what is left of the job: its record needs
        // no spec any more, and its pages are dropped when there is time.
        let cleared =
            !job.active() && job.placed as usize == changes.len() && self.knows_all_of(job);
        if complete || cleared {
            let record = JobRecord {
                phase: if complete {
                    Phase::Done
                } else {
                    Phase::Aborted
                },
                spec: None,
                ..job.record.clone()
            };
            txn.put(job_key(id), &record);
            pages.clear();
        }
        for (page, tasks) in pages {
            txn.put_text(page_key(id, page), encode_page(&tasks), None);
        }
        self.jobs.discard(id, &stale);
        if changes.is_empty() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.writing = Writing::InFlight;
        }
        let job = id.clone();
        self.unwritten.under_way += 1;
        self.transact(Class::Jobs, txn, Purpose::Changes { job, changes });
    }

    pub(super) fn on_changes(&mut self, id: JobId, changes: Vec<(u32, Change)>, answer: Answer) {
        self.unwritten.under_way -= 1;
        let indices: Vec<u32> = changes.iter().map(|(index, _)| *index).collect();
        match answer {
            Answer::Committed(_) => {
                for (index, change) in &changes {
                    tracing::debug!(job = %id, index, ?change, "committed");
                }
                self.jobs.discard(&id, &indices);
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.writing = Writing::Idle;
                }
                self.commit(&id);
                self.consider(&id);
                let hosts: BTreeSet<HostId> = changes
                    .into_iter()
                    .filter_map(|(_, change)| match change {
                        Change::Place(placement) => Some(placement.host),
                        _ => None,
                    })
                    .collect();
                for host in hosts {
                    self.poke(&host);
                }
            }
            Answer::Conflict(revision) => {
                tracing::debug!(job = %id, "changes were overtaken");
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.writing = Writing::Settling(Some(revision));
                }
                self.settle_at(id, revision);
            }
            Answer::Unknown => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.writing = Writing::Settling(None);
                }
                if self.void_later(&id, &changes) {
                    return;
                }
                self.once_fresh(After::Settle { job: id });
            }
            _ => self.settle(&id),
        }
        self.write_next();
    }

    /// A transaction that did not plainly succeed is over, and the cache shows what came of it.
    /// All noted changes are dropped: the next reports and cycles bring back what still holds.
    pub(super) fn settle(&mut self, id: &JobId) {
        // Of tasks that left their machines, the last reports still hold: replicas on two holders'
        // machines end at once, and one of the two had to wait for its machine's next report.
        let ended = self.jobs.get(id).map(|job| {
            let left = job
                .changes
                .iter()
                .filter(|(_, c)| !matches!(c, Change::Place(_)));
            let hosts =
                left.filter_map(|(index, _)| Some(job.task(*index).placement()?.host.clone()));
            hosts.collect::<BTreeSet<HostId>>()
        });
        // What is done stays done, and other holders say it only once.
        let done: Vec<(u32, Change)> = self
            .jobs
            .get(id)
            .map(|job| {
                let done = job.changes.iter().filter(|(_, c)| c.finishes());
                done.map(|(index, c)| (*index, c.clone())).collect()
            })
            .unwrap_or_default();
        self.jobs.discard_changes(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.writing = Writing::Idle;
            self.fail_later(id);
        }
        for host in ended.unwrap_or_default() {
            self.look_again(&host);
        }
        for (index, change) in done {
            let noted = |job: &Job| job.changes.contains_key(&index);
            if self.jobs.get(id).is_some_and(|job| !noted(job)) {
                self.jobs.want(id, index, change);
            }
        }
        self.drop_overtaken(id);
        self.commit(id);
    }

    /// Forgets the description of a job that is over once no task of it is anywhere.
    pub(super) fn clear(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.active() || job.placed > 0 || job.writing != Writing::Idle {
            return;
        }
        if !self.knows_all_of(job) {
            let (version, job) = (job.version, id.clone());
            return self.once_applied(version, self.now, After::Clear { job });
        }
        // A user waits for it.
        let class = match job.record.phase {
            Phase::Aborting => Class::Cancellations,
            _ => Class::Rest,
        };
        let mut txn = Txn::default();
        txn.require(job_key(id), job.version);
        let record = JobRecord {
            phase: Phase::Aborted,
            spec: None,
            ..job.record.clone()
        };
        txn.put(job_key(id), &record);
        if let Some(job) = self.jobs.get_mut(id) {
            job.writing = Writing::InFlight;
        }
        self.transact(class, txn, Purpose::Clear { job: id.clone() });
    }

    /// Whether the cache shows all that was placed of a job before it was cancelled: nothing can be
    /// any more. A placement that is not known yet would be on its machine when the user hears
    /// that the job is over.
    fn knows_all_of(&self, job: &Job) -> bool {
        self.applied >= job.version
    }

    /// The leader drops pages of jobs that are over while there is nothing else to write. No
    /// transaction can bring them back: all rest on the version of the job's record.
    pub(super) fn drop_leftovers(&mut self) {
        if !self.unwritten.is_empty() || self.dropping || !self.may_place() {
            return;
        }
        let ops = self.settings.deployment.state.txn_ops;
        // Everyone sees the pages; one drops them.
        let Some(lead) = self.leading() else { return };
        let mut txn = Txn::default();
        txn.require(LEADER.into(), lead);
        for (id, page) in self.jobs.leftovers().take(ops) {
            txn.drop_key(page_key(id, *page));
        }
        if txn.changes.is_empty() {
            return;
        }
        self.dropping = true;
        self.transact(Class::Rest, txn, Purpose::Dropped);
    }

    pub(super) fn on_cleared(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.writing = Writing::Idle;
        }
    }
}

#[cfg(test)]
pub(super) mod tests {
    use std::sync::Arc;

    use super::*;
    use crate::jobs::api::{parse, tests::body};
    use crate::jobs::{Placement, Spec};
    use crate::lease::Own;
    use crate::settings::{Settings, tests::settings};
    use crate::store::Call;
    use crate::types::{Permit, Session, Token};
    use crate::workers::Machine;

    fn placed(host: &str, block: &str, attempt: u64) -> Task {
        Task::Placed(Placement {
            host: host.into(),
            block: BlockId::parse(block).unwrap(),
            session: Session(1),
            attempt: Attempt(attempt),
        })
    }

    /// A controller that holds block a.0 under token 5 and knows one machine there and one in b.0.
    pub fn controller(spec: Spec, tasks: Vec<Task>) -> (Controller, JobId) {
        controller_with(&settings(), spec, tasks)
    }

    pub fn controller_with(
        settings: &serde_json::Value,
        spec: Spec,
        tasks: Vec<Task>,
    ) -> (Controller, JobId) {
        let settings = Settings::parse("f", &settings.to_string()).unwrap();
        let mut controller = Controller::new(Arc::new(settings), 1);
        controller.synced = true;
        controller.leases.own = Own::Held {
            permit: Permit(1),
            until: Millis(60_000),
        };
        for block in ["a.0", "b.0"] {
            let record = r#"{"holder":"n0","permit":1}"#;
            controller.feed(&format!("jt/block/{block}"), Some(record), Revision(5));
        }
        let flavor = r#"[{"sku":"g8","room":{"cpus":96.0,"gpus":8.0,"memory_gb":768.0},"cache_gb":100.0,
            "fetch_gb_per_s":1.0,"price":10.0,"spot_price":4.0,"boot_s":30.0,"zones":["a","b"]}]"#;
        controller.feed("jt/flavors", Some(flavor), Revision(1));
        for (host, zone) in [("vm-a", "a"), ("vm-b", "b")] {
            let block = BlockId {
                zone: zone.into(),
                part: 0,
            };
            let (id, by) = (HostId::from(host), "n0".into());
            let mut machine = Machine::new(id.clone(), "g8".into(), zone.into(), false, block, by);
            machine.session = Session(1);
            controller.machines.insert(id, machine);
        }
        let id = JobId::from("job-1");
        let record = JobRecord {
            phase: Phase::Active,
            home: "n0".into(),
            tasks: spec.tasks,
            page: 8,
            spec: Some(spec),
        };
        let record = serde_json::to_string(&record).unwrap();
        controller.feed(&job_key(&id), Some(&record), Revision(6));
        let page = encode_page(&tasks);
        controller.feed(&page_key(&id, 0), Some(&page), Revision(7));
        controller.effects.clear();
        (controller, id)
    }

    /// Days were lost to each of these: what was decided while another transaction was under way,
    /// or while the budget was short, was written although the records had moved on.
    #[test]
    fn what_the_records_have_overtaken_is_not_written() {
        let release = |attempt, token| Change::Release {
            attempt: Attempt(attempt),
            evidence: Evidence::Holder(Token(token)),
        };
        let deleted = |attempt| Change::Release {
            attempt: Attempt(attempt),
            evidence: Evidence::Deleted,
        };
        let place = |host: &str, block: &str, attempt| match placed(host, block, attempt) {
            Task::Placed(placement) => Change::Place(placement),
            _ => unreachable!(),
        };
        let finish = |attempt| Change::Finish {
            attempt: Attempt(attempt),
        };
        let on_a = || placed("vm-a", "a.0", 2);
        let waits = |tried| Task::Waiting {
            tried: Attempt(tried),
        };
        let cases: Vec<(&str, f64, [Task; 2], Change, bool)> = vec![
            (
                "present attempt",
                1.0,
                [on_a(), waits(0)],
                release(2, 5),
                true,
            ),
            (
                "earlier attempt",
                1.0,
                [on_a(), waits(0)],
                release(1, 5),
                false,
            ),
            (
                "earlier token",
                1.0,
                [on_a(), waits(0)],
                release(2, 4),
                false,
            ),
            ("deleted", 1.0, [on_a(), waits(0)], deleted(2), true),
            ("deleted before", 1.0, [on_a(), waits(0)], deleted(1), false),
            ("done", 1.0, [on_a(), waits(0)], finish(2), true),
            ("done before", 1.0, [on_a(), waits(0)], finish(1), false),
            (
                "start",
                1.0,
                [waits(2), on_a()],
                place("vm-b", "b.0", 3),
                true,
            ),
            (
                "used attempt",
                1.0,
                [waits(3), on_a()],
                place("vm-b", "b.0", 3),
                false,
            ),
            (
                "zone is full",
                1.0,
                [waits(2), on_a()],
                place("vm-a", "a.0", 3),
                false,
            ),
            (
                "no room any more",
                8.0,
                [waits(2), on_a()],
                place("vm-a", "a.0", 3),
                false,
            ),
            (
                "unknown machine",
                1.0,
                [waits(2), on_a()],
                place("vm-c", "b.0", 3),
                false,
            ),
            (
                "block of nobody",
                1.0,
                [waits(2), on_a()],
                place("vm-b", "b.1", 3),
                false,
            ),
        ];
        for (name, gpus, tasks, change, written) in cases {
            let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
            (spec.shape, spec.tasks, spec.one_zone) = (Shape::Array, 2, false);
            spec.spread = name != "no room any more";
            spec.room.gpus = gpus;
            let (mut controller, id) = controller(spec, tasks.to_vec());
            // Noted when it was right; the records are newer.
            controller.jobs.want(&id, 0, change);
            controller.write(&id);
            let wrote = controller.effects.iter().any(|effect| {
                let Effect::Store { call, .. } = effect else {
                    return false;
                };
                matches!(call, Call::Txn(txn) if !txn.changes.is_empty())
            });
            assert_eq!(wrote, written, "{name}");
        }
    }

    /// A gang completed, and one of its machines came back at once with nothing on it: what it had was
    /// released, the rest was done, and the gang waited for a task that nobody could place.
    #[test]
    fn one_task_of_a_gang_that_is_done_shows_that_all_of_its_attempt_are() {
        let waits = |tried| Task::Waiting {
            tried: Attempt(tried),
        };
        let finish = Change::Finish {
            attempt: Attempt(2),
        };
        let release = Change::Release {
            attempt: Attempt(2),
            evidence: Evidence::Holder(Token(5)),
        };
        let cases = [
            // the other task, what is noted of it, the gang is done
            (placed("vm-b", "b.0", 2), None, true),
            (placed("vm-b", "b.0", 2), Some(release), true),
            (waits(2), None, true),
            (waits(3), None, false),
        ];
        for (mate, noted, done) in cases {
            let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
            (spec.shape, spec.tasks) = (Shape::Gang, 2);
            let tasks = vec![placed("vm-a", "a.0", 2), mate.clone()];
            let (mut controller, id) = controller(spec, tasks);
            controller.jobs.want(&id, 0, finish.clone());
            if let Some(noted) = noted {
                controller.jobs.want(&id, 1, noted);
            }
            controller.write(&id);
            let ends = controller.effects.iter().any(|effect| {
                let Effect::Store { call, .. } = effect else {
                    return false;
                };
                let over = |c: &crate::store::Change| {
                    matches!(c, crate::store::Change::Put { key, data, .. }
                        if *key == job_key(&id) && data.contains("\"done\""))
                };
                matches!(call, Call::Txn(txn) if txn.changes.iter().any(over))
            });
            assert_eq!(ends, done, "{mate:?}");
        }
    }

    /// While changes were short the room that a gang had made for it came free in the records 2.5 s
    /// late, since the first starts of arrays wait so long for more; and a start waits.
    #[test]
    fn while_changes_are_short_starts_wait_for_company_and_releases_do_not() {
        let release = Change::Release {
            attempt: Attempt(2),
            evidence: Evidence::Holder(Token(5)),
        };
        let Task::Placed(free) = placed("vm-b", "b.0", 3) else {
            unreachable!()
        };
        let cases = [
            // short, change, written at once
            (false, 0, release.clone(), true),
            (true, 0, release, true),
            (false, 1, Change::Place(free.clone()), true),
            (true, 1, Change::Place(free), false),
        ];
        for (short, index, change, at_once) in cases {
            let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
            (spec.shape, spec.tasks, spec.one_zone) = (Shape::Array, 3, false);
            (spec.rank, spec.spread) = (Rank::Normal, false);
            let tasks = vec![placed("vm-a", "a.0", 2), Task::FRESH, Task::FRESH];
            let (mut controller, id) = controller(spec, tasks);
            controller.now = Millis(10_000);
            if short {
                controller.short_until = Millis(11_000);
            }
            controller.jobs.want(&id, index, change.clone());
            controller.commit(&id);
            let written = controller.jobs.get(&id).unwrap().writing == Writing::InFlight;
            assert_eq!(written, at_once, "{change:?}, short: {short}");
        }
    }
}
