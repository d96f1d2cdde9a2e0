//! Machines whose heartbeats arrive while the leader's replies do not reach them, and
//! heartbeats that arrive late or twice.
//!
//! The leader in these tests has term 5.

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

/// A leader with term 5, with these machines in its record and one team without limits.
fn leader(machines: &[&str]) -> Scheduler {
    scheduler(vec![team("t", 0.0, 0.0)], 5, machines)
}

/// Submits the job `run-1` with `tasks` tasks, accepted at `accepted_at_s`.
fn submit(scheduler: &mut Scheduler, tasks: u32, accepted_at_s: f64) {
    add(
        scheduler,
        spec("run-1", "t", Urgency::Standard, tasks, 1.0),
        accepted_at_s,
    );
}

/// Ticks once per second, from `from_s` up to and including `to_s`.
fn tick(scheduler: &mut Scheduler, from_s: u32, to_s: u32) {
    for second in from_s..=to_s {
        scheduler.tick(f64::from(second), f64::from(second));
    }
}

fn delivery_is_doubtful(scheduler: &Scheduler, id: &str) -> bool {
    scheduler.machines[id].delivery.is_doubtful()
}

/// Guards against taking an arriving heartbeat as proof that replies reach the machine. Only
/// the terms and sessions in heartbeats are evidence for or against the delivery of replies.
#[test]
fn evidence_of_delivery_from_terms_and_sessions() {
    // A heartbeat (time in seconds, session, sequence number, term), and whether delivery to
    // the machine is doubtful after the heartbeat.
    type Row = (u32, u64, u64, u64, bool);
    let cases: [(&str, &[Row]); 4] = [
        (
            "the machine does not adopt the term",
            &[
                (1, 1, 1, 3, false),
                (6, 1, 2, 3, true),
                (11, 1, 3, 5, false),
            ],
        ),
        (
            "replies arrive",
            &[
                (1, 1, 1, 3, false),
                (2, 1, 2, 5, false),
                (3, 1, 3, 5, false),
            ],
        ),
        (
            "the session ends although it was answered",
            &[(1, 1, 1, 5, false), (26, 2, 2, 5, true)],
        ),
        (
            "the session continues under the leader's term",
            &[
                (1, 1, 1, 5, false),
                (2, 1, 2, 5, false),
                (3, 1, 3, 5, false),
            ],
        ),
    ];
    for (case, rows) in cases {
        let mut scheduler = leader(&["m1"]);
        let mut previous = 0;
        for (now, session, seq, term, doubtful) in rows {
            tick(&mut scheduler, previous, *now);
            previous = *now;
            scheduler.handle_heartbeat(&report("m1", *session, *seq, *term, &[]), f64::from(*now));
            assert_eq!(
                delivery_is_doubtful(&scheduler, "m1"),
                *doubtful,
                "{case}, at {now} s"
            );
        }
    }
}

