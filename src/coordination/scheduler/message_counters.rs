//! Counts of the messages between the leader and its machines. They tell what it costs to rule out
//! late copies of direct starts by higher fencing tokens.

/// Numbers of messages and of fencing tokens since this controller took over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MessageCounters {
    /// Heartbeats received.
    pub heartbeats: u64,
    /// Direct calls made.
    pub direct_calls: u64,
    /// Starts sent in direct calls.
    pub direct_starts: u64,
    /// Direct calls that a machine rejected.
    pub rejected_calls: u64,
    /// Answers to heartbeats that raised the token of their machine.
    pub raised_tokens: u64,
}

impl MessageCounters {
    /// The counts with their names, as they are exported.
    pub fn named(&self) -> [(&'static str, u64); 5] {
        [
            ("heartbeats", self.heartbeats),
            ("direct_calls", self.direct_calls),
            ("direct_starts", self.direct_starts),
            ("rejected_calls", self.rejected_calls),
            ("raised_tokens", self.raised_tokens),
        ]
    }
}
