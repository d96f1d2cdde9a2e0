//! A job moves on after its tasks failed on machines that were faulty for a while.

mod common;

use common::*;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::{Shape, Urgency};
use foxspur::protocol::worker::{Cause, Command, Phase};
use std::collections::BTreeMap;

const TERM: u64 = 5;
/// The longest time for which a job may wait while a machine that fits has room, in seconds.
const MAX_WAIT_S: f64 = 90.0;

/// Machines whose heartbeats arrive every second, and which fail or run the tasks that they start.
struct Fleet {
    scheduler: Scheduler,
    /// The tasks of each machine, by task and attempt number, with the cause of those that have exited.
    machines: BTreeMap<String, BTreeMap<(String, u64), Option<Cause>>>,
    /// Machines that fail every task.
    sick: Vec<String>,
    token: BTreeMap<String, u64>,
    second: u64,
    starts: Vec<(f64, String, String)>,
}

impl Fleet {
    fn new(names: &[&str]) -> Fleet {
        let mut fleet = Fleet {
            scheduler: scheduler(vec![team("t", 0.0, 0.0)], TERM, &[]),
            machines: BTreeMap::new(),
            sick: Vec::new(),
            token: BTreeMap::new(),
            second: 0,
            starts: Vec::new(),
        };
        for name in names {
            fleet.add_machine(name);
        }
        fleet.step();
        fleet
    }

    fn add_machine(&mut self, name: &str) {
        let now = self.now();
        self.scheduler
            .add_recorded_machine(machine(name, "a", false), now);
        self.machines.insert(name.to_string(), BTreeMap::new());
        self.token.insert(name.to_string(), TERM);
    }

    fn now(&self) -> f64 {
        self.second as f64
    }

    fn submit(&mut self, id: &str, tasks: u32, cpus: f64, shape: Shape) {
        let mut job = spec(id, "t", Urgency::Standard, tasks, cpus);
        job.shape = shape;
        let now = self.now();
        add(&mut self.scheduler, job, now);
    }

    /// Lets a second pass: each machine fails its tasks if it is sick, and reports.
    fn step(&mut self) {
        self.second += 1;
        let now = self.now();
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            if self.sick.contains(&name) {
                let tasks = self.machines.get_mut(&name).expect("a machine");
                tasks
                    .values_mut()
                    .for_each(|cause| *cause = Some(Cause::Error));
            }
            self.heartbeat(&name, now);
        }
        self.scheduler.outbox.clear();
        self.scheduler.tick(now, now);
        self.scheduler.place_all(now);
    }

    fn heartbeat(&mut self, name: &str, now: f64) {
        let tasks = &self.machines[name];
        let shown: Vec<_> = tasks
            .iter()
            .map(|((task, attempt), cause)| {
                let phase = cause.map_or(Phase::Running, |_| Phase::Exited);
                (task.as_str(), *attempt, phase, *cause)
            })
            .collect();
        let heartbeat = report(name, 1, self.second, self.token[name], &shown);
        let HeartbeatReply::Commands(reply) = self.scheduler.handle_heartbeat(&heartbeat, now)
        else {
            panic!("the heartbeat of {name} was refused at {now} s");
        };
        self.token.insert(name.into(), reply.token);
        let tasks = self.machines.get_mut(name).expect("a machine");
        for command in reply.commands {
            match command {
                Command::Start { task, attempt } => {
                    self.starts.push((now, name.into(), task.clone()));
                    tasks.insert((task, attempt), None);
                }
                Command::Stop { task, attempt, .. } => {
                    tasks.insert((task, attempt), Some(Cause::Stopped));
                }
                Command::Forget { task, attempt } => {
                    tasks.remove(&(task, attempt));
                }
            }
        }
    }

    fn runs_on(&self, task: &str) -> Option<&str> {
        let mut machines = self.machines.iter();
        let found = machines.find(|(_, tasks)| {
            let mut tasks = tasks.iter();
            tasks.any(|((name, _), cause)| name == task && cause.is_none())
        });
        found.map(|(name, _)| name.as_str())
    }

    /// Runs until the task runs, for `MAX_WAIT_S` at the most. Returns the time that this took.
    fn wait_for(&mut self, task: &str) -> Option<f64> {
        let since = self.now();
        while self.now() - since < MAX_WAIT_S {
            self.step();
            if self.runs_on(task).is_some() {
                return Some(self.now() - since);
            }
        }
        None
    }

    fn run_for(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.step();
        }
    }
}