/// Guards against taking an arriving heartbeat as proof that replies reach the machine. Only
/// the tasks in heartbeats show whether commands to start, stop and forget a task took effect.
#[test]
fn evidence_of_delivery_from_tasks() {
    let shown = |phase, cause| vec![("run-1/0", (5 << 24) + 1, phase, cause)];
    let no_tasks = Vec::new();
    let running = shown(Phase::Running, None);
    let exited = shown(Phase::Exited, Some(Cause::Stopped));
    // A heartbeat after a reply with the start command: whether the job finishes before the
    // heartbeat, the tasks in the heartbeat, and whether delivery is doubtful after the heartbeat.
    type Row<'a> = (bool, &'a Vec<(&'a str, u64, Phase, Option<Cause>)>, bool);
    let cases: [(&str, &[Row]); 4] = [
        ("the task starts", &[(false, &running, false)]),
        (
            "the task does not start at first",
            &[(false, &no_tasks, true), (false, &running, false)],
        ),
        (
            "the task does not stop at first",
            &[
                (false, &running, false),
                (true, &running, false),
                (false, &running, true),
                (false, &exited, false),
            ],
        ),
        (
            "the task is not forgotten at first",
            &[
                (false, &running, false),
                (true, &exited, false),
                (false, &exited, true),
                (false, &no_tasks, false),
            ],
        ),
    ];
    for (case, rows) in cases {
        let mut scheduler = leader(&["m1"]);
        scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &[]), 0.5);
        submit(&mut scheduler, 1, 0.5);
        let HeartbeatReply::Commands(reply) =
            scheduler.handle_heartbeat(&report("m1", 1, 2, 5, &[]), 1.0)
        else {
            panic!("the heartbeat was refused");
        };
        assert_eq!(reply.commands.len(), 1, "{case}");
        for (index, (job_finishes, tasks, doubtful)) in rows.iter().enumerate() {
            if *job_finishes {
                scheduler.finish_job("run-1");
            }
            let seq = index as u64 + 3;
            scheduler.handle_heartbeat(&report("m1", 1, seq, 5, tasks), seq as f64);
            assert_eq!(
                delivery_is_doubtful(&scheduler, "m1"),
                *doubtful,
                "{case}, heartbeat {seq}"
            );
        }
    }
}

/// Guards against considering delivery doubtful because a machine's session ended while the
/// leader's own process was paused and answered no heartbeats.
#[test]
fn own_pause_is_no_evidence_against_delivery() {
    let mut scheduler = leader(&["m1"]);
    scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &[]), 1.0);
    scheduler.tick(1.5, 1.5);
    // The leader does not tick for 25 s.
    scheduler.handle_heartbeat(&report("m1", 2, 9, 5, &[]), 26.5);
    assert!(!delivery_is_doubtful(&scheduler, "m1"));
}

