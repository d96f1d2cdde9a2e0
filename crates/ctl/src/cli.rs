//! The command line of `foxctl`. Doc comments here are the help texts for operators. Arguments
//! whose name is sufficient have none.
#![allow(missing_docs)]

use clap::{Args, Parser, Subcommand, ValueEnum};
use foxspur_wire::admin::RemainingWork;
use foxspur_wire::rollout::MaxOutOfUse;
use std::path::PathBuf;

/// Shows the state of a foxspur cluster, plans drains and orders them.
///
/// Exit codes: 0 success; 1 the order was refused or names something that does not
/// exist; 2 wrong usage, or a local file or the terminal failed; 3 no controller
/// answered; 4 `--check` found a problem, or a drain did not complete within `--wait`.
#[derive(Parser, Debug)]
#[command(version, name = "foxctl")]
pub struct Cli {
    /// Addresses of the controllers' operators' API, separated by commas. They are tried
    /// in this order.
    #[arg(
        long,
        env = "FOXSPUR_AT",
        value_delimiter = ',',
        default_value = "127.0.0.1:7090",
        global = true
    )]
    pub at: Vec<String>,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand, Debug)]
pub enum Command {
    /// Lists live jobs, stuck jobs first, with the reason why they wait.
    Jobs {
        #[arg(long, default_value_t = 50)]
        limit: u32,
        /// Exit with code 4 if a job is stuck or failing.
        #[arg(long)]
        check: bool,
    },
    /// Shows what each team uses, with its guarantees and limits.
    Teams,
    /// Lists machines with their state and the reason for it.
    Machines,
    /// Lists shares with their owners and terms, as each controller sees them.
    Shares,
    /// Shows how each controller reaches the state service and the cloud.
    Health,
    /// Shows how long jobs waited for their first start, by class, and how long
    /// acceptance took.
    Waits,
    /// Lists drains and their progress.
    Drains {
        /// Exit with code 4 unless every drain is complete or its machine is gone.
        #[arg(long)]
        check: bool,
    },
    /// Drains machines: no new tasks start on them, and running tasks end or are moved.
    Drain(DrainArgs),
    /// Ends the drains of machines, so that tasks can start on them again.
    Undrain {
        #[arg(required = true)]
        hosts: Vec<String>,
        #[command(flatten)]
        by: ByArgs,
    },
    /// Drains machines one after the other, with a limit for each zone.
    Roll {
        #[command(subcommand)]
        what: RollCommand,
    },
    /// Predicts the effects of an order without carrying it out.
    Plan {
        #[command(subcommand)]
        what: PlanCommand,
    },
    /// Shows a live view of the cluster, stuck jobs first.
    Watch {
        /// Seconds between two refreshes.
        #[arg(long, default_value_t = 1.0)]
        every: f64,
    },
    /// Prints shell completions.
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand, Debug)]
pub enum PlanCommand {
    /// Plans a drain of these machines.
    Drain(PlanArgs),
}

#[derive(Subcommand, Debug)]
pub enum RollCommand {
    /// Starts a rollout over machines selected by name, type and zone.
    Start(RollArgs),
    /// Lists rollouts and their progress.
    List {
        /// Exit with code 4 if a rollout is halted.
        #[arg(long)]
        check: bool,
    },
    /// Halts a rollout: it drains no further machines until it is resumed.
    Halt(TurnArgs),
    /// Resumes a halted rollout. Jobs that miss their objectives by now no longer count
    /// towards halting it.
    Resume(TurnArgs),
    /// Ends all drains of a rollout.
    Back(TurnArgs),
    /// Removes the record of a completed rollout.
    Forget(TurnArgs),
}

#[derive(Args, Debug)]
pub struct ByArgs {
    #[arg(long, env = "USER", default_value = "an operator")]
    pub by: String,
}

#[derive(Args, Debug)]
pub struct TurnArgs {
    pub name: String,
    #[command(flatten)]
    pub by: ByArgs,
}

