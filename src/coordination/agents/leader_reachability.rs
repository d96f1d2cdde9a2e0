//! Notices an owner that its workers do not reach. It keeps its lease in the
//! state service, so nobody takes the share over, while all leases of its
//! workers run out. It resigns when most of its machines fell silent at once
//! and another controller says that workers come there to be sent on.

use crate::coordination::scheduler::machine::MachineStatus;
use crate::coordination::scheduler::state::Scheduler;

/// Reports turned away, in two windows.
#[derive(Debug, Default, Clone, Copy)]
pub struct RedirectCounter {
    since: f64,
    now: u32,
    before: u32,
}

/// Length of a window: a worker whose owner does not answer tries another
/// controller after 4 s, and again about as often.
const WINDOW_S: f64 = 5.0;

impl RedirectCounter {
    fn turn(&mut self, now: f64) {
        if now - self.since >= WINDOW_S {
            let lately = now - self.since < 2.0 * WINDOW_S;
            self.before = if lately { self.now } else { 0 };
            self.now = 0;
            self.since = now;
        }
    }

    /// One more; how many there were lately.
    pub fn add(&mut self, now: f64) -> u32 {
        self.turn(now);
        self.now += 1;
        self.now + self.before
    }

    /// How many there were lately.
    pub fn recent(&mut self, now: f64) -> u32 {
        self.turn(now);
        self.now + self.before
    }
}

/// Whether so many workers come here lately that their owner does not reach them.
/// To send them back to it costs each 4 s of waiting and a second; a takeover is a
/// matter of less. (One machine that boots or is cut off comes alone; as many as make
/// a cut, see `out_of_reach`, do not.)
pub fn owner_unreached(turned_away: u32) -> bool {
    turned_away >= 8
}

/// Whether to resign: most of the `machines` are silent, as many as make a cut
/// and not a few deaths, and at least an eighth of them try another controller.
pub fn out_of_reach(machines: usize, silent: usize, elsewhere: u32) -> bool {
    machines >= 8 && 4 * silent > 3 * machines && 8 * elsewhere as usize >= machines
}

impl Scheduler {
    /// How many machines should report, and how many of them did not for longer
    /// than the longest time between two reports (1.25 `report_s`) and a delay.
    pub fn silent_machines(&self, now: f64) -> (usize, usize) {
        let due_s = 1.5 * self.config.report_s;
        // What operators switched off is silent for another reason.
        let expected = |m: &&crate::coordination::scheduler::machine::Machine| {
            m.recorded && !m.cordoned && m.status == MachineStatus::Up
        };
        let mut sums = (0, 0);
        for m in self.machines.values().filter(expected) {
            sums.0 += 1;
            // One that hears nobody goes from controller to controller: with another
            // owner it would be the same.
            let due_s = if m.delivery.is_doubted() {
                due_s.max(self.config.round_s)
            } else {
                due_s
            };
            sums.1 += usize::from(self.silent_for(m.heard_at, now) > due_s);
        }
        sums
    }
}
