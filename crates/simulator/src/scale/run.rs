//! Plays a scale run: starts everything, lets time pass, strikes, and measures once a second.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use jaspertiller::jobs::api::JobStage;
use jaspertiller::lease::{LEADER, LeaderRecord};
use jaspertiller::types::{JobId, Zone};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::limits::memory_granted_mb;
use super::measure::{Outcome, ProcessSample, Second, histogram, record};
use super::{ScaleSettings, load};
use crate::live::Shared;
use crate::live::controllers::Controllers;
use crate::live::users::User;
use crate::rules::Told;
use crate::sim::JobPlan;

const POLL_EVERY: Duration = Duration::from_secs(5);
const RETRY: Duration = Duration::from_secs(1);
const READY: Duration = Duration::from_secs(60);
/// The rules are checked this often: looking at all tasks in each step of the stand-ins would take a core.
const CHECK_RULES_EVERY: Duration = Duration::from_millis(250);
/// A killed controller is back after this long.
const BACK_AFTER: Duration = Duration::from_secs(4);

/// What strikes, and at which part of the run's time.
const STRIKES: [(f64, Strike); 4] = [
    (0.60, Strike::KillOther),
    (0.70, Strike::KillLeader),
    (0.80, Strike::LoseZone),
    (0.88, Strike::KillAll),
];

#[derive(Clone, Copy, Debug)]
enum Strike {
    KillOther,
    KillLeader,
    KillAll,
    LoseZone,
}

/// Told once a second.
pub type Progress<'a> = &'a mut dyn FnMut(&Second);

/// Times that users saw.
struct Times {
    submissions: Histogram<u64>,
    polls: Histogram<u64>,
    refused: u64,
}

type SharedTimes = Arc<Mutex<Times>>;

fn note(times: &SharedTimes, change: impl FnOnce(&mut Times)) {
    change(&mut times.lock().unwrap_or_else(PoisonError::into_inner));
}

/// Plays a run. It ends by itself, early if it takes more of the machine than it may, or on Ctrl-C.
pub async fn run(settings: &ScaleSettings, progress: Progress<'_>) -> anyhow::Result<Outcome> {
    let config = settings.config();
    let (controllers, shared) = Controllers::prepare(&config, settings.seed, None)?;
    shared.lock().check_every = CHECK_RULES_EVERY;
    let stand_ins = tokio::spawn(shared.clone().run());
    let mut run = Run::new(settings, controllers, shared);
    run.controllers.start_all()?;
    run.wait_until_ready().await?;
    let users = run.send_users();
    run.play(progress).await?;
    drop(users);
    stand_ins.abort();
    Ok(run.outcome())
}

struct Run<'a> {
    settings: &'a ScaleSettings,
    controllers: Controllers,
    shared: Shared,
    user: User,
    times: SharedTimes,
    began: Instant,
    /// When each job was meant to be sent, from the beginning, and its class.
    meant: HashMap<JobId, (Duration, String)>,
    largest_gang: Option<JobId>,
    down: Vec<(Duration, usize)>,
    strikes: Vec<(Duration, Strike)>,
    before: Vec<Option<ProcessSample>>,
    own_before: ProcessSample,
    seconds: Vec<Second>,
    totals: Totals,
    events: Vec<(u64, String)>,
    ended: Vec<usize>,
    stopped_early: Option<String>,
}

/// Counters of the stand-ins when a second began.
#[derive(Clone, Copy, Default)]
struct Totals {
    starts: u64,
    changes: u64,
    requests: u64,
    worker_bytes: u64,
}

impl<'a> Run<'a> {
    fn new(settings: &'a ScaleSettings, controllers: Controllers, shared: Shared) -> Self {
        let user = User::new(shared.clone(), controllers.addresses.clone());
        let times = Times {
            submissions: histogram(),
            polls: histogram(),
            refused: 0,
        };
        let at = |part: f64| Duration::from_secs_f64(settings.seconds as f64 * part);
        let strikes = STRIKES.into_iter().filter(|_| settings.faults);
        Self {
            before: vec![None; settings.controllers as usize],
            strikes: strikes.map(|(part, strike)| (at(part), strike)).collect(),
            times: Arc::new(Mutex::new(times)),
            settings,
            controllers,
            shared,
            user,
            began: Instant::now(),
            meant: HashMap::new(),
            largest_gang: None,
            down: Vec::new(),
            own_before: ProcessSample::default(),
            seconds: Vec::new(),
            totals: Totals::default(),
            events: Vec::new(),
            ended: Vec::new(),
            stopped_early: None,
        }
    }