/// Guards against starting one task after another on a machine that receives no replies and
/// therefore always looks empty. Once there is evidence against delivery to a machine, no new
/// task starts on the machine, its CPUs are not counted as capacity, and the leader probes the
/// machine. A response to a direct call makes the machine usable again.
#[test]
fn machine_with_doubtful_delivery_gets_no_new_tasks() {
    let mut scheduler = leader(&["unreachable", "m2"]);
    let heartbeat = |scheduler: &mut Scheduler, seq: u64, now: f64| {
        scheduler.handle_heartbeat(&report("m2", 1, seq, 5, &[]), now);
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
    assert!(
        scheduler.outbox.contains("unreachable"),
        "no probe of the machine is scheduled"
    );
    let (_, call) = scheduler
        .next_direct_call(&"unreachable".into(), 6.0)
        .expect("no direct call");
    assert!(call.commands.is_empty());
    // The worker adopts the token of the probe, which is above all tokens sent before.
    assert_eq!(call.token, 6);
    let result = CallResult::Executed(report("unreachable", 1, 3, call.token, &[]));
    scheduler.direct_call_finished(&"unreachable".into(), &call, result, 6.1);
    scheduler.place_all(6.1);
    assert_eq!(scheduler.machines["unreachable"].attempts.len(), 4);
}

/// Guards against a takeover that never completes because no reply reaches one machine. While
/// the leader answers the machine, each reply may renew the machine's lease, so the machine is
/// never proven empty. The leader must stop answering the machine's heartbeats. One lease later
/// the machine no longer blocks placement, neither in its present session nor in later ones.
#[test]
fn takeover_does_not_wait_for_an_unreachable_machine() {
    let teams = vec![team("t", 0.0, 0.0)];
    let mut scheduler = Scheduler::new(scheduler_config(teams), 5, Fence::new(5, Some(0.0)), 7);
    scheduler.set_types(&types());
    scheduler.add_recorded_machine(machine("unreachable", "a", false), 0.0);
    let mut placement_allowed_at = None;
    let mut session = 1;
    for second in 0..80u32 {
        let now = f64::from(second);
        scheduler.tick(now, now);
        if second % 5 == 0 {
            // The machine's lease ends after 10 s in each session, and a new session begins.
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
        if scheduler.allow_placement_if_fenced() {
            placement_allowed_at.get_or_insert(now);
        }
    }
    assert!(session > 6);
    assert!(
        placement_allowed_at.is_some_and(|seconds| seconds <= 35.0),
        "placement allowed at {placement_allowed_at:?}"
    );
    // The machine is returned to the cloud. Its heartbeats that arrive later are refused.
    assert_eq!(scheduler.machines_presumed_dead(80.0), ["unreachable"]);
    scheduler.confirm_machine_returned("unreachable");
    let late_reply = scheduler.handle_heartbeat(&report("unreachable", 1, 900, 5, &[]), 200.0);
    assert!(matches!(late_reply, HeartbeatReply::Refuse));
    assert!(scheduler.machines.is_empty());
}

/// Guards against returning a machine that is only cut off: a late copy of one of its heartbeats arrives
/// after its lease expired, and nothing follows that could show the token of the incarnation check.
#[test]
fn a_late_copy_alone_returns_no_expired_machine() {
    let mut scheduler = leader(&["m1"]);
    scheduler.handle_heartbeat(&report("m1", 1, 10, 5, &[]), 1.0);
    tick(&mut scheduler, 1, 14);
    let check = scheduler.handle_heartbeat(&report("m1", 2, 3, 5, &[]), 14.0);
    assert!(matches!(check, HeartbeatReply::IncarnationCheck(6)));
    for second in 15..45 {
        tick(&mut scheduler, second - 1, second);
        let returned = scheduler.machines_presumed_dead(f64::from(second));
        assert!(returned.is_empty(), "after {second} s");
    }
}

/// Guards against renewing the lease of a restarted machine for ever while its tasks from
/// before the restart count as running. Such a machine has reset its session and sequence
/// numbers. A heartbeat with lower numbers than the newest message is answered only if the
/// heartbeat arrives soon after that message, which may have overtaken it. A heartbeat with
/// lower numbers that arrives later is a copy, or shows that the machine has reset its numbers.
/// Such a heartbeat gets an answer without commands and with a token that was never sent before.
/// The answer renews the machine's lease, so it is given for a quarter of a lease only, unless a
/// message shows the token.
#[test]
fn overtaken_heartbeats() {
    for (after_s, answered) in [(1, true), (3, true), (8, false)] {
        let mut scheduler = leader(&["m1"]);
        scheduler.handle_heartbeat(&report("m1", 1, 50, 5, &[]), 1.0);
        tick(&mut scheduler, 1, 1 + after_s);
        let reply = scheduler.handle_heartbeat(&report("m1", 1, 3, 5, &[]), f64::from(1 + after_s));
        let was_answered = matches!(reply, HeartbeatReply::Commands(_));
        assert_eq!(was_answered, answered, "after {after_s} s");
        let is_check = matches!(reply, HeartbeatReply::IncarnationCheck(6));
        assert_eq!(is_check, !answered, "after {after_s} s");
        assert_eq!(delivery_is_doubtful(&scheduler, "m1"), !answered);
    }
    // Tasks that direct calls started after the restart may run until the lease of the new
    // session ends, so the old lease must not be declared expired before that.
    let mut scheduler = leader(&["m1"]);
    scheduler.handle_heartbeat(&report("m1", 1, 50, 5, &[]), 1.0);
    let mut expired_at = None;
    for second in 1..40u32 {
        scheduler.tick(f64::from(second), f64::from(second));
        if (8..15).contains(&second) {
            let reply = scheduler.handle_heartbeat(
                &report("m1", 1, u64::from(second) - 7, 5, &[]),
                f64::from(second),
            );
            let answered = !matches!(reply, HeartbeatReply::Refuse);
            assert_eq!(answered, second <= 10, "at {second} s");
        }
        if scheduler.machines["m1"].status == MachineStatus::Expired {
            expired_at.get_or_insert(second);
        }
    }
    assert!(
        expired_at.is_some_and(|second| second > 18 && second <= 21),
        "the lease was declared expired at {expired_at:?}"
    );
}

/// Guards against starting a task twice because a message of an earlier incarnation of the
/// machine removed a start in flight (seed 69 of tests/simulation). A machine remembers the
/// highest term that it has seen. A heartbeat with a higher session or sequence number but a
/// lower term was therefore sent by an earlier incarnation and removes no attempts. If the
/// report in the response to a call is not newer than the newest known message, the report
/// neither proves nor rules out the start, so the start stays in flight.
#[test]
fn heartbeats_of_an_earlier_incarnation_remove_no_attempts() {
    let mut scheduler = leader(&["m1"]);
    scheduler.handle_heartbeat(&report("m1", 1, 50, 5, &[]), 1.0);
    submit(&mut scheduler, 1, 1.0);
    scheduler.place_all(1.2);
    let name = "m1".into();
    let call = scheduler
        .next_direct_call(&name, 1.2)
        .expect("no direct call with the start")
        .1;
    let late_reply = scheduler.handle_heartbeat(&report("m1", 5, 1, 3, &[]), 1.3);
    assert!(matches!(late_reply, HeartbeatReply::IncarnationCheck(6)));
    assert_eq!(
        scheduler.machines["m1"].attempts.len(),
        1,
        "a late heartbeat removed the attempt"
    );
    let old_result = CallResult::Executed(report("m1", 1, 3, 5, &[]));
    scheduler.direct_call_finished(&name, &call, old_result, 1.4);
    scheduler.finish_job("run-1");
    scheduler.remove_unstarted(&name);
    assert_eq!(
        scheduler.machines["m1"].attempts.len(),
        1,
        "the start was treated as never sent"
    );
    scheduler.handle_heartbeat(&report("m1", 2, 1, 5, &[]), 20.0);
    assert_eq!(
        scheduler.machines["m1"].attempts.len(),
        1,
        "a heartbeat that may be of an earlier incarnation removed the attempt"
    );
    scheduler.handle_heartbeat(&report("m1", 2, 2, 6, &[]), 21.0);
    assert!(scheduler.machines["m1"].attempts.is_empty());
}

/// Guards against starting a task on a second machine while it runs on a machine that has
/// restarted its session numbering (seed 6689 of tests/simulation). The sessions of such a
/// machine can reach the number of the session in which its earlier incarnation ended. A
/// delayed heartbeat of that incarnation then looks newer than all messages of the present
/// one. The response to a direct call that was made after that heartbeat arrived is decisive for an
/// attempt that this leader does not know. An attempt that it started by a direct call counts until
/// the machine has shown a higher token, whatever the messages list.
#[test]
fn call_result_outweighs_a_heartbeat_of_an_earlier_incarnation() {
    // Session and sequence number in the response, and whether the leader accepts that the
    // unknown attempt in the response runs.
    for (session, seq, accepted) in [(2, 8, true), (2, 70, true), (1, 80, false)] {
        let mut scheduler = leader(&["m1"]);
        scheduler.handle_heartbeat(&report("m1", 2, 5, 5, &[]), 1.0);
        submit(&mut scheduler, 1, 1.0);
        scheduler.place_all(1.1);
        let name = "m1".into();
        let (_, start) = scheduler
            .next_direct_call(&name, 1.1)
            .expect("no direct call with the start");
        let [Command::Start { attempt, .. }] = start.commands[..] else {
            panic!("{start:?}");
        };
        let running = [("run-1/0", attempt, Phase::Running, None)];
        let shown = report("m1", 2, 6, 5, &running);
        scheduler.direct_call_finished(&name, &start, CallResult::Executed(shown), 1.2);
        // A delayed heartbeat of the earlier incarnation, with a higher sequence number.
        scheduler.handle_heartbeat(&report("m1", 2, 69, 5, &[]), 1.3);
        let knows = |scheduler: &Scheduler, task: &str| {
            let mut ids = scheduler.machines["m1"].attempts.keys();
            ids.any(|id| id.task.wire_name() == task)
        };
        assert!(
            knows(&scheduler, "run-1/0"),
            "session {session}, sequence number {seq}"
        );
        // Finishes the job, because otherwise its task would be started again.
        scheduler.finish_job("run-1");
        let (_, probe) = scheduler.next_direct_call(&name, 1.4).expect("no probe");
        let unknown = ("run-2/0", 1, Phase::Running, None);
        let shown = report("m1", session, seq, 5, &[running[0], unknown]);
        scheduler.direct_call_finished(&name, &probe, CallResult::Executed(shown), 1.5);
        assert_eq!(
            knows(&scheduler, "run-2/0"),
            accepted,
            "sequence number {seq}"
        );
        assert!(knows(&scheduler, "run-1/0"), "sequence number {seq}");
        let check = scheduler.machines["m1"].incarnation_check;
        let numbering_restarted = check.is_some();
        assert_eq!(
            numbering_restarted,
            (session, seq) < (2, 69),
            "sequence number {seq}"
        );
        // If the session numbering has restarted, heartbeats are ambiguous and are not processed,
        // whatever their session is, until one shows the token that was sent since.
        let late_reply = scheduler.handle_heartbeat(&report("m1", 2, 90, 5, &[]), 1.6);
        assert_eq!(
            matches!(late_reply, HeartbeatReply::IncarnationCheck(7)),
            numbering_restarted,
            "sequence number {seq}"
        );
        assert_eq!(knows(&scheduler, "run-2/0"), (2, 8) == (session, seq));
        let later = 2.0 + LEASE_S;
        if let Some(check) = check {
            scheduler.handle_heartbeat(&report("m1", 3, 91, 5, &[]), later);
            assert_eq!(scheduler.machines["m1"].incarnation_check, Some(check));
            assert_eq!(knows(&scheduler, "run-2/0"), (2, 8) == (session, seq));
        }
        assert!(knows(&scheduler, "run-1/0"), "sequence number {seq}");
        let token = check.map_or(6, |check| check.token);
        let next_reply = scheduler.handle_heartbeat(&report("m1", 3, 92, token, &[]), later);
        assert!(
            matches!(next_reply, HeartbeatReply::Commands(_))
                && scheduler.machines["m1"].incarnation_check.is_none()
        );
        assert!(!knows(&scheduler, "run-2/0") && !knows(&scheduler, "run-1/0"));
    }
}

/// Guards against starting a task on a second machine because of a late answer to a direct call (seeds
/// 1254 and 1720 of tests/simulation): the machine restarted after the call, and its messages have
/// reached the number that was known when the call was made. The answer is older than they are.
#[test]
fn a_late_answer_to_a_call_from_before_a_restart_removes_no_attempts() {
    let mut scheduler = leader(&["m1"]);
    scheduler.handle_heartbeat(&report("m1", 1, 10, 5, &[]), 1.0);
    submit(&mut scheduler, 1, 1.0);
    scheduler.place_all(1.2);
    let name = "m1".into();
    let (_, call) = scheduler
        .next_direct_call(&name, 1.2)
        .expect("no direct call with the start");
    for now in [2.0, 3.0, 4.0, 5.0] {
        scheduler.tick(now, now);
    }
    let check = scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &[]), 6.0);
    assert!(matches!(check, HeartbeatReply::IncarnationCheck(6)));
    scheduler.handle_heartbeat(&report("m1", 1, 8, 6, &[]), 7.0);
    let running = [("run-2/0", 9, Phase::Running, None)];
    scheduler.handle_heartbeat(&report("m1", 1, 10, 6, &running), 8.0);
    let late = CallResult::Executed(report("m1", 1, 7, 6, &[]));
    scheduler.direct_call_finished(&name, &call, late, 8.5);
    let mut ids = scheduler.machines["m1"].attempts.keys();
    assert!(ids.any(|id| id.task.wire_name() == "run-2/0"));
}

