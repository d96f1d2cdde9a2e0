//! Machines whose heartbeats arrive while our answers do not reach them, and copies of
//! heartbeats that arrive late.

mod common;

use common::*;
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::readiness::{PeerContacts, Readiness};
use foxspur::coordination::scheduler::fence::Fence;
use foxspur::coordination::scheduler::machine::MachineStatus;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::Urgency;
use foxspur::protocol::worker::{Cause, Command, Phase};

/// A leader under term 5 that places tasks, with these machines and one team.
fn leader(machines: &[&str]) -> Scheduler {
    scheduler(vec![team("t", 0.0, 0.0)], 5, machines)
}

/// Submits the job `run-1` of so many tasks.
fn submit(scheduler: &mut Scheduler, tasks: u32, at: f64) {
    add(
        scheduler,
        spec("run-1", "t", Urgency::Standard, tasks, 1.0),
        at,
    );
}

/// Ticks once a second.
fn tick(scheduler: &mut Scheduler, from: u32, to: u32) {
    for second in from..=to {
        scheduler.tick(f64::from(second), f64::from(second));
    }
}

fn doubted(scheduler: &Scheduler, id: &str) -> bool {
    scheduler.machines[id].delivery.is_doubtful()
}

/// Evidence that our answers do not reach a machine, and that they do. Guards against
/// taking a heartbeat for proof that our answers arrive.
#[test]
fn evidence_of_delivery_from_terms_and_sessions() {
    // Each heartbeat: at, session, sequence number, term, and whether the machine is in
    // doubt then.
    type Row = (u32, u64, u64, u64, bool);
    let cases: [(&str, &[Row]); 4] = [
        (
            "our term is not taken",
            &[
                (1, 1, 1, 3, false),
                (6, 1, 2, 3, true),
                (11, 1, 3, 5, false),
            ],
        ),
        (
            "answers arrive",
            &[
                (1, 1, 1, 3, false),
                (2, 1, 2, 5, false),
                (3, 1, 3, 5, false),
            ],
        ),
        (
            "its session ends though it was answered",
            &[(1, 1, 1, 5, false), (26, 2, 2, 5, true)],
        ),
        (
            "it stays with us, then it is cut off",
            &[
                (1, 1, 1, 5, false),
                (2, 1, 2, 5, false),
                (3, 1, 3, 5, false),
            ],
        ),
    ];
    for (what, rows) in cases {
        let mut scheduler = leader(&["m1"]);
        let mut at = 0;
        for (now, session, seq, term, doubt) in rows {
            tick(&mut scheduler, at, *now);
            at = *now;
            scheduler.handle_heartbeat(&report("m1", *session, *seq, *term, &[]), f64::from(*now));
            assert_eq!(doubted(&scheduler, "m1"), *doubt, "{what} {now}");
        }
    }
}

/// The same from what becomes of a start, a stop and a forgetting in our answers.
#[test]
fn evidence_of_delivery_from_tasks() {
    let shown = |phase, cause| vec![("run-1/0", (5 << 24) + 1, phase, cause)];
    let none = Vec::new();
    let runs = shown(Phase::Running, None);
    let over = shown(Phase::Exited, Some(Cause::Stopped));
    // Heartbeats after the start went out in an answer; the job is over before the one
    // with `true`. What each shows, and whether the machine is in doubt then.
    type Row<'a> = (bool, &'a Vec<(&'a str, u64, Phase, Option<Cause>)>, bool);
    let cases: [(&str, &[Row]); 4] = [
        ("a start", &[(false, &runs, false)]),
        ("none", &[(false, &none, true), (false, &runs, false)]),
        (
            "no stop",
            &[
                (false, &runs, false),
                (true, &runs, false),
                (false, &runs, true),
                (false, &over, false),
            ],
        ),
        (
            "no forgetting",
            &[
                (false, &runs, false),
                (true, &over, false),
                (false, &over, true),
                (false, &none, false),
            ],
        ),
    ];
    for (what, rows) in cases {
        let mut scheduler = leader(&["m1"]);
        scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &[]), 0.5);
        submit(&mut scheduler, 1, 0.5);
        let HeartbeatReply::Commands(reply) =
            scheduler.handle_heartbeat(&report("m1", 1, 2, 5, &[]), 1.0)
        else {
            panic!("refused");
        };
        assert_eq!(reply.commands.len(), 1, "{what}");
        for (seq, (ends, tasks, doubt)) in rows.iter().enumerate() {
            if *ends {
                scheduler.finish_job("run-1");
            }
            let seq = seq as u64 + 3;
            scheduler.handle_heartbeat(&report("m1", 1, seq, 5, tasks), seq as f64);
            assert_eq!(doubted(&scheduler, "m1"), *doubt, "{what}, heartbeat {seq}");
        }
    }
}

