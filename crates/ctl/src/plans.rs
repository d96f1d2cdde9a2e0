//! Plans of drains from the present state, and orders of drains.

use crate::api::{Api, Error};
use crate::cli::{DrainArgs, PlanArgs};
use foxspur_plan::{difference, plan, Options, Order, Plan, Snapshot};
use foxspur_wire::admin::{DrainOrder, DrainRow, DrainState, Rest};
use serde::de::DeserializeOwned;
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

/// How often an order without an answer is given again.
const MAX_RETRIES: usize = 5;
const RETRY_BACKOFF: Duration = Duration::from_secs(1);
/// How often it is asked whether machines are drained.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The longest wait for drains, in seconds.
const MAX_WAIT_S: f64 = 1e6;

/// What went wrong with a file.
fn file_error(path: &Path, error: impl std::fmt::Display) -> Error {
    Error::Local(format!("{}: {error}", path.display()))
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path).map_err(|e| file_error(path, e))?;
    serde_json::from_str(&text).map_err(|e| file_error(path, e))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|e| file_error(path, e))
}

fn snapshot(api: &Api) -> Result<Snapshot, Error> {
    Ok(api.view::<Snapshot>("/admin/v1/snapshot")?.1.data)
}

fn make(snapshot: &Snapshot, order: &Order, options: &Options) -> Result<Plan, Error> {
    plan(snapshot, order, options).map_err(|e| Error::Refused(e.to_string()))
}

/// Makes a plan, and writes it to the files that are asked for.
///
/// # Errors
///
/// If there is no snapshot, the order cannot be planned, or a file fails.
pub fn planned(api: &Api, args: &PlanArgs) -> Result<Plan, Error> {
    let state = match &args.snapshot {
        Some(path) => read_json(path)?,
        None => snapshot(api)?,
    };
    let order = Order {
        hosts: args.hosts.clone(),
        deadline_s: args.deadline,
        rest: args.rest.into(),
        start_s: args.start,
    };
    let options = Options {
        seed: args.seed,
        samples: args.samples,
        horizon_s: args.horizon,
        window_s: args.window,
        failures: true,
    };
    let made = make(&state, &order, &options)?;
    if let Some(path) = &args.save {
        let text = serde_json::to_string(&made).map_err(Error::local)?;
        write(path, &text)?;
    }
    if let Some(path) = &args.html {
        write(path, &foxspur_plan::html::html(&made))?;
    }
    Ok(made)
}

/// A unique name for an order.
fn order_name() -> String {
    format!("o-{:016x}", rand::random::<u64>())
}

/// The order that a saved plan stands for, if the state is still that of the plan or the
/// operator goes on with what a new plan says.
fn order_from_plan(
    api: &Api,
    path: &Path,
    args: &DrainArgs,
    out: &mut dyn Write,
) -> Result<DrainOrder, Error> {
    let old: Plan = read_json(path)?;
    let new = make(&snapshot(api)?, &old.order, &old.options)?;
    let changes = difference(&old, &new);
    if !changes.is_empty() {
        writeln!(out, "the state has changed since the plan was made:").map_err(Error::local)?;
        for line in &changes {
            writeln!(out, "  {line}").map_err(Error::local)?;
        }
        if !args.yes {
            let why = "nothing is done; look at a new plan, or go on with --yes";
            return Err(Error::Refused(why.into()));
        }
    }
    Ok(DrainOrder {
        order: args.order.clone().unwrap_or_else(order_name),
        hosts: new.order.hosts.clone(),
        by: args.by.by.clone(),
        why: args.why.clone().unwrap_or_else(|| "as planned".into()),
        deadline_s: new.order.deadline_s,
        rest: new.order.rest,
        term: Some(new.term),
    })
}

fn order_from_args(args: &DrainArgs) -> DrainOrder {
    DrainOrder {
        order: args.order.clone().unwrap_or_else(order_name),
        hosts: args.hosts.clone(),
        by: args.by.by.clone(),
        why: args.why.clone().unwrap_or_default(),
        deadline_s: args.deadline,
        rest: Rest::from(args.rest),
        term: None,
    }
}

/// Orders a drain; whether all machines are drained, if that is waited for.
///
/// # Errors
///
/// If the order is refused, or no controller answers.
pub fn drain(api: &Api, args: &DrainArgs, out: &mut dyn Write) -> Result<bool, Error> {
    let order = match &args.plan {
        Some(path) => order_from_plan(api, path, args, out)?,
        None => order_from_args(args),
    };
    send_order(api, &order)?;
    let hosts = order.hosts.join(" ");
    writeln!(out, "ordered as {}: {hosts}", order.order).map_err(Error::local)?;
    match args.wait {
        Some(wait_s) => Ok(wait_until_drained(api, &order.hosts, wait_s)),
        None => Ok(true),
    }
}

/// Gives the order until there is an answer. Orders are idempotent: the same one given again
/// is one.
fn send_order(api: &Api, order: &DrainOrder) -> Result<(), Error> {
    let mut retries = 0;
    loop {
        match api.order("/admin/v1/drains", order) {
            Ok(_) => return Ok(()),
            Err(Error::Nobody(_)) if retries < MAX_RETRIES => {
                retries += 1;
                std::thread::sleep(RETRY_BACKOFF);
            }
            Err(error) => return Err(error),
        }
    }
}

/// Whether all machines are drained within this time.
fn wait_until_drained(api: &Api, hosts: &[String], wait_s: f64) -> bool {
    let until = Instant::now() + Duration::from_secs_f64(wait_s.clamp(0.0, MAX_WAIT_S));
    loop {
        if let Ok((_, answer)) = api.view::<Vec<DrainRow>>("/admin/v1/drains") {
            if hosts.iter().all(|host| is_drained(&answer.data, host)) {
                return true;
            }
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn is_drained(drains: &[DrainRow], host: &str) -> bool {
    let row = drains.iter().find(|row| row.drain.host == host);
    row.is_some_and(|row| matches!(row.state, DrainState::Drained | DrainState::Gone))
}
