//! A reproducible load for profiling a leader. A fleet of workers sends heartbeats, jobs arrive,
//! and tasks run and end. Time is simulated and no network is used, so that
//! `valgrind --tool=callgrind` counts the same instructions in every run.
//!
//! Do not change what this program executes: its instruction counts are compared across versions.
//!
//!     cargo run --release --example owner -- --machines 1204 --report-s 5 --seconds 60

#[path = "../tests/common/mod.rs"]
mod common;

use clap::Parser;
use common::{live, scheduler, spec, team};
use foxspur::admin::view_json;
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::machine::MessageId;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::Urgency;
use foxspur::protocol::mesh::Topic;
use foxspur::protocol::worker::{Command, Report, ReportHead};
use foxspur::storage::completed_tasks::CompletedTasks;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

#[derive(Parser)]
struct Args {
    /// Workers in the fleet.
    #[arg(long, default_value_t = 1204)]
    machines: usize,
    /// Seconds between two heartbeats of a worker.
    #[arg(long, default_value_t = 5.0)]
    report_s: f64,
    /// How long it goes on, in seconds of simulated time.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// Jobs a second, of 25 tasks of one to four CPUs and about 40 s.
    #[arg(long, default_value_t = 1.7)]
    jobs: f64,
    /// Time of a failover to a fresh leader, if any.
    #[arg(long)]
    takeover: Option<f64>,
    /// Seconds between two looks of operators at jobs, teams, machines and drains.
    #[arg(long)]
    look: Option<f64>,
}

/// A worker of the fleet.
struct Worker {
    id: String,
    /// Sequence number of its last heartbeat.
    seq: u64,
    /// The newest fencing token that it has received.
    token: u64,
    /// Time of its next heartbeat.
    next_heartbeat_at: f64,
    /// The time at which each attempt ends, by task and attempt number.
    tasks: BTreeMap<(String, u64), f64>,
}

impl Worker {
    /// Its next heartbeat at time `now`, as JSON.
    fn heartbeat(&mut self, now: f64) -> String {
        self.seq += 1;
        let tasks: Vec<String> = self
            .tasks
            .iter()
            .map(|((task, attempt), ends_at)| {
                let state = if *ends_at <= now {
                    r#""exited","cause":"done""#
                } else {
                    r#""running""#
                };
                format!(r#"{{"shard":"{task}","try":{attempt},"status":{state}}}"#)
            })
            .collect();
        format!(
            r#"{{"host":"{}","endpoint":"127.0.0.1:1","flavor":"small","site":"a","standby":false,"tenure":1,"serial":{},"epoch":{},"warning_s":null,"shards":[{}]}}"#,
            self.id,
            self.seq,
            self.token,
            tasks.join(",")
        )
    }

    /// Executes commands. A task that starts runs for 20 to 60 s.
    fn execute(&mut self, commands: &[Command], now: f64, rng: &mut StdRng) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let ends_at = now + rng.random_range(20.0..60.0);
                    self.tasks
                        .entry((task.clone(), *attempt))
                        .or_insert(ends_at);
                }
                Command::Stop { task, attempt, .. } | Command::Forget { task, attempt } => {
                    self.tasks.remove(&(task.clone(), *attempt));
                }
            }
        }
    }
}

/// Passes one heartbeat to the scheduler, as the front server does. Returns whether it repeats the
/// previous one.
fn send_heartbeat(
    scheduler: &mut Scheduler,
    worker: &mut Worker,
    now: f64,
    rng: &mut StdRng,
) -> bool {
    let text = worker.heartbeat(now);
    let Ok(head) = serde_json::from_str::<ReportHead>(&text) else {
        return false;
    };
    if scheduler.handle_repeated_heartbeat(&head, now).is_some() {
        return true;
    }
    let tasks = head.tasks;
    let Some(report) = head.read() else {
        return false;
    };
    if let HeartbeatReply::Commands(reply) = scheduler.handle_heartbeat(&report, now) {
        scheduler.store_task_list(&report.machine, MessageId::of(&report), tasks.get());
        worker.token = reply.token;
        worker.execute(&reply.commands, now, rng);
    }
    false
}

