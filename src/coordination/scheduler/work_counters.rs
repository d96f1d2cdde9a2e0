//! Counts of the work done in single steps. The process has one thread, so a step that does much
//! work delays every answer. The counts tell which kind of step grew, and with what.

/// The largest amounts of work in one step since this controller took over, and how much work was
/// done in total.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Number of placement passes.
    pub passes: u64,
    /// Largest number of tasks that one placement pass placed: started, queued, or queued after a
    /// preemption.
    pub max_placements_per_pass: usize,
    /// Number of attempts whose resources were added up to determine the free capacity of a
    /// machine.
    pub attempts_summed: u64,
    /// Largest number of attempts whose resources were added up within one placement pass.
    pub max_attempts_summed_per_pass: u64,
    /// Largest number of commands in one message to a worker.
    pub max_commands_per_message: usize,
    /// Largest number of attempts in one report of a worker.
    pub max_attempts_per_report: usize,
}

impl WorkCounters {
    /// Records a message with this number of commands.
    pub(crate) fn record_message(&mut self, commands: usize) {
        self.max_commands_per_message = self.max_commands_per_message.max(commands);
    }

    /// Records a report that lists this number of attempts.
    pub(crate) fn record_report(&mut self, attempts: usize) {
        self.max_attempts_per_report = self.max_attempts_per_report.max(attempts);
    }

    /// Records a placement pass that placed this number of tasks; `summed_before` is the value of
    /// `attempts_summed` at the start of the pass.
    pub(crate) fn record_pass(&mut self, placements: usize, summed_before: u64) {
        self.passes += 1;
        self.max_placements_per_pass = self.max_placements_per_pass.max(placements);
        let summed = self.attempts_summed - summed_before;
        self.max_attempts_summed_per_pass = self.max_attempts_summed_per_pass.max(summed);
    }
}
