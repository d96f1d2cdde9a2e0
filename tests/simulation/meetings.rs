//! Counts the coincidences of a run: combinations of faults and requests that the simulation must
//! exercise. A run in which a coincidence never occurs does not test the scheduler under it.

use super::*;

/// A coincidence is a combination of events or states that is rare but must be covered by the
/// simulation, such as a cancellation of a job while the leader changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Coincidence {
    /// A start on a machine whose heartbeats reach no leader.
    StartWithoutHeartbeats,
    /// A cancellation of a job whose tasks had all exited, but whose completion was not written
    /// yet.
    CancelAtJobEnd,
    /// A cancellation while `Simulation::is_leader_changing` held.
    CancelAtTakeover,
    /// A cancelled task on a machine that hung, that was partitioned, or whose heartbeats were
    /// lost.
    CancelOnUnresponsiveMachine,
    /// A cancelled task on such an unresponsive machine, while every team was at its limit and
    /// `Simulation::is_leader_changing` held.
    CancelAtLimits,
    /// A write of completed tasks whose answer was lost.
    CompletionsAnswerLost,
    /// A write of the machine record whose answer was lost.
    MachineRecordAnswerLost,
    /// A delayed write of completed tasks that arrived after a newer write.
    LateCompletionsRefused,
    /// A delayed write of completed tasks that arrived before any newer write.
    LateCompletionsWritten,
    /// A start on a machine that came up within the last few seconds.
    StartOnNewMachine,
    /// A leader that ended before the machine record listed a new machine.
    LeaderEndsBeforeMachineRecord,
    /// An old heartbeat that a new leader received before any other heartbeat of the same machine.
    OldHeartbeatFirst,
    /// An old heartbeat of an earlier session.
    OldHeartbeatOfEarlierSession,
    /// An old heartbeat that shows a task which is no longer on the machine.
    OldHeartbeatOfGoneTask,
    /// A job of two or three tasks, some completed and some on machines, at a takeover.
    PartlyCompletedJobAtTakeover,
    /// A task with a long remaining run time on an unresponsive or unreachable machine, at a
    /// takeover.
    UnresponsiveTasksAtTakeover,
    /// A start that was executed after its direct call had timed out.
    DelayedStart,
    /// A heartbeat that a former leader, partitioned together with its zone, answered more than
    /// a lease after the takeover.
    AnsweredInPartitionedZone,
    /// A start of a task whose job has a zone constraint.
    ConstrainedStart,
    /// A task whose job has a zone constraint and whose machine's session ended.
    ConstrainedJobLosesMachine,
    /// A machine whose lease ended because no leader answered any heartbeat for a lease.
    NoLeaderForALease,
}

/// All coincidences, each of which must occur in a run over many seeds.
pub(crate) const COINCIDENCES: [Coincidence; 21] = [
    Coincidence::StartWithoutHeartbeats,
    Coincidence::CancelAtJobEnd,
    Coincidence::CancelAtTakeover,
    Coincidence::CancelOnUnresponsiveMachine,
    Coincidence::CancelAtLimits,
    Coincidence::CompletionsAnswerLost,
    Coincidence::MachineRecordAnswerLost,
    Coincidence::LateCompletionsRefused,
    Coincidence::LateCompletionsWritten,
    Coincidence::StartOnNewMachine,
    Coincidence::LeaderEndsBeforeMachineRecord,
    Coincidence::OldHeartbeatFirst,
    Coincidence::OldHeartbeatOfEarlierSession,
    Coincidence::OldHeartbeatOfGoneTask,
    Coincidence::PartlyCompletedJobAtTakeover,
    Coincidence::UnresponsiveTasksAtTakeover,
    Coincidence::DelayedStart,
    Coincidence::AnsweredInPartitionedZone,
    Coincidence::ConstrainedStart,
    Coincidence::ConstrainedJobLosesMachine,
    Coincidence::NoLeaderForALease,
];

/// The number of times that each coincidence occurred in a run.
#[derive(Default, Debug)]
pub(crate) struct CoincidenceCounts {
    pub(crate) counts: BTreeMap<Coincidence, usize>,
    /// For each cancelled job that had tasks on machines, the time from the cancellation to the
    /// last step at which one of its tasks was live, in seconds.
    pub(crate) cancelled_job_removal_s: BTreeMap<String, f64>,
}

impl CoincidenceCounts {
    pub(crate) fn add(&mut self, coincidence: Coincidence, times: usize) {
        *self.counts.entry(coincidence).or_default() += times;
    }
}