/// Guards against taking what ended during our own pause for evidence against delivery.
#[test]
fn own_pause_is_no_evidence_against_delivery() {
    let mut scheduler = leader(&["m1"]);
    scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &[]), 1.0);
    scheduler.tick(1.5, 1.5);
    // 25 s without a tick.
    scheduler.handle_heartbeat(&report("m1", 2, 9, 5, &[]), 26.5);
    assert!(!doubted(&scheduler, "m1"));
}

/// Guards against an unreachable machine that, always empty, draws task after task: from the
/// first evidence on nothing new starts there, its CPUs do not count, and it is probed.
/// An answer to a call brings it back.
#[test]
fn machine_in_doubt_gets_no_new_tasks() {
    let mut scheduler = leader(&["unreachable", "m2"]);
    let heartbeat = |scheduler: &mut Scheduler, seq: u64, at: f64| {
        scheduler.handle_heartbeat(&report("m2", 1, seq, 5, &[]), at);
    };
    scheduler.handle_heartbeat(&report("unreachable", 1, 1, 5, &[]), 1.0);
    heartbeat(&mut scheduler, 1, 1.0);
    tick(&mut scheduler, 1, 2);
    scheduler.handle_heartbeat(&report("unreachable", 1, 2, 3, &[]), 3.0);
    heartbeat(&mut scheduler, 2, 3.0);
    submit(&mut scheduler, 12, 3.0);
    scheduler.place_all(3.1);
    assert!(scheduler.machines["unreachable"].attempts.is_empty());
    assert_eq!(scheduler.machines["m2"].attempts.len(), 8);
    assert_eq!(scheduler.capacity().0, 1);
    tick(&mut scheduler, 4, 6);
    assert!(scheduler.outbox.contains("unreachable"), "it is not probed");
    let (_, call) = scheduler
        .next_direct_call(&"unreachable".into(), 6.0)
        .expect("a call");
    assert!(call.commands.is_empty());
    let heard = CallResult::Executed(report("unreachable", 1, 3, 5, &[]));
    scheduler.direct_call_finished(&"unreachable".into(), &call, heard, 6.1);
    scheduler.place_all(6.1);
    assert_eq!(scheduler.machines["unreachable"].attempts.len(), 4);
}

