//! `cluster-simulator scale`: progress, the table, the CSV and the page of a scale run.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context;
use cluster_simulator::scale::{Outcome, ScaleSettings, Second, check_limits, run};
use comfy_table::Table;
use indicatif::{ProgressBar, ProgressStyle};
use jaspertiller::settings::SettingsError;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::style::RGBColor;

use crate::report::{Line, STYLE, figure};

/// The run needs more of this machine than is granted.
const TOO_LITTLE: u8 = 2;
/// The run stopped itself, or was interrupted.
const STOPPED: u8 = 3;

/// What the command line says.
pub struct Asked {
    pub part: Option<f64>,
    pub config: Option<PathBuf>,
    /// Keys that flags set, over the file's.
    pub flags: Vec<(&'static str, Option<u64>)>,
    pub no_faults: bool,
    pub csv: Option<PathBuf>,
    pub report: Option<PathBuf>,
}

impl Asked {
    fn settings(&self) -> Result<ScaleSettings, SettingsError> {
        let part = self.part.map(ScaleSettings::part_of_target);
        let mut settings = part.unwrap_or_default();
        if let Some(path) = &self.config {
            settings.read(path)?;
        }
        for (key, value) in &self.flags {
            if let Some(value) = value {
                settings.set("command line", key, *value)?;
            }
        }
        settings.faults &= !self.no_faults;
        let file = self.config.as_ref().map(|path| path.display().to_string());
        settings.check(file.as_deref().unwrap_or("command line"))?;
        Ok(settings)
    }
}

pub async fn play(asked: Asked) -> anyhow::Result<ExitCode> {
    let settings = asked.settings()?;
    let mut enough = true;
    for limit in check_limits(&settings) {
        let word = if limit.enough() { "enough" } else { "TOO FEW" };
        println!(
            "{}: {} needed, {} granted: {word}",
            limit.what, limit.needed, limit.granted
        );
        enough &= limit.enough();
    }
    if !enough {
        return Ok(ExitCode::from(TOO_LITTLE));
    }
    let bar = ProgressBar::new(settings.seconds);
    let style = ProgressStyle::with_template("{elapsed:>4} [{bar:30}] {msg}")?;
    bar.set_style(style.progress_chars("=> "));
    let mut progress = |second: &Second| {
        bar.set_position(second.at);
        bar.set_message(format!(
            "{} machines, {} tasks, {} starts/s, {} changes/s",
            second.machines, second.running, second.starts, second.changes
        ));
    };
    let outcome = run(&settings, &mut progress).await?;
    bar.finish();
    println!("{}", table(&settings, &outcome));
    for (at, what) in &outcome.events {
        println!("{at:>4} s  {what}");
    }
    for broken in &outcome.broken {
        println!("BROKEN {broken}");
    }
    if outcome.broken.is_empty() {
        println!("no rule broken");
    }
    if let Some(path) = &asked.csv {
        write(path, &csv(&outcome)?)?;
    }
    if let Some(path) = &asked.report {
        write(path, &page(&settings, &outcome)?.into_string())?;
    }
    if let Some(why) = &outcome.stopped_early {
        println!("stopped early: {why}");
        return Ok(ExitCode::from(STOPPED));
    }
    let good = outcome.broken.is_empty() && outcome.ended_by_themselves.is_empty();
    Ok(ExitCode::from(u8::from(!good)))
}

fn write(path: &Path, text: &str) -> anyhow::Result<()> {
    std::fs::write(path, text).with_context(|| path.display().to_string())?;
    println!("wrote {}", path.display());
    Ok(())
}

/// The least, the mean and the most of something over the seconds.
fn spread(values: impl Iterator<Item = f64>) -> String {
    let values: Vec<f64> = values.collect();
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let most = values.iter().copied().fold(0.0, f64::max);
    format!("mean {mean:.2}, most {most:.2}")
}

fn times(histogram: &hdrhistogram::Histogram<u64>) -> String {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
    format!(
        "p50 {:.2} s, p99 {:.2} s, worst {:.2} s, {} of them",
        at(0.5),
        at(0.99),
        histogram.max() as f64 / 1e3,
        histogram.len()
    )
}

/// Cores of the leader, or of all others, second by second.
fn cores(seconds: &[Second], of_leader: bool) -> impl Iterator<Item = f64> {
    seconds.iter().flat_map(move |second| {
        let cores = second.cores.iter().enumerate();
        let of_role = cores.filter(move |(i, _)| (Some(*i) == second.leader) == of_leader);
        of_role.filter_map(|(_, core)| *core)
    })
}

fn rows(outcome: &Outcome) -> Vec<(String, String)> {
    let seconds = &outcome.seconds;
    let all = |value: fn(&Second) -> f64| spread(seconds.iter().map(value));
    let mut rows = vec![
        ("machines".into(), all(|s| s.machines as f64)),
        ("tasks running".into(), all(|s| s.running as f64)),
        ("starts a second".into(), all(|s| s.starts as f64)),
        ("changes a second".into(), all(|s| s.changes as f64)),
        ("requests a second".into(), all(|s| s.requests as f64)),
        (
            "KB a second and worker".into(),
            all(|s| s.worker_bytes as f64 / 1e3 / (s.machines.max(1)) as f64),
        ),
        ("core of the leader".into(), spread(cores(seconds, true))),
        ("core of each other".into(), spread(cores(seconds, false))),
        (
            "MB of a controller".into(),
            spread(seconds.iter().flat_map(|s| s.memory_mb.iter().copied())),
        ),
        (
            "sockets of a controller".into(),
            spread(
                seconds
                    .iter()
                    .flat_map(|s| s.sockets.iter().map(|n| *n as f64)),
            ),
        ),
        ("cores of the stand-ins".into(), all(|s| s.stand_in_cores)),
        (
            "sockets of the stand-ins".into(),
            all(|s| s.stand_in_sockets as f64),
        ),
        (
            "longest step of the stand-ins, ms".into(),
            all(|s| s.longest_step_ms as f64),
        ),
        ("submissions".into(), times(&outcome.submissions)),
        ("polls".into(), times(&outcome.polls)),
        ("submissions refused".into(), outcome.refused.to_string()),
    ];
    for (class, waits) in &outcome.waits {
        let (jobs, started) = outcome.jobs.get(class).copied().unwrap_or_default();
        let row = format!("{}; {started} of {jobs} jobs started", times(waits));
        rows.push((format!("wait of {class}"), row));
    }
    rows
}

fn title(settings: &ScaleSettings) -> String {
    format!(
        "simulated: {} machines, {} controllers, {} zones, {} teams, {} tasks, seed {}",
        settings.machines,
        settings.controllers,
        settings.zones,
        settings.teams,
        settings.tasks,
        settings.seed
    )
}

fn table(settings: &ScaleSettings, outcome: &Outcome) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_BORDERS_ONLY);
    table.set_header([title(settings), String::new()]);
    for (name, value) in rows(outcome) {
        table.add_row([name, value]);
    }
    table
}

