//! The requests of controllers and users to the state service, and its responses.

use foxspur::coordination::leadership::lease::AliveKeyWrite;
use foxspur::coordination::leadership::shard_update::ShardUpdate;
use foxspur::coordination::leadership::takeover::TakeoverAttempt;
use foxspur::protocol::state::Entry;
use foxspur_testbed::store::Logged;
use std::collections::BTreeSet;

/// What a controller asked the state service for.
#[derive(Clone)]
pub(crate) enum Request {
    Grant,
    WriteAliveKey(AliveKeyWrite),
    /// Our own alive key, after it was not the one to replace.
    ReadOwnAliveKey,
    Renew {
        lease: u64,
        asked_at: f64,
    },
    Revoke(u64),
    TakeOver(Box<TakeoverAttempt>),
    UpdateShard(Box<ShardUpdate>),
    /// The shard record and its leader's alive key, one after the other.
    ReadShard,
    ReadLeaderAliveKey {
        leader: String,
        shard_version: u64,
    },
    ListControlPrefix,
    /// The changes of the control prefix since this revision.
    WatchControlPrefix(u64),
    /// A user's cancellation.
    Cancel(u64),
    /// A poll, a repeated submission or a repeated cancellation: it finds what stands.
    Poll(u64),
    /// All cancellations written.
    WatchJobs {
        asked_at: f64,
    },
}

pub(crate) enum Response {
    Lease(u64),
    /// Carried out, at this version.
    Done(u64),
    Conflict,
    NoLease,
    Entry(Option<Entry>),
    /// All entries, and the revision of the listing.
    Listed(Vec<Entry>, u64),
    /// What changed, and the revision up to which these are all changes.
    Changes(Vec<Logged>, u64),
    CancelledJobs(BTreeSet<u64>),
    /// Refused, or timed out: the request may have been carried out, or may be later.
    None,
}

impl Request {
    /// What kind of write it is, if it is one.
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
