//! `cluster-simulator scale`: performs a scale run, shows its progress and a summary table, and writes the
//! CSV file and the HTML page.

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

/// Exit status: the run needs more files, ports or memory than this machine allows.
const STATUS_INSUFFICIENT_LIMITS: u8 = 2;
/// Exit status: the run was interrupted, or stopped because it used too much memory.
const STATUS_STOPPED_EARLY: u8 = 3;

/// The source that errors name for a value that a flag set.
const COMMAND_LINE: &str = "command line";

/// Options of the command.
pub(crate) struct Options {
    /// The fraction of the target that is simulated; `None` selects the small default.
    pub target_fraction: Option<f64>,
    /// A settings file, which overrides the counts of the target or the default.
    pub config: Option<PathBuf>,
    /// Values of flags by settings key; they override the settings file.
    pub flags: Vec<(&'static str, Option<u64>)>,
    /// Disables fault injection, whatever the settings say.
    pub no_faults: bool,
    /// Path of the CSV file; `None` writes none.
    pub csv: Option<PathBuf>,
    /// Path of the HTML page; `None` writes none.
    pub report: Option<PathBuf>,
}

impl Options {
    /// Resolves the settings of the run: default or target, then file, then flags.
    ///
    /// # Errors
    /// The file can't be used, a value is out of bounds, or the counts are inconsistent.
    fn settings(&self) -> Result<ScaleSettings, SettingsError> {
        let target = self.target_fraction.map(ScaleSettings::fraction_of_target);
        let mut settings = target.unwrap_or_default();
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

/// Performs a run and reports it. The exit status is 1 if an invariant was violated or a controller exited
/// without being killed.
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

/// Prints the resources that the run needs, and returns whether this machine provides all of them.
fn print_limits(settings: &ScaleSettings) -> bool {
    let limits = check_limits(settings);
    for limit in &limits {
        let Limit {
            resource,
            needed,
            available,
        } = limit;
        let verdict = if limit.is_sufficient() {
            "sufficient"
        } else {
            "INSUFFICIENT"
        };
        println!("{resource}: {needed} needed, {available} available: {verdict}");
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
    for Event { at, description } in &outcome.events {
        println!("{at:>4} s  {description}");
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

/// Formats the mean and the maximum of values as a table cell.
fn mean_and_max(values: impl Iterator<Item = f64>) -> String {
    let values: Vec<f64> = values.collect();
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let largest = values.iter().copied().fold(0.0, f64::max);
    format!("mean {mean:.2}, most {largest:.2}")
}

/// Formats quantiles of times in milliseconds as a table cell, in seconds.
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

/// The role of a controller within a second.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    Leader,
    Follower,
}

/// CPU cores used by the controllers with a role, in the order of the seconds. Controllers that are down are
/// left out.
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

/// A row of the summary table: label and value.
type Row = (String, String);

fn rows(outcome: &Outcome) -> Vec<Row> {
    let mut rows = region_rows(&outcome.seconds);
    rows.extend(process_rows(&outcome.seconds));
    rows.extend([
        ("submissions".into(), quantiles(&outcome.submissions)),
        ("polls".into(), quantiles(&outcome.polls)),
        ("rejected submissions".into(), outcome.rejected.to_string()),
    ]);
    for (class, waits) in &outcome.waits {
        let counts = outcome.jobs.get(class).copied().unwrap_or_default();
        let JobCounts { sent, started } = counts;
        let cell = format!("{}; {started} of {sent} jobs started", quantiles(waits));
        rows.push((format!("wait of class {class}"), cell));
    }
    rows
}

/// Rows about the simulated region.
fn region_rows(seconds: &[Second]) -> Vec<Row> {
    let all = |value: fn(&Second) -> f64| mean_and_max(seconds.iter().map(value));
    vec![
        ("machines".into(), all(|s| s.machines as f64)),
        ("running tasks".into(), all(|s| s.running as f64)),
        ("task starts per second".into(), all(|s| s.starts as f64)),
        ("store changes per second".into(), all(|s| s.changes as f64)),
        (
            "store requests per second".into(),
            all(|s| s.requests as f64),
        ),
        (
            "KB per second and worker".into(),
            all(|s| s.worker_bytes as f64 / 1e3 / (s.machines.max(1)) as f64),
        ),
    ]
}

/// Rows about the resources that the processes used.
fn process_rows(seconds: &[Second]) -> Vec<Row> {
    let all = |value: fn(&Second) -> f64| mean_and_max(seconds.iter().map(value));
    let memory = seconds.iter().flat_map(|s| s.memory_mb.iter().copied());
    let sockets = seconds.iter().flat_map(|s| &s.sockets);
    let sockets = sockets.map(|sockets| *sockets as f64);
    let of_role = |role| mean_and_max(cores(seconds, role));
    vec![
        ("cores of the leader".into(), of_role(Role::Leader)),
        ("cores of each follower".into(), of_role(Role::Follower)),
        ("MB of a controller".into(), mean_and_max(memory)),
        ("sockets of a controller".into(), mean_and_max(sockets)),
        ("cores of the simulator".into(), all(|s| s.simulator_cores)),
        (
            "sockets of the simulator".into(),
            all(|s| s.simulator_sockets as f64),
        ),
        (
            "longest step of the simulator, ms".into(),
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

/// Columns of the CSV file. The first one marks every row as simulated.
const CSV_HEAD: &str = "simulated,second,machines,running,starts,changes,requests,worker_bytes,leader,\
    stand_in_cores,stand_in_sockets,longest_step_ms,controller,core,memory_mb,sockets";

/// The CSV file, with one row for each second and controller.
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
            second.simulator_cores,
            second.simulator_sockets,
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
/// The smallest height of a plot: a plot of height zero can't be drawn.
const MIN_PLOT_HEIGHT: f64 = 1e-3;

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
            caption: "task starts per second",
            lines: vec![line(BLUE, &|s| s.starts as f64)],
        },
        Plot {
            caption: "store changes (blue) and requests (red) per second",
            lines: vec![
                line(BLUE, &|s| s.changes as f64),
                line(RED, &|s| s.requests as f64),
            ],
        },
        Plot {
            caption: "running tasks",
            lines: vec![line(BLUE, &|s| s.running as f64)],
        },
        Plot {
            caption: "cores: leader (red), busiest follower (blue)",
            lines: vec![
                line(RED, &|s| busiest(s, Role::Leader)),
                line(BLUE, &|s| busiest(s, Role::Follower)),
            ],
        },
    ]
}

/// The HTML page of a run. The plots are inline SVG, so that the page opens without a network.
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
                @for event in &outcome.events { p { (event.at) " s: " (event.description) } }
            }
        }
    })
}
