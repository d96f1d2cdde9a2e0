//! Stand-ins shared by the tests.
#![allow(dead_code)]

use foxspur::coordination::core::{Core, Params};
use foxspur::coordination::fence::Fence;
use foxspur::protocol::cloud::MachineType;
use foxspur::protocol::job::{JobSpec, Shape, Urgency};
use foxspur::protocol::policy::Policy;
use foxspur::protocol::settings::Team;
use foxspur::protocol::worker::{Cause, Phase, Report, Shown};
use foxspur::storage::marks::Marks;
use foxspur::storage::records::{LiveJob, MachineInfo};

pub const LEASE_S: f64 = 10.0;
pub const CANCEL_S: f64 = 40.0;

pub fn team(name: &str, cpus: f64, cpus_max: f64) -> Team {
    Team {
        name: name.into(),
        cpus,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    }
}

pub fn params(teams: Vec<Team>) -> Params {
    Params {
        lease_s: LEASE_S,
        report_s: 1.0,
        cancel_s: CANCEL_S,
        round_s: 30.0,
        teams,
        objectives: Vec::new(),
        policy: Policy::default(),
    }
}

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

pub fn live(spec: JobSpec, at_s: f64) -> LiveJob {
    LiveJob {
        spec: spec.into(),
        at_ms: (at_s * 1000.0) as u64,
        done: String::new(),
    }
}

pub fn machine(id: &str, zone: &str, spot: bool) -> MachineInfo {
    MachineInfo {
        id: id.into(),
        addr: "127.0.0.1:1".into(),
        kind: "small".into(),
        zone: zone.into(),
        spot,
    }
}

/// A core with these machines in its record, none of them fenced yet.
pub fn core(teams: Vec<Team>, term: u64, machines: &[&str]) -> Core {
    let mut core = Core::new(params(teams), term, Fence::new(term, Some(0.0)), 7);
    core.set_types(&types());
    for id in machines {
        core.inherit(machine(id, "a", false), 0.0);
    }
    core
}

pub fn add(core: &mut Core, spec: JobSpec, at_s: f64) {
    core.job_added(live(spec, at_s), 1, Marks::default());
}

/// A report; tasks as (name, attempt, phase, cause).
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
            .map(|(task, attempt, phase, cause)| Shown {
                task: task.to_string(),
                attempt: *attempt,
                phase: *phase,
                cause: *cause,
                saved: None,
            })
            .collect(),
    }
}
