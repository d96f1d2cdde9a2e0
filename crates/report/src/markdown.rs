//! Formats the table of a day as Markdown.

use crate::largest::Largest;
use crate::table::{Row, Table};
use std::fmt::Write;

/// Formats the table, followed by the classes and teams that are under half.
pub fn markdown(table: &Table) -> String {
    let mut out = format!("day {}, seed {}\n\n", table.day, table.seed);
    out.push_str(&format_rows(table));
    out.push_str(&format_largest(&table.largest));
    let _ = writeln!(
        out,
        "\nEach class could have had {:.2} by its first aim at the same time.",
        table.together
    );
    for (label, names) in [
        ("LESS THAN HALF SERVED", table.failed()),
        (
            "LESS THAN HALF OF THE LARGEST SERVED",
            table.failed_largest(),
        ),
        ("under half in time", table.late()),
        ("teams under half in time", table.short_teams()),
    ] {
        if !names.is_empty() {
            let _ = writeln!(out, "{label}: {}", names.join(", "));
        }
    }
    out
}

/// The mark after a proportion that is under half.
fn mark(under_half: bool) -> &'static str {
    if under_half {
        " **under half**"
    } else {
        ""
    }
}

fn format_rows(table: &Table) -> String {
    let mut out = String::from("| class or team | aim | jobs | tasks | starts | done | in time | bound | stopped (one task) | lost | passed over |\n");
    out.push_str("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for row in table.classes.iter().chain(&table.teams) {
        let _ = writeln!(out, "{}", format_row(row));
    }
    out
}

fn format_row(row: &Row) -> String {
    format!(
        "| {} | {} | {} | {} | {} | {} | {:.3}{} | {:.2} | {} ({}) | {} | {:.0} s |",
        row.name,
        row.aim,
        row.jobs,
        row.tasks,
        row.starts,
        row.done,
        row.in_time(),
        mark(row.under_half()),
        row.alone,
        row.stopped,
        row.stopped_most,
        row.lost,
        row.passed_s,
    )
}

fn format_largest(found: &[Largest]) -> String {
    let mut out = String::from("\n| largest of | by | part | jobs | done | begun in 240 s | longest until begun |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for largest in found {
        let _ = writeln!(
            out,
            "| {} | {} | 1/{} | {} | {}{} | {} | {:.0} s |",
            largest.class,
            largest.by,
            largest.part,
            largest.jobs,
            largest.done,
            mark(largest.under_half()),
            largest.begun,
            largest.longest_s
        );
    }
    out
}
