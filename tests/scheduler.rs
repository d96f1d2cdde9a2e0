//! Tests of the scheduler: fencing after a takeover, starts in flight, quotas, guarantees,
//! preemption and placement.

mod common;

use common::*;
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::jobs::completion_batch::{self, BatchLimits};
use foxspur::coordination::scheduler::fence::unfenced_leaders;
use foxspur::coordination::scheduler::machine::MachineStatus;
use foxspur::coordination::scheduler::quota::within_limit;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::{JobSpec, Urgency};
use foxspur::protocol::settings::Team;
use foxspur::protocol::state::Txn;
use foxspur::protocol::worker::{Cause, Command, Phase, Report};
use foxspur::storage::completed_tasks::CompletedTasks;
use foxspur::storage::record_limits::RecordLimits;
use foxspur::storage::records::{self, FormerLeader, TermCounter, TOKENS_PER_TERM};
use foxspur::transport::token_bucket::TokenBucket;
use foxspur_testbed::store::Store;

/// A task as a heartbeat reports it: its name, attempt number, phase and cause of exit, if any.
type ReportedTask<'a> = (&'a str, u64, Phase, Option<Cause>);

/// An attempt that a command starts: the name of the task and the number of the attempt.
type StartedAttempt = (String, u64);

/// The counts of completed and running tasks of a job.
fn task_counts(scheduler: &Scheduler, id: &str) -> Option<(u32, u32)> {
    let progress = scheduler.progress(id);
    progress.map(|counts| (counts.done, counts.running))
}

/// Delivers a heartbeat and returns the fencing token and the commands of the reply.
fn heartbeat_reply(scheduler: &mut Scheduler, report: &Report, now: f64) -> (u64, Vec<Command>) {
    match scheduler.handle_heartbeat(report, now) {
        HeartbeatReply::Commands(reply) => (reply.token, reply.commands),
        other => panic!("expected commands, got {other:?}"),
    }
}

/// Delivers a heartbeat and returns the commands of the reply.
fn heartbeat(scheduler: &mut Scheduler, report: &Report, now: f64) -> Vec<Command> {
    heartbeat_reply(scheduler, report, now).1
}

/// The attempts started by the commands.
fn started_by(commands: &[Command]) -> Vec<StartedAttempt> {
    let start = |c: &Command| match c {
        Command::Start { task, attempt } => Some((task.clone(), *attempt)),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}

/// How many of the commands stop an attempt.
fn count_stops(commands: &[Command]) -> usize {
    let stops = commands.iter();
    stops.filter(|c| matches!(c, Command::Stop { .. })).count()
}

/// Whether any of the commands tells the worker to forget an attempt.
fn has_forget(commands: &[Command]) -> bool {
    commands.iter().any(|c| matches!(c, Command::Forget { .. }))
}

/// The attempts, as a heartbeat reports them while they run.
fn reported_running(started: &[StartedAttempt]) -> Vec<ReportedTask<'_>> {
    let seen = started.iter();
    seen.map(|(task, attempt)| (task.as_str(), *attempt, Phase::Running, None))
        .collect()
}

/// The attempt, as a heartbeat reports it after its exit.
fn reported_exited(started: &StartedAttempt, cause: Cause) -> [ReportedTask<'_>; 1] {
    [(started.0.as_str(), started.1, Phase::Exited, Some(cause))]
}

/// One team without guarantee or limit.
fn unlimited_team() -> Vec<Team> {
    vec![team("t", 0.0, 0.0)]
}

/// A job of the team `t` with standard urgency.
fn standard_job(id: &str, tasks: u32, cpus: f64) -> JobSpec {
    spec(id, "t", Urgency::Standard, tasks, cpus)
}

/// A scheduler with one machine, `m1`, that has sent a heartbeat under the scheduler's term at
/// time 0.
fn fenced_scheduler(teams: Vec<Team>) -> Scheduler {
    let mut scheduler = scheduler(teams, 5, &["m1"]);
    heartbeat(&mut scheduler, &report("m1", 1, 1, 5, &[]), 0.0);
    scheduler
}

/// Guards against starting a task twice after a takeover: an attempt that the former leader
/// started may be on a machine that has not sent a heartbeat yet.
#[test]
fn nothing_starts_before_every_machine_is_fenced() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1", "m2"]);
    add(&mut scheduler, standard_job("run-1", 1, 1.0), 0.0);
    // The first heartbeat still carries the old term, so the reply only tells the machine the new
    // term.
    assert!(heartbeat(&mut scheduler, &report("m1", 1, 1, 4, &[]), 1.0).is_empty());
    assert!(heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 2.0).is_empty());
    assert!(!scheduler.allow_placement_if_fenced());
    let reported = [("run-1/0", 9, Phase::Running, None)];
    assert!(heartbeat(&mut scheduler, &report("m2", 1, 7, 5, &reported), 3.0).is_empty());
    assert!(scheduler.allow_placement_if_fenced());
    // The task runs on m2, so m1 gets no start.
    assert!(heartbeat(&mut scheduler, &report("m1", 1, 3, 5, &[]), 4.0).is_empty());
    assert_eq!(task_counts(&scheduler, "run-1"), Some((0, 1)));
}

