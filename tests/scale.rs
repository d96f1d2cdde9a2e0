//! A large fleet: machine records above the size of one value, searches for capacity that are
//! not repeated, heartbeats that need no more than an answer, zones that fall silent as a
//! whole.

mod common;

use common::*;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::machine::MessageId;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::{JobSpec, Urgency};
use foxspur::protocol::worker::{Cause, Command, Phase, Report, ReportHead};
use foxspur::storage::machine_record::{changes_that_fit, plan, txn, MachineRecord};
use foxspur::storage::records::{chunk_number, machine_chunk_key, MachineInfo};

/// A job of standard urgency.
fn standard(id: &str, tasks: u32, cpus: f64) -> JobSpec {
    spec(id, "t", Urgency::Standard, tasks, cpus)
}

/// A scheduler of one team without guarantee or limit.
fn unlimited_scheduler(machines: &[&str]) -> Scheduler {
    scheduler(vec![team("t", 0.0, 0.0)], 5, machines)
}

/// Receives a heartbeat, and gives the tasks that the answer starts.
fn starts_in_answer(scheduler: &mut Scheduler, report: &Report, now: f64) -> Vec<String> {
    let HeartbeatReply::Commands(reply) = scheduler.handle_heartbeat(report, now) else {
        panic!("{} was not answered", report.machine);
    };
    let start = |c: &Command| match c {
        Command::Start { task, .. } => Some(task.clone()),
        _ => None,
    };
    reply.commands.iter().filter_map(start).collect()
}

/// Receives a heartbeat that shows no tasks, and gives the tasks that the answer starts.
fn starts(scheduler: &mut Scheduler, machine: &str, seq: u64, now: f64) -> Vec<String> {
    starts_in_answer(scheduler, &report(machine, 1, seq, 5, &[]), now)
}

fn refs(machines: &[MachineInfo]) -> Vec<&MachineInfo> {
    machines.iter().collect()
}

/// Guards against a record above one value or transaction, which made all
/// machines beyond some 550 useless, and against rewriting all of it for one.
#[test]
fn a_machine_record_in_chunks() {
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
    let n = changes_that_fit(&first, 24, 48 * 1024);
    let bytes = serde_json::to_vec(&first[..n]).unwrap().len();
    assert!(
        (1..first.len()).contains(&n) && bytes < 64 * 1024,
        "{n} {bytes}"
    );
    assert!(plan(&written, &refs(&fleet), 14_000).is_empty());
    // A write without an answer may still change its chunk: the chunk is written again, so
    // that no task is started on a machine that the late write removes from the record, and
    // machines that it added come into use.
    written.mark_uncertain(2);
    let again = plan(&written, &refs(&fleet), 14_000);
    assert_eq!(again.iter().map(|c| c.0).collect::<Vec<_>>(), [2]);
    written.set(2, again[0].1.clone(), 7);
    assert!(plan(&written, &refs(&fleet), 14_000).is_empty());
    // One machine is removed, one added, one moved: only their chunks are written.
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

/// A search for capacity that failed is repeated once capacity becomes free, also if memory
/// was lacking and not CPUs.
#[test]
fn capacity_that_becomes_free_is_found() {
    for (cpus, memory_gb) in [(1.4, 20.0), (8.0, 1.0), (0.3, 31.0)] {
        let mut scheduler = unlimited_scheduler(&["m1", "m2"]);
        // A queued task would start from its queue.
        scheduler.config.policy.queue_depth = 0;
        for id in ["m1", "m2"] {
            starts(&mut scheduler, id, 1, 0.0);
        }
        let mut job = standard("run-1", 3, cpus);
        job.memory_gb = memory_gb;
        add(&mut scheduler, job, 0.0);
        scheduler.place_all(0.1);
        let started = ["m1", "m2"].map(|id| starts(&mut scheduler, id, 2, 0.5));
        assert_eq!(started.concat().len(), 2, "one on each machine");
        scheduler.place_all(0.6);
        scheduler.place_all(0.7);
        let (id, _) = scheduler.machines["m1"].attempts.first_key_value().unwrap();
        let (task, attempt) = (id.task.wire(), id.number);
        let done = [(task.as_str(), attempt, Phase::Exited, Some(Cause::Done))];
        let started = starts_in_answer(&mut scheduler, &report("m1", 1, 3, 5, &done), 1.0);
        assert_eq!(started.len(), 1, "{cpus} {memory_gb}");
    }
}

/// A heartbeat that repeats the one before is recognized by its text; one with anything new is
/// not taken for a repetition.
#[test]
fn heartbeats_that_repeat() {
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
        let mut scheduler = unlimited_scheduler(&["m1"]);
        add(&mut scheduler, standard("run-1", 1, 1.0), 0.0);
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

/// Guards against starting a task elsewhere that runs already: the former leader accepted its
/// job and started it before the new one knew of the job, so the task was an unknown one,
/// being stopped, when the job became known.
#[test]
fn a_job_that_becomes_known_after_its_task() {
    let mut scheduler = unlimited_scheduler(&["m1", "m2"]);
    starts(&mut scheduler, "m2", 1, 0.0);
    let running = [("run-1/0", 7, Phase::Running, None)];
    scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &running), 0.1);
    add(&mut scheduler, standard("run-1", 1, 1.0), 0.2);
    // It is still there, though it was told to stop.
    scheduler.handle_heartbeat(&report("m1", 1, 2, 5, &running), 0.3);
    scheduler.place_all(0.4);
    assert!(scheduler.fencing_complete());
    assert!(starts(&mut scheduler, "m2", 2, 0.5).is_empty());
    scheduler.handle_heartbeat(&report("m1", 1, 3, 5, &[]), 0.6);
    scheduler.place_all(0.7);
    let started = [("m2", 3, 0.8), ("m1", 4, 0.9)]
        .map(|(machine, seq, now)| starts(&mut scheduler, machine, seq, now));
    assert_eq!(started.concat().len(), 1);
}

/// Guards against returning the machines of a zone that is only partitioned, and against
/// scaling out there: most of its machines fell silent together.
#[test]
fn a_zone_that_falls_silent_as_a_whole_is_partitioned() {
    for (silent, partitioned) in [(0, false), (2, false), (3, true), (4, true)] {
        let names = ["m1", "m2", "m3", "m4"];
        let mut scheduler = unlimited_scheduler(&names);
        for beat in 1..100 {
            scheduler.tick(f64::from(beat), 0.0);
        }
        for name in &names[silent..] {
            scheduler.handle_heartbeat(&report(name, 1, 1, 5, &[]), 100.0);
        }
        assert_eq!(
            !scheduler.partitioned_zones(101.0).is_empty(),
            partitioned,
            "{silent} silent"
        );
    }
}
