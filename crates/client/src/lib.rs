//! A client library that submits jobs to foxspur reliably over an unreliable connection. Jobs are
//! kept in a durable outbox, failed requests are retried within a budget, and all jobs are polled
//! on one schedule.
//!
//! - [`Client::submit`] reports for each job whether it was *accepted*, was *known already*, was
//!   *refused*, or is *not known yet*. It reports only what a controller has answered.
//! - [`Client::outcome`] reports a job's final status later: done or withdrawn. A job has exactly
//!   one final status.
//! - [`Client::cancel`] cancels a job and reports the result.
//!
//! The caller gives each job a key, which identifies the job permanently. After a crash at any
//! point, the same call with the same key continues with the same job id and the same body.
//!
//! ```
//! use foxspur_client::{Client, Key, Outbox, Settings, Submitted, Work};
//! use std::time::Duration;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! // Nothing listens on this port, so the job's state is not known yet.
//! let settings = Settings::new(["http://127.0.0.1:9"]);
//! let client = Client::with_outbox(settings, Outbox::in_memory()?)?;
//! let spec = serde_json::from_str(r#"{
//!     "name_id": "run-0", "queue": "reminder-fanout", "owner": "gateway-ops",
//!     "shape": "sweep", "urgency": "standard", "shards": 28, "cpus": 2.0, "cards": 0.0,
//!     "memory_gb": 3.5, "bundle": "img-07", "image_gb": 1.5, "together": false,
//!     "scatter": false, "standby": true, "expected_s": 50.0, "save_every_s": 0.0,
//!     "save_cost_s": 0.0}"#)?;
//! let key = Key::new("evening-batch-2026-12-01/clinic-7")?;
//! let submitted = client
//!     .submit(vec![Work { key, spec }], Duration::from_millis(50))
//!     .await?;
//! assert!(matches!(submitted[0], Ok(Submitted::NotKnownYet(_))));
//! # Ok(())
//! # }
//! ```

pub mod blocking;
mod client;
mod engine;
pub mod fronts;
mod job;
mod measure;
pub mod outbox;
pub mod pace;
pub mod record;
pub mod schedule;
mod settings;
pub mod transport;
pub mod verdict;

pub use client::{AskError, Client, StartError};
pub use job::{BadKey, Cancelled, JobId, Key, Outcome, Refused, Submitted, Told, Work};
pub use outbox::{KeyTaken, NotQueued, Outbox, OutboxError};
pub use settings::{BadSetting, Settings};
