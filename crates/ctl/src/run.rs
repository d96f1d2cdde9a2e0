//! Carries out one command line.

use crate::api::{Api, Error};
use crate::cli::{Cli, PlanVerb, RollVerb, Verb};
use crate::{plans, show, watch};
use clap::CommandFactory;
use foxspur_wire::admin::{
    Answer, DrainRow, DrainState, Jobs, MachineRow, ServiceRow, ShareRow, TeamRow, UndrainOrder,
    Waits,
};
use foxspur_wire::roll::{Among, Promise, Roll, RollOrder, RollState, Turn, TurnOrder};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::Write;

/// What `--check` found.
const FOUND: u8 = 4;

fn say(out: &mut dyn Write, text: &str) -> Result<(), Error> {
    match out.write_all(text.as_bytes()) {
        // Whoever read it has seen enough.
        Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        other => other.map_err(|e| Error::Local(e.to_string())),
    }
}

/// Prints a view as JSON or as a table, and gives its data.
fn view<T: DeserializeOwned>(
    api: &Api,
    json: bool,
    path: &str,
    out: &mut dyn Write,
    table: impl FnOnce(&T) -> String,
) -> Result<T, Error> {
    let (text, answer) = api.view::<T>(path)?;
    if json {
        say(out, &format!("{text}\n"))?;
    } else {
        say(out, &table(&answer.data))?;
        say(out, &show::origin(&answer))?;
    }
    Ok(answer.data)
}

/// Prints what each controller says for itself.
fn each<T: DeserializeOwned + Serialize>(
    api: &Api,
    json: bool,
    path: &str,
    out: &mut dyn Write,
    head: &[&str],
    rows: impl Fn(&str, &T) -> Vec<Vec<String>>,
) -> Result<(), Error> {
    let mut all = Vec::new();
    let mut answers: Vec<Answer<T>> = Vec::new();
    let mut silent = Vec::new();
    for (base, answer) in api.each::<T>(path) {
        match answer {
            Ok(answer) => {
                all.extend(rows(&answer.from, &answer.data));
                answers.push(answer);
            }
            Err(error) => silent.push(format!("{base}: {error}")),
        }
    }
    if answers.is_empty() {
        return Err(Error::Nobody(silent.join("; ")));
    }
    if json {
        let text = serde_json::to_string(&answers).map_err(|e| Error::Local(e.to_string()))?;
        return say(out, &format!("{text}\n"));
    }
    say(out, &show::together(head, all))?;
    for line in silent {
        say(out, &format!("{line}\n"))?;
    }
    Ok(())
}

/// Begins, shows and turns rolls.
fn roll(api: &Api, json: bool, what: &RollVerb, out: &mut dyn Write) -> Result<u8, Error> {
    let (args, turn) = match what {
        RollVerb::Start(args) => {
            let order = RollOrder {
                name: args.name.clone(),
                by: args.by.clone(),
                why: args.why.clone(),
                among: Among {
                    hosts: args.hosts.clone(),
                    kind: args.kind.clone(),
                    zone: args.zone.clone(),
                },
                at_most: args.at_most,
                rest: args.rest.into(),
                deadline_s: args.deadline,
                promise: Promise {
                    late: args.late,
                    step_s: args.step,
                    back_s: args.back,
                },
            };
            let text = api.order("/admin/v1/rolls", &order)?;
            let begun: Result<Roll, _> = serde_json::from_str(&text);
            let hosts = begun.map_or(0, |r| r.hosts.len());
            say(out, &format!("roll {} over {hosts} machines\n", args.name))?;
            return Ok(0);
        }
        RollVerb::List { check } => {
            let rows = |r: &Vec<Roll>| show::rolls(r);
            let rolls = view(api, json, "/admin/v1/rolls", out, rows)?;
            let halted = rolls.iter().any(|r| r.state == RollState::Halted);
            return Ok(if *check && halted { FOUND } else { 0 });
        }
        RollVerb::Halt(args) => (args, Turn::Halt),
        RollVerb::Resume(args) => (args, Turn::Resume),
        RollVerb::Back(args) => (args, Turn::Back),
        RollVerb::Forget(args) => (args, Turn::Forget),
    };
    let order = TurnOrder {
        name: args.name.clone(),
        by: args.by.clone(),
        turn,
    };
    api.order("/admin/v1/rolls/turn", &order)?;
    say(out, &format!("roll {}: {}\n", args.name, show::name(&turn)))?;
    Ok(0)
}

/// Does what it is told, and says with which code to end.
pub fn run(cli: &Cli, out: &mut dyn Write) -> Result<u8, Error> {
    let api = Api::new(&cli.at)?;
    let json = cli.json;
    match &cli.verb {
        Verb::Jobs { limit, check } => {
            let path = format!("/admin/v1/jobs?limit={limit}");
            let jobs: Jobs = view(&api, json, &path, out, show::jobs)?;
            let bad = *check && jobs.stuck + jobs.failing > 0;
            return Ok(if bad { FOUND } else { 0 });
        }
        Verb::Teams => {
            view(&api, json, "/admin/v1/teams", out, |t: &Vec<TeamRow>| {
                show::teams(t)
            })?;
        }
        Verb::Machines => {
            let rows = |m: &Vec<MachineRow>| show::machines(m);
            view(&api, json, "/admin/v1/machines", out, rows)?;
        }
        Verb::Waits => {
            view(&api, json, "/admin/v1/waits", out, |w: &Waits| {
                show::waits(w)
            })?;
        }
        Verb::Shares => {
            let rows = |from: &str, s: &Vec<ShareRow>| show::shares(from, s);
            each(&api, json, "/admin/v1/shares", out, &show::SHARES, rows)?;
        }
        Verb::Health => {
            let rows = |from: &str, s: &Vec<ServiceRow>| show::services(from, s);
            each(&api, json, "/admin/v1/health", out, &show::SERVICES, rows)?;
        }
        Verb::Drains { check } => {
            let rows = |d: &Vec<DrainRow>| show::drains(d);
            let drains = view(&api, json, "/admin/v1/drains", out, rows)?;
            let over = |d: &DrainRow| matches!(d.state, DrainState::Drained | DrainState::Gone);
            let open = *check && !drains.iter().all(over);
            return Ok(if open { FOUND } else { 0 });
        }
        Verb::Drain(args) => {
            let drained = plans::drain(&api, args, out)?;
            return Ok(if drained { 0 } else { FOUND });
        }
        Verb::Undrain { hosts, by } => {
            let order = UndrainOrder {
                hosts: hosts.clone(),
                by: by.clone(),
            };
            api.order("/admin/v1/undrain", &order)?;
            say(out, &format!("back in use: {}\n", hosts.join(" ")))?;
        }
        Verb::Roll { what } => return roll(&api, json, what, out),
        Verb::Plan {
            what: PlanVerb::Drain(args),
        } => {
            let plan = plans::planned(&api, args)?;
            if json {
                let text = serde_json::to_string(&plan).map_err(|e| Error::Local(e.to_string()))?;
                say(out, &format!("{text}\n"))?;
            } else {
                say(out, &show::plan(&plan, 30))?;
            }
            let missed = args.check && plan.all.any_late > 0.0;
            return Ok(if missed { FOUND } else { 0 });
        }
        Verb::Watch { every } => watch::watch(&api, *every)?,
        Verb::Completions { shell } => {
            let mut text = Vec::new();
            clap_complete::generate(*shell, &mut Cli::command(), "foxctl", &mut text);
            say(out, &String::from_utf8_lossy(&text))?;
        }
    }
    Ok(0)
}