fn main() {
    let args = Args::parse();
    let mut rng = StdRng::seed_from_u64(1);
    let names: Vec<String> = (0..args.machines).map(|i| format!("m-{i:06}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let new_leader = |term: u64| {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], term, &names);
        scheduler.config.heartbeat_s = args.report_s;
        scheduler
    };
    let mut leader = new_leader(1);
    let mut fleet: Vec<Worker> = names
        .iter()
        .map(|id| Worker {
            id: id.to_string(),
            seq: 0,
            token: 0,
            next_heartbeat_at: rng.random_range(0.0..args.report_s),
            tasks: BTreeMap::new(),
        })
        .collect();
    let (mut viewed_at, mut view_bytes) = (0.0, 0);
    let (mut heartbeats, mut repeats, mut calls, mut done, mut jobs) = (0, 0, 0, 0, 0u32);
    // Records of the live jobs, from which a new leader recovers them.
    let mut records = BTreeMap::new();
    let mut failover_at = args.takeover;
    let (step_s, mut now) = (0.1, 0.0);
    while now < args.seconds {
        now += step_s;
        if failover_at.is_some_and(|at| now >= at) {
            failover_at = None;
            leader = new_leader(2);
            for record in records.values() {
                leader.add_job(live(spec_of(record), now), 1, CompletedTasks::default());
            }
        }
        while f64::from(jobs) < args.jobs * now {
            jobs += 1;
            let id = format!("run-{jobs:06}");
            let record = (id.clone(), rng.random_range(1.0..4.0));
            leader.add_job(live(spec_of(&record), now), 1, CompletedTasks::default());
            records.insert(id, record);
            leader.place_changed(now);
        }
        for worker in &mut fleet {
            if worker.next_heartbeat_at <= now {
                worker.next_heartbeat_at = now + args.report_s * rng.random_range(0.75..1.25);
                heartbeats += 1;
                repeats += u32::from(send_heartbeat(&mut leader, worker, now, &mut rng));
            }
        }
        if heartbeats % 5 == 0 {
            leader.tick(now, now);
            leader.probe_unfenced(now, 64);
            leader.place_all(now);
        }
        if args.look.is_some_and(|every| now - viewed_at >= every) {
            viewed_at = now;
            let topics = [Topic::Jobs(200), Topic::Teams, Topic::Fleet, Topic::Drains];
            let views = topics.iter().filter_map(|t| view_json(&leader, *t, now));
            view_bytes += views.map(|view| view.len()).sum::<usize>();
        }
        for name in leader.outbox.drain(..).collect::<Vec<_>>() {
            let Some((_, call)) = leader.next_direct_call(&name, now) else {
                continue;
            };
            calls += 1;
            let Some(worker) = fleet.iter_mut().find(|w| *w.id == *name) else {
                continue;
            };
            worker.execute(&call.commands, now, &mut rng);
            worker.token = worker.token.max(call.token);
            let read = serde_json::from_str::<Report>(&worker.heartbeat(now));
            let result = read.map_or(CallResult::Unknown, CallResult::Executed);
            leader.direct_call_finished(&name, &call, result, now);
        }
        for id in leader.completions_due(24) {
            let Some(job) = leader.jobs.get(&id) else {
                continue;
            };
            let (completed, complete) = (job.completed.clone(), job.is_complete());
            leader.completions_written(&id, &completed, 2);
            if complete {
                done += 1;
                records.remove(&*id);
                leader.finish_job(&id);
            }
        }
    }
    if args.look.is_some() {
        println!("looks: {view_bytes} bytes");
    }
    println!(
        "{heartbeats} reports ({repeats} repeats), {calls} direct calls, {jobs} jobs, {done} done"
    );
}

/// The specification of a job, given its id and the CPUs of each task.
fn spec_of(record: &(String, f64)) -> foxspur::protocol::job::JobSpec {
    spec(&record.0, "t", Urgency::Standard, 25, record.1)
}