/// Guards against starting a task on a second machine because of a heartbeat from between two restarts
/// (seeds 36 and 7469 of tests/simulation): the machine got the token of the incarnation check, restarted,
/// and passed the check with its next message. The heartbeat shows the same token and a later session.
#[test]
fn a_late_heartbeat_from_between_two_restarts_removes_no_attempts() {
    let mut scheduler = leader(&["m1"]);
    scheduler.handle_heartbeat(&report("m1", 3, 10, 5, &[]), 1.0);
    for now in [2.0, 3.0, 4.0, 5.0] {
        scheduler.tick(now, now);
    }
    let check = scheduler.handle_heartbeat(&report("m1", 2, 3, 5, &[]), 6.0);
    assert!(matches!(check, HeartbeatReply::IncarnationCheck(6)));
    let running = [("run-2/0", 9, Phase::Running, None)];
    scheduler.handle_heartbeat(&report("m1", 1, 2, 6, &running), 7.0);
    let late = scheduler.handle_heartbeat(&report("m1", 2, 4, 6, &[]), 7.5);
    assert!(matches!(late, HeartbeatReply::IncarnationCheck(_)));
    let mut ids = scheduler.machines["m1"].attempts.keys();
    assert!(ids.any(|id| id.task.wire_name() == "run-2/0"));
}

