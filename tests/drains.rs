//! Drains and rollouts: tables of cases for the pure decisions, and the leader's scheduler
//! with cordoned machines.

mod common;

use common::*;
use foxspur::admin::error::OrderError;
use foxspur::admin::orders::check;
use foxspur::admin::rollouts;
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::fleet::eviction::{
    decide, AttemptOutlook, DrainDecision, Relocation, StopCost,
};
use foxspur::coordination::fleet::rollout::{next_step, round_robin_by_zone, FleetView, ZoneCount};
use foxspur::coordination::leadership::cluster_view::ClusterView;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::admin::{Drain, DrainOrder, DrainState, Drained, Proof, Rest};
use foxspur::protocol::job::{Shape, Urgency};
use foxspur::protocol::roll::{
    Among, AtMost, Promise, Roll, RollOrder, RollState, Turn, TurnOrder,
};
use foxspur::protocol::state::Entry;
use foxspur::protocol::worker::{Cause, Command, Phase};
use foxspur::storage::records;
use std::collections::HashMap;

fn drain(host: &str, deadline_s: Option<f64>, rest: Rest) -> Drain {
    Drain {
        host: host.into(),
        order: "o".into(),
        by: "someone".into(),
        why: "a new kernel".into(),
        at_ms: 0,
        deadline_ms: deadline_s.map(|s| (s * 1000.0) as u64),
        rest,
        drained: None,
        roll: None,
    }
}

fn wanted(drains: &[Drain]) -> HashMap<String, (Drain, u64)> {
    let each = drains.iter().map(|d| (d.host.clone(), (d.clone(), 1)));
    each.collect()
}

/// A scheduler whose machines have all reported under its term.
fn ready(machines: &[&str]) -> Scheduler {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, machines);
    for id in machines {
        scheduler.handle_heartbeat(&report(id, 1, 1, 5, &[]), 0.1);
    }
    scheduler
}

fn commands(reply: HeartbeatReply) -> Vec<Command> {
    match reply {
        HeartbeatReply::Commands(reply) => reply.commands,
        other => panic!("{other:?}"),
    }
}

/// Submits a standard job of the only team.
fn submit(scheduler: &mut Scheduler, id: &str, tasks: u32, cpus: f64, at: f64) {
    add(scheduler, spec(id, "t", Urgency::Standard, tasks, cpus), at);
}

/// Where the first task of `run-1` is placed, and the other one of two machines.
struct Placement {
    host: String,
    other: &'static str,
    attempt: u64,
}

impl Placement {
    fn of(scheduler: &Scheduler) -> Placement {
        let (host, attempt) = scheduler.jobs["run-1"].placed[&0].clone();
        Placement {
            host: host.to_string(),
            other: if &*host == "m-0" { "m-1" } else { "m-0" },
            attempt,
        }
    }

    /// The task as a report shows it.
    fn shown(&self, phase: Phase, cause: Option<Cause>) -> [(&str, u64, Phase, Option<Cause>); 1] {
        [("run-1/0", self.attempt, phase, cause)]
    }
}

/// Proof that a machine was seen empty in its first session.
fn reported_empty(at_ms: u64) -> Drained {
    Drained {
        at_ms,
        term: 5,
        proof: Proof::Reported,
        session: 1,
    }
}

