//! Carries out one command line.

use crate::api::{Api, Error};
use crate::cli::{Cli, PlanArgs, PlanVerb, RollArgs, RollVerb, TurnArgs, Verb};
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

/// The exit code if all is well.
const EXIT_OK: u8 = 0;
/// The exit code if `--check` or `--wait` found something.
const EXIT_FOUND: u8 = 4;
/// The most jobs shown of a plan.
const MAX_PLANNED_JOBS: usize = 30;

/// The exit code of a check.
fn exit_code(found: bool) -> u8 {
    if found {
        EXIT_FOUND
    } else {
        EXIT_OK
    }
}

/// Carries the command line out; gives the exit code.
///
/// # Errors
///
/// If the order is refused, no controller answers, or a file or the terminal fails.
pub fn run(cli: &Cli, out: &mut dyn Write) -> Result<u8, Error> {
    let api = Api::new(&cli.at)?;
    let json = cli.json;
    let mut session = Session { api, json, out };
    session.run(&cli.verb)
}

/// Prints a text.
pub(crate) fn print(out: &mut dyn Write, text: &str) -> Result<(), Error> {
    match out.write_all(text.as_bytes()) {
        // The reader of a pipe has seen enough.
        Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        other => other.map_err(Error::local),
    }
}

/// Where a command goes and prints.
struct Session<'a> {
    api: Api,
    /// Whether to print JSON as the API gives it.
    json: bool,
    out: &'a mut dyn Write,
}

