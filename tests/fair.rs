//! Tests of underserved groups, of queue places, which reserve no capacity, and of the conditions
//! and the maximum number of preemptions.

mod common;

use common::*;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::fair_share::{FairShare, FairShareGroup};
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::Urgency;
use foxspur::protocol::policy::Policy;
use foxspur::protocol::settings::Objective;
use foxspur::protocol::worker::{Cause, Command, Phase};

/// A task as a heartbeat reports it: its name, attempt number, phase and cause of exit, if any.
type ReportedTask<'a> = (&'a str, u64, Phase, Option<Cause>);

/// An attempt that a command starts: the name of the task and the number of the attempt.
type StartedAttempt = (String, u64);

/// The commands in the reply to a heartbeat.
struct Reply {
    starts: Vec<StartedAttempt>,
    /// How many attempts are to be stopped.
    stops: usize,
}

/// Delivers a heartbeat of the machine that reports these tasks, and returns the reply.
fn heartbeat(
    scheduler: &mut Scheduler,
    machine: &str,
    seq: u64,
    tasks: &[ReportedTask],
    now: f64,
) -> Reply {
    let report = report(machine, 1, seq, 5, tasks);
    let HeartbeatReply::Commands(heartbeat_reply) = scheduler.handle_heartbeat(&report, now) else {
        panic!("the heartbeat of {machine} was not answered");
    };
    let mut reply = Reply {
        starts: Vec::new(),
        stops: 0,
    };
    for command in heartbeat_reply.commands {
        match command {
            Command::Start { task, attempt } => reply.starts.push((task, attempt)),
            Command::Stop { .. } => reply.stops += 1,
            _ => {}
        }
    }
    reply
}

/// The attempts, as a heartbeat reports them while they run.
fn reported_running(started: &[StartedAttempt]) -> Vec<ReportedTask<'_>> {
    let attempts = started.iter();
    attempts
        .map(|(task, attempt)| (task.as_str(), *attempt, Phase::Running, None))
        .collect()
}

/// The attempts, as a heartbeat reports them after their exit.
fn reported_exited(started: &[StartedAttempt], cause: Cause) -> Vec<ReportedTask<'_>> {
    let attempts = started.iter();
    attempts
        .map(|(task, attempt)| (task.as_str(), *attempt, Phase::Exited, Some(cause)))
        .collect()
}

/// A scheduler with one team that has neither a guarantee nor a limit.
fn unlimited_scheduler(machines: &[&str]) -> Scheduler {
    scheduler(vec![team("t", 0.0, 0.0)], 5, machines)
}

/// The objective that jobs of the class finish within `within_s` seconds.
fn finished_within(class: &str, within_s: f64) -> Objective {
    Objective {
        kind: "finished".into(),
        class: Some(class.into()),
        within_s: Some(within_s),
        ..Objective::default()
    }
}

/// A group becomes underserved when too many of its jobs miss their objectives, and stays
/// underserved until enough of its jobs meet their objectives again.
#[test]
fn a_group_is_underserved_until_it_recovers() {
    // Name of the case, the outcomes of a class in order (objective met, count), and whether the
    // class is underserved after them.
    type Case = (&'static str, &'static [(bool, usize)], bool);
    let cases: [Case; 5] = [
        ("no outcomes", &[], false),
        ("a few missed", &[(false, 4)], false),
        ("many missed", &[(false, 10)], true),
        ("not yet recovered", &[(false, 10), (true, 6)], true),
        ("recovered", &[(false, 10), (true, 24)], false),
    ];
    for (name, outcomes, expected) in cases {
        let (class, other) = (FairShareGroup::Class("c".into()), FairShareGroup::Team(0));
        let mut fair = FairShare::default();
        for &(met, count) in outcomes {
            for _ in 0..count {
                fair.record_outcome(&class, met);
                fair.record_outcome(&other, true);
            }
        }
        let underserved = fair.underserved();
        assert_eq!(
            underserved.contains(&&class),
            expected,
            "{name}: a fraction of {} met the objective",
            fair.fraction_met(&class)
        );
        assert!(!underserved.contains(&&other), "{name}");
    }
}

/// Guards against unbounded memory use: users choose the names of classes, so the number of
/// classes is not limited.
#[test]
fn classes_beyond_the_bound_are_not_tracked() {
    let mut fair = FairShare::default();
    for n in 0..2000 {
        for _ in 0..10 {
            fair.record_outcome(&FairShareGroup::Class(format!("c-{n}")), false);
        }
    }
    assert_eq!(fair.underserved().len(), 1024);
}

/// Guards against a class that stays starved after a takeover. The new leader has recorded no
/// outcomes, but it knows the ages of the jobs, so the class must be underserved from the new
/// leader's first pass on.
#[test]
fn a_class_that_starved_before_a_takeover_is_underserved_at_once() {
    for (age_s, expected) in [(10.0, false), (90.0, true)] {
        let mut scheduler = unlimited_scheduler(&["m1"]);
        scheduler.config.objectives = vec![finished_within("class", 100.0)];
        for n in 0..12 {
            let job = spec(&format!("run-{n}"), "t", Urgency::Idle, 4, 8.0);
            add(&mut scheduler, job, 0.0);
        }
        heartbeat(&mut scheduler, "m1", 1, &[], age_s);
        scheduler.place_all(age_s + 0.5);
        let class = FairShareGroup::Class("class".into());
        assert_eq!(
            scheduler.fair_share.underserved().contains(&&class),
            expected,
            "jobs of age {age_s} s"
        );
    }
}

