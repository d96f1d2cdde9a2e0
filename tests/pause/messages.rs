//! The requests of controllers and users to the state service, and its responses.

use foxspur::coordination::leadership::lease::AliveKeyWrite;
use foxspur::coordination::leadership::shard_update::ShardUpdate;
use foxspur::coordination::leadership::takeover::TakeoverAttempt;
use foxspur::protocol::state::Entry;
use foxspur_testbed::store::Logged;
use std::collections::BTreeSet;

/// A controller's request to the state service.
#[derive(Clone)]
pub(crate) enum Request {
    Grant,
    WriteAliveKey(AliveKeyWrite),
    /// Read the controller's own alive key, after a write found a version other than expected.
    ReadOwnAliveKey,
    Renew {
        lease: u64,
        asked_at: f64,
    },
    Revoke(u64),
    TakeOver(Box<TakeoverAttempt>),
    UpdateShard(Box<ShardUpdate>),
    /// Read the shard record; `ReadLeaderAliveKey` follows if another controller leads.
    ReadShard,
    ReadLeaderAliveKey {
        leader: String,
        shard_version: u64,
    },
    ListControlPrefix,
    /// Wait for changes of the control prefix after this revision.
    WatchControlPrefix(u64),
    /// Write a user's cancellation of this job.
    Cancel(u64),
    /// Read whether the job is cancelled, for a user's poll, repeated submission or repeated
    /// cancellation.
    Poll(u64),
    /// Read all cancellations that are written.
    WatchJobs {
        asked_at: f64,
    },
}

pub(crate) enum Response {
    Lease(u64),
    /// The request was carried out, at this version; 0 if the simulation needs no version.
    Done(u64),
    Conflict,
    NoLease,
    Entry(Option<Entry>),
    /// All entries, and the revision of the listing.
    Listed(Vec<Entry>, u64),
    /// The changes up to a revision, and this revision.
    Changes(Vec<Logged>, u64),
    CancelledJobs(BTreeSet<u64>),
    /// The request was refused or timed out. A request that timed out may have been carried out,
    /// or may still be carried out later.
    None,
}

impl Request {
    /// The kind of write; `None` if the request is not a write.
    pub(crate) fn kind_of_write(&self) -> Option<&'static str> {
        match self {
            Request::Grant => Some("lease"),
            Request::WriteAliveKey(_) => Some("alive key"),
            Request::Renew { .. } => Some("renewal"),
            Request::Revoke(_) => Some("revocation"),
            Request::TakeOver(_) => Some("takeover"),
            Request::UpdateShard(update) if update.raises_term() => Some("raised term"),
            Request::UpdateShard(_) => Some("rewritten shard record"),
            Request::Cancel(_) => Some("cancellation"),
            _ => None,
        }
    }
}
