//! `cluster-simulator slopes`: plays the sizes, and prints the table and writes the CSV of what controllers cost.

use std::fmt::Write as _;
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use cluster_simulator::meter::Direction;
use cluster_simulator::slopes::{Played, Role, Size, play};
use comfy_table::Table;

/// Heads of the table's columns.
const TABLE_HEAD: [&str; 9] = [
    "machines (simulated)",
    "role",
    "holds",
    "starts/s",
    "changes/s",
    "core, this machine",
    "us an event",
    "KB/s received",
    "KB/s sent",
];

/// Columns of the CSV. The first says that all figures are simulated.
const CSV_HEAD: &str = "simulated,machines,controllers,zones,teams,seed,seconds,role,holds,what,kind,count,bytes,micros";

/// Characters of a violation that are shown: it may quote a whole record.
const MAX_VIOLATION_CHARS: usize = 160;

/// Plays each size with a seed, prints the table and writes the CSV. Fails if a rule was broken.
///
/// # Errors
/// The CSV can't be written.
pub(crate) fn run(
    sizes: impl Iterator<Item = Size>,
    seed: u64,
    csv: Option<&Path>,
) -> anyhow::Result<ExitCode> {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_BORDERS_ONLY);
    table.set_header(TABLE_HEAD);
    let mut text = format!("{CSV_HEAD}\n");
    let mut broken = false;
    for size in sizes {
        let played = play(size, seed);
        for role in &played.roles {
            table.add_row(cells(&played, role));
        }
        write_csv(&mut text, &played, seed)?;
        for violation in &played.violations {
            let shown: String = violation.chars().take(MAX_VIOLATION_CHARS).collect();
            println!("{} machines, broken: {shown}", size.machines);
            broken = true;
        }
        eprintln!("played {} machines", size.machines);
    }
    println!("{table}");
    if let Some(path) = csv {
        std::fs::write(path, text).with_context(|| path.display().to_string())?;
        println!("wrote {}", path.display());
    }
    Ok(ExitCode::from(u8::from(broken)))
}

fn role_name(role: &Role) -> &'static str {
    if role.leads { "leader" } else { "other" }
}

/// Kilobytes a second that a controller received or sent.
fn kilobytes_per_second(played: &Played, role: &Role, direction: Direction) -> f64 {
    let traffic = role.meter.traffic.iter();
    let bytes = traffic.filter(|((of, _), _)| *of == direction);
    let bytes: u64 = bytes.map(|(_, traffic)| traffic.bytes).sum();
    bytes as f64 / played.size.seconds as f64 / 1e3
}

fn cells(played: &Played, role: &Role) -> [String; 9] {
    let events: u64 = role
        .meter
        .handling
        .values()
        .map(|handling| handling.events)
        .sum();
    let micros = role.meter.busy().as_secs_f64() * 1e6;
    let rate = |count: u64| format!("{:.1}", count as f64 / played.size.seconds as f64);
    [
        played.machines.to_string(),
        role_name(role).into(),
        role.machines.to_string(),
        rate(played.starts),
        rate(played.written),
        format!("{:.3}", role.core),
        format!("{:.1}", micros / events.max(1) as f64),
        format!(
            "{:.0}",
            kilobytes_per_second(played, role, Direction::Received)
        ),
        format!("{:.0}", kilobytes_per_second(played, role, Direction::Sent)),
    ]
}

/// Adds the lines of one size: totals of the region, then the counts of each controller.
fn write_csv(text: &mut String, played: &Played, seed: u64) -> std::fmt::Result {
    let Size {
        controllers,
        zones,
        teams,
        seconds,
        ..
    } = played.size;
    let machines = played.machines;
    let run = format!("yes,{machines},{controllers},{zones},{teams},{seed},{seconds}");
    let totals = [
        ("starts", played.starts),
        ("changes", played.written),
        ("tasks", played.tasks as u64),
    ];
    for (name, count) in totals {
        writeln!(text, "{run},all,{machines},total,{name},{count},,")?;
    }
    for role in &played.roles {
        let start = format!("{run},{},{}", role_name(role), role.machines);
        write_role(text, &start, role)?;
    }
    Ok(())
}

/// Adds the lines of one controller; `start` is what they all begin with.
fn write_role(text: &mut String, start: &str, role: &Role) -> std::fmt::Result {
    for ((direction, kind), traffic) in &role.meter.traffic {
        let (messages, bytes) = (traffic.messages, traffic.bytes);
        let word = direction.word();
        writeln!(text, "{start},{word},{kind},{messages},{bytes},")?;
    }
    for (name, count) in &role.work {
        writeln!(text, "{start},looked at,{name},{count},,")?;
    }
    for (kind, handling) in &role.meter.handling {
        let (events, micros) = (handling.events, handling.time.as_micros());
        writeln!(text, "{start},handled,{kind},{events},,{micros}")?;
    }
    Ok(())
}