/// Guards against a takeover that waits for ever for a machine that no answer reaches:
/// each answer may have renewed its lease, so that never proved it empty. It is left
/// alone, and after a lease it holds up nobody, in this session and the next.
#[test]
fn takeover_does_not_wait_for_an_unreachable_machine() {
    let teams = vec![team("t", 0.0, 0.0)];
    let mut scheduler = Scheduler::new(scheduler_config(teams), 5, Fence::new(5, Some(0.0)), 7);
    scheduler.set_types(&types());
    scheduler.add_recorded_machine(machine("unreachable", "a", false), 0.0);
    let mut open_at = None;
    let mut session = 1;
    for second in 0..80u32 {
        let now = f64::from(second);
        scheduler.tick(now, now);
        if second % 5 == 0 {
            // Its lease ends every ten seconds.
            session = 1 + u64::from(second) / 10;
            scheduler.handle_heartbeat(
                &report("unreachable", session, u64::from(second) + 1, 3, &[]),
                now,
            );
            let written: Vec<_> = scheduler
                .wanted_machine_record()
                .into_iter()
                .cloned()
                .collect();
            scheduler.machine_record_written(&written);
        }
        if scheduler.fencing_complete() {
            open_at.get_or_insert(now);
        }
    }
    assert!(session > 6);
    assert!(open_at.is_some_and(|t| t <= 35.0), "open at {open_at:?}");
    // It goes back to the cloud, and what comes of it then is old.
    assert_eq!(scheduler.machines_given_up(80.0), ["unreachable"]);
    scheduler.confirm_machine_returned("unreachable");
    let late = scheduler.handle_heartbeat(&report("unreachable", 1, 900, 5, &[]), 200.0);
    assert!(matches!(late, HeartbeatReply::Refuse));
    assert!(scheduler.machines.is_empty());
}

/// A heartbeat that is older than what is known: overtaken by an answer to a call it is
/// answered; long after that it is a copy, or a machine that counts anew, whose lease
/// must not be renewed. Guards against a machine that is back at once with counters
/// from the beginning and is answered for ever while its tasks count as on.
#[test]
fn overtaken_heartbeats() {
    for (after_s, answered) in [(1, true), (3, true), (8, false)] {
        let mut scheduler = leader(&["m1"]);
        scheduler.handle_heartbeat(&report("m1", 1, 50, 5, &[]), 1.0);
        tick(&mut scheduler, 1, 1 + after_s);
        let answer =
            scheduler.handle_heartbeat(&report("m1", 1, 3, 5, &[]), f64::from(1 + after_s));
        let found = matches!(answer, HeartbeatReply::Commands(_));
        assert_eq!(found, answered, "after {after_s} s");
        assert_eq!(doubted(&scheduler, "m1"), !answered);
    }
    // What was started by calls after it came back runs until its own lease ends.
    let mut scheduler = leader(&["m1"]);
    scheduler.handle_heartbeat(&report("m1", 1, 50, 5, &[]), 1.0);
    let mut expired_at = None;
    for second in 1..40u32 {
        scheduler.tick(f64::from(second), f64::from(second));
        if (8..15).contains(&second) {
            scheduler.handle_heartbeat(
                &report("m1", 1, u64::from(second) - 7, 5, &[]),
                f64::from(second),
            );
        }
        if scheduler.machines["m1"].status == MachineStatus::Expired {
            expired_at.get_or_insert(second);
        }
    }
    assert!(expired_at.is_some_and(|s| s > 18), "{expired_at:?}");
}

/// A machine keeps the highest term: newer by session or sequence number and with a lower one is of
/// another life, and clears nothing. (It did, and a task started twice: seed 69 of the
/// simulation.) And a start that was executed there, by a message that is no newer than
/// what we know, is neither shown nor ruled out: it stays in flight.
#[test]
fn heartbeats_of_an_earlier_life() {
    let mut scheduler = leader(&["m1"]);
    scheduler.handle_heartbeat(&report("m1", 1, 50, 5, &[]), 1.0);
    submit(&mut scheduler, 1, 1.0);
    scheduler.place_all(1.2);
    let name = "m1".into();
    let call = scheduler.next_direct_call(&name, 1.2).expect("a start").1;
    let late = scheduler.handle_heartbeat(&report("m1", 5, 1, 3, &[]), 1.3);
    assert!(matches!(late, HeartbeatReply::Refuse));
    assert_eq!(
        scheduler.machines["m1"].attempts.len(),
        1,
        "cleared by a copy"
    );
    let old = CallResult::Executed(report("m1", 1, 3, 5, &[]));
    scheduler.direct_call_finished(&name, &call, old, 1.4);
    scheduler.finish_job("run-1");
    scheduler.remove_unstarted(&name);
    assert_eq!(
        scheduler.machines["m1"].attempts.len(),
        1,
        "taken for never sent"
    );
    scheduler.handle_heartbeat(&report("m1", 2, 1, 5, &[]), 20.0);
    assert!(scheduler.machines["m1"].attempts.is_empty());
}

