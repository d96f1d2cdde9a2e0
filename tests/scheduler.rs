//! The scheduler: fencing, starts in flight, quotas, guarantees, preemption, placement.

mod common;

use common::*;
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::jobs::completion_batch;
use foxspur::coordination::scheduler::fence::remaining;
use foxspur::coordination::scheduler::machine::MachineStatus;
use foxspur::coordination::scheduler::quota::within_limit;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::{JobSpec, Urgency};
use foxspur::protocol::settings::Team;
use foxspur::protocol::state::Txn;
use foxspur::protocol::worker::{Cause, Command, Phase, Report};
use foxspur::storage::completed_tasks::CompletedTasks;
use foxspur::storage::records::{self, FormerLeader, TermCounter, TOKENS_PER_TERM};
use foxspur::transport::token_bucket::TokenBucket;
use foxspur_testbed::store::Store;

/// A task as a heartbeat shows it: name, attempt, phase, cause.
type Seen<'a> = (&'a str, u64, Phase, Option<Cause>);

/// A task and the number of an attempt of it.
type Started = (String, u64);

/// Completed and running tasks of a job.
fn counts(scheduler: &Scheduler, id: &str) -> Option<(u32, u32)> {
    scheduler.progress(id).map(|c| (c.done, c.running))
}

/// Fencing token and commands of the answer to a heartbeat.
fn answer(scheduler: &mut Scheduler, report: &Report, now: f64) -> (u64, Vec<Command>) {
    match scheduler.handle_heartbeat(report, now) {
        HeartbeatReply::Commands(reply) => (reply.token, reply.commands),
        other => panic!("{other:?}"),
    }
}

/// Receives a heartbeat, and gives the commands of the answer.
fn heartbeat(scheduler: &mut Scheduler, report: &Report, now: f64) -> Vec<Command> {
    answer(scheduler, report, now).1
}

/// The starts among commands.
fn starts(commands: &[Command]) -> Vec<Started> {
    let start = |c: &Command| match c {
        Command::Start { task, attempt } => Some((task.clone(), *attempt)),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}

/// How many stops are among commands.
fn stops(commands: &[Command]) -> usize {
    let stops = commands.iter();
    stops.filter(|c| matches!(c, Command::Stop { .. })).count()
}

/// Whether a command to forget a task is among these.
fn any_forget(commands: &[Command]) -> bool {
    commands.iter().any(|c| matches!(c, Command::Forget { .. }))
}

/// These attempts, shown as running.
fn running(started: &[Started]) -> Vec<Seen<'_>> {
    let seen = started.iter();
    seen.map(|(task, attempt)| (task.as_str(), *attempt, Phase::Running, None))
        .collect()
}

/// This attempt, shown as exited.
fn exited(started: &Started, cause: Cause) -> [Seen<'_>; 1] {
    [(started.0.as_str(), started.1, Phase::Exited, Some(cause))]
}

/// One team without guarantee or limit.
fn unlimited_team() -> Vec<Team> {
    vec![team("t", 0.0, 0.0)]
}

/// A job of the team `t` and of standard urgency.
fn standard(id: &str, tasks: u32, cpus: f64) -> JobSpec {
    spec(id, "t", Urgency::Standard, tasks, cpus)
}

/// A scheduler with one machine, `m1`, that has reported under the term at the time 0.
fn fenced_scheduler(teams: Vec<Team>) -> Scheduler {
    let mut scheduler = scheduler(teams, 5, &["m1"]);
    heartbeat(&mut scheduler, &report("m1", 1, 1, 5, &[]), 0.0);
    scheduler
}

