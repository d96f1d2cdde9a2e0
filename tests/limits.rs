//! No fixed bound lies below a fleet of 6,000 machines, half as many again as the largest
//! expected.

mod common;

use common::*;
use foxspur::admin::{orders, view_json, MAX_BODY};
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::jobs::lookup::TerminalStates;
use foxspur::coordination::jobs::version_check::RecordCache;
use foxspur::coordination::leadership::confirmed_cancellations::ConfirmedCancellations;
use foxspur::coordination::recent::RecentMap;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::admin::{DrainOrder, Rest};
use foxspur::protocol::job::{JobState, Urgency};
use foxspur::protocol::mesh::{self, Topic};
use foxspur::protocol::worker::Phase;
use foxspur::storage::completed_tasks::CompletedTasks;
use foxspur::storage::records::TerminalRecord;
use foxspur::transport::sockets::Sockets;
use std::rc::Rc;

const MACHINES: usize = 6000;

fn machine_name(n: usize) -> String {
    format!("m-{n:06}")
}

/// A scheduler whose machine record lists the whole fleet.
fn fleet_scheduler() -> Scheduler {
    let names: Vec<String> = (0..MACHINES).map(machine_name).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    scheduler(vec![team("t", 0.0, 0.0)], 5, &names)
}

/// Guards against late copies of heartbeats of machines that are gone, each of which would be
/// taken for a new machine.
#[test]
fn every_returned_machine_of_a_fleet_stays_returned() {
    let mut scheduler = fleet_scheduler();
    for n in 0..MACHINES {
        scheduler.confirm_machine_returned(&machine_name(n));
    }
    for n in 0..MACHINES {
        let late = report(&machine_name(n), 1, 1, 5, &[]);
        assert!(
            matches!(
                scheduler.handle_heartbeat(&late, 1.0),
                HeartbeatReply::Refuse
            ),
            "{n}"
        );
    }
    assert!(scheduler.machines.is_empty());
}

/// Guards against late answers that revive a finished job.
#[test]
fn as_many_jobs_as_machines_stay_finished() {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &[]);
    for n in 0..MACHINES {
        scheduler.finish_job(&format!("run-{n}"));
    }
    for n in 0..MACHINES {
        let job = spec(&format!("run-{n}"), "t", Urgency::Standard, 1, 1.0);
        scheduler.add_job(live(job, 0.0), 1, CompletedTasks::default());
    }
    assert!(scheduler.jobs.is_empty());
}

/// Guards against views of the leader that are too large for its peers.
#[test]
fn a_snapshot_of_the_fleet_is_one_message() {
    let mut scheduler = fleet_scheduler();
    let tasks = 12 * MACHINES as u32;
    add(
        &mut scheduler,
        spec("run-1", "t", Urgency::Standard, tasks, 0.5),
        0.0,
    );
    for n in 0..MACHINES {
        let names: Vec<String> = (12 * n..12 * n + 12)
            .map(|t| format!("run-1/{t}"))
            .collect();
        let shown = names
            .iter()
            .map(|t| (t.as_str(), 83_886_080, Phase::Running, None));
        let shown: Vec<_> = shown.collect();
        scheduler.handle_heartbeat(&report(&machine_name(n), 1, 1, 5, &shown), 1.0);
    }
    for topic in [Topic::Snapshot, Topic::Machines] {
        let text = view_json(&scheduler, topic, 2.5).expect("a view");
        let answer = mesh::PeerResponse::View(5, text);
        let read = mesh::decode::<mesh::PeerResponse>(&mesh::encode(&answer));
        assert!(read.as_ref() == Some(&answer), "{topic:?}");
    }
}

/// Guards against an order for the whole fleet that is refused for its size.
#[test]
fn the_whole_fleet_can_be_drained_by_one_order() {
    let order = DrainOrder {
        order: "all".into(),
        hosts: (0..MACHINES).map(machine_name).collect(),
        by: "operator".into(),
        why: "the site moves".into(),
        deadline_s: None,
        rest: Rest::Leave,
        term: None,
    };
    assert_eq!(orders::check(&order).map(|h| h.len()), Ok(MACHINES));
    let body = serde_json::to_vec(&order).expect("an order").len();
    assert!(body <= MAX_BODY, "{body}");
}

/// Guards against eviction of what answers still depend on.
#[test]
fn as_many_jobs_as_machines_are_remembered() {
    let mut terminal = TerminalStates::default();
    let mut cancellations = ConfirmedCancellations::default();
    let mut records = RecordCache::default();
    let done = TerminalRecord {
        state: JobState::Done,
        tasks: 1,
        done: 1,
    };
    for n in 0..MACHINES {
        let id = format!("run-{n}");
        assert!(terminal.put(&id, done));
        cancellations.record(&id, 1.0 + n as f64 / 1000.0);
        let job = spec(&id, "t", Urgency::Standard, 1, 1.0);
        records.insert(&Rc::new(live(job, 0.0)), 1);
    }
    for n in 0..MACHINES {
        let id = format!("run-{n}");
        assert!(
            terminal.get(&id).is_some() && records.get(&id).is_some(),
            "{n}"
        );
    }
    assert_eq!(
        cancellations.within(8.0, 8.0).map(|ids| ids.len()),
        Some(MACHINES)
    );
}

/// The oldest entry is evicted first, and a key that is inserted again keeps its age.
#[test]
fn the_oldest_entry_is_evicted_first() {
    let mut map = RecentMap::new(2);
    for (key, before) in [("a", None), ("b", None), ("a", Some(0)), ("c", None)] {
        assert_eq!(map.insert(key, 0), before, "{key}");
    }
    let kept: Vec<&str> = ["a", "b", "c"]
        .into_iter()
        .filter(|k| map.contains(*k))
        .collect();
    assert_eq!(kept, ["b", "c"]);
}

/// How many machines a number of sockets suffices for: see `docs/operators/controller.md`.
#[test]
fn sockets_for_a_fleet() {
    for (sockets, machines, kept) in [
        // One connection from each worker, and one to each.
        (3 * MACHINES, MACHINES, MACHINES),
        (9000, 4063, 3000),
        // The least: connections to workers are then reopened again and again.
        (8800, MACHINES, 1100),
        (800, 550, 100),
    ] {
        let budget = Sockets::new(sockets);
        assert!(budget.front() >= machines, "{sockets}: {}", budget.front());
        budget.incoming.set(machines);
        assert!(
            budget.to_workers() >= kept,
            "{sockets}: {}",
            budget.to_workers()
        );
    }
}