/// Guards against treating a silent machine as empty too early. A machine that sends no heartbeats
/// may still run tasks. It is certainly empty only when a full lease has passed since the last
/// time at which a former leader may have replied to it.
#[test]
fn a_silent_machine_counts_as_empty_only_after_its_lease() {
    // Time since which former leaders have not replied to workers, current time, and whether
    // fencing is complete.
    for (silent_since, now, complete) in [
        (None, 1000.0, false),
        (Some(0.0), 9.0, false),
        (Some(0.0), 10.2, true),
        (Some(60.0), 65.0, false),
        (Some(60.0), 70.2, true),
    ] {
        let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
        scheduler.fence.former_leaders_stopped_since = silent_since;
        scheduler.tick(now, now);
        assert_eq!(
            scheduler.allow_placement_if_fenced(),
            complete,
            "former leaders silent since {silent_since:?}, now {now}"
        );
    }
}

/// Guards against answering a session whose tasks already count as lost: the reply would renew
/// the session's lease, and the old attempts would keep running beside new attempts of the same
/// tasks. A later session gets commands only once it has shown a token that was never sent before.
#[test]
fn an_expired_session_is_never_answered_again() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
    heartbeat(&mut scheduler, &report("m1", 1, 1, 5, &[]), 1.0);
    scheduler.tick(11.5, 11.5);
    assert!(matches!(
        scheduler.handle_heartbeat(&report("m1", 1, 2, 5, &[]), 12.0),
        HeartbeatReply::Refuse
    ));
    assert!(matches!(
        scheduler.handle_heartbeat(&report("m1", 2, 3, 5, &[]), 13.0),
        HeartbeatReply::IncarnationCheck(6)
    ));
    assert!(matches!(
        scheduler.handle_heartbeat(&report("m1", 2, 4, 6, &[]), 13.5),
        HeartbeatReply::Commands(_)
    ));
}

/// Guards against two attempts of a task under two leaders. Without contact to the state service,
/// a former leader would consider a machine expired although a new leader renews the machine's
/// lease, and would start the machine's tasks elsewhere. (Found by the simulation.)
#[test]
fn no_machine_expires_without_contact_to_the_state_service() {
    // Time of the last confirmed leadership, and whether the machine expires.
    for (confirmed_at, expired) in [(5.0, false), (11.0, false), (11.2, true)] {
        let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
        heartbeat(&mut scheduler, &report("m1", 1, 1, 5, &[]), 1.0);
        scheduler.tick(30.0, confirmed_at);
        assert_eq!(
            scheduler.wanted_machine_record().is_empty(),
            expired,
            "leadership confirmed at {confirmed_at}"
        );
    }
}

/// Guards against expiring a machine too early after a takeover. Until the machine has seen the
/// new term, a reply of the former leader may renew the machine's lease, even after the new leader
/// has answered the machine.
#[test]
fn the_lease_counts_from_the_first_heartbeat_under_the_new_term() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
    heartbeat(&mut scheduler, &report("m1", 1, 1, 4, &[]), 1.0);
    heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 8.0);
    scheduler.tick(11.5, 11.5);
    assert!(scheduler
        .wanted_machine_record()
        .iter()
        .any(|m| m.id == "m1"));
}

/// Guards against starting a task twice: a start whose outcome is unknown keeps its task placed
/// until it is certain that the start can no longer be executed.
#[test]
fn a_start_in_flight_counts_as_placed() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
    scheduler.set_types(&types());
    heartbeat(&mut scheduler, &report("m1", 1, 1, 5, &[]), 0.0);
    add(&mut scheduler, standard_job("run-1", 1, 1.0), 0.0);
    scheduler.place_all(0.1);
    let name = "m1".into();
    let due = scheduler.next_direct_call(&name, 0.1);
    let (_, call) = due.expect("a direct call");
    let (task, attempt) = started_by(&call.commands)[0].clone();
    scheduler.direct_call_finished(&name, &call, CallResult::Unknown, 1.0);
    // The heartbeat does not report the attempt, so the reply starts the same attempt again.
    let again = heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 1.5);
    assert_eq!(started_by(&again), vec![(task.clone(), attempt)]);
    // The attempt failed. The worker must not forget the attempt while the direct call may still
    // arrive late and start the attempt again.
    let started = (task, attempt);
    let failed = reported_exited(&started, Cause::Error);
    let reply = heartbeat(&mut scheduler, &report("m1", 1, 3, 5, &failed), 2.0);
    assert!(
        !has_forget(&reply),
        "unexpected command to forget: {reply:?}"
    );
    // The machine refuses the late call once it has received a higher token. The scheduler raises
    // the token of this machine alone, which needs no write to the state service.
    let late = 2.0 + CANCEL_S / 8.0;
    heartbeat(&mut scheduler, &report("m1", 1, 4, 5, &failed), late);
    assert!(!scheduler.raise_overdue_tokens(late));
    let (token, _) = heartbeat_reply(&mut scheduler, &report("m1", 1, 5, 5, &failed), late + 0.5);
    assert_eq!(token, 6);
    let reply = heartbeat(&mut scheduler, &report("m1", 1, 6, 6, &failed), late + 1.0);
    assert!(has_forget(&reply), "no command to forget: {reply:?}");
}

