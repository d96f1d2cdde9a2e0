//! Tests of drains and rollouts: tables of cases for the functions that make the decisions, and
//! tests of the leader's scheduler with cordoned machines.

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
use foxspur::coordination::fleet::rollout::{
    next_step, round_robin_by_zone, FleetView, ZoneMachineCounts,
};
use foxspur::coordination::leadership::cluster_view::ClusterView;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::admin::{Drain, DrainOrder, DrainState, Drained, Proof, RemainingWork};
use foxspur::protocol::job::{Shape, Urgency};
use foxspur::protocol::rollout::{
    MachineSelector, MaxOutOfUse, Rollout, RolloutAction, RolloutActionOrder, RolloutExpectation,
    RolloutOrder, RolloutState,
};
use foxspur::protocol::state::Entry;
use foxspur::protocol::worker::{Cause, Command, Phase};
use foxspur::storage::records;
use std::collections::HashMap;

fn drain_record(host: &str, deadline_s: Option<f64>, rest: RemainingWork) -> Drain {
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

/// Drain records at version 1, by machine name.
fn records_by_host(drains: &[Drain]) -> HashMap<String, (Drain, u64)> {
    let entries = drains.iter().map(|d| (d.host.clone(), (d.clone(), 1)));
    entries.collect()
}

/// A scheduler with these machines. Each machine has sent a heartbeat under the scheduler's term.
fn scheduler_with_reported(machines: &[&str]) -> Scheduler {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, machines);
    for id in machines {
        scheduler.handle_heartbeat(&report(id, 1, 1, 5, &[]), 0.1);
    }
    scheduler
}

/// The commands in the reply to a heartbeat.
fn commands(reply: HeartbeatReply) -> Vec<Command> {
    match reply {
        HeartbeatReply::Commands(reply) => reply.commands,
        other => panic!("expected a reply with commands, got {other:?}"),
    }
}

/// Submits a job of standard urgency for the only team.
fn submit(scheduler: &mut Scheduler, id: &str, tasks: u32, cpus: f64, at_s: f64) {
    add(
        scheduler,
        spec(id, "t", Urgency::Standard, tasks, cpus),
        at_s,
    );
}

/// The placement of the first task of `run-1`, in a fleet of the machines `m-0` and `m-1`.
struct Placement {
    /// The machine on which the task is placed.
    host: String,
    /// The machine on which the task is not placed.
    other_host: &'static str,
    /// The attempt number.
    attempt: u64,
}

impl Placement {
    fn of(scheduler: &Scheduler) -> Placement {
        let placement = scheduler.jobs["run-1"].placed[&0].clone();
        let (host, attempt) = (placement.machine, placement.attempt);
        Placement {
            host: host.to_string(),
            other_host: if &*host == "m-0" { "m-1" } else { "m-0" },
            attempt,
        }
    }

    /// The task list of a heartbeat that reports the attempt in this phase.
    fn reported_tasks(
        &self,
        phase: Phase,
        cause: Option<Cause>,
    ) -> [(&str, u64, Phase, Option<Cause>); 1] {
        [("run-1/0", self.attempt, phase, cause)]
    }
}

/// The proof that a machine sent a heartbeat without tasks in its first session.
fn reported_empty(at_ms: u64) -> Drained {
    Drained {
        at_ms,
        term: 5,
        proof: Proof::Reported,
        session: 1,
    }
}

