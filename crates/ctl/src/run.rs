//! Executes one command line.

use crate::api::{Api, Error};
use crate::cli::{Cli, Command, PlanArgs, PlanCommand, RollArgs, RollCommand, TurnArgs};
use crate::{plans, show, watch};
use clap::CommandFactory;
use foxspur_wire::admin::{
    Answer, DrainRow, DrainState, Jobs, MachineRow, ServiceRow, ShardRow, TeamRow, UndrainOrder,
    Waits,
};
use foxspur_wire::rollout::{
    MachineSelector, Rollout, RolloutAction, RolloutActionOrder, RolloutExpectation, RolloutOrder,
    RolloutState,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::Write;

/// The exit code of a successful command.
const EXIT_OK: u8 = 0;
/// The exit code if `--check` found a problem, or if a drain did not complete within `--wait`.
const EXIT_FOUND: u8 = 4;
/// The most jobs that the table of a plan shows.
const MAX_PLANNED_JOBS: usize = 30;

/// The exit code of a check: whether it found a problem.
fn exit_code(problem_found: bool) -> u8 {
    if problem_found {
        EXIT_FOUND
    } else {
        EXIT_OK
    }
}

/// Executes the command line and returns the exit code.
///
/// # Errors
///
/// If a controller refuses the call, no controller answers, or a file or the terminal fails.
pub fn run(cli: &Cli, out: &mut dyn Write) -> Result<u8, Error> {
    let api = Api::new(&cli.at)?;
    let json = cli.json;
    let mut session = Session { api, json, out };
    session.run(&cli.command)
}

pub(crate) fn print(out: &mut dyn Write, text: &str) -> Result<(), Error> {
    match out.write_all(text.as_bytes()) {
        // The reader of the pipe closed it, for example `head`; that is no failure.
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        result => result.map_err(Error::local),
    }
}

/// The API client and the output of a command.
struct Session<'a> {
    api: Api,
    /// Whether to print JSON instead of tables.
    json: bool,
    out: &'a mut dyn Write,
}

