//! Evidence on whether a machine receives this leader's replies.
//!
//! Reachability can differ by direction. Arriving heartbeats show that the machine reaches
//! the leader, but not that replies reach the machine. Whether replies arrive must be inferred
//! from the contents of the heartbeats. Evidence against delivery is a term that was sent and
//! not adopted, a start whose task is not reported, a stop that was not carried out, or a
//! session that ended although its heartbeats were answered. One piece of such evidence makes
//! delivery doubtful: no new task starts on the machine until a message shows an effect of a
//! reply. Otherwise a machine that receives no replies would stay empty, and would therefore
//! be chosen for one task after another.

/// What a message shows about the delivery of earlier replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A reply had an effect, or the machine answered a direct call.
    Delivered,
    /// Part of an earlier reply had no effect, so the reply may not have arrived.
    Undelivered,
    /// The message is evidence neither for nor against delivery.
    Neutral,
}

/// Combines all evidence from one message. A single effect of a reply proves delivery, so it
/// outweighs all evidence against delivery in the same message.
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

    /// The combined evidence.
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

/// Time-out of a worker, in seconds. A worker that gets no response within this time tries
/// another controller.
pub(crate) const ANSWER_TIMEOUT_S: f64 = 4.0;

/// Minimum number of consecutive messages with evidence against delivery after which a machine
/// is considered unreachable. Heartbeats of an unfenced, unreachable machine are no longer
/// answered: each reply may renew the machine's lease, and placement cannot begin while the
/// lease may last. One message is not enough, since a single reply can be lost by chance.
const UNREACHABLE_MIN_UNDELIVERED: u32 = 2;

/// Tracks the delivery of this leader's replies to one machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delivery {
    /// Number of messages with evidence against delivery since the latest evidence of delivery.
    undelivered: u32,
    /// When delivery became doubtful; `None` if it is not doubtful.
    doubtful_since: Option<f64>,
    /// A heartbeat of the present session was answered, and no message has shown since that a
    /// reply arrived.
    awaiting_effect: bool,
    /// Highest fencing token in a reply to the machine so far.
    pub highest_sent_token: u64,
}

impl Delivery {
    /// Records that a reply with this fencing token is sent to the machine.
    pub fn record_reply(&mut self, token: u64) {
        self.highest_sent_token = self.highest_sent_token.max(token);
        self.awaiting_effect = true;
    }

    /// Records the evidence from a message that is newer than all earlier messages.
    pub fn record_evidence(&mut self, evidence: Evidence, now: f64) {
        match evidence {
            Evidence::Delivered => {
                *self = Delivery {
                    highest_sent_token: self.highest_sent_token,
                    ..Delivery::default()
                }
            }
            Evidence::Undelivered => {
                self.undelivered += 1;
                self.doubtful_since.get_or_insert(now);
            }
            Evidence::Neutral => {}
        }
    }

    /// Records that a heartbeat arrived `interval_s` seconds after the previous message. If this
    /// interval is shorter than the time-out of the worker, the worker must have received the
    /// reply to its previous heartbeat.
    pub fn record_heartbeat_interval(&mut self, interval_s: f64) {
        if interval_s < ANSWER_TIMEOUT_S {
            self.awaiting_effect = false;
        }
    }

    /// Records that a newer session began. Returns true if heartbeats of the previous session
    /// were answered, but the session ended without evidence that a reply arrived.
    pub fn record_session_end(&mut self) -> bool {
        std::mem::take(&mut self.awaiting_effect)
    }

    /// Whether delivery is doubtful, so that no new task may start on the machine.
    pub fn is_doubtful(&self) -> bool {
        self.doubtful_since.is_some()
    }

    /// For how many seconds delivery has been doubtful; `None` if it is not doubtful.
    pub fn doubtful_for(&self, now: f64) -> Option<f64> {
        self.doubtful_since.map(|since| now - since)
    }

    /// Whether the machine is considered unreachable. Heartbeats of an unreachable machine that is
    /// not fenced are no longer answered, so that the machine's lease expires.
    pub fn is_unreachable(&self) -> bool {
        self.undelivered >= UNREACHABLE_MIN_UNDELIVERED
    }
}
