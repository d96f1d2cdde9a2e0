//! Consistency of the answers to users in specific cases. `tests/answers.rs` searches for further
//! cases with random scenarios.

mod common;
mod simulated;

use actix_web::http::Method;
use common::*;
use foxspur::coordination::jobs::lookup::MAX_READ_AGE;
use foxspur::protocol::job::{JobState, Urgency};
use foxspur::protocol::state::Txn;
use foxspur::storage::completed_tasks::CompletedTasks;
use foxspur::storage::records::{self, TerminalRecord};
use simulated::users::{id, submission};
use simulated::{block_on, Cluster};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Guards against an outdated acceptance. The state service's response to the first submission is
/// delayed. Meanwhile the job is submitted again and accepted at another controller, and cancelled
/// there or at the first one.
#[test]
fn a_delayed_acceptance_is_looked_up_again() {
    // Delay of the response, controller that cancels the job, state in the delayed answer. A delay
    // of 300 ms is below `MAX_READ_AGE`, so the answer may still be `pending` if the job was
    // cancelled at another controller.
    for (delay_ms, cancelling_controller, expected_state) in [
        (800, 1, "withdrawn"),
        (300, 0, "withdrawn"),
        (300, 1, "pending"),
    ] {
        block_on(async {
            let (cluster, controllers) = Cluster::start(1, 3).await;
            let delay = Duration::from_millis(delay_ms);
            cluster.delay_next_transaction.set(Some(delay));
            let submission = submission(1);
            let first = controllers[0].call(Method::POST, "/work", &submission);
            let other_requests = async {
                sleep(delay / 4).await;
                let repeated = controllers[1].call(Method::POST, "/work", &submission);
                assert_eq!(repeated.await.0, 200);
                let path = format!("/work/{}/cancel", id(1));
                let cancelled = controllers[cancelling_controller].call(Method::POST, &path, "");
                assert_eq!(cancelled.await.0, 200);
            };
            let ((status, body), ()) = tokio::join!(first, other_requests);
            let body = String::from_utf8_lossy(&body);
            assert!(
                body.contains(expected_state),
                "delay of {delay_ms} ms, cancelled at {cancelling_controller}: {status} {body}"
            );
        });
    }
}

/// Guards against a leader that keeps running a job after its user was told that it is cancelled.
/// The leader's watch reports nothing in this test. Therefore the controller that cancels must
/// notify the leader before it answers the user, also if an earlier attempt recorded the
/// cancellation and the answer of that attempt was lost. An
/// unreachable leader must not delay the answer for long.
#[test]
fn the_leader_is_notified_of_a_cancellation_before_the_user_is_answered() {
    for (reachable, recorded) in [(true, false), (false, false), (true, true)] {
        block_on(async {
            let (cluster, controllers) = Cluster::start(1, 3).await;
            let mut scheduler = scheduler(vec![team("vision", 8.0, 16.0)], 1, &["m-0"]);
            let record = live(spec(&id(1), "vision", Urgency::Standard, 2, 1.0), 0.0);
            let txn = Txn::default().put(&records::live_key(&id(1)), &record);
            let version = cluster
                .store
                .borrow_mut()
                .apply(&txn)
                .expect("a transaction without conditions");
            scheduler.add_job(record, version, CompletedTasks::default());
            *controllers[0].node.scheduler.borrow_mut() = Some(scheduler);
            if recorded {
                let terminal = TerminalRecord {
                    state: JobState::Cancelled,
                    tasks: 2,
                    done: 0,
                };
                let txn = Txn::default().delete(&records::live_key(&id(1)));
                let txn = txn.put(&records::terminal_key(&id(1)), &terminal);
                cluster
                    .store
                    .borrow_mut()
                    .apply(&txn)
                    .expect("a transaction without conditions");
            }
            cluster
                .unreachable_controller
                .set((!reachable).then_some(0));
            let started_at = Instant::now();
            let path = format!("/work/{}/cancel", id(1));
            let (status, _) = controllers[1].call(Method::POST, &path, "").await;
            assert_eq!(status, 200);
            let elapsed = started_at.elapsed();
            assert!(elapsed < MAX_READ_AGE, "{elapsed:?}");
            let scheduler = controllers[0].node.scheduler.borrow();
            let finished = scheduler.as_ref().map(|s| s.jobs[id(1).as_str()].finished);
            assert_eq!(finished, Some(reachable));
        });
    }
}
