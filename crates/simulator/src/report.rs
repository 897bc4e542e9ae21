//! `cluster-simulator contention`: simulates contention and reports the results as a table and an HTML page. Also
//! defines the figures and the style sheet that all report pages share.

use std::ops::Range;
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use cluster_simulator::config::Config;
use cluster_simulator::contention::{
    self, ContentionResult, Kind, NodeResult, SAVE_S, SETTLE_S, Sample, TOLERANCE, end_s, phases,
    simulate,
};
use comfy_table::Table;
use indicatif::ProgressBar;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::prelude::*;

/// The style sheet of all pages.
pub(crate) const STYLE: &str = "body{font-family:sans-serif;max-width:70em;margin:2em auto;color:#222}\
    table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;\
    border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}\
    figure{margin:1em 0}figcaption{font-size:90%;color:#555}";

/// Seed of the simulations that the page plots.
const PLOTTED_SEED: u64 = 1;
/// Height of a plot relative to its highest point, to leave space above.
const PLOT_HEADROOM: f64 = 1.1;
/// Minimum height of a plot in GPUs, before [`PLOT_HEADROOM`] is applied.
const MIN_PLOT_GPUS: f64 = 4.0;
/// Width and height of a figure in pixels.
const FIGURE_SIZE: (u32, u32) = (960, 220);

/// Simulates every variant with the seeds 1 to `seeds`, prints the table and writes the page to `page`. The exit code
/// is a failure if a rule was violated.
///
/// # Errors
/// The page can't be drawn or written.
pub(crate) fn run(seeds: u64, page: Option<&Path>) -> anyhow::Result<ExitCode> {
    let count = Kind::ALL.len() as u64 * seeds;
    let bar = ProgressBar::new(count);
    let mut results = Vec::new();
    for kind in Kind::ALL {
        for seed in 1..=seeds {
            results.push(simulate(kind, seed));
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    println!("{}", summary(&results));
    for result in &results {
        for violation in &result.violations {
            println!("{}, seed {}: {violation}", result.kind.name(), result.seed);
        }
    }
    if let Some(path) = page {
        let text = html_page(&results)?.into_string();
        std::fs::write(path, text).with_context(|| path.display().to_string())?;
        println!("wrote {}", path.display());
    }
    let broken = results.iter().any(|result| !result.violations.is_empty());
    Ok(ExitCode::from(u8::from(broken)))
}

/// One variant in the table, over all seeds.
struct Row {
    name: &'static str,
    /// Number of samples outside of the tolerance, out of `settled` samples.
    outside: usize,
    settled: usize,
    /// Largest excess of a deviation over the allowed one, in GPUs.
    max_excess_gpus: f64,
    /// The longest reclaim time as the table shows it.
    longest_reclaim: String,
    /// Lost run time in seconds, mean over the seeds.
    lost_run_time_s: f64,
    /// Used GPU seconds, mean over the seeds.
    used_gpu_s: f64,
    /// Committed changes of the store, mean over the seeds.
    committed_changes: u64,
}

/// Aggregates the results into one row per variant.
fn rows(results: &[ContentionResult]) -> Vec<Row> {
    let of = |kind: Kind| results.iter().filter(move |result| result.kind == kind);
    let row = |kind: Kind| {
        let excess = |node: &NodeResult| node.max_deviation - node.allowed_deviation;
        let excesses = of(kind).flat_map(|r| r.nodes.iter().map(excess));
        let longest: Option<Vec<u64>> = of(kind).map(ContentionResult::longest_reclaim_s).collect();
        let longest = longest.and_then(|all| all.into_iter().max());
        let seeds = of(kind).count().max(1) as f64;
        Row {
            name: kind.name(),
            outside: of(kind).map(ContentionResult::outside).sum(),
            settled: of(kind).map(ContentionResult::settled).sum(),
            max_excess_gpus: excesses.fold(0.0, f64::max),
            longest_reclaim: longest.map_or("not in every phase".into(), |s| format!("{s} s")),
            lost_run_time_s: of(kind).map(|r| r.lost_run_time_s).sum::<f64>() / seeds,
            used_gpu_s: of(kind).map(|r| r.used_gpu_s).sum::<f64>() / seeds,
            committed_changes: of(kind).map(|r| r.committed_changes).sum::<u64>() / seeds as u64,
        }
    };
    Kind::ALL.into_iter().map(row).collect()
}

/// Column heads of the table.
const HEAD: [&str; 7] = [
    "variant (simulated)",
    "samples outside tolerance",
    "max excess over tolerance, GPUs",
    "longest reclaim",
    "lost run time, s",
    "used GPU s",
    "state service changes",
];

fn cells(row: &Row) -> [String; 7] {
    let percent = row.outside as f64 * 100.0 / row.settled.max(1) as f64;
    [
        row.name.into(),
        format!("{} of {} ({percent:.2}%)", row.outside, row.settled),
        format!("{:.1}", row.max_excess_gpus.max(0.0)),
        row.longest_reclaim.clone(),
        format!("{:.0}", row.lost_run_time_s),
        format!("{:.0}", row.used_gpu_s),
        row.committed_changes.to_string(),
    ]
}

fn summary(results: &[ContentionResult]) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_BORDERS_ONLY);
    table.set_header(HEAD);
    for row in rows(results) {
        table.add_row(cells(&row));
    }
    table
}