/// Guards against cancelled tasks that keep running and tasks that run twice: a worker that has
/// forgotten an attempt starts the attempt again if a copy of the direct call with its start
/// arrives late. Therefore a command to forget an attempt carries a higher token than the direct
/// call, and the command is not sent while another direct call is in flight.
#[test]
fn a_late_copy_of_a_direct_start_is_refused_once_the_task_is_forgotten() {
    let mut scheduler = fenced_scheduler(unlimited_team());
    let (name, mut seq, mut token) = ("m1".into(), 1, 5);
    for (n, other_call) in [(1, false), (3, true), (5, false)] {
        let (id, now) = (format!("run-{n}"), f64::from(n) * 10.0);
        seq += 1;
        heartbeat(&mut scheduler, &report("m1", 1, seq, token, &[]), now);
        add(&mut scheduler, standard_job(&id, 1, 1.0), now);
        scheduler.place_all(now);
        let due = scheduler.next_direct_call(&name, now);
        let (_, call) = due.expect("a direct call");
        let (task, attempt) = started_by(&call.commands)[0].clone();
        assert_eq!(call.token, token);
        let failed = [(task.as_str(), attempt, Phase::Exited, Some(Cause::Error))];
        scheduler.finish_job(&id);
        let mut next = || {
            seq += 1;
            report("m1", 1, seq, token, &failed)
        };
        scheduler.direct_call_finished(&name, &call, CallResult::Executed(next()), now + 0.5);
        if other_call {
            // Another call is in flight. The machine would refuse that call after receiving a
            // higher token.
            let other = standard_job(&format!("run-{}", n + 1), 1, 1.0);
            add(&mut scheduler, other, now);
            scheduler.place_all(now + 0.6);
            let due = scheduler.next_direct_call(&name, now + 0.6);
            let (_, call) = due.expect("a direct call");
            let early_reply = heartbeat_reply(&mut scheduler, &next(), now + 0.7);
            assert!(
                early_reply.0 == call.token && early_reply.1.is_empty(),
                "unexpected reply while a call is in flight: {early_reply:?}"
            );
            scheduler.finish_job(&format!("run-{}", n + 1));
            scheduler.direct_call_finished(&name, &call, CallResult::NotSent, now + 1.0);
        }
        let (new_token, commands) = heartbeat_reply(&mut scheduler, &next(), now + 2.0);
        assert!(matches!(commands[..], [Command::Forget { .. }]));
        assert!(
            new_token > call.token,
            "a copy of the call with token {} would start the task again",
            call.token
        );
        token = new_token;
        seq += 1;
        heartbeat(&mut scheduler, &report("m1", 1, seq, token, &[]), now + 3.0);
    }
    // A heartbeat with a token within the term's range does not indicate another leader. A
    // heartbeat with a token beyond the range does, and the next term is above the range.
    let reply = scheduler.handle_heartbeat(&report("m1", 1, 99, 5 + TOKENS_PER_TERM, &[]), 50.0);
    assert!(matches!(reply, HeartbeatReply::Superseded));
    assert!(TermCounter::after_taking(5).term + 1 == 5 + TOKENS_PER_TERM);
}

/// Guards against a machine whose attempts can no longer be forgotten: once all tokens of a term
/// are used up for the machine, a higher term must be written.
#[test]
fn a_machine_that_used_up_its_tokens_needs_a_higher_term() {
    let mut scheduler = fenced_scheduler(unlimited_team());
    let name = "m1".into();
    let (mut seq, mut token, mut raised) = (1, 5, 0);
    for n in 0..TOKENS_PER_TERM + 9 {
        let (id, now) = (format!("run-{n}"), 1.0 + n as f64);
        seq += 1;
        token = heartbeat_reply(&mut scheduler, &report("m1", 1, seq, token, &[]), now).0;
        add(&mut scheduler, standard_job(&id, 1, 1.0), now);
        scheduler.place_all(now);
        let due = scheduler.next_direct_call(&name, now);
        let (_, call) = due.expect("a direct call");
        let (task, attempt) = started_by(&call.commands)[0].clone();
        let failed = [(task.as_str(), attempt, Phase::Exited, Some(Cause::Error))];
        scheduler.finish_job(&id);
        seq += 1;
        let result = CallResult::Executed(report("m1", 1, seq, token, &failed));
        scheduler.direct_call_finished(&name, &call, result, now + 0.1);
        if scheduler.raise_overdue_tokens(now) {
            raised += 1;
            scheduler.raise_term(5 + TOKENS_PER_TERM);
        }
        seq += 1;
        let (new_token, commands) = heartbeat_reply(
            &mut scheduler,
            &report("m1", 1, seq, token, &failed),
            now + 0.2,
        );
        assert!(
            commands.len() == 1 && new_token > token,
            "round {n}: unexpected commands {commands:?}"
        );
        token = new_token;
        seq += 1;
        heartbeat(&mut scheduler, &report("m1", 1, seq, token, &[]), now + 0.3);
        scheduler.collect_garbage();
    }
    assert!(
        raised == 1 && token > 5 + TOKENS_PER_TERM,
        "raised: {raised}, token: {token}"
    );
}

