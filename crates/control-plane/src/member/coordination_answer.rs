//! Answers to requests for locks, numbers, cells and watches: the result code, and the body as JSON.

use configuration::ResultCode;
use coordination::{Answer, Cell, CellGroup, CoordinationState, LockDeadlines};
use serde_json::{json, Value};
use std::time::Duration;

/// The result code of an answer, and its body, which is empty if the code says everything.
pub(super) fn encode_answer(answer: &Answer) -> (ResultCode, Vec<u8>) {
    let (code, body) = match answer {
        Answer::Acquired { fence } => (ResultCode::Ok, json!({"fence": fence})),
        Answer::Renewed | Answer::Released => (ResultCode::Ok, json!({})),
        Answer::Number { value } => (ResultCode::Ok, json!({"value": value})),
        Answer::Put { revision } => (ResultCode::Ok, json!({"revision": revision})),
        Answer::Conflict { revision } => {
            (ResultCode::RevisionConflict, json!({"revision": revision}))
        }
        Answer::Value(cell) => (
            ResultCode::Ok,
            json!({"value": &*cell.value, "revision": cell.revision}),
        ),
        Answer::Events { events, revision } => {
            let events: Vec<Value> = events.iter().map(cell_json).collect();
            let body = json!({"events": events, "revision": revision});
            (ResultCode::Ok, body)
        }
        Answer::LockHeld => return (ResultCode::LockHeld, Vec::new()),
        Answer::LockLost => return (ResultCode::LockLost, Vec::new()),
        Answer::NoCell => return (ResultCode::NoCell, Vec::new()),
        Answer::HistoryGone => return (ResultCode::HistoryGone, Vec::new()),
        Answer::Forgotten => return (ResultCode::OutcomeUnknown, Vec::new()),
        Answer::Full => return (ResultCode::CoordinationFull, Vec::new()),
    };
    (code, body.to_string().into_bytes())
}

fn cell_json(cell: &Cell) -> Value {
    json!({"name": &*cell.name, "value": &*cell.value, "revision": cell.revision})
}

/// JSON list of all locks that have a holder, each with the time after which another caller may acquire it, in ms.
pub(super) fn list_locks(
    state: &CoordinationState,
    deadlines: &LockDeadlines,
    now: Duration,
) -> Vec<u8> {
    let locks = state.locks().map(|(name, lock)| {
        let deadline = deadlines.deadline(name, lock).unwrap_or(now);
        let left_ms = deadline.saturating_sub(now).as_millis() as u64;
        json!({"name": name, "holder": &*lock.holder, "fence": lock.fence, "hold_ms": lock.hold_ms, "left_ms": left_ms})
    });
    let locks: Vec<Value> = locks.collect();
    json!({"locks": locks, "last_fence": state.last_fence()})
        .to_string()
        .into_bytes()
}

/// JSON list of all groups of cells, or of the cells of one group if `group` isn't empty.
pub(super) fn list_cells(state: &CoordinationState, group: &str) -> Vec<u8> {
    let body = if group.is_empty() {
        let groups = state.groups().map(|(name, group)| {
            json!({"name": name, "revision": group.revision(), "cells": group.cells().count(), "history_from": group.floor()})
        });
        json!({"groups": groups.collect::<Vec<Value>>()})
    } else {
        let cells = state.group(group).into_iter().flat_map(CellGroup::cells);
        json!({"cells": cells.map(cell_json).collect::<Vec<Value>>(), "revision": state.group_revision(group)})
    };
    body.to_string().into_bytes()
}