/// Guards against attempts that are evicted unnecessarily, and against attempts that stay on a
/// draining machine although the operator ordered that they be stopped.
#[test]
#[allow(clippy::too_many_lines, reason = "one table of cases")]
fn drain_decisions() {
    let base = AttemptOutlook {
        runs_indefinitely: false,
        ran_s: 40.0,
        predicted_s: 100.0,
        stop_cost: StopCost {
            lost_cpu_s: 80.0,
            grace_s: 0.0,
        },
        rerun_s: 101.0,
        due_in_s: [None, None],
        until_deadline_s: None,
        deadline_action: RemainingWork::Leave,
        relocation: Relocation::Possible,
    };
    let before_predicted_end = Some(30.0);
    let evicted = DrainDecision::Evict(base.stop_cost);
    let cases = [
        ("no deadline", base, DrainDecision::LetFinish),
        (
            "ends before the deadline",
            AttemptOutlook {
                until_deadline_s: Some(60.0),
                ..base
            },
            DrainDecision::LetFinish,
        ),
        (
            "ends after the deadline",
            AttemptOutlook {
                until_deadline_s: before_predicted_end,
                ..base
            },
            evicted,
        ),
        (
            "ran longer than predicted, so it is expected to run for as long again",
            AttemptOutlook {
                ran_s: 110.0,
                until_deadline_s: Some(100.0),
                ..base
            },
            evicted,
        ),
        (
            "service replica",
            AttemptOutlook {
                runs_indefinitely: true,
                ..base
            },
            evicted,
        ),
        (
            "meets its objective only by staying",
            AttemptOutlook {
                until_deadline_s: before_predicted_end,
                due_in_s: [Some(90.0), None],
                ..base
            },
            DrainDecision::Keep("would miss its deadline elsewhere"),
        ),
        (
            "meets only its second objective, and only by staying",
            AttemptOutlook {
                until_deadline_s: before_predicted_end,
                due_in_s: [Some(50.0), Some(95.0)],
                ..base
            },
            DrainDecision::Keep("would miss its deadline elsewhere"),
        ),
        (
            "misses its objective in any case",
            AttemptOutlook {
                until_deadline_s: before_predicted_end,
                due_in_s: [Some(50.0), None],
                ..base
            },
            evicted,
        ),
        (
            "may run on no other machine",
            AttemptOutlook {
                until_deadline_s: before_predicted_end,
                relocation: Relocation::NotAllowed,
                ..base
            },
            DrainDecision::Keep("no other machine may run it"),
        ),
        (
            "no other machine has room",
            AttemptOutlook {
                until_deadline_s: before_predicted_end,
                relocation: Relocation::NoRoom,
                ..base
            },
            DrainDecision::Keep("waits for room elsewhere"),
        ),
        (
            "deadline has passed, and the attempt may stay",
            AttemptOutlook {
                until_deadline_s: Some(0.0),
                relocation: Relocation::NotAllowed,
                ..base
            },
            DrainDecision::Keep("no other machine may run it"),
        ),
        (
            "deadline has passed, and the attempt must stop",
            AttemptOutlook {
                until_deadline_s: Some(0.0),
                deadline_action: RemainingWork::Stop,
                relocation: Relocation::NotAllowed,
                ..base
            },
            evicted,
        ),
    ];
    for (name, outlook, expected) in cases {
        assert_eq!(decide(&outlook), expected, "{name}");
    }
}

/// Guards against tasks that stay in the queue of a cordoned machine and so start nowhere.
#[test]
fn cordoning_clears_the_machines_queue() {
    let mut scheduler = scheduler_with_reported(&["m-0"]);
    submit(&mut scheduler, "run-1", 10, 1.0, 0.0);
    scheduler.place_all(0.2);
    assert_eq!(scheduler.jobs["run-1"].queued.len(), 2);
    scheduler.set_drains(&records_by_host(&[drain_record(
        "m-0",
        None,
        RemainingWork::Leave,
    )]));
    assert!(
        scheduler.jobs["run-1"].queued.is_empty(),
        "the queue of the cordoned machine is cleared"
    );
}