/// A machine that counts anew can be in the very session that its earlier life was in
/// last: a heartbeat of that life, held up, then looks newer than all that it says. What it
/// answers to a call made since is the truth. (Seed 6689 of tests/simulation.rs: a task
/// that ran here was started elsewhere.)
#[test]
fn call_result_outweighs_a_heartbeat_of_an_earlier_life() {
    for (session, seq, believed) in [(2, 8, true), (2, 70, true), (1, 80, false)] {
        let mut scheduler = leader(&["m1"]);
        scheduler.handle_heartbeat(&report("m1", 2, 5, 5, &[]), 1.0);
        submit(&mut scheduler, 1, 1.0);
        scheduler.place_all(1.1);
        let name = "m1".into();
        let (_, start) = scheduler.next_direct_call(&name, 1.1).expect("a start");
        let [Command::Start { attempt, .. }] = start.commands[..] else {
            panic!("{start:?}");
        };
        let runs = [("run-1/0", attempt, Phase::Running, None)];
        let shows = report("m1", 2, 6, 5, &runs);
        scheduler.direct_call_finished(&name, &start, CallResult::Executed(shows), 1.2);
        // Of the earlier life, sent before it ended, with a later sequence number.
        scheduler.handle_heartbeat(&report("m1", 2, 69, 5, &[]), 1.3);
        let known = |scheduler: &Scheduler| {
            let known = scheduler.machines["m1"].attempts.keys();
            known.map(|id| id.number).collect::<Vec<u64>>()
        };
        assert!(!known(&scheduler).contains(&attempt), "{session} {seq}");
        // A start that it drew since is not the matter here.
        scheduler.finish_job("run-1");
        let (_, ask) = scheduler.next_direct_call(&name, 1.4).expect("asked");
        let shows = report("m1", session, seq, 5, &runs);
        scheduler.direct_call_finished(&name, &ask, CallResult::Executed(shows), 1.5);
        assert_eq!(known(&scheduler).contains(&attempt), believed, "{seq}");
        let recounts = scheduler.machines["m1"].renumbers;
        assert_eq!(recounts, (session, seq) < (2, 69), "{seq}");
        // From then on heartbeats say nothing until the next session, which ends all.
        let late = scheduler.handle_heartbeat(&report("m1", 2, 90, 5, &[]), 1.6);
        assert_eq!(matches!(late, HeartbeatReply::Refuse), recounts, "{seq}");
        assert_eq!(
            known(&scheduler).contains(&attempt),
            (2, 8) == (session, seq)
        );
        let next = scheduler.handle_heartbeat(&report("m1", 3, 91, 5, &[]), 2.0 + LEASE_S);
        assert!(matches!(next, HeartbeatReply::Commands(_)) && !scheduler.machines["m1"].renumbers);
        assert!(!known(&scheduler).contains(&attempt));
    }
}

