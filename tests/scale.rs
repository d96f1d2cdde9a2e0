//! Large fleets: machine records larger than one value of the state service, failed searches
//! for capacity, heartbeats that repeat the previous heartbeat, and zones whose machines fall
//! silent together.

mod common;

use common::*;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::machine::MessageId;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::{JobSpec, Urgency};
use foxspur::protocol::worker::{Cause, Command, Phase, Report, ReportHead};
use foxspur::storage::machine_record::{changes_that_fit, plan, write_txn, MachineRecord};
use foxspur::storage::records::{chunk_number, machine_chunk_key, MachineInfo};

/// A job of the urgency `Standard`.
fn standard_job(id: &str, tasks: u32, cpus: f64) -> JobSpec {
    spec(id, "t", Urgency::Standard, tasks, cpus)
}

/// A scheduler with one team that has no guarantee and no limit.
fn unlimited_scheduler(machines: &[&str]) -> Scheduler {
    scheduler(vec![team("t", 0.0, 0.0)], 5, machines)
}

/// Handles a heartbeat and returns the tasks that the reply starts.
fn starts_in_reply(scheduler: &mut Scheduler, report: &Report, now: f64) -> Vec<String> {
    let HeartbeatReply::Commands(reply) = scheduler.handle_heartbeat(report, now) else {
        panic!("the heartbeat of {} was refused", report.machine);
    };
    let started_task = |command: &Command| match command {
        Command::Start { task, .. } => Some(task.clone()),
        _ => None,
    };
    reply.commands.iter().filter_map(started_task).collect()
}

/// Handles a heartbeat that shows no tasks and returns the tasks that the reply starts.
fn starts_in_reply_to_empty_heartbeat(
    scheduler: &mut Scheduler,
    machine: &str,
    seq: u64,
    now: f64,
) -> Vec<String> {
    starts_in_reply(scheduler, &report(machine, 1, seq, 5, &[]), now)
}

fn references(machines: &[MachineInfo]) -> Vec<&MachineInfo> {
    machines.iter().collect()
}

/// Guards against writing a machine record that is larger than the limits on one value and on
/// one transaction of the state service, which made all machines beyond about 550 unusable.
/// Also guards against rewriting the whole record when one machine changes.
#[test]
fn a_machine_record_is_written_in_chunks() {
    let fleet: Vec<_> = (0..6000)
        .map(|number| machine(&format!("m-{number:06}"), "a", false))
        .collect();
    let first_changes = plan(&MachineRecord::default(), &references(&fleet), 14_000);
    assert!(
        first_changes.len() > 5,
        "{} chunks for the whole fleet",
        first_changes.len()
    );
    let mut written = MachineRecord::default();
    for (number, chunk) in &first_changes {
        assert!(serde_json::to_vec(chunk).unwrap().len() < 16 * 1024);
        written.record_chunk(*number, chunk.clone(), 7);
    }
    assert_eq!(written.machines().count(), fleet.len());
    let fitting = changes_that_fit(&first_changes, 24, 48 * 1024);
    let bytes = serde_json::to_vec(&first_changes[..fitting]).unwrap().len();
    assert!(
        (1..first_changes.len()).contains(&fitting) && bytes < 64 * 1024,
        "{fitting} chunks, {bytes} bytes"
    );
    assert!(plan(&written, &references(&fleet), 14_000).is_empty());
    // A write that got no response may still change its chunk, so the chunk is written again.
    // Otherwise a task could start on a machine that a late write removes from the record, and
    // machines that a late write adds to the record would not come into use.
    written.mark_uncertain(2);
    let repeated = plan(&written, &references(&fleet), 14_000);
    assert_eq!(
        repeated
            .iter()
            .map(|(number, _)| *number)
            .collect::<Vec<_>>(),
        [2]
    );
    written.record_chunk(2, repeated[0].1.clone(), 7);
    assert!(plan(&written, &references(&fleet), 14_000).is_empty());
    // One machine is removed, one is added, and the address of one changes: only the chunks
    // of these machines are written.
    let mut wanted = fleet.clone();
    wanted.remove(700);
    wanted.push(machine("m-new", "b", true));
    wanted[3].addr = "10.0.0.1:9".into();
    let changes = plan(&written, &references(&wanted), 14_000);
    assert!(
        changes.len() <= 3,
        "{} chunks for three changed machines",
        changes.len()
    );
    // Each chunk is written on the condition that its stored version is still the known one.
    // An old write that is carried out late therefore cannot overwrite a newer chunk.
    let transaction = write_txn(&written, &changes, 9);
    for (number, _) in &changes {
        let is_known = first_changes.iter().any(|(known, _)| known == number);
        let version = if is_known { 7 } else { 0 };
        let key = machine_chunk_key(*number);
        let condition = transaction
            .conditions
            .iter()
            .find(|condition| condition.key == key);
        assert_eq!(
            condition.map(|condition| condition.version),
            Some(version),
            "chunk {number}"
        );
    }
    let mut updated = written;
    for (number, chunk) in changes {
        updated.record_chunk(number, chunk, 10);
    }
    let mut recorded: Vec<_> = updated.machines().cloned().collect();
    recorded.sort_by(|a, b| a.id.cmp(&b.id));
    wanted.sort_by(|a, b| a.id.cmp(&b.id));
    assert_eq!(recorded, wanted);
    for (key, number) in [
        (machine_chunk_key(17), Some(17)),
        ("fx/mach/0/x".into(), None),
    ] {
        assert_eq!(chunk_number(&key), number, "{key}");
    }
}

