//! Whether users should be sent here. A controller that the state service does not
//! answer can accept, cancel and call done nothing, and users stay with whom the load
//! balancer gave them: then it must say so. But the load balancer takes its time to
//! come back, the longer the more often that happened, so in an outage for all
//! nobody says so: it helps no user, and delays everyone when it is over.

/// What a controller knows of its contact to the state service.
#[derive(Debug, Default, Clone, Copy)]
pub struct Readiness {
    /// Since when there is contact without a gap.
    contact_since: f64,
    /// Users are sent elsewhere.
    not_ready: bool,
}

/// What the other controllers say of their contact.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PeerContacts {
    /// How many there are.
    pub all: usize,
    /// With contact for some time.
    pub with_contact: usize,
    /// Without, by their own word.
    pub without_contact: usize,
}

impl PeerContacts {
    /// Whether this looks like an outage for all: nobody has contact, and most
    /// controllers say so. (Two that are cut off together must not take each other's
    /// word for it.)
    fn is_outage(&self) -> bool {
        self.with_contact == 0 && 2 * (self.without_contact + 1) > self.all + 1
    }
}

impl Readiness {
    /// Time passes: contact was last had at `contact_at`; without it for longer than
    /// `patience_s`, `peers` decide. Whether users are sent elsewhere now, or not any
    /// more, if that changed.
    pub fn step(
        &mut self,
        now: f64,
        contact_at: f64,
        patience_s: f64,
        peers: Option<PeerContacts>,
    ) -> Option<bool> {
        let gap_s = now - contact_at;
        if gap_s > patience_s / 2.0 {
            self.contact_since = now;
        }
        let before = self.not_ready;
        if gap_s > patience_s {
            if let Some(peers) = peers {
                self.not_ready = !peers.is_outage();
            }
        } else if self.contact_for(now) > patience_s {
            self.not_ready = false;
        }
        (self.not_ready != before).then_some(self.not_ready)
    }

    /// For how long there has been contact without a gap.
    pub fn contact_for(&self, now: f64) -> f64 {
        now - self.contact_since
    }

    /// Whether users are sent elsewhere.
    pub fn is_not_ready(&self) -> bool {
        self.not_ready
    }
}