/// Guards against a task started twice after a takeover: an attempt of the former leader
/// may be on a machine that has sent no heartbeat yet.
#[test]
fn nothing_starts_before_every_machine_is_fenced() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1", "m2"]);
    add(&mut scheduler, standard("run-1", 1, 1.0), 0.0);
    // The first answer only brings the term to the machine.
    assert!(heartbeat(&mut scheduler, &report("m1", 1, 1, 4, &[]), 1.0).is_empty());
    assert!(heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 2.0).is_empty());
    assert!(!scheduler.fencing_complete());
    let seen = [("run-1/0", 9, Phase::Running, None)];
    assert!(heartbeat(&mut scheduler, &report("m2", 1, 7, 5, &seen), 3.0).is_empty());
    assert!(scheduler.fencing_complete());
    // It runs on m2, so m1 gets nothing.
    assert!(heartbeat(&mut scheduler, &report("m1", 1, 3, 5, &[]), 4.0).is_empty());
    assert_eq!(counts(&scheduler, "run-1"), Some((0, 1)));
}

/// Silence alone proves nothing; a lease after the last possible answer proves a machine
/// empty.
#[test]
fn a_silent_machine_is_empty_only_after_its_lease() {
    for (quiet, at, open) in [
        (None, 1000.0, false),
        (Some(0.0), 9.0, false),
        (Some(0.0), 10.2, true),
        (Some(60.0), 65.0, false),
        (Some(60.0), 70.2, true),
    ] {
        let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
        scheduler.fence.former_leaders_silent_since = quiet;
        scheduler.tick(at, at);
        assert_eq!(
            scheduler.fencing_complete(),
            open,
            "quiet {quiet:?} at {at}"
        );
    }
}

/// Guards against answering a session whose tasks were considered lost: the answer would
/// renew its lease.
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
        HeartbeatReply::Commands(_)
    ));
}

/// Guards against a former leader without contact to the state service considering a machine
/// expired that a new leader keeps alive, and starting its tasks elsewhere (found by the
/// simulation).
#[test]
fn without_contact_no_machine_expires() {
    for (confirmed, given_up) in [(5.0, false), (11.0, false), (11.2, true)] {
        let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
        heartbeat(&mut scheduler, &report("m1", 1, 1, 5, &[]), 1.0);
        scheduler.tick(30.0, confirmed);
        assert_eq!(
            scheduler.wanted_machine_record().is_empty(),
            given_up,
            "{confirmed}"
        );
    }
}

/// Until the machine has seen our term an answer of the former leader may renew its lease,
/// even after we answered it ourselves.
#[test]
fn the_lease_counts_from_the_first_report_under_our_term() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
    heartbeat(&mut scheduler, &report("m1", 1, 1, 4, &[]), 1.0);
    heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 8.0);
    scheduler.tick(11.5, 11.5);
    assert!(scheduler
        .wanted_machine_record()
        .iter()
        .any(|m| m.id == "m1"));
}

/// A start without an answer keeps its task placed until it is ruled out.
#[test]
fn a_start_in_flight_counts_as_placed() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
    scheduler.set_types(&types());
    heartbeat(&mut scheduler, &report("m1", 1, 1, 5, &[]), 0.0);
    add(&mut scheduler, standard("run-1", 1, 1.0), 0.0);
    scheduler.place_all(0.1);
    let name = "m1".into();
    let due = scheduler.next_direct_call(&name, 0.1);
    let (_, call) = due.expect("a direct call");
    let (task, attempt) = starts(&call.commands)[0].clone();
    scheduler.direct_call_finished(&name, &call, CallResult::Unknown, 1.0);
    // The report does not show it: offered again, the same attempt.
    let again = heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 1.5);
    assert_eq!(starts(&again), vec![(task.clone(), attempt)]);
    // It failed: not forgotten while the late copy could start it once more.
    let started = (task, attempt);
    let failed = exited(&started, Cause::Error);
    let reply = heartbeat(&mut scheduler, &report("m1", 1, 3, 5, &failed), 2.0);
    assert!(!any_forget(&reply), "{reply:?}");
    // A higher token that the machine has seen rules the copy out: it gets one of its
    // own, for which nothing is written.
    let late = 2.0 + CANCEL_S / 8.0;
    heartbeat(&mut scheduler, &report("m1", 1, 4, 5, &failed), late);
    assert!(!scheduler.raise_overdue_tokens(late));
    let (token, _) = answer(&mut scheduler, &report("m1", 1, 5, 5, &failed), late + 0.5);
    assert_eq!(token, 6);
    let reply = heartbeat(&mut scheduler, &report("m1", 1, 6, 6, &failed), late + 1.0);
    assert!(any_forget(&reply), "{reply:?}");
}

