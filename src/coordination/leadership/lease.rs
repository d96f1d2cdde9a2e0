//! Our lease in the state service and the alive key on it: which request the lease loop
//! sends next, and what follows from the responses.

use crate::coordination::leadership::state::{AliveKey, Leadership};
use crate::protocol::state::{Entry, Txn};
use crate::storage::records::{self, AliveRecord};

/// A write of our alive key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AliveKeyWrite {
    /// The lease on which the key is put.
    pub lease: u64,
    /// The incarnation to write.
    pub incarnation: u64,
    /// The key's version that is replaced (0: the key does not exist).
    pub expected_version: u64,
}

impl AliveKeyWrite {
    /// The transaction that writes the alive key of the controller `host`.
    pub fn txn(&self, host: &str) -> Txn {
        records::write_alive(host, self.incarnation, self.lease, self.expected_version)
    }
}

/// What the lease loop should do next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LeaseStep {
    /// Get a lease from the state service.
    Grant,
    /// Write our alive key on the lease.
    WriteAliveKey(AliveKeyWrite),
    /// Renew this lease.
    Renew(u64),
    /// Revoke this lease, since we resigned.
    Revoke(u64),
    /// We resigned: nothing until another controller took over, or a while passed.
    Wait,
}

impl Leadership {
    /// What the lease loop should do next.
    pub fn next_lease_step(&self, now: f64) -> LeaseStep {
        let yields = self.has_resigned(now) && !self.others_lead();
        match (self.lease, yields) {
            (Some(lease), true) => LeaseStep::Revoke(lease),
            (None, true) => LeaseStep::Wait,
            (None, false) => LeaseStep::Grant,
            (Some(lease), false) if self.alive_key_stands(lease) => LeaseStep::Renew(lease),
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

    /// Whether our alive key was written on this lease by this incarnation, and nothing was
    /// written over it.
    ///
    /// Guards against a write of an earlier incarnation that came late, over ours: others
    /// would wait for a leader that is no more.
    fn alive_key_stands(&self, lease: u64) -> bool {
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

    /// The state service granted this lease.
    pub fn lease_granted(&mut self, lease: u64) {
        self.lease = Some(lease);
    }

    /// The lease expired, or was revoked by us.
    pub fn lease_ended(&mut self, lease: u64) {
        if self.lease == Some(lease) {
            self.lease = None;
            self.alive_key = None;
            self.view.alive.remove(&self.config.host);
        }
    }

    /// Our alive key as it was read, after it was not the one that we wanted to replace. An
    /// older response does no harm: what is written is conditional on its version.
    pub fn alive_key_read(&mut self, found: Option<&Entry>) {
        self.view.alive.remove(&self.config.host);
        if let Some(entry) = found {
            // One that this version of the program cannot read is replaced all the same.
            let incarnation = entry
                .read::<AliveRecord>()
                .map_or(0, |alive| alive.incarnation);
            let host = self.config.host.clone();
            self.view.see_alive(host, incarnation, entry.version);
        }
    }

    /// Our alive key was written at `version`.
    pub fn alive_key_written(&mut self, write: AliveKeyWrite, version: u64) {
        if self.lease == Some(write.lease) {
            self.alive_key = Some(AliveKey {
                lease: write.lease,
                incarnation: write.incarnation,
                version,
            });
            let host = self.config.host.clone();
            self.view.see_alive(host, write.incarnation, version);
        }
    }

    /// The lease was alive some time after `asked_at`. While it lives nobody can take the
    /// shard over, if it is the lease under which the shard was made ours: a later one says
    /// nothing, another controller may have been faster.
    pub fn lease_renewed(&mut self, lease: u64, asked_at: f64) {
        if self.leader_term.is_some() && self.confirmed_lease == Some(lease) {
            self.confirmed_at = self.confirmed_at.max(asked_at);
        }
    }
}
