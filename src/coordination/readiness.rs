//! Readiness: whether the load balancer should send users to this controller. A controller
//! that the state service does not answer can neither accept nor cancel jobs, nor call them
//! done, and users stay with the controller that the load balancer gave them: then it must
//! say that it is not ready. But the load balancer takes its time to come back, the longer
//! the more often that happened, so in an outage for all no controller says so: it helps no
//! user, and delays everyone when it is over.

/// What a controller knows of its contact to the state service.
#[derive(Debug, Default, Clone, Copy)]
pub struct Readiness {
    /// Since when there is contact without a gap.
    contact_since: f64,
    /// Users are sent elsewhere.
    not_ready: bool,
}

/// What the other controllers say of their contact to the state service.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PeerContacts {
    /// How many other controllers there are.
    pub all: usize,
    /// How many have had contact for some time.
    pub with_contact: usize,
    /// How many answered that they have none.
    pub without_contact: usize,
}

impl PeerContacts {
    /// Whether this looks like an outage for all: nobody has contact, and a majority of the
    /// controllers says so. (Two that are cut off together must not take each other's word
    /// for it.)
    fn is_outage(&self) -> bool {
        let controllers = self.all + 1;
        let without_contact = self.without_contact + 1;
        self.with_contact == 0 && 2 * without_contact > controllers
    }
}

impl Readiness {
    /// Time passes. The state service last answered at `contact_at`; without an answer for
    /// longer than `timeout_s` the contacts of the `peers` decide, if they were asked. If
    /// the readiness changed: whether users are sent elsewhere now.
    pub fn update(
        &mut self,
        now: f64,
        contact_at: f64,
        timeout_s: f64,
        peers: Option<PeerContacts>,
    ) -> Option<bool> {
        let gap_s = now - contact_at;
        if gap_s > timeout_s / 2.0 {
            self.contact_since = now;
        }
        let before = self.not_ready;
        if gap_s > timeout_s {
            if let Some(peers) = peers {
                self.not_ready = !peers.is_outage();
            }
        } else if self.contact_for(now) > timeout_s {
            self.not_ready = false;
        }
        (self.not_ready != before).then_some(self.not_ready)
    }

    /// For how long there has been contact without a gap, in seconds.
    pub fn contact_for(&self, now: f64) -> f64 {
        now - self.contact_since
    }

    /// Whether users are sent elsewhere.
    pub fn is_not_ready(&self) -> bool {
        self.not_ready
    }
}