/// Late copies at a leader that took over do not end its fence, bring back what was
/// forgotten or stop what has started since.
#[test]
fn late_copies_after_a_takeover() {
    let mut scheduler = leader(&["m1"]);
    submit(&mut scheduler, 1, 0.0);
    let old = [("run-1/0", 9, Phase::Running, None)];
    scheduler.handle_heartbeat(&report("m1", 1, 4, 3, &old), 1.0);
    assert!(!scheduler.fencing_complete());
    // The machine reports that it is over, and is told to start it again.
    let HeartbeatReply::Commands(reply) =
        scheduler.handle_heartbeat(&report("m1", 1, 9, 5, &[]), 2.0)
    else {
        panic!("refused");
    };
    let [Command::Start { attempt, .. }] = reply.commands[..] else {
        panic!("{:?}", reply.commands);
    };
    let runs = [("run-1/0", attempt, Phase::Running, None)];
    scheduler.handle_heartbeat(&report("m1", 1, 10, 5, &runs), 2.8);
    for seq in [4, 9] {
        scheduler.handle_heartbeat(&report("m1", 1, seq, 3, &old), 3.0);
        let known: Vec<u64> = scheduler.machines["m1"]
            .attempts
            .keys()
            .map(|id| id.number)
            .collect();
        assert_eq!(known, [attempt], "after a copy of {seq}");
    }
}

/// Users are sent elsewhere where the state service does not answer us alone, and
/// come back without flapping; in an outage for all nobody sends them away.
#[test]
fn controllers_out_of_contact_are_not_ready() {
    let peers = |with, without| {
        Some(PeerContacts {
            all: 4,
            with_contact: with,
            without_contact: without,
        })
    };
    for (what, found, away) in [
        ("the others have contact", peers(4, 0), true),
        ("one has", peers(1, 3), true),
        ("an outage for all", peers(0, 4), false),
        ("for most that answer", peers(0, 2), false),
        ("an island of two", peers(0, 1), true),
        ("nobody answers", peers(0, 0), true),
        ("there is nobody else", Some(PeerContacts::default()), false),
    ] {
        let mut health = Readiness::default();
        health.update(10.0, 9.9, 1.0, None);
        assert_eq!(
            health.update(12.0, 9.9, 1.0, found),
            away.then_some(true),
            "{what}"
        );
        // It comes back for a moment, is lost, and comes back for good.
        for (now, contact_at, still) in [
            (12.2, 12.2, true),
            (13.5, 12.3, true),
            (13.6, 13.6, true),
            (14.4, 14.4, true),
            (14.7, 14.7, false),
        ] {
            health.update(
                now,
                contact_at,
                1.0,
                found.filter(|_| now - contact_at > 1.0),
            );
            assert_eq!(health.is_not_ready(), away && still, "{what} at {now}");
        }
    }
}

/// A leader that gets a heartbeat of several sessions ago first takes those since for too
/// early, and refuses them; each refusal costs the machine its lease, so its count never
/// comes late enough. It is taken back once its lease has proven it empty, also with a
/// start without an answer on it. (Seed 7110 of tests/simulation.rs without machines that
/// count anew: it was refused for ever, and its tasks never ran.)
#[test]
fn machine_first_known_by_a_late_copy_is_readmitted() {
    for unanswered in [false, true] {
        let mut scheduler = leader(&["m1"]);
        scheduler.handle_heartbeat(&report("m1", 3, 4, 5, &[]), 1.0);
        if unanswered {
            submit(&mut scheduler, 1, 1.0);
            scheduler.place_all(1.1);
            let name = "m1".into();
            let (_, start) = scheduler.next_direct_call(&name, 1.1).expect("a start");
            scheduler.direct_call_finished(&name, &start, CallResult::Unknown, 5.1);
        }
        let (mut refused, mut taken) = (0, None);
        for second in 2..60u32 {
            let now = f64::from(second);
            scheduler.tick(now, now);
            // Five sessions further than that heartbeat said, and one more each lease.
            let session = 8 + u64::from(second) / LEASE_S as u64;
            if second % 4 == 0 && taken.is_none() {
                let seen = report("m1", session, 100 + u64::from(second), 5, &[]);
                match scheduler.handle_heartbeat(&seen, now) {
                    HeartbeatReply::Commands(_) => taken = Some(now),
                    _ => refused += 1,
                }
            }
        }
        assert!(refused > 0, "it was not taken for early");
        assert!(taken.is_some_and(|t| t < 3.0 * LEASE_S), "{taken:?}");
    }
}
