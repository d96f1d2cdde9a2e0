//! Proof that a machine is empty although a direct start to it has had no answer.
//!
//! Six of eight machines restart together or are cut off just after a start was sent to one of
//! them by a direct call. The workers in these tests begin their session and message numbers again
//! when they restart, and forget the highest token that they have seen.

mod common;

use common::*;
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::machine::{MachineStatus, MessageId};
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::Urgency;
use foxspur::protocol::worker::{Cause, Command, DirectCommands, Phase, Report};

const TERM: u64 = 5;
const MACHINES: usize = 8;
/// How many machines restart or are cut off together.
const RACK: usize = 6;
const TASK: &str = "run-1/0";
/// When the direct call with the start is sent.
const START_AT: f64 = 1.0;
/// When all machines have reported before that.
const REPORTED_AT: f64 = 0.5;
/// By when a machine has shown a token above that of a call that it answered: the answer to its next
/// heartbeat carries it, and the one after that shows it.
const TOKEN_SHOWN_AT: f64 = 3.25;
/// When the caller gives up waiting for its answer.
const CALL_TIMEOUT_AT: f64 = 5.0;
const STEP_S: f64 = 0.25;

/// How messages pass between the leader and the rack. Direct calls to the rack are always held up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Link {
    Up,
    /// Heartbeats arrive, answers do not.
    AnswersLost,
    Down,
}

/// What happens to the rack after the start was sent. Times are in seconds.
#[derive(Clone, Copy, Debug)]
struct Events {
    /// The session of all machines when the start is sent.
    session: u64,
    /// The call was executed and answered, so that what arrives late is a copy of it.
    answered: bool,
    restarts_at: Option<f64>,
    /// Whether restarted machines keep the highest token that they have seen, as the protocol asks.
    keeps_token: bool,
    link: Link,
    /// Until when the link is up at first.
    link_fails_at: f64,
    /// When the link is up again.
    link_up_at: f64,
    /// When the call that was held up, or the copy, arrives at the machine.
    late_call_at: Option<f64>,
    /// The cloud returns the machines that the leader wants to return.
    cloud_up: bool,
}

const REVIEWED: Events = Events {
    session: 2,
    answered: false,
    restarts_at: Some(1.8),
    keeps_token: false,
    link: Link::Up,
    link_fails_at: START_AT,
    link_up_at: f64::MAX,
    late_call_at: Some(START_AT + 15.6),
    cloud_up: true,
};

struct Worker {
    id: String,
    session: u64,
    seq: u64,
    token: u64,
    lease_renewed_at: f64,
    attempts: Vec<u64>,
    returned: bool,
}

impl Worker {
    fn restart(&mut self, keeps_token: bool, now: f64) {
        (self.session, self.seq) = (1, 0);
        if !keeps_token {
            self.token = 0;
        }
        self.lease_renewed_at = now;
        self.attempts.clear();
    }

    fn end_lease_if_due(&mut self, now: f64) {
        if now - self.lease_renewed_at > LEASE_S {
            self.session += 1;
            self.lease_renewed_at = now;
            self.attempts.clear();
        }
    }

    fn report(&mut self) -> Report {
        self.seq += 1;
        let attempts = self.attempts.iter();
        let tasks: Vec<_> = attempts
            .map(|attempt| (TASK, *attempt, Phase::Running, None))
            .collect();
        report(&self.id, self.session, self.seq, self.token, &tasks)
    }

    fn execute(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { attempt, .. } => self.attempts.push(*attempt),
                Command::Stop { attempt, .. } => self.attempts.retain(|known| known != attempt),
                Command::Forget { .. } => {}
            }
        }
    }

    fn receive_answer(&mut self, answer: &HeartbeatReply, now: f64) {
        let (token, commands) = match answer {
            HeartbeatReply::Commands(reply) => (reply.token, reply.commands.as_slice()),
            HeartbeatReply::IncarnationCheck(token) => (*token, [].as_slice()),
            HeartbeatReply::Refuse | HeartbeatReply::Superseded => return,
        };
        if token >= self.token {
            self.token = token;
            self.lease_renewed_at = now;
            self.execute(commands);
        }
    }

    fn receive_call(&mut self, call: &DirectCommands) -> CallResult {
        let accepted = call.token >= self.token && call.session == self.session;
        self.token = self.token.max(call.token);
        if !accepted {
            return CallResult::Rejected(self.report());
        }
        self.execute(&call.commands);
        CallResult::Executed(self.report())
    }
}