/// Guards against malformed, outdated or reordered heartbeats changing the state of tasks.
#[test]
fn old_heartbeats_change_nothing() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
    add(&mut scheduler, standard_job("run-1", 1, 1.0), 0.0);
    let running = [("run-1/0", 3, Phase::Running, None)];
    heartbeat(&mut scheduler, &report("m1", 2, 9, 5, &running), 1.0);
    for (session, seq) in [(2, 8), (1, 99), (2, 9)] {
        let done = [("run-1/0", 3, Phase::Exited, Some(Cause::Done))];
        assert!(heartbeat(&mut scheduler, &report("m1", session, seq, 5, &done), 2.0).is_empty());
        assert_eq!(
            task_counts(&scheduler, "run-1"),
            Some((0, 1)),
            "session {session}, sequence number {seq}"
        );
    }
    let malformed = [
        ("no task", 1, Phase::Running, None),
        ("run-1/77", 1, Phase::Running, None),
    ];
    heartbeat(&mut scheduler, &report("m1", 2, 10, 5, &malformed), 3.0);
}

/// Guards against losing a completion: the command to forget a completed task is sent only after
/// the completion is saved in the state service.
#[test]
fn completions_are_saved_before_they_are_forgotten() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
    add(&mut scheduler, standard_job("run-1", 2, 1.0), 0.0);
    let done = [("run-1/1", 3, Phase::Exited, Some(Cause::Done))];
    let reply = heartbeat(&mut scheduler, &report("m1", 1, 1, 5, &done), 1.0);
    assert!(!has_forget(&reply));
    assert_eq!(
        task_counts(&scheduler, "run-1"),
        Some((0, 0)),
        "a completion must not count before it is saved"
    );
    scheduler.completions_written("run-1", &CompletedTasks::from_text("1", 2), 2);
    let reply = heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &done), 2.0);
    assert!(has_forget(&reply));
    assert_eq!(task_counts(&scheduler, "run-1"), Some((1, 0)));
}

/// All attempts of a cancelled job are stopped, including those whose start is still in flight.
#[test]
fn a_cancelled_job_leaves_no_attempts() {
    let mut scheduler = fenced_scheduler(unlimited_team());
    add(&mut scheduler, standard_job("run-1", 3, 1.0), 0.0);
    let started = started_by(&heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 1.0));
    assert_eq!(started.len(), 3);
    scheduler.finish_job("run-1");
    let reported = reported_running(&started);
    let reply = heartbeat(&mut scheduler, &report("m1", 1, 3, 5, &reported), 2.0);
    assert_eq!(count_stops(&reply), 3);
    assert!(started_by(&reply).is_empty());
    heartbeat(&mut scheduler, &report("m1", 1, 4, 5, &[]), 3.0);
    scheduler.collect_garbage();
    assert!(scheduler.jobs.is_empty());
}

/// An attempt counts against its team's limit as long as the attempt is or may be on a machine.
#[test]
fn a_team_stays_within_its_limit() {
    let mut scheduler = fenced_scheduler(vec![team("t", 0.0, 6.0)]);
    add(&mut scheduler, standard_job("run-1", 9, 2.0), 0.0);
    let started = started_by(&heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 1.0));
    assert_eq!(started.len(), 3);
    // Limit of the team and its usage, both in CPUs; number of additional tasks of 2 CPUs; and
    // whether the limit admits them.
    for (cpus_max, used_cpus, tasks, is_admitted) in [
        (0.0, 1e6, 5.0, true),
        (6.0, 4.0, 1.0, true),
        (6.0, 4.5, 1.0, false),
        (6.0, 0.0, 4.0, false),
    ] {
        let team = team("t", 0.0, cpus_max);
        let spec = spec("run-1", "t", Urgency::Idle, 9, 2.0);
        let admits = within_limit(Some(&team), (used_cpus, 0.0), &spec, tasks);
        assert_eq!(admits, is_admitted);
    }
}

