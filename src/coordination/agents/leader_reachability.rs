//! Detects a leader that its workers cannot reach.
//!
//! Such a leader keeps its lease in the state service, so no other controller takes over the
//! shard, while the leases of all its workers run out. The leader resigns when most of its machines
//! have fallen silent at once and other controllers report that they redirected workers'
//! heartbeats to this leader.

use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;

/// Length of a counting window, in seconds. A worker whose leader does not answer tries
/// another controller after 4 s, and the next one after about the same time again.
const WINDOW_S: f64 = 5.0;
/// Number of redirected heartbeats within two windows at which the leader counts as unreachable.
const MIN_REDIRECTS_OF_UNREACHABLE_LEADER: u32 = 8;
/// Minimum number of machines in a shard whose leader may resign. If there are fewer, they may
/// have died one by one.
const MIN_RESIGNATION_MACHINES: usize = 8;

/// Counts redirected heartbeats in the present and the previous window.
#[derive(Debug, Default, Clone, Copy)]
pub struct RedirectCounter {
    window_began_at: f64,
    in_window: u32,
    in_previous_window: u32,
}

impl RedirectCounter {
    fn advance(&mut self, now: f64) {
        let elapsed_s = now - self.window_began_at;
        if elapsed_s >= WINDOW_S {
            let adjacent = elapsed_s < 2.0 * WINDOW_S;
            self.in_previous_window = if adjacent { self.in_window } else { 0 };
            self.in_window = 0;
            self.window_began_at = now;
        }
    }

    /// Counts one redirected heartbeat. Returns the number in both windows.
    pub fn add(&mut self, now: f64) -> u32 {
        self.advance(now);
        self.in_window += 1;
        self.in_window + self.in_previous_window
    }

    /// The number of redirected heartbeats in both windows.
    pub fn recent(&mut self, now: f64) -> u32 {
        self.advance(now);
        self.in_window + self.in_previous_window
    }
}

/// Whether so many heartbeats were redirected recently that the workers' leader is most likely
/// unreachable. Redirecting a worker to such a leader costs the worker a time-out of 4 s and
/// another second, while a takeover takes less time. A single machine that boots or is cut off
/// from the leader stays below the limit; a partition of many machines (see `should_resign`) does
/// not.
pub fn is_leader_unreachable(recent_redirects: u32) -> bool {
    recent_redirects >= MIN_REDIRECTS_OF_UNREACHABLE_LEADER
}

/// Whether a leader should resign: more than three quarters of its `machines` are silent,
/// which is a partition and not a few dead machines, and the number of heartbeats that other
/// controllers redirected is at least an eighth of the number of machines.
pub fn should_resign(machines: usize, silent: usize, redirected: u32) -> bool {
    machines >= MIN_RESIGNATION_MACHINES
        && 4 * silent > 3 * machines
        && 8 * redirected as usize >= machines
}

impl Scheduler {
    /// Returns the number of machines that should send heartbeats, and the number of silent ones
    /// among them. A machine is silent if its last heartbeat is older than 1.5 heartbeat intervals:
    /// the maximum interval of 1.25 `report_s`, plus 0.25 for delays. A machine with doubtful
    /// delivery is given at least `retry_round_s`.
    pub fn silent_machines(&self, now: f64) -> (usize, usize) {
        // Cordoned machines may be silent because an operator switched them off.
        let expected = |m: &&Machine| m.recorded && !m.cordoned && m.status == MachineStatus::Up;
        let (mut total, mut silent) = (0, 0);
        for machine in self.machines.values().filter(expected) {
            total += 1;
            let silent_s = self.silent_for(machine.heard_at, now);
            silent += usize::from(silent_s > self.max_heartbeat_gap_s(machine));
        }
        (total, silent)
    }

    fn max_heartbeat_gap_s(&self, machine: &Machine) -> f64 {
        let gap_s = 1.5 * self.config.heartbeat_s;
        // A machine that receives no answers tries one controller after the other, and would do
        // the same under any other leader. Its silence in between is no reason to resign.
        if machine.delivery.is_doubtful() {
            gap_s.max(self.config.retry_round_s)
        } else {
            gap_s
        }
    }
}