/// Guards against mistaking late copies of heartbeats, which arrive after the leader's
/// takeover, for new ones. The copies must neither complete the fencing, nor bring back removed
/// attempts, nor end attempts that have started since.
#[test]
fn late_copies_after_a_takeover() {
    let mut scheduler = leader(&["m1"]);
    submit(&mut scheduler, 1, 0.0);
    let old_tasks = [("run-1/0", 9, Phase::Running, None)];
    scheduler.handle_heartbeat(&report("m1", 1, 4, 3, &old_tasks), 1.0);
    assert!(!scheduler.allow_placement_if_fenced());
    // The machine no longer reports the task, so a start of the task is sent.
    let HeartbeatReply::Commands(reply) =
        scheduler.handle_heartbeat(&report("m1", 1, 9, 5, &[]), 2.0)
    else {
        panic!("the heartbeat was refused");
    };
    let [Command::Start { attempt, .. }] = reply.commands[..] else {
        panic!("{:?}", reply.commands);
    };
    let running = [("run-1/0", attempt, Phase::Running, None)];
    scheduler.handle_heartbeat(&report("m1", 1, 10, 5, &running), 2.8);
    for seq in [4, 9] {
        scheduler.handle_heartbeat(&report("m1", 1, seq, 3, &old_tasks), 3.0);
        let known_attempts: Vec<u64> = scheduler.machines["m1"]
            .attempts
            .keys()
            .map(|id| id.number)
            .collect();
        assert_eq!(known_attempts, [attempt], "after a copy of heartbeat {seq}");
    }
}

