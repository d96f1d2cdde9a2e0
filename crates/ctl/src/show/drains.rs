//! Tables of drains and rollouts.

use super::{percent, table, text_or_dash, variant_name, EMPTY_CELL};
use foxspur_wire::admin::{DrainRow, DrainState};
use foxspur_wire::rollout::{MaxOutOfUse, Rollout, RolloutState};

const DRAINS_HEADER: [&str; 8] = [
    "machine", "state", "tasks", "stays", "by", "why", "rest", "proof",
];

/// The table of drains and their progress.
pub fn drains(drains: &[DrainRow]) -> String {
    table(&DRAINS_HEADER, drains.iter().map(drain_row))
}

fn drain_row(row: &DrainRow) -> Vec<String> {
    let drain = &row.drain;
    let state = match row.state {
        DrainState::Overdue => "OVERDUE".into(),
        other => variant_name(&other),
    };
    let proof = drain.drained.as_ref().map_or(EMPTY_CELL.into(), |drained| {
        format!("{} in term {}", variant_name(&drained.proof), drained.term)
    });
    vec![
        drain.host.clone(),
        state,
        row.tasks.to_string(),
        text_or_dash(&row.stays),
        drain.by.clone(),
        drain.why.clone(),
        variant_name(&drain.rest),
        proof,
    ]
}

const ROLLS_HEADER: [&str; 8] = [
    "roll", "state", "begun", "of", "at most", "by", "why", "reason",
];

/// The table of rollouts and their progress.
pub fn rolls(rolls: &[Rollout]) -> String {
    table(&ROLLS_HEADER, rolls.iter().map(roll_row))
}

fn roll_row(roll: &Rollout) -> Vec<String> {
    let at_most = match roll.at_most {
        MaxOutOfUse::Machines(count) => format!("{count} a zone"),
        MaxOutOfUse::Share(proportion) => format!("{} of a zone", percent(proportion)),
    };
    let state = match roll.state {
        RolloutState::Halted => "HALTED".into(),
        other => variant_name(&other),
    };
    vec![
        roll.name.clone(),
        state,
        roll.next.to_string(),
        roll.hosts.len().to_string(),
        at_most,
        roll.by.clone(),
        roll.why.clone(),
        text_or_dash(&roll.reason),
    ]
}