/// A worker that forgot an attempt starts it once more if a copy of the direct call with its
/// start arrives: a task cancelled long ago ran on, others ran twice. A command to forget an
/// attempt carries a token above the call's, and no call in flight is overtaken by it.
#[test]
fn a_copy_of_a_direct_start_is_refused_once_the_task_is_forgotten() {
    let mut scheduler = fenced_scheduler(unlimited_team());
    let (name, mut seq, mut token) = ("m1".into(), 1, 5);
    for (n, other_call) in [(1, false), (3, true), (5, false)] {
        let (id, now) = (format!("run-{n}"), f64::from(n) * 10.0);
        seq += 1;
        heartbeat(&mut scheduler, &report("m1", 1, seq, token, &[]), now);
        add(&mut scheduler, standard(&id, 1, 1.0), now);
        scheduler.place_all(now);
        let due = scheduler.next_direct_call(&name, now);
        let (_, call) = due.expect("a direct call");
        let (task, attempt) = starts(&call.commands)[0].clone();
        assert_eq!(call.token, token);
        let failed = [(task.as_str(), attempt, Phase::Exited, Some(Cause::Error))];
        scheduler.finish_job(&id);
        let mut next = || {
            seq += 1;
            report("m1", 1, seq, token, &failed)
        };
        scheduler.direct_call_finished(&name, &call, CallResult::Executed(next()), now + 0.5);
        if other_call {
            // Another one is under way: the machine would refuse it under a higher token.
            let other = standard(&format!("run-{}", n + 1), 1, 1.0);
            add(&mut scheduler, other, now);
            scheduler.place_all(now + 0.6);
            let due = scheduler.next_direct_call(&name, now + 0.6);
            let (_, call) = due.expect("a direct call");
            let early = answer(&mut scheduler, &next(), now + 0.7);
            assert!(early.0 == call.token && early.1.is_empty(), "{early:?}");
            scheduler.finish_job(&format!("run-{}", n + 1));
            scheduler.direct_call_finished(&name, &call, CallResult::NotSent, now + 1.0);
        }
        let (told, commands) = answer(&mut scheduler, &next(), now + 2.0);
        assert!(matches!(commands[..], [Command::Forget { .. }]));
        assert!(told > call.token, "a copy under {} starts it", call.token);
        token = told;
        seq += 1;
        heartbeat(&mut scheduler, &report("m1", 1, seq, token, &[]), now + 3.0);
    }
    // A heartbeat under a machine's own token is no sign of another leader; one beyond the
    // range of the term is, and the next term is above all of them.
    let verdict = scheduler.handle_heartbeat(&report("m1", 1, 99, 5 + TOKENS_PER_TERM, &[]), 50.0);
    assert!(matches!(verdict, HeartbeatReply::Superseded));
    assert!(TermCounter::taken(5).term + 1 == 5 + TOKENS_PER_TERM);
}

/// Once a machine has used up all tokens of a term, a higher term is written.
#[test]
fn a_machine_that_used_up_its_tokens_needs_a_higher_term() {
    let mut scheduler = fenced_scheduler(unlimited_team());
    let name = "m1".into();
    let (mut seq, mut token, mut raised) = (1, 5, 0);
    for n in 0..TOKENS_PER_TERM + 9 {
        let (id, now) = (format!("run-{n}"), 1.0 + n as f64);
        seq += 1;
        token = answer(&mut scheduler, &report("m1", 1, seq, token, &[]), now).0;
        add(&mut scheduler, standard(&id, 1, 1.0), now);
        scheduler.place_all(now);
        let due = scheduler.next_direct_call(&name, now);
        let (_, call) = due.expect("a direct call");
        let (task, attempt) = starts(&call.commands)[0].clone();
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
        let (told, commands) = answer(
            &mut scheduler,
            &report("m1", 1, seq, token, &failed),
            now + 0.2,
        );
        assert!(commands.len() == 1 && told > token, "{n}: {commands:?}");
        token = told;
        seq += 1;
        heartbeat(&mut scheduler, &report("m1", 1, seq, token, &[]), now + 0.3);
        scheduler.collect_garbage();
    }
    assert!(
        raised == 1 && token > 5 + TOKENS_PER_TERM,
        "{raised} {token}"
    );
}