/// Guards against work that is stopped for nothing, or kept although the
/// operator said otherwise.
#[test]
#[allow(clippy::too_many_lines, reason = "one table of cases")]
fn drain_decisions() {
    let plain = AttemptOutlook {
        endless: false,
        ran_s: 40.0,
        predicted_s: 100.0,
        stop_cost: StopCost {
            lost_cpu_s: 80.0,
            grace_s: 0.0,
        },
        rerun_s: 101.0,
        due_s: [None, None],
        until_deadline_s: None,
        rest: Rest::Leave,
        relocation: Relocation::Possible,
    };
    let short = Some(30.0);
    let moves = DrainDecision::Moves(plain.stop_cost);
    let cases = [
        ("no deadline", plain, DrainDecision::Finishes),
        (
            "in time",
            AttemptOutlook {
                until_deadline_s: Some(60.0),
                ..plain
            },
            DrainDecision::Finishes,
        ),
        (
            "not in time",
            AttemptOutlook {
                until_deadline_s: short,
                ..plain
            },
            moves,
        ),
        (
            "outran its prediction, so as long again",
            AttemptOutlook {
                ran_s: 110.0,
                until_deadline_s: Some(100.0),
                ..plain
            },
            moves,
        ),
        (
            "a replica",
            AttemptOutlook {
                endless: true,
                ..plain
            },
            moves,
        ),
        (
            "would be late elsewhere",
            AttemptOutlook {
                until_deadline_s: short,
                due_s: [Some(90.0), None],
                ..plain
            },
            DrainDecision::Stays("would miss its deadline elsewhere"),
        ),
        (
            "one objective is lost either way, the other only elsewhere",
            AttemptOutlook {
                until_deadline_s: short,
                due_s: [Some(50.0), Some(95.0)],
                ..plain
            },
            DrainDecision::Stays("would miss its deadline elsewhere"),
        ),
        (
            "late anyway",
            AttemptOutlook {
                until_deadline_s: short,
                due_s: [Some(50.0), None],
                ..plain
            },
            moves,
        ),
        (
            "nothing else may run it",
            AttemptOutlook {
                until_deadline_s: short,
                relocation: Relocation::NotAllowed,
                ..plain
            },
            DrainDecision::Stays("no other machine may run it"),
        ),
        (
            "no room now",
            AttemptOutlook {
                until_deadline_s: short,
                relocation: Relocation::NoRoom,
                ..plain
            },
            DrainDecision::Stays("waits for room elsewhere"),
        ),
        (
            "over, and it may stay",
            AttemptOutlook {
                until_deadline_s: Some(0.0),
                relocation: Relocation::NotAllowed,
                ..plain
            },
            DrainDecision::Stays("no other machine may run it"),
        ),
        (
            "over, and it is to stop",
            AttemptOutlook {
                until_deadline_s: Some(0.0),
                rest: Rest::Stop,
                relocation: Relocation::NotAllowed,
                ..plain
            },
            moves,
        ),
    ];
    for (name, outlook, expected) in cases {
        assert_eq!(decide(&outlook), expected, "{name}");
    }
}

/// Guards against tasks that stay bound to the queue of a cordoned machine.
#[test]
fn cordoning_clears_the_machines_queue() {
    let mut scheduler = ready(&["m-0"]);
    submit(&mut scheduler, "run-1", 10, 1.0, 0.0);
    scheduler.place_all(0.2);
    assert_eq!(scheduler.jobs["run-1"].queued.len(), 2);
    scheduler.set_drains(&wanted(&[drain("m-0", None, Rest::Leave)]));
    assert!(
        scheduler.jobs["run-1"].queued.is_empty(),
        "its queue is cleared"
    );
}

