//! Evidence on whether a machine receives this leader's replies.
//!
//! Reachability can differ by direction. Arriving heartbeats show that the machine reaches
//! the leader, but not that replies reach the machine. Their contents give evidence of that.
//! Evidence against delivery is a term that was sent and not adopted, a start whose task is
//! not shown, a stop that was not carried out, or a session that ended although it was
//! answered. One such sign makes delivery doubtful: no new task starts on the machine until
//! it shows an effect of a reply. Otherwise a machine that receives no replies would stay
//! empty, and would therefore be chosen for task after task.

/// What a message shows about the delivery of earlier replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A reply had an effect, or the machine answered a direct call.
    Delivered,
    /// Part of an earlier reply had no effect, so the reply may not have arrived.
    Undelivered,
    /// The message shows neither.
    Neutral,
}

/// Combines all evidence of one message. A single effect of a reply proves delivery.
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

/// A worker that gets no response within this many seconds tries another controller.
pub(crate) const ANSWER_TIMEOUT_S: f64 = 4.0;

/// Number of consecutive signs of missing delivery from which on an unfenced machine is no
/// longer answered. Each reply may renew the machine's lease, and placement cannot begin
/// while a lease may have been renewed. A single reply can be lost by chance.
const UNREACHABLE_MIN_UNDELIVERED: u32 = 2;

/// Tracks the delivery of this leader's replies to one machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delivery {
    /// Number of consecutive signs that replies did not arrive.
    undelivered: u32,
    /// When delivery became doubtful; `None` if it is not doubtful.
    doubtful_since: Option<f64>,
    /// The present session was answered and has not yet shown that a reply arrived.
    awaiting_effect: bool,
    /// Highest term in a reply to the machine so far.
    pub highest_sent_term: u64,
}

impl Delivery {
    /// Records that a reply with this term is sent to the machine.
    pub fn answered(&mut self, term: u64) {
        self.highest_sent_term = self.highest_sent_term.max(term);
        self.awaiting_effect = true;
    }

    /// Records the evidence of a newer message.
    pub fn message_received(&mut self, evidence: Evidence, now: f64) {
        match evidence {
            Evidence::Delivered => {
                *self = Delivery {
                    highest_sent_term: self.highest_sent_term,
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

    /// Records that the next heartbeat came `interval_s` seconds after the previous message.
    /// If that is less than the time-out of the worker, the worker must have received the
    /// reply to its previous heartbeat.
    pub fn next_heartbeat_after(&mut self, interval_s: f64) {
        if interval_s < ANSWER_TIMEOUT_S {
            self.awaiting_effect = false;
        }
    }

    /// Records that a newer session began. Returns whether the previous session was answered
    /// but ended without having shown that a reply arrived.
    pub fn session_ended(&mut self) -> bool {
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

    /// Whether the machine is considered unreachable, so that it need not be answered.
    pub fn is_unreachable(&self) -> bool {
        self.undelivered >= UNREACHABLE_MIN_UNDELIVERED
    }
}
