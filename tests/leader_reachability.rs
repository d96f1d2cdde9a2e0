//! A leader resigns if its workers cannot reach it, and only then.

mod common;

use common::*;
use foxspur::coordination::agents::leader_reachability::{
    is_leader_unreachable, should_resign, RedirectCounter,
};
use foxspur::coordination::scheduler::state::Scheduler;

/// Guards against a leader that keeps its shard although its workers cannot reach it, so that
/// the leases of all its workers run out (an incident of the lean deployment). Also guards
/// against a leader that resigns because of a few dead machines, because of one partitioned
/// zone, or although the workers reach no other controller.
#[test]
fn leader_resigns_when_its_workers_reach_only_other_controllers() {
    for (machines, silent, redirected, resigns) in [
        (200, 200, 50, true),
        (200, 160, 25, true),
        (200, 200, 24, false),
        (200, 150, 200, false),
        (200, 0, 200, false),
        (7, 7, 7, false),
        (0, 0, 9, false),
    ] {
        let actual = should_resign(machines, silent, redirected);
        assert_eq!(
            actual, resigns,
            "{machines} machines, {silent} silent, {redirected} heartbeats redirected"
        );
    }
}

/// Machines count as silent after one and a half heartbeat intervals. Machines that the
/// machine record does not list yet are not counted.
#[test]
fn silent_machines_are_counted() {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1", "m2", "m3"]);
    scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &[]), 1.2);
    scheduler.handle_heartbeat(&report("new", 1, 1, 5, &[]), 1.2);
    for (now, silent) in [(1.3, 0), (2.0, 2), (2.6, 2), (2.8, 3)] {
        assert_eq!(scheduler.silent_machines(now), (3, silent), "at {now}");
    }
}

/// Guards against redirecting workers to a leader that does not answer them, and against
/// delaying a single machine that boots or was cut off from its leader.
#[test]
fn many_redirects_show_an_unreachable_leader() {
    let mut redirects = RedirectCounter::default();
    let unreachable =
        |redirects: &mut RedirectCounter, now| is_leader_unreachable(redirects.add(now));
    assert!((0..7).all(|n| !unreachable(&mut redirects, 100.0 + f64::from(n) * 0.1)));
    assert!(unreachable(&mut redirects, 101.0));
    assert!(!unreachable(&mut redirects, 120.0));
}

/// Only the heartbeats that were redirected in the present and the previous window count.
#[test]
fn redirects_are_counted_in_windows() {
    let mut redirects = RedirectCounter::default();
    for redirected_at in [100.0, 101.0, 106.0] {
        redirects.add(redirected_at);
    }
    for (now, recent) in [(106.0, 3), (109.0, 3), (112.0, 1), (130.0, 0)] {
        assert_eq!(redirects.recent(now), recent, "at {now}");
    }
}

/// How many machines count as silent, and what the scheduler concludes from that.
#[derive(Debug, Default, PartialEq)]
struct Assessment {
    silent: usize,
    partitioned_zones: usize,
    presumed_dead: usize,
}

impl Assessment {
    fn at(scheduler: &Scheduler, now: f64) -> Assessment {
        let (_, silent) = scheduler.silent_machines(now);
        Assessment {
            silent,
            partitioned_zones: scheduler.partitioned_zones(now).len(),
            presumed_dead: scheduler.machines_presumed_dead(now).len(),
        }
    }
}

/// Guards against a leader that takes a pause of its own process for silence of its machines:
/// after such a pause leaders resigned or returned machines. Heartbeats that are missing after the
/// pause do count as silence.
#[test]
fn own_pause_does_not_count_as_silence() {
    let names = ["m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"];
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &names);
    for name in names {
        scheduler.handle_heartbeat(&report(name, 1, 1, 5, &[]), 1.0);
    }
    // The silence is assessed before the first tick after the pause, and again after this tick.
    assert_eq!(Assessment::at(&scheduler, 9.0), Assessment::default());
    scheduler.tick(9.0, 0.0);
    scheduler.handle_heartbeat(&report("m1", 1, 2, 5, &[]), 9.1);
    assert_eq!(Assessment::at(&scheduler, 9.5), Assessment::default());
    for now in [10.0, 11.0, 12.0] {
        scheduler.tick(now, 0.0);
    }
    for name in &names[1..] {
        scheduler.handle_heartbeat(&report(name, 1, 2, 5, &[]), 12.5);
    }
    scheduler.tick(13.0, 0.0);
    let one_silent = Assessment {
        silent: 1,
        partitioned_zones: 0,
        presumed_dead: 1,
    };
    assert_eq!(Assessment::at(&scheduler, 13.5), one_silent);
}
