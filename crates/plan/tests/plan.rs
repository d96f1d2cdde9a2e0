//! Plans of shards that are random or made for a case.

mod support;

use foxspur::coordination::scheduler::snapshot::{
    ClassError, SnapJob, SnapMachine, SnapTask, Snapshot,
};
use foxspur::protocol::admin::Rest;
use foxspur::protocol::job::{Shape, Urgency};
use foxspur_plan::scenario::{Outcome, Scenario};
use foxspur_plan::simulation::run;
use foxspur_plan::{difference, plan, Options, Order, PlanError};
use proptest::prelude::*;
use support::{drain, machine_type, spec};

fn job(number: usize, tasks: u32, estimate_s: f64) -> SnapJob {
    support::job(spec(number, "class", tasks, estimate_s))
}

fn machine(number: usize, kind: &str) -> SnapMachine {
    let zone = if number.is_multiple_of(2) { "a" } else { "b" };
    support::machine(format!("m-{number}"), kind, zone)
}

/// A shard with small and large machines.
fn shard(machines: Vec<SnapMachine>, jobs: Vec<SnapJob>) -> Snapshot {
    let types = vec![machine_type("small", 8.0), machine_type("large", 16.0)];
    support::snapshot(types, machines, jobs)
}

/// Puts a task of the job on the machine.
fn on(shard: &mut Snapshot, machine: usize, job: usize, index: u32, ran_s: f64) {
    let attempt = 1 + shard
        .machines
        .iter()
        .map(|m| m.tasks.len() as u64)
        .sum::<u64>();
    shard.machines[machine].tasks.push(SnapTask {
        job: shard.jobs[job].spec.id.clone(),
        index,
        attempt,
        ran_s: Some(ran_s),
    });
}

fn order(hosts: &[&str], deadline_s: Option<f64>, rest: Rest) -> Order {
    Order {
        hosts: hosts.iter().map(std::string::ToString::to_string).collect(),
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

/// Guards against a plan that does not say what a drain costs: the same two
/// machines, and what differs is the job that one of them runs.
#[test]
fn what_runs_on_the_machine_decides() {
    let as_is = Case {
        name: "it ends by itself",
        change: |_| {},
        deadline_s: None,
        rest: Rest::Leave,
        drained: true,
        moved: false,
        late: false,
    };
    let cases = [
        as_is,
        Case {
            name: "it ends in time",
            deadline_s: Some(400.0),
            ..as_is
        },
        Case {
            name: "it would not, so it moves",
            deadline_s: Some(20.0),
            moved: true,
            ..as_is
        },
        Case {
            name: "moved it would miss its deadline, so it stays",
            change: |s| s.jobs[0].spec.deadline_s = Some(140.0),
            deadline_s: Some(20.0),
            drained: false,
            ..as_is
        },
        Case {
            name: "the operator said so",
            change: |s| s.jobs[0].spec.deadline_s = Some(140.0),
            deadline_s: Some(20.0),
            rest: Rest::Stop,
            moved: true,
            late: true,
            ..as_is
        },
        Case {
            name: "a replica never ends, so it moves at once",
            change: |s| s.jobs[0].spec.shape = Shape::Service,
            moved: true,
            ..as_is
        },
        Case {
            name: "no other machine may run it",
            change: |s| s.jobs[0].spec.types = Some(vec!["large".into()]),
            deadline_s: Some(20.0),
            drained: false,
            ..as_is
        },
        Case {
            name: "what has checkpoints loses little",
            change: |s| {
                s.jobs[0].spec.checkpoint_s = 10.0;
                s.jobs[0].spec.save_s = 2.0;
            },
            deadline_s: Some(20.0),
            moved: true,
            ..as_is
        },
    ];
    for case in &cases {
        case.check();
    }
}

/// A job on the machine to be drained, the order, and what is expected of the plan.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    change: fn(&mut Snapshot),
    deadline_s: Option<f64>,
    rest: Rest,
    /// The machine is drained in time.
    drained: bool,
    /// The job is moved.
    moved: bool,
    /// The job is late because of the drain.
    late: bool,
}

impl Case {
    fn check(&self) {
        let name = self.name;
        let machines = vec![
            machine(0, "large"),
            machine(1, "small"),
            machine(2, "small"),
        ];
        let mut shard = shard(machines, vec![job(0, 1, 100.0)]);
        // Estimates are nearly right here, so that the case decides.
        shard.errors = vec![ClassError {
            class: "class".into(),
            tasks: 100,
            ratios: vec![0.95, 1.0, 1.05],
        }];
        on(&mut shard, 0, 0, 0, 40.0);
        (self.change)(&mut shard);
        shard.jobs[0].age_s = 50.0;
        let order = order(&["m-0"], self.deadline_s, self.rest);
        let made = plan(&shard, &order, &few()).unwrap();
        let drained = made.hosts[0].overdue < 0.5;
        assert_eq!(drained, self.drained, "{name}: {:?}", made.hosts);
        let job = made.jobs.iter().find(|j| j.id == "run-0");
        let moved = job.is_some_and(|j| j.moved > 0.5);
        assert_eq!(moved, self.moved, "{name}: {job:?}");
        let late = job.is_some_and(|j| j.late_because > 0.5);
        assert_eq!(late, self.late, "{name}: {job:?}");
        assert_eq!(made.all.any_late > 0.5, self.late, "{name}");
    }
}

/// Guards against plans that speak of a machine they know nothing about, and
/// against fields that make no sense.
#[test]
fn orders_that_cannot_be_planned() {
    let mut shard = shard(
        vec![machine(0, "small"), machine(1, "small")],
        vec![job(0, 1, 10.0)],
    );
    shard.machines[1].alive = false;
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
        assert_eq!(plan(&shard, &order, &options), Err(error));
    }
}