/// Guards against not starting a waiting task when capacity becomes free. After a search for
/// capacity has failed, it is not repeated until capacity becomes free. It must be repeated
/// then, whether CPUs or memory were lacking.
#[test]
fn capacity_that_becomes_free_is_found() {
    for (cpus, memory_gb) in [(1.4, 20.0), (8.0, 1.0), (0.3, 31.0)] {
        let mut scheduler = unlimited_scheduler(&["m1", "m2"]);
        // Queues are disabled, since a queued task would start without a search for capacity.
        scheduler.config.policy.queue_depth = 0;
        for id in ["m1", "m2"] {
            starts_in_reply_to_empty_heartbeat(&mut scheduler, id, 1, 0.0);
        }
        let mut job = standard_job("run-1", 3, cpus);
        job.memory_gb = memory_gb;
        add(&mut scheduler, job, 0.0);
        scheduler.place_all(0.1);
        let started =
            ["m1", "m2"].map(|id| starts_in_reply_to_empty_heartbeat(&mut scheduler, id, 2, 0.5));
        assert_eq!(
            started.concat().len(),
            2,
            "not exactly one task started on each machine"
        );
        scheduler.place_all(0.6);
        scheduler.place_all(0.7);
        let (id, _) = scheduler.machines["m1"].attempts.first_key_value().unwrap();
        let (task, attempt) = (id.task.wire_name(), id.number);
        let completed = [(task.as_str(), attempt, Phase::Exited, Some(Cause::Done))];
        let started = starts_in_reply(&mut scheduler, &report("m1", 1, 3, 5, &completed), 1.0);
        assert_eq!(
            started.len(),
            1,
            "tasks of {cpus} CPUs and {memory_gb} GB of memory"
        );
    }
}