/// One line of a figure.
pub(crate) struct Line {
    /// Stroke color.
    pub color: RGBColor,
    /// Stroke width in pixels.
    pub width: u32,
    /// Points: second and value.
    pub points: Vec<(u64, f64)>,
}

/// Draws a line chart over time as SVG, with a thin vertical line at each of the seconds in `marks`. `highest` is the
/// upper end of the vertical axis, and `unit` its label.
///
/// # Errors
/// The figure can't be drawn.
pub(crate) fn figure(
    seconds: Range<u64>,
    highest: f64,
    unit: &str,
    marks: &[u64],
    lines: Vec<Line>,
) -> anyhow::Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, FIGURE_SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(44)
            .build_cartesian_2d(seconds, 0.0..highest)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("seconds").y_desc(unit).x_labels(12).y_labels(5);
        mesh.light_line_style(WHITE).draw()?;
        for at in marks {
            let line = vec![(*at, 0.0), (*at, highest)];
            chart.draw_series(LineSeries::new(line, BLACK.mix(0.2)))?;
        }
        for line in lines {
            let style = line.color.stroke_width(line.width);
            chart.draw_series(LineSeries::new(line.points, style))?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// Plots a node's share and its entitlement over time.
fn plot(node: &NodeResult) -> anyhow::Result<String> {
    let highest = node.samples.iter().map(|s| s.share.max(s.entitled));
    let highest = highest.fold(MIN_PLOT_GPUS, f64::max) * PLOT_HEADROOM;
    let start = node.samples.first().map_or(0, |s| s.at_s);
    let marks: Vec<u64> = phases().map(|(at, _)| at).collect();
    let points = |of: fn(&Sample) -> f64| node.samples.iter().map(|s| (s.at_s, of(s))).collect();
    let lines = vec![
        Line {
            color: RGBColor(200, 90, 20),
            width: 2,
            points: points(|s| s.entitled),
        },
        Line {
            color: RGBColor(30, 90, 160),
            width: 1,
            points: points(|s| s.share),
        },
    ];
    figure(start..end_s(), highest, "GPUs", &marks, lines)
}

/// A result with an SVG plot for each of its nodes.
struct PlottedResult<'a> {
    result: &'a ContentionResult,
    nodes: Vec<(&'a NodeResult, String)>,
}

fn plot_result(result: &ContentionResult) -> anyhow::Result<PlottedResult<'_>> {
    let nodes = result.nodes.iter();
    let nodes: anyhow::Result<Vec<(&NodeResult, String)>> =
        nodes.map(|node| Ok((node, plot(node)?))).collect();
    let nodes = nodes?;
    Ok(PlottedResult { result, nodes })
}

/// Builds the page of all results, which loads nothing from the network.
fn html_page(results: &[ContentionResult]) -> anyhow::Result<Markup> {
    let plotted = results.iter().filter(|result| result.seed == PLOTTED_SEED);
    let plotted: anyhow::Result<Vec<PlottedResult>> = plotted.map(plot_result).collect();
    let plotted = plotted?;
    Ok(html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "Contention under nested quotas" }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "Contention under nested quotas" }
                (method())
                table {
                    tr { @for head in HEAD { th { (head) } } }
                    @for row in rows(results) {
                        tr { @for cell in cells(&row) { td { (cell) } } }
                    }
                }
                h2 { "Phases" }
                ol { @for (at, name) in phases() { li { "from " (at) " s: " (name) } } }
                h2 { "Quota tree" }
                pre { (contention::TREE) }
                @for plotted in &plotted {
                    h2 { (plotted.result.kind.name()) ", seed " (plotted.result.seed) }
                    @for (node, svg) in &plotted.nodes { (node_figure(node, svg)) }
                }
            }
        }
    })
}

/// Builds the paragraph that explains how the figures were measured.
fn method() -> Markup {
    let heartbeat_s = Config::default().timing.heartbeat.secs();
    html! {
        p {
            "Simulated: three controllers in virtual time, 16 machines of 4 GPUs, a quota tree of "
            "three levels and eight teams. A sample is the mean use of one node in one second, taken "
            (SETTLE_S) " s or more after demand last changed; it is outside of the tolerance if the "
            "node's share deviates from its entitlement by more than " (TOLERANCE * 100.0)
            "% of its parent's guarantee, or by more than one task if that is larger. Tasks save their "
            "state in " (SAVE_S) " s; workers send a heartbeat every " (heartbeat_s) " s. The reclaim "
            "time is the time from a change of demand until every node is within its tolerance for "
            "three seconds."
        }
    }
}

fn node_figure(node: &NodeResult, svg: &str) -> Markup {
    html! {
        figure {
            (PreEscaped(svg))
            figcaption {
                b { (node.name) }
                ": share (blue) and entitlement (orange); largest deviation of settled samples "
                (format!("{:.1}", node.max_deviation)) " GPUs, " (format!("{:.1}", node.allowed_deviation))
                " allowed; " (node.outside) " of " (node.settled) " samples outside the tolerance"
            }
        }
    }
}
