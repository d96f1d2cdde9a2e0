//! The command line of `foxctl`. Doc comments here are help texts that operators see; where an
//! argument has none, its name says enough.
#![allow(missing_docs)]

use clap::{Args, Parser, Subcommand, ValueEnum};
use foxspur_wire::admin::Rest;
use foxspur_wire::roll::AtMost;
use std::path::PathBuf;

/// Looks at a foxspur cluster, plans and orders drains.
///
/// Exit codes: 0 all is well; 1 refused, or named something that does not exist;
/// 2 wrong use; 3 no controller answers now; 4 `--check` found something.
#[derive(Parser, Debug)]
#[command(version, name = "foxctl")]
pub struct Cli {
    /// Operators' addresses of controllers; the first that answers is used.
    #[arg(
        long,
        env = "FOXSPUR_AT",
        value_delimiter = ',',
        default_value = "127.0.0.1:7090",
        global = true
    )]
    pub at: Vec<String>,
    /// Print JSON as the API gives it.
    #[arg(long, global = true)]
    pub json: bool,
    #[command(subcommand)]
    pub verb: Verb,
}

#[derive(Subcommand, Debug)]
pub enum Verb {
    /// Live jobs, the stuck ones first, with the reason.
    Jobs {
        #[arg(long, default_value_t = 50)]
        limit: u32,
        /// Exit with 4 if a job is stuck or fails everywhere.
        #[arg(long)]
        check: bool,
    },
    /// Teams against their guarantees and limits.
    Teams,
    /// Machines with their state and what it rests on.
    Machines,
    /// Shares, owners and terms, as each controller sees them.
    Shares,
    /// State service and cloud, as each controller met them.
    Health,
    /// Waits by class, and how long acceptance took.
    Waits,
    /// Drains and how far they are.
    Drains {
        /// Exit with 4 unless all are drained or gone.
        #[arg(long)]
        check: bool,
    },
    /// Sets machines aside: nothing new starts there, what runs ends or moves.
    Drain(DrainArgs),
    /// Takes machines back into use.
    Undrain {
        #[arg(required = true)]
        hosts: Vec<String>,
        #[command(flatten)]
        by: ByArgs,
    },
    /// Drains machines one after the other, so many of each zone at once.
    Roll {
        #[command(subcommand)]
        what: RollVerb,
    },
    /// Shows beforehand what an order would do.
    Plan {
        #[command(subcommand)]
        what: PlanVerb,
    },
    /// A view that follows the cluster, the stuck jobs on top.
    Watch {
        /// Seconds between looks.
        #[arg(long, default_value_t = 1.0)]
        every: f64,
    },
    /// Shell completions.
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand, Debug)]
pub enum PlanVerb {
    /// Plans a drain of these machines.
    Drain(PlanArgs),
}

#[derive(Subcommand, Debug)]
pub enum RollVerb {
    /// Begins a roll over machines by name, type and zone.
    Start(RollArgs),
    /// Rolls and how far they are.
    List {
        /// Exit with 4 if one is halted.
        #[arg(long)]
        check: bool,
    },
    /// Drains nothing more until it is resumed.
    Halt(TurnArgs),
    /// Goes on; what was lost until now counts as known.
    Resume(TurnArgs),
    /// Ends all its drains.
    Back(TurnArgs),
    /// Forgets one that is done.
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
    /// Machines; without any, all of the type and zone.
    pub hosts: Vec<String>,
    #[arg(long = "type")]
    pub kind: Option<String>,
    #[arg(long)]
    pub zone: Option<String>,
    /// Machines of a zone out of use at once: a number, or a share such as 10%.
    #[arg(long, default_value = "1", value_parser = at_most)]
    pub at_most: AtMost,
    #[arg(long)]
    pub why: String,
    #[command(flatten)]
    pub by: ByArgs,
    /// Seconds until each machine should be drained.
    #[arg(long)]
    pub deadline: Option<f64>,
    #[arg(long, value_enum, default_value = "leave")]
    pub rest: RestArg,
    /// Halt when more jobs than this lose their aims.
    #[arg(long, default_value_t = 0)]
    pub late: u32,
    /// Halt when a machine is not drained after so many seconds.
    #[arg(long)]
    pub step: Option<f64>,
    /// Halt when a drained machine is not back after so many seconds.
    #[arg(long)]
    pub back: Option<f64>,
}

