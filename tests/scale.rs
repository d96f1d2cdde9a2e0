//! What a large fleet asks of the scheduler and its records: lists above one value,
//! room that is not looked for twice, reports that need no more than an answer,
//! zones that fall silent as a whole.

mod common;

use common::*;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::machine::MessageId;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::Urgency;
use foxspur::protocol::worker::{Cause, Command, Phase, ReportHead};
use foxspur::storage::chunks::{fitting, plan, txn, MachineRecord};
use foxspur::storage::records::{chunk_number, machine_chunk_key, MachineInfo};

fn starts(scheduler: &mut Scheduler, id: &str, seq: u64, now: f64) -> Vec<String> {
    let HeartbeatReply::Commands(reply) =
        scheduler.handle_heartbeat(&report(id, 1, seq, 5, &[]), now)
    else {
        panic!("{id} was not answered");
    };
    let start = |c: &Command| match c {
        Command::Start { task, .. } => Some(task.clone()),
        _ => None,
    };
    reply.commands.iter().filter_map(start).collect()
}

fn refs(machines: &[MachineInfo]) -> Vec<&MachineInfo> {
    machines.iter().collect()
}

/// Guards against a record above one value or transaction, which made all
/// machines beyond some 550 useless, and against rewriting all of it for one.
#[test]
fn a_machine_list_in_chunks() {
    let fleet: Vec<_> = (0..6000)
        .map(|i| machine(&format!("m-{i:06}"), "a", false))
        .collect();
    let first = plan(&MachineRecord::default(), &refs(&fleet), 14_000);
    assert!(first.len() > 5, "{}", first.len());
    let mut written = MachineRecord::default();
    for (at, chunk) in &first {
        assert!(serde_json::to_vec(chunk).unwrap().len() < 16 * 1024);
        written.set(*at, chunk.clone(), 7);
    }
    assert_eq!(written.machines().count(), fleet.len());
    let n = fitting(&first, 24, 48 * 1024);
    let bytes = serde_json::to_vec(&first[..n]).unwrap().len();
    assert!(
        (1..first.len()).contains(&n) && bytes < 64 * 1024,
        "{n} {bytes}"
    );
    assert!(plan(&written, &refs(&fleet), 14_000).is_empty());
    // A write without an answer may still change its chunk: it is written again,
    // so that nothing is started on a machine that the late one takes off the
    // list, and those that it added come into use.
    written.unsure(2);
    let again = plan(&written, &refs(&fleet), 14_000);
    assert_eq!(again.iter().map(|c| c.0).collect::<Vec<_>>(), [2]);
    written.set(2, again[0].1.clone(), 7);
    assert!(plan(&written, &refs(&fleet), 14_000).is_empty());
    // One goes, one comes, one moves: the chunks of these alone.
    let mut wanted = fleet.clone();
    wanted.remove(700);
    wanted.push(machine("m-new", "b", true));
    wanted[3].addr = "10.0.0.1:9".into();
    let changes = plan(&written, &refs(&wanted), 14_000);
    assert!(changes.len() <= 3, "{}", changes.len());
    // Each on condition that it is the chunk we know: a write that was given up
    // and comes late must not put an old list over a newer one.
    let write = txn(&written, &changes, 9);
    for (at, _) in &changes {
        let version = if first.iter().any(|(a, _)| a == at) {
            7
        } else {
            0
        };
        let cond = write.conds.iter().find(|c| c.key == machine_chunk_key(*at));
        assert_eq!(cond.map(|c| c.version), Some(version), "chunk {at}");
    }
    let mut after = written;
    for (at, chunk) in changes {
        after.set(at, chunk, 10);
    }
    let mut names: Vec<_> = after.machines().cloned().collect();
    names.sort_by(|a, b| a.id.cmp(&b.id));
    wanted.sort_by(|a, b| a.id.cmp(&b.id));
    assert_eq!(names, wanted);
    for (key, at) in [
        (machine_chunk_key(17), Some(17)),
        ("fx/mach/0/x".into(), None),
    ] {
        assert_eq!(chunk_number(&key), at, "{key}");
    }
}