/// Guards against a cordoned machine that gets new tasks, and against a machine that counts as
/// drained before it is proven empty: while a task runs, while the end of a task is not recorded
/// yet, or while a start command may still arrive.
#[test]
fn machine_is_drained_only_once_proven_empty() {
    let mut scheduler = scheduler_with_reported(&["m-0", "m-1"]);
    submit(&mut scheduler, "run-1", 16, 1.0, 0.0);
    scheduler.place_all(0.2);
    let commanded: Vec<String> =
        commands(scheduler.handle_heartbeat(&report("m-0", 1, 2, 5, &[]), 0.3))
            .iter()
            .filter_map(|command| match command {
                Command::Start { task, .. } => Some(task.clone()),
                _ => None,
            })
            .collect();
    assert!(commanded.len() >= 2, "{commanded:?}");
    let attempt_number = |scheduler: &Scheduler, task: &str| {
        let attempts = &scheduler.machines["m-0"].attempts;
        attempts
            .keys()
            .find(|id| id.task.wire_name() == task)
            .unwrap()
            .number
    };
    scheduler.set_drains(&records_by_host(&[drain_record(
        "m-0",
        None,
        RemainingWork::Leave,
    )]));
    assert!(
        scheduler.machines["m-0"].queue.is_empty(),
        "the queue of the cordoned machine is cleared"
    );
    // Start commands for several tasks were sent to the machine, but it reports only the first of
    // these tasks. The other tasks must not start later.
    let (task, number) = (
        commanded[0].as_str(),
        attempt_number(&scheduler, &commanded[0]),
    );
    let reported_tasks = |phase, cause| [(task, number, phase, cause)];
    let running = reported_tasks(Phase::Running, None);
    scheduler.handle_heartbeat(&report("m-0", 1, 3, 5, &running), 1.0);
    scheduler.place_all(1.1);
    assert_eq!(scheduler.machines["m-0"].live_attempts().count(), 1);
    assert!(scheduler.proven_drains(0, 9).is_empty(), "a task runs");
    let done = reported_tasks(Phase::Exited, Some(Cause::Done));
    scheduler.handle_heartbeat(&report("m-0", 1, 4, 5, &done), 2.0);
    assert!(
        scheduler.proven_drains(0, 9).is_empty(),
        "the end of the task is not recorded"
    );
    let completed = scheduler.jobs["run-1"].completed.clone();
    scheduler.completions_written("run-1", &completed, 2);
    let reply = commands(scheduler.handle_heartbeat(&report("m-0", 1, 5, 5, &done), 3.0));
    assert!(matches!(reply[..], [Command::Forget { .. }]), "{reply:?}");
    scheduler.handle_heartbeat(&report("m-0", 1, 6, 5, &[]), 4.0);
    scheduler.place_all(4.1);
    let proven = scheduler.proven_drains(9000, 9);
    let proof = reported_empty(9000);
    assert_eq!(proven.len(), 1);
    assert_eq!(proven[0].0.drained, Some(proof));
    let recorded = HashMap::from([("m-0".to_string(), (proven[0].0.clone(), 2))]);
    scheduler.set_drains(&recorded);
    assert_eq!(scheduler.drain_rows(5.0)[0].state, DrainState::Drained);
    // The drain ends: tasks start on the machine again.
    scheduler.set_drains(&HashMap::new());
    scheduler.handle_heartbeat(&report("m-0", 1, 7, 5, &[]), 5.0);
    scheduler.place_all(5.1);
    assert!(scheduler.machines["m-0"].live_attempts().count() > 0);
}

/// Guards against a task that runs or completes twice. A draining machine hangs, its task is
/// started on another machine, and then the first machine reports the task as done. The task may
/// start elsewhere only after the first machine is proven empty, and the late report must change
/// nothing.
#[test]
fn late_completion_after_a_restart_elsewhere_is_ignored() {
    let mut scheduler = scheduler_with_reported(&["m-0", "m-1"]);
    submit(&mut scheduler, "run-1", 1, 8.0, 0.0);
    scheduler.place_all(0.2);
    let placement = Placement::of(&scheduler);
    let (host, other_host) = (placement.host.as_str(), placement.other_host);
    let running = placement.reported_tasks(Phase::Running, None);
    scheduler.handle_heartbeat(&report(host, 1, 2, 5, &running), 0.5);
    scheduler.set_drains(&records_by_host(&[drain_record(
        host,
        Some(1.0),
        RemainingWork::Stop,
    )]));
    // The machine hangs: it sends no heartbeats and does not answer the stop command.
    for n in 0..9 {
        let now = 1.5 + f64::from(n);
        scheduler.handle_heartbeat(&report(other_host, 1, 2 + n as u64, 5, &[]), now);
        scheduler.tick(now, now);
        scheduler.place_all(now);
        assert_eq!(
            *scheduler.jobs["run-1"].placed[&0].machine, *host,
            "the task was started elsewhere at {now} s"
        );
        assert!(scheduler.proven_drains(0, 9).is_empty());
    }
    scheduler.handle_heartbeat(&report(other_host, 1, 20, 5, &[]), 12.0);
    scheduler.tick(12.0, 12.0);
    scheduler.place_all(12.0);
    assert_eq!(*scheduler.jobs["run-1"].placed[&0].machine, *other_host);
    assert_eq!(
        scheduler.proven_drains(0, 9)[0]
            .0
            .drained
            .as_ref()
            .unwrap()
            .proof,
        Proof::LeaseOver
    );
    // The machine resumes in the same session and reports the task as done.
    let done = placement.reported_tasks(Phase::Exited, Some(Cause::Done));
    let late_reply = scheduler.handle_heartbeat(&report(host, 1, 3, 5, &done), 12.5);
    assert!(
        matches!(late_reply, HeartbeatReply::Refuse),
        "{late_reply:?}"
    );
    assert!(scheduler.jobs["run-1"].completed.is_empty());
    let second_placement = Placement::of(&scheduler);
    assert!(second_placement.attempt > placement.attempt);
    let done = second_placement.reported_tasks(Phase::Exited, Some(Cause::Done));
    scheduler.handle_heartbeat(&report(other_host, 1, 21, 5, &done), 13.0);
    assert_eq!(scheduler.jobs["run-1"].completed.len(), 1);
}