struct Cluster {
    scheduler: Scheduler,
    workers: Vec<Worker>,
    /// The call with the start, and the index of the machine to which it was sent.
    start: DirectCommands,
    target: usize,
    events: Events,
}

impl Cluster {
    /// All machines have reported, and the start of the job's only task was sent to one of them.
    fn new(events: Events) -> Cluster {
        let ids: Vec<String> = (0..MACHINES).map(|n| format!("m{n}")).collect();
        let names: Vec<&str> = ids.iter().map(String::as_str).collect();
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], TERM, &names);
        let mut workers: Vec<Worker> = ids
            .into_iter()
            .map(|id| Worker {
                id,
                session: events.session,
                seq: 40,
                token: TERM,
                lease_renewed_at: REPORTED_AT,
                attempts: Vec::new(),
                returned: false,
            })
            .collect();
        for worker in &mut workers {
            scheduler.handle_heartbeat(&worker.report(), REPORTED_AT);
        }
        let job = spec("run-1", "t", Urgency::Standard, 1, 1.0);
        add(&mut scheduler, job, START_AT);
        scheduler.place_all(START_AT);
        let has_start = |w: &Worker| !scheduler.machines[w.id.as_str()].attempts.is_empty();
        let target = workers.iter().position(has_start).expect("a placed task");
        workers.swap(0, target);
        let name = workers[0].id.as_str().into();
        let (_, start) = scheduler
            .next_direct_call(&name, START_AT)
            .expect("a direct call with the start");
        if events.answered {
            let result = workers[0].receive_call(&start);
            scheduler.direct_call_finished(&name, &start, result, START_AT);
        }
        Cluster {
            scheduler,
            workers,
            start,
            target: 0,
            events,
        }
    }

    fn link(&self, index: usize, now: f64) -> Link {
        let fails = now >= self.events.link_fails_at && now < self.events.link_up_at;
        if index >= RACK || !fails {
            Link::Up
        } else {
            self.events.link
        }
    }

    fn machines_with_task(&self) -> usize {
        let with_task = |worker: &&Worker| !worker.returned && !worker.attempts.is_empty();
        self.workers.iter().filter(with_task).count()
    }

    fn step(&mut self, now: f64) {
        let due = |at: f64| at <= now && now < at + STEP_S;
        for index in 0..MACHINES {
            if self.workers[index].returned {
                continue;
            }
            if index < RACK && self.events.restarts_at.is_some_and(due) {
                self.workers[index].restart(self.events.keeps_token, now);
            }
            self.workers[index].end_lease_if_due(now);
            if now.fract() == 0.0 {
                self.exchange_heartbeat(index, now);
            }
        }
        if self.events.late_call_at.is_some_and(due) && !self.workers[self.target].returned {
            self.workers[self.target].receive_call(&self.start);
        }
        if due(CALL_TIMEOUT_AT) && !self.events.answered {
            let name = self.workers[self.target].id.as_str().into();
            self.scheduler
                .direct_call_finished(&name, &self.start, CallResult::Unknown, now);
        }
        self.scheduler.tick(now, now);
        self.scheduler.place_all(now);
        self.send_direct_calls(now);
        if self.events.cloud_up {
            self.return_machines(now);
        }
    }

    fn exchange_heartbeat(&mut self, index: usize, now: f64) {
        let link = self.link(index, now);
        if link == Link::Down {
            return;
        }
        let heartbeat = self.workers[index].report();
        let answer = self.scheduler.handle_heartbeat(&heartbeat, now);
        if link == Link::Up {
            self.workers[index].receive_answer(&answer, now);
        }
    }

    fn send_direct_calls(&mut self, now: f64) {
        for name in std::mem::take(&mut self.scheduler.outbox) {
            let Some((_, call)) = self.scheduler.next_direct_call(&name, now) else {
                continue;
            };
            let index = self.workers.iter().position(|w| *w.id == *name);
            let result = match index {
                Some(index) if index >= RACK => self.workers[index].receive_call(&call),
                _ => CallResult::Unknown,
            };
            self.scheduler
                .direct_call_finished(&name, &call, result, now);
        }
    }

    fn return_machines(&mut self, now: f64) {
        for id in self.scheduler.machines_presumed_dead(now) {
            self.scheduler.confirm_machine_returned(&id);
            for worker in self.workers.iter_mut().filter(|w| w.id == id) {
                worker.returned = true;
            }
        }
    }

    /// Runs until the time; returns when the task first ran on a machine outside the rack. The
    /// task must never be on two machines.
    fn run_until(&mut self, until: f64) -> Option<f64> {
        let mut elsewhere_at = None;
        let mut now = START_AT;
        while now < until {
            now += STEP_S;
            self.step(now);
            assert!(
                self.machines_with_task() <= 1,
                "ran_twice at {now} s: {:?}",
                self.events
            );
            if self.workers[RACK..].iter().any(|w| !w.attempts.is_empty()) {
                elsewhere_at.get_or_insert(now);
            }
        }
        elsewhere_at
    }
}

