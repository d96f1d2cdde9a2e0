//! Tests of plans for hand-made and random shards.

mod support;

use foxspur::coordination::scheduler::snapshot::{
    ClassError, SnapJob, SnapMachine, SnapTask, Snapshot,
};
use foxspur::protocol::admin::RemainingWork;
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

/// A shard whose machine types are `small` and `large`.
fn shard(machines: Vec<SnapMachine>, jobs: Vec<SnapJob>) -> Snapshot {
    let types = vec![machine_type("small", 8.0), machine_type("large", 16.0)];
    support::snapshot(types, machines, jobs)
}

/// Places a task of the job on the machine, where it has run for `ran_s` seconds.
fn place_task(shard: &mut Snapshot, machine: usize, job: usize, index: u32, ran_s: f64) {
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

fn order(hosts: &[&str], deadline_s: Option<f64>, rest: RemainingWork) -> Order {
    Order {
        hosts: hosts.iter().map(std::string::ToString::to_string).collect(),
        deadline_s,
        rest,
        start_s: 0.0,
    }
}

fn small_options() -> Options {
    Options {
        samples: 20,
        horizon_s: 600.0,
        failures: false,
        ..Options::default()
    }
}

/// Guards against plans that predict the wrong effects of a drain. All cases use the same
/// machines; the job on the drained machine and the drain's deadline differ.
#[test]
fn drain_effects_depend_on_the_job() {
    let as_is = Case {
        name: "without a deadline the task runs to its end",
        change: |_| {},
        deadline_s: None,
        rest: RemainingWork::Leave,
        drained: true,
        moved: false,
        late: false,
    };
    let cases = [
        as_is,
        Case {
            name: "the task ends before the deadline",
            deadline_s: Some(400.0),
            ..as_is
        },
        Case {
            name: "the task would end after the deadline, so it is moved",
            deadline_s: Some(20.0),
            moved: true,
            ..as_is
        },
        Case {
            name: "moved, the job would miss its own deadline, so it stays",
            change: |s| s.jobs[0].spec.deadline_s = Some(140.0),
            deadline_s: Some(20.0),
            drained: false,
            ..as_is
        },
        Case {
            name: "the operator orders tasks to be stopped at the deadline",
            change: |s| s.jobs[0].spec.deadline_s = Some(140.0),
            deadline_s: Some(20.0),
            rest: RemainingWork::Stop,
            moved: true,
            late: true,
            ..as_is
        },
        Case {
            name: "a service never ends, so it is moved at once",
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
            name: "a job with checkpoints is moved",
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

/// A job on the machine to be drained, the order, and the expected results of the plan.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    change: fn(&mut Snapshot),
    deadline_s: Option<f64>,
    rest: RemainingWork,
    /// Whether the machine is drained in time.
    drained: bool,
    /// Whether the job is moved.
    moved: bool,
    /// Whether the job is late because of the drain.
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
        // Estimates are almost exact, so that run times do not decide the results.
        shard.errors = vec![ClassError {
            class: "class".into(),
            tasks: 100,
            ratios: vec![0.95, 1.0, 1.05],
        }];
        place_task(&mut shard, 0, 0, 0, 40.0);
        (self.change)(&mut shard);
        shard.jobs[0].age_s = 50.0;
        let order = order(&["m-0"], self.deadline_s, self.rest);
        let drain_plan = plan(&shard, &order, &small_options()).unwrap();
        let drained = drain_plan.hosts[0].overdue < 0.5;
        assert_eq!(drained, self.drained, "{name}: {:?}", drain_plan.hosts);
        let job = drain_plan.jobs.iter().find(|j| j.id == "run-0");
        let moved = job.is_some_and(|j| j.moved > 0.5);
        assert_eq!(moved, self.moved, "{name}: {job:?}");
        let late = job.is_some_and(|j| j.late_because > 0.5);
        assert_eq!(late, self.late, "{name}: {job:?}");
        assert_eq!(drain_plan.all.any_late > 0.5, self.late, "{name}");
    }
}

/// Guards against plans for machines whose tasks are unknown, and for fields with invalid
/// values.
#[test]
fn invalid_orders_are_rejected() {
    let mut shard = shard(
        vec![machine(0, "small"), machine(1, "small")],
        vec![job(0, 1, 10.0)],
    );
    shard.machines[1].alive = false;
    let plain = order(&["m-0"], None, RemainingWork::Leave);
    let cases = [
        (
            order(&[], None, RemainingWork::Leave),
            small_options(),
            PlanError::NoMachines,
        ),
        (
            order(&["m-9"], None, RemainingWork::Leave),
            small_options(),
            PlanError::UnknownMachine("m-9".into()),
        ),
        (
            order(&["m-1"], None, RemainingWork::Leave),
            small_options(),
            PlanError::SilentMachine("m-1".into()),
        ),
        (
            order(&["m-0"], Some(-1.0), RemainingWork::Leave),
            small_options(),
            PlanError::InvalidField("deadline", "must be above 0 s"),
        ),
        (
            plain.clone(),
            Options {
                samples: 0,
                ..small_options()
            },
            PlanError::InvalidField("samples", "must be from 1 to 10000"),
        ),
        (
            plain.clone(),
            Options {
                horizon_s: f64::NAN,
                ..small_options()
            },
            PlanError::InvalidField("horizon", "must be above 0 s and at most one day"),
        ),
        (
            Order {
                start_s: 700.0,
                ..plain
            },
            small_options(),
            PlanError::InvalidField(
                "start",
                "must be at least 0 s and, with the window, before the horizon",
            ),
        ),
    ];
    for (order, options, error) in cases {
        assert_eq!(plan(&shard, &order, &options), Err(error));
    }
}

/// Guards against plans that ignore the failure of another machine during the drain. After such
/// a failure, the drained machine's tasks find no free machine in time. The test also checks
/// the HTML report and the comparison with a later plan.
#[test]
fn failure_during_the_drain_is_reported() {
    let mut shard = shard(
        vec![
            machine(0, "small"),
            machine(1, "small"),
            machine(2, "small"),
        ],
        vec![job(0, 4, 100.0), job(1, 4, 100.0)],
    );
    for index in 0..4 {
        place_task(&mut shard, 0, 0, index, 5.0);
        place_task(&mut shard, 1, 1, index, 5.0);
    }
    for job in &mut shard.jobs {
        job.spec.deadline_s = Some(240.0);
    }
    let order = order(&["m-0"], Some(10.0), RemainingWork::Stop);
    let drain_plan = plan(
        &shard,
        &order,
        &Options {
            failures: true,
            ..small_options()
        },
    )
    .unwrap();
    assert_eq!(drain_plan.failures.len(), 2);
    let worst = drain_plan
        .failures
        .iter()
        .map(|variant| variant.late)
        .fold(0.0, f64::max);
    assert!(
        worst > drain_plan.all.late,
        "{:?} against {:?}",
        drain_plan.failures,
        drain_plan.all
    );
    let html = foxspur_plan::html::html(&drain_plan);
    assert!(
        html.matches("<svg").count() == 3 && !html.contains("no picture"),
        "{html}"
    );
    // A plan made from another state differs, and the difference names the new revision.
    assert_eq!(difference(&drain_plan, &drain_plan), Vec::<String>::new());
    shard.revision += 1;
    shard.jobs.push(job(2, 6, 300.0));
    let later = plan(&shard, &order, &small_options()).unwrap();
    assert!(difference(&drain_plan, &later)[0].contains("100 became 101"));
}

/// Random input for a shard, a drain and a simulation.
#[derive(Debug, Clone)]
struct RandomShard {
    /// For each machine, whether it is large.
    machines: Vec<bool>,
    /// For each job: tasks, estimate in seconds, variant of the specification, deadline in
    /// seconds.
    jobs: Vec<(u32, f64, u8, Option<f64>)>,
    /// Tasks on machines: machine, job, index, elapsed run time in seconds.
    placed: Vec<(usize, usize, u32, f64)>,
    /// The team's CPU limit; 0 for none.
    limit: f64,
    drained: usize,
    deadline_s: Option<f64>,
    stop: bool,
    seed: u64,
}

fn random_shard() -> impl Strategy<Value = RandomShard> {
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
            |(machines, jobs, placed, limit, (drained, deadline_s, stop, seed))| RandomShard {
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

/// Builds the shard. Leaves out placements that would violate the team's limit or a constraint,
/// or that would place a task twice.
fn build_shard(input: &RandomShard) -> Snapshot {
    let machines = input.machines.iter().enumerate();
    let machines = machines.map(|(n, large)| machine(n, if *large { "large" } else { "small" }));
    let jobs =
        input
            .jobs
            .iter()
            .enumerate()
            .map(|(n, (tasks, estimate_s, variant, deadline_s))| {
                let mut job = job(n, *tasks, *estimate_s);
                job.spec.deadline_s = *deadline_s;
                match variant {
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
    shard.teams[0].cpus_max = input.limit;
    let mut used_cpus = 0.0;
    for (machine, job, index, ran_s) in &input.placed {
        let (machine, job) = (machine % shard.machines.len(), job % shard.jobs.len());
        let spec = shard.jobs[job].spec.clone();
        let info = &shard.machines[machine].info;
        let placed = shard.machines.iter().flat_map(|m| &m.tasks);
        let twice = placed
            .clone()
            .any(|task| task.job == spec.id && task.index == *index);
        let full = shard.machines[machine].tasks.len() >= 4 || *index >= spec.tasks;
        let types = spec.types.as_ref();
        let forbidden = types.is_some_and(|types| !types.contains(&info.kind))
            || spec.zone.as_ref().is_some_and(|zone| *zone != info.zone)
            || spec.one_zone
            || spec.spread;
        used_cpus += spec.cpus;
        if twice || full || forbidden || input.limit > 0.0 && used_cpus > input.limit {
            used_cpus -= spec.cpus;
            continue;
        }
        place_task(&mut shard, machine, job, *index, *ran_s);
    }
    shard
}

/// Completion time and number of starts of each job, by id.
fn job_results(outcome: &Outcome) -> Vec<(String, Option<f64>, u32)> {
    let mut results: Vec<_> = outcome
        .jobs
        .iter()
        .map(|(id, job)| (id.clone(), job.done_s, job.starts))
        .collect();
    results.sort_by(|a, b| a.0.cmp(&b.0));
    results
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Guards against simulations that violate the scheduler's rules or are not reproducible.
    /// For any shard, no start violates a rule, with the drain or without. No task starts on
    /// the draining machine, and the same simulation gives the same result again. Ordering a
    /// drain that already exists changes nothing.
    #[test]
    fn simulations_violate_no_rule(input in random_shard()) {
        let mut shard = build_shard(&input);
        let host = format!("m-{}", input.drained % input.machines.len());
        let rest = if input.stop { RemainingWork::Stop } else { RemainingWork::Leave };
        let mut scenario = Scenario { horizon_s: 400.0, ..Scenario::default() };
        let without = run(&shard, &scenario, input.seed);
        scenario.drains = vec![(0.0, drain(&host, input.deadline_s, rest))];
        let with = run(&shard, &scenario, input.seed);
        prop_assert_eq!(&without.violations, &Vec::<String>::new());
        prop_assert_eq!(&with.violations, &Vec::<String>::new());
        let forbidden = with.starts.iter().find(|start| start.machine == host && start.at_s > 0.0);
        prop_assert!(forbidden.is_none(), "{forbidden:?} on the draining machine");
        prop_assert_eq!(job_results(&with), job_results(&run(&shard, &scenario, input.seed)));
        // The machine is already being drained: ordering the same drain again has no effect.
        shard.drains = vec![drain(&host, input.deadline_s, rest)];
        let no_order = Scenario { drains: Vec::new(), ..scenario.clone() };
        let existing = run(&shard, &no_order, input.seed);
        let again = run(&shard, &scenario, input.seed);
        prop_assert_eq!(job_results(&existing), job_results(&again));
    }
}