/// Guards against a machine that gets work after its drain, and against one that
/// is called drained before it is proven: while a task runs, while its end is not
/// recorded, while a start is under way.
#[test]
fn drained_only_once_proven_empty() {
    let mut scheduler = ready(&["m-0", "m-1"]);
    submit(&mut scheduler, "run-1", 16, 1.0, 0.0);
    scheduler.place_all(0.2);
    let run: Vec<String> = commands(scheduler.handle_heartbeat(&report("m-0", 1, 2, 5, &[]), 0.3))
        .iter()
        .filter_map(|c| match c {
            Command::Start { task, .. } => Some(task.clone()),
            _ => None,
        })
        .collect();
    assert!(run.len() >= 2, "{run:?}");
    let attempt = |scheduler: &Scheduler, task: &str| {
        let active = &scheduler.machines["m-0"].attempts;
        active
            .keys()
            .find(|id| id.task.wire() == task)
            .unwrap()
            .number
    };
    scheduler.set_drains(&wanted(&[drain("m-0", None, Rest::Leave)]));
    assert!(
        scheduler.machines["m-0"].queue.is_empty(),
        "its queue is cleared"
    );
    // One was started, the others never were: they must not come later.
    let one = (run[0].as_str(), attempt(&scheduler, &run[0]));
    let shown = |phase, cause| [(one.0, one.1, phase, cause)];
    let running = shown(Phase::Running, None);
    scheduler.handle_heartbeat(&report("m-0", 1, 3, 5, &running), 1.0);
    scheduler.place_all(1.1);
    assert_eq!(scheduler.machines["m-0"].live_attempts().count(), 1);
    assert!(scheduler.proven_drains(0, 9).is_empty(), "a task runs");
    let done = shown(Phase::Exited, Some(Cause::Done));
    scheduler.handle_heartbeat(&report("m-0", 1, 4, 5, &done), 2.0);
    assert!(
        scheduler.proven_drains(0, 9).is_empty(),
        "its end is not recorded"
    );
    let marks = scheduler.jobs["run-1"].completed.clone();
    scheduler.completions_written("run-1", &marks, 2);
    let answer = commands(scheduler.handle_heartbeat(&report("m-0", 1, 5, 5, &done), 3.0));
    assert!(matches!(answer[..], [Command::Forget { .. }]), "{answer:?}");
    scheduler.handle_heartbeat(&report("m-0", 1, 6, 5, &[]), 4.0);
    scheduler.place_all(4.1);
    let proven = scheduler.proven_drains(9000, 9);
    let proof = reported_empty(9000);
    assert_eq!(proven.len(), 1);
    assert_eq!(proven[0].0.drained, Some(proof));
    let known = HashMap::from([("m-0".to_string(), (proven[0].0.clone(), 2))]);
    scheduler.set_drains(&known);
    assert_eq!(scheduler.drain_rows(5.0)[0].state, DrainState::Drained);
    // Back in use: it takes tasks again.
    scheduler.set_drains(&HashMap::new());
    scheduler.handle_heartbeat(&report("m-0", 1, 7, 5, &[]), 5.0);
    scheduler.place_all(5.1);
    assert!(scheduler.machines["m-0"].live_attempts().count() > 0);
}

/// A draining machine's job ends after it was started
/// elsewhere. The fence decides: it starts elsewhere only when its machine is
/// proven empty, and what that one says later changes nothing.
#[test]
fn late_completion_after_a_restart_elsewhere_is_ignored() {
    let mut scheduler = ready(&["m-0", "m-1"]);
    submit(&mut scheduler, "run-1", 1, 8.0, 0.0);
    scheduler.place_all(0.2);
    let placement = Placement::of(&scheduler);
    let (host, other) = (placement.host.as_str(), placement.other);
    let running = placement.shown(Phase::Running, None);
    scheduler.handle_heartbeat(&report(host, 1, 2, 5, &running), 0.5);
    scheduler.set_drains(&wanted(&[drain(host, Some(1.0), Rest::Stop)]));
    // It hangs: the stop is sent, no answer comes.
    for n in 0..9 {
        let now = 1.5 + f64::from(n);
        scheduler.handle_heartbeat(&report(other, 1, 2 + n as u64, 5, &[]), now);
        scheduler.tick(now, now);
        scheduler.place_all(now);
        assert_eq!(
            *scheduler.jobs["run-1"].placed[&0].0, *host,
            "not elsewhere at {now}"
        );
        assert!(scheduler.proven_drains(0, 9).is_empty());
    }
    scheduler.handle_heartbeat(&report(other, 1, 20, 5, &[]), 12.0);
    scheduler.tick(12.0, 12.0);
    scheduler.place_all(12.0);
    assert_eq!(*scheduler.jobs["run-1"].placed[&0].0, *other);
    assert_eq!(
        scheduler.proven_drains(0, 9)[0]
            .0
            .drained
            .as_ref()
            .unwrap()
            .proof,
        Proof::LeaseOver
    );
    // It wakes with the same session and says that it is done.
    let done = placement.shown(Phase::Exited, Some(Cause::Done));
    let late = scheduler.handle_heartbeat(&report(host, 1, 3, 5, &done), 12.5);
    assert!(matches!(late, HeartbeatReply::Refuse), "{late:?}");
    assert!(scheduler.jobs["run-1"].completed.is_empty());
    let second = Placement::of(&scheduler);
    assert!(second.attempt > placement.attempt);
    let done = second.shown(Phase::Exited, Some(Cause::Done));
    scheduler.handle_heartbeat(&report(other, 1, 21, 5, &done), 13.0);
    assert_eq!(scheduler.jobs["run-1"].completed.len(), 1);
}

