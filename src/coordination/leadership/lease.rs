//! This controller's lease in the state service and the alive key attached to it: which
//! request the lease loop sends next, and how the responses change the state.

use crate::coordination::leadership::state::{AliveKey, Leadership};
use crate::protocol::state::{Entry, Txn};
use crate::storage::records::{self, AliveRecord};

/// A write of our alive key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AliveKeyWrite {
    /// The lease to which the key is attached.
    pub lease: u64,
    /// The incarnation to write.
    pub incarnation: u64,
    /// The version of the key that the write replaces (0: the key does not exist).
    pub expected_version: u64,
}

impl AliveKeyWrite {
    /// The transaction that writes the alive key of the controller `host`.
    pub fn txn(&self, host: &str) -> Txn {
        records::alive_txn(host, self.incarnation, self.lease, self.expected_version)
    }
}

/// What the lease loop should do next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseStep {
    /// Get a lease from the state service.
    Grant,
    /// Write our alive key, attached to the lease.
    WriteAliveKey(AliveKeyWrite),
    /// Renew this lease.
    Renew(u64),
    /// Revoke this lease, since we resigned.
    Revoke(u64),
    /// Do nothing: we resigned less than the duration of a worker's lease ago, and no other
    /// controller has taken over yet.
    Wait,
}

impl Leadership {
    /// What the lease loop should do next.
    pub fn next_lease_step(&self, now: f64) -> LeaseStep {
        let leaves_shard_to_others = self.has_resigned(now) && !self.another_controller_leads();
        match (self.lease, leaves_shard_to_others) {
            (Some(lease), true) => LeaseStep::Revoke(lease),
            (None, true) => LeaseStep::Wait,
            (None, false) => LeaseStep::Grant,
            (Some(lease), false) if self.alive_key_is_current(lease) => LeaseStep::Renew(lease),
            (Some(lease), false) => LeaseStep::WriteAliveKey(AliveKeyWrite {
                lease,
                incarnation: self.incarnation,
                expected_version: self
                    .view
                    .alive
                    .get(&self.config.host)
                    .map_or(0, |(_, version)| *version),
            }),
        }
    }

    /// Whether this incarnation wrote our alive key under this lease, and no other incarnation
    /// has overwritten it.
    ///
    /// A delayed write of an earlier incarnation can overwrite the key. The other controllers
    /// would then wait for a leader that no longer exists.
    fn alive_key_is_current(&self, lease: u64) -> bool {
        let Some(key) = self.own_alive_key().filter(|key| key.lease == lease) else {
            return false;
        };
        let seen = self.view.alive.get(&self.config.host);
        !seen.is_some_and(|(incarnation, version)| {
            *version > key.version && *incarnation != self.incarnation
        })
    }

    /// Our alive key, if this incarnation wrote it.
    pub(super) fn own_alive_key(&self) -> Option<AliveKey> {
        self.alive_key
            .filter(|key| key.incarnation == self.incarnation)
    }

    /// Records that the state service granted this lease.
    pub fn lease_granted(&mut self, lease: u64) {
        self.lease = Some(lease);
    }

    /// Records that the lease expired or that we revoked it.
    pub fn lease_ended(&mut self, lease: u64) {
        if self.lease == Some(lease) {
            self.lease = None;
            self.alive_key = None;
            self.view.alive.remove(&self.config.host);
        }
    }

    /// Records that our alive key was read again, because a write found another version than
    /// expected; `entry` is `None` if the key does not exist. An outdated response does no harm:
    /// the next write is conditional on the version that was read.
    pub fn alive_key_read(&mut self, entry: Option<&Entry>) {
        self.view.alive.remove(&self.config.host);
        if let Some(entry) = entry {
            // A value that this version of the program cannot read is replaced as well.
            let incarnation = entry
                .read::<AliveRecord>()
                .map_or(0, |alive| alive.incarnation);
            let host = self.config.host.clone();
            self.view.update_alive_key(host, incarnation, entry.version);
        }
    }

    /// Records that our alive key was written at `version`.
    pub fn alive_key_written(&mut self, write: AliveKeyWrite, version: u64) {
        if self.lease == Some(write.lease) {
            self.alive_key = Some(AliveKey {
                lease: write.lease,
                incarnation: write.incarnation,
                version,
            });
            let host = self.config.host.clone();
            self.view.update_alive_key(host, write.incarnation, version);
        }
    }

    /// Records that the lease was renewed by a request sent at `asked_at`, so that it was alive
    /// at some time after the request. While `confirmed_lease` is alive, no other controller can
    /// take the shard over. The renewal of a newer lease proves nothing: another controller may
    /// have taken over before the newer lease was granted.
    pub fn lease_renewed(&mut self, lease: u64, asked_at: f64) {
        if self.leader_term.is_some() && self.confirmed_lease == Some(lease) {
            self.confirmed_at = self.confirmed_at.max(asked_at);
        }
    }
}