/// Guards against a takeover that waits for a machine which was drained and then switched off, and
/// against a takeover that does not wait for a machine whose drain is not finished.
#[test]
fn takeover_waits_only_for_machines_that_are_not_drained() {
    for (proven, placement_begins) in [(true, true), (false, false)] {
        let mut scheduler = Scheduler::new(
            scheduler_config(vec![team("t", 0.0, 0.0)]),
            6,
            foxspur::coordination::scheduler::fence::Fence::new(6, Some(0.0)),
            7,
        );
        scheduler.set_types(&types());
        let mut cordoned = drain_record("m-1", None, RemainingWork::Leave);
        cordoned.drained = proven.then_some(reported_empty(0));
        scheduler.set_drains(&records_by_host(&[cordoned]));
        for id in ["m-0", "m-1"] {
            scheduler.add_recorded_machine(machine(id, "a", false), 0.0);
        }
        submit(&mut scheduler, "run-1", 4, 8.0, 0.0);
        scheduler.handle_heartbeat(&report("m-0", 1, 1, 6, &[]), 0.5);
        scheduler.place_all(0.6);
        assert_eq!(
            scheduler.fence.placement_allowed, placement_begins,
            "m-1 is proven empty: {proven}"
        );
        // The cordoned machine stays silent. It is returned to the cloud only if it was not
        // drained.
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
                .machines_presumed_dead(8.0)
                .contains(&"m-1".to_string()),
            !proven
        );
        scheduler.handle_heartbeat(&report("m-1", 1, 1, 6, &[]), 9.5);
        scheduler.handle_heartbeat(&report("m-0", 1, 9, 6, &[]), 9.5);
        scheduler.place_all(9.6);
        assert!(scheduler.fence.placement_allowed);
        assert!(
            scheduler.machines["m-1"].attempts.is_empty(),
            "no task starts on the cordoned machine"
        );
    }
}

