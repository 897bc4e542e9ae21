//! Plays a scale run: starts everything, lets time pass, injects faults, and measures once a second.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hdrhistogram::Histogram;
use jaspertiller::lease::{LEADER_KEY, LeaderRecord};
use jaspertiller::types::{JobId, Zone};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::faults::{FaultKind, FaultSchedule};
use super::limits::memory_granted_mb;
use super::measure::{Event, JobCounts, Outcome, Second, histogram, record};
use super::sampling::{Sample, Sampler};
use super::users::{SharedUserTimes, follow};
use super::{ScaleSettings, load};
use crate::live::SharedRegion;
use crate::live::controllers::Controllers;
use crate::live::users::User;

/// How long all controllers together may take to get ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a controller is asked whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which rules are checked: checking all tasks in each step of the stand-ins would take a core.
const RULE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the samples; rates of a [`Second`] rely on it.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// The zone that is lost: the second, where there is one.
const LOST_ZONE: &str = "zone-01";

/// Receives each second's measurements.
pub type Progress<'a> = &'a mut dyn FnMut(&Second);

/// Plays a run. It ends by itself: early if it takes more memory than it may, or on Ctrl-C.
///
/// # Errors
/// A controller can't be started or does not get ready.
pub async fn run(settings: &ScaleSettings, progress: Progress<'_>) -> anyhow::Result<Outcome> {
    let config = settings.config();
    let (controllers, shared) = Controllers::prepare(&config, settings.seed, None)?;
    shared.lock().check_interval = RULE_CHECK_INTERVAL;
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

/// A job as it was planned.
struct PlannedJob {
    /// When it is meant to be sent, from the beginning of the run.
    send_at: Duration,
    class: String,
}

struct Run<'a> {
    settings: &'a ScaleSettings,
    controllers: Controllers,
    shared: SharedRegion,
    user: User,
    times: SharedUserTimes,
    began: Instant,
    planned: HashMap<JobId, PlannedJob>,
    largest_gang: Option<JobId>,
    faults: FaultSchedule,
    sampler: Sampler,
    seconds: Vec<Second>,
    events: Vec<Event>,
    exited: Vec<usize>,
    stopped_early: Option<String>,
}

impl<'a> Run<'a> {
    fn new(settings: &'a ScaleSettings, controllers: Controllers, shared: SharedRegion) -> Self {
        let faults = if settings.faults {
            FaultSchedule::of_run(settings.seconds)
        } else {
            FaultSchedule::empty()
        };
        Self {
            user: User::new(shared.clone(), controllers.addresses.clone()),
            times: SharedUserTimes::new(),
            sampler: Sampler::new(settings.controllers as usize),
            settings,
            controllers,
            shared,
            began: Instant::now(),
            planned: HashMap::new(),
            largest_gang: None,
            faults,
            seconds: Vec::new(),
            events: Vec::new(),
            exited: Vec::new(),
            stopped_early: None,
        }
    }

