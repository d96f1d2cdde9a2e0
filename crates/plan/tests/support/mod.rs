//! Snapshots for tests and examples. Each of them uses only some of these functions.
#![allow(dead_code)]

use foxspur::coordination::scheduler::snapshot::{SnapJob, SnapMachine, Snapshot};
use foxspur::protocol::admin::{Drain, RemainingWork};
use foxspur::protocol::cloud::MachineType;
use foxspur::protocol::job::{JobSpec, Shape, Urgency};
use foxspur::protocol::policy::Policy;
use foxspur::protocol::settings::Team;
use foxspur::storage::records::MachineInfo;

/// A job whose tasks need two CPUs each.
pub fn spec(number: usize, class: &str, tasks: u32, estimate_s: f64) -> JobSpec {
    JobSpec {
        id: format!("run-{number}"),
        class: class.into(),
        team: "t".into(),
        shape: Shape::Sweep,
        urgency: Urgency::Standard,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// A job that has just been accepted.
pub fn job(spec: JobSpec) -> SnapJob {
    SnapJob {
        spec,
        age_s: 0.0,
        done: String::new(),
    }
}

/// An on-demand machine without tasks.
pub fn machine(name: String, kind: &str, zone: &str) -> SnapMachine {
    SnapMachine {
        info: MachineInfo {
            id: name,
            addr: "127.0.0.1:1".into(),
            kind: kind.into(),
            zone: zone.into(),
            spot: false,
        },
        alive: true,
        session: 1,
        tasks: Vec::new(),
    }
}

/// A machine type that is available in zones `a` and `b`.
pub fn machine_type(name: &str, cpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: 4.0 * cpus,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 20.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// A team with a guarantee and a limit of CPUs; 0 means none.
pub fn team(name: &str, cpus: f64, cpus_max: f64) -> Team {
    Team {
        name: name.into(),
        cpus,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    }
}

/// A shard with one team, `t`, without limits.
pub fn snapshot(
    types: Vec<MachineType>,
    machines: Vec<SnapMachine>,
    jobs: Vec<SnapJob>,
) -> Snapshot {
    Snapshot {
        term: 7,
        revision: 100,
        at_ms: 1_000_000,
        report_s: 1.0,
        lease_s: 10.0,
        cancel_s: 40.0,
        teams: vec![team("t", 0.0, 0.0)],
        objectives: Vec::new(),
        policy: Policy::default(),
        types,
        machines,
        jobs,
        errors: Vec::new(),
        drains: Vec::new(),
    }
}

/// A drain that is ordered when the snapshot is taken.
pub fn drain(host: &str, deadline_s: Option<f64>, rest: RemainingWork) -> Drain {
    Drain {
        host: host.into(),
        order: "o".into(),
        by: "someone".into(),
        why: "a test".into(),
        at_ms: 0,
        deadline_ms: deadline_s.map(|s| (s * 1000.0) as u64),
        rest,
        drained: None,
        roll: None,
    }
}