/// What was found to have no room is looked for again once room comes free,
/// also room that lacked in memory and not in CPUs.
#[test]
fn room_that_comes_free_is_found() {
    for (cpus, memory_gb) in [(1.4, 20.0), (8.0, 1.0), (0.3, 31.0)] {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1", "m2"]);
        // A task that waits in a queue would start from there.
        scheduler.config.policy.queue_depth = 0;
        for id in ["m1", "m2"] {
            starts(&mut scheduler, id, 1, 0.0);
        }
        let mut job = spec("run-1", "t", Urgency::Standard, 3, cpus);
        job.memory_gb = memory_gb;
        add(&mut scheduler, job, 0.0);
        scheduler.place_all(0.1);
        let on = ["m1", "m2"].map(|id| starts(&mut scheduler, id, 2, 0.5));
        assert_eq!(on.concat().len(), 2, "one on each machine");
        scheduler.place_all(0.6);
        scheduler.place_all(0.7);
        let (id, _) = scheduler.machines["m1"].attempts.first_key_value().unwrap();
        let (task, attempt) = (id.task.wire(), id.number);
        let done = [(task.as_str(), attempt, Phase::Exited, Some(Cause::Done))];
        let HeartbeatReply::Commands(reply) =
            scheduler.handle_heartbeat(&report("m1", 1, 3, 5, &done), 1.0)
        else {
            panic!();
        };
        let again = |c: &&Command| matches!(c, Command::Start { .. });
        assert_eq!(
            reply.commands.iter().filter(again).count(),
            1,
            "{cpus} {memory_gb}"
        );
    }
}

/// A report that repeats the one before is known by its text; anything that
/// must be looked at is not taken for a repetition.
#[test]
fn reports_that_repeat() {
    let tasks = r#"[{"shard":"run-1/0","try":7,"status":"running"}]"#;
    let other = r#"[{"shard":"run-1/0","try":7,"status":"saving"}]"#;
    let head = |session: u64, seq: u64, epoch: u64, warning: &str, tasks: &str| {
        format!(
            r#"{{"host":"m1","endpoint":"127.0.0.1:1","flavor":"small","site":"a","standby":false,
            "tenure":{session},"serial":{seq},"epoch":{epoch},"warning_s":{warning},"shards":{tasks}}}"#
        )
    };
    for (text, stopped, repeats) in [
        (head(1, 3, 5, "null", tasks), false, true),
        (head(1, 3, 5, "null", other), false, false),
        (head(2, 3, 5, "null", tasks), false, false),
        (head(1, 2, 5, "null", tasks), false, false),
        (head(1, 3, 6, "null", tasks), false, false),
        (head(1, 3, 5, "20.0", tasks), false, false),
        // There is something to tell the worker.
        (head(1, 3, 5, "null", tasks), true, false),
    ] {
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1"]);
        add(
            &mut scheduler,
            spec("run-1", "t", Urgency::Standard, 1, 1.0),
            0.0,
        );
        let running = [("run-1/0", 7, Phase::Running, None)];
        scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &running), 0.5);
        scheduler.handle_heartbeat(&report("m1", 1, 2, 5, &running), 1.0);
        scheduler.remember_heartbeat("m1", MessageId { session: 1, seq: 2 }, tasks);
        if stopped {
            scheduler.finish_job("run-1");
        }
        let head: ReportHead = serde_json::from_str(&text).unwrap();
        assert_eq!(
            scheduler.handle_repeated_heartbeat(&head, 2.0).is_some(),
            repeats,
            "{text} {stopped}"
        );
        let answered = scheduler.machines["m1"].answered_at;
        assert_eq!(answered, Some(if repeats { 2.0 } else { 1.0 }));
    }
}

/// Guards against starting a task elsewhere that runs already: the former
/// owner took its job in and started it before we knew of the job, so the task
/// was a stranger, being stopped, when the job became known.
#[test]
fn a_job_that_becomes_known_after_its_task() {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1", "m2"]);
    starts(&mut scheduler, "m2", 1, 0.0);
    let running = [("run-1/0", 7, Phase::Running, None)];
    scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &running), 0.1);
    add(
        &mut scheduler,
        spec("run-1", "t", Urgency::Standard, 1, 1.0),
        0.2,
    );
    // It is still there, though it was told to stop.
    scheduler.handle_heartbeat(&report("m1", 1, 2, 5, &running), 0.3);
    scheduler.place_all(0.4);
    assert!(scheduler.fencing_complete());
    assert!(starts(&mut scheduler, "m2", 2, 0.5).is_empty());
    scheduler.handle_heartbeat(&report("m1", 1, 3, 5, &[]), 0.6);
    scheduler.place_all(0.7);
    let on =
        starts(&mut scheduler, "m2", 3, 0.8).len() + starts(&mut scheduler, "m1", 4, 0.9).len();
    assert_eq!(on, 1);
}

/// Guards against returning the machines of a zone that is only cut off, and
/// against renting there: most of its machines fell silent together.
#[test]
fn a_zone_that_falls_silent_as_a_whole_is_cut_off() {
    for (silent, cut) in [(0, false), (2, false), (3, true), (4, true)] {
        let names = ["m1", "m2", "m3", "m4"];
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &names);
        for beat in 1..100 {
            scheduler.tick(f64::from(beat), 0.0);
        }
        for name in &names[silent..] {
            scheduler.handle_heartbeat(&report(name, 1, 1, 5, &[]), 100.0);
        }
        assert_eq!(
            !scheduler.partitioned_zones(101.0).is_empty(),
            cut,
            "{silent} silent"
        );
    }
}