/// Guards against drains that stop a service replica when they should not: while all machines are
/// cordoned, when the cloud announces that it takes the machine back, or while another machine
/// fails.
#[test]
fn service_replica_is_moved_only_when_another_machine_can_run_it() {
    let mut scheduler = scheduler_with_reported(&["m-0", "m-1"]);
    let mut service = spec("run-1", "t", Urgency::Prod, 1, 2.0);
    service.shape = Shape::Service;
    service.estimate_s = 0.0;
    add(&mut scheduler, service, 0.0);
    scheduler.place_all(0.2);
    let placement = Placement::of(&scheduler);
    let (host, other_host) = (placement.host.as_str(), placement.other_host);
    let running = placement.reported_tasks(Phase::Running, None);
    scheduler.handle_heartbeat(&report(host, 1, 2, 5, &running), 0.5);
    // Both machines are cordoned: no machine can take the replica, so it stays.
    let both = records_by_host(&[
        drain_record("m-0", None, RemainingWork::Leave),
        drain_record("m-1", None, RemainingWork::Leave),
    ]);
    scheduler.set_drains(&both);
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
    // The drain of the other machine ends: the replica is stopped on the draining machine, and
    // started on the other one only after it has stopped. A notice from the cloud in the meantime
    // that it takes the machine back changes nothing.
    scheduler.set_drains(&records_by_host(&[drain_record(
        host,
        None,
        RemainingWork::Leave,
    )]));
    scheduler.handle_heartbeat(&report(other_host, 1, 2, 5, &[]), 1.5);
    scheduler.place_all(1.6);
    scheduler.tick(1.7, 1.7);
    let mut noticed = report(host, 1, 3, 5, &running);
    noticed.notice_s = Some(30.0);
    let reply = commands(scheduler.handle_heartbeat(&noticed, 2.0));
    assert!(matches!(reply[..], [Command::Stop { .. }]), "{reply:?}");
    assert_eq!(*scheduler.jobs["run-1"].placed[&0].machine, *host);
    let stopped = placement.reported_tasks(Phase::Exited, Some(Cause::Stopped));
    scheduler.handle_heartbeat(&report(host, 1, 4, 5, &stopped), 2.5);
    scheduler.place_all(2.6);
    assert_eq!(*scheduler.jobs["run-1"].placed[&0].machine, *other_host);
    // The cloud removes the draining machine: the state of the drain is then "gone".
    scheduler.remove_machine(host);
    assert_eq!(scheduler.drain_rows(3.0)[0].state, DrainState::Gone);
    // The drain ends, then the second machine fails. As without a drain, the task counts as placed
    // on that machine until the machine's lease has expired.
    scheduler.set_drains(&HashMap::new());
    scheduler.tick(13.0, 13.0);
    scheduler.place_all(13.1);
    assert!(scheduler.jobs["run-1"].placed.is_empty());
}

/// Guards against invalid drain orders being accepted. The error names the invalid field.
#[test]
fn drain_orders_are_validated() {
    let valid = DrainOrder {
        order: "o-1".into(),
        hosts: vec!["m-0".into()],
        by: "someone".into(),
        why: "a new kernel".into(),
        deadline_s: None,
        rest: RemainingWork::Leave,
        term: None,
    };
    assert!(check(&valid).is_ok());
    type Invalidate = fn(&mut DrainOrder);
    let cases: [(&str, Invalidate); 8] = [
        ("order", |o| o.order = String::new()),
        ("by", |o| o.by = " ".into()),
        ("why", |o| o.why = String::new()),
        ("deadline_s", |o| o.deadline_s = Some(0.0)),
        ("deadline_s", |o| o.deadline_s = Some(f64::NAN)),
        ("hosts", |o| o.hosts.clear()),
        ("hosts", |o| o.hosts = vec!["a b".into()]),
        ("hosts", |o| o.hosts = vec!["../share/0".into()]),
    ];
    for (field, invalidate) in cases {
        let mut order = valid.clone();
        invalidate(&mut order);
        match check(&order) {
            Err(OrderError::InvalidField {
                field: named_field, ..
            }) => assert_eq!(named_field, field),
            other => panic!("expected an error that names {field}, got {other:?}"),
        }
    }
}

/// Guards against invalid rollout orders being accepted. The error names the invalid field.
#[test]
fn rollout_orders_are_validated() {
    let valid = RolloutOrder {
        name: "kernel".into(),
        by: "someone".into(),
        why: "a new kernel".into(),
        among: MachineSelector {
            zone: Some("a".into()),
            ..MachineSelector::default()
        },
        at_most: MaxOutOfUse::Machines(1),
        rest: RemainingWork::Leave,
        deadline_s: None,
        promise: RolloutExpectation::default(),
    };
    assert!(rollouts::check(&valid).is_ok());
    type InvalidateRollout = fn(&mut RolloutOrder);
    let cases: [(&str, InvalidateRollout); 5] = [
        ("name", |o| o.name = "a/b".into()),
        ("at_most", |o| o.at_most = MaxOutOfUse::Machines(0)),
        ("at_most", |o| o.at_most = MaxOutOfUse::Share(1.5)),
        ("promise.step_s", |o| o.promise.step_s = Some(-1.0)),
        ("among", |o| o.among = MachineSelector::default()),
    ];
    for (field, invalidate) in cases {
        let mut order = valid.clone();
        invalidate(&mut order);
        match rollouts::check(&order) {
            Err(OrderError::InvalidField {
                field: named_field, ..
            }) => assert_eq!(named_field, field),
            other => panic!("expected an error that names {field}, got {other:?}"),
        }
    }
}

