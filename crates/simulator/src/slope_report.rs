//! `cluster-simulator slopes`: the table and the CSV of what controllers cost by size.

use std::fmt::Write as _;
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use cluster_simulator::meter::Direction;
use cluster_simulator::slopes::{Played, Role, Size, play};
use comfy_table::Table;

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

const CSV_HEAD: &str = "simulated,machines,controllers,zones,teams,seed,seconds,role,holds,what,kind,count,bytes,micros";

/// Characters that are shown of what was broken: a record may be in it.
const MOST_SHOWN: usize = 160;

pub fn run(
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
        for what in &played.broken {
            let what: String = what.chars().take(MOST_SHOWN).collect();
            println!("{} machines, broken: {what}", size.machines);
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

fn kilobytes_a_second(played: &Played, role: &Role, direction: Direction) -> f64 {
    let traffic = role.meter.traffic.iter();
    let bytes = traffic.filter(|((way, _), _)| *way == direction);
    let bytes: u64 = bytes.map(|(_, traffic)| traffic.bytes).sum();
    bytes as f64 / played.size.seconds as f64 / 1e3
}

fn cells(played: &Played, role: &Role) -> [String; 9] {
    let events: u64 = role.meter.handling.values().map(|h| h.events).sum();
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
            kilobytes_a_second(played, role, Direction::Received)
        ),
        format!("{:.0}", kilobytes_a_second(played, role, Direction::Sent)),
    ]
}

fn write_csv(text: &mut String, played: &Played, seed: u64) -> std::fmt::Result {
    let size = played.size;
    let Size {
        controllers,
        zones,
        teams,
        ..
    } = size;
    let machines = played.machines;
    let seconds = size.seconds;
    let start = format!("yes,{machines},{controllers},{zones},{teams},{seed},{seconds}");
    writeln!(
        text,
        "{start},all,{machines},total,starts,{},,",
        played.starts
    )?;
    writeln!(
        text,
        "{start},all,{machines},total,changes,{},,",
        played.written
    )?;
    writeln!(
        text,
        "{start},all,{machines},total,tasks,{},,",
        played.tasks
    )?;
    for role in &played.roles {
        let (name, holds) = (role_name(role), role.machines);
        for ((direction, kind), traffic) in &role.meter.traffic {
            let (messages, bytes) = (traffic.messages, traffic.bytes);
            let way = direction.word();
            writeln!(
                text,
                "{start},{name},{holds},{way},{kind},{messages},{bytes},"
            )?;
        }
        for (what, count) in &role.work {
            writeln!(text, "{start},{name},{holds},looked at,{what},{count},,")?;
        }
        for (kind, handling) in &role.meter.handling {
            let (events, micros) = (handling.events, handling.time.as_micros());
            writeln!(
                text,
                "{start},{name},{holds},handled,{kind},{events},,{micros}"
            )?;
        }
    }
    Ok(())
}
