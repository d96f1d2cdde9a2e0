//! Test data and helpers shared by the tests.
#![allow(dead_code)]

pub mod digest;

use foxspur::coordination::scheduler::fence::Fence;
use foxspur::coordination::scheduler::state::{Scheduler, SchedulerConfig};
use foxspur::protocol::cloud::MachineType;
use foxspur::protocol::job::{JobSpec, Shape, Urgency};
use foxspur::protocol::policy::Policy;
use foxspur::protocol::settings::Team;
use foxspur::protocol::worker::{AttemptStatus, Cause, Phase, Report};
use foxspur::storage::completed_tasks::CompletedTasks;
use foxspur::storage::records::{LiveJob, MachineInfo};

/// A valid settings file.
pub const SETTINGS: &str = r#"
host_name = "berth-0"
site = "a"
front = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
news = "ignored"
[[peers]]
host_name = "berth-1"
site = "b"
addr = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
nodes = 2
zones = ["a", "b"]
time_bound_ms = 1000.0
[[cluster.teams]]
name = "vision"
cpus = 8.0
cpus_max = 16.0
[cluster.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[cluster.state]
rps = 250.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 32
[cluster.cloud]
rps = 3.0
list_lag_s = 10.0
[cluster.quota]
cpu = 0.12
memory_mb = 56.0
max_sockets = 800
"#;

pub const LEASE_S: f64 = 10.0;
pub const CANCEL_S: f64 = 40.0;

/// A team with a guarantee of `cpus` CPUs and a limit of `cpus_max` CPUs (0: no limit).
pub fn team(name: &str, cpus: f64, cpus_max: f64) -> Team {
    Team {
        name: name.into(),
        cpus,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    }
}

pub fn scheduler_config(teams: Vec<Team>) -> SchedulerConfig {
    SchedulerConfig {
        lease_s: LEASE_S,
        heartbeat_s: 1.0,
        cancel_s: CANCEL_S,
        retry_round_s: 30.0,
        teams,
        objectives: Vec::new(),
        policy: Policy::default(),
    }
}

/// The machine types that the cloud offers: a single type `small` with 8 CPUs.
pub fn types() -> Vec<MachineType> {
    vec![MachineType {
        name: "small".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 20.0,
        zones: vec!["a".into(), "b".into()],
    }]
}

/// The description of a sweep of `tasks` tasks that need `cpus` CPUs each.
pub fn spec(id: &str, team: &str, urgency: Urgency, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "class".into(),
        team: team.into(),
        shape: Shape::Sweep,
        urgency,
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 20.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// The record of a live job without completed tasks that was accepted at `accepted_at_s`.
pub fn live(spec: JobSpec, accepted_at_s: f64) -> LiveJob {
    LiveJob {
        spec: spec.into(),
        accepted_at_ms: (accepted_at_s * 1000.0) as u64,
        done: String::new(),
    }
}

/// A machine of the type `small`.
pub fn machine(id: &str, zone: &str, spot: bool) -> MachineInfo {
    MachineInfo {
        id: id.into(),
        addr: "127.0.0.1:1".into(),
        kind: "small".into(),
        zone: zone.into(),
        spot,
    }
}

/// A scheduler with these machines in its machine record. No machine is fenced yet.
pub fn scheduler(teams: Vec<Team>, term: u64, machines: &[&str]) -> Scheduler {
    let mut scheduler = Scheduler::new(
        scheduler_config(teams),
        term,
        Fence::new(term, Some(0.0)),
        7,
    );
    scheduler.set_types(&types());
    for id in machines {
        scheduler.add_recorded_machine(machine(id, "a", false), 0.0);
    }
    scheduler
}

/// Adds a live job with this specification that was accepted at `accepted_at_s`.
pub fn add(scheduler: &mut Scheduler, spec: JobSpec, accepted_at_s: f64) {
    scheduler.add_job(live(spec, accepted_at_s), 1, CompletedTasks::default());
}

/// A report of the machine `id`. Each task is a tuple (name, attempt number, phase, cause).
pub fn report(
    id: &str,
    session: u64,
    seq: u64,
    token: u64,
    tasks: &[(&str, u64, Phase, Option<Cause>)],
) -> Report {
    Report {
        machine: id.into(),
        addr: "127.0.0.1:1".into(),
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
        session,
        seq,
        token,
        notice_s: None,
        tasks: tasks
            .iter()
            .map(|(task, attempt, phase, cause)| AttemptStatus {
                task: task.to_string(),
                attempt: *attempt,
                phase: *phase,
                cause: *cause,
                saved: None,
            })
            .collect(),
    }
}

/// The seeds to simulate. The environment variable `SEEDS` contains either the number of seeds
/// or a range `FROM..TO`. Without this variable the seeds are `0..default_count`.
pub fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let requested = std::env::var("SEEDS").unwrap_or_default();
    match requested.split_once("..") {
        Some((from, to)) => from.parse().unwrap_or(0)..to.parse().unwrap_or(default_count),
        None => 0..requested.parse().unwrap_or(default_count),
    }
}

/// Whether the environment variable `SEEDS` contains a range. A range may be small or
/// arbitrary, so in this case the tests do not check how often certain situations occurred.
pub fn seed_range_is_given() -> bool {
    std::env::var("SEEDS").is_ok_and(|requested| requested.contains(".."))
}
