//! What is known of one job, and what an answer adds to it; pure. Answers come in any order,
//! twice, and from controllers that are behind; a terminal status stays.

use crate::job::{Cancelled, JobId, Key, Outcome, Refused, Submitted, Told};
use foxspur_wire::job::JobState;
use serde::{Deserialize, Serialize};

/// How far a job has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Not known to be accepted.
    Waiting,
    /// Accepted; its state as last seen.
    Accepted(JobState),
    /// Refused for good.
    Refused(Refused),
    /// Over, with its terminal status.
    Final(Outcome),
}

/// One job of the outbox.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its id.
    pub id: JobId,
    /// The caller's key for it.
    pub key: Key,
    /// The submission as it goes over the wire, the same each time.
    pub body: String,
    /// How far it has come.
    pub phase: Phase,
    /// The caller wants it cancelled.
    pub cancel: bool,
    /// When it was queued, in milliseconds of the time of day.
    pub queued_ms: u64,
    /// When it was over.
    pub closed_ms: Option<u64>,
}

/// What a controller said about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// 201 to a submission.
    Created,
    /// 200 to a submission or a query.
    State(JobState),
    /// 400 or 422 to a submission.
    Refused(Refused),
    /// 404 to a query or a cancellation.
    NotFound,
}

/// What an answer meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// It says what is to be written.
    News,
    /// Nothing that is not known, or an older state.
    Nothing,
    /// It contradicts what was told before, which stays.
    Contradiction(&'static str),
}

impl Record {
    /// A job that was just queued.
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

    /// Whether nothing more is to be asked about it.
    pub fn closed(&self) -> bool {
        matches!(self.phase, Phase::Refused(_) | Phase::Final(_))
    }

    /// Takes in an answer; what it meant.
    pub fn hear(&mut self, heard: &Heard, now_ms: u64) -> Meaning {
        let last = |state: JobState| match state {
            JobState::Done => Some(Outcome::Done),
            JobState::Cancelled => Some(Outcome::Withdrawn),
            JobState::Pending | JobState::Running => None,
        };
        let next = match (&self.phase, heard) {
            (Phase::Final(known), Heard::State(state)) => {
                // A controller that is behind may say less, none may say else.
                return match last(*state) {
                    Some(outcome) if outcome != *known => {
                        Meaning::Contradiction("another final answer")
                    }
                    _ => Meaning::Nothing,
                };
            }
            (Phase::Final(_), Heard::Created) => {
                return Meaning::Contradiction("accepted after it was over");
            }
            (Phase::Final(_) | Phase::Accepted(_), Heard::Refused(_)) => {
                return Meaning::Contradiction("refused after it was accepted");
            }
            (Phase::Final(_) | Phase::Accepted(_), Heard::NotFound) => {
                return Meaning::Contradiction("not found after it was accepted");
            }
            (Phase::Refused(_), Heard::Created | Heard::State(_)) => {
                return Meaning::Contradiction("accepted after it was refused");
            }
            // The submission may still be on its way: a 404 tells nothing.
            (Phase::Waiting, Heard::NotFound) | (Phase::Refused(_), _) => {
                return Meaning::Nothing;
            }
            (Phase::Waiting, Heard::Refused(why)) => Phase::Refused(why.clone()),
            (Phase::Waiting, Heard::Created) => Phase::Accepted(JobState::Pending),
            (Phase::Accepted(_), Heard::Created) => return Meaning::Nothing,
            (_, Heard::State(state)) => match last(*state) {
                Some(outcome) => Phase::Final(outcome),
                None => Phase::Accepted(*state),
            },
        };
        if next == self.phase {
            return Meaning::Nothing;
        }
        self.phase = next;
        if self.closed() {
            self.closed_ms = Some(now_ms);
        }
        Meaning::News
    }

    /// What a caller of `outcome` is told.
    pub fn told(&self) -> Told {
        match &self.phase {
            Phase::Waiting => Told::NotKnownYet,
            Phase::Accepted(state) => Told::Open(*state),
            Phase::Refused(why) => Told::Refused(why.clone()),
            Phase::Final(outcome) => Told::Final(*outcome),
        }
    }

    /// What a caller of `submit` is told; `fresh` if this call's own attempt was
    /// the one that was accepted.
    pub fn submitted(&self, fresh: bool) -> Submitted {
        match &self.phase {
            Phase::Waiting => Submitted::NotKnownYet(self.id),
            Phase::Refused(why) => Submitted::Refused(self.id, why.clone()),
            Phase::Accepted(_) | Phase::Final(_) if fresh => Submitted::Accepted(self.id),
            Phase::Accepted(_) | Phase::Final(_) => Submitted::KnownAlready(self.id),
        }
    }

    /// What a caller of `cancel` is told.
    pub fn cancelled(&self) -> Cancelled {
        match &self.phase {
            Phase::Final(Outcome::Withdrawn) => Cancelled::Withdrawn,
            Phase::Final(Outcome::Done) => Cancelled::DoneAlready,
            Phase::Refused(why) => Cancelled::NeverWas(why.clone()),
            Phase::Waiting | Phase::Accepted(_) => Cancelled::NotKnownYet,
        }
    }
}
