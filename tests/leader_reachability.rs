//! An owner that its workers do not reach gives the share up, and no other does.

mod common;

use common::*;
use foxspur::coordination::agents::leader_reachability::{
    out_of_reach, owner_unreached, RedirectCounter,
};

/// Guards against an owner that keeps its share while the leases of all its
/// workers run out (an incident of the lean deployment), and against giving it
/// up for deaths, for one zone that is cut off, or when nobody else is reached.
#[test]
fn who_resigns() {
    for (machines, silent, elsewhere, resigns) in [
        (200, 200, 50, true),
        (200, 160, 25, true),
        (200, 200, 24, false),
        (200, 150, 200, false),
        (200, 0, 200, false),
        (7, 7, 7, false),
        (0, 0, 9, false),
    ] {
        let found = out_of_reach(machines, silent, elsewhere);
        assert_eq!(found, resigns, "{machines} {silent} {elsewhere}");
    }
}

/// Machines count as silent after a report and a half, those that are not ours
/// yet not at all.
#[test]
fn whom_we_should_hear() {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &["m1", "m2", "m3"]);
    scheduler.handle_heartbeat(&report("m1", 1, 1, 5, &[]), 1.2);
    scheduler.handle_heartbeat(&report("new", 1, 1, 5, &[]), 1.2);
    for (now, silent) in [(1.3, 0), (2.0, 2), (2.6, 2), (2.8, 3)] {
        assert_eq!(scheduler.silent_machines(now), (3, silent), "at {now}");
    }
}

/// Guards against sending workers back to an owner that does not answer them, and
/// against holding up a machine that boots or was cut off.
#[test]
fn whom_to_keep_from_the_owner() {
    let mut tally = RedirectCounter::default();
    let held = |tally: &mut RedirectCounter, now| owner_unreached(tally.add(now));
    assert!((0..7).all(|n| !held(&mut tally, 100.0 + f64::from(n) * 0.1)));
    assert!(held(&mut tally, 101.0));
    assert!(!held(&mut tally, 120.0));
}

/// What was turned away long ago is forgotten.
#[test]
fn reports_turned_away_lately() {
    let mut tally = RedirectCounter::default();
    for at in [100.0, 101.0, 106.0] {
        tally.add(at);
    }
    for (now, recent) in [(106.0, 3), (109.0, 3), (112.0, 1), (130.0, 0)] {
        assert_eq!(tally.recent(now), recent, "at {now}");
    }
}

/// Guards against an owner that stood still and then takes what it did not hear
/// meanwhile for silence: it resigned, or returned machines, on waking. What it
/// misses after that counts.
#[test]
fn own_deafness_is_no_silence() {
    let names = ["m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"];
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &names);
    for name in names {
        scheduler.handle_heartbeat(&report(name, 1, 1, 5, &[]), 1.0);
    }
    let judged = |scheduler: &foxspur::coordination::scheduler::state::Scheduler, now: f64| {
        let silent = scheduler.silent_machines(now).1;
        (
            silent,
            scheduler.partitioned_zones(now).len(),
            scheduler.machines_given_up(now).len(),
        )
    };
    // Asked before the clock's first beat after the pause, and after it.
    assert_eq!(judged(&scheduler, 9.0), (0, 0, 0));
    scheduler.tick(9.0, 0.0);
    scheduler.handle_heartbeat(&report("m1", 1, 2, 5, &[]), 9.1);
    assert_eq!(judged(&scheduler, 9.5), (0, 0, 0));
    for beat in [10.0, 11.0, 12.0] {
        scheduler.tick(beat, 0.0);
    }
    for name in &names[1..] {
        scheduler.handle_heartbeat(&report(name, 1, 2, 5, &[]), 12.5);
    }
    scheduler.tick(13.0, 0.0);
    assert_eq!(judged(&scheduler, 13.5), (1, 0, 1));
}
