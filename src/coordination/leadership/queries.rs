//! The queries that a leader sends to the other controllers, and their answers, as values.

/// When the peers were last asked.
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
    /// The term under which it was asked.
    pub term: u64,
    /// Its name.
    pub peer: &'a str,
    /// When it was asked, by our clock.
    pub asked_at: f64,
    /// When the answer came, by our clock.
    pub received_at: f64,
}

/// Ask these peers for promises.
#[derive(Debug, Clone, PartialEq)]
pub struct PromiseQuery {
    /// The term of the takeover.
    pub term: u64,
    /// The peers that have not promised yet.
    pub missing_peers: Vec<String>,
}

/// Ask all peers which cancellations they confirmed to users.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CancellationQuery {
    /// The term under which we act.
    pub term: u64,
    /// Over how many seconds the peers must look back.
    pub lookback_s: f64,
}