    async fn wait_until_ready(&mut self) -> anyhow::Result<()> {
        let began = Instant::now();
        for index in 0..self.settings.controllers as usize {
            while !self.user.is_ready(index).await {
                if began.elapsed() > READY_TIMEOUT || !self.controllers.exited().is_empty() {
                    let log = self.controllers.log_tail(index);
                    anyhow::bail!("n{index} does not get ready: {log}");
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        self.began = Instant::now();
        Ok(())
    }

    /// Starts a user for each job, which sends it at its planned time whatever else is under way.
    fn send_users(&mut self) -> JoinSet<()> {
        let mut users = JoinSet::new();
        for plan in load::jobs(self.settings) {
            let send_at = Duration::from_millis(plan.at.unwrap_or(0));
            let class = plan.body["lot"].as_str().unwrap_or_default().to_string();
            let planned = PlannedJob { send_at, class };
            self.planned.insert(plan.id(), planned);
            if plan.body["picks"] == self.settings.gang && plan.body["shape"] == "gang" {
                self.largest_gang = Some(plan.id());
            }
            let (user, times) = (self.user.clone(), self.times.clone());
            users.spawn(follow(user, plan, self.began + send_at, times));
        }
        users
    }

    async fn play(&mut self, progress: Progress<'_>) -> anyhow::Result<()> {
        let end = Duration::from_secs(self.settings.seconds);
        let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
        // The first tick of an interval is at once.
        ticks.tick().await;
        let mut interrupt = std::pin::pin!(tokio::signal::ctrl_c());
        while self.began.elapsed() < end && self.stopped_early.is_none() {
            tokio::select! {
                _ = &mut interrupt => self.stopped_early = Some("interrupted".into()),
                _ = ticks.tick() => {
                    self.note_exits();
                    self.advance_faults()?;
                    let second = self.sample();
                    progress(&second);
                    self.seconds.push(second);
                }
            }
        }
        Ok(())
    }

    fn log_event(&mut self, what: String) {
        let at = self.began.elapsed().as_secs();
        self.events.push(Event { at, what });
    }

    /// Notes controllers that exited by themselves, each once.
    fn note_exits(&mut self) {
        for index in self.controllers.exited() {
            if !self.exited.contains(&index) {
                self.exited.push(index);
                let log = self.controllers.log_tail(index);
                self.log_event(format!("n{index} ended by itself: {log}"));
            }
        }
    }

    /// Starts the controllers and injects the faults that are due.
    fn advance_faults(&mut self) -> anyhow::Result<()> {
        let now = self.began.elapsed();
        for index in self.faults.take_due_restarts(now) {
            self.controllers.start(index)?;
            self.sampler.reset(index);
        }
        for kind in self.faults.take_due_faults(now) {
            self.inject(kind);
        }
        Ok(())
    }

    fn inject(&mut self, kind: FaultKind) {
        let leader = self.leader();
        let all = 0..self.settings.controllers as usize;
        let killed: Vec<usize> = match kind {
            FaultKind::KillOther => all.filter(|i| Some(*i) != leader).take(1).collect(),
            FaultKind::KillLeader => leader.into_iter().collect(),
            FaultKind::KillAll => all.collect(),
            FaultKind::LoseZone => {
                let lost = self.shared.lock().lose_zone(&Zone::from(LOST_ZONE));
                self.log_event(format!("{LOST_ZONE} lost with {lost} machines"));
                return;
            }
        };
        let now = self.began.elapsed();
        for index in &killed {
            self.controllers.kill(*index);
            self.faults.schedule_restart(*index, now);
        }
        self.log_event(format!("{kind:?}: {killed:?} killed, leader {leader:?}"));
    }

    /// The index of the leader, as the store has it.
    fn leader(&self) -> Option<usize> {
        let region = self.shared.lock();
        let (text, _, _) = region.store.get(LEADER_KEY)?;
        let record: LeaderRecord = serde_json::from_str(text).ok()?;
        record.leader.as_str().strip_prefix('n')?.parse().ok()
    }

    /// Samples one second, and stops the run if it uses too much memory.
    fn sample(&mut self) -> Second {
        let leader = self.leader();
        let at = self.began.elapsed().as_secs();
        let sample = self
            .sampler
            .sample(at, leader, &self.shared, &self.controllers);
        let Sample { second, memory_mb } = sample;
        let granted = memory_granted_mb().unwrap_or(u64::MAX);
        if memory_mb > granted as f64 {
            let reason = format!("{memory_mb:.0} MB in use, {granted} granted");
            self.stopped_early = Some(reason);
        }
        second
    }

    /// Milliseconds from the planned time of a job until its first task ran, if one did.
    fn wait_ms(&self, id: &JobId) -> Option<u64> {
        let planned = self.planned.get(id)?;
        let region = self.shared.lock();
        let start = region.rules.first_start.get(id)?;
        // The region's clock began before the run's.
        let offset = region.now().0 as i64 - self.began.elapsed().as_millis() as i64;
        let wait = start.0 as i64 - offset - planned.send_at.as_millis() as i64;
        Some(wait.max(0) as u64)
    }

    fn log_largest_gang(&mut self) {
        let gang = format!("a gang of {} tasks", self.settings.gang);
        let wait = self.largest_gang.as_ref().and_then(|id| self.wait_ms(id));
        self.log_event(match wait {
            Some(ms) => format!("{gang} began {ms} ms after it was meant to be sent"),
            None => format!("{gang} did not begin"),
        });
    }

    fn outcome(mut self) -> Outcome {
        self.log_largest_gang();
        let mut waits: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
        let mut jobs: BTreeMap<String, JobCounts> = BTreeMap::new();
        for (id, PlannedJob { class, .. }) in &self.planned {
            let counts = jobs.entry(class.clone()).or_default();
            counts.sent += 1;
            if let Some(ms) = self.wait_ms(id) {
                counts.started += 1;
                record(waits.entry(class.clone()).or_insert_with(histogram), ms);
            }
        }
        let region = self.shared.lock();
        let times = self.times.lock();
        Outcome {
            submissions: times.submissions.clone(),
            polls: times.polls.clone(),
            refused: times.refused,
            waits,
            jobs,
            violations: region.rules.violations.iter().cloned().collect(),
            seconds: self.seconds.clone(),
            exited: self.exited.clone(),
            stopped_early: self.stopped_early.clone(),
            events: self.events.clone(),
        }
    }
}