/// Guards against keeping users at a controller if only this controller has lost contact with
/// the state service, and against sending users away from all controllers in a complete outage
/// of that service. After a loss of contact, a controller becomes ready only once contact has
/// lasted for some time, so that its readiness does not flap.
#[test]
fn controllers_out_of_contact_are_not_ready() {
    let peers = |with, without| {
        Some(PeerContacts {
            peers: 4,
            with_contact: with,
            without_contact: without,
        })
    };
    for (case, contacts, not_ready) in [
        ("all peers have contact", peers(4, 0), true),
        ("one peer has contact", peers(1, 3), true),
        ("no controller has contact", peers(0, 4), false),
        ("a majority answers and has no contact", peers(0, 2), false),
        ("partitioned with one peer", peers(0, 1), true),
        ("no peer answers", peers(0, 0), true),
        ("there are no peers", Some(PeerContacts::default()), false),
    ] {
        let mut readiness = Readiness::default();
        readiness.update(10.0, 9.9, 1.0, None);
        assert_eq!(
            readiness.update(12.0, 9.9, 1.0, contacts),
            not_ready.then_some(true),
            "{case}"
        );
        // The contact is regained briefly, lost again, and then regained permanently.
        for (now, contact_at, still_not_ready) in [
            (12.2, 12.2, true),
            (13.5, 12.3, true),
            (13.6, 13.6, true),
            (14.4, 14.4, true),
            (14.7, 14.7, false),
        ] {
            readiness.update(
                now,
                contact_at,
                1.0,
                contacts.filter(|_| now - contact_at > 1.0),
            );
            assert_eq!(
                readiness.is_not_ready(),
                not_ready && still_not_ready,
                "{case}, at {now} s"
            );
        }
    }
}

