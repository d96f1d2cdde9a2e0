//! The state machine of one job: what is known of it, and how a controller's answer changes that.
//! It does no I/O. Answers may arrive in any order, more than once, and from controllers whose
//! state is out of date. A final status never changes.

use crate::job::{Cancelled, JobId, Key, Outcome, Refused, Submitted, Told};
use foxspur_wire::job::JobState;
use serde::{Deserialize, Serialize};

/// Phase of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Not known to be accepted or refused.
    Waiting,
    /// Accepted, with the state that was last reported.
    Accepted(JobState),
    /// Refused permanently.
    Refused(Refused),
    /// Closed with a final status.
    Final(Outcome),
}

/// One job in the outbox.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its id.
    pub id: JobId,
    /// The caller's key for it.
    pub key: Key,
    /// The body of the submission. Every attempt sends the same bytes.
    pub body: String,
    /// Its phase.
    pub phase: Phase,
    /// Whether the caller has asked to cancel it.
    pub cancel: bool,
    /// When it was queued, in milliseconds of Unix time.
    pub queued_ms: u64,
    /// When it was refused or reached its final status, in milliseconds of Unix time.
    pub closed_ms: Option<u64>,
}

/// A controller's conclusive answer about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConclusiveAnswer {
    /// 201 to a submission.
    Created,
    /// 200 to a submission or a query.
    State(JobState),
    /// 400 or 422 to a submission.
    Refused(Refused),
    /// 404 to a query or a cancellation.
    NotFound,
}

/// How an answer relates to what was known before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEffect {
    /// The answer changed the record, which is to be stored.
    Changed,
    /// The answer adds nothing, or reports an older state.
    Nothing,
    /// The answer contradicts what was known before. The record is not changed.
    Contradiction(&'static str),
}

impl Record {
    /// Creates the record of a new job.
    pub fn new(id: JobId, key: Key, body: String, now_ms: u64) -> Record {
        Record {
            id,
            key,
            body,
            phase: Phase::Waiting,
            cancel: false,
            queued_ms: now_ms,
            closed_ms: None,
        }
    }

    /// Whether the job is refused or has its final status, so that no more requests are needed.
    pub fn closed(&self) -> bool {
        matches!(self.phase, Phase::Refused(_) | Phase::Final(_))
    }

    /// Applies an answer to the record, and returns how it relates to what was known.
    pub fn apply_answer(&mut self, answer: &ConclusiveAnswer, now_ms: u64) -> AnswerEffect {
        let outcome_of = |state: JobState| match state {
            JobState::Done => Some(Outcome::Done),
            JobState::Cancelled => Some(Outcome::Withdrawn),
            JobState::Pending | JobState::Running => None,
        };
        let next = match (&self.phase, answer) {
            (Phase::Final(known), ConclusiveAnswer::State(state)) => {
                // A controller with older state may report that the job is not closed yet, but no
                // controller may report another final status.
                return match outcome_of(*state) {
                    Some(outcome) if outcome != *known => {
                        AnswerEffect::Contradiction("another final status")
                    }
                    _ => AnswerEffect::Nothing,
                };
            }
            (Phase::Final(_), ConclusiveAnswer::Created) => {
                return AnswerEffect::Contradiction("accepted after its final status");
            }
            (Phase::Final(_) | Phase::Accepted(_), ConclusiveAnswer::Refused(_)) => {
                return AnswerEffect::Contradiction("refused after it was accepted");
            }
            (Phase::Final(_) | Phase::Accepted(_), ConclusiveAnswer::NotFound) => {
                return AnswerEffect::Contradiction("not found after it was accepted");
            }
            (Phase::Refused(_), ConclusiveAnswer::Created | ConclusiveAnswer::State(_)) => {
                return AnswerEffect::Contradiction("accepted after it was refused");
            }
            // A 404 is not conclusive while the submission may still be on its way.
            (Phase::Waiting, ConclusiveAnswer::NotFound) | (Phase::Refused(_), _) => {
                return AnswerEffect::Nothing;
            }
            (Phase::Waiting, ConclusiveAnswer::Refused(refusal)) => Phase::Refused(refusal.clone()),
            (Phase::Waiting, ConclusiveAnswer::Created) => Phase::Accepted(JobState::Pending),
            (Phase::Accepted(_), ConclusiveAnswer::Created) => return AnswerEffect::Nothing,
            (_, ConclusiveAnswer::State(state)) => match outcome_of(*state) {
                Some(outcome) => Phase::Final(outcome),
                None => Phase::Accepted(*state),
            },
        };
        if next == self.phase {
            return AnswerEffect::Nothing;
        }
        self.phase = next;
        if self.closed() {
            self.closed_ms = Some(now_ms);
        }
        AnswerEffect::Changed
    }

    /// The result of `Client::outcome`.
    pub fn told(&self) -> Told {
        match &self.phase {
            Phase::Waiting => Told::NotKnownYet,
            Phase::Accepted(state) => Told::Open(*state),
            Phase::Refused(refusal) => Told::Refused(refusal.clone()),
            Phase::Final(outcome) => Told::Final(*outcome),
        }
    }

    /// The result of `Client::submit`. `fresh` means that an attempt of this call was the one that
    /// was accepted.
    pub fn submitted(&self, fresh: bool) -> Submitted {
        match &self.phase {
            Phase::Waiting => Submitted::NotKnownYet(self.id),
            Phase::Refused(refusal) => Submitted::Refused(self.id, refusal.clone()),
            Phase::Accepted(_) | Phase::Final(_) if fresh => Submitted::Accepted(self.id),
            Phase::Accepted(_) | Phase::Final(_) => Submitted::KnownAlready(self.id),
        }
    }

    /// The result of `Client::cancel`.
    pub fn cancelled(&self) -> Cancelled {
        match &self.phase {
            Phase::Final(Outcome::Withdrawn) => Cancelled::Withdrawn,
            Phase::Final(Outcome::Done) => Cancelled::DoneAlready,
            Phase::Refused(refusal) => Cancelled::NeverWas(refusal.clone()),
            Phase::Waiting | Phase::Accepted(_) => Cancelled::NotKnownYet,
        }
    }
}