/// Malformed, old or reordered heartbeats change nothing.
#[test]
fn old_heartbeats_change_nothing() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
    add(&mut scheduler, standard("run-1", 1, 1.0), 0.0);
    let running = [("run-1/0", 3, Phase::Running, None)];
    heartbeat(&mut scheduler, &report("m1", 2, 9, 5, &running), 1.0);
    for (session, seq) in [(2, 8), (1, 99), (2, 9)] {
        let done = [("run-1/0", 3, Phase::Exited, Some(Cause::Done))];
        assert!(heartbeat(&mut scheduler, &report("m1", session, seq, 5, &done), 2.0).is_empty());
        assert_eq!(
            counts(&scheduler, "run-1"),
            Some((0, 1)),
            "({session}, {seq})"
        );
    }
    let odd = [
        ("no task", 1, Phase::Running, None),
        ("run-1/77", 1, Phase::Running, None),
    ];
    heartbeat(&mut scheduler, &report("m1", 2, 10, 5, &odd), 3.0);
}

/// A worker is told to forget a completed task only once its completion is saved.
#[test]
fn completions_are_saved_before_they_are_forgotten() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
    add(&mut scheduler, standard("run-1", 2, 1.0), 0.0);
    let done = [("run-1/1", 3, Phase::Exited, Some(Cause::Done))];
    let reply = heartbeat(&mut scheduler, &report("m1", 1, 1, 5, &done), 1.0);
    assert!(!any_forget(&reply));
    assert_eq!(
        counts(&scheduler, "run-1"),
        Some((0, 0)),
        "not counted before it is saved"
    );
    scheduler.completions_written("run-1", &CompletedTasks::from_text("1", 2), 2);
    let reply = heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &done), 2.0);
    assert!(any_forget(&reply));
    assert_eq!(counts(&scheduler, "run-1"), Some((1, 0)));
}

/// All attempts of a cancelled job are stopped, also those whose start is in flight.
#[test]
fn a_cancelled_job_leaves_no_attempts() {
    let mut scheduler = fenced_scheduler(unlimited_team());
    add(&mut scheduler, standard("run-1", 3, 1.0), 0.0);
    let started = starts(&heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 1.0));
    assert_eq!(started.len(), 3);
    scheduler.finish_job("run-1");
    let shown = running(&started);
    let reply = heartbeat(&mut scheduler, &report("m1", 1, 3, 5, &shown), 2.0);
    assert_eq!(stops(&reply), 3);
    assert!(starts(&reply).is_empty());
    heartbeat(&mut scheduler, &report("m1", 1, 4, 5, &[]), 3.0);
    scheduler.collect_garbage();
    assert!(scheduler.jobs.is_empty());
}

/// Every attempt that is on a machine or may be counts against the limit.
#[test]
fn a_team_stays_within_its_limit() {
    let mut scheduler = fenced_scheduler(vec![team("t", 0.0, 6.0)]);
    add(&mut scheduler, standard("run-1", 9, 2.0), 0.0);
    let started = starts(&heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 1.0));
    assert_eq!(started.len(), 3);
    for (max, used, tasks, fits) in [
        (0.0, 1e6, 5.0, true),
        (6.0, 4.0, 1.0, true),
        (6.0, 4.5, 1.0, false),
        (6.0, 0.0, 4.0, false),
    ] {
        let team = team("t", 0.0, max);
        let spec = spec("run-1", "t", Urgency::Idle, 9, 2.0);
        assert_eq!(within_limit(Some(&team), (used, 0.0), &spec, tasks), fits);
    }
}

