//! `cluster-simulator slopes`: simulates several region sizes and reports the cost of controllers as a table and CSV.

use std::fmt::Write as _;
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use cluster_simulator::meter::Direction;
use cluster_simulator::slopes::{ControllerResult, Size, SizeResult, simulate};
use comfy_table::Table;

/// Column heads of the table.
const TABLE_HEAD: [&str; 9] = [
    "machines (simulated)",
    "role",
    "machines held",
    "starts/s",
    "changes/s",
    "cores, this machine",
    "us per event",
    "KB/s received",
    "KB/s sent",
];

/// Column heads of the CSV. The first column marks all figures as simulated.
const CSV_HEAD: &str = "simulated,machines,controllers,zones,teams,seed,seconds,role,holds,what,kind,count,bytes,micros";

/// Violations are truncated to this many characters, since they may quote a whole record.
const MAX_VIOLATION_CHARS: usize = 160;

/// Simulates each size with a seed, prints the table and writes the CSV. The exit code is a failure if a rule was
/// violated.
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
        let result = simulate(size, seed);
        for controller in &result.controllers {
            table.add_row(cells(&result, controller));
        }
        write_csv(&mut text, &result, seed)?;
        for violation in &result.violations {
            let shown: String = violation.chars().take(MAX_VIOLATION_CHARS).collect();
            println!("{} machines, rule violated: {shown}", size.machines);
            broken = true;
        }
        eprintln!("simulated {} machines", size.machines);
    }
    println!("{table}");
    if let Some(path) = csv {
        std::fs::write(path, text).with_context(|| path.display().to_string())?;
        println!("wrote {}", path.display());
    }
    Ok(ExitCode::from(u8::from(broken)))
}

fn role_name(controller: &ControllerResult) -> &'static str {
    if controller.leads { "leader" } else { "other" }
}

/// Kilobytes a second that a controller received or sent, on average.
fn kilobytes_per_second(
    result: &SizeResult,
    controller: &ControllerResult,
    direction: Direction,
) -> f64 {
    let traffic = controller.meter.traffic.iter();
    let bytes = traffic.filter(|((key, _), _)| *key == direction);
    let bytes: u64 = bytes.map(|(_, traffic)| traffic.bytes).sum();
    bytes as f64 / result.size.seconds as f64 / 1e3
}

fn cells(result: &SizeResult, controller: &ControllerResult) -> [String; 9] {
    let events: u64 = controller
        .meter
        .handling
        .values()
        .map(|handling| handling.events)
        .sum();
    let micros = controller.meter.busy().as_secs_f64() * 1e6;
    let rate = |count: u64| format!("{:.1}", count as f64 / result.size.seconds as f64);
    [
        result.machines.to_string(),
        role_name(controller).into(),
        controller.machines.to_string(),
        rate(result.task_starts),
        rate(result.committed_changes),
        format!("{:.3}", controller.cores),
        format!("{:.1}", micros / events.max(1) as f64),
        format!(
            "{:.0}",
            kilobytes_per_second(result, controller, Direction::Received)
        ),
        format!(
            "{:.0}",
            kilobytes_per_second(result, controller, Direction::Sent)
        ),
    ]
}

/// Appends the rows of one size: totals of the region, then the counters of each controller.
fn write_csv(text: &mut String, result: &SizeResult, seed: u64) -> std::fmt::Result {
    let Size {
        controllers,
        zones,
        teams,
        seconds,
        ..
    } = result.size;
    let machines = result.machines;
    let size_cells = format!("yes,{machines},{controllers},{zones},{teams},{seed},{seconds}");
    let totals = [
        ("starts", result.task_starts),
        ("changes", result.committed_changes),
        ("tasks", result.tasks as u64),
    ];
    for (name, count) in totals {
        writeln!(text, "{size_cells},all,{machines},total,{name},{count},,")?;
    }
    for controller in &result.controllers {
        let prefix = format!(
            "{size_cells},{},{}",
            role_name(controller),
            controller.machines
        );
        write_controller(text, &prefix, controller)?;
    }
    Ok(())
}

/// Appends the rows of one controller, each of which begins with the cells in `prefix`.
fn write_controller(
    text: &mut String,
    prefix: &str,
    controller: &ControllerResult,
) -> std::fmt::Result {
    for ((direction, kind), traffic) in &controller.meter.traffic {
        let (messages, bytes) = (traffic.messages, traffic.bytes);
        let direction = direction.label();
        writeln!(text, "{prefix},{direction},{kind},{messages},{bytes},")?;
    }
    for (name, count) in &controller.work {
        writeln!(text, "{prefix},looked at,{name},{count},,")?;
    }
    for (name, count) in &controller.starts {
        writeln!(text, "{prefix},starts,{name},{count},,")?;
    }
    for (kind, handling) in &controller.meter.handling {
        let (events, micros) = (handling.events, handling.time.as_micros());
        writeln!(text, "{prefix},handled,{kind},{events},,{micros}")?;
    }
    Ok(())
}
