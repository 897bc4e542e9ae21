//! `cluster-simulator scale`: plays a scale run, and shows its progress, its table, its CSV and its page.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context;
use cluster_simulator::scale::{
    Event, JobCounts, Limit, Outcome, ScaleSettings, Second, check_limits, run,
};
use comfy_table::Table;
use indicatif::{ProgressBar, ProgressStyle};
use jaspertiller::settings::SettingsError;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::style::RGBColor;

use crate::report::{Line, STYLE, figure};

/// Exit status: the run needs more of this machine than is granted.
const STATUS_INSUFFICIENT_LIMITS: u8 = 2;
/// Exit status: the run stopped itself, or was interrupted.
const STATUS_STOPPED_EARLY: u8 = 3;

/// The place that errors name for a value of a flag.
const COMMAND_LINE: &str = "command line";

/// The arguments of the command.
pub(crate) struct Options {
    /// The part of the target that is played; none: the small default.
    pub target_fraction: Option<f64>,
    /// A settings file, which overrides the counts of the target or the default.
    pub config: Option<PathBuf>,
    /// Settings by key that flags give, which override the file's.
    pub flags: Vec<(&'static str, Option<u64>)>,
    /// Injects no faults.
    pub no_faults: bool,
    /// Where the CSV goes.
    pub csv: Option<PathBuf>,
    /// Where the HTML page goes.
    pub report: Option<PathBuf>,
}

impl Options {
    /// The settings of the run.
    ///
    /// # Errors
    /// The file can't be used, a value is out of bounds, or the counts don't fit each other.
    fn settings(&self) -> Result<ScaleSettings, SettingsError> {
        let part = self.target_fraction.map(ScaleSettings::part_of_target);
        let mut settings = part.unwrap_or_default();
        if let Some(path) = &self.config {
            settings.read(path)?;
        }
        for (key, value) in &self.flags {
            if let Some(value) = value {
                settings.set(COMMAND_LINE, key, *value)?;
            }
        }
        settings.faults &= !self.no_faults;
        let file = self.config.as_ref().map(|path| path.display().to_string());
        settings.check(file.as_deref().unwrap_or(COMMAND_LINE))?;
        Ok(settings)
    }
}

/// Plays a run and reports it. The exit status is 1 if a rule was broken or a controller exited by itself.
///
/// # Errors
/// The settings can't be used, a controller can't be started, or a file can't be written.
pub(crate) async fn play(options: Options) -> anyhow::Result<ExitCode> {
    let settings = options.settings()?;
    if !print_limits(&settings) {
        return Ok(ExitCode::from(STATUS_INSUFFICIENT_LIMITS));
    }
    let outcome = run_with_progress(&settings).await?;
    print_outcome(&settings, &outcome);
    if let Some(path) = &options.csv {
        write(path, &csv(&outcome)?)?;
    }
    if let Some(path) = &options.report {
        write(path, &page(&settings, &outcome)?.into_string())?;
    }
    if let Some(reason) = &outcome.stopped_early {
        println!("stopped early: {reason}");
        return Ok(ExitCode::from(STATUS_STOPPED_EARLY));
    }
    let succeeded = outcome.violations.is_empty() && outcome.exited.is_empty();
    Ok(ExitCode::from(u8::from(!succeeded)))
}

/// Prints what the run needs of this machine, and returns whether all of it is granted.
fn print_limits(settings: &ScaleSettings) -> bool {
    let limits = check_limits(settings);
    for limit in &limits {
        let Limit {
            what,
            needed,
            granted,
        } = limit;
        let word = if limit.is_sufficient() {
            "enough"
        } else {
            "TOO FEW"
        };
        println!("{what}: {needed} needed, {granted} granted: {word}");
    }
    limits.iter().all(Limit::is_sufficient)
}

async fn run_with_progress(settings: &ScaleSettings) -> anyhow::Result<Outcome> {
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
    let outcome = run(settings, &mut progress).await?;
    bar.finish();
    Ok(outcome)
}

fn print_outcome(settings: &ScaleSettings, outcome: &Outcome) {
    println!("{}", table(settings, outcome));
    for Event { at, what } in &outcome.events {
        println!("{at:>4} s  {what}");
    }
    for violation in &outcome.violations {
        println!("BROKEN {violation}");
    }
    if outcome.violations.is_empty() {
        println!("no rule broken");
    }
}

fn write(path: &Path, text: &str) -> anyhow::Result<()> {
    std::fs::write(path, text).with_context(|| path.display().to_string())?;
    println!("wrote {}", path.display());
    Ok(())
}

/// The mean and the largest of values, as a cell.
fn spread(values: impl Iterator<Item = f64>) -> String {
    let values: Vec<f64> = values.collect();
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let largest = values.iter().copied().fold(0.0, f64::max);
    format!("mean {mean:.2}, most {largest:.2}")
}

/// Quantiles of times in milliseconds, as a cell.
fn quantiles(histogram: &hdrhistogram::Histogram<u64>) -> String {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
    format!(
        "p50 {:.2} s, p99 {:.2} s, worst {:.2} s, {} of them",
        at(0.5),
        at(0.99),
        histogram.max() as f64 / 1e3,
        histogram.len()
    )
}

/// What a controller does.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    Leader,
    Follower,
}

