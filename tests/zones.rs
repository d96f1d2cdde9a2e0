//! Tests of jobs whose tasks must all be in one zone.

mod common;

use common::*;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::Urgency;
use foxspur::protocol::worker::{Command, Phase, Report};
use foxspur::storage::completed_tasks::CompletedTasks;

/// A heartbeat of a machine in this zone that reports these tasks (name, attempt number) as
/// running.
fn report_running(machine: &str, zone: &str, seq: u64, tasks: &[(&str, u64)]) -> Report {
    let reported: Vec<_> = tasks
        .iter()
        .map(|(task, attempt)| (*task, *attempt, Phase::Running, None))
        .collect();
    Report {
        zone: zone.into(),
        ..report(machine, 1, seq, 5, &reported)
    }
}

/// Runs a placement pass and returns the machines to which a direct call with a start is due.
fn machines_with_starts(scheduler: &mut Scheduler, now: f64) -> Vec<String> {
    scheduler.place_all(now);
    let mut machines = Vec::new();
    for machine in ["m-a", "m-b", "m-c"] {
        let call = scheduler.next_direct_call(&machine.into(), now);
        let commands = call.map(|(_, call)| call.commands).unwrap_or_default();
        if commands.iter().any(|c| matches!(c, Command::Start { .. })) {
            machines.push(machine.to_string());
        }
    }
    machines
}

/// Guards against starting tasks in the wrong zone because of an outdated heartbeat. While the
/// placed tasks of a one-zone job seem to be in two zones, no task may start in any zone. Once
/// newer heartbeats show which zone is right, the remaining tasks start there. (Seed 3825 of
/// tests/simulation.)
#[test]
fn tasks_of_a_one_zone_job_wait_until_the_zone_is_known() {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &[]);
    scheduler.add_recorded_machine(machine("m-a", "a", false), 0.0);
    scheduler.add_recorded_machine(machine("m-b", "b", false), 0.0);
    scheduler.add_recorded_machine(machine("m-c", "b", false), 0.0);
    let mut job = spec("run-1", "t", Urgency::Standard, 3, 1.0);
    job.one_zone = true;
    scheduler.add_job(live(job, 0.0), 1, CompletedTasks::default());
    let reports = [
        report_running("m-a", "a", 1, &[("run-1/0", 1)]),
        report_running("m-b", "b", 1, &[("run-1/1", 2)]),
        report_running("m-c", "b", 1, &[]),
    ];
    for report in &reports {
        assert!(matches!(
            scheduler.handle_heartbeat(report, 1.0),
            HeartbeatReply::Commands(_)
        ));
    }
    assert!(scheduler.allow_placement_if_fenced());
    assert_eq!(
        machines_with_starts(&mut scheduler, 1.1),
        Vec::<String>::new()
    );
    scheduler.handle_heartbeat(&report_running("m-a", "a", 2, &[]), 2.0);
    let machines = machines_with_starts(&mut scheduler, 2.1);
    assert!(!machines.is_empty(), "no task was started");
    assert!(
        !machines.contains(&"m-a".into()),
        "tasks started on {machines:?}"
    );
}
