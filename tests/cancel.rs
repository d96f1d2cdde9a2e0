//! What was cancelled is gone in time: what a leader knows of cancellations and as of when,
//! and what may not bring a task back. The simulations in tests/pause and tests/simulation
//! look for the cases that are not here.

mod common;

use common::*;
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::leadership::cancellation_horizon::{
    staleness_bound_s, CancellationHorizon,
};
use foxspur::coordination::leadership::confirmed_cancellations::ConfirmedCancellations;
use foxspur::coordination::leadership::queries::PeerAnswer;
use foxspur::coordination::node::Node;
use foxspur::protocol::job::{JobState, Urgency};
use foxspur::protocol::policy::Policy;
use foxspur::protocol::settings::Settings;
use foxspur::protocol::worker::{Command, Phase};
use foxspur::storage::completed_tasks::CompletedTasks;
use foxspur::storage::records::TerminalRecord;
use foxspur::transport::sockets::Sockets;

/// As of when all cancellations are known: by the watch, never later than the check of the
/// leadership, or by the reports of every other controller. (Leases extended by a majority
/// kept a leader answering for six leases while users elsewhere were told `withdrawn`.)
#[test]
fn a_leader_knows_cancellations_as_of_when_it_asked() {
    let peers = ["b", "c", "d"].map(String::from);
    // The watch, the check, reports (peer, asked at, received at), known as of.
    type Report = (&'static str, f64, f64);
    type Case = (&'static str, Option<f64>, f64, &'static [Report], f64);
    let cases: [Case; 8] = [
        ("nothing yet", None, 9.0, &[], f64::NEG_INFINITY),
        ("the watch", Some(7.0), 9.0, &[], 7.0),
        ("the check is older", Some(7.0), 5.0, &[], 5.0),
        (
            "a majority is not all",
            Some(7.0),
            9.0,
            &[("b", 20.0, 20.1), ("c", 20.0, 20.1)],
            7.0,
        ),
        (
            "all, as of the first asked",
            Some(7.0),
            9.0,
            &[("b", 20.0, 20.1), ("c", 21.0, 21.1), ("d", 22.0, 22.1)],
            20.0,
        ),
        (
            "one came late: it was paused",
            Some(7.0),
            9.0,
            &[("b", 20.0, 20.1), ("c", 20.0, 20.1), ("d", 20.0, 20.6)],
            7.0,
        ),
        (
            "an older report does not count back",
            Some(7.0),
            9.0,
            &[
                ("b", 20.0, 20.1),
                ("c", 20.0, 20.1),
                ("d", 20.0, 20.1),
                ("d", 19.9, 20.2),
            ],
            20.0,
        ),
        (
            "the watch is newer",
            Some(30.0),
            31.0,
            &[("b", 20.0, 20.1), ("c", 20.0, 20.1), ("d", 20.0, 20.1)],
            30.0,
        ),
    ];
    for (what, watched, confirmed_at, reports, known) in cases {
        let mut horizon = CancellationHorizon::default();
        watched
            .into_iter()
            .for_each(|at| horizon.watch_answered(at));
        for (peer, asked_at, received_at) in reports {
            horizon.peer_reported(PeerAnswer {
                term: 1,
                peer,
                asked_at: *asked_at,
                received_at: *received_at,
            });
        }
        assert_eq!(horizon.known_until(confirmed_at, &peers), known, "{what}");
    }
    // Alone, there is nobody to tell anything.
    assert_eq!(
        CancellationHorizon::default().known_until(9.0, &[]),
        f64::NEG_INFINITY
    );
    // The sum of the bound and a lease stays below `cancel_s`.
    for (cancel_s, lease_s) in [(40.0, 10.0), (51.0, 31.0), (47.5, 17.5)] {
        assert!(staleness_bound_s(cancel_s, lease_s) + 1.0006 * lease_s < cancel_s - 1.0);
    }
}

/// A report covers all of the time asked for or is not given: a process knows nothing of the
/// one before it, and keeps the latest cancellations only.
#[test]
fn a_report_covers_the_time_asked_for() {
    let mut confirmed = ConfirmedCancellations::since(100.0);
    confirmed.record("run-1", 110.0);
    confirmed.record("run-2", 120.0);
    for (for_s, now, report) in [
        (5.0, 121.0, Some(vec!["run-2"])),
        (15.0, 121.0, Some(vec!["run-2", "run-1"])),
        (21.0, 121.0, Some(vec!["run-2", "run-1"])),
        // It began since.
        (21.1, 121.0, None),
        (f64::INFINITY, 121.0, None),
        (0.5, 121.0, Some(vec![])),
    ] {
        let report = report.map(|jobs| {
            jobs.iter()
                .map(std::string::ToString::to_string)
                .collect::<Vec<_>>()
        });
        assert_eq!(confirmed.within(for_s, now), report, "{for_s}");
    }
    for n in 0..16_384 {
        confirmed.record(&format!("run-x{n}"), 130.0 + f64::from(n));
    }
    assert!(
        confirmed.within(16_403.0, 16_518.0).is_none(),
        "some were dropped"
    );
    assert!(confirmed
        .within(100.0, 16_518.0)
        .is_some_and(|jobs| jobs.len() == 96));
}

/// What is known to be over does not come back by an older answer, of a submission of
/// our own say, also where it was over before we heard of it.
#[test]
fn what_is_over_stays_over() {
    for known_before in [true, false] {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1"]);
        assert!(matches!(
            scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &[]), 0.0),
            HeartbeatReply::Commands(_)
        ));
        let record = live(spec("run-1", "t", Urgency::Standard, 1, 1.0), 0.0);
        if known_before {
            scheduler.add_job(record.clone(), 7, CompletedTasks::default());
        }
        scheduler.finish_job("run-1");
        scheduler.collect_garbage();
        scheduler.add_job(record, 7, CompletedTasks::default());
        scheduler.place_all(1.0);
        assert!(
            scheduler.next_direct_call(&"m1".into(), 1.0).is_none(),
            "it starts"
        );
    }
}