/// Cores of the controllers with a role, second by second.
fn cores(seconds: &[Second], role: Role) -> impl Iterator<Item = f64> {
    seconds.iter().flat_map(move |second| {
        let role_of = |index: usize| match second.leader {
            Some(leader) if leader == index => Role::Leader,
            _ => Role::Follower,
        };
        let cores = second.cores.iter().enumerate();
        let of_role = cores.filter(move |(index, _)| role_of(*index) == role);
        of_role.filter_map(|(_, core)| *core)
    })
}

/// A row of the table: a name and a value.
type Row = (String, String);

fn rows(outcome: &Outcome) -> Vec<Row> {
    let mut rows = region_rows(&outcome.seconds);
    rows.extend(process_rows(&outcome.seconds));
    rows.extend([
        ("submissions".into(), quantiles(&outcome.submissions)),
        ("polls".into(), quantiles(&outcome.polls)),
        ("submissions refused".into(), outcome.refused.to_string()),
    ]);
    for (class, waits) in &outcome.waits {
        let counts = outcome.jobs.get(class).copied().unwrap_or_default();
        let JobCounts { sent, started } = counts;
        let cell = format!("{}; {started} of {sent} jobs started", quantiles(waits));
        rows.push((format!("wait of {class}"), cell));
    }
    rows
}

/// Rows on what the region did.
fn region_rows(seconds: &[Second]) -> Vec<Row> {
    let all = |value: fn(&Second) -> f64| spread(seconds.iter().map(value));
    vec![
        ("machines".into(), all(|s| s.machines as f64)),
        ("tasks running".into(), all(|s| s.running as f64)),
        ("starts a second".into(), all(|s| s.starts as f64)),
        ("changes a second".into(), all(|s| s.changes as f64)),
        ("requests a second".into(), all(|s| s.requests as f64)),
        (
            "KB a second and worker".into(),
            all(|s| s.worker_bytes as f64 / 1e3 / (s.machines.max(1)) as f64),
        ),
    ]
}

