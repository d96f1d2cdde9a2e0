//! Tests that the fixed limits in the program are sufficient for a fleet of 6,000 machines, which
//! is 1.5 times the largest expected fleet.

mod common;

use common::*;
use foxspur::admin::{orders, view_json, MAX_BODY};
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::jobs::lookup::TerminalStates;
use foxspur::coordination::jobs::version_check::RecordCache;
use foxspur::coordination::leadership::confirmed_cancellations::ConfirmedCancellations;
use foxspur::coordination::recent::RecentMap;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::admin::{DrainOrder, RemainingWork};
use foxspur::protocol::job::{JobState, Urgency};
use foxspur::protocol::mesh::{self, Topic};
use foxspur::protocol::worker::Phase;
use foxspur::storage::completed_tasks::CompletedTasks;
use foxspur::storage::records::TerminalRecord;
use foxspur::transport::sockets::SocketBudget;
use std::rc::Rc;

/// Number of machines in the fleet of these tests.
const FLEET_MACHINES: usize = 6000;

fn machine_name(n: usize) -> String {
    format!("m-{n:06}")
}

/// A scheduler whose machine record lists the whole fleet.
fn fleet_scheduler() -> Scheduler {
    let names: Vec<String> = (0..FLEET_MACHINES).map(machine_name).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    scheduler(vec![team("t", 0.0, 0.0)], 5, &names)
}

/// Guards against a bounded list of returned machines that is too short for the fleet. A late copy
/// of a heartbeat from a machine missing in the list would register the machine as a new one.
#[test]
fn late_heartbeats_do_not_revive_returned_machines() {
    let mut scheduler = fleet_scheduler();
    for n in 0..FLEET_MACHINES {
        scheduler.confirm_machine_returned(&machine_name(n));
    }
    for n in 0..FLEET_MACHINES {
        let late_heartbeat = report(&machine_name(n), 1, 1, 5, &[]);
        assert!(
            matches!(
                scheduler.handle_heartbeat(&late_heartbeat, 1.0),
                HeartbeatReply::Refuse
            ),
            "the heartbeat of returned machine {n} is not refused"
        );
    }
    assert!(scheduler.machines.is_empty());
}

/// Guards against a bounded list of finished jobs that is too short for the fleet. A late response
/// to the submission of a job missing in the list would add the finished job again.
#[test]
fn late_responses_do_not_revive_finished_jobs() {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &[]);
    for n in 0..FLEET_MACHINES {
        scheduler.finish_job(&format!("run-{n}"));
    }
    for n in 0..FLEET_MACHINES {
        let job = spec(&format!("run-{n}"), "t", Urgency::Standard, 1, 1.0);
        scheduler.add_job(live(job, 0.0), 1, CompletedTasks::default());
    }
    assert!(scheduler.jobs.is_empty());
}

/// Guards against a limit on the size of messages between controllers that is too small for the
/// leader's views of a whole fleet.
#[test]
fn views_of_the_whole_fleet_fit_into_one_message() {
    let mut scheduler = fleet_scheduler();
    let tasks = 12 * FLEET_MACHINES as u32;
    add(
        &mut scheduler,
        spec("run-1", "t", Urgency::Standard, tasks, 0.5),
        0.0,
    );
    for n in 0..FLEET_MACHINES {
        let task_names: Vec<String> = (12 * n..12 * n + 12)
            .map(|index| format!("run-1/{index}"))
            .collect();
        let running_tasks: Vec<_> = task_names
            .iter()
            .map(|task| (task.as_str(), 83_886_080, Phase::Running, None))
            .collect();
        scheduler.handle_heartbeat(&report(&machine_name(n), 1, 1, 5, &running_tasks), 1.0);
    }
    for topic in [Topic::Snapshot, Topic::Machines] {
        let json = view_json(&scheduler, topic, 2.5).expect("a view");
        let response = mesh::PeerResponse::View(5, json);
        let decoded = mesh::decode::<mesh::PeerResponse>(&mesh::encode(&response));
        assert!(
            decoded.as_ref() == Some(&response),
            "the view on {topic:?} does not fit into a message"
        );
    }
}