/// A worker that restarted at once counts its sessions anew, and what its former process sent
/// may come later: each session lasts a lease, so one cannot be three further on within a
/// second. (What had just started was taken for lost and started elsewhere.)
#[test]
fn a_session_that_cannot_have_begun_is_of_an_earlier_process() {
    // Sessions further on, how much later in leases, whether it can be.
    for (further, leases, possible) in [
        (1, 0.1, true),
        (3, 0.1, false),
        (3, 1.9, false),
        (3, 2.1, true),
    ] {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1"]);
        scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &[]), 0.0);
        let now = leases * LEASE_S;
        let reply = scheduler.handle_heartbeat(&report("m1", 1 + further, 97, 5, &[]), now);
        let accepted = matches!(reply, HeartbeatReply::Commands(_));
        assert_eq!(
            accepted, possible,
            "{further} further after {leases} leases"
        );
    }
}

/// A start that is on its way to a worker which restarted at once lives for a lease from
/// then, not from the last heartbeat that was answered.
#[test]
fn a_start_on_its_way_lives_for_a_lease() {
    for (started_at, checked_at, empty) in [
        (2.0, LEASE_S + 1.0, false),
        (2.0, LEASE_S + 2.5, true),
        (0.1, LEASE_S + 1.0, true),
    ] {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1"]);
        scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &[]), 0.0);
        let job = spec("run-1", "t", Urgency::Standard, 1, 1.0);
        add(&mut scheduler, job, 0.0);
        scheduler.place_all(started_at);
        let name = "m1".into();
        let (_, call) = scheduler
            .next_direct_call(&name, started_at)
            .expect("a start");
        assert!(matches!(call.commands[..], [Command::Start { .. }]));
        scheduler.direct_call_finished(&name, &call, CallResult::Unknown, started_at + 0.5);
        // Ticks at their pace, so that our own pause is not taken for the machine's silence.
        for tick in 0..=(checked_at * 2.0) as u32 {
            let now = f64::from(tick) / 2.0;
            scheduler.tick(now, now);
        }
        scheduler.tick(checked_at, checked_at);
        let proven_empty = scheduler.machines["m1"].attempts.is_empty();
        assert_eq!(
            proven_empty, empty,
            "started at {started_at}, checked at {checked_at}"
        );
    }
}

/// A task that writes a checkpoint when its job is cancelled is ended by a second stop, at
/// once and in every reply until it is seen to end.
#[test]
fn a_task_that_writes_a_checkpoint_is_ended() {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1"]);
    let mut job = spec("run-1", "t", Urgency::Standard, 1, 1.0);
    (job.checkpoint_s, job.save_s) = (10.0, 5.0);
    scheduler.add_job(live(job, 0.0), 1, CompletedTasks::default());
    let saving = [("run-1/0", 3, Phase::Saving, None)];
    scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &saving), 0.0);
    scheduler.finish_job("run-1");
    let ends = |commands: &[Command]| {
        let end = |c: &Command| matches!(c, Command::Stop { grace_s, .. } if *grace_s == 0.0);
        commands.len() == 1 && commands.iter().all(end)
    };
    let (_, call) = scheduler
        .next_direct_call(&"m1".into(), 0.1)
        .expect("a stop");
    assert!(ends(&call.commands));
    scheduler.direct_call_finished(&"m1".into(), &call, CallResult::Unknown, 1.0);
    for seq in 2..5 {
        let HeartbeatReply::Commands(reply) =
            scheduler.handle_heartbeat(&report("m1", 1, seq, 5, &saving), seq as f64)
        else {
            panic!("refused");
        };
        assert!(ends(&reply.commands), "reply {seq}: {:?}", reply.commands);
    }
}