/// Guards against a takeover that waits for a machine that was switched off after
/// it was drained, and against one that does not wait for a drain under way.
#[test]
fn takeover_reads_the_drains() {
    for (proven, opens) in [(true, true), (false, false)] {
        let mut scheduler = Scheduler::new(
            scheduler_config(vec![team("t", 0.0, 0.0)]),
            6,
            foxspur::coordination::scheduler::fence::Fence::new(6, Some(0.0)),
            7,
        );
        scheduler.set_types(&types());
        let mut cordoned = drain("m-1", None, Rest::Leave);
        cordoned.drained = proven.then_some(reported_empty(0));
        scheduler.set_drains(&wanted(&[cordoned]));
        for id in ["m-0", "m-1"] {
            scheduler.add_recorded_machine(machine(id, "a", false), 0.0);
        }
        submit(&mut scheduler, "run-1", 4, 8.0, 0.0);
        scheduler.handle_heartbeat(&report("m-0", 1, 1, 6, &[]), 0.5);
        scheduler.place_all(0.6);
        assert_eq!(scheduler.fence.open, opens, "proven: {proven}");
        // Silent for long: not given back as long as its drain stands.
        for n in 2..9 {
            scheduler.handle_heartbeat(&report("m-0", 1, n, 6, &[]), n as f64);
            scheduler.tick(n as f64, n as f64);
            let name = "m-1".into();
            if let Some((_, call)) = scheduler.next_direct_call(&name, n as f64) {
                scheduler.direct_call_finished(&name, &call, CallResult::NotSent, n as f64);
            }
        }
        assert_eq!(
            scheduler
                .machines_given_up(8.0)
                .contains(&"m-1".to_string()),
            !proven
        );
        scheduler.handle_heartbeat(&report("m-1", 1, 1, 6, &[]), 9.5);
        scheduler.handle_heartbeat(&report("m-0", 1, 9, 6, &[]), 9.5);
        scheduler.place_all(9.6);
        assert!(scheduler.fence.open);
        assert!(
            scheduler.machines["m-1"].attempts.is_empty(),
            "cordoned from the start"
        );
    }
}

