//! One plain answer for every job submitted to foxspur, whatever the connection
//! does: a durable outbox, retries within a budget, polls on one schedule.
//!
//! - [`Client::submit`] tells of each job whether it was *accepted*, *known
//!   already*, *refused*, or is *not known yet*; it never guesses.
//! - [`Client::outcome`] tells, later, its one final answer: done or withdrawn.
//! - [`Client::cancel`] likewise.
//!
//! The caller's own key names a job for ever: after a crash at any point the same
//! call with the same key goes on with the same id and the same body.
//!
//! ```
//! use foxspur_client::{Client, Key, Outbox, Settings, Submitted, Work};
//! use std::time::Duration;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! // Nobody listens there: the answer is that there is none yet.
//! let settings = Settings::new(["http://127.0.0.1:9"]);
//! let client = Client::with_outbox(settings, Outbox::in_memory()?)?;
//! let spec = serde_json::from_str(r#"{
//!     "name_id": "run-0", "queue": "reminder-fanout", "owner": "gateway-ops",
//!     "shape": "sweep", "urgency": "standard", "shards": 28, "cpus": 2.0, "cards": 0.0,
//!     "memory_gb": 3.5, "bundle": "img-07", "image_gb": 1.5, "together": false,
//!     "scatter": false, "standby": true, "expected_s": 50.0, "save_every_s": 0.0,
//!     "save_cost_s": 0.0}"#)?;
//! let key = Key::new("evening-batch-2026-12-01/clinic-7")?;
//! let told = client
//!     .submit(vec![Work { key, spec }], Duration::from_millis(50))
//!     .await?;
//! assert!(matches!(told[0], Ok(Submitted::NotKnownYet(_))));
//! # Ok(())
//! # }
//! ```

pub mod agenda;
pub mod blocking;
mod client;
mod engine;
pub mod fronts;
mod job;
mod measure;
pub mod outbox;
pub mod pace;
pub mod record;
mod settings;
pub mod transport;
pub mod verdict;

pub use client::{AskError, Client, StartError};
pub use job::{BadKey, Cancelled, JobId, Key, Outcome, Refused, Submitted, Told, Work};
pub use outbox::{KeyTaken, NotQueued, Outbox, OutboxError};
pub use settings::{BadSetting, Settings};
