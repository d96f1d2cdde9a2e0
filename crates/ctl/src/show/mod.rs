//! Formats answers of the operators' API as tables for a terminal.

mod cluster;
mod drains;
mod jobs;
mod plan;

pub use cluster::{machines, services, shares, teams, waits, SERVICES_HEADER, SHARES_HEADER};
pub use drains::{drains, rolls};
pub use jobs::jobs;
pub use plan::plan;

use comfy_table::{presets, Table};
use foxspur_wire::admin::Answer;

/// The content of a cell without a value.
const EMPTY_CELL: &str = "-";

/// Formats a table with this header, in upper case.
pub fn table<R: IntoIterator<Item = Vec<String>>>(header: &[&str], rows: R) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header.iter().map(|title| title.to_uppercase()));
    for row in rows {
        table.add_row(row);
    }
    format!("{table}\n")
}

/// A line that names the answering controller and the leader, and says how old the data is if
/// the leader did not answer.
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

/// The name of an enum variant as the API writes it.
pub fn variant_name<T: serde::Serialize>(value: &T) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    text.trim_matches('"').to_string()
}

/// Formats a number of seconds in a unit that suits its size.
pub fn duration(seconds: f64) -> String {
    match seconds.abs() {
        size if size < 120.0 => format!("{seconds:.0}s"),
        size if size < 7200.0 => format!("{:.0}m", seconds / 60.0),
        size if size < 172_800.0 => format!("{:.1}h", seconds / 3600.0),
        _ => format!("{:.1}d", seconds / 86_400.0),
    }
}

/// Formats a number of seconds, or returns `otherwise` if it is unknown.
fn optional_duration(seconds: Option<f64>, otherwise: &str) -> String {
    seconds.map_or(otherwise.into(), duration)
}

/// The text, or a dash if it is empty.
fn text_or_dash(text: &str) -> String {
    if text.is_empty() { EMPTY_CELL } else { text }.to_string()
}

/// The word if the condition is true, else a dash.
fn word_or_dash(condition: bool, word: &str) -> String {
    if condition { word } else { EMPTY_CELL }.to_string()
}

fn percent(proportion: f64) -> String {
    format!("{:.0}%", proportion * 100.0)
}
