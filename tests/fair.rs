//! Nobody is passed over for as long as the load lasts: who is owed room, what a
//! place in a queue is worth, and how often and for what others are stopped.

mod common;

use common::*;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::fair_share::{FairShare, FairShareGroup};
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::Urgency;
use foxspur::protocol::policy::Policy;
use foxspur::protocol::settings::Objective;
use foxspur::protocol::worker::{Cause, Command, Phase};

type Seen<'a> = (&'a str, u64, Phase, Option<Cause>);

/// Reports, and gives the starts and the number of stops of the answer.
fn hello(
    scheduler: &mut Scheduler,
    id: &str,
    seq: u64,
    seen: &[Seen],
    now: f64,
) -> (Vec<(String, u64)>, usize) {
    let HeartbeatReply::Commands(reply) =
        scheduler.handle_heartbeat(&report(id, 1, seq, 5, seen), now)
    else {
        panic!("{id} was not answered");
    };
    let start = |c: &Command| match c {
        Command::Start { task, attempt } => Some((task.clone(), *attempt)),
        _ => None,
    };
    let stops = reply
        .commands
        .iter()
        .filter(|c| matches!(c, Command::Stop { .. }));
    (
        reply.commands.iter().filter_map(start).collect(),
        stops.count(),
    )
}

fn running(started: &[(String, u64)]) -> Vec<Seen<'_>> {
    let seen = started
        .iter()
        .map(|(t, a)| (t.as_str(), *a, Phase::Running, None));
    seen.collect()
}

fn aim(class: &str, within_s: f64) -> Objective {
    Objective {
        kind: "finished".into(),
        class: Some(class.into()),
        within_s: Some(within_s),
        ..Objective::default()
    }
}

#[test]
fn a_group_is_owed_room_while_it_is_served_too_little() {
    // Outcomes of a class, one after another, and whether it is owed room then.
    type Case = (&'static str, &'static [(bool, usize)], bool);
    let cases: [Case; 5] = [
        ("nothing known", &[], false),
        ("a few lost", &[(false, 4)], false),
        ("many lost", &[(false, 10)], true),
        ("not yet recovered", &[(false, 10), (true, 6)], true),
        ("recovered", &[(false, 10), (true, 24)], false),
    ];
    for (name, outcomes, owed) in cases {
        let (class, other) = (FairShareGroup::Class("c".into()), FairShareGroup::Team(0));
        let mut fair = FairShare::default();
        for &(met, n) in outcomes {
            for _ in 0..n {
                fair.outcome(&class, met);
                fair.outcome(&other, true);
            }
        }
        let found = fair.owed();
        assert_eq!(
            found.contains(&&class),
            owed,
            "{name}: {}",
            fair.share(&class)
        );
        assert!(!found.contains(&&other), "{name}");
    }
}

/// Guards against memory that grows with the names of classes, which users choose.
#[test]
fn classes_beyond_what_is_counted_are_left_out() {
    let mut fair = FairShare::default();
    for n in 0..2000 {
        for _ in 0..10 {
            fair.outcome(&FairShareGroup::Class(format!("c-{n}")), false);
        }
    }
    assert_eq!(fair.owed().len(), 256);
}

/// An owner that takes over has counted nothing, but ages survive: a class that
/// starved under the one before is owed room at the first look.
#[test]
fn who_starved_before_a_takeover_is_owed_at_once() {
    for (age_s, owed) in [(10.0, false), (90.0, true)] {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1"]);
        scheduler.config.objectives = vec![aim("class", 100.0)];
        for n in 0..12 {
            let job = spec(&format!("run-{n}"), "t", Urgency::Idle, 4, 8.0);
            add(&mut scheduler, job, 0.0);
        }
        hello(&mut scheduler, "m1", 1, &[], age_s);
        scheduler.place_all(age_s + 0.5);
        let class = FairShareGroup::Class("class".into());
        assert_eq!(
            scheduler.fair_share.owed().contains(&&class),
            owed,
            "{age_s}"
        );
    }
}