/// Guards against starting a task on a second machine because the lease of the first one has ended,
/// although the start was sent to it and has had no answer (review/1): the first machine has
/// restarted, begins its sessions again, and executes the start when it reaches the session to which
/// it was addressed. The task must run elsewhere within the given number of leases all the same.
#[test]
fn a_start_without_an_answer_outlives_the_lease() {
    let down = Events {
        link: Link::Down,
        ..REVIEWED
    };
    let answers_lost = Events {
        link: Link::AnswersLost,
        ..REVIEWED
    };
    let copy = Events {
        answered: true,
        restarts_at: Some(3.0),
        ..answers_lost
    };
    let answered_and_cut_off = Events {
        answered: true,
        ..down
    };
    let answered_and_token_shown = Events {
        link_fails_at: TOKEN_SHOWN_AT,
        restarts_at: Some(TOKEN_SHOWN_AT),
        keeps_token: true,
        ..answered_and_cut_off
    };
    let cases: [(&str, Events, Option<f64>); 11] = [
        ("restarts and is heard", REVIEWED, Some(1.0)),
        ("restarts, answers do not arrive", answers_lost, Some(3.25)),
        ("restarts and is cut off", down, Some(2.5)),
        (
            "restarts late in its first session and is cut off",
            Events {
                session: 1,
                restarts_at: Some(9.0),
                late_call_at: Some(14.0),
                ..down
            },
            Some(2.5),
        ),
        (
            "does not restart, is cut off",
            Events {
                restarts_at: None,
                ..down
            },
            Some(2.5),
        ),
        (
            "does not restart, is heard again in the next session",
            Events {
                restarts_at: None,
                link_up_at: 15.0,
                cloud_up: false,
                ..down
            },
            Some(2.0),
        ),
        ("a copy arrives after a restart", copy, Some(3.25)),
        // The machine has not shown a higher token, so a copy of the call may be executed.
        (
            "was answered and is cut off",
            answered_and_cut_off,
            Some(2.5),
        ),
        (
            "was answered, is cut off and does not restart",
            Events {
                restarts_at: None,
                late_call_at: None,
                ..answered_and_cut_off
            },
            Some(2.5),
        ),
        (
            "was answered, showed a higher token, and is cut off",
            answered_and_token_shown,
            Some(1.25 + (TOKEN_SHOWN_AT - START_AT) / LEASE_S),
        ),
        (
            "is cut off from the leader, and the cloud answers nothing",
            Events {
                cloud_up: false,
                ..down
            },
            None,
        ),
    ];
    for (case, events, max_leases) in cases {
        let elsewhere_at = Cluster::new(events).run_until(80.0);
        let leases = elsewhere_at.map(|at| (at - START_AT) / LEASE_S);
        match max_leases {
            Some(max) => assert!(leases.is_some_and(|n| n <= max), "{case}: {leases:?}"),
            None => assert_eq!(leases, None, "{case}"),
        }
    }
}

/// Guards against refusing a restarted machine until its session number reaches the known one, which
/// takes as many leases as the machine had sessions. It must be usable again within a lease of its
/// first heartbeat that gets through.
#[test]
fn a_restarted_machine_is_used_again_within_a_lease() {
    for (answered, link, link_up_at) in [
        (false, Link::Up, 0.0),
        (false, Link::Down, 20.0),
        (false, Link::AnswersLost, 20.0),
        (true, Link::Up, 0.0),
        (true, Link::Down, 20.0),
        (true, Link::AnswersLost, 20.0),
    ] {
        let mut cluster = Cluster::new(Events {
            session: 57,
            answered,
            link,
            link_up_at,
            late_call_at: None,
            cloud_up: false,
            ..REVIEWED
        });
        let until = link_up_at.max(START_AT) + LEASE_S;
        cluster.run_until(until);
        for worker in &cluster.workers[..RACK] {
            let machine = &cluster.scheduler.machines[worker.id.as_str()];
            assert!(
                machine.status == MachineStatus::Up && machine.incarnation_check.is_none(),
                "answered {answered}, {link:?}: {machine:?}"
            );
        }
    }
}