/// Rows on what the processes used.
fn process_rows(seconds: &[Second]) -> Vec<Row> {
    let all = |value: fn(&Second) -> f64| spread(seconds.iter().map(value));
    let memory = seconds.iter().flat_map(|s| s.memory_mb.iter().copied());
    let sockets = seconds.iter().flat_map(|s| &s.sockets);
    let sockets = sockets.map(|sockets| *sockets as f64);
    let of_role = |role| spread(cores(seconds, role));
    vec![
        ("core of the leader".into(), of_role(Role::Leader)),
        ("core of each other".into(), of_role(Role::Follower)),
        ("MB of a controller".into(), spread(memory)),
        ("sockets of a controller".into(), spread(sockets)),
        ("cores of the stand-ins".into(), all(|s| s.stand_in_cores)),
        (
            "sockets of the stand-ins".into(),
            all(|s| s.stand_in_sockets as f64),
        ),
        (
            "longest step of the stand-ins, ms".into(),
            all(|s| s.longest_step_ms as f64),
        ),
    ]
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

/// Columns of the CSV. The first says that all figures are simulated.
const CSV_HEAD: &str = "simulated,second,machines,running,starts,changes,requests,worker_bytes,leader,\
    stand_in_cores,stand_in_sockets,longest_step_ms,controller,core,memory_mb,sockets";

/// One line for each second and controller.
fn csv(outcome: &Outcome) -> Result<String, std::fmt::Error> {
    let mut text = format!("{CSV_HEAD}\n");
    for second in &outcome.seconds {
        let leader = second.leader.map(|leader| format!("n{leader}"));
        let region_cells = format!(
            "yes,{},{},{},{},{},{},{},{},{:.2},{},{}",
            second.at,
            second.machines,
            second.running,
            second.starts,
            second.changes,
            second.requests,
            second.worker_bytes,
            leader.unwrap_or_default(),
            second.stand_in_cores,
            second.stand_in_sockets,
            second.longest_step_ms,
        );
        for (index, core) in second.cores.iter().enumerate() {
            let core = core.map_or(String::new(), |core| format!("{core:.2}"));
            let (memory, sockets) = (second.memory_mb[index], second.sockets[index]);
            writeln!(text, "{region_cells},n{index},{core},{memory:.1},{sockets}")?;
        }
    }
    Ok(text)
}

const BLUE: RGBColor = RGBColor(40, 90, 180);
const RED: RGBColor = RGBColor(190, 50, 40);

/// Space above the highest point of a plot, as a factor.
const PLOT_HEADROOM: f64 = 1.05;
/// The least height of a plot: one of height zero can't be drawn.
const MIN_PLOT_HEIGHT: f64 = 1e-3;

/// A plot's caption and its lines.
struct Plot {
    caption: &'static str,
    lines: Vec<Line>,
}

fn plots(seconds: &[Second]) -> Vec<Plot> {
    let line = |color, value: &dyn Fn(&Second) -> f64| Line {
        color,
        width: 2,
        points: seconds.iter().map(|s| (s.at, value(s))).collect(),
    };
    let busiest =
        |second: &Second, role: Role| cores(std::slice::from_ref(second), role).fold(0.0, f64::max);
    vec![
        Plot {
            caption: "starts a second",
            lines: vec![line(BLUE, &|s| s.starts as f64)],
        },
        Plot {
            caption: "changes (blue) and requests (red) a second",
            lines: vec![
                line(BLUE, &|s| s.changes as f64),
                line(RED, &|s| s.requests as f64),
            ],
        },
        Plot {
            caption: "tasks running",
            lines: vec![line(BLUE, &|s| s.running as f64)],
        },
        Plot {
            caption: "cores: leader (red), busiest other (blue)",
            lines: vec![
                line(RED, &|s| busiest(s, Role::Leader)),
                line(BLUE, &|s| busiest(s, Role::Follower)),
            ],
        },
    ]
}

/// The page of a run, which needs no network.
fn page(settings: &ScaleSettings, outcome: &Outcome) -> anyhow::Result<Markup> {
    let mut figures = Vec::new();
    for Plot { caption, lines } in plots(&outcome.seconds) {
        let values = lines.iter().flat_map(|l| l.points.iter().map(|p| p.1));
        let height = values.fold(MIN_PLOT_HEIGHT, f64::max) * PLOT_HEADROOM;
        let svg = figure(0..settings.seconds, height, "", &[], lines)?;
        figures.push((caption, svg));
    }
    Ok(html! {
        (DOCTYPE)
        html lang="en" {
            head { meta charset="utf-8"; title { "Scale run" } style { (STYLE) } }
            body {
                h1 { (title(settings)) }
                table { @for (name, value) in rows(outcome) { tr { td { (name) } td { (value) } } } }
                @for (caption, svg) in &figures {
                    figure { (PreEscaped(svg)) figcaption { (caption) } }
                }
                @for event in &outcome.events { p { (event.at) " s: " (event.what) } }
            }
        }
    })
}
