//! Bounds of single steps and single messages, for jobs at the limits of the protocol: the process
//! has one thread, so a long step delays all answers, and a message above 64 KiB is refused.

mod common;

use common::*;
use foxspur::coordination::agents::commands::MAX_COMMANDS_PER_MESSAGE;
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::job::TaskId;
use foxspur::coordination::scheduler::placement_pass::{
    MAX_EXAMINED_PER_PASS, MAX_PLACEMENTS_PER_PASS,
};
use foxspur::coordination::scheduler::resources::MAX_ATTEMPTS_PER_MACHINE;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::cloud::MachineType;
use foxspur::protocol::job::{JobSpec, Urgency, MAX_TASKS};
use foxspur::protocol::worker::{AttemptStatus, Cause, Command, Phase, Reply, Report};
use std::collections::{BTreeMap, BTreeSet};

/// The protocol's limit on a request body and on a line of a response.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;
/// The longest job id: 20 digits.
const LONGEST_ID: &str = "run-99999999999999999999";
/// A term whose attempt numbers have 16 digits.
const LATE_TERM: u64 = 1 << 30;

const HOSTS: usize = 15;

fn host(n: usize) -> String {
    format!("m-{n:06}")
}

/// A machine type of 64 CPUs and 128 GB of memory.
fn large_type() -> MachineType {
    MachineType {
        cpus: 64.0,
        memory_gb: 128.0,
        ..types().remove(0)
    }
}

/// A scheduler at this term with machines of 64 CPUs, the first half of them in zone `a`, the
/// others in zone `b`. All have reported that they are empty.
fn scheduler_with_large_machines(hosts: usize, term: u64) -> Scheduler {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], term, &[]);
    scheduler.set_types(&[large_type()]);
    for n in 0..hosts {
        let zone = if n < hosts.div_ceil(2) { "a" } else { "b" };
        scheduler.add_recorded_machine(machine(&host(n), zone, false), 0.0);
    }
    for n in 0..hosts {
        scheduler.handle_heartbeat(&report(&host(n), 1, 1, term, &[]), 0.1);
    }
    scheduler
}

/// A job of the most tasks that the protocol allows.
fn largest_job(id: &str, cpus: f64, memory_gb: f64) -> JobSpec {
    JobSpec {
        memory_gb,
        ..spec(id, "t", Urgency::Idle, MAX_TASKS as u32, cpus)
    }
}

fn placed(scheduler: &Scheduler, job: &str) -> usize {
    scheduler.jobs[job].placed.len()
}

/// Runs full passes until one does not end at its limit. Returns the number of passes.
fn run_passes(scheduler: &mut Scheduler, job: &str) -> usize {
    for pass in 1..=MAX_TASKS as usize {
        let before = placed(scheduler, job);
        scheduler.place_all(0.2);
        let added = placed(scheduler, job) - before;
        assert!(
            added <= MAX_PLACEMENTS_PER_PASS,
            "one pass placed {added} tasks"
        );
        if !scheduler.is_pass_unfinished() {
            return pass;
        }
    }
    panic!("the passes do not end");
}

/// Guards against a pass that places a whole job and adds up all attempts of a machine for each
/// task: after one accepted job of 100,000 tasks of 0.005 CPUs each leader in turn answered nobody
/// for 20 s (`docs/incidents/2026-12-one-large-job.md`).
#[test]
fn one_pass_places_a_bounded_number_of_tasks_of_any_job() {
    for (cpus, memory_gb, one_zone, spread) in [
        (0.005, 0.01, false, false),
        (0.005, 0.01, true, false),
        (0.005, 0.01, false, true),
        (0.0, 0.0, false, false),
        (0.0, 0.5, false, false),
        (0.25, 0.45, false, false),
    ] {
        let mut scheduler = scheduler_with_large_machines(HOSTS, 5);
        let mut job = largest_job("run-1", cpus, memory_gb);
        (job.one_zone, job.spread) = (one_zone, spread);
        add(&mut scheduler, job, 0.1);
        let passes = run_passes(&mut scheduler, "run-1");
        let what = format!("{cpus} CPUs, one zone: {one_zone}, spread: {spread}");
        let per_host = MAX_ATTEMPTS_PER_MACHINE as usize;
        let fits = if memory_gb * per_host as f64 > 128.0 || cpus * per_host as f64 > 64.0 {
            256
        } else {
            per_host
        };
        let zone_a = HOSTS.div_ceil(2);
        let hosts = if one_zone { zone_a } else { HOSTS };
        assert_eq!(placed(&scheduler, "run-1"), hosts * fits, "{what}");
        assert!(passes > hosts * fits / MAX_PLACEMENTS_PER_PASS, "{what}");
        assert!(
            scheduler.work.max_examined_per_pass < MAX_EXAMINED_PER_PASS,
            "{what}: {:?}",
            scheduler.work
        );
    }
}

