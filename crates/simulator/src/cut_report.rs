//! `cluster-simulator cuts`: simulates network partitions of a zone, with the zone's machines kept and given up, and
//! reports the results as a table and an HTML page.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use cluster_simulator::cuts::{
    Case, CaseResult, ControllerFate, PARTITION_START_S, Policy, simulate,
};
use comfy_table::Table;
use indicatif::ProgressBar;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::style::RGBColor;

use crate::report::{Line, STYLE, figure};

/// Durations of the partitions in seconds.
const DURATIONS_S: [u64; 3] = [20, 60, 120];
/// Numbers of machines that the cloud can rent out.
const SIZES: [u32; 3] = [10, 20, 40];
/// The entry of [`SIZES`] that the page plots.
const PLOTTED_SIZE: u32 = 20;
/// Seed of all simulations.
const SEED: u64 = 1;

/// Simulates all cases, prints the table and writes the page to `page`. The exit code is a failure if a rule was
/// violated.
///
/// # Errors
/// The page can't be drawn or written.
pub(crate) fn run(page: Option<&Path>) -> anyhow::Result<ExitCode> {
    let cases = cases();
    let bar = ProgressBar::new(cases.len() as u64);
    let mut results = Vec::new();
    for case in cases {
        results.push(simulate(case, SEED));
        bar.inc(1);
    }
    bar.finish_and_clear();
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_BORDERS_ONLY);
    table.set_header(HEAD);
    for result in &results {
        table.add_row(cells(result));
    }
    println!("{table}");
    for result in &results {
        for violation in &result.violations {
            println!("{}: {violation}", cells(result).join(", "));
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

/// All combinations, in the order of the table's rows.
fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for controller_fate in ControllerFate::ALL {
        for machines in SIZES {
            for duration_s in DURATIONS_S {
                cases.extend([Policy::GiveUp, Policy::Keep].map(|policy| Case {
                    controller_fate,
                    duration_s,
                    machines,
                    policy,
                }));
            }
        }
    }
    cases
}

/// Column heads of the table.
const HEAD: [&str; 8] = [
    "zone partition (simulated)",
    "duration, s",
    "machines max",
    "zone's machines are",
    "busy machines in the zone",
    "busy machines deleted",
    "leases expired",
    "cancellation reported after, s",
];

fn policy_name(policy: Policy) -> &'static str {
    match policy {
        Policy::Keep => "kept",
        Policy::GiveUp => "given up",
    }
}

fn cells(result: &CaseResult) -> [String; 8] {
    let case = result.case;
    let cancel_reported = result
        .cancel_reported_s
        .map(|seconds| format!("{seconds:.1}"));
    [
        case.controller_fate.name().into(),
        case.duration_s.to_string(),
        case.machines.to_string(),
        policy_name(case.policy).into(),
        result.busy_machines.to_string(),
        result.deleted.to_string(),
        result.expired.to_string(),
        cancel_reported.unwrap_or_else(|| "not reported".into()),
    ]
}

/// Plots the running tasks in the zone over time, with the zone's machines kept (blue) and given up (orange).
fn plot(results: &[&CaseResult]) -> anyhow::Result<String> {
    let samples = results.iter().flat_map(|result| &result.running);
    let highest = samples.clone().map(|sample| sample.in_zone).max();
    let end = samples.map(|sample| sample.at_s).max();
    let end = end.unwrap_or(PARTITION_START_S + 1);
    let ends = results
        .iter()
        .map(|result| PARTITION_START_S + result.case.duration_s);
    let marks: Vec<u64> = ends.collect();
    let line = |result: &&CaseResult| Line {
        color: match result.case.policy {
            Policy::Keep => RGBColor(30, 90, 160),
            Policy::GiveUp => RGBColor(200, 90, 20),
        },
        width: 2,
        points: result
            .running
            .iter()
            .map(|sample| (sample.at_s, sample.in_zone as f64))
            .collect(),
    };
    let lines = results.iter().map(line).collect();
    let highest = (highest.unwrap_or(1) + 2) as f64;
    figure(PARTITION_START_S..end, highest, "tasks", &marks, lines)
}

/// Builds the page of all cases, which loads nothing from the network.
fn html_page(results: &[CaseResult]) -> anyhow::Result<Markup> {
    let mut figures = Vec::new();
    for controller_fate in ControllerFate::ALL {
        for duration_s in DURATIONS_S {
            let is_plotted = |result: &&CaseResult| {
                let case = result.case;
                case.controller_fate == controller_fate
                    && case.duration_s == duration_s
                    && case.machines == PLOTTED_SIZE
            };
            let plotted: Vec<&CaseResult> = results.iter().filter(is_plotted).collect();
            figures.push((controller_fate, duration_s, plot(&plotted)?));
        }
    }
    Ok(html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "Network partitions of a zone" }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "Network partitions of a zone" }
                p {
                    "Simulated: controllers in virtual time, two zones, services and arrays. From second "
                    (PARTITION_START_S) " on, one zone can't reach anything outside. Workers send a heartbeat every "
                    "5 s; their lease is 26 s. Given up: controllers renew leases for 14 s and deletions are not held "
                    "back, close to the behaviour without support for keeping partitioned zones. The plots show "
                    "the running tasks in the zone: kept in blue, given up in orange; the vertical line is the "
                    "end of the partition."
                }
                table {
                    tr { @for head in HEAD { th { (head) } } }
                    @for result in results {
                        tr { @for cell in cells(result) { td { (cell) } } }
                    }
                }
                @for (controller_fate, duration_s, svg) in &figures {
                    figure {
                        (PreEscaped(svg))
                        figcaption { (controller_fate.name()) ", partitioned for " (duration_s) " s, at most " (PLOTTED_SIZE) " machines" }
                    }
                }
            }
        }
    })
}