/// Lower urgency yields; equal urgency does not; work on borrowed capacity yields to a
/// guarantee; a team's urgent work preempts its own to get below its limit.
#[test]
fn which_jobs_preempt_which() {
    use Urgency::{High, Idle, Prod, Standard};
    let cases = [
        // running: team, urgency; waiting: team, urgency; limit of team a; yields
        ("a", Idle, "b", Standard, 0.0, true),
        ("a", Standard, "b", Standard, 0.0, false),
        ("a", High, "b", Standard, 0.0, false),
        ("a", High, "b", Prod, 0.0, true),
        ("a", High, "g", Idle, 0.0, true),
        ("g", Idle, "b", High, 0.0, false),
        // Borrowed work of the same team: it would start a circle of preemptions.
        ("g", Idle, "g", High, 0.0, false),
        ("a", Idle, "a", High, 8.0, true),
        ("a", High, "a", High, 8.0, false),
    ];
    for (i, (run_team, run_urgency, team_name, urgency, limit, yields)) in
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
            spec("run-1", run_team, run_urgency, 4, 2.0),
            0.0,
        );
        let started = starts(&heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 1.0));
        assert_eq!(started.len(), 4, "case {i}");
        add(
            &mut scheduler,
            spec("run-2", team_name, urgency, 1, 2.0),
            1.0,
        );
        scheduler.place_all(1.5);
        let shown = running(&started);
        let reply = heartbeat(&mut scheduler, &report("m1", 1, 3, 5, &shown), 2.0);
        assert_eq!(stops(&reply), usize::from(yields), "case {i}: {reply:?}");
    }
}

/// The queue starts the smallest prediction first.
#[test]
fn a_queue_starts_the_smallest_prediction_first() {
    let mut scheduler = fenced_scheduler(unlimited_team());
    add(&mut scheduler, standard("run-1", 1, 8.0), 0.0);
    let first = starts(&heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 0.1));
    for (i, estimate) in [30.0, 5.0].into_iter().enumerate() {
        let mut waiting = standard(&format!("run-{}", i + 2), 1, 8.0);
        waiting.estimate_s = estimate;
        add(&mut scheduler, waiting, 0.2 + 0.1 * i as f64);
        scheduler.place_all(0.2 + 0.1 * i as f64);
    }
    let done = exited(&first[0], Cause::Done);
    let next = starts(&heartbeat(
        &mut scheduler,
        &report("m1", 1, 3, 5, &done),
        0.8,
    ));
    assert_eq!(next[0].0, "run-3/0");
}

/// Tasks of a job are all in one zone, or at most half of them in any.
#[test]
fn jobs_with_zone_constraints() {
    for (one_zone, spread, tasks, placed_in_a) in [(true, false, 4, 4), (false, true, 5, 3)] {
        let mut scheduler = scheduler(unlimited_team(), 5, &["m1", "m2"]);
        for (id, seq) in [("m1", 1), ("m2", 1)] {
            heartbeat(&mut scheduler, &report(id, 1, seq, 5, &[]), 0.0);
        }
        let mut job = standard("run-1", tasks, 1.0);
        (job.one_zone, job.spread) = (one_zone, spread);
        add(&mut scheduler, job, 0.0);
        let mut n = 0;
        for id in ["m1", "m2"] {
            n += starts(&heartbeat(&mut scheduler, &report(id, 1, 2, 5, &[]), 1.0)).len();
        }
        assert_eq!(n, placed_in_a, "both machines are in zone a");
    }
}

