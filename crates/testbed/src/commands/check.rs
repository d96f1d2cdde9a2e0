//! `check`: checks a recorded history.

use super::{check_and_print, read_entries, read_file};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(clap::Args)]
pub struct Args {
    /// History file of JSON lines, as `up --history` writes it.
    file: PathBuf,
}

pub fn run(args: &Args) -> Result<ExitCode, String> {
    let text = read_file(&args.file)?;
    let entries = read_entries(&text).map_err(|e| format!("{}: {e}", args.file.display()))?;
    Ok(check_and_print(&entries))
}