/// Guards against a second failure that the plan does not see: with it, the work
/// of the drained machine has nowhere to go in time.
#[test]
fn a_second_failure_is_named() {
    let mut shard = shard(
        vec![
            machine(0, "small"),
            machine(1, "small"),
            machine(2, "small"),
        ],
        vec![job(0, 4, 100.0), job(1, 4, 100.0)],
    );
    for index in 0..4 {
        on(&mut shard, 0, 0, index, 5.0);
        on(&mut shard, 1, 1, index, 5.0);
    }
    for job in &mut shard.jobs {
        job.spec.deadline_s = Some(240.0);
    }
    let order = order(&["m-0"], Some(10.0), Rest::Stop);
    let made = plan(
        &shard,
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
    shard.revision += 1;
    shard.jobs.push(job(2, 6, 300.0));
    let later = plan(&shard, &order, &few()).unwrap();
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

/// The shard that was drawn: within its limits, each task in one place.
fn drawn_shard(d: &Drawn) -> Snapshot {
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
    let mut shard = shard(machines.collect(), jobs.collect());
    shard.teams[0].cpus_max = d.limit;
    let mut used = 0.0;
    for (m, j, index, ran_s) in &d.placed {
        let (m, j) = (m % shard.machines.len(), j % shard.jobs.len());
        let spec = shard.jobs[j].spec.clone();
        let info = &shard.machines[m].info;
        let taken = shard.machines.iter().flat_map(|m| &m.tasks);
        let twice = taken.clone().any(|t| t.job == spec.id && t.index == *index);
        let full = shard.machines[m].tasks.len() >= 4 || *index >= spec.tasks;
        let wrong = spec.types.as_ref().is_some_and(|t| !t.contains(&info.kind))
            || spec.zone.as_ref().is_some_and(|z| *z != info.zone)
            || spec.one_zone
            || spec.spread;
        used += spec.cpus;
        if twice || full || wrong || d.limit > 0.0 && used > d.limit {
            used -= spec.cpus;
            continue;
        }
        on(&mut shard, m, j, *index, *ran_s);
    }
    shard
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

    /// For any shard: no start that the rules forbid, with the drain or without,
    /// nothing new on the drained machine, the same twice; and a drain of nothing,
    /// or of a machine that is drained already, changes nothing.
    #[test]
    fn a_plan_never_breaks_a_rule(d in drawn()) {
        let mut shard = drawn_shard(&d);
        let host = format!("m-{}", d.drained % d.machines.len());
        let rest = if d.stop { Rest::Stop } else { Rest::Leave };
        let mut scenario = Scenario { horizon_s: 400.0, ..Scenario::default() };
        let without = run(&shard, &scenario, d.seed);
        scenario.drains = vec![(0.0, drain(&host, d.deadline_s, rest))];
        let with = run(&shard, &scenario, d.seed);
        prop_assert_eq!(&without.violations, &Vec::<String>::new());
        prop_assert_eq!(&with.violations, &Vec::<String>::new());
        let late = with.starts.iter().find(|s| s.machine == host && s.at_s > 0.0);
        prop_assert!(late.is_none(), "{late:?} on the drained machine");
        prop_assert_eq!(ends(&with), ends(&run(&shard, &scenario, d.seed)));
        // It is drained already: the same order again is no news.
        shard.drains = vec![drain(&host, d.deadline_s, rest)];
        let known = run(&shard, &Scenario { drains: Vec::new(), ..scenario.clone() }, d.seed);
        let again = run(&shard, &scenario, d.seed);
        prop_assert_eq!(ends(&known), ends(&again));
    }
}
