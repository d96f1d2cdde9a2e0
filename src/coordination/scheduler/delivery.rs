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
    Heeded,
    /// Something we told it in an earlier answer had no effect.
    Unheeded,
    /// Neither.
    Nothing,
}

/// All that one message says: a single thing that was carried out is proof.
#[derive(Debug, Default)]
pub struct EvidenceSummary {
    heeded: bool,
    unheeded: bool,
}

impl EvidenceSummary {
    /// One more.
    pub fn note(&mut self, sign: Evidence) {
        self.heeded |= sign == Evidence::Heeded;
        self.unheeded |= sign == Evidence::Unheeded;
    }

    /// What they come to.
    pub fn sum(&self) -> Evidence {
        match (self.heeded, self.unheeded) {
            (true, _) => Evidence::Heeded,
            (false, true) => Evidence::Unheeded,
            (false, false) => Evidence::Nothing,
        }
    }
}

/// A worker without an answer for this long goes on to another controller.
pub(crate) const PATIENCE_S: f64 = 4.0;

/// What is known of a machine's hearing.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delivery {
    /// Signs in a row that it does not hear.
    unheeded: u32,
    /// Since when it is in doubt.
    since: Option<f64>,
    /// It was answered in this session, and showed nothing of it yet.
    unproven: bool,
    /// Highest term that an answer told it.
    pub told: u64,
}

/// Signs in a row after which a machine that did not report under our term is not
/// answered any more: each answer may have renewed its lease, and while one may
/// have, the whole share waits for it. One answer can be lost by chance.
const IN_VAIN: u32 = 2;

impl Delivery {
    /// An answer with this term goes out to it.
    pub fn answered(&mut self, term: u64) {
        self.told = self.told.max(term);
        self.unproven = true;
    }

    /// A newer message came.
    pub fn heard(&mut self, sign: Evidence, now: f64) {
        match sign {
            Evidence::Heeded => {
                *self = Delivery {
                    told: self.told,
                    ..Delivery::default()
                }
            }
            Evidence::Unheeded => {
                self.unheeded += 1;
                self.since.get_or_insert(now);
            }
            Evidence::Nothing => {}
        }
    }

    /// It reports again after this time. Sooner than it would have given the last
    /// report up it must have had the answer.
    pub fn stays(&mut self, after_s: f64) {
        if after_s < PATIENCE_S {
            self.unproven = false;
        }
    }

    /// A newer session began; whether the one before ended although it had been
    /// answered and had shown nothing of it.
    pub fn session_over(&mut self) -> bool {
        std::mem::take(&mut self.unproven)
    }

    /// Whether nothing new may start on it.
    pub fn doubted(&self) -> bool {
        self.since.is_some()
    }

    /// For how long it has been in doubt.
    pub fn doubted_s(&self, now: f64) -> Option<f64> {
        self.since.map(|t| now - t)
    }

    /// Whether answers to it are in vain.
    pub fn in_vain(&self) -> bool {
        self.unheeded >= IN_VAIN
    }
}
