//! Runs one case of the review: starts the stand-ins and three controllers on loopback, plays the
//! case, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
//!
//!     rig CASE RECORD FOLDER TROUBLE PROGRAM...

mod cases;
mod cluster;
mod http;
mod json;
mod machines;
mod record;
mod site;
mod state;

use std::sync::Arc;

/// A run that takes longer than this ends as one that couldn't be carried out.
const LIMIT_S: u64 = 117;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, dir, trouble, program @ ..] = args.as_slice() else {
        eprintln!("rig CASE RECORD FOLDER TROUBLE PROGRAM...");
        std::process::exit(2);
    };
    let record = Arc::new(record::Record::new(record));
    let watchdog = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_secs(LIMIT_S));
        watchdog.say("result: the case took too long");
        std::process::exit(2);
    });
    let code = cases::run(case, &record, dir, trouble != "0", program);
    let text = match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case couldn't run",
    };
    record.say(format!("result: {text}"));
    println!("case {case}, trouble {trouble}: {text}");
    std::process::exit(code);
}