/// Guards against drains that stop what they should not: of all machines, of one
/// with a replica, with a notice, while another one fails.
#[test]
fn drain_of_a_service_with_nowhere_to_go() {
    let mut scheduler = ready(&["m-0", "m-1"]);
    let mut service = spec("run-1", "t", Urgency::Prod, 1, 2.0);
    service.shape = Shape::Service;
    service.estimate_s = 0.0;
    add(&mut scheduler, service, 0.0);
    scheduler.place_all(0.2);
    let placement = Placement::of(&scheduler);
    let (host, other) = (placement.host.as_str(), placement.other);
    let running = placement.shown(Phase::Running, None);
    scheduler.handle_heartbeat(&report(host, 1, 2, 5, &running), 0.5);
    // Everything is drained: the replica has nowhere to go and stays.
    let all = wanted(&[
        drain("m-0", None, Rest::Leave),
        drain("m-1", None, Rest::Leave),
    ]);
    scheduler.set_drains(&all);
    scheduler.tick(1.0, 1.0);
    let row = scheduler
        .drain_rows(1.0)
        .into_iter()
        .find(|r| r.drain.host == host);
    let row = row.unwrap();
    assert_eq!((row.state, row.tasks), (DrainState::Draining, 1));
    assert!(
        row.stays.contains("no other machine may run it"),
        "{}",
        row.stays
    );
    submit(&mut scheduler, "run-2", 1, 1.0, 1.0);
    scheduler.place_all(1.1);
    let why = scheduler
        .job_rows(1.2, 9)
        .rows
        .iter()
        .find(|j| j.id == "run-2")
        .unwrap()
        .why
        .clone();
    assert_eq!(why, "every machine that it may use is drained");
    // The other one is back: the replica moves, and starts there only after it is
    // gone from here. A notice of the cloud meanwhile changes nothing.
    scheduler.set_drains(&wanted(&[drain(host, None, Rest::Leave)]));
    scheduler.handle_heartbeat(&report(other, 1, 2, 5, &[]), 1.5);
    scheduler.place_all(1.6);
    scheduler.tick(1.7, 1.7);
    let mut noticed = report(host, 1, 3, 5, &running);
    noticed.notice_s = Some(30.0);
    let answer = commands(scheduler.handle_heartbeat(&noticed, 2.0));
    assert!(matches!(answer[..], [Command::Stop { .. }]), "{answer:?}");
    assert_eq!(*scheduler.jobs["run-1"].placed[&0].0, *host);
    let stopped = placement.shown(Phase::Exited, Some(Cause::Stopped));
    scheduler.handle_heartbeat(&report(host, 1, 4, 5, &stopped), 2.5);
    scheduler.place_all(2.6);
    assert_eq!(*scheduler.jobs["run-1"].placed[&0].0, *other);
    // The cloud takes the drained machine away: its drain says so.
    scheduler.remove_machine(host);
    assert_eq!(scheduler.drain_rows(3.0)[0].state, DrainState::Gone);
    // Undrained while something moves, then the second one fails: what it had is
    // on until the lease is over, as ever.
    scheduler.set_drains(&HashMap::new());
    scheduler.tick(13.0, 13.0);
    scheduler.place_all(13.1);
    assert!(scheduler.jobs["run-1"].placed.is_empty());
}

/// Guards against orders that are taken although they make no sense; the answer
/// names the field.
#[test]
fn drain_orders_are_validated() {
    let plain = DrainOrder {
        order: "o-1".into(),
        hosts: vec!["m-0".into()],
        by: "someone".into(),
        why: "a new kernel".into(),
        deadline_s: None,
        rest: Rest::Leave,
        term: None,
    };
    assert!(check(&plain).is_ok());
    type Spoil = fn(&mut DrainOrder);
    let cases: [(&str, Spoil); 8] = [
        ("order", |o| o.order = String::new()),
        ("by", |o| o.by = " ".into()),
        ("why", |o| o.why = String::new()),
        ("deadline_s", |o| o.deadline_s = Some(0.0)),
        ("deadline_s", |o| o.deadline_s = Some(f64::NAN)),
        ("hosts", |o| o.hosts.clear()),
        ("hosts", |o| o.hosts = vec!["a b".into()]),
        ("hosts", |o| o.hosts = vec!["../share/0".into()]),
    ];
    for (field, spoil) in cases {
        let mut order = plain.clone();
        spoil(&mut order);
        match check(&order) {
            Err(OrderError::InvalidField { field: named, .. }) => assert_eq!(named, field),
            other => panic!("{field}: {other:?}"),
        }
    }
}

