//! Load for profiles of an owner that repeat: a fleet of workers reports, jobs
//! come, tasks run and end, all in made-up time and without a network, so that
//! `valgrind --tool=callgrind` counts the same instructions in every run.
//!
//!     cargo run --release --example owner -- --machines 1204 --report-s 5 --seconds 60

#[path = "../tests/common/mod.rs"]
mod common;

use clap::Parser;
use common::{live, scheduler, spec, team};
use foxspur::admin::of_core;
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::machine::MessageId;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::Urgency;
use foxspur::protocol::mesh::Topic;
use foxspur::protocol::worker::{Command, Report, ReportHead};
use foxspur::storage::marks::CompletedTasks;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

#[derive(Parser)]
struct Args {
    /// Workers in the fleet.
    #[arg(long, default_value_t = 1204)]
    machines: usize,
    /// Time between two reports of one.
    #[arg(long, default_value_t = 5.0)]
    report_s: f64,
    /// How long it goes on, in made-up time.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// Jobs a second, of 25 tasks of one to four CPUs and about 40 s.
    #[arg(long, default_value_t = 1.7)]
    jobs: f64,
    /// Time of a takeover by a fresh owner, if any.
    #[arg(long)]
    takeover: Option<f64>,
    /// Seconds between two looks of operators at jobs, teams, machines and drains.
    #[arg(long)]
    look: Option<f64>,
}

/// A worker with its tasks: when each ends.
struct Worker {
    id: String,
    seq: u64,
    token: u64,
    due: f64,
    tasks: BTreeMap<(String, u64), f64>,
}

impl Worker {
    fn report(&mut self, now: f64) -> String {
        self.seq += 1;
        let tasks: Vec<String> = self
            .tasks
            .iter()
            .map(|((task, attempt), end)| {
                let state = if *end <= now {
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

    fn execute(&mut self, commands: &[Command], now: f64, rng: &mut StdRng) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let end = now + rng.random_range(20.0..60.0);
                    self.tasks.entry((task.clone(), *attempt)).or_insert(end);
                }
                Command::Stop { task, attempt, .. } | Command::Forget { task, attempt } => {
                    self.tasks.remove(&(task.clone(), *attempt));
                }
            }
        }
    }
}

/// One report, as the front server hands it to the scheduler; true if it repeats.
fn hello(scheduler: &mut Scheduler, worker: &mut Worker, now: f64, rng: &mut StdRng) -> bool {
    let text = worker.report(now);
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
        scheduler.remember_heartbeat(&report.machine, MessageId::of(&report), tasks.get());
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
    let fresh = |term: u64| {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], term, &names);
        scheduler.config.report_s = args.report_s;
        scheduler
    };
    let mut owner = fresh(1);
    let mut fleet: Vec<Worker> = names
        .iter()
        .map(|id| Worker {
            id: id.to_string(),
            seq: 0,
            token: 0,
            due: rng.random_range(0.0..args.report_s),
            tasks: BTreeMap::new(),
        })
        .collect();
    let (mut looked, mut looks_bytes) = (0.0, 0);
    let (mut reports, mut repeats, mut calls, mut done, mut jobs) = (0, 0, 0, 0, 0u32);
    let mut records = BTreeMap::new();
    let mut takeover = args.takeover;
    let (step, mut now) = (0.1, 0.0);
    while now < args.seconds {
        now += step;
        if takeover.is_some_and(|at| now >= at) {
            takeover = None;
            owner = fresh(2);
            for record in records.values() {
                owner.add_job(live(spec_of(record), now), 1, CompletedTasks::default());
            }
        }
        while f64::from(jobs) < args.jobs * now {
            jobs += 1;
            let id = format!("run-{jobs:06}");
            let record = (id.clone(), rng.random_range(1.0..4.0));
            owner.add_job(live(spec_of(&record), now), 1, CompletedTasks::default());
            records.insert(id, record);
            owner.place_changed(now);
        }
        for worker in &mut fleet {
            if worker.due <= now {
                worker.due = now + args.report_s * rng.random_range(0.75..1.25);
                reports += 1;
                repeats += u32::from(hello(&mut owner, worker, now, &mut rng));
            }
        }
        if reports % 5 == 0 {
            owner.tick(now, now);
            owner.probe_unfenced(now, 64);
            owner.place_all(now);
        }
        if args.look.is_some_and(|every| now - looked >= every) {
            looked = now;
            let topics = [Topic::Jobs(200), Topic::Teams, Topic::Fleet, Topic::Drains];
            let looks = topics.iter().filter_map(|t| of_core(&owner, *t, now));
            looks_bytes += looks.map(|l| l.len()).sum::<usize>();
        }
        for name in owner.outbox.drain(..).collect::<Vec<_>>() {
            let Some((_, call)) = owner.next_direct_call(&name, now) else {
                continue;
            };
            calls += 1;
            let Some(worker) = fleet.iter_mut().find(|w| *w.id == *name) else {
                continue;
            };
            worker.execute(&call.commands, now, &mut rng);
            worker.token = worker.token.max(call.token);
            let read = serde_json::from_str::<Report>(&worker.report(now));
            let result = read.map_or(CallResult::Unknown, CallResult::Executed);
            owner.direct_call_finished(&name, &call, result, now);
        }
        for id in owner.completions_due(24) {
            let Some(job) = owner.jobs.get(&id) else {
                continue;
            };
            let (marks, complete) = (job.completed.clone(), job.is_complete());
            owner.completions_written(&id, &marks, 2);
            if complete {
                done += 1;
                records.remove(&*id);
                owner.finish_job(&id);
            }
        }
    }
    if args.look.is_some() {
        println!("looks: {looks_bytes} bytes");
    }
    println!(
        "{reports} reports ({repeats} repeats), {calls} direct calls, {jobs} jobs, {done} done"
    );
}

fn spec_of(record: &(String, f64)) -> foxspur::protocol::job::JobSpec {
    spec(&record.0, "t", Urgency::Standard, 25, record.1)
}