/// Reads the most machines of a zone: `3` or `10%`.
///
/// # Errors
///
/// A sentence for the user, if it is neither.
pub fn at_most(text: &str) -> Result<AtMost, String> {
    let malformed = || format!("{text} is neither a number of machines nor a share such as 10%");
    match text.strip_suffix('%') {
        Some(share) => {
            let share: f64 = share.parse().map_err(|_| malformed())?;
            if share > 0.0 && share <= 100.0 {
                Ok(AtMost::Share(share / 100.0))
            } else {
                Err(malformed())
            }
        }
        None => text.parse().map(AtMost::Machines).map_err(|_| malformed()),
    }
}

#[derive(ValueEnum, Debug, Clone, Copy)]
pub enum RestArg {
    /// What is left at the deadline stays; the drain is overdue.
    Leave,
    /// What is left at the deadline is stopped.
    Stop,
}

impl From<RestArg> for Rest {
    fn from(rest: RestArg) -> Rest {
        match rest {
            RestArg::Leave => Rest::Leave,
            RestArg::Stop => Rest::Stop,
        }
    }
}

#[derive(Args, Debug)]
pub struct DrainArgs {
    /// Machines; without any, those of `--plan`.
    #[arg(required_unless_present = "plan")]
    pub hosts: Vec<String>,
    #[arg(long, required_unless_present = "plan")]
    pub why: Option<String>,
    #[command(flatten)]
    pub by: ByArgs,
    /// Seconds until it should be over.
    #[arg(long)]
    pub deadline: Option<f64>,
    #[arg(long, value_enum, default_value = "leave")]
    pub rest: RestArg,
    /// Name of the order; the same order given again is one. Drawn if not given.
    #[arg(long)]
    pub order: Option<String>,
    /// Carry out the plan in this file (JSON). If the state has changed since, a
    /// new one is made and the difference shown, and nothing is done without
    /// `--yes`.
    #[arg(long, conflicts_with = "hosts")]
    pub plan: Option<PathBuf>,
    /// Carry it out although the new plan says something else.
    #[arg(long)]
    pub yes: bool,
    /// Wait until all are drained, at most so many seconds; exit with 4 if not.
    #[arg(long)]
    pub wait: Option<f64>,
}

#[derive(Args, Debug)]
pub struct PlanArgs {
    #[arg(required = true)]
    pub hosts: Vec<String>,
    /// Seconds from the start until it should be over.
    #[arg(long)]
    pub deadline: Option<f64>,
    #[arg(long, value_enum, default_value = "leave")]
    pub rest: RestArg,
    /// Seconds from now until it starts.
    #[arg(long, default_value_t = 0.0)]
    pub start: f64,
    /// Look for the best start and order within so many seconds after that.
    #[arg(long, default_value_t = 0.0)]
    pub window: f64,
    #[arg(long, default_value_t = 60)]
    pub samples: u32,
    #[arg(long, default_value_t = 3600.0)]
    pub horizon: f64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Plan from this snapshot instead of the present state.
    #[arg(long)]
    pub snapshot: Option<PathBuf>,
    /// Write the plan as JSON, to be carried out by `drain --plan`.
    #[arg(long)]
    pub save: Option<PathBuf>,
    /// Write a report with pictures.
    #[arg(long)]
    pub html: Option<PathBuf>,
    /// Exit with 4 if a deadline may be missed because of the drain.
    #[arg(long)]
    pub check: bool,
}