/// Work is preempted for work of higher urgency, but not of equal urgency. Work on borrowed
/// capacity is preempted for guaranteed work. A team at its limit preempts its own less urgent
/// work.
#[test]
fn preemption_depends_on_urgency_guarantee_and_limit() {
    use Urgency::{High, Idle, Prod, Standard};
    let cases = [
        // Team and urgency of the running job; team and urgency of the waiting job; limit of team
        // `a` in CPUs (0 for none); and whether the running job is preempted.
        ("a", Idle, "b", Standard, 0.0, true),
        ("a", Standard, "b", Standard, 0.0, false),
        ("a", High, "b", Standard, 0.0, false),
        ("a", High, "b", Prod, 0.0, true),
        ("a", High, "g", Idle, 0.0, true),
        ("g", Idle, "b", High, 0.0, false),
        // Borrowed work of the same team must not preempt guaranteed work, since jobs could then
        // preempt each other in a cycle.
        ("g", Idle, "g", High, 0.0, false),
        ("a", Idle, "a", High, 8.0, true),
        ("a", High, "a", High, 8.0, false),
    ];
    for (i, (running_team, running_urgency, waiting_team, waiting_urgency, limit, preempted)) in
        cases.into_iter().enumerate()
    {
        let teams = vec![
            team("a", 0.0, limit),
            team("b", 0.0, 0.0),
            team("g", 8.0, 0.0),
        ];
        let mut scheduler = fenced_scheduler(teams);
        add(
            &mut scheduler,
            spec("run-1", running_team, running_urgency, 4, 2.0),
            0.0,
        );
        let started = started_by(&heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 1.0));
        assert_eq!(started.len(), 4, "case {i}");
        add(
            &mut scheduler,
            spec("run-2", waiting_team, waiting_urgency, 1, 2.0),
            1.0,
        );
        scheduler.place_all(1.5);
        let reported = reported_running(&started);
        let reply = heartbeat(&mut scheduler, &report("m1", 1, 3, 5, &reported), 2.0);
        assert_eq!(
            count_stops(&reply),
            usize::from(preempted),
            "case {i}: {reply:?}"
        );
    }
}

/// Among queued tasks, the one with the smallest predicted run time starts first.
#[test]
fn the_queued_task_with_the_smallest_prediction_starts_first() {
    let mut scheduler = fenced_scheduler(unlimited_team());
    add(&mut scheduler, standard_job("run-1", 1, 8.0), 0.0);
    let first = started_by(&heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 0.1));
    for (i, estimate) in [30.0, 5.0].into_iter().enumerate() {
        let mut waiting = standard_job(&format!("run-{}", i + 2), 1, 8.0);
        waiting.estimate_s = estimate;
        add(&mut scheduler, waiting, 0.2 + 0.1 * i as f64);
        scheduler.place_all(0.2 + 0.1 * i as f64);
    }
    let done = reported_exited(&first[0], Cause::Done);
    let next = started_by(&heartbeat(
        &mut scheduler,
        &report("m1", 1, 3, 5, &done),
        0.8,
    ));
    assert_eq!(next[0].0, "run-3/0");
}

/// Tasks of a one-zone job are all in one zone. For a spread job, the maximum in any one zone
/// is half of the tasks, rounded up.
#[test]
fn zone_constraints_limit_where_tasks_start() {
    for (one_zone, spread, tasks, expected_starts) in [(true, false, 4, 4), (false, true, 5, 3)] {
        let mut scheduler = scheduler(unlimited_team(), 5, &["m1", "m2"]);
        for (id, seq) in [("m1", 1), ("m2", 1)] {
            heartbeat(&mut scheduler, &report(id, 1, seq, 5, &[]), 0.0);
        }
        let mut job = standard_job("run-1", tasks, 1.0);
        (job.one_zone, job.spread) = (one_zone, spread);
        add(&mut scheduler, job, 0.0);
        let mut started = 0;
        for id in ["m1", "m2"] {
            started += started_by(&heartbeat(&mut scheduler, &report(id, 1, 2, 5, &[]), 1.0)).len();
        }
        assert_eq!(started, expected_starts, "both machines are in zone a");
    }
}

/// A machine on which tasks of several jobs have failed is drained.
#[test]
fn a_faulty_machine_is_drained() {
    let mut scheduler = fenced_scheduler(unlimited_team());
    for seq in 2..6 {
        add(
            &mut scheduler,
            standard_job(&format!("run-{seq}"), 1, 1.0),
            0.0,
        );
        let task = format!("run-{seq}/0");
        let failed = [(task.as_str(), seq, Phase::Exited, Some(Cause::Error))];
        heartbeat(
            &mut scheduler,
            &report("m1", 1, seq, 5, &failed),
            seq as f64,
        );
    }
    scheduler.tick(6.0, 6.0);
    let status = scheduler.machines["m1"].status;
    assert_eq!(status, MachineStatus::Draining);
}