/// The same for rollouts.
#[test]
fn rollout_orders_are_validated() {
    let rollout_order = RollOrder {
        name: "kernel".into(),
        by: "someone".into(),
        why: "a new kernel".into(),
        among: Among {
            zone: Some("a".into()),
            ..Among::default()
        },
        at_most: AtMost::Machines(1),
        rest: Rest::Leave,
        deadline_s: None,
        promise: Promise::default(),
    };
    assert!(rollouts::check(&rollout_order).is_ok());
    type SpoilRollout = fn(&mut RollOrder);
    let cases: [(&str, SpoilRollout); 5] = [
        ("name", |o| o.name = "a/b".into()),
        ("at_most", |o| o.at_most = AtMost::Machines(0)),
        ("at_most", |o| o.at_most = AtMost::Share(1.5)),
        ("promise.step_s", |o| o.promise.step_s = Some(-1.0)),
        ("among", |o| o.among = Among::default()),
    ];
    for (field, spoil) in cases {
        let mut order = rollout_order.clone();
        spoil(&mut order);
        match rollouts::check(&order) {
            Err(OrderError::InvalidField { field: named, .. }) => assert_eq!(named, field),
            other => panic!("{field}: {other:?}"),
        }
    }
}

/// Guards against drains that come back for good or are forgotten: a list that was
/// read before the watch told of an end, a version that comes late.
#[test]
fn drain_updates_in_any_order() {
    let entry = |version: u64| Entry {
        key: records::drain_key("m-0"),
        value: serde_json::value::to_raw_value(&drain("m-0", None, Rest::Leave)).unwrap(),
        version,
    };
    type Change = fn(&mut ClusterView, Entry, Entry);
    let cases: [(&str, Change, Option<u64>); 6] = [
        ("told once", |v, old, _| v.apply_entry(&old), Some(3)),
        (
            "an old version late",
            |v, old, new| {
                v.apply_entry(&new);
                v.apply_entry(&old);
            },
            Some(5),
        ),
        (
            "ended",
            |v, old, _| {
                v.apply_entry(&old);
                v.apply_deletion(&old.key, 6);
            },
            None,
        ),
        (
            "an older one ended",
            |v, _, new| {
                v.apply_entry(&new);
                v.apply_deletion(&new.key, 4);
            },
            Some(5),
        ),
        (
            "a list from before its end, read after it",
            |v, old, _| {
                v.apply_entry(&old);
                v.apply_deletion(&old.key, 6);
                v.advance_to(6);
                v.apply_drain_listing(&[old], 4);
            },
            None,
        ),
        (
            "a list without it",
            |v, old, _| {
                v.apply_entry(&old);
                v.apply_drain_listing(&[], 9);
            },
            None,
        ),
    ];
    for (name, change, expected) in cases {
        let mut view = ClusterView::default();
        change(&mut view, entry(3), entry(5));
        assert_eq!(view.drains.get("m-0").map(|d| d.1), expected, "{name}");
    }
    // A record that cannot be read cordons its machine, which is never called drained.
    let mut view = ClusterView::default();
    view.apply_entry(&Entry {
        value: serde_json::value::to_raw_value(&7).unwrap(),
        ..entry(3)
    });
    let mut scheduler = ready(&["m-0"]);
    scheduler.handle_heartbeat(&report("m-0", 1, 2, 5, &[]), 0.5);
    scheduler.place_all(0.6);
    scheduler.set_drains(&view.drains);
    assert!(scheduler.machines["m-0"].cordoned && scheduler.proven_drains(0, 9).is_empty());
}

fn rollout(hosts: &[&str], at_most: AtMost) -> Roll {
    Roll {
        name: "kernel".into(),
        by: "someone".into(),
        why: "a new kernel".into(),
        at_ms: 0,
        hosts: hosts.iter().map(std::string::ToString::to_string).collect(),
        at_most,
        rest: Rest::Leave,
        deadline_s: None,
        promise: Promise {
            late: 1,
            step_s: Some(60.0),
            back_s: Some(300.0),
        },
        state: RollState::Running,
        reason: String::new(),
        next: 0,
        late_before: None,
    }
}

