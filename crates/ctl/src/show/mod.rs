//! Answers of the operators' API as tables for a terminal.

mod cluster;
mod drains;
mod jobs;
mod plan;

pub use cluster::{machines, services, shares, teams, waits, SERVICES_HEAD, SHARES_HEAD};
pub use drains::{drains, rolls};
pub use jobs::jobs;
pub use plan::plan;

use comfy_table::{presets, Table};
use foxspur_wire::admin::Answer;

/// Stands in a cell that has no value.
const NONE: &str = "-";

/// A table with this head.
pub fn table<R: IntoIterator<Item = Vec<String>>>(head: &[&str], rows: R) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(head.iter().map(|title| title.to_uppercase()));
    for row in rows {
        table.add_row(row);
    }
    format!("{table}\n")
}

/// Which controller answers, who leads, and how old the data is.
pub fn origin<T>(answer: &Answer<T>) -> String {
    let leader = answer.owner.as_deref().unwrap_or("nobody");
    let mut line = format!("from {}, owner {leader}, term {}", answer.from, answer.term);
    if answer.age_s > 0.0 {
        line.push_str(&format!(
            "; {:.0} s OLD: the owner does not answer now",
            answer.age_s
        ));
    }
    line.push('\n');
    line
}

/// The name of an enum's variant, as the API writes it.
pub fn name<T: serde::Serialize>(value: &T) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    text.trim_matches('"').to_string()
}

/// Seconds in a unit that suits their size.
pub fn span(s: f64) -> String {
    match s.abs() {
        a if a < 120.0 => format!("{s:.0}s"),
        a if a < 7200.0 => format!("{:.0}m", s / 60.0),
        a if a < 172_800.0 => format!("{:.1}h", s / 3600.0),
        _ => format!("{:.1}d", s / 86_400.0),
    }
}

/// A time that may not be known.
fn optional_span(s: Option<f64>, otherwise: &str) -> String {
    s.map_or(otherwise.into(), span)
}

/// A text, or a dash if it is empty.
fn text_or_none(text: &str) -> String {
    if text.is_empty() { NONE } else { text }.to_string()
}

/// The word if it holds, or a dash.
fn flag(holds: bool, word: &str) -> String {
    if holds { word } else { NONE }.to_string()
}

fn percent(proportion: f64) -> String {
    format!("{:.0}%", proportion * 100.0)
}
