//! Whether a machine hears us. That its reports arrive is no proof: a network may
//! let one direction through. Evidence is in what the reports say: a term that was
//! told and not taken, a start that is not there, a stop that was not carried out,
//! a session that ended although it was answered. One such sign puts a machine in
//! doubt: nothing new starts on it until it shows that it hears. Without this a
//! deaf machine is the emptiest of all, and draws task after task.

/// What a newer message says of our earlier answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Something we told was carried out, or it answered a call.
    Delivered,
    /// Something we told it in an earlier answer had no effect.
    Undelivered,
    /// Neither.
    Neutral,
}

/// All that one message says: a single thing that was carried out is proof.
#[derive(Debug, Default)]
pub struct EvidenceSummary {
    delivered: bool,
    undelivered: bool,
}

impl EvidenceSummary {
    /// One more.
    pub fn note(&mut self, sign: Evidence) {
        self.delivered |= sign == Evidence::Delivered;
        self.undelivered |= sign == Evidence::Undelivered;
    }

    /// What they come to.
    pub fn conclusion(&self) -> Evidence {
        match (self.delivered, self.undelivered) {
            (true, _) => Evidence::Delivered,
            (false, true) => Evidence::Undelivered,
            (false, false) => Evidence::Neutral,
        }
    }
}

/// A worker without an answer for this long goes on to another controller.
pub(crate) const PATIENCE_S: f64 = 4.0;

/// What is known of a machine's hearing.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delivery {
    /// Signs in a row that it does not hear.
    undelivered: u32,
    /// Since when it is in doubt.
    doubted_since: Option<f64>,
    /// It was answered in this session, and showed nothing of it yet.
    unconfirmed: bool,
    /// Highest term that an answer told it.
    pub told_term: u64,
}

/// Signs in a row after which a machine that did not report under our term is not
/// answered any more: each answer may have renewed its lease, and while one may
/// have, the whole share waits for it. One answer can be lost by chance.
const IN_VAIN: u32 = 2;

impl Delivery {
    /// An answer with this term goes out to it.
    pub fn answered(&mut self, term: u64) {
        self.told_term = self.told_term.max(term);
        self.unconfirmed = true;
    }

    /// A newer message came.
    pub fn message_received(&mut self, sign: Evidence, now: f64) {
        match sign {
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

    /// It reports again after this time. Sooner than it would have given the last
    /// report up it must have had the answer.
    pub fn next_heartbeat_after(&mut self, after_s: f64) {
        if after_s < PATIENCE_S {
            self.unconfirmed = false;
        }
    }

    /// A newer session began; whether the one before ended although it had been
    /// answered and had shown nothing of it.
    pub fn session_ended(&mut self) -> bool {
        std::mem::take(&mut self.unconfirmed)
    }

    /// Whether nothing new may start on it.
    pub fn is_doubted(&self) -> bool {
        self.doubted_since.is_some()
    }

    /// For how long it has been in doubt.
    pub fn doubted_for(&self, now: f64) -> Option<f64> {
        self.doubted_since.map(|t| now - t)
    }

    /// Whether answers to it are in vain.
    pub fn is_given_up(&self) -> bool {
        self.undelivered >= IN_VAIN
    }
}