/// Six machines, three in each zone, of which so many are out of use.
fn fleet_view(out_of_use: [u32; 2]) -> FleetView {
    let zone = |n: usize| if n < 3 { "a" } else { "b" };
    FleetView {
        now_ms: 100_000,
        zones: (0..6)
            .map(|n| (format!("m-{n}"), zone(n).to_string()))
            .collect(),
        counts: ["a", "b"]
            .into_iter()
            .zip(out_of_use)
            .map(|(zone, out_of_use)| {
                let count = ZoneCount {
                    machines: 3,
                    out_of_use,
                };
                (zone.to_string(), count)
            })
            .collect(),
        ..FleetView::default()
    }
}

/// What a step of a rollout of four machines, one of each zone at once, comes to.
struct RolloutCase<'a> {
    name: &'a str,
    /// Machines out of use in each zone.
    out_of_use: [u32; 2],
    drains: Vec<(String, (Drain, u64))>,
    /// What else differs.
    change: fn(&mut Roll, &mut FleetView),
    begin: &'a [&'a str],
    end: &'a [&'a str],
    state: RollState,
}

impl RolloutCase<'_> {
    fn check(self, hosts: &[&str]) {
        let name = self.name;
        let mut rollout = rollout(hosts, AtMost::Machines(1));
        let mut fleet = fleet_view(self.out_of_use);
        fleet.drains = self.drains.into_iter().collect();
        (self.change)(&mut rollout, &mut fleet);
        match next_step(&rollout, &fleet, 20) {
            Some(next) => {
                let reason = &next.rollout.reason;
                let halted = self.state == RollState::Halted;
                assert_eq!(next.begin, self.begin, "{name}");
                assert_eq!(next.end, self.end, "{name}");
                assert_eq!(next.rollout.state, self.state, "{name}: {reason}");
                assert_eq!(reason.is_empty(), !halted, "{name}");
            }
            None => assert!(
                self.begin.is_empty() && self.end.is_empty() && self.state == rollout.state,
                "{name}"
            ),
        }
    }
}

