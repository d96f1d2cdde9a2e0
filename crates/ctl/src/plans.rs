//! Plans drains and orders them.

use crate::api::{Api, Error};
use crate::cli::{DrainArgs, PlanArgs};
use foxspur_plan::{difference, plan, Options, Order, Plan, Snapshot};
use foxspur_wire::admin::{DrainOrder, DrainRow, DrainState, RemainingWork};
use serde::de::DeserializeOwned;
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

/// The most times that an order without an answer is sent again.
const MAX_RETRIES: usize = 5;
const RETRY_BACKOFF: Duration = Duration::from_secs(1);
/// Interval between two queries whether machines are drained.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The longest wait for drains, in seconds. Prevents an overflow of the deadline.
const MAX_WAIT_S: f64 = 1e6;

/// An error for a file.
fn file_error(path: &Path, error: impl std::fmt::Display) -> Error {
    Error::Local(format!("{}: {error}", path.display()))
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| file_error(path, error))?;
    serde_json::from_str(&text).map_err(|error| file_error(path, error))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|error| file_error(path, error))
}

fn fetch_snapshot(api: &Api) -> Result<Snapshot, Error> {
    Ok(api.view::<Snapshot>("/admin/v1/snapshot")?.1.data)
}

fn make_plan(snapshot: &Snapshot, order: &Order, options: &Options) -> Result<Plan, Error> {
    plan(snapshot, order, options).map_err(|error| Error::Refused(error.to_string()))
}

/// Makes a plan, and writes it to the files that the arguments name.
///
/// # Errors
///
/// If the snapshot cannot be read, the order cannot be planned, or a file cannot be written.
pub fn planned(api: &Api, args: &PlanArgs) -> Result<Plan, Error> {
    let snapshot = match &args.snapshot {
        Some(path) => read_json(path)?,
        None => fetch_snapshot(api)?,
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
    let plan = make_plan(&snapshot, &order, &options)?;
    if let Some(path) = &args.save {
        let text = serde_json::to_string(&plan).map_err(Error::local)?;
        write(path, &text)?;
    }
    if let Some(path) = &args.html {
        write(path, &foxspur_plan::html::html(&plan))?;
    }
    Ok(plan)
}

/// A random name for an order.
fn order_name() -> String {
    format!("o-{:016x}", rand::random::<u64>())
}

/// The order of a saved plan. Prints the differences if the cluster's state has changed since
/// the plan was made, and then refuses to go on without `--yes`.
fn order_from_plan(
    api: &Api,
    path: &Path,
    args: &DrainArgs,
    out: &mut dyn Write,
) -> Result<DrainOrder, Error> {
    let old: Plan = read_json(path)?;
    let new = make_plan(&fetch_snapshot(api)?, &old.order, &old.options)?;
    let changes = difference(&old, &new);
    if !changes.is_empty() {
        writeln!(
            out,
            "the cluster's state has changed since the plan was made:"
        )
        .map_err(Error::local)?;
        for line in &changes {
            writeln!(out, "  {line}").map_err(Error::local)?;
        }
        if !args.yes {
            let message = "nothing was ordered; make a new plan, or go on with --yes";
            return Err(Error::Refused(message.into()));
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
        rest: RemainingWork::from(args.rest),
        term: None,
    }
}

/// Orders a drain. With `--wait`, returns whether all machines were drained in that time,
/// else `true`.
///
/// # Errors
///
/// If the order is refused, no controller answers, or the plan's file or the output fails.
pub fn drain(api: &Api, args: &DrainArgs, out: &mut dyn Write) -> Result<bool, Error> {
    let order = match &args.plan {
        Some(path) => order_from_plan(api, path, args, out)?,
        None => order_from_args(args),
    };
    send_order(api, &order)?;
    let hosts = order.hosts.join(" ");
    writeln!(out, "drain ordered as {}: {hosts}", order.order).map_err(Error::local)?;
    match args.wait {
        Some(wait_s) => Ok(wait_until_drained(api, &order.hosts, wait_s)),
        None => Ok(true),
    }
}

/// Sends the order, and sends it again if there is no answer. Orders are idempotent: one that is
/// sent again under the same name is carried out once.
fn send_order(api: &Api, order: &DrainOrder) -> Result<(), Error> {
    let mut retries = 0;
    loop {
        match api.order("/admin/v1/drains", order) {
            Ok(_) => return Ok(()),
            Err(Error::NoAnswer(_)) if retries < MAX_RETRIES => {
                retries += 1;
                std::thread::sleep(RETRY_BACKOFF);
            }
            Err(error) => return Err(error),
        }
    }
}

/// Waits until all machines are drained, at most `wait_s` seconds. Returns whether they are.
fn wait_until_drained(api: &Api, hosts: &[String], wait_s: f64) -> bool {
    let deadline = Instant::now() + Duration::from_secs_f64(wait_s.clamp(0.0, MAX_WAIT_S));
    loop {
        if let Ok((_, answer)) = api.view::<Vec<DrainRow>>("/admin/v1/drains") {
            if hosts.iter().all(|host| is_drained(&answer.data, host)) {
                return true;
            }
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn is_drained(drains: &[DrainRow], host: &str) -> bool {
    let row = drains.iter().find(|row| row.drain.host == host);
    row.is_some_and(|row| matches!(row.state, DrainState::Drained | DrainState::Gone))
}
