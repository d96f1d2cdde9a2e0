//! How long single steps of a leader take, for jobs and fleets of all sizes: the passes that place a
//! job's tasks, reports of full machines, answers to them, and the cancellation of the job. Time on
//! the processor is measured, without network; the amounts of work are printed beside it.
//!
//!     cargo run --release --example steps -- --cpus 0.005
//!     cargo run --release --example steps -- --one-zone --tasks 100000 --machines 1000

#[path = "../tests/common/mod.rs"]
mod common;

use clap::Parser;
use common::{add, machine, report, scheduler, spec, team, types};
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::cloud::MachineType;
use foxspur::protocol::job::Urgency;
use foxspur::protocol::worker::{AttemptStatus, Command, Phase, Report};
use std::time::Instant;

const TERM: u64 = 5;

#[derive(Parser)]
struct Args {
    /// Numbers of tasks of the job.
    #[arg(long, value_delimiter = ',', default_value = "1,1000,10000,100000")]
    tasks: Vec<u32>,
    /// Numbers of machines in the fleet.
    #[arg(long, value_delimiter = ',', default_value = "10,100,1000,10000")]
    machines: Vec<usize>,
    /// CPUs of each task; a machine has 64.
    #[arg(long, default_value_t = 0.005)]
    cpus: f64,
    /// All tasks must run in one zone.
    #[arg(long)]
    one_zone: bool,
}

/// The longest step of each kind, in milliseconds.
#[derive(Default)]
struct LongestSteps {
    pass_ms: f64,
    heartbeat_ms: f64,
    cancel_ms: f64,
}

fn host(n: usize) -> String {
    format!("m-{n:06}")
}

/// Runs a step. Returns its result, and raises `longest_ms` to its duration.
fn timed<T>(longest_ms: &mut f64, step: impl FnOnce() -> T) -> T {
    let begun = Instant::now();
    let result = step();
    *longest_ms = longest_ms.max(begun.elapsed().as_secs_f64() * 1000.0);
    result
}

fn empty_fleet(machines: usize) -> Scheduler {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], TERM, &[]);
    scheduler.set_types(&[MachineType {
        cpus: 64.0,
        memory_gb: 256.0,
        ..types().remove(0)
    }]);
    for n in 0..machines {
        scheduler.add_recorded_machine(machine(&host(n), "a", false), 0.0);
    }
    for n in 0..machines {
        scheduler.handle_heartbeat(&report(&host(n), 1, 1, TERM, &[]), 0.1);
    }
    scheduler
}

/// The report of a machine that runs all tasks whose start the answer carried.
fn running_report(machine: &str, seq: u64, commands: &[Command]) -> Report {
    let mut report = report(machine, 1, seq, TERM, &[]);
    let running = commands.iter().filter_map(|command| match command {
        Command::Start { task, attempt } => Some(AttemptStatus {
            task: task.clone(),
            attempt: *attempt,
            phase: Phase::Running,
            cause: None,
            saved: None,
        }),
        _ => None,
    });
    report.tasks = running.collect();
    report
}

/// Places a job on an empty fleet, lets all machines report what they run, and cancels the job.
fn measure(args: &Args, tasks: u32, machines: usize) -> (Scheduler, LongestSteps) {
    let mut longest = LongestSteps::default();
    let mut scheduler = empty_fleet(machines);
    let mut job = spec("run-1", "t", Urgency::Standard, tasks, args.cpus);
    (job.one_zone, job.memory_gb) = (args.one_zone, 0.01);
    add(&mut scheduler, job, 0.1);
    loop {
        timed(&mut longest.pass_ms, || scheduler.place_all(0.2));
        if !scheduler.is_pass_unfinished() {
            break;
        }
    }
    for n in 0..machines {
        let mut commands = Vec::new();
        for seq in 2..4 {
            let report = running_report(&host(n), seq, &commands);
            let reply = timed(&mut longest.heartbeat_ms, || {
                scheduler.handle_heartbeat(&report, 0.3)
            });
            if let HeartbeatReply::Commands(reply) = reply {
                commands = reply.commands;
            }
        }
    }
    timed(&mut longest.cancel_ms, || scheduler.finish_job("run-1"));
    (scheduler, longest)
}

fn main() {
    let args = Args::parse();
    println!(
        "{:>7} {:>8} {:>7} {:>10} {:>10} {:>10} {:>9} {:>10} {:>9}",
        "tasks",
        "machines",
        "placed",
        "tasks/pass",
        "examined",
        "pass ms",
        "report",
        "report ms",
        "cancel ms"
    );
    for &machines in &args.machines {
        for &tasks in &args.tasks {
            let (scheduler, longest) = measure(&args, tasks, machines);
            let work = scheduler.work;
            println!(
                "{:>7} {:>8} {:>7} {:>10} {:>10} {:>10.2} {:>9} {:>10.2} {:>9.2}",
                tasks,
                machines,
                scheduler.jobs["run-1"].placed.len(),
                work.max_placements_per_pass,
                work.max_examined_per_pass,
                longest.pass_ms,
                work.max_attempts_per_report,
                longest.heartbeat_ms,
                longest.cancel_ms
            );
        }
    }
}