/// Guards against queues that hold room for whatever stood before them first: on a
/// large fleet they held more tasks than waited, and the smallest job fared like the
/// largest (points by their deadline 0.49 and 0.40, simulated).
#[test]
fn a_place_in_a_queue_binds_nobody() {
    for small_on_m1 in [true, false] {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1", "m2"]);
        for id in ["m1", "m2"] {
            hello(&mut scheduler, id, 1, &[], 0.0);
        }
        add(
            &mut scheduler,
            spec("run-1", "t", Urgency::Standard, 2, 8.0),
            0.0,
        );
        scheduler.place_all(0.1);
        let on = ["m1", "m2"].map(|id| hello(&mut scheduler, id, 2, &[], 0.2).0);
        assert_eq!(on.concat().len(), 2);
        // A large job fills the queues, a small one comes to wait after it.
        let mut large = spec("run-2", "t", Urgency::Standard, 3, 8.0);
        large.estimate_s = 60.0;
        add(&mut scheduler, large, 0.3);
        scheduler.place_all(0.4);
        let mut small = spec("run-3", "t", Urgency::Standard, 1, 8.0);
        small.estimate_s = 2.0;
        add(&mut scheduler, small, 0.5);
        scheduler.place_all(0.8);
        // Wherever room comes free, the small one is next.
        let at = usize::from(!small_on_m1);
        let ended: Vec<Seen> = (on[at].iter())
            .map(|(t, a)| (t.as_str(), *a, Phase::Exited, Some(Cause::Done)))
            .collect();
        let (next, _) = hello(&mut scheduler, ["m1", "m2"][at], 3, &ended, 1.2);
        let names: Vec<&str> = next.iter().map(|(t, _)| t.as_str()).collect();
        assert_eq!(names, ["run-3/0"], "{small_on_m1}");
    }
}

/// Guards against one task that gives way again and again (43 times on one
/// simulated day), and against a cap that protects what was never stopped.
#[test]
fn no_task_gives_way_more_often_than_the_policy_says() {
    for cap in [1, 3] {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1"]);
        scheduler.config.policy.max_stops = cap;
        scheduler.config.policy.patience = 0.0;
        hello(&mut scheduler, "m1", 1, &[], 0.0);
        add(
            &mut scheduler,
            spec("run-1", "t", Urgency::Idle, 1, 8.0),
            0.0,
        );
        let mut stopped = 0;
        let (mut on, _) = hello(&mut scheduler, "m1", 2, &[], 0.1);
        let mut now = 1.0;
        for round in 0..6u64 {
            let id = format!("run-{}", round + 2);
            add(&mut scheduler, spec(&id, "t", Urgency::High, 1, 8.0), now);
            scheduler.place_all(now);
            let (_, stops) = hello(
                &mut scheduler,
                "m1",
                10 * round + 10,
                &running(&on),
                now + 0.1,
            );
            if stops == 0 {
                break;
            }
            stopped += stops as u32;
            // It goes, the urgent one runs and ends, and it starts again.
            let gone = [(
                on[0].0.as_str(),
                on[0].1,
                Phase::Exited,
                Some(Cause::Stopped),
            )];
            let (urgent, _) = hello(&mut scheduler, "m1", 10 * round + 11, &gone, now + 0.2);
            assert_eq!(urgent[0].0, format!("{id}/0"));
            let done = [(
                urgent[0].0.as_str(),
                urgent[0].1,
                Phase::Exited,
                Some(Cause::Done),
            )];
            on = hello(&mut scheduler, "m1", 10 * round + 12, &done, now + 0.3).0;
            assert_eq!(on[0].0, "run-1/0");
            now += 2.0;
        }
        assert_eq!(stopped, cap);
    }
}

/// Stopping others wins nothing for a job whose room comes free by itself in a
/// part of the time that it has.
#[test]
fn room_that_comes_free_by_itself_is_waited_for() {
    // How long what runs is predicted to take, the aim of what waits; stopped.
    for (runs_s, within_s, stopped) in [(4.0, 200.0, 0), (400.0, 200.0, 1), (4.0, 21.0, 1)] {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1"]);
        scheduler.config.objectives = vec![aim("urgent", within_s)];
        hello(&mut scheduler, "m1", 1, &[], 0.0);
        let mut idle = spec("run-1", "t", Urgency::Idle, 4, 2.0);
        idle.estimate_s = runs_s;
        add(&mut scheduler, idle, 0.0);
        let (on, _) = hello(&mut scheduler, "m1", 2, &[], 0.1);
        assert_eq!(on.len(), 4);
        let mut urgent = spec("run-2", "t", Urgency::Standard, 1, 2.0);
        urgent.class = "urgent".into();
        add(&mut scheduler, urgent, 1.0);
        scheduler.place_all(1.5);
        let (_, stops) = hello(&mut scheduler, "m1", 3, &running(&on), 2.0);
        assert_eq!(stops, stopped, "{runs_s} {within_s}");
    }
}

#[test]
fn impossible_settings_name_their_field() {
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