/// Guards against a takeover that does not know of a machine on which a task may still start: the
/// machine's lease expired, and the machine was taken out of the machine record.
#[test]
fn a_machine_with_an_open_start_stays_in_the_machine_record() {
    for (answered, link_fails_at, is_empty) in [
        (false, START_AT, false),
        (true, START_AT, false),
        (true, TOKEN_SHOWN_AT, true),
    ] {
        let mut cluster = Cluster::new(Events {
            answered,
            link: Link::Down,
            link_fails_at,
            cloud_up: false,
            late_call_at: None,
            restarts_at: Some(TOKEN_SHOWN_AT),
            keeps_token: true,
            ..REVIEWED
        });
        cluster.run_until(link_fails_at + 2.0 * LEASE_S);
        let target = &cluster.workers[cluster.target].id;
        let machine = &cluster.scheduler.machines[target.as_str()];
        assert_eq!(machine.status, MachineStatus::Expired);
        assert_eq!(machine.is_proven_empty(), is_empty);
        let record = cluster.scheduler.wanted_machine_record();
        assert_eq!(record.iter().any(|info| info.id == *target), !is_empty);
    }
}

/// Guards against a late call that is executed after its machine passed an incarnation check: the
/// check's token must be above that of every call sent before.
#[test]
fn an_incarnation_check_makes_earlier_calls_impossible() {
    let mut cluster = Cluster::new(REVIEWED);
    cluster.run_until(START_AT + LEASE_S);
    let target = &mut cluster.workers[0];
    assert!(target.token > cluster.start.token);
    target.session = cluster.start.session;
    let late = target.receive_call(&cluster.start);
    assert!(matches!(late, CallResult::Rejected(_)));
}

/// Guards against losing track of a start whose call ends after the lease of its machine expired. An
/// executed start may run in a session that is not known. A rejected one was not executed, but a copy
/// of the call may be, in a session of the same number after a restart, unless the machine rejected
/// the call because it has seen a higher token.
#[test]
fn a_call_that_ends_after_the_lease_settles_its_start() {
    for (executed, token, counts_as_running) in [
        (false, TERM, true),
        (false, TERM + 2, false),
        (true, TERM, true),
    ] {
        let mut cluster = Cluster::new(Events {
            link: Link::Down,
            cloud_up: false,
            late_call_at: None,
            ..REVIEWED
        });
        let until = START_AT + 1.5 * LEASE_S;
        cluster.run_until(until);
        let target = cluster.workers[0].id.clone();
        let name = target.as_str().into();
        let running = [(TASK, 1, Phase::Running, None)];
        let result = match executed {
            true => CallResult::Executed(report(&target, 2, 90, token, &running)),
            false => CallResult::Rejected(report(&target, 2, 90, token, &[])),
        };
        let machine = cluster
            .scheduler
            .machines
            .get_mut(&name)
            .expect("a machine");
        for attempt in machine.attempts.values_mut() {
            attempt.call_in_flight = true;
            attempt.unresolved_call = None;
        }
        cluster
            .scheduler
            .direct_call_finished(&name, &cluster.start, result, until);
        let machine = &cluster.scheduler.machines[target.as_str()];
        assert_eq!(
            !machine.attempts.is_empty(),
            counts_as_running,
            "executed {executed}, token {token}"
        );
    }
}

/// Guards against starting a task elsewhere as soon as its attempt has exited, while a direct call
/// with its start has no answer: after a restart, the machine would start the attempt anew (seed 474
/// of tests/simulation). The task may start again once the machine has seen a higher token.
#[test]
fn an_exited_attempt_with_an_unanswered_start_counts_until_a_higher_token() {
    let mut cluster = Cluster::new(Events {
        restarts_at: None,
        late_call_at: None,
        ..REVIEWED
    });
    cluster.run_until(CALL_TIMEOUT_AT);
    let target = cluster.workers[0].id.clone();
    let [Command::Start { attempt, .. }] = cluster.start.commands[..] else {
        panic!("{:?}", cluster.start);
    };
    let mut reports = 500;
    let mut is_placed_after = |token, phase, cause| {
        reports += 1;
        let tasks = [(TASK, attempt, phase, cause)];
        let shown = report(&target, 2, reports, token, &tasks);
        cluster.scheduler.handle_heartbeat(&shown, CALL_TIMEOUT_AT);
        let job = &cluster.scheduler.jobs["run-1"];
        job.placed.values().any(|placed| placed.attempt == attempt)
    };
    assert!(is_placed_after(TERM, Phase::Running, None));
    let error = Some(Cause::Error);
    assert!(is_placed_after(TERM, Phase::Exited, error));
    assert!(!is_placed_after(TERM + 1, Phase::Exited, error));
}

