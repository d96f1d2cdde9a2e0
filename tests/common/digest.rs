//! A digest of the history of a simulation. Two versions of the program that make the same
//! decisions produce the same digest for the same seed. Simulations print their digests, so
//! that the sources after a refactoring can be compared with the sources before it (see
//! `CONTRIBUTING.md`).

/// The 64-bit FNV-1a hash of the events of one history, in order.
#[derive(Debug, Clone)]
pub struct HistoryDigest(u64);

impl Default for HistoryDigest {
    fn default() -> HistoryDigest {
        HistoryDigest(0xcbf2_9ce4_8422_2325)
    }
}

impl HistoryDigest {
    /// Adds bytes, such as a message in its wire format. The wire format does not depend on the
    /// identifiers in the sources, so renaming them does not change the digest.
    pub fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Adds a number, such as a kind of event, an index or a term.
    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    /// Adds a time, in seconds.
    pub fn time(&mut self, seconds: f64) {
        self.number(seconds.to_bits());
    }

    /// Prints the digest, with the names of the simulation and the seed that produced it.
    pub fn print(&self, simulation: &str, seed: u64) {
        println!("digest {simulation} {seed} {:016x}", self.0);
    }
}