/// A machine on which tasks of several jobs fail is taken out of use.
#[test]
fn a_faulty_machine_is_drained() {
    let mut scheduler = fenced_scheduler(unlimited_team());
    for seq in 2..6 {
        add(&mut scheduler, standard(&format!("run-{seq}"), 1, 1.0), 0.0);
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

/// A former leader is known to be silent once its host has another incarnation, or when its
/// time is over by any clock.
#[test]
fn former_leaders_fall_silent() {
    let prior = |until_ms| FormerLeader {
        host: "h".into(),
        incarnation: 7,
        until_ms,
    };
    for (alive, until, now, left) in [
        (Some(7), 5000, 1000, 1),
        (Some(8), 5000, 1000, 0),
        (None, 5000, 1000, 1),
        (None, 5000, 6900, 1),
        (None, 5000, 7100, 0),
    ] {
        let list = [prior(until)];
        assert_eq!(
            remaining(&list, |_| alive, now, 1000).len(),
            left,
            "{alive:?} {now}"
        );
    }
}

/// Operators see at a glance which jobs are stuck, and why.
#[test]
fn the_overview_names_stuck_jobs_and_why() {
    let mut scheduler = fenced_scheduler(vec![team("t", 0.0, 2.0), team("u", 0.0, 0.0)]);
    add(&mut scheduler, standard("run-1", 1, 2.0), 0.0);
    add(&mut scheduler, standard("run-2", 1, 2.0), 1.0);
    let mut elsewhere = spec("run-3", "u", Urgency::Standard, 1, 2.0);
    elsewhere.zone = Some("b".into());
    add(&mut scheduler, elsewhere, 2.0);
    add(
        &mut scheduler,
        spec("run-4", "u", Urgency::Standard, 1, 2.0),
        2.5,
    );
    let started = starts(&heartbeat(&mut scheduler, &report("m1", 1, 2, 5, &[]), 3.0));
    let attempt = |job: &str| started.iter().find(|s| s.0 == job).unwrap().1;
    let (first, fourth) = (attempt("run-1/0"), attempt("run-4/0"));
    let shown = [
        ("run-1/0", first, Phase::Running, None),
        ("run-4/0", fourth, Phase::Exited, Some(Cause::Unknown)),
    ];
    heartbeat(&mut scheduler, &report("m1", 1, 3, 5, &shown), 40.0);
    let text = scheduler.overview(40.0);
    for (job, state, why) in [
        ("run-1", "ok", "all tasks are on machines"),
        ("run-2", "STUCK", "its team is at its limit"),
        ("run-3", "STUCK", "no machine that it may use is up"),
        ("run-4", "STUCK", "workers do not know its description"),
    ] {
        let line = text.lines().find(|l| l.contains(job)).unwrap_or_default();
        assert!(line.starts_with(state) && line.contains(why), "{text}");
    }
}

/// Probes these machines; the calls fail at once.
fn probe(scheduler: &mut Scheduler, names: &[&str], now: f64) {
    for name in names {
        let name = (*name).into();
        let due = scheduler.next_direct_call(&name, now);
        let (_, call) = due.expect("a direct call");
        scheduler.direct_call_finished(&name, &call, CallResult::NotSent, now);
    }
}

/// One dead machine must not block placement for a lease, but a network partition must not
/// empty the fleet.
#[test]
fn few_silent_machines_are_replaced_many_are_waited_for() {
    for (silent, given_up) in [(1, 1), (2, 2), (3, 0), (16, 0)] {
        let names: Vec<String> = (0..16).map(|i| format!("m{i}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut scheduler = scheduler(unlimited_team(), 5, &names);
        for name in &names[silent..] {
            heartbeat(&mut scheduler, &report(name, 1, 1, 5, &[]), 0.5);
        }
        // A missing heartbeat proves nothing yet; calls without an answer do.
        scheduler.tick(2.0, 0.0);
        assert!(scheduler.machines_given_up(2.4).is_empty());
        probe(&mut scheduler, &names[..silent], 2.5);
        scheduler.tick(3.0, 0.0);
        assert!(scheduler.machines_given_up(3.6).is_empty());
        probe(&mut scheduler, &names[..silent], 3.7);
        assert_eq!(
            scheduler.machines_given_up(3.8).len(),
            given_up,
            "{silent} silent"
        );
    }
}

/// Guards against a scheduler that places nothing for a lease after a takeover because more
/// than an eighth of the machines died (an incident of a fleet site), and against returning
/// the machines of a partitioned zone.
#[test]
fn while_placement_is_blocked_a_silent_quarter_is_replaced_later() {
    // Silent machines of 16, how many of them are in a zone of five, how many are given up
    // after a tenth of a lease and after a quarter.
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
        probe(&mut scheduler, &names, 1.2);
        probe(&mut scheduler, &names, 1.3);
        for (now, given_up) in [(2.3, early), (3.0, early), (3.8, late)] {
            scheduler.tick(now, 0.0);
            let found = scheduler.machines_given_up(now).len();
            assert_eq!(found, given_up, "{silent} silent, {zone_b} in b, at {now}");
        }
        // Once placement has begun they are waited for.
        scheduler.fence.open = true;
        assert!(scheduler.machines_given_up(3.8).len() <= 2);
    }
}

/// Guards against the expiry of a session that the answer to a direct call told of: its
/// lease runs from its beginning, not from our last answer to the session before (found by
/// the simulation).
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
    for (at, listed) in [(11.5, true), (19.5, true), (19.7, false)] {
        scheduler.tick(at, at);
        assert_eq!(
            !scheduler.wanted_machine_record().is_empty(),
            listed,
            "{at}"
        );
    }
}

/// Guards against returning a machine that has just come up, before it could see our term
/// (found in an incident's log).
#[test]
fn a_machine_that_just_came_up_is_not_given_up() {
    let mut scheduler = scheduler(unlimited_team(), 5, &[]);
    heartbeat(&mut scheduler, &report("m1", 1, 1, 0, &[]), 100.0);
    scheduler.machine_record_written(&[machine("m1", "a", false)]);
    scheduler.tick(101.5, 0.0);
    assert!(scheduler.machines_given_up(103.0).is_empty());
    probe(&mut scheduler, &["m1"], 103.0);
    probe(&mut scheduler, &["m1"], 103.1);
    scheduler.tick(103.5, 0.0);
    assert_eq!(scheduler.machines_given_up(104.1).len(), 1);
}

/// Guards against a job revived by an answer that arrives after the watch told of its end (a
/// submission answered late, or while the process was paused), and against dropping one that
/// was accepted after a listing was made.
#[test]
fn records_of_a_job_in_any_order() {
    let job = || live(standard("run-1", 1, 1.0), 0.0);
    // Revision watched up to, version of the record, revision of a listing without it, and
    // whether the job is live in the end.
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
        assert_eq!(is_live, live_after, "{watched} {version} {listed_at:?}");
    }
}

/// Guards against a third attempt of a task that heartbeats of different ages showed on two
/// machines: the attempt seen first ended with its session, and the other ran on (found by
/// the simulation, as ran_twice).
#[test]
fn a_task_shown_on_two_machines_restarts_when_both_attempts_ended() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1", "m2", "m3"]);
    add(&mut scheduler, standard("run-1", 1, 2.0), 0.0);
    let shown = |attempt| [("run-1/0", attempt, Phase::Running, None)];
    heartbeat(&mut scheduler, &report("m1", 1, 1, 5, &shown(7)), 1.0);
    heartbeat(&mut scheduler, &report("m2", 1, 1, 5, &shown(8)), 1.1);
    heartbeat(&mut scheduler, &report("m3", 1, 1, 5, &[]), 1.2);
    assert_eq!(
        scheduler.usage().cpus(),
        4.0,
        "both count for the team's limit"
    );
    let mut started = Vec::new();
    for (machine, session, seq, now) in [("m1", 2, 1, 2.0), ("m3", 1, 2, 2.1)] {
        let reply = heartbeat(&mut scheduler, &report(machine, session, seq, 5, &[]), now);
        started.extend(starts(&reply));
        scheduler.place_all(now);
    }
    assert!(started.is_empty() && scheduler.outbox.iter().all(|n| **n == *"m2"));
    assert_eq!(scheduler.usage().cpus(), 2.0);
    let gone = [("run-1/0", 8, Phase::Exited, Some(Cause::Stopped))];
    heartbeat(&mut scheduler, &report("m2", 1, 2, 5, &gone), 3.0);
    scheduler.place_all(3.0);
    let placed = scheduler.jobs.get("run-1").and_then(|j| j.placed.get(&0));
    assert!(placed.is_some_and(|(_, attempt)| *attempt > 8));
}

