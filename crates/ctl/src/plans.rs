//! Plans from the present state, and carrying them out.

use crate::api::{Api, Error};
use crate::cli::{DrainArgs, PlanArgs};
use foxspur_plan::{difference, plan, Options, Order, Plan, Snapshot};
use foxspur_wire::admin::{DrainOrder, DrainRow, DrainState, Rest};
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|e| Error::Local(format!("{}: {e}", path.display())))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|e| Error::Local(format!("{}: {e}", path.display())))
}

fn snapshot(api: &Api) -> Result<Snapshot, Error> {
    Ok(api.view::<Snapshot>("/admin/v1/snapshot")?.1.data)
}

fn make(snapshot: &Snapshot, order: &Order, options: &Options) -> Result<Plan, Error> {
    plan(snapshot, order, options).map_err(|e| Error::Refused(e.to_string()))
}

/// Makes a plan as told; whether a deadline may be missed.
pub fn planned(api: &Api, args: &PlanArgs) -> Result<Plan, Error> {
    let state = match &args.snapshot {
        Some(path) => serde_json::from_str(&read(path)?)
            .map_err(|e| Error::Local(format!("{}: {e}", path.display())))?,
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
        let text = serde_json::to_string(&made).map_err(|e| Error::Local(e.to_string()))?;
        write(path, &text)?;
    }
    if let Some(path) = &args.html {
        write(path, &foxspur_plan::html::html(&made))?;
    }
    Ok(made)
}

/// A name for an order that nobody else gives.
fn drawn() -> String {
    format!("o-{:016x}", rand::random::<u64>())
}

/// The order that a saved plan stands for, if the state is still that of the
/// plan or the operator goes on with what a new one says.
fn from_plan(
    api: &Api,
    path: &Path,
    args: &DrainArgs,
    out: &mut dyn Write,
) -> Result<DrainOrder, Error> {
    let old: Plan = serde_json::from_str(&read(path)?)
        .map_err(|e| Error::Local(format!("{}: {e}", path.display())))?;
    let new = make(&snapshot(api)?, &old.order, &old.options)?;
    let lines = difference(&old, &new);
    if !lines.is_empty() {
        let told = writeln!(out, "the state has changed since the plan was made:");
        told.map_err(|e| Error::Local(e.to_string()))?;
        for line in &lines {
            writeln!(out, "  {line}").map_err(|e| Error::Local(e.to_string()))?;
        }
        if !args.yes {
            let why = "nothing is done; look at a new plan, or go on with --yes";
            return Err(Error::Refused(why.into()));
        }
    }
    Ok(DrainOrder {
        order: args.order.clone().unwrap_or_else(drawn),
        hosts: new.order.hosts.clone(),
        by: args.by.clone(),
        why: args.why.clone().unwrap_or_else(|| "as planned".into()),
        deadline_s: new.order.deadline_s,
        rest: new.order.rest,
        term: Some(new.term),
    })
}

/// Orders a drain; whether all machines are drained, if that was waited for.
pub fn drain(api: &Api, args: &DrainArgs, out: &mut dyn Write) -> Result<bool, Error> {
    let order = match &args.plan {
        Some(path) => from_plan(api, path, args, out)?,
        None => DrainOrder {
            order: args.order.clone().unwrap_or_else(drawn),
            hosts: args.hosts.clone(),
            by: args.by.clone(),
            why: args.why.clone().unwrap_or_default(),
            deadline_s: args.deadline,
            rest: Rest::from(args.rest),
            term: None,
        },
    };
    // The same order given again is one, so an answer that is lost is asked for.
    let mut tries = 0;
    loop {
        match api.order("/admin/v1/drains", &order) {
            Ok(_) => break,
            Err(Error::Nobody(_)) if tries < 5 => {
                tries += 1;
                std::thread::sleep(Duration::from_secs(1));
            }
            Err(error) => return Err(error),
        }
    }
    let told = writeln!(out, "ordered as {}: {}", order.order, order.hosts.join(" "));
    told.map_err(|e| Error::Local(e.to_string()))?;
    let Some(wait_s) = args.wait else {
        return Ok(true);
    };
    let until = Instant::now() + Duration::from_secs_f64(wait_s.clamp(0.0, 1e6));
    loop {
        if let Ok((_, answer)) = api.view::<Vec<DrainRow>>("/admin/v1/drains") {
            let over = |h: &String| {
                let row = answer.data.iter().find(|d| d.drain.host == *h);
                row.is_some_and(|d| matches!(d.state, DrainState::Drained | DrainState::Gone))
            };
            if order.hosts.iter().all(over) {
                return Ok(true);
            }
        }
        if Instant::now() >= until {
            return Ok(false);
        }
        std::thread::sleep(Duration::from_millis(500));
    }
}
