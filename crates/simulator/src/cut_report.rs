//! `cluster-simulator cuts`: plays cuts of a zone, kept and given up, and shows their table and their page.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use cluster_simulator::cuts::{Case, FROM_S, Inside, Played, Policy, play};
use comfy_table::Table;
use indicatif::ProgressBar;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::style::RGBColor;

use crate::report::{Line, STYLE, figure};

/// Seconds that the cuts last.
const DURATIONS_S: [u64; 3] = [20, 60, 120];
/// Machines of the regions.
const SIZES: [u32; 3] = [10, 20, 40];
/// The size whose plots are on the page.
const PLOTTED_SIZE: u32 = 20;
/// Seed of all cuts.
const SEED: u64 = 1;

/// Plays all cases, prints the table and writes the page to `page`. Fails if a rule was broken.
///
/// # Errors
/// The page can't be drawn or written.
pub(crate) fn run(page: Option<&Path>) -> anyhow::Result<ExitCode> {
    let cases = cases();
    let bar = ProgressBar::new(cases.len() as u64);
    let mut all = Vec::new();
    for case in cases {
        all.push(play(case, SEED));
        bar.inc(1);
    }
    bar.finish_and_clear();
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_BORDERS_ONLY);
    table.set_header(HEAD);
    for played in &all {
        table.add_row(cells(played));
    }
    println!("{table}");
    for played in &all {
        for violation in &played.violations {
            println!("{}: {violation}", cells(played).join(", "));
        }
    }
    if let Some(path) = page {
        let text = html_page(&all)?.into_string();
        std::fs::write(path, text).with_context(|| path.display().to_string())?;
        println!("wrote {}", path.display());
    }
    let broken = all.iter().any(|played| !played.violations.is_empty());
    Ok(ExitCode::from(u8::from(broken)))
}

/// Every combination, in the order of the table.
fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for inside in Inside::ALL {
        for machines in SIZES {
            for for_s in DURATIONS_S {
                cases.extend([Policy::GiveUp, Policy::Keep].map(|policy| Case {
                    inside,
                    for_s,
                    machines,
                    policy,
                }));
            }
        }
    }
    cases
}

/// Heads of the table's columns.
const HEAD: [&str; 8] = [
    "cut of a zone (simulated)",
    "for, s",
    "machines at most",
    "zones are",
    "machines at work in the zone",
    "of them deleted",
    "leases run out",
    "a cancellation is told after, s",
];

fn policy_name(policy: Policy) -> &'static str {
    match policy {
        Policy::Keep => "kept",
        Policy::GiveUp => "given up",
    }
}

fn cells(played: &Played) -> [String; 8] {
    let case = played.case;
    let told = played.told_s.map(|seconds| format!("{seconds:.1}"));
    [
        case.inside.name().into(),
        case.for_s.to_string(),
        case.machines.to_string(),
        policy_name(case.policy).into(),
        played.in_zone.to_string(),
        played.deleted.to_string(),
        played.expired.to_string(),
        told.unwrap_or_else(|| "not told".into()),
    ]
}

/// Tasks that run in the zone: with it kept (blue), and given up (orange).
fn plot(played: &[&Played]) -> anyhow::Result<String> {
    let samples = played.iter().flat_map(|played| &played.running);
    let highest = samples.clone().map(|sample| sample.in_zone).max();
    let end = samples.map(|sample| sample.at_s).max();
    let end = end.unwrap_or(FROM_S + 1);
    let ends = played.iter().map(|played| FROM_S + played.case.for_s);
    let marks: Vec<u64> = ends.collect();
    let line = |played: &&Played| Line {
        color: match played.case.policy {
            Policy::Keep => RGBColor(30, 90, 160),
            Policy::GiveUp => RGBColor(200, 90, 20),
        },
        width: 2,
        points: played
            .running
            .iter()
            .map(|sample| (sample.at_s, sample.in_zone as f64))
            .collect(),
    };
    let lines = played.iter().map(line).collect();
    let highest = (highest.unwrap_or(1) + 2) as f64;
    figure(FROM_S..end, highest, "tasks", &marks, lines)
}

/// The page of all cases, which needs no network.
fn html_page(all: &[Played]) -> anyhow::Result<Markup> {
    let mut figures = Vec::new();
    for inside in Inside::ALL {
        for for_s in DURATIONS_S {
            let is_plotted = |played: &&Played| {
                let case = played.case;
                case.inside == inside && case.for_s == for_s && case.machines == PLOTTED_SIZE
            };
            let shown: Vec<&Played> = all.iter().filter(is_plotted).collect();
            figures.push((inside, for_s, plot(&shown)?));
        }
    }
    Ok(html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "Cuts of a zone" }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "Cuts of a zone" }
                p {
                    "Simulated: controllers in virtual time, two zones, replicas and arrays; one zone reaches "
                    "nothing outside from second " (FROM_S) " on. Workers report every 5 s, their lease is "
                    "26 s. Given up: controllers answer for 14 s and nothing is held back, nearest to how it "
                    "was before zones were kept. In the plots, tasks that run in the zone: kept in blue, "
                    "given up in orange; the line is the end of the cut."
                }
                table {
                    tr { @for head in HEAD { th { (head) } } }
                    @for played in all {
                        tr { @for cell in cells(played) { td { (cell) } } }
                    }
                }
                @for (inside, for_s, svg) in &figures {
                    figure {
                        (PreEscaped(svg))
                        figcaption { (inside.name()) ", cut off for " (for_s) " s, at most " (PLOTTED_SIZE) " machines" }
                    }
                }
            }
        }
    })
}