/// Guards against an operator's order for the whole fleet being refused because of its size.
#[test]
fn the_whole_fleet_can_be_drained_by_one_order() {
    let order = DrainOrder {
        order: "all".into(),
        hosts: (0..FLEET_MACHINES).map(machine_name).collect(),
        by: "operator".into(),
        why: "the site moves".into(),
        deadline_s: None,
        rest: RemainingWork::Leave,
        term: None,
    };
    assert_eq!(
        orders::check(&order).map(|hosts| hosts.len()),
        Ok(FLEET_MACHINES)
    );
    let body_bytes = serde_json::to_vec(&order).expect("an order").len();
    assert!(
        body_bytes <= MAX_BODY,
        "the order has {body_bytes} bytes, and at most {MAX_BODY} are allowed"
    );
}

/// Guards against caches that are too small for one job per machine, and so evict jobs that are
/// still needed to answer users or workers.
#[test]
fn caches_hold_one_job_per_machine() {
    let mut terminal_states = TerminalStates::default();
    let mut cancellations = ConfirmedCancellations::default();
    let mut record_cache = RecordCache::default();
    let done = TerminalRecord {
        state: JobState::Done,
        tasks: 1,
        done: 1,
    };
    for n in 0..FLEET_MACHINES {
        let id = format!("run-{n}");
        assert!(terminal_states.put(&id, done));
        cancellations.record(&id, 1.0 + n as f64 / 1000.0);
        let job = spec(&id, "t", Urgency::Standard, 1, 1.0);
        record_cache.insert(&Rc::new(live(job, 0.0)), 1);
    }
    for n in 0..FLEET_MACHINES {
        let id = format!("run-{n}");
        assert!(
            terminal_states.get(&id).is_some() && record_cache.get(&id).is_some(),
            "{id} was evicted from a cache"
        );
    }
    assert_eq!(
        cancellations.within(8.0, 8.0).map(|ids| ids.len()),
        Some(FLEET_MACHINES)
    );
}

/// Guards against evicting keys in any other order than the one in which they were added. Replacing
/// the value of a key must not change the key's place in this order.
#[test]
fn the_oldest_entry_is_evicted_first() {
    let mut map = RecentMap::new(2);
    for (key, previous) in [("a", None), ("b", None), ("a", Some(0)), ("c", None)] {
        assert_eq!(map.insert(key, 0), previous, "{key}");
    }
    let remaining: Vec<&str> = ["a", "b", "c"]
        .into_iter()
        .filter(|key| map.contains(*key))
        .collect();
    assert_eq!(remaining, ["b", "c"]);
}

/// Guards against dividing the process's sockets between incoming connections and connections to
/// workers such that fewer machines can be served than `docs/operators/controller.md` states for
/// the same number of sockets.
#[test]
fn sockets_suffice_for_the_documented_fleet() {
    for (sockets, machines, worker_connections) in [
        // One connection from each worker, and one open connection to each worker.
        (3 * FLEET_MACHINES, FLEET_MACHINES, FLEET_MACHINES),
        (9000, 4063, 3000),
        // The minimum: most connections to workers are then closed and reopened repeatedly.
        (8800, FLEET_MACHINES, 1100),
        (800, 550, 100),
    ] {
        let budget = SocketBudget::new(sockets);
        assert!(
            budget.max_incoming() >= machines,
            "{sockets} sockets allow only {} incoming connections",
            budget.max_incoming()
        );
        budget.incoming.set(machines);
        assert!(
            budget.max_to_workers() >= worker_connections,
            "{sockets} sockets allow only {} connections to workers",
            budget.max_to_workers()
        );
    }
}