/// Guards against queue places that reserve capacity: on a large fleet the queues then held more
/// tasks than waited outside them, and the smallest job was served no better than the largest
/// (simulated points by their deadlines: 0.49 and 0.40).
#[test]
fn a_place_in_a_queue_reserves_no_capacity() {
    for frees_m1 in [true, false] {
        let mut scheduler = unlimited_scheduler(&["m1", "m2"]);
        for id in ["m1", "m2"] {
            heartbeat(&mut scheduler, id, 1, &[], 0.0);
        }
        add(
            &mut scheduler,
            spec("run-1", "t", Urgency::Standard, 2, 8.0),
            0.0,
        );
        scheduler.place_all(0.1);
        let started = ["m1", "m2"].map(|id| heartbeat(&mut scheduler, id, 2, &[], 0.2).starts);
        assert_eq!(started.concat().len(), 2);
        // A large job fills the queues. A small job arrives after it and has to wait.
        let mut large = spec("run-2", "t", Urgency::Standard, 3, 8.0);
        large.estimate_s = 60.0;
        add(&mut scheduler, large, 0.3);
        scheduler.place_all(0.4);
        let mut small = spec("run-3", "t", Urgency::Standard, 1, 8.0);
        small.estimate_s = 2.0;
        add(&mut scheduler, small, 0.5);
        scheduler.place_all(0.8);
        // On whichever machine capacity becomes free, the small job starts next.
        let index = usize::from(!frees_m1);
        let done = reported_exited(&started[index], Cause::Done);
        let next = heartbeat(&mut scheduler, ["m1", "m2"][index], 3, &done, 1.2).starts;
        let names: Vec<&str> = next.iter().map(|(task, _)| task.as_str()).collect();
        assert_eq!(
            names,
            ["run-3/0"],
            "capacity on m1 becomes free: {frees_m1}"
        );
    }
}

/// Guards against a task that is preempted again and again (43 times on one simulated day), and
/// against a limit that also protects tasks that were never preempted.
#[test]
fn no_task_is_preempted_more_often_than_the_policy_allows() {
    for max_stops in [1, 3] {
        let mut scheduler = unlimited_scheduler(&["m1"]);
        scheduler.config.policy.max_stops = max_stops;
        scheduler.config.policy.patience = 0.0;
        heartbeat(&mut scheduler, "m1", 1, &[], 0.0);
        add(
            &mut scheduler,
            spec("run-1", "t", Urgency::Idle, 1, 8.0),
            0.0,
        );
        let mut stopped = 0;
        let mut started = heartbeat(&mut scheduler, "m1", 2, &[], 0.1).starts;
        let mut now = 1.0;
        for round in 0..6u64 {
            let id = format!("run-{}", round + 2);
            add(&mut scheduler, spec(&id, "t", Urgency::High, 1, 8.0), now);
            scheduler.place_all(now);
            let seq = 10 * round + 10;
            let running = reported_running(&started);
            let stops = heartbeat(&mut scheduler, "m1", seq, &running, now + 0.1).stops;
            if stops == 0 {
                break;
            }
            stopped += stops as u32;
            // The preempted task exits, the urgent one runs to its end, and the preempted task
            // starts again.
            let exited = reported_exited(&started[..1], Cause::Stopped);
            let urgent = heartbeat(&mut scheduler, "m1", seq + 1, &exited, now + 0.2).starts;
            assert_eq!(urgent[0].0, format!("{id}/0"));
            let done = reported_exited(&urgent[..1], Cause::Done);
            started = heartbeat(&mut scheduler, "m1", seq + 2, &done, now + 0.3).starts;
            assert_eq!(started[0].0, "run-1/0");
            now += 2.0;
        }
        assert_eq!(stopped, max_stops);
    }
}

/// Guards against needless preemption: a job does not preempt others if running tasks are
/// predicted to end and free enough capacity within a fraction of the job's slack.
#[test]
fn no_preemption_if_capacity_becomes_free_in_time() {
    // Estimated run time of the running tasks and objective of the waiting job, both in seconds,
    // and the expected number of stops.
    for (estimate_s, within_s, stops) in [(4.0, 200.0, 0), (400.0, 200.0, 1), (4.0, 21.0, 1)] {
        let mut scheduler = unlimited_scheduler(&["m1"]);
        scheduler.config.objectives = vec![finished_within("urgent", within_s)];
        heartbeat(&mut scheduler, "m1", 1, &[], 0.0);
        let mut idle = spec("run-1", "t", Urgency::Idle, 4, 2.0);
        idle.estimate_s = estimate_s;
        add(&mut scheduler, idle, 0.0);
        let started = heartbeat(&mut scheduler, "m1", 2, &[], 0.1).starts;
        assert_eq!(started.len(), 4);
        let mut urgent = spec("run-2", "t", Urgency::Standard, 1, 2.0);
        urgent.class = "urgent".into();
        add(&mut scheduler, urgent, 1.0);
        scheduler.place_all(1.5);
        let reply = heartbeat(&mut scheduler, "m1", 3, &reported_running(&started), 2.0);
        assert_eq!(
            reply.stops, stops,
            "estimate {estimate_s} s, objective {within_s} s"
        );
    }
}

/// A policy with a value out of range is refused, and the error names the field.
#[test]
fn errors_in_a_policy_name_the_field() {
    for (text, field) in [
        ("((floor-share . 0.9))", "floor-share"),
        ("((patience . -0.1))", "patience"),
        ("((max-stops . 0))", "max-stops"),
    ] {
        let error = Policy::parse(text).unwrap_err().to_string();
        assert!(error.contains(field), "{error}");
    }
    assert!(Policy::parse("((max-stops . 2) (floor-share . 0.5) (patience . 0.0))").is_ok());
}