impl Session<'_> {
    fn run(&mut self, command: &Command) -> Result<u8, Error> {
        match command {
            Command::Jobs { limit, check } => self.jobs(*limit, *check),
            Command::Teams => self.show("teams", |teams: &Vec<TeamRow>| show::teams(teams)),
            Command::Machines => self.show("machines", |machines: &Vec<MachineRow>| {
                show::machines(machines)
            }),
            Command::Waits => self.show("waits", |waits: &Waits| show::waits(waits)),
            Command::Shares => {
                let rows = |from: &str, shares: &Vec<ShardRow>| show::shares(from, shares);
                self.show_each("shares", &show::SHARES_HEADER, rows)
            }
            Command::Health => {
                let rows = |from: &str, services: &Vec<ServiceRow>| show::services(from, services);
                self.show_each("health", &show::SERVICES_HEADER, rows)
            }
            Command::Drains { check } => self.drains(*check),
            Command::Drain(args) => {
                let drained = plans::drain(&self.api, args, self.out)?;
                Ok(exit_code(!drained))
            }
            Command::Undrain { hosts, by } => self.undrain(hosts, &by.by),
            Command::Roll { what } => self.roll(what),
            Command::Plan {
                what: PlanCommand::Drain(args),
            } => self.plan(args),
            Command::Watch { every } => {
                watch::watch(&self.api, *every)?;
                Ok(EXIT_OK)
            }
            Command::Completions { shell } => self.completions(*shell),
        }
    }

    fn print(&mut self, text: &str) -> Result<(), Error> {
        print(self.out, text)
    }

    fn print_json(&mut self, value: &impl Serialize) -> Result<(), Error> {
        let text = serde_json::to_string(value).map_err(Error::local)?;
        self.print(&format!("{text}\n"))
    }

    /// Prints a view of the API as JSON or as a table, and returns its data.
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

    /// Prints a view for which there is no `--check`.
    fn show<T: DeserializeOwned>(
        &mut self,
        view: &str,
        table: impl FnOnce(&T) -> String,
    ) -> Result<u8, Error> {
        self.view(view, table)?;
        Ok(EXIT_OK)
    }

    /// Prints a view of every controller, for views that differ between controllers.
    fn show_each<T: DeserializeOwned + Serialize>(
        &mut self,
        view: &str,
        header: &[&str],
        rows: impl Fn(&str, &T) -> Vec<Vec<String>>,
    ) -> Result<u8, Error> {
        let mut all_rows = Vec::new();
        let mut answers: Vec<Answer<T>> = Vec::new();
        let mut errors = Vec::new();
        for (base, answer) in self.api.each::<T>(&format!("/admin/v1/{view}")) {
            match answer {
                Ok(answer) => {
                    all_rows.extend(rows(&answer.from, &answer.data));
                    answers.push(answer);
                }
                Err(error) => errors.push(format!("{base}: {error}")),
            }
        }
        if answers.is_empty() {
            return Err(Error::NoAnswer(errors.join("; ")));
        }
        if self.json {
            self.print_json(&answers)?;
            return Ok(EXIT_OK);
        }
        self.print(&show::table(header, all_rows))?;
        for line in errors {
            self.print(&format!("{line}\n"))?;
        }
        Ok(EXIT_OK)
    }

    fn jobs(&mut self, limit: u32, check: bool) -> Result<u8, Error> {
        let jobs: Jobs = self.view(&format!("jobs?limit={limit}"), show::jobs)?;
        Ok(exit_code(check && jobs.stuck + jobs.failing > 0))
    }

    fn drains(&mut self, check: bool) -> Result<u8, Error> {
        let drains = self.view("drains", |drains: &Vec<DrainRow>| show::drains(drains))?;
        let is_complete =
            |drain: &DrainRow| matches!(drain.state, DrainState::Drained | DrainState::Gone);
        Ok(exit_code(check && !drains.iter().all(is_complete)))
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

    /// Starts, lists and controls rollouts.
    fn roll(&mut self, command: &RollCommand) -> Result<u8, Error> {
        match command {
            RollCommand::Start(args) => self.start_roll(args),
            RollCommand::List { check } => {
                let rolls = self.view("rolls", |rolls: &Vec<Rollout>| show::rolls(rolls))?;
                let halted = rolls.iter().any(|roll| roll.state == RolloutState::Halted);
                Ok(exit_code(*check && halted))
            }
            RollCommand::Halt(args) => self.turn_roll(args, RolloutAction::Halt),
            RollCommand::Resume(args) => self.turn_roll(args, RolloutAction::Resume),
            RollCommand::Back(args) => self.turn_roll(args, RolloutAction::Back),
            RollCommand::Forget(args) => self.turn_roll(args, RolloutAction::Forget),
        }
    }

    fn start_roll(&mut self, args: &RollArgs) -> Result<u8, Error> {
        let order = RolloutOrder {
            name: args.name.clone(),
            by: args.by.by.clone(),
            why: args.why.clone(),
            among: MachineSelector {
                hosts: args.hosts.clone(),
                kind: args.kind.clone(),
                zone: args.zone.clone(),
            },
            at_most: args.at_most,
            rest: args.rest.into(),
            deadline_s: args.deadline,
            promise: RolloutExpectation {
                late: args.late,
                step_s: args.step,
                back_s: args.back,
            },
        };
        let text = self.api.order("/admin/v1/rolls", &order)?;
        let started: Result<Rollout, _> = serde_json::from_str(&text);
        let hosts = started.map_or(0, |roll| roll.hosts.len());
        self.print(&format!("roll {} over {hosts} machines\n", args.name))?;
        Ok(EXIT_OK)
    }

    fn turn_roll(&mut self, args: &TurnArgs, turn: RolloutAction) -> Result<u8, Error> {
        let order = RolloutActionOrder {
            name: args.name.clone(),
            by: args.by.by.clone(),
            turn,
        };
        self.api.order("/admin/v1/rolls/turn", &order)?;
        self.print(&format!(
            "roll {}: {}\n",
            args.name,
            show::variant_name(&turn)
        ))?;
        Ok(EXIT_OK)
    }
}