/// Guards against a rollout that takes more of a zone than it may, goes on although
/// its promise is broken, or never ends.
#[test]
#[allow(clippy::too_many_lines, reason = "one table of cases")]
fn rollout_steps() {
    let hosts = ["m-0", "m-3", "m-1", "m-4"];
    let own = |host: &str, at_ms: u64, drained_ms: Option<u64>| {
        let drained = drained_ms.map(reported_empty);
        let drain = Drain {
            at_ms,
            drained,
            roll: Some("kernel".into()),
            ..drain(host, None, Rest::Leave)
        };
        (host.to_string(), (drain, 3))
    };
    use RollState::{Back, Done, Halted, Running};
    let cases: Vec<RolloutCase> = vec![
        RolloutCase {
            name: "one of each zone",
            out_of_use: [0, 0],
            drains: vec![],
            change: |_, _| {},
            begin: &["m-0", "m-3"],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "a zone has one out already",
            out_of_use: [1, 0],
            drains: vec![],
            change: |_, _| {},
            begin: &[],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "two of each",
            out_of_use: [0, 0],
            drains: vec![],
            change: |r, _| r.at_most = AtMost::Machines(2),
            begin: &["m-0", "m-3", "m-1", "m-4"],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "two thirds of each",
            out_of_use: [0, 0],
            drains: vec![],
            change: |r, _| r.at_most = AtMost::Share(0.67),
            begin: &["m-0", "m-3", "m-1", "m-4"],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "a fraction below one machine",
            out_of_use: [0, 0],
            drains: vec![],
            change: |r, _| r.at_most = AtMost::Share(0.01),
            begin: &["m-0", "m-3"],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "drained, not back yet",
            out_of_use: [1, 1],
            drains: vec![own("m-0", 90_000, Some(95_000))],
            change: |r, _| r.next = 2,
            begin: &[],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "back",
            out_of_use: [1, 1],
            drains: vec![own("m-0", 90_000, Some(95_000))],
            change: |r, s| {
                r.next = 2;
                s.restarted = vec!["m-0".into()];
            },
            begin: &[],
            end: &["m-0"],
            state: Running,
        },
        RolloutCase {
            name: "the cloud took it",
            out_of_use: [0, 1],
            drains: vec![own("m-0", 90_000, None)],
            change: |r, s| {
                r.next = 2;
                s.zones.remove("m-0");
            },
            begin: &["m-1"],
            end: &["m-0"],
            state: Running,
        },
        RolloutCase {
            name: "not drained in time",
            out_of_use: [1, 0],
            drains: vec![own("m-0", 39_000, None)],
            change: |r, _| r.next = 1,
            begin: &[],
            end: &[],
            state: Halted,
        },
        RolloutCase {
            name: "not back in time",
            out_of_use: [1, 0],
            drains: vec![own("m-0", 0, Some(0))],
            change: |r, s| {
                r.next = 1;
                s.now_ms = 400_000;
            },
            begin: &[],
            end: &[],
            state: Halted,
        },
        RolloutCase {
            name: "more late than promised",
            out_of_use: [0, 0],
            drains: vec![],
            change: |r, s| {
                r.late_before = Some(2);
                s.late_jobs = 4;
            },
            begin: &[],
            end: &[],
            state: Halted,
        },
        RolloutCase {
            name: "as late as promised",
            out_of_use: [0, 0],
            drains: vec![],
            change: |r, s| {
                r.late_before = Some(2);
                s.late_jobs = 3;
            },
            begin: &["m-0", "m-3"],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "the last one is back",
            out_of_use: [0, 1],
            drains: vec![own("m-4", 90_000, Some(95_000))],
            change: |r, s| {
                r.next = 4;
                s.restarted = vec!["m-4".into()];
            },
            begin: &[],
            end: &["m-4"],
            state: Done,
        },
        RolloutCase {
            name: "taken back",
            out_of_use: [1, 1],
            drains: vec![own("m-0", 0, None), own("m-3", 0, Some(1))],
            change: |r, _| r.state = Back,
            begin: &[],
            end: &["m-0", "m-3"],
            state: Back,
        },
        RolloutCase {
            name: "taken back, all ended",
            out_of_use: [0, 0],
            drains: vec![],
            change: |r, _| r.state = Back,
            begin: &[],
            end: &[],
            state: Done,
        },
    ];
    for case in cases {
        case.check(&hosts);
    }
    // Halted or done: nothing, whatever happens.
    for state in [Halted, Done] {
        let rollout = Roll {
            state,
            ..rollout(&hosts, AtMost::Machines(1))
        };
        assert_eq!(next_step(&rollout, &fleet_view([0, 0]), 20), None);
    }
    // Zone after zone in turn.
    let machines = [("m-1", "a"), ("m-0", "a"), ("m-5", "b")].map(|(m, z)| (m.into(), z.into()));
    assert_eq!(round_robin_by_zone(&machines), ["m-0", "m-5", "m-1"]);
}

/// Guards against a rollout that an order leaves in a state that cannot be.
#[test]
fn orders_about_a_rollout() {
    use RollState::{Back, Done, Halted, Running};
    let cases = [
        (Turn::Halt, Running, Some(Halted)),
        (Turn::Halt, Halted, None),
        (Turn::Resume, Halted, Some(Running)),
        (Turn::Resume, Done, None),
        (Turn::Back, Running, Some(Back)),
        (Turn::Back, Halted, Some(Back)),
        (Turn::Back, Done, None),
        (Turn::Forget, Running, None),
    ];
    for (turn, state, expected) in cases {
        let order = TurnOrder {
            name: "kernel".into(),
            by: "someone".into(),
            turn,
        };
        let rollout = Roll {
            state,
            late_before: Some(3),
            ..rollout(&["m-0"], AtMost::Machines(1))
        };
        let next = rollouts::turned(&rollout, &order);
        match (next, expected) {
            (Ok(Some(next)), Some(state)) => assert_eq!(next.state, state),
            (Err(OrderError::Conflict(_)), None) => {}
            (next, _) => panic!("{turn:?} of {state:?}: {next:?}"),
        }
    }
}