/// A former leader no longer replies to workers once its host has another incarnation, or once its
/// time has ended according to every clock within the drift bound.
#[test]
fn a_former_leader_is_silent_after_a_restart_or_the_end_of_its_time() {
    let former_leader = |until_ms| FormerLeader {
        host: "h".into(),
        incarnation: 7,
        until_ms,
    };
    // Current incarnation of the former leader's host, if known; end of the former leader's time
    // and current time, both in milliseconds; and the number of former leaders that may still
    // reply to workers.
    for (alive, until_ms, now_ms, expected) in [
        (Some(7), 5000, 1000, 1),
        (Some(8), 5000, 1000, 0),
        (None, 5000, 1000, 1),
        (None, 5000, 6900, 1),
        (None, 5000, 7100, 0),
    ] {
        let former_leaders = [former_leader(until_ms)];
        assert_eq!(
            unfenced_leaders(&former_leaders, |_| alive, now_ms, 1000).len(),
            expected,
            "incarnation {alive:?}, end {until_ms} ms, now {now_ms} ms"
        );
    }
}

/// The overview names the jobs that are stuck, with the reason for each.
#[test]
fn the_overview_names_stuck_jobs_with_reasons() {
    let mut scheduler = fenced_scheduler(vec![team("t", 0.0, 2.0), team("u", 0.0, 0.0)]);
    add(&mut scheduler, standard_job("run-1", 1, 2.0), 0.0);
    add(&mut scheduler, standard_job("run-2", 1, 2.0), 1.0);
    let mut elsewhere = spec("run-3", "u", Urgency::Standard, 1, 2.0);
    elsewhere.zone = Some("b".into());
    add(&mut scheduler, elsewhere, 2.0);
    add(
        &mut scheduler,
        spec("run-4", "u", Urgency::Standard, 1, 2.0),
        2.5,
    );
    let started = started_by(&heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 3.0));
    let attempt = |job: &str| started.iter().find(|s| s.0 == job).unwrap().1;
    let (first, fourth) = (attempt("run-1/0"), attempt("run-4/0"));
    let reported = [
        ("run-1/0", first, Phase::Running, None),
        ("run-4/0", fourth, Phase::Exited, Some(Cause::Unknown)),
    ];
    heartbeat(&mut scheduler, &report("m1", 1, 3, 5, &reported), 40.0);
    let text = scheduler.overview(40.0);
    for (job, state, reason) in [
        ("run-1", "ok", "all tasks are on machines"),
        ("run-2", "STUCK", "its team is at its limit"),
        ("run-3", "STUCK", "no machine that it may use is up"),
        ("run-4", "STUCK", "workers do not know its description"),
    ] {
        let line = text.lines().find(|l| l.contains(job)).unwrap_or_default();
        assert!(line.starts_with(state) && line.contains(reason), "{text}");
    }
}

/// Sends a direct call to each of the machines; every call fails immediately.
fn probe_unanswered(scheduler: &mut Scheduler, names: &[&str], now: f64) {
    for name in names {
        let name = (*name).into();
        let due = scheduler.next_direct_call(&name, now);
        let (_, call) = due.expect("a direct call");
        scheduler.direct_call_finished(&name, &call, CallResult::NotSent, now);
    }
}

