//! `cluster-simulator cuts`: cuts of a zone, with and without what keeps it, and their page.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use cluster_simulator::cuts::{FROM_S, Inside, Played, play};
use comfy_table::Table;
use indicatif::ProgressBar;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::style::RGBColor;

use crate::report::{Line, STYLE, figure};

const DURATIONS_S: [u64; 3] = [20, 60, 120];
const SIZES: [u32; 3] = [10, 20, 40];
/// The size whose plots are shown.
const SHOWN: u32 = 20;

pub fn run(page: Option<&Path>) -> anyhow::Result<ExitCode> {
    let cases = Inside::ALL.into_iter().flat_map(|inside| {
        let sizes = SIZES
            .into_iter()
            .flat_map(|size| DURATIONS_S.map(|s| (size, s)));
        sizes.flat_map(move |(size, for_s)| [false, true].map(|kept| (inside, for_s, size, kept)))
    });
    let cases: Vec<_> = cases.collect();
    let bar = ProgressBar::new(cases.len() as u64);
    let mut all = Vec::new();
    for (inside, for_s, size, kept) in cases {
        all.push(play(inside, for_s, size, kept, 1));
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
        for broken in &played.broken {
            println!("{}: {broken}", cells(played).join(", "));
        }
    }
    if let Some(path) = page {
        let text = html_page(&all)?.into_string();
        std::fs::write(path, text).with_context(|| path.display().to_string())?;
        println!("wrote {}", path.display());
    }
    let broken = all.iter().any(|played| !played.broken.is_empty());
    Ok(ExitCode::from(u8::from(broken)))
}

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

fn manner(kept: bool) -> &'static str {
    if kept { "kept" } else { "given up" }
}

fn cells(played: &Played) -> [String; 8] {
    [
        played.inside.name().into(),
        played.for_s.to_string(),
        played.machines.to_string(),
        manner(played.kept).into(),
        played.in_zone.to_string(),
        played.deleted.to_string(),
        played.expired.to_string(),
        played
            .told_s
            .map_or("not told".into(), |s| format!("{s:.1}")),
    ]
}

/// Tasks that run in the zone: with it kept (blue), and given up (orange).
fn plot(played: &[&Played]) -> anyhow::Result<String> {
    let samples = played.iter().flat_map(|p| &p.running);
    let highest = samples.clone().map(|(_, inside, _)| *inside).max();
    let end = samples.map(|(at, ..)| *at).max().unwrap_or(FROM_S + 1);
    let marks: Vec<u64> = played.iter().map(|p| FROM_S + p.for_s).collect();
    let line = |played: &&Played| Line {
        color: if played.kept {
            RGBColor(30, 90, 160)
        } else {
            RGBColor(200, 90, 20)
        },
        width: 2,
        points: played
            .running
            .iter()
            .map(|(at, inside, _)| (*at, *inside as f64))
            .collect(),
    };
    let lines = played.iter().map(line).collect();
    let highest = (highest.unwrap_or(1) + 2) as f64;
    figure(FROM_S..end, highest, "tasks", &marks, lines)
}

fn html_page(all: &[Played]) -> anyhow::Result<Markup> {
    let mut figures = Vec::new();
    for inside in Inside::ALL {
        for for_s in DURATIONS_S {
            let of = |p: &&Played| p.inside == inside && p.for_s == for_s && p.machines == SHOWN;
            let shown: Vec<&Played> = all.iter().filter(of).collect();
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
                        figcaption { (inside.name()) ", cut off for " (for_s) " s, at most " (SHOWN) " machines" }
                    }
                }
            }
        }
    })
}
