//! A leader that its workers do not reach resigns, and no other does.

mod common;

use common::*;
use foxspur::coordination::agents::leader_reachability::{
    leader_unreached, out_of_reach, RedirectCounter,
};
use foxspur::coordination::scheduler::state::Scheduler;

/// Guards against a leader that keeps its shard while the leases of all its
/// workers run out (an incident of the lean deployment), and against
/// resigning for deaths, for one zone that is partitioned, or when nobody else is reached.
#[test]
fn when_a_leader_resigns() {
    for (machines, silent, redirected, resigns) in [
        (200, 200, 50, true),
        (200, 160, 25, true),
        (200, 200, 24, false),
        (200, 150, 200, false),
        (200, 0, 200, false),
        (7, 7, 7, false),
        (0, 0, 9, false),
    ] {
        let found = out_of_reach(machines, silent, redirected);
        assert_eq!(found, resigns, "{machines} {silent} {redirected}");
    }
}

/// Machines count as silent after one and a half heartbeat intervals, those that are not ours
/// yet not at all.
#[test]
fn silent_machines_are_counted() {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1", "m2", "m3"]);
    scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &[]), 1.2);
    scheduler.handle_heartbeat(&report("new", 1, 1, 5, &[]), 1.2);
    for (now, silent) in [(1.3, 0), (2.0, 2), (2.6, 2), (2.8, 3)] {
        assert_eq!(scheduler.silent_machines(now), (3, silent), "at {now}");
    }
}

/// Guards against sending workers back to a leader that does not answer them, and
/// against holding up a machine that boots or was cut off.
#[test]
fn heartbeats_held_from_an_unreached_leader() {
    let mut redirects = RedirectCounter::default();
    let held = |redirects: &mut RedirectCounter, now| leader_unreached(redirects.add(now));
    assert!((0..7).all(|n| !held(&mut redirects, 100.0 + f64::from(n) * 0.1)));
    assert!(held(&mut redirects, 101.0));
    assert!(!held(&mut redirects, 120.0));
}

/// Heartbeats that were redirected long ago are forgotten.
#[test]
fn redirects_are_counted_in_windows() {
    let mut redirects = RedirectCounter::default();
    for at in [100.0, 101.0, 106.0] {
        redirects.add(at);
    }
    for (now, recent) in [(106.0, 3), (109.0, 3), (112.0, 1), (130.0, 0)] {
        assert_eq!(redirects.recent(now), recent, "at {now}");
    }
}

/// How many machines are taken for silent, and what follows from that.
#[derive(Debug, Default, PartialEq)]
struct Judgement {
    silent: usize,
    partitioned_zones: usize,
    given_up: usize,
}

impl Judgement {
    fn at(scheduler: &Scheduler, now: f64) -> Judgement {
        let (_, silent) = scheduler.silent_machines(now);
        Judgement {
            silent,
            partitioned_zones: scheduler.partitioned_zones(now).len(),
            given_up: scheduler.machines_given_up(now).len(),
        }
    }
}

/// Guards against a leader that stood still and then takes what it did not hear
/// meanwhile for silence: it resigned, or returned machines, on waking. What it
/// misses after that counts.
#[test]
fn own_pause_is_no_silence() {
    let names = ["m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"];
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &names);
    for name in names {
        scheduler.handle_heartbeat(&report(name, 1, 1, 5, &[]), 1.0);
    }
    // Asked before the clock's first tick after the pause, and after it.
    assert_eq!(Judgement::at(&scheduler, 9.0), Judgement::default());
    scheduler.tick(9.0, 0.0);
    scheduler.handle_heartbeat(&report("m1", 1, 2, 5, &[]), 9.1);
    assert_eq!(Judgement::at(&scheduler, 9.5), Judgement::default());
    for now in [10.0, 11.0, 12.0] {
        scheduler.tick(now, 0.0);
    }
    for name in &names[1..] {
        scheduler.handle_heartbeat(&report(name, 1, 2, 5, &[]), 12.5);
    }
    scheduler.tick(13.0, 0.0);
    let one_silent = Judgement {
        silent: 1,
        partitioned_zones: 0,
        given_up: 1,
    };
    assert_eq!(Judgement::at(&scheduler, 13.5), one_silent);
}