/// Guards against a start whose cost grows with the tasks that its machine or its job already has.
#[test]
fn the_last_starts_of_a_job_examine_as_much_as_the_first() {
    let mut scheduler = scheduler_with_large_machines(HOSTS, 5);
    add(&mut scheduler, largest_job("run-1", 0.005, 0.01), 0.1);
    let mut examined = Vec::new();
    for _ in 0..HOSTS {
        let before = scheduler.work.examined;
        scheduler.place_all(0.2);
        examined.push(scheduler.work.examined - before);
    }
    // A start draws a sample for the machines with the image and one for all machines.
    let draws = 2 * 4 * scheduler.config.policy.sample + HOSTS;
    let most = (MAX_PLACEMENTS_PER_PASS * draws) as u64;
    assert!(
        examined.iter().all(|examined| *examined <= most),
        "{examined:?}, at most {most}"
    );
}

/// Guards against jobs that are never reached because passes end at their limit: a job behind one
/// of 100,000 tasks is placed in the passes that follow, also while the first one has tasks left.
#[test]
fn a_job_behind_100_000_tasks_is_placed_as_well() {
    let mut scheduler = scheduler_with_large_machines(HOSTS, 5);
    let mut first = largest_job("run-1", 0.005, 0.01);
    (first.urgency, first.zone) = (Urgency::Prod, Some("a".into()));
    let mut other = spec("run-2", "t", Urgency::Idle, 4, 2.0);
    other.zone = Some("b".into());
    add(&mut scheduler, first, 0.1);
    add(&mut scheduler, other, 0.1);
    let passes = run_passes(&mut scheduler, "run-1");
    assert_eq!(placed(&scheduler, "run-2"), 4, "after {passes} passes");
    assert!(scheduler.jobs["run-1"].unplaced_tasks() > 0);
    assert!(passes <= HOSTS + 1, "{passes} passes");
}

/// A worker that executes commands as the protocol says and reports all its attempts.
struct Worker {
    name: String,
    seq: u64,
    attempts: BTreeMap<(String, u64), Phase>,
}

impl Worker {
    fn new(name: &str) -> Worker {
        Worker {
            name: name.into(),
            seq: 1,
            attempts: BTreeMap::new(),
        }
    }

    fn execute(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    self.attempts.entry(key).or_insert(Phase::Running);
                }
                Command::Stop { task, attempt, .. } => {
                    let phase = self.attempts.get_mut(&(task.clone(), *attempt));
                    *phase.expect("a known attempt") = Phase::Exited;
                }
                Command::Forget { task, attempt } => {
                    self.attempts.remove(&(task.clone(), *attempt));
                }
            }
        }
    }

    /// All running tasks complete.
    fn complete_all(&mut self) {
        for phase in self.attempts.values_mut() {
            *phase = Phase::Exited;
        }
    }

    fn report(&mut self, token: u64) -> Report {
        self.seq += 1;
        let mut report = report(&self.name, 1, self.seq, token, &[]);
        report.tasks = self
            .attempts
            .iter()
            .map(|((task, attempt), phase)| AttemptStatus {
                task: task.clone(),
                attempt: *attempt,
                phase: *phase,
                cause: (*phase == Phase::Exited).then_some(Cause::Done),
                saved: None,
            })
            .collect();
        report
    }
}

fn bytes(message: &impl serde::Serialize) -> usize {
    serde_json::to_vec(message).expect("JSON").len()
}

/// Lets the worker send its report, and executes the answer. Checks the size of both.
fn exchange(scheduler: &mut Scheduler, worker: &mut Worker, token: u64, now: f64) -> Reply {
    let report = worker.report(token);
    let report_bytes = bytes(&report);
    assert!(
        report_bytes <= MAX_MESSAGE_BYTES,
        "a report of {report_bytes} bytes"
    );
    let HeartbeatReply::Commands(reply) = scheduler.handle_heartbeat(&report, now) else {
        panic!("the report was refused");
    };
    let reply_bytes = bytes(&reply);
    assert!(
        reply_bytes <= MAX_MESSAGE_BYTES,
        "an answer of {reply_bytes} bytes"
    );
    worker.execute(&reply.commands);
    reply
}