/// Guards against drains that are lost or reappear after their end because updates arrive out of
/// order: a list that was read before a drain ended is applied after the watch reported the end, or
/// an old version of a record arrives late.
#[test]
fn drain_updates_apply_in_any_order() {
    let entry = |version: u64| Entry {
        key: records::drain_key("m-0"),
        value: serde_json::value::to_raw_value(&drain_record("m-0", None, RemainingWork::Leave))
            .unwrap(),
        version,
    };
    type Change = fn(&mut ClusterView, Entry, Entry);
    let cases: [(&str, Change, Option<u64>); 6] = [
        ("one update", |view, old, _| view.apply_entry(&old), Some(3)),
        (
            "an old version arrives late",
            |view, old, new| {
                view.apply_entry(&new);
                view.apply_entry(&old);
            },
            Some(5),
        ),
        (
            "the drain has ended",
            |view, old, _| {
                view.apply_entry(&old);
                view.apply_deletion(&old.key, 6);
            },
            None,
        ),
        (
            "an older drain has ended",
            |view, _, new| {
                view.apply_entry(&new);
                view.apply_deletion(&new.key, 4);
            },
            Some(5),
        ),
        (
            "a list from before the end of the drain is applied after it",
            |view, old, _| {
                view.apply_entry(&old);
                view.apply_deletion(&old.key, 6);
                view.advance_to(6);
                view.apply_drain_listing(&[old], 4);
            },
            None,
        ),
        (
            "a list without the drain",
            |view, old, _| {
                view.apply_entry(&old);
                view.apply_drain_listing(&[], 9);
            },
            None,
        ),
    ];
    for (name, change, expected) in cases {
        let mut view = ClusterView::default();
        change(&mut view, entry(3), entry(5));
        assert_eq!(view.drains.get("m-0").map(|d| d.1), expected, "{name}");
    }
    // A drain record that cannot be parsed cordons its machine, but the machine never counts as
    // drained.
    let mut view = ClusterView::default();
    view.apply_entry(&Entry {
        value: serde_json::value::to_raw_value(&7).unwrap(),
        ..entry(3)
    });
    let mut scheduler = scheduler_with_reported(&["m-0"]);
    scheduler.handle_heartbeat(&report("m-0", 1, 2, 5, &[]), 0.5);
    scheduler.place_all(0.6);
    scheduler.set_drains(&view.drains);
    assert!(scheduler.machines["m-0"].cordoned && scheduler.proven_drains(0, 9).is_empty());
}

/// A running rollout over these machines that has not taken a step yet.
fn rollout(hosts: &[&str], at_most: MaxOutOfUse) -> Rollout {
    Rollout {
        name: "kernel".into(),
        by: "someone".into(),
        why: "a new kernel".into(),
        at_ms: 0,
        hosts: hosts.iter().map(std::string::ToString::to_string).collect(),
        at_most,
        rest: RemainingWork::Leave,
        deadline_s: None,
        promise: RolloutExpectation {
            late: 1,
            step_s: Some(60.0),
            back_s: Some(300.0),
        },
        state: RolloutState::Running,
        reason: String::new(),
        next: 0,
        late_before: None,
    }
}

/// A fleet of six machines, three in each of the zones `a` and `b`. `out_of_use` is the number of
/// machines out of use in each zone.
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
                let count = ZoneMachineCounts {
                    machines: 3,
                    out_of_use,
                };
                (zone.to_string(), count)
            })
            .collect(),
        ..FleetView::default()
    }
}

