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
    /// Number of machines and attempts that were examined, by placement and when the free capacity
    /// of a machine was determined anew.
    pub examined: u64,
    /// Largest number of machines and attempts that one placement pass examined.
    pub max_examined_per_pass: u64,
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

    /// Records a placement pass that placed this number of tasks, and examined this number of
    /// machines and attempts.
    pub(crate) fn record_pass(&mut self, placements: usize, examined: u64) {
        self.passes += 1;
        self.max_placements_per_pass = self.max_placements_per_pass.max(placements);
        self.max_examined_per_pass = self.max_examined_per_pass.max(examined);
    }
}
