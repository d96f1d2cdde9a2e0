//! Detects a leader that its workers do not reach.
//!
//! Such a leader keeps its lease in the state service, so nobody takes the shard over,
//! while the leases of all its workers run out. It resigns when most of its machines fell
//! silent at once and another controller says that workers come there to be redirected.

use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;

/// Length of a window, in seconds: a worker whose leader does not answer tries another
/// controller after 4 s, and again about as often.
const WINDOW_S: f64 = 5.0;
/// Redirected heartbeats within two windows from which on the leader counts as unreached.
const UNREACHED_REDIRECTS: u32 = 8;
/// Machines a shard must have for its leader to resign: fewer may have died one by one.
const MIN_RESIGNATION_MACHINES: usize = 8;

/// Counts redirected heartbeats, in two windows.
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

    /// Counts one more; returns how many there were lately.
    pub fn add(&mut self, now: f64) -> u32 {
        self.advance(now);
        self.in_window += 1;
        self.in_window + self.in_previous_window
    }

    /// How many there were lately.
    pub fn recent(&mut self, now: f64) -> u32 {
        self.advance(now);
        self.in_window + self.in_previous_window
    }
}

/// Whether so many workers come here lately that their leader does not reach them.
/// To send them back to it costs each 4 s of waiting and a second; a takeover is a
/// matter of less. (One machine that boots or is cut off comes alone; as many as make
/// a partition, see `out_of_reach`, do not.)
pub fn leader_unreached(recent_redirects: u32) -> bool {
    recent_redirects >= UNREACHED_REDIRECTS
}

/// Whether to resign: most of the `machines` are silent, as many as make a partition
/// and not a few deaths, and at least an eighth of them try another controller.
pub fn out_of_reach(machines: usize, silent: usize, redirected: u32) -> bool {
    machines >= MIN_RESIGNATION_MACHINES
        && 4 * silent > 3 * machines
        && 8 * redirected as usize >= machines
}

impl Scheduler {
    /// How many machines should send heartbeats, and how many of them did not for longer
    /// than the longest time between two heartbeats (1.25 `report_s`) and a delay.
    pub fn silent_machines(&self, now: f64) -> (usize, usize) {
        // What operators switched off is silent for another reason.
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
        // One that hears nobody goes from controller to controller: with another
        // leader it would be the same.
        if machine.delivery.is_doubtful() {
            gap_s.max(self.config.retry_round_s)
        } else {
            gap_s
        }
    }
}