/// Guards against starting a task elsewhere that had exited while its start was open, and that a late copy
/// has started again (seed 965 of tests/simulation): a message shows the task running and a higher token.
#[test]
fn an_exited_attempt_that_runs_again_counts_as_running() {
    let mut cluster = Cluster::new(Events {
        answered: true,
        ..REVIEWED
    });
    let target = cluster.workers[0].id.clone();
    let attempt = cluster.workers[0].attempts[0];
    let messages = [
        (TERM, Phase::Exited, Some(Cause::Error)),
        (TERM + 1, Phase::Running, None),
        (TERM + 1, Phase::Running, None),
    ];
    for (seq, (token, phase, cause)) in (90..).zip(messages) {
        let shown = report(&target, 2, seq, token, &[(TASK, attempt, phase, cause)]);
        cluster.scheduler.handle_heartbeat(&shown, START_AT + 0.5);
        let job = &cluster.scheduler.jobs["run-1"];
        let placed = job.placed.values().any(|placed| placed.attempt == attempt);
        assert!(placed, "sequence number {seq}");
    }
}

/// Guards against forgetting a start that was executed while an incarnation check was open (seed 1134 of
/// tests/simulation): a late copy of an old heartbeat begins the check while the call is in flight, so
/// the call's answer cannot be used, and the task must not start elsewhere.
#[test]
fn a_start_that_was_executed_during_a_check_counts_as_running() {
    let mut cluster = Cluster::new(REVIEWED);
    let name = cluster.workers[0].id.as_str().into();
    let copy = report(&cluster.workers[0].id, 9, 1, TERM - 1, &[]);
    cluster.scheduler.handle_heartbeat(&copy, START_AT);
    let executed = cluster.workers[0].receive_call(&cluster.start);
    cluster
        .scheduler
        .direct_call_finished(&name, &cluster.start, executed, START_AT);
    cluster.scheduler.finish_job("run-1");
    cluster.scheduler.remove_unstarted(&name);
    assert_eq!(cluster.scheduler.machines[&name].attempts.len(), 1);
}

/// Guards against removing an attempt that is to be stopped because its direct start was rejected: the
/// machine was in a later session, and after a restart it may reach the session of the call again. The
/// attempt must stay until the machine has shown a higher token.
#[test]
fn a_rejected_start_is_open_until_a_higher_token() {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], TERM, &["m0"]);
    scheduler.handle_heartbeat(&report("m0", 2, 1, TERM, &[]), REPORTED_AT);
    add(
        &mut scheduler,
        spec("run-1", "t", Urgency::Standard, 1, 1.0),
        START_AT,
    );
    scheduler.place_all(START_AT);
    let name = "m0".into();
    let (_, start) = scheduler
        .next_direct_call(&name, START_AT)
        .expect("a direct call with the start");
    scheduler.finish_job("run-1");
    let rejected = CallResult::Rejected(report("m0", 3, 1, TERM, &[]));
    scheduler.direct_call_finished(&name, &start, rejected, START_AT);
    assert_eq!(scheduler.machines[&name].attempts.len(), 1);
    let answer = scheduler.handle_heartbeat(&report("m0", 3, 2, TERM, &[]), START_AT + 1.0);
    assert!(matches!(answer, HeartbeatReply::Commands(reply) if reply.token == TERM + 1));
    scheduler.handle_heartbeat(&report("m0", 3, 3, TERM + 1, &[]), START_AT + 2.0);
    assert!(scheduler.machines[&name].attempts.is_empty());
}