/// Guards against two failures after a takeover: a few dead machines that block placement for a
/// whole lease, and a network partition that makes the scheduler replace the whole fleet.
#[test]
fn few_silent_machines_are_presumed_dead_but_not_many() {
    for (silent, presumed_dead) in [(1, 1), (2, 2), (3, 0), (16, 0)] {
        let names: Vec<String> = (0..16).map(|i| format!("m{i}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut scheduler = scheduler(unlimited_team(), 5, &names);
        for name in &names[silent..] {
            heartbeat(&mut scheduler, &report(name, 1, 1, 5, &[]), 0.5);
        }
        // A machine is presumed dead after unanswered calls, not after a missing heartbeat alone.
        scheduler.tick(2.0, 0.0);
        assert!(scheduler.machines_presumed_dead(2.4).is_empty());
        probe_unanswered(&mut scheduler, &names[..silent], 2.5);
        scheduler.tick(3.0, 0.0);
        assert!(scheduler.machines_presumed_dead(3.6).is_empty());
        probe_unanswered(&mut scheduler, &names[..silent], 3.7);
        assert_eq!(
            scheduler.machines_presumed_dead(3.8).len(),
            presumed_dead,
            "{silent} silent machines"
        );
    }
}

/// Guards against a scheduler that places nothing for a whole lease after a takeover because more
/// than an eighth of the machines died (this happened at a fleet site), and against returning the
/// machines of a partitioned zone to the cloud.
#[test]
fn while_placement_is_blocked_a_silent_quarter_is_presumed_dead_later() {
    // Number of silent machines among 16; number of silent machines in zone b, which has five
    // machines; and the numbers of machines presumed dead after a tenth of a lease and after a
    // quarter of a lease.
    for (silent, zone_b, early, late) in [
        (2, 0, 2, 2),
        (4, 0, 0, 4),
        (4, 2, 0, 4),
        (4, 3, 0, 0),
        (5, 0, 0, 0),
    ] {
        let mut scheduler = scheduler(unlimited_team(), 5, &[]);
        for i in 0..16 {
            let zone = if i < zone_b || i >= 11 + zone_b {
                "b"
            } else {
                "a"
            };
            scheduler.add_recorded_machine(machine(&format!("m{i}"), zone, false), 0.0);
        }
        for i in silent..16 {
            heartbeat(&mut scheduler, &report(&format!("m{i}"), 1, 1, 5, &[]), 0.5);
        }
        scheduler.probe_unfenced(1.0, 64);
        scheduler.probe_unfenced(1.2, 64);
        let names: Vec<String> = (0..silent).map(|i| format!("m{i}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        probe_unanswered(&mut scheduler, &names, 1.2);
        probe_unanswered(&mut scheduler, &names, 1.3);
        for (now, presumed_dead) in [(2.3, early), (3.0, early), (3.8, late)] {
            scheduler.tick(now, 0.0);
            let count = scheduler.machines_presumed_dead(now).len();
            assert_eq!(
                count, presumed_dead,
                "{silent} silent machines, {zone_b} of them in zone b, at {now}"
            );
        }
        // Once placement has begun, the scheduler waits for silent machines.
        scheduler.fence.placement_allowed = true;
        assert!(scheduler.machines_presumed_dead(3.8).len() <= 2);
    }
}

/// Guards against expiring a session too early if the scheduler learns of the session from the
/// reply to a direct call. The lease runs from the beginning of the session, not from the last
/// reply to the previous session. (Found by the simulation.)
#[test]
fn a_new_session_has_a_lease_of_its_own() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
    heartbeat(&mut scheduler, &report("m1", 1, 1, 5, &[]), 1.0);
    scheduler.probe_unfenced(9.0, 9);
    let name = "m1".into();
    scheduler.machines.get_mut("m1").unwrap().fenced = false;
    let due = scheduler.next_direct_call(&name, 9.0);
    let (_, call) = due.expect("a direct call");
    scheduler.direct_call_finished(
        &name,
        &call,
        CallResult::Rejected(report("m1", 2, 2, 5, &[])),
        9.5,
    );
    for (now, listed) in [(11.5, true), (19.5, true), (19.7, false)] {
        scheduler.tick(now, now);
        assert_eq!(
            !scheduler.wanted_machine_record().is_empty(),
            listed,
            "at {now} s"
        );
    }
}

/// Guards against returning a machine to the cloud that has just booted and has not yet received
/// the leader's term. (Found in the log of an incident.)
#[test]
fn a_machine_that_has_just_booted_is_not_presumed_dead() {
    let mut scheduler = scheduler(unlimited_team(), 5, &[]);
    heartbeat(&mut scheduler, &report("m1", 1, 1, 0, &[]), 100.0);
    scheduler.machine_record_written(&[machine("m1", "a", false)]);
    scheduler.tick(101.5, 0.0);
    assert!(scheduler.machines_presumed_dead(103.0).is_empty());
    probe_unanswered(&mut scheduler, &["m1"], 103.0);
    probe_unanswered(&mut scheduler, &["m1"], 103.1);
    scheduler.tick(103.5, 0.0);
    assert_eq!(scheduler.machines_presumed_dead(104.1).len(), 1);
}

/// Guards against reviving a finished job: the reply to its submission may arrive after the watch
/// reported its end, because the reply was late or the process was paused. Also guards against
/// dropping a job that was accepted after a listing was made.
#[test]
fn job_records_may_arrive_in_any_order() {
    let job = || live(standard_job("run-1", 1, 1.0), 0.0);
    // Revision up to which the watch has reported, version of the job's record, revision of a
    // listing without the job, and whether the job is live in the end.
    for (watched, version, listed_at, live_after) in [
        (0, 10, None, true),
        (9, 10, None, true),
        (12, 10, None, false),
        (9, 10, Some(9), true),
        (9, 10, Some(10), false),
    ] {
        let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
        scheduler.watched_revision = watched;
        scheduler.add_job(job(), version, CompletedTasks::default());
        if let Some(revision) = listed_at {
            scheduler.reconcile_live_jobs(&Default::default(), revision);
        }
        let is_live = scheduler.jobs.get("run-1").is_some_and(|j| !j.finished);
        assert_eq!(
            is_live, live_after,
            "watched {watched}, version {version}, listed at {listed_at:?}"
        );
    }
}

/// Guards against running a task twice. Heartbeats of different ages reported the task on two
/// machines. The attempt reported first ended with its session, and a third attempt was started
/// while the second attempt was still running. (Found by the simulation as `ran_twice`.)
#[test]
fn a_task_reported_on_two_machines_restarts_after_both_attempts_end() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1", "m2", "m3"]);
    add(&mut scheduler, standard_job("run-1", 1, 2.0), 0.0);
    let reported = |attempt| [("run-1/0", attempt, Phase::Running, None)];
    heartbeat(&mut scheduler, &report("m1", 1, 1, 5, &reported(7)), 1.0);
    heartbeat(&mut scheduler, &report("m2", 1, 1, 5, &reported(8)), 1.1);
    heartbeat(&mut scheduler, &report("m3", 1, 1, 5, &[]), 1.2);
    assert_eq!(
        scheduler.usage().cpus(),
        4.0,
        "both attempts count against the team's limit"
    );
    let mut started = Vec::new();
    for (machine, session, seq, now) in [("m1", 2, 1, 2.0), ("m3", 1, 2, 2.1)] {
        let reply = heartbeat(&mut scheduler, &report(machine, session, seq, 5, &[]), now);
        started.extend(started_by(&reply));
        scheduler.place_all(now);
    }
    assert!(started.is_empty() && scheduler.outbox.iter().all(|n| **n == *"m2"));
    assert_eq!(scheduler.usage().cpus(), 2.0);
    let exited = [("run-1/0", 8, Phase::Exited, Some(Cause::Stopped))];
    heartbeat(&mut scheduler, &report("m2", 1, 2, 5, &exited), 3.0);
    scheduler.place_all(3.0);
    let placed = scheduler.jobs.get("run-1").and_then(|j| j.placed.get(&0));
    assert!(placed.is_some_and(|placed| placed.attempt > 8));
}

/// Guards against losing saved completions: a write whose reply was lost may be executed after a
/// newer write, and must not revert the newer write. Each write is therefore conditional on the
/// record version that the previous write produced. (The writes of a large job's chunks used to be
/// conditional on the version of the job's record, which does not change. After a takeover, tasks
/// that their workers had forgotten would have run again.)
#[test]
fn a_late_completion_write_replaces_nothing() {
    let limits = BatchLimits {
        txn_ops: 32,
        jobs: 32,
        records: RecordLimits {
            value_bytes: 16 * 1024,
            chunk_tasks: 128,
        },
    };
    for (tasks, chunked) in [(20, false), (300, true)] {
        let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
        let mut store = Store::default();
        let record = live(standard_job("run-1", tasks, 1.0), 0.0);
        let key = records::live_key("run-1");
        let added = store
            .apply(&Txn::default().put(&key, &record))
            .expect("the record is new");
        scheduler.add_job(record, added, CompletedTasks::default());
        let mut budget = TokenBucket::new(100.0, 100.0, 0.0);
        let mut batches = Vec::new();
        for (n, index) in [3, 150 % tasks].into_iter().enumerate() {
            let job = scheduler.jobs.get_mut("run-1").expect("the job exists");
            job.set_completed(index);
            scheduler.unsaved_jobs.insert("run-1".into());
            let now = 100.0 * n as f64;
            scheduler.tick(now, now);
            let batch = completion_batch::plan(&scheduler, &limits, &mut budget, now)
                .expect("a batch is due");
            assert_eq!(batch.completions[0].chunked, chunked);
            batches.push(batch);
            if n == 0 {
                // The reply is lost, so the leader retries with all completions known by then.
                continue;
            }
            let version = store.apply(&batches[n].txn).expect("the write is executed");
            let completed = batches[n].completions[0].completed.clone();
            scheduler.completions_written("run-1", &completed, version);
        }
        let before = store.list("fx/").len();
        assert!(store.apply(&batches[0].txn).is_err(), "{tasks} tasks");
        assert_eq!(store.list("fx/").len(), before);
    }
}

/// Guards against a one-zone job that waits for ever while another zone has capacity. The job
/// must be placed in a zone where its tasks fit. The zone with the largest number of free CPUs may
/// not be such a zone, since free CPUs are useless on machines without free memory.
#[test]
fn a_one_zone_job_is_placed_where_its_tasks_fit() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
    scheduler.add_recorded_machine(machine("m2", "b", false), 0.0);
    let heartbeat_both = |scheduler: &mut Scheduler, seq: u64, now: f64| {
        let mut two = report("m2", 1, seq, 5, &[]);
        two.zone = "b".into();
        let first = heartbeat(scheduler, &report("m1", 1, seq, 5, &[]), now);
        (first, heartbeat(scheduler, &two, now))
    };
    heartbeat_both(&mut scheduler, 1, 1.0);
    // The first job takes nearly all memory of zone a but few of its CPUs. The second job takes
    // many CPUs of zone b.
    for (id, cpus, memory_gb, zone) in [("run-1", 1.0, 31.5, "a"), ("run-2", 5.0, 1.0, "b")] {
        let mut job = spec(id, "t", Urgency::High, 1, cpus);
        (job.memory_gb, job.zone) = (memory_gb, Some(zone.into()));
        add(&mut scheduler, job, 1.0);
    }
    let (first, second) = heartbeat_both(&mut scheduler, 2, 2.0);
    assert_eq!(
        (started_by(&first).len(), started_by(&second).len()),
        (1, 1)
    );
    let mut job = standard_job("run-3", 2, 1.0);
    (job.memory_gb, job.one_zone) = (4.0, true);
    add(&mut scheduler, job, 2.0);
    scheduler.place_all(2.5);
    let placed = scheduler.jobs["run-3"].placed.values();
    let machines: Vec<&str> = placed.map(|placed| &*placed.machine).collect();
    assert_eq!(machines, ["m2", "m2"]);
}