/// A batch of completions without an answer that is executed after a newer one reverts
/// nothing: each write compares the version that the one before left. (The chunks of a large
/// job compared the version of its record, which did not change; after a takeover tasks whose
/// workers had forgotten them would have run once more.)
#[test]
fn completions_written_late_replace_nothing() {
    for (tasks, chunked) in [(20, false), (300, true)] {
        let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
        let mut store = Store::default();
        let record = live(standard("run-1", tasks, 1.0), 0.0);
        let key = records::live_key("run-1");
        let added = store
            .apply(&Txn::default().put(&key, &record))
            .expect("new");
        scheduler.add_job(record, added, CompletedTasks::default());
        let mut budget = TokenBucket::new(100.0, 100.0, 0.0);
        let mut batches = Vec::new();
        for (n, index) in [3, 150 % tasks].into_iter().enumerate() {
            let job = scheduler.jobs.get_mut("run-1").expect("known");
            job.set_completed(index);
            scheduler.unsaved_jobs.insert("run-1".into());
            let at = 100.0 * n as f64;
            scheduler.tick(at, at);
            let batch = completion_batch::plan(&scheduler, 32, 128, &mut budget, at).expect("due");
            assert_eq!(batch.completions[0].chunked, chunked);
            batches.push(batch);
            if n == 0 {
                // No answer: the leader retries with what it has by then.
                continue;
            }
            let version = store.apply(&batches[n].txn).expect("written");
            let completed = batches[n].completions[0].completed.clone();
            scheduler.completions_written("run-1", &completed, version);
        }
        let before = store.list("fx/").len();
        assert!(store.apply(&batches[0].txn).is_err(), "{tasks} tasks");
        assert_eq!(store.list("fx/").len(), before);
    }
}