/// Guards against ignoring new information in a heartbeat that looks like a repetition of the
/// previous one. A repetition is recognized by the text of its task list. A heartbeat that
/// differs in any relevant field, or arrives while there are commands for the worker, must not
/// count as a repetition.
#[test]
fn repeated_heartbeats_are_recognized() {
    let tasks = r#"[{"shard":"run-1/0","try":7,"status":"running"}]"#;
    let other_tasks = r#"[{"shard":"run-1/0","try":7,"status":"saving"}]"#;
    let head = |session: u64, seq: u64, epoch: u64, warning: &str, tasks: &str| {
        format!(
            r#"{{"host":"m1","endpoint":"127.0.0.1:1","flavor":"small","site":"a","standby":false,
            "tenure":{session},"serial":{seq},"epoch":{epoch},"warning_s":{warning},"shards":{tasks}}}"#
        )
    };
    for (text, job_finished, repeats) in [
        (head(1, 3, 5, "null", tasks), false, true),
        (head(1, 3, 5, "null", other_tasks), false, false),
        (head(2, 3, 5, "null", tasks), false, false),
        (head(1, 2, 5, "null", tasks), false, false),
        (head(1, 3, 6, "null", tasks), false, false),
        (head(1, 3, 5, "20.0", tasks), false, false),
        // A stop command for the task must be sent to the worker.
        (head(1, 3, 5, "null", tasks), true, false),
    ] {
        let mut scheduler = unlimited_scheduler(&["m1"]);
        add(&mut scheduler, standard_job("run-1", 1, 1.0), 0.0);
        let running = [("run-1/0", 7, Phase::Running, None)];
        scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &running), 0.5);
        scheduler.handle_heartbeat(&report("m1", 1, 2, 5, &running), 1.0);
        scheduler.store_task_list("m1", MessageId { session: 1, seq: 2 }, tasks);
        if job_finished {
            scheduler.finish_job("run-1");
        }
        let head: ReportHead = serde_json::from_str(&text).unwrap();
        assert_eq!(
            scheduler.handle_repeated_heartbeat(&head, 2.0).is_some(),
            repeats,
            "{text}, job finished: {job_finished}"
        );
        let answered_at = scheduler.machines["m1"].answered_at;
        assert_eq!(answered_at, Some(if repeats { 2.0 } else { 1.0 }));
    }
}

/// Guards against starting a task a second time while it runs. A former leader accepted the
/// job and started the task. A heartbeat shows the running task to the new leader before the
/// new leader learns of the job. The new leader therefore sends a stop, and the task is still
/// running when the job becomes known.
#[test]
fn a_running_task_of_a_job_that_becomes_known_later_is_not_started_twice() {
    let mut scheduler = unlimited_scheduler(&["m1", "m2"]);
    starts_in_reply_to_empty_heartbeat(&mut scheduler, "m2", 1, 0.0);
    let running = [("run-1/0", 7, Phase::Running, None)];
    scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &running), 0.1);
    add(&mut scheduler, standard_job("run-1", 1, 1.0), 0.2);
    // The task still runs, although a stop command was sent.
    scheduler.handle_heartbeat(&report("m1", 1, 2, 5, &running), 0.3);
    scheduler.place_all(0.4);
    assert!(scheduler.allow_placement_if_fenced());
    assert!(starts_in_reply_to_empty_heartbeat(&mut scheduler, "m2", 2, 0.5).is_empty());
    scheduler.handle_heartbeat(&report("m1", 1, 3, 5, &[]), 0.6);
    scheduler.place_all(0.7);
    let started = [("m2", 3, 0.8), ("m1", 4, 0.9)].map(|(machine, seq, now)| {
        starts_in_reply_to_empty_heartbeat(&mut scheduler, machine, seq, now)
    });
    assert_eq!(started.concat().len(), 1);
}

/// Guards against returning the machines of a zone that is only partitioned, and against
/// scaling out in such a zone. A zone counts as partitioned if more than half of its machines
/// are silent at the same time.
#[test]
fn a_zone_that_falls_silent_as_a_whole_is_partitioned() {
    for (silent_count, partitioned) in [(0, false), (2, false), (3, true), (4, true)] {
        let names = ["m1", "m2", "m3", "m4"];
        let mut scheduler = unlimited_scheduler(&names);
        for second in 1..100 {
            scheduler.tick(f64::from(second), 0.0);
        }
        for name in &names[silent_count..] {
            scheduler.handle_heartbeat(&report(name, 1, 1, 5, &[]), 100.0);
        }
        assert_eq!(
            !scheduler.partitioned_zones(101.0).is_empty(),
            partitioned,
            "{silent_count} of 4 machines are silent"
        );
    }
}