const CSV_HEAD: &str = "simulated,second,machines,running,starts,changes,requests,worker_bytes,leader,\
    stand_in_cores,stand_in_sockets,longest_step_ms,controller,core,memory_mb,sockets";

fn csv(outcome: &Outcome) -> Result<String, std::fmt::Error> {
    let mut text = format!("{CSV_HEAD}\n");
    for s in &outcome.seconds {
        let leader = s.leader.map(|leader| format!("n{leader}"));
        let leader = leader.unwrap_or_default();
        let (at, machines, running, starts) = (s.at, s.machines, s.running, s.starts);
        let (changes, requests, bytes) = (s.changes, s.requests, s.worker_bytes);
        let (stand_ins, step) = (s.stand_in_cores, s.longest_step_ms);
        let stand_in_sockets = s.stand_in_sockets;
        for (index, core) in s.cores.iter().enumerate() {
            let core = core.map_or(String::new(), |core| format!("{core:.2}"));
            let (memory, sockets) = (s.memory_mb[index], s.sockets[index]);
            writeln!(
                text,
                "yes,{at},{machines},{running},{starts},{changes},{requests},{bytes},{leader},\
                 {stand_ins:.2},{stand_in_sockets},{step},n{index},{core},{memory:.1},{sockets}"
            )?;
        }
    }
    Ok(text)
}

const BLUE: RGBColor = RGBColor(40, 90, 180);
const RED: RGBColor = RGBColor(190, 50, 40);

fn page(settings: &ScaleSettings, outcome: &Outcome) -> anyhow::Result<Markup> {
    let seconds = &outcome.seconds;
    let line = |color, value: &dyn Fn(&Second) -> f64| Line {
        color,
        width: 2,
        points: seconds.iter().map(|s| (s.at, value(s))).collect(),
    };
    let core_of = |second: &Second, leads: bool| {
        cores(std::slice::from_ref(second), leads).fold(0.0, f64::max)
    };
    let figures = [
        ("starts a second", vec![line(BLUE, &|s| s.starts as f64)]),
        (
            "changes (blue) and requests (red) a second",
            vec![
                line(BLUE, &|s| s.changes as f64),
                line(RED, &|s| s.requests as f64),
            ],
        ),
        ("tasks running", vec![line(BLUE, &|s| s.running as f64)]),
        (
            "cores: leader (red), busiest other (blue)",
            vec![
                line(RED, &|s| core_of(s, true)),
                line(BLUE, &|s| core_of(s, false)),
            ],
        ),
    ];
    let mut plots = Vec::new();
    for (caption, lines) in figures {
        let most = lines.iter().flat_map(|l| l.points.iter().map(|p| p.1));
        let most = most.fold(1e-3, f64::max) * 1.05;
        plots.push((caption, figure(0..settings.seconds, most, "", &[], lines)?));
    }
    Ok(html! {
        (DOCTYPE)
        html lang="en" {
            head { meta charset="utf-8"; title { "Scale run" } style { (STYLE) } }
            body {
                h1 { (title(settings)) }
                table { @for (name, value) in rows(outcome) { tr { td { (name) } td { (value) } } } }
                @for (caption, svg) in &plots {
                    figure { (PreEscaped(svg)) figcaption { (caption) } }
                }
                @for (at, what) in &outcome.events { p { (at) " s: " (what) } }
            }
        }
    })
}
