//! Which troubles coincided. A draw that never brings a coincidence about shows nothing.

use super::*;

/// Troubles that coincide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Meeting {
    /// A start on a machine whose heartbeats reach no leader.
    StartWithoutHeartbeats,
    /// A cancellation of a job whose last task had ended and was not written yet.
    CancelAtEnd,
    /// A cancellation while the leader stood still or its takeover was not over.
    CancelAtTakeover,
    /// A cancelled task that was on a machine that hung, or whose heartbeats were lost.
    CancelOnLostMachine,
    /// The same while every team was at its limit and the leader changed.
    CancelAtLimits,
    /// Completed tasks, or the machine record, written while the answer was lost.
    CompletionsAnswerLost,
    RecordAnswerLost,
    /// Completed tasks that came late: after newer ones, and when nothing was newer.
    CompletionsLateRefused,
    CompletionsLateWritten,
    /// A start on a machine that came within the last few seconds, and a leader that ended
    /// while the record of such a machine was not written.
    StartOnNewMachine,
    LeaderEndsBeforeRecord,
    /// An old heartbeat that a new leader got before any other of its machine, one of an
    /// earlier session, and one that shows a task which is gone.
    OldHeartbeatFirst,
    OldHeartbeatOfEarlierSession,
    OldHeartbeatOfGoneTask,
    /// Jobs of two or three tasks of which some have ended and some run as the leader changes.
    EndsFarApart,
    /// Tasks with long to go on machines that are lost or unreachable, as the leader changes.
    LeaderEndsWithLostTasks,
    /// A start that was held up for seconds, given up by its sender, and carried out.
    HeldStart,
    /// A heartbeat that a former leader partitioned with its zone answered longer than a lease after
    /// the takeover.
    AnsweredInPartitionedZone,
    /// A start of a task that is bound to one zone, to its fellows or away from them, and one
    /// that was on a machine which was lost.
    BoundStart,
    BoundJobLosesMachine,
    /// Machines whose lease ended because no leader answered anyone for longer than that.
    NobodyForALease,
}

/// Every meeting that each run of many seeds must bring about.
pub(crate) const MEETINGS: [Meeting; 21] = [
    Meeting::StartWithoutHeartbeats,
    Meeting::CancelAtEnd,
    Meeting::CancelAtTakeover,
    Meeting::CancelOnLostMachine,
    Meeting::CancelAtLimits,
    Meeting::CompletionsAnswerLost,
    Meeting::RecordAnswerLost,
    Meeting::CompletionsLateRefused,
    Meeting::CompletionsLateWritten,
    Meeting::StartOnNewMachine,
    Meeting::LeaderEndsBeforeRecord,
    Meeting::OldHeartbeatFirst,
    Meeting::OldHeartbeatOfEarlierSession,
    Meeting::OldHeartbeatOfGoneTask,
    Meeting::EndsFarApart,
    Meeting::LeaderEndsWithLostTasks,
    Meeting::HeldStart,
    Meeting::AnsweredInPartitionedZone,
    Meeting::BoundStart,
    Meeting::BoundJobLosesMachine,
    Meeting::NobodyForALease,
];

/// What a run met.
#[derive(Default, Debug)]
pub(crate) struct MeetingCounts {
    pub(crate) counts: BTreeMap<Meeting, usize>,
    /// For each cancelled job that had tasks on machines, how long after the answer the
    /// last of them was gone.
    pub(crate) gone_s: BTreeMap<String, f64>,
}

impl MeetingCounts {
    pub(crate) fn add(&mut self, meeting: Meeting, times: usize) {
        *self.counts.entry(meeting).or_default() += times;
    }
}
