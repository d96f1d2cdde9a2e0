//! Answers to users, case by case; tests/answers.rs looks for the cases that are not here.

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

/// Guards against an acceptance told long after it was recorded: the job was repeated,
/// accepted and cancelled elsewhere, or here, while its first answer was held up.
#[test]
fn an_acceptance_that_was_held_up_is_looked_up_again() {
    // How long the answer is held up, where the job is cancelled, what is told then.
    for (held_ms, cancelled_at, told) in [
        (800, 1, "withdrawn"),
        (300, 0, "withdrawn"),
        (300, 1, "pending"),
    ] {
        block_on(async {
            let (cluster, controllers) = Cluster::start(1, 3).await;
            let held = Duration::from_millis(held_ms);
            cluster.hold_next.set(Some(held));
            let submission = submission(1);
            let first = controllers[0].call(Method::POST, "/work", &submission);
            let others = async {
                sleep(held / 4).await;
                let repeated = controllers[1].call(Method::POST, "/work", &submission);
                assert_eq!(repeated.await.0, 200);
                let path = format!("/work/{}/cancel", id(1));
                let cancelled = controllers[cancelled_at].call(Method::POST, &path, "");
                assert_eq!(cancelled.await.0, 200);
            };
            let ((status, body), ()) = tokio::join!(first, others);
            let body = String::from_utf8_lossy(&body);
            assert!(
                body.contains(told),
                "{held_ms} ms, at {cancelled_at}: {status} {body}"
            );
        });
    }
}

/// The leader hears of a cancellation before the user is told, though its watch says
/// nothing, also where the cancellation was recorded before and its answer lost; a leader
/// that cannot be reached does not keep the user waiting for long.
#[test]
fn a_leader_hears_of_a_cancellation_before_its_user_is_told() {
    for (reachable, recorded) in [(true, false), (false, false), (true, true)] {
        block_on(async {
            let (cluster, controllers) = Cluster::start(1, 3).await;
            let mut scheduler = scheduler(vec![team("vision", 8.0, 16.0)], 1, &["m-0"]);
            let record = live(spec(&id(1), "vision", Urgency::Standard, 2, 1.0), 0.0);
            let txn = Txn::default().put(&records::live_key(&id(1)), &record);
            let version = cluster.store.borrow_mut().apply(&txn).expect("free");
            scheduler.add_job(record, version, CompletedTasks::default());
            *controllers[0].node.scheduler.borrow_mut() = Some(scheduler);
            if recorded {
                let last = TerminalRecord {
                    state: JobState::Cancelled,
                    tasks: 2,
                    done: 0,
                };
                let txn = Txn::default().delete(&records::live_key(&id(1)));
                let txn = txn.put(&records::terminal_key(&id(1)), &last);
                cluster.store.borrow_mut().apply(&txn).expect("recorded");
            }
            cluster.unreachable.set((!reachable).then_some(0));
            let begun = Instant::now();
            let path = format!("/work/{}/cancel", id(1));
            let (status, _) = controllers[1].call(Method::POST, &path, "").await;
            assert_eq!(status, 200);
            assert!(begun.elapsed() < MAX_READ_AGE, "{:?}", begun.elapsed());
            let scheduler = controllers[0].node.scheduler.borrow();
            let over = scheduler.as_ref().map(|c| c.jobs[id(1).as_str()].finished);
            assert_eq!(over, Some(reachable));
        });
    }
}
