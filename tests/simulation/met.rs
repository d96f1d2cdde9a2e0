//! Which troubles met: a draw that never brings one about shows nothing.

use super::*;

/// Troubles that meet: a draw that never brings one about shows nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Meeting {
    /// A start on a machine that reaches no owner.
    MuteStart,
    /// A cancellation of a job whose last task had ended and was not written yet.
    CancelAtEnd,
    /// A cancellation while the owner stood still or its takeover was not over.
    CancelAtTakeover,
    /// A cancelled task that was on a machine that hung, or was mute.
    CancelOnLostMachine,
    /// The same while every team was at its limit and the owner changed.
    CancelAtLimits,
    /// Done marks, or the machine record, written while the answer was lost.
    MarksAnswerLost,
    RecordAnswerLost,
    /// Done marks that came late: after newer ones, and when nothing was newer.
    MarksLateRefused,
    MarksLateWritten,
    /// A start on a machine that came within the last few seconds, and an owner that ended
    /// while the record of such a machine was not written.
    StartOnNewMachine,
    OwnerEndsBeforeRecord,
    /// An old report that a new owner got before any other of its machine, one of an
    /// earlier session, and one that shows a task which is gone.
    OldReportFirst,
    OldReportOfEarlierSession,
    OldReportOfGoneTask,
    /// Jobs of two or three tasks of which some have ended and some run as the owner changes.
    EndsFarApart,
    /// Tasks with long to go on machines that are lost, or do not hear, as the owner changes.
    OwnerEndsWithLostTasks,
    /// A start that was held up for seconds, given up by its sender, and carried out.
    HeldStart,
    /// A report that a former owner cut off with its zone answered longer than a lease after
    /// the takeover.
    AnsweredInCutZone,
    /// A start of a task that is bound to one zone, to its fellows or away from them, and one
    /// that was on a machine which was lost.
    BoundStart,
    BoundJobLosesMachine,
    /// Machines whose lease ended because no owner answered anyone for longer than that.
    NobodyForALease,
}

/// Every meeting that each run of many seeds must bring about.
pub(crate) const MEETINGS: [Meeting; 21] = [
    Meeting::MuteStart,
    Meeting::CancelAtEnd,
    Meeting::CancelAtTakeover,
    Meeting::CancelOnLostMachine,
    Meeting::CancelAtLimits,
    Meeting::MarksAnswerLost,
    Meeting::RecordAnswerLost,
    Meeting::MarksLateRefused,
    Meeting::MarksLateWritten,
    Meeting::StartOnNewMachine,
    Meeting::OwnerEndsBeforeRecord,
    Meeting::OldReportFirst,
    Meeting::OldReportOfEarlierSession,
    Meeting::OldReportOfGoneTask,
    Meeting::EndsFarApart,
    Meeting::OwnerEndsWithLostTasks,
    Meeting::HeldStart,
    Meeting::AnsweredInCutZone,
    Meeting::BoundStart,
    Meeting::BoundJobLosesMachine,
    Meeting::NobodyForALease,
];

/// What a day met.
#[derive(Default, Debug)]
pub(crate) struct Met {
    pub(crate) counts: BTreeMap<Meeting, usize>,
    /// For each cancelled job that had tasks on machines, how long after the answer the
    /// last of them was gone.
    pub(crate) gone_s: BTreeMap<String, f64>,
}

impl Met {
    pub(crate) fn add(&mut self, meeting: Meeting, times: usize) {
        *self.counts.entry(meeting).or_default() += times;
    }
}
