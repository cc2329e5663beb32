//! The operators' commands about applications' locks and cells.

use crate::command_line::{CellsCommand, LocksCommand};
use crate::control_client::{ControlAnswer, ControlCall, ControlClient};
use crate::error::CliError;
use serde_json::Value;

/// How long one call of a watch waits for a put, in ms: less than an answer may take.
const WATCH_WAIT_MS: u64 = 1000;
/// A call that has nothing to say in its body.
const EMPTY_BODY: &[u8] = b"{}";

/// Lists locks, or frees one.
///
/// # Errors
/// Where no member gives a conclusive answer in time, or the call is rejected.
pub fn run_locks(command: &LocksCommand) -> Result<(), CliError> {
    match command {
        LocksCommand::List(members) => {
            let answer = get(members, "Locks.List")?;
            print_lines(&lock_lines(&answer));
        }
        LocksCommand::Free { members, name } => {
            let call = format!("Locks.Free/{name}");
            let answer = members.call(&ControlCall {
                name: &call,
                base_version: None,
                body: Some(EMPTY_BODY),
            })?;
            read(&answer)?;
            println!("{name} has no holder; the next one gets a higher fencing token");
        }
    }
    Ok(())
}

/// Lists cells, or prints puts as they come until a member rejects the watch.
///
/// # Errors
/// Where no member gives a conclusive answer in time, or the call is rejected.
pub fn run_cells(command: &CellsCommand) -> Result<(), CliError> {
    match command {
        CellsCommand::List { members, group } => {
            let name = match group {
                Some(group) => format!("Cells.List/{group}"),
                None => "Cells.List".to_owned(),
            };
            print_lines(&cell_lines(&get(members, &name)?));
            Ok(())
        }
        CellsCommand::Watch { members, group } => watch(members, group),
    }
}

fn watch(members: &ControlClient, group: &str) -> Result<(), CliError> {
    let mut after = 0;
    loop {
        let call = format!("watch/{group}?after={after}&wait_ms={WATCH_WAIT_MS}");
        let answer = get(members, &call)?;
        for event in list(&answer, "events") {
            println!("{}", cell_line(event));
        }
        after = answer["revision"].as_u64().unwrap_or(after);
    }
}

fn get(members: &ControlClient, name: &str) -> Result<Value, CliError> {
    let answer = members.call(&ControlCall {
        name,
        ..ControlCall::default()
    })?;
    read(&answer)
}

/// The body of an answer.
fn read(answer: &ControlAnswer) -> Result<Value, CliError> {
    if answer.status != 200 {
        let (code, reason) = answer.result();
        return Err(CliError::Rejected { code, reason });
    }
    Ok(serde_json::from_slice(&answer.body).unwrap_or_default())
}

fn list<'a>(answer: &'a Value, name: &str) -> &'a [Value] {
    answer[name]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default()
}

fn lock_lines(answer: &Value) -> Vec<String> {
    let mut lines = vec![format!(
        "{:<24} {:<24} {:>10} {:>10}",
        "lock", "holder", "fence", "left ms"
    )];
    lines.extend(list(answer, "locks").iter().map(|lock| {
        format!(
            "{:<24} {:<24} {:>10} {:>10}",
            text(lock, "name"),
            text(lock, "holder"),
            lock["fence"],
            lock["left_ms"]
        )
    }));
    lines
}

fn cell_lines(answer: &Value) -> Vec<String> {
    if answer.get("groups").is_none() {
        return list(answer, "cells").iter().map(cell_line).collect();
    }
    let groups = list(answer, "groups").iter();
    let line = |group: &Value| {
        format!(
            "{:<24} {:>6} cells, revision {}, puts kept above {}",
            text(group, "name"),
            group["cells"],
            group["revision"],
            group["history_from"]
        )
    };
    groups.map(line).collect()
}

fn cell_line(cell: &Value) -> String {
    format!(
        "{:>10} {:<24} {}",
        cell["revision"],
        text(cell, "name"),
        text(cell, "value")
    )
}

fn text<'a>(value: &'a Value, field: &str) -> &'a str {
    value[field].as_str().unwrap_or("-")
}

fn print_lines(lines: &[String]) {
    for line in lines {
        println!("{line}");
    }
}
