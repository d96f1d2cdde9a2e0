//! Plans of shares that are drawn or made for a case.

use foxspur::coordination::scheduler::snapshot::{SnapJob, SnapMachine, SnapTask, Snapshot};
use foxspur::protocol::admin::{Drain, Rest};
use foxspur::protocol::cloud::MachineType;
use foxspur::protocol::job::{JobSpec, Shape, Urgency};
use foxspur::protocol::policy::Policy;
use foxspur::protocol::settings::Team;
use foxspur::storage::records::MachineInfo;
use foxspur_plan::scenario::{Outcome, Scenario};
use foxspur_plan::simulation::run;
use foxspur_plan::{difference, plan, Options, Order, PlanError};
use proptest::prelude::*;

fn kind(name: &str, cpus: f64) -> MachineType {
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

fn job(n: usize, tasks: u32, estimate_s: f64) -> SnapJob {
    SnapJob {
        spec: JobSpec {
            id: format!("run-{n}"),
            class: "class".into(),
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
        },
        age_s: 0.0,
        done: String::new(),
    }
}

fn machine(n: usize, kind: &str) -> SnapMachine {
    SnapMachine {
        info: MachineInfo {
            id: format!("m-{n}"),
            addr: "127.0.0.1:1".into(),
            kind: kind.into(),
            zone: if n.is_multiple_of(2) { "a" } else { "b" }.into(),
            spot: false,
        },
        alive: true,
        session: 1,
        tasks: Vec::new(),
    }
}

fn share(machines: Vec<SnapMachine>, jobs: Vec<SnapJob>) -> Snapshot {
    Snapshot {
        term: 7,
        revision: 100,
        at_ms: 1_000_000,
        report_s: 1.0,
        lease_s: 10.0,
        cancel_s: 40.0,
        teams: vec![Team {
            name: "t".into(),
            cpus: 0.0,
            cpus_max: 0.0,
            gpus: 0.0,
            gpus_max: 0.0,
        }],
        objectives: Vec::new(),
        policy: Policy::default(),
        types: vec![kind("small", 8.0), kind("large", 16.0)],
        machines,
        jobs,
        errors: Vec::new(),
        drains: Vec::new(),
    }
}

/// Puts a task of the job on the machine.
fn on(share: &mut Snapshot, machine: usize, job: usize, index: u32, ran_s: f64) {
    let attempt = 1 + share
        .machines
        .iter()
        .map(|m| m.tasks.len() as u64)
        .sum::<u64>();
    share.machines[machine].tasks.push(SnapTask {
        job: share.jobs[job].spec.id.clone(),
        index,
        attempt,
        ran_s: Some(ran_s),
    });
}

fn order(hosts: &[&str], deadline_s: Option<f64>, rest: Rest) -> Order {
    Order {
        hosts: hosts.iter().map(|h| h.to_string()).collect(),
        deadline_s,
        rest,
        start_s: 0.0,
    }
}

fn few() -> Options {
    Options {
        samples: 20,
        horizon_s: 600.0,
        failures: false,
        ..Options::default()
    }
}

fn drain(host: &str, deadline_s: Option<f64>, rest: Rest) -> Drain {
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

/// Guards against a plan that does not say what a drain costs: the same two
/// machines, and what differs is the job that one of them runs.
#[test]
fn what_runs_on_the_machine_decides() {
    type Change = fn(&mut Snapshot);
    // Deadline, rest; drained in time?, moved?, late because of it?
    type Case = (&'static str, Change, Option<f64>, Rest, (bool, bool, bool));
    let cases: [Case; 8] = [
        (
            "it ends by itself",
            |_| {},
            None,
            Rest::Leave,
            (true, false, false),
        ),
        (
            "it ends in time",
            |_| {},
            Some(400.0),
            Rest::Leave,
            (true, false, false),
        ),
        (
            "it would not, so it moves",
            |_| {},
            Some(20.0),
            Rest::Leave,
            (true, true, false),
        ),
        (
            "moved it would miss its deadline, so it stays",
            |s| s.jobs[0].spec.deadline_s = Some(140.0),
            Some(20.0),
            Rest::Leave,
            (false, false, false),
        ),
        (
            "the operator said so",
            |s| s.jobs[0].spec.deadline_s = Some(140.0),
            Some(20.0),
            Rest::Stop,
            (true, true, true),
        ),
        (
            "a replica never ends, so it moves at once",
            |s| s.jobs[0].spec.shape = Shape::Service,
            None,
            Rest::Leave,
            (true, true, false),
        ),
        (
            "no other machine may run it",
            |s| s.jobs[0].spec.types = Some(vec!["large".into()]),
            Some(20.0),
            Rest::Leave,
            (false, false, false),
        ),
        (
            "what saves loses little",
            |s| {
                s.jobs[0].spec.checkpoint_s = 10.0;
                s.jobs[0].spec.save_s = 2.0;
            },
            Some(20.0),
            Rest::Leave,
            (true, true, false),
        ),
    ];
    for (name, change, deadline_s, rest, (drained, moved, late)) in cases {
        let machines = vec![
            machine(0, "large"),
            machine(1, "small"),
            machine(2, "small"),
        ];
        let mut share = share(machines, vec![job(0, 1, 100.0)]);
        // Estimates are nearly right here, so that the case decides.
        share.errors = vec![foxspur::coordination::scheduler::snapshot::ClassError {
            class: "class".into(),
            tasks: 100,
            ratios: vec![0.95, 1.0, 1.05],
        }];
        on(&mut share, 0, 0, 0, 40.0);
        change(&mut share);
        share.jobs[0].age_s = 50.0;
        let made = plan(&share, &order(&["m-0"], deadline_s, rest), &few()).unwrap();
        assert_eq!(
            made.hosts[0].overdue < 0.5,
            drained,
            "{name}: {:?}",
            made.hosts
        );
        let job = made.jobs.iter().find(|j| j.id == "run-0");
        assert_eq!(job.is_some_and(|j| j.moved > 0.5), moved, "{name}: {job:?}");
        assert_eq!(
            job.is_some_and(|j| j.late_because > 0.5),
            late,
            "{name}: {job:?}"
        );
        assert_eq!(made.all.any_late > 0.5, late, "{name}");
    }
}

/// Guards against plans that speak of a machine they know nothing about, and
/// against fields that make no sense.
#[test]
fn orders_that_cannot_be_planned() {
    let mut share = share(
        vec![machine(0, "small"), machine(1, "small")],
        vec![job(0, 1, 10.0)],
    );
    share.machines[1].alive = false;
    let plain = order(&["m-0"], None, Rest::Leave);
    let cases = [
        (order(&[], None, Rest::Leave), few(), PlanError::Nothing),
        (
            order(&["m-9"], None, Rest::Leave),
            few(),
            PlanError::Unknown("m-9".into()),
        ),
        (
            order(&["m-1"], None, Rest::Leave),
            few(),
            PlanError::Silent("m-1".into()),
        ),
        (
            order(&["m-0"], Some(-1.0), Rest::Leave),
            few(),
            PlanError::Field("deadline", "is not above 0"),
        ),
        (
            plain.clone(),
            Options {
                samples: 0,
                ..few()
            },
            PlanError::Field("samples", "is not within 1 and 10000"),
        ),
        (
            plain.clone(),
            Options {
                horizon_s: f64::NAN,
                ..few()
            },
            PlanError::Field("horizon", "is not within 0 and a day"),
        ),
        (
            Order {
                start_s: 700.0,
                ..plain
            },
            few(),
            PlanError::Field("start", "is not within the horizon"),
        ),
    ];
    for (order, options, error) in cases {
        assert_eq!(plan(&share, &order, &options), Err(error));
    }
}

/// Guards against a second failure that the plan does not see: with it, the work
/// of the drained machine has nowhere to go in time.
#[test]
fn a_second_failure_is_named() {
    let mut share = share(
        vec![
            machine(0, "small"),
            machine(1, "small"),
            machine(2, "small"),
        ],
        vec![job(0, 4, 100.0), job(1, 4, 100.0)],
    );
    for index in 0..4 {
        on(&mut share, 0, 0, index, 5.0);
        on(&mut share, 1, 1, index, 5.0);
    }
    for job in &mut share.jobs {
        job.spec.deadline_s = Some(240.0);
    }
    let order = order(&["m-0"], Some(10.0), Rest::Stop);
    let made = plan(
        &share,
        &order,
        &Options {
            failures: true,
            ..few()
        },
    )
    .unwrap();
    assert_eq!(made.failures.len(), 2);
    let worst = made.failures.iter().map(|f| f.late).fold(0.0, f64::max);
    assert!(
        worst > made.all.late,
        "{:?} against {:?}",
        made.failures,
        made.all
    );
    let html = foxspur_plan::html::html(&made);
    assert!(
        html.matches("<svg").count() == 3 && !html.contains("no picture"),
        "{html}"
    );
    // What is named of another state is another plan, and the difference is told.
    assert_eq!(difference(&made, &made), Vec::<String>::new());
    share.revision += 1;
    share.jobs.push(job(2, 6, 300.0));
    let later = plan(&share, &order, &few()).unwrap();
    assert!(difference(&made, &later)[0].contains("100 became 101"));
}

#[derive(Debug, Clone)]
struct Drawn {
    machines: Vec<bool>,
    jobs: Vec<(u32, f64, u8, Option<f64>)>,
    placed: Vec<(usize, usize, u32, f64)>,
    limit: f64,
    drained: usize,
    deadline_s: Option<f64>,
    stop: bool,
    seed: u64,
}

fn drawn() -> impl Strategy<Value = Drawn> {
    let job = (
        1u32..6,
        5.0..200.0,
        0u8..8,
        proptest::option::of(50.0..600.0),
    );
    (
        proptest::collection::vec(any::<bool>(), 2..12),
        proptest::collection::vec(job, 1..12),
        proptest::collection::vec((0usize..12, 0usize..12, 0u32..6, 0.0..100.0), 0..20),
        prop_oneof![Just(0.0), 8.0..60.0],
        (
            0usize..12,
            proptest::option::of(5.0..200.0),
            any::<bool>(),
            any::<u64>(),
        ),
    )
        .prop_map(
            |(machines, jobs, placed, limit, (drained, deadline_s, stop, seed))| Drawn {
                machines,
                jobs,
                placed,
                limit,
                drained,
                deadline_s,
                stop,
                seed,
            },
        )
}

/// The share that was drawn: within its limits, each task in one place.
fn shared(d: &Drawn) -> Snapshot {
    let machines = d.machines.iter().enumerate();
    let machines = machines.map(|(n, large)| machine(n, if *large { "large" } else { "small" }));
    let jobs = d
        .jobs
        .iter()
        .enumerate()
        .map(|(n, (tasks, estimate_s, shape, deadline_s))| {
            let mut job = job(n, *tasks, *estimate_s);
            job.spec.deadline_s = *deadline_s;
            match shape {
                0 => job.spec.shape = Shape::Service,
                1 => job.spec.types = Some(vec!["large".into()]),
                2 => job.spec.zone = Some("a".into()),
                3 => (job.spec.checkpoint_s, job.spec.save_s) = (20.0, 3.0),
                4 => job.spec.urgency = Urgency::High,
                5 => job.spec.one_zone = true,
                6 => job.spec.spread = true,
                _ => {}
            }
            job
        });
    let mut share = share(machines.collect(), jobs.collect());
    share.teams[0].cpus_max = d.limit;
    let mut used = 0.0;
    for (m, j, index, ran_s) in &d.placed {
        let (m, j) = (m % share.machines.len(), j % share.jobs.len());
        let spec = share.jobs[j].spec.clone();
        let info = &share.machines[m].info;
        let taken = share.machines.iter().flat_map(|m| &m.tasks);
        let twice = taken.clone().any(|t| t.job == spec.id && t.index == *index);
        let full = share.machines[m].tasks.len() >= 4 || *index >= spec.tasks;
        let wrong = spec.types.as_ref().is_some_and(|t| !t.contains(&info.kind))
            || spec.zone.as_ref().is_some_and(|z| *z != info.zone)
            || spec.one_zone
            || spec.spread;
        used += spec.cpus;
        if twice || full || wrong || d.limit > 0.0 && used > d.limit {
            used -= spec.cpus;
            continue;
        }
        on(&mut share, m, j, *index, *ran_s);
    }
    share
}

fn ends(outcome: &Outcome) -> Vec<(String, Option<f64>, u32)> {
    let mut ends: Vec<_> = outcome
        .jobs
        .iter()
        .map(|(id, e)| (id.clone(), e.done_s, e.starts))
        .collect();
    ends.sort_by(|a, b| a.0.cmp(&b.0));
    ends
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// For any share: no start that the rules forbid, with the drain or without,
    /// nothing new on the drained machine, the same twice; and a drain of nothing,
    /// or of a machine that is drained already, changes nothing.
    #[test]
    fn a_plan_never_breaks_a_rule(d in drawn()) {
        let mut share = shared(&d);
        let host = format!("m-{}", d.drained % d.machines.len());
        let rest = if d.stop { Rest::Stop } else { Rest::Leave };
        let mut scenario = Scenario { horizon_s: 400.0, ..Scenario::default() };
        let without = run(&share, &scenario, d.seed);
        scenario.drains = vec![(0.0, drain(&host, d.deadline_s, rest))];
        let with = run(&share, &scenario, d.seed);
        prop_assert_eq!(&without.violations, &Vec::<String>::new());
        prop_assert_eq!(&with.violations, &Vec::<String>::new());
        let late = with.starts.iter().find(|s| s.machine == host && s.at_s > 0.0);
        prop_assert!(late.is_none(), "{late:?} on the drained machine");
        prop_assert_eq!(ends(&with), ends(&run(&share, &scenario, d.seed)));
        // It is drained already: the same order again is no news.
        share.drains = vec![drain(&host, d.deadline_s, rest)];
        let known = run(&share, &Scenario { drains: Vec::new(), ..scenario.clone() }, d.seed);
        let again = run(&share, &scenario, d.seed);
        prop_assert_eq!(ends(&known), ends(&again));
    }
}
