//! Compares two plans of the same order.

use crate::plan::Plan;
use std::collections::BTreeSet;

/// Values count as equal if they differ by no more than this proportion of the older one (or of
/// 1, if that is larger).
const RELATIVE_TOLERANCE: f64 = 0.005;

/// The differences of a newer plan of the same order, one per line for the operator. Empty if
/// both plans were made from the same state.
pub fn difference(old: &Plan, new: &Plan) -> Vec<String> {
    let mut lines = state_changes(old, new);
    if lines.is_empty() {
        return lines;
    }
    let drained_s = |plan: &Plan| plan.all.drained_s.map_or(f64::INFINITY, |r| r.p90);
    let figures = [
        (
            "deadlines missed because of the drain",
            old.all.late,
            new.all.late,
        ),
        ("CPU seconds lost", old.all.lost_cpu_s, new.all.lost_cpu_s),
        ("drained after, s (p90)", drained_s(old), drained_s(new)),
    ];
    for (name, before, after) in figures {
        if (before - after).abs() > RELATIVE_TOLERANCE * before.abs().max(1.0) {
            lines.push(format!("{name}: {before:.2} became {after:.2}"));
        }
    }
    let (before, after) = (late_jobs(old), late_jobs(new));
    if before != after {
        let added = join_ids(after.difference(&before));
        lines.push(format!("may now miss their deadline: {added}"));
        let removed = join_ids(before.difference(&after));
        lines.push(format!("no longer: {removed}"));
    }
    lines
}

fn state_changes(old: &Plan, new: &Plan) -> Vec<String> {
    let mut lines = Vec::new();
    if old.term != new.term {
        lines.push(format!("term: {} became {}", old.term, new.term));
    }
    if old.revision != new.revision {
        let (before, after) = (old.revision, new.revision);
        lines.push(format!("revision: {before} became {after}"));
    }
    lines
}

/// Jobs that may miss their deadline because of the drain.
fn late_jobs(plan: &Plan) -> BTreeSet<&str> {
    let late = plan.jobs.iter().filter(|job| job.late_because > 0.0);
    late.map(|job| job.id.as_str()).collect()
}

fn join_ids<'a>(ids: impl Iterator<Item = &'a &'a str>) -> String {
    ids.copied().collect::<Vec<_>>().join(" ")
}