/// A job that must be in one zone is placed where its tasks fit, not where most CPUs are free:
/// beside tasks that occupy all memory these are of no use. (The job waited for ever while
/// another zone had capacity.)
#[test]
fn a_job_of_one_zone_goes_where_it_fits() {
    let mut scheduler = scheduler(unlimited_team(), 5, &["m1"]);
    scheduler.add_recorded_machine(machine("m2", "b", false), 0.0);
    let heartbeat_both = |scheduler: &mut Scheduler, seq: u64, now: f64| {
        let mut two = report("m2", 1, seq, 5, &[]);
        two.zone = "b".into();
        let first = heartbeat(scheduler, &report("m1", 1, seq, 5, &[]), now);
        (first, heartbeat(scheduler, &two, now))
    };
    heartbeat_both(&mut scheduler, 1, 1.0);
    // All memory of zone a, and few of its CPUs; many CPUs of zone b.
    for (id, cpus, memory_gb, zone) in [("run-1", 1.0, 31.5, "a"), ("run-2", 5.0, 1.0, "b")] {
        let mut job = spec(id, "t", Urgency::High, 1, cpus);
        (job.memory_gb, job.zone) = (memory_gb, Some(zone.into()));
        add(&mut scheduler, job, 1.0);
    }
    let (first, second) = heartbeat_both(&mut scheduler, 2, 2.0);
    assert_eq!((starts(&first).len(), starts(&second).len()), (1, 1));
    let mut job = standard("run-3", 2, 1.0);
    (job.memory_gb, job.one_zone) = (4.0, true);
    add(&mut scheduler, job, 2.0);
    scheduler.place_all(2.5);
    let placed = scheduler.jobs["run-3"].placed.values();
    let machines: Vec<&str> = placed.map(|(machine, _)| &**machine).collect();
    assert_eq!(machines, ["m2", "m2"]);
}
