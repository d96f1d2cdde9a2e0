//! The subcommands, and their shared functions: reading sites, reading and writing histories,
//! printing results.

pub mod check;
pub mod load;
pub mod up;

use foxspur_testbed::history::Entry;
use foxspur_testbed::load::Counts;
use foxspur_testbed::site::{Site, DEFAULT};
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// How long to wait for each step of a job.
const SETTLE: Duration = Duration::from_secs(120);

/// Converts an error to its message.
fn to_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// Reads a site file, or the default site if no path is given.
fn read_site(path: Option<&Path>) -> Result<Site, String> {
    match path {
        Some(path) => Site::parse(&read_file(path)?),
        None => Site::parse(DEFAULT),
    }
}

fn read_file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Parses a history from JSON lines.
fn read_entries(text: &str) -> Result<Vec<Entry>, String> {
    let read = |(index, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|e| format!("line {}: {e}", index + 1))
    };
    text.lines().enumerate().map(read).collect()
}

/// Writes a history as JSON lines.
fn write_entries(path: &Path, entries: &[Entry]) -> Result<(), String> {
    let failed = |e: std::io::Error| format!("{}: {e}", path.display());
    let mut file = std::fs::File::create(path).map_err(failed)?;
    for entry in entries {
        let line = serde_json::to_string(entry).map_err(to_text)?;
        writeln!(file, "{line}").map_err(failed)?;
    }
    Ok(())
}

/// Prints the counts and latencies of a load.
fn print_summary(counts: &Counts, cuts: usize) {
    println!(
        "jobs    {} submitted, {} accepted, {} done, {} withdrawn, {} refused",
        counts.submitted, counts.accepted, counts.done, counts.withdrawn, counts.refused
    );
    for (name, latencies) in [("accept", &counts.accept_ms), ("done", &counts.done_ms)] {
        let (p50, p99) = (
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.99),
        );
        println!("{name:7} p50 {p50} ms, p99 {p99} ms");
    }
    println!("cuts    {cuts} connections cut");
}

/// Checks a history and prints the violations. Fails if there are any.
fn check_and_print(entries: &[Entry]) -> ExitCode {
    let violations = foxspur_testbed::checker::check(entries);
    for violation in &violations {
        println!("BROKEN  {violation}");
    }
    if violations.is_empty() {
        println!("rules   none broken in {} events", entries.len());
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