/// A case for the next step of a rollout that, unless `change` says otherwise, drains one machine
/// of each zone at a time.
struct RolloutCase<'a> {
    name: &'a str,
    /// Number of machines out of use in each zone.
    out_of_use: [u32; 2],
    /// Drains before the step, by machine name, each with the version of its record.
    drains: Vec<(String, (Drain, u64))>,
    /// Further changes to the rollout and the fleet before the step.
    change: fn(&mut Rollout, &mut FleetView),
    /// Machines whose drains are expected to begin.
    begin: &'a [&'a str],
    /// Machines whose drains are expected to end.
    end: &'a [&'a str],
    /// Expected state of the rollout after the step.
    state: RolloutState,
}

impl RolloutCase<'_> {
    /// Computes the next step of a rollout over these machines and asserts the expected result.
    fn check(self, hosts: &[&str]) {
        let name = self.name;
        let mut rollout = rollout(hosts, MaxOutOfUse::Machines(1));
        let mut fleet = fleet_view(self.out_of_use);
        fleet.drains = self.drains.into_iter().collect();
        (self.change)(&mut rollout, &mut fleet);
        match next_step(&rollout, &fleet, 20) {
            Some(step) => {
                let reason = &step.rollout.reason;
                let halted = self.state == RolloutState::Halted;
                assert_eq!(step.begin, self.begin, "{name}");
                assert_eq!(step.end, self.end, "{name}");
                assert_eq!(step.rollout.state, self.state, "{name}: {reason}");
                assert_eq!(reason.is_empty(), !halted, "{name}");
            }
            None => assert!(
                self.begin.is_empty() && self.end.is_empty() && self.state == rollout.state,
                "{name}"
            ),
        }
    }
}