    async fn wait_until_ready(&mut self) -> anyhow::Result<()> {
        let began = Instant::now();
        for index in 0..self.settings.controllers as usize {
            while !self.user.ready(index).await {
                if began.elapsed() > READY || !self.controllers.ended().is_empty() {
                    anyhow::bail!(
                        "n{index} does not get ready: {}",
                        self.controllers.log(index)
                    );
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        self.began = Instant::now();
        Ok(())
    }

    /// One task for each job, which sends it when it is meant to be sent, whatever else is under way.
    fn send_users(&mut self) -> JoinSet<()> {
        let mut users = JoinSet::new();
        for plan in load::jobs(self.settings) {
            let meant = Duration::from_millis(plan.at.unwrap_or(0));
            let class = plan.body["lot"].as_str().unwrap_or_default().to_string();
            self.meant.insert(plan.id(), (meant, class));
            if plan.body["picks"] == self.settings.gang && plan.body["shape"] == "gang" {
                self.largest_gang = Some(plan.id());
            }
            let (user, times) = (self.user.clone(), self.times.clone());
            users.spawn(follow(user, plan, self.began + meant, times));
        }
        users
    }

    async fn play(&mut self, progress: Progress<'_>) -> anyhow::Result<()> {
        let end = Duration::from_secs(self.settings.seconds);
        let mut ticks = tokio::time::interval(Duration::from_secs(1));
        ticks.tick().await;
        let mut stop = std::pin::pin!(tokio::signal::ctrl_c());
        while self.began.elapsed() < end && self.stopped_early.is_none() {
            tokio::select! {
                _ = &mut stop => self.stopped_early = Some("interrupted".into()),
                _ = ticks.tick() => {
                    self.strike()?;
                    let second = self.sample();
                    progress(&second);
                    self.seconds.push(second);
                }
            }
        }
        Ok(())
    }

    fn happened(&mut self, what: String) {
        self.events.push((self.began.elapsed().as_secs(), what));
    }

    fn strike(&mut self) -> anyhow::Result<()> {
        let now = self.began.elapsed();
        for index in self.controllers.ended() {
            if !self.ended.contains(&index) {
                self.ended.push(index);
                let last = self.controllers.log(index);
                self.happened(format!("n{index} ended by itself: {last}"));
            }
        }
        let due = |(at, _): &(Duration, usize)| *at <= now;
        let back: Vec<usize> = self.down.iter().filter(|d| due(d)).map(|d| d.1).collect();
        self.down.retain(|d| !due(d));
        for index in back {
            self.controllers.start(index)?;
            self.before[index] = None;
        }
        let due: Vec<Strike> = {
            let due = self.strikes.iter().filter(|(at, _)| *at <= now);
            due.map(|(_, strike)| *strike).collect()
        };
        self.strikes.retain(|(at, _)| *at > now);
        for strike in due {
            self.strike_once(strike);
        }
        Ok(())
    }

    fn strike_once(&mut self, strike: Strike) {
        let leader = self.leader();
        let all = 0..self.settings.controllers as usize;
        let killed: Vec<usize> = match strike {
            Strike::KillOther => all.filter(|i| Some(*i) != leader).take(1).collect(),
            Strike::KillLeader => leader.into_iter().collect(),
            Strike::KillAll => all.collect(),
            Strike::LoseZone => {
                let zone = Zone::from("zone-01");
                let lost = self.shared.lock().lose_zone(&zone);
                self.happened(format!("zone-01 lost with {lost} machines"));
                return;
            }
        };
        let now = self.began.elapsed();
        for index in &killed {
            self.controllers.kill(*index);
            self.down.push((now + BACK_AFTER, *index));
        }
        self.happened(format!("{strike:?}: {killed:?} killed, leader {leader:?}"));
    }

    fn leader(&self) -> Option<usize> {
        let region = self.shared.lock();
        let (text, _, _) = region.store.get(LEADER)?;
        let record: LeaderRecord = serde_json::from_str(text).ok()?;
        record.leader.as_str().strip_prefix('n')?.parse().ok()
    }

    fn sample(&mut self) -> Second {
        let leader = self.leader();
        let mut second = Second {
            at: self.began.elapsed().as_secs(),
            leader,
            ..Second::default()
        };
        let totals = {
            let region = &mut *self.shared.lock();
            let now = region.now();
            second.running = region.machines.tasks_started(now).count();
            second.machines = region.machines.healthy(now).count();
            second.longest_step_ms = std::mem::take(&mut region.longest_step_ms);
            Totals {
                starts: region.rules.starts,
                changes: region.store.written,
                requests: region.requests,
                worker_bytes: region.worker_bytes,
            }
        };
        second.starts = totals.starts - self.totals.starts;
        second.changes = totals.changes - self.totals.changes;
        second.requests = totals.requests - self.totals.requests;
        second.worker_bytes = totals.worker_bytes - self.totals.worker_bytes;
        self.totals = totals;
        self.sample_processes(&mut second);
        second
    }

    fn sample_processes(&mut self, second: &mut Second) {
        let mut memory_mb = 0.0;
        for index in 0..self.before.len() {
            let pid = self.controllers.pid(index);
            let sample = pid.and_then(ProcessSample::of);
            let before = std::mem::replace(&mut self.before[index], sample);
            let core = sample.zip(before).map(|(now, then)| now.cpu_s - then.cpu_s);
            second.cores.push(core);
            let sample = sample.unwrap_or_default();
            second.memory_mb.push(sample.memory_mb);
            second.sockets.push(sample.sockets);
            memory_mb += sample.memory_mb;
        }
        let own = ProcessSample::of(std::process::id()).unwrap_or_default();
        second.stand_in_cores = own.cpu_s - self.own_before.cpu_s;
        second.stand_in_sockets = own.sockets;
        self.own_before = own;
        memory_mb += own.memory_mb;
        let granted = memory_granted_mb().unwrap_or(u64::MAX);
        if memory_mb > granted as f64 {
            let reason = format!("{memory_mb:.0} MB in use, {granted} granted");
            self.stopped_early = Some(reason);
        }
    }

    /// Milliseconds from when a job was meant to be sent until its first task ran, if one did.
    fn waited(&self, id: &JobId) -> Option<u64> {
        let (meant, _) = self.meant.get(id)?;
        let region = self.shared.lock();
        let start = region.rules.first_start.get(id)?;
        // The region's clock began before the run's.
        let offset = region.now().0 as i64 - self.began.elapsed().as_millis() as i64;
        let waited = start.0 as i64 - offset - meant.as_millis() as i64;
        Some(waited.max(0) as u64)
    }

    fn outcome(mut self) -> Outcome {
        let gang = format!("a gang of {} tasks", self.settings.gang);
        match self.largest_gang.as_ref().and_then(|id| self.waited(id)) {
            Some(ms) => self.happened(format!(
                "{gang} began {ms} ms after it was meant to be sent"
            )),
            None => self.happened(format!("{gang} did not begin")),
        }
        let mut waits: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
        let mut jobs: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        for (id, (_, class)) in &self.meant {
            let counts = jobs.entry(class.clone()).or_default();
            counts.0 += 1;
            if let Some(ms) = self.waited(id) {
                counts.1 += 1;
                record(waits.entry(class.clone()).or_insert_with(histogram), ms);
            }
        }
        let region = self.shared.lock();
        let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        Outcome {
            submissions: times.submissions.clone(),
            polls: times.polls.clone(),
            refused: times.refused,
            waits,
            jobs,
            broken: region.rules.violations.iter().cloned().collect(),
            seconds: self.seconds.clone(),
            ended_by_themselves: self.ended.clone(),
            stopped_early: self.stopped_early.clone(),
            events: self.events.clone(),
        }
    }
}

/// Lives through one job: submits it when it is meant to be sent, and polls until it is over.
async fn follow(user: User, plan: JobPlan, meant: Instant, times: SharedTimes) {
    tokio::time::sleep_until(meant).await;
    let Some((id, body)) = user.upload(&plan) else {
        return;
    };
    loop {
        match user.submit(&id, &body).await {
            Told::State(_) => break,
            Told::Refused(_) => return note(&times, |times| times.refused += 1),
            Told::Later | Told::NotFound => tokio::time::sleep(RETRY).await,
        }
    }
    let took = meant.elapsed().as_millis() as u64;
    note(&times, |times| record(&mut times.submissions, took));
    let mut next = Instant::now() + POLL_EVERY;
    loop {
        tokio::time::sleep_until(next).await;
        let told = user.poll(&id).await;
        let took = next.elapsed().as_millis() as u64;
        if !matches!(told, Told::Later) {
            note(&times, |times| record(&mut times.polls, took));
        }
        if matches!(told, Told::State(JobStage::Done | JobStage::Aborted)) {
            return;
        }
        next += POLL_EVERY;
    }
}
