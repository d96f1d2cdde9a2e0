//! Evidence on whether a machine receives our replies.
//!
//! Reachability differs by direction: that heartbeats arrive shows that the machine reaches
//! us, and nothing of the way back. Evidence on the way back is in what the heartbeats say:
//! a term that was sent and not adopted, a start that is not shown, a stop that was not
//! carried out, a session that ended although it was answered. One such sign makes delivery
//! doubtful: no new task starts on the machine until it shows an effect of a reply. Without
//! this, a machine that receives nothing looks emptier than all others, and attracts task
//! after task.

/// What a newer message says about the delivery of our earlier replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A reply had an effect, or the machine answered a call: it receives us.
    Delivered,
    /// Something that an earlier reply said had no effect: it may not receive us.
    Undelivered,
    /// The message says nothing either way.
    Neutral,
}

/// The evidence of one message, combined: a single effect of a reply proves delivery.
#[derive(Debug, Default)]
pub struct EvidenceSummary {
    delivered: bool,
    undelivered: bool,
}

impl EvidenceSummary {
    /// Adds one piece of evidence.
    pub fn add(&mut self, evidence: Evidence) {
        self.delivered |= evidence == Evidence::Delivered;
        self.undelivered |= evidence == Evidence::Undelivered;
    }

    /// What all of it amounts to.
    pub fn conclusion(&self) -> Evidence {
        if self.delivered {
            Evidence::Delivered
        } else if self.undelivered {
            Evidence::Undelivered
        } else {
            Evidence::Neutral
        }
    }
}

/// A worker without an answer for this many seconds tries another controller.
pub(crate) const ANSWER_TIMEOUT_S: f64 = 4.0;

/// Consecutive signs of missing delivery after which a machine that has not been fenced is
/// not answered any more: each answer may have renewed its lease, and as long as one may
/// have, no placement begins. One answer can be lost by chance.
const MAX_UNDELIVERED: u32 = 2;

/// What is known of the delivery of our replies to one machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delivery {
    /// Consecutive signs that replies did not arrive.
    undelivered: u32,
    /// Since when delivery is doubtful.
    doubted_since: Option<f64>,
    /// The present session was answered, and has shown no effect of a reply yet.
    unconfirmed: bool,
    /// Highest term that a reply told it.
    pub told_term: u64,
}

impl Delivery {
    /// A reply with this term is sent to the machine.
    pub fn answered(&mut self, term: u64) {
        self.told_term = self.told_term.max(term);
        self.unconfirmed = true;
    }

    /// A newer message arrived with this evidence.
    pub fn message_received(&mut self, evidence: Evidence, now: f64) {
        match evidence {
            Evidence::Delivered => {
                *self = Delivery {
                    told_term: self.told_term,
                    ..Delivery::default()
                }
            }
            Evidence::Undelivered => {
                self.undelivered += 1;
                self.doubted_since.get_or_insert(now);
            }
            Evidence::Neutral => {}
        }
    }

    /// The next heartbeat came after this many seconds. If that is sooner than a worker
    /// gives up waiting, it must have received the reply to the previous one.
    pub fn next_heartbeat_after(&mut self, after_s: f64) {
        if after_s < ANSWER_TIMEOUT_S {
            self.unconfirmed = false;
        }
    }

    /// A newer session began. Returns whether the previous one ended although it had been
    /// answered and had shown no effect of that.
    pub fn session_ended(&mut self) -> bool {
        std::mem::take(&mut self.unconfirmed)
    }

    /// Whether delivery is doubtful, so that no new task may start on the machine.
    pub fn is_doubtful(&self) -> bool {
        self.doubted_since.is_some()
    }

    /// For how many seconds delivery has been doubtful.
    pub fn doubtful_for(&self, now: f64) -> Option<f64> {
        self.doubted_since.map(|since| now - since)
    }

    /// Whether the machine is considered unreachable from here, so that answers are
    /// pointless.
    pub fn is_unreachable(&self) -> bool {
        self.undelivered >= MAX_UNDELIVERED
    }
}