/// Guards against messages above 64 KiB, which workers and controllers refuse, so that the machine's
/// lease ends again and again. A job of 1,500 small tasks never ran on one machine. Results that
/// cannot be saved while the state service is out count too.
#[test]
fn no_message_exceeds_64_kib_while_results_pile_up() {
    for cpus in [0.0, 0.005, 0.05] {
        let mut scheduler = scheduler_with_large_machines(1, LATE_TERM);
        let mut worker = Worker::new(&host(0));
        add(&mut scheduler, largest_job(LONGEST_ID, cpus, 0.01), 0.1);
        let mut now = 1.0;
        for _ in 0..8 {
            scheduler.place_all(now);
            let direct = scheduler.next_direct_call(&host(0).as_str().into(), now);
            let (_, call) = direct.unzip();
            let call_bytes = call.as_ref().map_or(0, bytes);
            assert!(
                call_bytes <= MAX_MESSAGE_BYTES,
                "a call of {call_bytes} bytes"
            );
            // The call is lost, so the answer to the next report repeats its commands.
            if let Some(call) = call {
                let name = host(0).as_str().into();
                scheduler.direct_call_finished(&name, &call, CallResult::NotSent, now);
            }
            exchange(&mut scheduler, &mut worker, LATE_TERM, now + 0.1);
            exchange(&mut scheduler, &mut worker, LATE_TERM, now + 0.6);
            worker.complete_all();
            exchange(&mut scheduler, &mut worker, LATE_TERM, now + 0.8);
            now += 1.0;
        }
        let full = MAX_ATTEMPTS_PER_MACHINE as usize;
        assert_eq!(worker.attempts.len(), full, "{cpus} CPUs");
        // The results are saved, so the worker forgets them and other tasks start.
        let completed = scheduler.jobs[LONGEST_ID].completed.clone();
        assert_eq!(completed.len(), full);
        scheduler.completions_written(LONGEST_ID, &completed, 2);
        let token = scheduler.machines[host(0).as_str()].token_under(LATE_TERM);
        exchange(&mut scheduler, &mut worker, token, now);
        assert!(worker.attempts.is_empty());
        scheduler.place_all(now + 0.1);
        let token = scheduler.machines[host(0).as_str()].token_under(LATE_TERM);
        exchange(&mut scheduler, &mut worker, token, now + 0.5);
        exchange(&mut scheduler, &mut worker, token, now + 1.0);
        assert_eq!(worker.attempts.len(), full, "{cpus} CPUs");
        let is_new = |(task, _): &(String, u64)| {
            let task = TaskId::parse(task).expect("a task");
            !completed.contains(task.index)
        };
        assert!(worker.attempts.keys().all(is_new));
    }
}

/// Guards against an answer above 64 KiB to a machine with more attempts than this version starts
/// there: an earlier version started them, and their job was cancelled. All are stopped and
/// forgotten in the end.
#[test]
fn commands_that_do_not_fit_into_an_answer_follow_in_later_ones() {
    const ADOPTED: u64 = 780;
    let mut scheduler = scheduler_with_large_machines(1, 5);
    let mut worker = Worker::new(&host(0));
    add(&mut scheduler, largest_job("run-1", 0.005, 0.01), 0.1);
    for index in 0..ADOPTED {
        let key = (format!("run-1/{index}"), 1 + index);
        worker.attempts.insert(key, Phase::Running);
    }
    exchange(&mut scheduler, &mut worker, 5, 1.0);
    assert_eq!(placed(&scheduler, "run-1"), ADOPTED as usize);
    scheduler.finish_job("run-1");
    let mut stopped = BTreeSet::new();
    let mut now = 2.0;
    while !worker.attempts.is_empty() && now < 20.0 {
        let reply = exchange(&mut scheduler, &mut worker, 5, now);
        assert!(reply.commands.len() <= MAX_COMMANDS_PER_MESSAGE);
        stopped.extend(reply.commands.iter().filter_map(|command| match command {
            Command::Stop { task, .. } => Some(task.clone()),
            _ => None,
        }));
        let machine = &scheduler.machines[host(0).as_str()];
        assert!(!machine.delivery.is_doubtful(), "at {now} s");
        now += 1.0;
    }
    assert_eq!(stopped.len(), ADOPTED as usize);
    assert!(worker.attempts.is_empty());
    assert!(now < 8.0, "the last attempt was forgotten at {now} s");
}
