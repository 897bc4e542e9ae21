//! `cluster-simulator contention`: the replay of contention, and its page.

use std::ops::Range;
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use cluster_simulator::config::Config;
use cluster_simulator::contention::{
    self, Kind, Level, Replay, SETTLE_S, STASH_S, Sample, TOLERANCE, end_s, phases, replay,
};
use comfy_table::Table;
use indicatif::ProgressBar;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::prelude::*;

pub const STYLE: &str = "body{font-family:sans-serif;max-width:70em;margin:2em auto;color:#222}\
    table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;\
    border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}\
    figure{margin:1em 0}figcaption{font-size:90%;color:#555}";

pub fn run(seeds: u64, page: Option<&Path>) -> anyhow::Result<ExitCode> {
    let count = Kind::ALL.len() as u64 * seeds;
    let bar = ProgressBar::new(count);
    let mut replays = Vec::new();
    for kind in Kind::ALL {
        for seed in 1..=seeds {
            replays.push(replay(kind, seed));
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    println!("{}", summary(&replays));
    for replay in &replays {
        for broken in &replay.broken {
            println!("{}, seed {}: {broken}", replay.kind.name(), replay.seed);
        }
    }
    if let Some(path) = page {
        let text = html_page(&replays)?.into_string();
        std::fs::write(path, text).with_context(|| path.display().to_string())?;
        println!("wrote {}", path.display());
    }
    let broken = replays.iter().any(|replay| !replay.broken.is_empty());
    Ok(ExitCode::from(u8::from(broken)))
}

struct Row {
    name: &'static str,
    outside: usize,
    settled: usize,
    worst: f64,
    longest: String,
    lost: f64,
    used: f64,
    changes: u64,
}

/// One row a kind, over all seeds.
fn rows(replays: &[Replay]) -> Vec<Row> {
    let of = |kind: Kind| replays.iter().filter(move |replay| replay.kind == kind);
    let row = |kind: Kind| {
        let beyond = |level: &Level| level.worst - level.allowed;
        let worst = of(kind).flat_map(|r| r.levels.iter().map(beyond));
        let longest: Option<Vec<u64>> = of(kind).map(Replay::longest).collect();
        let longest = longest.and_then(|all| all.into_iter().max());
        let seeds = of(kind).count().max(1) as f64;
        Row {
            name: kind.name(),
            outside: of(kind).map(Replay::outside).sum(),
            settled: of(kind).map(Replay::settled).sum(),
            worst: worst.fold(0.0, f64::max),
            longest: longest.map_or("not in every phase".into(), |s| format!("{s} s")),
            lost: of(kind).map(|r| r.lost_s).sum::<f64>() / seeds,
            used: of(kind).map(|r| r.used).sum::<f64>() / seeds,
            changes: of(kind).map(|r| r.changes).sum::<u64>() / seeds as u64,
        }
    };
    Kind::ALL.into_iter().map(row).collect()
}

const HEAD: [&str; 7] = [
    "replay (simulated)",
    "samples outside",
    "furthest beyond tolerance, GPUs",
    "longest reclaim",
    "lost run time, s",
    "used, GPU s",
    "changes of the state service",
];

fn cells(row: &Row) -> [String; 7] {
    let part = row.outside as f64 * 100.0 / row.settled.max(1) as f64;
    [
        row.name.into(),
        format!("{} of {} ({part:.2}%)", row.outside, row.settled),
        format!("{:.1}", row.worst.max(0.0)),
        row.longest.clone(),
        format!("{:.0}", row.lost),
        format!("{:.0}", row.used),
        row.changes.to_string(),
    ]
}

fn summary(replays: &[Replay]) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_BORDERS_ONLY);
    table.set_header(HEAD);
    for row in rows(replays) {
        table.add_row(cells(&row));
    }
    table
}

/// One line of a figure: its color, how wide, and its points by second.
pub struct Line {
    pub color: RGBColor,
    pub width: u32,
    pub points: Vec<(u64, f64)>,
}

/// A figure over seconds, as SVG; `marks` are seconds that a thin line stands at.
pub fn figure(
    seconds: Range<u64>,
    highest: f64,
    unit: &str,
    marks: &[u64],
    lines: Vec<Line>,
) -> anyhow::Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (960, 220)).into_drawing_area();
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

/// A level's share against what it is entitled to.
fn plot(level: &Level) -> anyhow::Result<String> {
    let highest = level.samples.iter().map(|s| s.share.max(s.entitled));
    let highest = highest.fold(4.0, f64::max) * 1.1;
    let start = level.samples.first().map_or(0, |s| s.at_s);
    let marks: Vec<u64> = phases().map(|(at, _)| at).collect();
    let points = |of: fn(&Sample) -> f64| level.samples.iter().map(|s| (s.at_s, of(s))).collect();
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

fn html_page(replays: &[Replay]) -> anyhow::Result<Markup> {
    let report = Config::default().timing.heartbeat.secs();
    let shown: Vec<&Replay> = replays.iter().filter(|replay| replay.seed == 1).collect();
    let mut plots = Vec::new();
    for replay in &shown {
        let figures: anyhow::Result<Vec<(&Level, String)>> =
            replay.levels.iter().map(|l| Ok((l, plot(l)?))).collect();
        plots.push((*replay, figures?));
    }
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
                p {
                    "Simulated: three controllers in virtual time, 16 machines of 4 GPUs, a tree of "
                    "three levels and eight teams. A sample is the mean of one second of one node, taken "
                    (SETTLE_S) " s or more after demand last changed; it is outside if the node's "
                    "share is off from what the tree entitles it to by more than "
                    (TOLERANCE * 100.0) "% of its parent's guarantee, or one task if that is "
                    "larger. Work saves in " (STASH_S) " s, workers report every " (report)
                    " s. Reclaim: from a change of demand until every node is within its tolerance "
                    "for three seconds."
                }
                table {
                    tr { @for head in HEAD { th { (head) } } }
                    @for row in rows(replays) {
                        tr { @for cell in cells(&row) { td { (cell) } } }
                    }
                }
                h2 { "Phases" }
                ol { @for (at, name) in phases() { li { "from " (at) " s: " (name) } } }
                h2 { "The tree" }
                pre { (contention::TREE) }
                @for (replay, figures) in &plots {
                    h2 { (replay.kind.name()) ", seed " (replay.seed) }
                    @for (level, svg) in figures {
                        figure {
                            (PreEscaped(svg))
                            figcaption {
                                b { (level.name) }
                                ": share (blue) against entitlement (orange); off by "
                                (format!("{:.1}", level.worst)) " at the most once settled, "
                                (format!("{:.1}", level.allowed)) " allowed; " (level.outside)
                                " of " (level.settled) " samples outside"
                            }
                        }
                    }
                }
            }
        }
    })
}