/// Guards against a rollout that drains more machines of a zone than its limit allows, that
/// continues although an expectation of its plan is exceeded, or that never ends.
#[test]
#[allow(clippy::too_many_lines, reason = "one table of cases")]
fn rollout_steps() {
    let hosts = ["m-0", "m-3", "m-1", "m-4"];
    let rollout_drain = |host: &str, at_ms: u64, drained_at_ms: Option<u64>| {
        let drained = drained_at_ms.map(reported_empty);
        let drain = Drain {
            at_ms,
            drained,
            roll: Some("kernel".into()),
            ..drain_record(host, None, RemainingWork::Leave)
        };
        (host.to_string(), (drain, 3))
    };
    use RolloutState::{Back, Done, Halted, Running};
    let cases: Vec<RolloutCase> = vec![
        RolloutCase {
            name: "one machine of each zone",
            out_of_use: [0, 0],
            drains: vec![],
            change: |_, _| {},
            begin: &["m-0", "m-3"],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "one machine of a zone is out of use already",
            out_of_use: [1, 0],
            drains: vec![],
            change: |_, _| {},
            begin: &[],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "two machines of each zone",
            out_of_use: [0, 0],
            drains: vec![],
            change: |rollout, _| rollout.at_most = MaxOutOfUse::Machines(2),
            begin: &["m-0", "m-3", "m-1", "m-4"],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "two thirds of each zone",
            out_of_use: [0, 0],
            drains: vec![],
            change: |rollout, _| rollout.at_most = MaxOutOfUse::Share(0.67),
            begin: &["m-0", "m-3", "m-1", "m-4"],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "a fraction below one machine",
            out_of_use: [0, 0],
            drains: vec![],
            change: |rollout, _| rollout.at_most = MaxOutOfUse::Share(0.01),
            begin: &["m-0", "m-3"],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "drained but not restarted yet",
            out_of_use: [1, 1],
            drains: vec![rollout_drain("m-0", 90_000, Some(95_000))],
            change: |rollout, _| rollout.next = 2,
            begin: &[],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "restarted",
            out_of_use: [1, 1],
            drains: vec![rollout_drain("m-0", 90_000, Some(95_000))],
            change: |rollout, fleet| {
                rollout.next = 2;
                fleet.restarted = vec!["m-0".into()];
            },
            begin: &[],
            end: &["m-0"],
            state: Running,
        },
        RolloutCase {
            name: "removed by the cloud",
            out_of_use: [0, 1],
            drains: vec![rollout_drain("m-0", 90_000, None)],
            change: |rollout, fleet| {
                rollout.next = 2;
                fleet.zones.remove("m-0");
            },
            begin: &["m-1"],
            end: &["m-0"],
            state: Running,
        },
        RolloutCase {
            name: "not drained in time",
            out_of_use: [1, 0],
            drains: vec![rollout_drain("m-0", 39_000, None)],
            change: |rollout, _| rollout.next = 1,
            begin: &[],
            end: &[],
            state: Halted,
        },
        RolloutCase {
            name: "not restarted in time",
            out_of_use: [1, 0],
            drains: vec![rollout_drain("m-0", 0, Some(0))],
            change: |rollout, fleet| {
                rollout.next = 1;
                fleet.now_ms = 400_000;
            },
            begin: &[],
            end: &[],
            state: Halted,
        },
        RolloutCase {
            name: "more late jobs than promised",
            out_of_use: [0, 0],
            drains: vec![],
            change: |rollout, fleet| {
                rollout.late_before = Some(2);
                fleet.late_jobs = 4;
            },
            begin: &[],
            end: &[],
            state: Halted,
        },
        RolloutCase {
            name: "as many late jobs as promised",
            out_of_use: [0, 0],
            drains: vec![],
            change: |rollout, fleet| {
                rollout.late_before = Some(2);
                fleet.late_jobs = 3;
            },
            begin: &["m-0", "m-3"],
            end: &[],
            state: Running,
        },
        RolloutCase {
            name: "the last machine has restarted",
            out_of_use: [0, 1],
            drains: vec![rollout_drain("m-4", 90_000, Some(95_000))],
            change: |rollout, fleet| {
                rollout.next = 4;
                fleet.restarted = vec!["m-4".into()];
            },
            begin: &[],
            end: &["m-4"],
            state: Done,
        },
        RolloutCase {
            name: "rolled back",
            out_of_use: [1, 1],
            drains: vec![
                rollout_drain("m-0", 0, None),
                rollout_drain("m-3", 0, Some(1)),
            ],
            change: |rollout, _| rollout.state = Back,
            begin: &[],
            end: &["m-0", "m-3"],
            state: Back,
        },
        RolloutCase {
            name: "rolled back, all drains have ended",
            out_of_use: [0, 0],
            drains: vec![],
            change: |rollout, _| rollout.state = Back,
            begin: &[],
            end: &[],
            state: Done,
        },
    ];
    for case in cases {
        case.check(&hosts);
    }
    // A rollout that is halted or done takes no step.
    for state in [Halted, Done] {
        let rollout = Rollout {
            state,
            ..rollout(&hosts, MaxOutOfUse::Machines(1))
        };
        assert_eq!(next_step(&rollout, &fleet_view([0, 0]), 20), None);
    }
    // In the order in which a rollout drains machines, the zones alternate.
    let machines = [("m-1", "a"), ("m-0", "a"), ("m-5", "b")].map(|(m, z)| (m.into(), z.into()));
    assert_eq!(round_robin_by_zone(&machines), ["m-0", "m-5", "m-1"]);
}

/// Guards against operators' orders that change a rollout's state in a way that is not allowed from
/// its present state.
#[test]
fn rollout_orders_allow_only_valid_state_changes() {
    use RolloutState::{Back, Done, Halted, Running};
    let cases = [
        (RolloutAction::Halt, Running, Some(Halted)),
        (RolloutAction::Halt, Halted, None),
        (RolloutAction::Resume, Halted, Some(Running)),
        (RolloutAction::Resume, Done, None),
        (RolloutAction::Back, Running, Some(Back)),
        (RolloutAction::Back, Halted, Some(Back)),
        (RolloutAction::Back, Done, None),
        (RolloutAction::Forget, Running, None),
    ];
    for (turn, state, expected) in cases {
        let order = RolloutActionOrder {
            name: "kernel".into(),
            by: "someone".into(),
            turn,
        };
        let rollout = Rollout {
            state,
            late_before: Some(3),
            ..rollout(&["m-0"], MaxOutOfUse::Machines(1))
        };
        let next = rollouts::apply_turn(&rollout, &order);
        match (next, expected) {
            (Ok(Some(next)), Some(state)) => assert_eq!(next.state, state),
            (Err(OrderError::Conflict(_)), None) => {}
            (next, _) => panic!("{turn:?} of a rollout in state {state:?}: {next:?}"),
        }
    }
}
