//! Runs one case of the second review: real controllers on loopback, with stand-ins for the state
//! service, the cloud, the workers and the users.
//!
//! Usage: `stand-ins-2 CASE ROOT FOLDER`. The exit code is 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0` there is no disruption.

// A stand-in offers more than the cases use.
#![allow(dead_code)]

mod cases;
mod cluster;
mod fleet;
mod http;
mod json;
mod record;
mod site;
mod state;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = args.as_slice() else {
        eprintln!("usage: stand-ins-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(case, Path::new(root), Path::new(folder), trouble) {
        Ok(None) => {
            println!("{case}: the rule held (trouble: {trouble})");
            ExitCode::SUCCESS
        }
        Ok(Some(broken)) => {
            println!("{case}: BROKEN: {broken}");
            ExitCode::FAILURE
        }
        Err(why) => {
            println!("{case}: could not run: {why}");
            ExitCode::from(2)
        }
    }
}
