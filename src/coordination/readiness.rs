//! Readiness: whether the load balancer should send users to this controller.
//!
//! A controller that gets no answers from the state service can neither accept nor cancel jobs,
//! nor report them as done. Users stay with the controller to which the load balancer assigned
//! them, so this controller must report that it is not ready.
//!
//! After a controller was not ready, the load balancer waits before it sends users there again,
//! and the wait grows each time. In an outage that affects all controllers, they therefore
//! continue to report that they are ready: reporting otherwise would help no user, and would delay
//! all users when the outage is over.

/// The readiness of a controller, which depends on its contact with the state service.
#[derive(Debug, Default, Clone, Copy)]
pub struct Readiness {
    /// Time of the last gap in the contact, in seconds of [`crate::coordination::node::Node::now`].
    /// A gap is a time without contact that is longer than half of the timeout.
    contact_since: f64,
    /// Whether users should be sent to other controllers.
    not_ready: bool,
}

/// What the other controllers report about their contact with the state service.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PeerContacts {
    /// Number of other controllers.
    pub peers: usize,
    /// Number of other controllers that have had contact without a gap for longer than the timeout.
    pub with_contact: usize,
    /// Number of other controllers that answered that they have no contact or have regained contact
    /// only recently.
    pub without_contact: usize,
}

impl PeerContacts {
    /// Whether this looks like an outage that affects all controllers: no controller is known to
    /// have contact, and a majority, which includes this controller, is known to have none. A
    /// majority is required because two controllers that a partition separates from the others
    /// must not conclude from each other's answers that all controllers are affected.
    fn is_outage(&self) -> bool {
        // This controller has no contact either.
        let controllers = self.peers + 1;
        let without_contact = self.without_contact + 1;
        self.with_contact == 0 && 2 * without_contact > controllers
    }
}

impl Readiness {
    /// Updates the readiness at the time `now`. The state service last answered at `contact_at`;
    /// both times are in seconds. If the last answer is more than `timeout_s` seconds old, the
    /// contacts of the `peers` decide; without them (`None`) the readiness stays as it is.
    ///
    /// Returns `Some(true)` if this controller has become not ready, `Some(false)` if it has become
    /// ready, and `None` if its readiness has not changed.
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
        let was_not_ready = self.not_ready;
        if gap_s > timeout_s {
            if let Some(peers) = peers {
                self.not_ready = !peers.is_outage();
            }
        } else if self.contact_duration_s(now) > timeout_s {
            self.not_ready = false;
        }
        (self.not_ready != was_not_ready).then_some(self.not_ready)
    }

    /// How long there has been contact without a gap, in seconds.
    pub fn contact_duration_s(&self, now: f64) -> f64 {
        now - self.contact_since
    }

    /// Whether users should be sent to other controllers.
    pub fn is_not_ready(&self) -> bool {
        self.not_ready
    }
}