#[derive(Args, Debug)]
pub struct RollArgs {
    pub name: String,
    /// Names of machines; if none are given, all machines of the type and zone.
    pub hosts: Vec<String>,
    #[arg(long = "type")]
    pub kind: Option<String>,
    #[arg(long)]
    pub zone: Option<String>,
    /// The most machines of a zone that are out of use at the same time: a number, or a
    /// share such as 10%.
    #[arg(long, default_value = "1", value_parser = at_most)]
    pub at_most: MaxOutOfUse,
    #[arg(long)]
    pub why: String,
    #[command(flatten)]
    pub by: ByArgs,
    /// Seconds from the start of each machine's drain until it should be complete.
    #[arg(long)]
    pub deadline: Option<f64>,
    #[arg(long, value_enum, default_value = "leave")]
    pub rest: RestArg,
    /// Halt when more jobs than this miss their objectives, beyond those that did when the
    /// rollout started or was resumed.
    #[arg(long, default_value_t = 0)]
    pub late: u32,
    /// Halt when a machine is not drained after this many seconds.
    #[arg(long)]
    pub step: Option<f64>,
    /// Halt when a drained machine is not back in use after this many seconds.
    #[arg(long)]
    pub back: Option<f64>,
}

/// Parses the value of `--at-most`: a number of machines such as `3`, or a share such as `10%`.
///
/// # Errors
///
/// If the text is neither; the error is a message for the operator.
pub fn at_most(text: &str) -> Result<MaxOutOfUse, String> {
    let malformed = || format!("{text} is neither a number of machines nor a share such as 10%");
    match text.strip_suffix('%') {
        Some(share) => {
            let share: f64 = share.parse().map_err(|_| malformed())?;
            if share > 0.0 && share <= 100.0 {
                Ok(MaxOutOfUse::Share(share / 100.0))
            } else {
                Err(malformed())
            }
        }
        None => text
            .parse()
            .map(MaxOutOfUse::Machines)
            .map_err(|_| malformed()),
    }
}

#[derive(ValueEnum, Debug, Clone, Copy)]
pub enum RestArg {
    /// Tasks that are left at the deadline stay, and the drain becomes overdue.
    Leave,
    /// Tasks that are left at the deadline are stopped.
    Stop,
}

impl From<RestArg> for RemainingWork {
    fn from(rest: RestArg) -> RemainingWork {
        match rest {
            RestArg::Leave => RemainingWork::Leave,
            RestArg::Stop => RemainingWork::Stop,
        }
    }
}

#[derive(Args, Debug)]
pub struct DrainArgs {
    /// Names of machines; if none are given, those of `--plan`.
    #[arg(required_unless_present = "plan")]
    pub hosts: Vec<String>,
    #[arg(long, required_unless_present = "plan")]
    pub why: Option<String>,
    #[command(flatten)]
    pub by: ByArgs,
    /// Seconds until the drain should be complete.
    #[arg(long)]
    pub deadline: Option<f64>,
    #[arg(long, value_enum, default_value = "leave")]
    pub rest: RestArg,
    /// Unique name of the order; random by default. An order that is sent again under the
    /// same name is carried out once.
    #[arg(long)]
    pub order: Option<String>,
    /// Carry out the saved plan in this file (JSON). If the cluster's state has changed
    /// since, the differences of a new plan are shown, and nothing is ordered without
    /// `--yes`.
    #[arg(long, conflicts_with = "hosts")]
    pub plan: Option<PathBuf>,
    /// Carry out the order even if a new plan differs from the saved one.
    #[arg(long)]
    pub yes: bool,
    /// Wait at most this many seconds until all machines are drained; exit with code 4 if
    /// they are not.
    #[arg(long)]
    pub wait: Option<f64>,
}

#[derive(Args, Debug)]
pub struct PlanArgs {
    #[arg(required = true)]
    pub hosts: Vec<String>,
    /// Seconds from the drain's start until it should be complete.
    #[arg(long)]
    pub deadline: Option<f64>,
    #[arg(long, value_enum, default_value = "leave")]
    pub rest: RestArg,
    /// Seconds from now until the drain starts.
    #[arg(long, default_value_t = 0.0)]
    pub start: f64,
    /// Compare other start times and sequences within this many seconds after the start.
    #[arg(long, default_value_t = 0.0)]
    pub window: f64,
    /// Number of simulated samples.
    #[arg(long, default_value_t = 60)]
    pub samples: u32,
    /// Simulated time, in seconds.
    #[arg(long, default_value_t = 3600.0)]
    pub horizon: f64,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Plan from the snapshot in this file (JSON) instead of the present state.
    #[arg(long)]
    pub snapshot: Option<PathBuf>,
    /// Write the plan to this file as JSON, for `drain --plan`.
    #[arg(long)]
    pub save: Option<PathBuf>,
    /// Write a report with charts to this file (HTML).
    #[arg(long)]
    pub html: Option<PathBuf>,
    /// Exit with code 4 if a job may miss its deadline because of the drain.
    #[arg(long)]
    pub check: bool,
}