/// Guards against taking the end of the leases for proof that a machine is empty which showed a task of
/// a former leader and never our term: a late copy of the former leader's call can start the task again.
#[test]
fn a_former_leaders_attempt_is_open_until_the_machine_shows_our_term() {
    for (token_shown, is_open) in [(TERM - 2, true), (TERM, false)] {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], TERM, &["m0"]);
        add(
            &mut scheduler,
            spec("run-1", "t", Urgency::Standard, 1, 1.0),
            0.0,
        );
        let running = [(TASK, 9, Phase::Running, None)];
        scheduler.handle_heartbeat(&report("m0", 2, 1, TERM - 2, &running), REPORTED_AT);
        scheduler.handle_heartbeat(&report("m0", 2, 2, token_shown, &running), START_AT);
        let end = START_AT + 1.5 * LEASE_S;
        for second in 1..=end as u32 {
            scheduler.tick(f64::from(second), f64::from(second));
        }
        let machine = &scheduler.machines["m0"];
        assert_eq!(machine.status, MachineStatus::Expired);
        assert_eq!(!machine.attempts.is_empty(), is_open, "token {token_shown}");
        scheduler.tick(end + LEASE_S, end + LEASE_S);
        let returned = scheduler.machines_presumed_dead(end + LEASE_S);
        assert_eq!(returned.contains(&"m0".to_string()), is_open);
    }
}

/// Guards against answering the repeated heartbeats of a machine without raising its token, because the
/// first heartbeat after the start arrived while another call was in flight.
#[test]
fn a_machine_with_an_open_start_gets_a_higher_token_with_its_next_answer() {
    let mut cluster = Cluster::new(Events {
        answered: true,
        ..REVIEWED
    });
    let target = cluster.workers[0].id.clone();
    let attempt = cluster.workers[0].attempts[0];
    let running = [(TASK, attempt, Phase::Running, None)];
    let mut exchange = |seq, token, call_in_flight| {
        let scheduler = &mut cluster.scheduler;
        let machine = scheduler.machines.get_mut(target.as_str()).expect("m0");
        machine.call_in_flight = call_in_flight;
        let heartbeat = report(&target, 2, seq, token, &running);
        let answer = scheduler.handle_heartbeat(&heartbeat, START_AT + 0.5);
        let HeartbeatReply::Commands(reply) = answer else {
            panic!("{answer:?}");
        };
        scheduler.store_task_list(&target, MessageId::of(&heartbeat), "[]");
        let machine = &scheduler.machines[target.as_str()];
        (reply.token, machine.unchanged_task_list.is_some())
    };
    assert_eq!(exchange(90, TERM, true), (TERM, false));
    assert_eq!(exchange(91, TERM, false), (TERM + 1, false));
    assert_eq!(exchange(92, TERM + 1, false), (TERM + 1, true));
}

/// Guards against removing the attempts of a machine because of a heartbeat that it sent before its lease
/// ended, in a session of the present one's number and with a higher sequence number (seed 6663 of
/// tests/simulation): the machine restarted while it was not heard, and its sessions reached that number
/// again.
#[test]
fn a_late_heartbeat_from_before_the_lease_ended_removes_no_attempt() {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], TERM, &["m0"]);
    scheduler.handle_heartbeat(&report("m0", 1, 37, TERM, &[]), REPORTED_AT);
    let returned_at = REPORTED_AT + 2.0 * LEASE_S;
    scheduler.tick(returned_at, returned_at);
    assert_eq!(scheduler.machines["m0"].status, MachineStatus::Expired);
    let job = spec("run-1", "t", Urgency::Standard, 1, 1.0);
    add(&mut scheduler, job, returned_at);
    let mut worker = Worker {
        id: "m0".into(),
        session: 2,
        seq: 3,
        token: TERM,
        lease_renewed_at: returned_at,
        attempts: Vec::new(),
        returned: false,
    };
    for heartbeat in 0..4 {
        let now = returned_at + f64::from(heartbeat);
        let answer = scheduler.handle_heartbeat(&worker.report(), now);
        worker.receive_answer(&answer, now);
        let record: Vec<_> = scheduler
            .wanted_machine_record()
            .into_iter()
            .cloned()
            .collect();
        scheduler.machine_record_written(&record);
        scheduler.place_all(now);
    }
    let [running] = worker.attempts[..] else {
        panic!("{:?}", worker.attempts);
    };
    let late = report("m0", 2, 42, TERM, &[]);
    scheduler.handle_heartbeat(&late, returned_at + 4.0);
    let known = scheduler.machines["m0"].attempts.keys();
    assert_eq!(known.map(|id| id.number).collect::<Vec<_>>(), [running]);
}
