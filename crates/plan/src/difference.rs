//! What changed between two plans of the same order.

use crate::plan::Plan;
use std::collections::BTreeSet;

/// Figures that are apart by less than this proportion are called the same.
const SAME_WITHIN: f64 = 0.005;

/// What a newer plan of the same order says otherwise, in plain lines; nothing if it is made
/// from the same state.
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
        if (before - after).abs() > SAME_WITHIN * before.abs().max(1.0) {
            lines.push(format!("{name}: {before:.2} became {after:.2}"));
        }
    }
    let (before, after) = (late_jobs(old), late_jobs(new));
    if before != after {
        let added = list(after.difference(&before));
        lines.push(format!("may now miss their deadline: {added}"));
        let removed = list(before.difference(&after));
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

fn list<'a>(ids: impl Iterator<Item = &'a &'a str>) -> String {
    ids.copied().collect::<Vec<_>>().join(" ")
}