impl Session<'_> {
    fn run(&mut self, verb: &Verb) -> Result<u8, Error> {
        match verb {
            Verb::Jobs { limit, check } => self.jobs(*limit, *check),
            Verb::Teams => self.show("teams", |t: &Vec<TeamRow>| show::teams(t)),
            Verb::Machines => self.show("machines", |m: &Vec<MachineRow>| show::machines(m)),
            Verb::Waits => self.show("waits", |w: &Waits| show::waits(w)),
            Verb::Shares => {
                let rows = |from: &str, s: &Vec<ShareRow>| show::shares(from, s);
                self.show_each("shares", &show::SHARES_HEAD, rows)
            }
            Verb::Health => {
                let rows = |from: &str, s: &Vec<ServiceRow>| show::services(from, s);
                self.show_each("health", &show::SERVICES_HEAD, rows)
            }
            Verb::Drains { check } => self.drains(*check),
            Verb::Drain(args) => {
                let drained = plans::drain(&self.api, args, self.out)?;
                Ok(exit_code(!drained))
            }
            Verb::Undrain { hosts, by } => self.undrain(hosts, &by.by),
            Verb::Roll { what } => self.roll(what),
            Verb::Plan {
                what: PlanVerb::Drain(args),
            } => self.plan(args),
            Verb::Watch { every } => {
                watch::watch(&self.api, *every)?;
                Ok(EXIT_OK)
            }
            Verb::Completions { shell } => self.completions(*shell),
        }
    }

    fn print(&mut self, text: &str) -> Result<(), Error> {
        print(self.out, text)
    }

    fn print_json(&mut self, value: &impl Serialize) -> Result<(), Error> {
        let text = serde_json::to_string(value).map_err(Error::local)?;
        self.print(&format!("{text}\n"))
    }

    /// Prints a view of the API as JSON or as a table, and gives its data.
    fn view<T: DeserializeOwned>(
        &mut self,
        view: &str,
        table: impl FnOnce(&T) -> String,
    ) -> Result<T, Error> {
        let (text, answer) = self.api.view::<T>(&format!("/admin/v1/{view}"))?;
        if self.json {
            self.print(&format!("{text}\n"))?;
        } else {
            self.print(&table(&answer.data))?;
            self.print(&show::origin(&answer))?;
        }
        Ok(answer.data)
    }

    /// Prints a view in which nothing is to be found.
    fn show<T: DeserializeOwned>(
        &mut self,
        view: &str,
        table: impl FnOnce(&T) -> String,
    ) -> Result<u8, Error> {
        self.view(view, table)?;
        Ok(EXIT_OK)
    }

    /// Prints what each controller says for itself.
    fn show_each<T: DeserializeOwned + Serialize>(
        &mut self,
        view: &str,
        head: &[&str],
        rows: impl Fn(&str, &T) -> Vec<Vec<String>>,
    ) -> Result<u8, Error> {
        let mut all_rows = Vec::new();
        let mut answers: Vec<Answer<T>> = Vec::new();
        let mut silent = Vec::new();
        for (base, answer) in self.api.each::<T>(&format!("/admin/v1/{view}")) {
            match answer {
                Ok(answer) => {
                    all_rows.extend(rows(&answer.from, &answer.data));
                    answers.push(answer);
                }
                Err(error) => silent.push(format!("{base}: {error}")),
            }
        }
        if answers.is_empty() {
            return Err(Error::Nobody(silent.join("; ")));
        }
        if self.json {
            self.print_json(&answers)?;
            return Ok(EXIT_OK);
        }
        self.print(&show::table(head, all_rows))?;
        for line in silent {
            self.print(&format!("{line}\n"))?;
        }
        Ok(EXIT_OK)
    }

    fn jobs(&mut self, limit: u32, check: bool) -> Result<u8, Error> {
        let jobs: Jobs = self.view(&format!("jobs?limit={limit}"), show::jobs)?;
        Ok(exit_code(check && jobs.stuck + jobs.failing > 0))
    }

    fn drains(&mut self, check: bool) -> Result<u8, Error> {
        let drains = self.view("drains", |d: &Vec<DrainRow>| show::drains(d))?;
        let over = |d: &DrainRow| matches!(d.state, DrainState::Drained | DrainState::Gone);
        Ok(exit_code(check && !drains.iter().all(over)))
    }

    fn undrain(&mut self, hosts: &[String], by: &str) -> Result<u8, Error> {
        let order = UndrainOrder {
            hosts: hosts.to_vec(),
            by: by.into(),
        };
        self.api.order("/admin/v1/undrain", &order)?;
        self.print(&format!("back in use: {}\n", hosts.join(" ")))?;
        Ok(EXIT_OK)
    }

    fn plan(&mut self, args: &PlanArgs) -> Result<u8, Error> {
        let plan = plans::planned(&self.api, args)?;
        if self.json {
            self.print_json(&plan)?;
        } else {
            self.print(&show::plan(&plan, MAX_PLANNED_JOBS))?;
        }
        Ok(exit_code(args.check && plan.all.any_late > 0.0))
    }

    fn completions(&mut self, shell: clap_complete::Shell) -> Result<u8, Error> {
        let mut text = Vec::new();
        clap_complete::generate(shell, &mut Cli::command(), "foxctl", &mut text);
        self.print(&String::from_utf8_lossy(&text))?;
        Ok(EXIT_OK)
    }

    /// Begins, shows and steers rollouts.
    fn roll(&mut self, verb: &RollVerb) -> Result<u8, Error> {
        match verb {
            RollVerb::Start(args) => self.start_roll(args),
            RollVerb::List { check } => {
                let rolls = self.view("rolls", |r: &Vec<Roll>| show::rolls(r))?;
                let halted = rolls.iter().any(|r| r.state == RollState::Halted);
                Ok(exit_code(*check && halted))
            }
            RollVerb::Halt(args) => self.turn_roll(args, Turn::Halt),
            RollVerb::Resume(args) => self.turn_roll(args, Turn::Resume),
            RollVerb::Back(args) => self.turn_roll(args, Turn::Back),
            RollVerb::Forget(args) => self.turn_roll(args, Turn::Forget),
        }
    }

    fn start_roll(&mut self, args: &RollArgs) -> Result<u8, Error> {
        let order = RollOrder {
            name: args.name.clone(),
            by: args.by.by.clone(),
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
        let text = self.api.order("/admin/v1/rolls", &order)?;
        let begun: Result<Roll, _> = serde_json::from_str(&text);
        let hosts = begun.map_or(0, |roll| roll.hosts.len());
        self.print(&format!("roll {} over {hosts} machines\n", args.name))?;
        Ok(EXIT_OK)
    }

    fn turn_roll(&mut self, args: &TurnArgs, turn: Turn) -> Result<u8, Error> {
        let order = TurnOrder {
            name: args.name.clone(),
            by: args.by.by.clone(),
            turn,
        };
        self.api.order("/admin/v1/rolls/turn", &order)?;
        self.print(&format!("roll {}: {}\n", args.name, show::name(&turn)))?;
        Ok(EXIT_OK)
    }
}