/// Guards against refusing all heartbeats of a machine for ever (seed 7110 of tests/simulation,
/// without machines that restart their session numbering). The first message that the leader
/// receives from the machine is a delayed heartbeat of an old session. The number of the
/// present session then seems too high, and its heartbeats are not processed. Without answers the
/// machine loses its lease and begins a new session, so that the number rises with each lease
/// and always seems too high. The machine must be accepted as soon as it shows the token of the
/// incarnation check. If no answer reaches the machine, the leader must not wait for it for more
/// than three leases: it is proven empty, or returned to the cloud if a start got no response.
#[test]
fn machine_first_known_by_a_late_copy_is_readmitted() {
    for (has_unanswered_start, answers_arrive) in
        [(false, true), (true, true), (false, false), (true, false)]
    {
        let mut scheduler = leader(&["m1"]);
        scheduler.handle_heartbeat(&report("m1", 3, 4, 5, &[]), 1.0);
        if has_unanswered_start {
            submit(&mut scheduler, 1, 1.0);
            scheduler.place_all(1.1);
            let name = "m1".into();
            let (_, start) = scheduler
                .next_direct_call(&name, 1.1)
                .expect("no direct call with the start");
            scheduler.direct_call_finished(&name, &start, CallResult::Unknown, 5.1);
        }
        let (mut unprocessed, mut accepted_at, mut settled_at) = (0, None, None);
        let mut token = 5;
        for second in 2..60u32 {
            let now = f64::from(second);
            scheduler.tick(now, now);
            // The session number is higher by five than that of the delayed heartbeat, and rises
            // by one per lease as long as no answer arrives.
            let leases = if answers_arrive {
                0
            } else {
                second / LEASE_S as u32
            };
            if second % 4 == 0 && accepted_at.is_none() {
                let (session, seq) = (8 + u64::from(leases), 100 + u64::from(second));
                let heartbeat = report("m1", session, seq, token, &[]);
                match scheduler.handle_heartbeat(&heartbeat, now) {
                    HeartbeatReply::Commands(_) => accepted_at = Some(now),
                    HeartbeatReply::IncarnationCheck(sent) if answers_arrive => {
                        token = sent;
                        unprocessed += 1;
                    }
                    _ => unprocessed += 1,
                }
            }
            let returned = scheduler.machines_presumed_dead(now) == ["m1"];
            if scheduler.machines["m1"].is_proven_empty() || returned {
                settled_at.get_or_insert(now);
            }
        }
        assert!(unprocessed > 0, "the present session was never doubted");
        let at = if answers_arrive {
            accepted_at
        } else {
            settled_at
        };
        let max_s = if answers_arrive {
            LEASE_S
        } else {
            3.0 * LEASE_S
        };
        assert!(
            at.is_some_and(|seconds| seconds < max_s),
            "unanswered start {has_unanswered_start}, answers arrive {answers_arrive}: {at:?}"
        );
    }
}
