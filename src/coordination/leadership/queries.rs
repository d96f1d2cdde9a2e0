//! Plain data types for the queries that a leader sends to its peers, the other controllers,
//! and for their answers.

/// When each kind of query was last sent to the peers.
#[derive(Debug)]
pub(super) struct QueryTimes {
    pub(super) lease_extension: f64,
    pub(super) promise: f64,
    pub(super) cancellations: f64,
}

impl Default for QueryTimes {
    fn default() -> QueryTimes {
        QueryTimes {
            lease_extension: f64::NEG_INFINITY,
            promise: f64::NEG_INFINITY,
            cancellations: f64::NEG_INFINITY,
        }
    }
}

/// A peer's positive answer to a query.
#[derive(Debug, Clone, Copy)]
pub struct PeerAnswer<'a> {
    /// The term of the query.
    pub term: u64,
    /// The peer's name.
    pub peer: &'a str,
    /// When the query was sent, in seconds by our clock.
    pub asked_at: f64,
    /// When the answer arrived, in seconds by our clock.
    pub received_at: f64,
}

/// A query that asks peers to promise never to extend an earlier leader's lease.
#[derive(Debug, Clone, PartialEq)]
pub struct PromiseQuery {
    /// The term of the takeover.
    pub term: u64,
    /// The peers that have not promised yet.
    pub missing_peers: Vec<String>,
}

/// A query that asks all peers which cancellations they confirmed to users.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CancellationQuery {
    /// The term under which we act.
    pub term: u64,
    /// How far back the peers' reports must reach, in seconds.
    pub lookback_s: f64,
}