/// The budgets of sockets never sum to more than there are, and leave one for each worker of
/// the largest fleets, and some for users.
#[test]
fn sockets_are_divided() {
    for (all, workers) in [(800, 324), (2832, 1126), (3198, 1905), (32, 12)] {
        let sockets = Sockets::new(all);
        assert!(sockets.front() >= workers + workers / 10, "{all}");
        for open in [0, workers, sockets.front()] {
            sockets.incoming.set(open);
            let used = open + sockets.mesh() + sockets.to_workers();
            assert!(used <= all + 8 - all / 16, "{all}, {open} open: {used}");
        }
    }
}

/// A controller that confirms a cancellation to a user tells its own scheduler first. (A
/// cancellation without a response was carried out late, and only a poll at the leader found
/// it: the other controllers' reports do not have it, and its tasks ran on in an outage.)
#[test]
fn a_cancellation_found_by_a_poll_at_the_leader_is_known_to_it() {
    let settings = Settings::parse(SETTINGS).expect("good settings");
    // Its clients need a runtime, though nothing is sent.
    let system = actix_rt::System::new();
    let node = system.block_on(async { Node::new(settings, Policy::default()) });
    for (state, over) in [(JobState::Done, false), (JobState::Cancelled, true)] {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1"]);
        add(
            &mut scheduler,
            spec("run-1", "t", Urgency::Standard, 2, 1.0),
            0.0,
        );
        *node.scheduler.borrow_mut() = Some(scheduler);
        let terminal = TerminalRecord {
            state,
            tasks: 2,
            done: 0,
        };
        node.terminal_states.take();
        node.learn_terminal_state("run-1", terminal);
        let scheduler = node.scheduler.borrow();
        let job = scheduler
            .as_ref()
            .and_then(|scheduler| scheduler.jobs.get("run-1"));
        assert_eq!(job.map(|job| job.finished), Some(over), "{state:?}");
        let confirmed = node
            .confirmed_cancellations
            .borrow()
            .within(0.0, 0.0)
            .map(|jobs| jobs.len());
        assert_eq!(confirmed.is_some_and(|count| count > 0), over, "{state:?}");
    }
}

/// A start without a response may be carried out once a worker that counts its sessions anew
/// comes to the session that it was sent to: silence does not prove its machine empty. (Seed
/// 1665 of tests/simulation: the task started elsewhere, then here.)
#[test]
fn a_machine_with_restarted_sessions_is_not_proven_empty_by_silence() {
    // What the call for a heartbeat shows: the session, if the worker answers at all.
    let cases = [
        ("it counts anew", Some(1), false),
        ("the same session", Some(3), true),
        ("no response", None, true),
    ];
    for (what, session, proven) in cases {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1"]);
        scheduler.handle_heartbeat(&report("m1", 3, 4, 5, &[]), 0.0);
        add(
            &mut scheduler,
            spec("run-1", "t", Urgency::Standard, 1, 1.0),
            0.0,
        );
        scheduler.place_all(0.1);
        let name = "m1".into();
        let (_, start) = scheduler.next_direct_call(&name, 0.1).expect("a start");
        let [Command::Start { attempt, .. }] = start.commands[..] else {
            panic!("{what}: {start:?}");
        };
        scheduler.direct_call_finished(&name, &start, CallResult::Unknown, 4.1);
        let asked = foxspur::protocol::worker::Direct {
            token: 5,
            session: 3,
            commands: Vec::new(),
        };
        if let Some(session) = session {
            let seen = report("m1", session, if session == 3 { 9 } else { 2 }, 5, &[]);
            let result = match session {
                3 => CallResult::Executed(seen),
                _ => CallResult::Rejected(seen),
            };
            scheduler.direct_call_finished(&name, &asked, result, 4.2);
        }
        let later = 5.0 + 2.0 * LEASE_S;
        scheduler.tick(later, later);
        let empty = scheduler.machines["m1"].attempts.is_empty();
        assert_eq!(empty, proven, "{what}");
        // A session past the one called rules the start out.
        scheduler.handle_heartbeat(&report("m1", 4, 1, 5, &[]), later + 1.0);
        let known = scheduler.machines["m1"].attempts.keys();
        let attempts: Vec<u64> = known.map(|id| id.number).collect();
        assert!(!attempts.contains(&attempt), "{what}: {attempts:?}");
    }
}