/// Guards against a job that waits for ever beside the only machine with room, on which one of its
/// tasks failed while the machine was faulty (review/5). All other machines are full with a service.
#[test]
fn a_job_tries_a_machine_again_on_which_it_failed_if_no_other_has_room() {
    for sick_s in [1, 4, 20] {
        let mut fleet = Fleet::new(&["m0", "m1", "m2"]);
        fleet.submit("run-1", 2, 8.0, Shape::Service);
        fleet.run_for(2);
        let idle = ["m0", "m1", "m2"].map(|name| fleet.machines[name].is_empty());
        let idle = ["m0", "m1", "m2"][idle.iter().position(|idle| *idle).expect("an idle machine")];
        fleet.sick.push(idle.into());
        fleet.submit("run-2", 1, 4.0, Shape::Sweep);
        fleet.run_for(sick_s);
        let failed = fleet.starts.iter().any(|(_, _, task)| task == "run-2/0");
        assert!(failed || sick_s == 1, "sick for {sick_s} s");
        fleet.sick.clear();
        let waited_s = fleet.wait_for("run-2/0");
        assert!(
            waited_s.is_some_and(|s| s <= LEASE_S + 2.0),
            "sick for {sick_s} s: {waited_s:?}"
        );
    }
}

/// Guards against trying a machine again, on which a task failed, while another machine has room, and
/// against a job that tries a faulty machine without a pause.
#[test]
fn a_failed_machine_is_a_later_choice_and_is_tried_at_growing_intervals() {
    let mut fleet = Fleet::new(&["m0", "m1", "m2", "m3"]);
    fleet.sick.push("m0".into());
    fleet.submit("run-1", 12, 2.0, Shape::Sweep);
    fleet.run_for(30);
    let on_sick = fleet.starts.iter().filter(|(_, name, _)| name == "m0");
    assert!(on_sick.count() <= 4, "{:?}", fleet.starts);
    assert_eq!(fleet.scheduler.jobs["run-1"].placed.len(), 12);

    let mut fleet = Fleet::new(&["m0"]);
    fleet.sick.push("m0".into());
    fleet.submit("run-1", 1, 2.0, Shape::Sweep);
    fleet.run_for(60);
    let overview = fleet.scheduler.overview(fleet.now());
    let reason = "failed on 1 machines with room; tries one again in";
    assert!(overview.contains(reason), "{overview}");
    let starts = fleet.starts.len();
    assert!((5..=12).contains(&starts), "{starts} starts in a minute");
}

/// Guards against a service that keeps one replica for good after the other failed on three faulty
/// machines (review/6): no task of a service ever completes, so the job stayed suspect.
#[test]
fn a_service_with_a_replica_that_runs_well_is_not_suspect() {
    let mut fleet = Fleet::new(&["m0"]);
    fleet.submit("run-1", 2, 8.0, Shape::Service);
    fleet.run_for(3);
    let sick = ["m1", "m2", "m3"];
    for name in sick {
        fleet.add_machine(name);
        fleet.sick.push(name.into());
    }
    fleet.run_for(8);
    for name in sick {
        let tried = fleet.starts.iter().any(|(_, machine, _)| machine == name);
        assert!(tried, "{:?}", fleet.starts);
    }
    fleet.sick.clear();
    fleet.add_machine("m4");
    for task in ["run-1/0", "run-1/1"] {
        let waited_s = fleet.wait_for(task);
        assert!(waited_s.is_some(), "{task} waits for {MAX_WAIT_S} s");
    }
    fleet.run_for(LEASE_S as u64 + 2);
    assert!(!fleet.scheduler.jobs["run-1"].is_suspect());
}
