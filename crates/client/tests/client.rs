//! Tests of the client against a simulated cluster with paused time: what callers are told when
//! requests are lost, delayed, rejected or answered from out-of-date state.

mod support;

use foxspur_client::{
    AskError, Cancelled, Client, NotQueued, Outbox, OutboxError, Outcome, Submitted, Told,
};
use std::future::Future;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use support::*;
use tokio::time::Instant;

fn in_memory_outbox() -> Outbox {
    Outbox::in_memory().unwrap()
}

async fn submit_one(client: &Client, key: &str, within_s: u64) -> Submitted {
    let results = client.submit(vec![work(key, "t")], secs(within_s)).await;
    results.unwrap().pop().unwrap().unwrap()
}

/// Guards against a submission that is carried out twice or reported wrongly because its first
/// request was lost, delayed or rejected, or because its answer was lost.
#[tokio::test(start_paused = true)]
async fn submission_creates_one_job_whatever_the_delivery() {
    // (Delivery of the first request, expected report, submissions that are carried out)
    let cases = [
        (Delivery::Normal, "accepted", 1),
        (Delivery::Lost, "accepted", 1),
        // The connection breaks after acceptance and before the answer.
        (Delivery::AnswerLost, "known", 2),
        // A retry is sent while the first request is still on its way to another controller.
        (Delivery::Delayed(900), "known", 2),
        (Delivery::Delayed(40_000), "accepted", 2),
        (Delivery::Hangs, "accepted", 1),
        (Delivery::Rejected(503, Some(2)), "accepted", 1),
        (Delivery::Rejected(429, None), "accepted", 1),
        (Delivery::Rejected(502, None), "accepted", 1),
        (Delivery::Slow(3_000), "accepted", 1),
    ];
    for (first, expected, submissions) in cases {
        let cluster = Cluster::new(move |state, _, _| match state.requests.is_empty() {
            true => first,
            false => Delivery::Normal,
        });
        let client = client(&cluster, 3, in_memory_outbox());
        let submitted = submit_one(&client, "batch/1", 30).await;
        let found = match &submitted {
            Submitted::Accepted(_) => "accepted",
            Submitted::KnownAlready(_) => "known",
            other => panic!("{first:?}: {other:?}"),
        };
        assert_eq!(found, expected, "{first:?}");
        tokio::time::sleep(secs(60)).await;
        let job = cluster.job(&submitted.id().to_string()).unwrap();
        assert_eq!(job.submissions, submissions, "{first:?}");
        assert_eq!(cluster.state.lock().unwrap().jobs.len(), 1);
        let outcome = client.outcome(submitted.id(), secs(1)).await;
        assert_eq!(outcome, Ok(Told::Final(Outcome::Done)), "{first:?}");
    }
}

/// Guards against a key that names two jobs, because the same key was submitted again or with
/// another body, and against further requests for jobs that are refused or closed.
#[tokio::test(start_paused = true)]
async fn a_key_identifies_one_job() {
    let cluster = Cluster::new(|_, _, _| Delivery::Normal);
    let client = client(&cluster, 1, in_memory_outbox());
    let first = submit_one(&client, "a", 5).await;
    assert!(matches!(first, Submitted::Accepted(_)));
    assert_eq!(
        submit_one(&client, "a", 5).await,
        Submitted::KnownAlready(first.id())
    );
    let mut other = work("a", "t");
    other.spec.tasks = 5;
    let batch = vec![other, work("b", "nobody"), work("c", "t")];
    let results = client.submit(batch, secs(5)).await.unwrap();
    let Err(NotQueued::KeyTaken(taken)) = &results[0] else {
        panic!("{results:?}");
    };
    assert!(taken.known.contains("\"shards\":4") && taken.other.contains("\"shards\":5"));
    let Ok(Submitted::Refused(id, refusal)) = &results[1] else {
        panic!("{results:?}");
    };
    assert_eq!(
        (refusal.status, &*refusal.reason),
        (422, "unknown owner nobody")
    );
    assert_eq!(
        client.outcome(*id, secs(0)).await,
        Ok(Told::Refused(refusal.clone()))
    );
    assert!(matches!(results[2], Ok(Submitted::Accepted(_))));
    // A refused job is not submitted again, and a closed job is not polled.
    tokio::time::sleep(secs(100)).await;
    let requests_before = cluster.request_count();
    let repeated = client.submit(vec![work("b", "nobody")], secs(5)).await;
    assert_eq!(
        repeated.unwrap(),
        vec![Ok(Submitted::Refused(*id, refusal.clone()))]
    );
    tokio::time::sleep(secs(1000)).await;
    assert_eq!(cluster.request_count(), requests_before);
}

/// Guards against a reported state that goes back, or a final status that changes, when one front
/// answers from out-of-date state and polls fail for 90 s.
#[tokio::test(start_paused = true)]
async fn reported_state_never_goes_back() {
    let start = Instant::now();
    let cluster = Cluster::new(move |_, front, request| {
        let elapsed_s = start.elapsed().as_secs();
        match (&request.body, front) {
            (None, _) if (5..95).contains(&elapsed_s) => Delivery::Rejected(503, None),
            (None, 0) => Delivery::Stale,
            _ => Delivery::Normal,
        }
    });
    let client = client(&cluster, 2, in_memory_outbox());
    let id = submit_one(&client, "a", 5).await.id();
    assert!(matches!(
        client.outcome(id, secs(80)).await,
        Ok(Told::Open(_))
    ));
    let outcome = client.outcome(id, secs(600)).await;
    assert_eq!(outcome, Ok(Told::Final(Outcome::Done)));
    let requests_before = cluster.request_count();
    tokio::time::sleep(secs(3600)).await;
    assert_eq!(client.outcome(id, secs(0)).await, outcome);
    assert_eq!(
        cluster.request_count(),
        requests_before,
        "polled after the final status"
    );
}

/// Guards against a cancellation that is dropped because its request or answer was lost or
/// rejected, or because it was not yet known whether the job was accepted.
#[tokio::test(start_paused = true)]
async fn cancellations_are_repeated_until_answered() {
    // (Deliveries of the first cancel requests, time of the cancellation in seconds, its result)
    let cases = [
        (vec![], 1, Cancelled::Withdrawn),
        (vec![Delivery::AnswerLost], 1, Cancelled::Withdrawn),
        (
            vec![Delivery::Lost, Delivery::Rejected(503, None)],
            1,
            Cancelled::Withdrawn,
        ),
        (vec![], 25, Cancelled::DoneAlready),
    ];
    for (deliveries, at_s, expected) in cases {
        let count = Arc::new(AtomicUsize::new(0));
        let cancel_deliveries = deliveries.clone();
        let cluster = Cluster::new(move |_, _, request| {
            if !request.path.ends_with("/cancel") {
                return Delivery::Normal;
            }
            let n = count.fetch_add(1, Ordering::Relaxed);
            cancel_deliveries
                .get(n)
                .copied()
                .unwrap_or(Delivery::Normal)
        });
        let client = client(&cluster, 2, in_memory_outbox());
        let id = submit_one(&client, "a", 5).await.id();
        tokio::time::sleep(secs(at_s)).await;
        let cancelled = client.cancel(id, secs(60)).await;
        assert_eq!(cancelled, Ok(expected), "{deliveries:?}");
        let repeated = client.cancel(id, secs(0)).await;
        assert!(repeated.is_ok_and(|c| c != Cancelled::NotKnownYet));
    }
    // A job that is cancelled before it is known whether it was accepted ends withdrawn, even if
    // its submission arrives later.
    let cluster = Cluster::new(|state, _, _| match state.requests.len() {
        0 => Delivery::Delayed(8_000),
        _ => Delivery::Normal,
    });
    let client = client(&cluster, 1, in_memory_outbox());
    let submitted = submit_one(&client, "a", 0).await;
    assert!(matches!(submitted, Submitted::NotKnownYet(_)));
    let cancelled = client.cancel(submitted.id(), secs(60)).await;
    assert_eq!(cancelled, Ok(Cancelled::Withdrawn));
    tokio::time::sleep(secs(60)).await;
    assert_eq!(
        cluster.job(&submitted.id().to_string()).unwrap().state,
        "withdrawn"
    );
    // A job of another outbox is not known.
    let other_outbox = Outbox::in_memory().unwrap();
    let queued = other_outbox.enqueue(&[work("x", "t")], 0).unwrap();
    let other_id = queued[0].as_ref().unwrap().record().id;
    assert_eq!(
        client.outcome(other_id, secs(0)).await,
        Err(AskError::NoSuchJob)
    );
}

/// Guards against a retry storm. All fronts answer 503 for a minute: during and after it the
/// requests must stay within the retry budget, and afterwards all jobs must be submitted soon.
#[tokio::test(start_paused = true)]
async fn an_outage_of_a_minute_causes_no_retry_storm() {
    for jobs in [1, 200] {
        let start = Instant::now();
        let cluster = Cluster::new(move |_, _, _| match start.elapsed().as_secs() {
            0..60 => Delivery::Rejected(503, None),
            _ => Delivery::Normal,
        });
        let client = client(&cluster, 3, in_memory_outbox());
        let batch = (0..jobs).map(|n| work(&format!("k{n}"), "t")).collect();
        let results = client.submit(batch, secs(58)).await.unwrap();
        let is_unknown = |r: &Result<_, _>| matches!(r, Ok(Submitted::NotKnownYet(_)));
        assert!(results.iter().all(is_unknown));
        let during_outage = cluster.request_count();
        // One first attempt per job, the retries that the budget may accumulate, and those that it
        // allows per second.
        let allowed = jobs + 10 + (0.2 * 60.0) as usize + 2;
        assert!(
            during_outage <= allowed && during_outage >= jobs + 3,
            "{jobs}: {during_outage}"
        );
        tokio::time::sleep(secs(40)).await;
        assert_eq!(
            cluster.state.lock().unwrap().jobs.len(),
            jobs,
            "not all jobs were submitted"
        );
        let state = cluster.state.lock().unwrap();
        let count_in_second = |second: u64| {
            let is_in_second = |r: &&SentRequest| (r.at - start).as_secs() == second;
            state.requests.iter().filter(is_in_second).count()
        };
        let peak = (60..98).map(count_in_second).max().unwrap_or(0);
        assert!(peak <= 64 + 50, "{jobs}: {peak} in one second");
    }
}

/// Guards against jobs that stay in the outbox unsent because the caller dropped the future of the
/// submission at once.
#[tokio::test(start_paused = true)]
async fn a_dropped_future_leaves_no_job_unsent() {
    let cluster = Cluster::new(|_, _, _| Delivery::Normal);
    let client = client(&cluster, 1, in_memory_outbox());
    {
        let submit = client.submit(vec![work("a", "t")], secs(5));
        tokio::pin!(submit);
        // The future is polled once and then dropped.
        let poll = std::future::poll_fn(|cx| std::task::Poll::Ready(submit.as_mut().poll(cx)));
        assert!(poll.await.is_pending());
    }
    tokio::time::sleep(secs(30)).await;
    assert_eq!(cluster.state.lock().unwrap().jobs.len(), 1);
    assert_eq!(client.len(), Ok((1, 0)));
}

/// Guards against a front that never answers and delays submissions because it is not ejected.
#[tokio::test(start_paused = true)]
async fn a_front_that_never_answers_is_ejected() {
    let cluster = Cluster::new(|_, front, _| match front {
        0 => Delivery::Hangs,
        _ => Delivery::Normal,
    });
    let client = client(&cluster, 3, in_memory_outbox());
    for n in 0..40 {
        let submitted = submit_one(&client, &format!("k{n}"), 60).await;
        assert!(!matches!(submitted, Submitted::NotKnownYet(_)), "{n}");
    }
    let state = cluster.state.lock().unwrap();
    let hung = state.requests.iter().filter(|r| r.front == 0).count();
    assert!(
        hung < state.requests.len() / 5,
        "{hung} of {}",
        state.requests.len()
    );
}

/// Guards against polls above the configured rate, and against jobs that are never polled, when
/// more than a thousand jobs are open.
#[tokio::test(start_paused = true)]
async fn polls_of_many_open_jobs_stay_within_the_rate() {
    let cluster = Cluster::new(|_, _, _| Delivery::Normal);
    let client = client(&cluster, 2, in_memory_outbox());
    let batch = (0..1500).map(|n| work(&format!("k{n}"), "t")).collect();
    let results = client.submit(batch, secs(120)).await.unwrap();
    let is_accepted = |r: &Result<_, _>| matches!(r, Ok(Submitted::Accepted(_)));
    assert!(results.iter().all(is_accepted));
    tokio::time::sleep(secs(300)).await;
    assert_eq!(client.len(), Ok((1500, 0)));
    let state = cluster.state.lock().unwrap();
    let polls: Vec<_> = state
        .requests
        .iter()
        .filter(|r| r.path.contains("/run-"))
        .collect();
    let Some(first) = polls.first() else {
        panic!("no polls");
    };
    for second in 0..300 {
        let in_second = polls
            .iter()
            .filter(|r| (r.at - first.at).as_secs() == second)
            .count();
        assert!(in_second <= 100, "{in_second} polls in second {second}");
    }
}

/// Guards against a job that is sent although it could not be written to the outbox because the
/// disk was full.
#[tokio::test(start_paused = true)]
async fn jobs_that_cannot_be_written_are_not_sent() {
    let cluster = Cluster::new(|_, _, _| Delivery::Normal);
    let disk = disk::FaultyDisk::default();
    let outbox = Outbox::with_backend(disk.clone(), true).unwrap();
    let client = client(&cluster, 1, outbox);
    disk.fail_after(0, std::io::ErrorKind::StorageFull);
    let refused = client.submit(vec![work("a", "t")], secs(5)).await;
    assert_eq!(refused, Err(OutboxError::Full));
    tokio::time::sleep(secs(60)).await;
    assert_eq!(cluster.request_count(), 0);
}

/// Guards against slow polls that are not hedged, and against more hedges than the retry budget
/// allows.
#[tokio::test(start_paused = true)]
async fn slow_polls_are_hedged_within_the_budget() {
    let cluster = Cluster::new(|state, front, request| {
        let past_start = state.requests.len() > 60;
        match (&request.body, front) {
            (None, 0) if past_start => Delivery::Slow(1_500),
            _ => Delivery::Normal,
        }
    });
    let client = client(&cluster, 2, in_memory_outbox());
    for n in 0..40 {
        let submitted = submit_one(&client, &format!("k{n}"), 30).await;
        assert!(matches!(submitted, Submitted::Accepted(_)), "{n}");
    }
    tokio::time::sleep(secs(120)).await;
    assert_eq!(client.len(), Ok((40, 0)));
    let state = cluster.state.lock().unwrap();
    let polls: Vec<_> = state
        .requests
        .iter()
        .filter(|r| r.path.contains("/run-"))
        .collect();
    // A poll is hedged if the same job is polled at the other front within a second.
    let is_hedged = |poll: &&&SentRequest| {
        let is_hedge = |other: &&SentRequest| {
            other.path == poll.path
                && other.front == 1
                && other.at > poll.at
                && (other.at - poll.at).as_millis() < 1_000
        };
        poll.front == 0 && polls.iter().any(is_hedge)
    };
    let count = polls.iter().filter(is_hedged).count();
    // A fifth of the first attempts, the retries that the budget may accumulate, and those that it
    // allows per second.
    let allowed = state.requests.len() / 5 + 10 + 25;
    assert!(count > 3 && count <= allowed, "{count} of {}", polls.len());
}

/// Guards against waits that depend on the system clock. The clock jumps by years in either
/// direction between queueing and sending: queued jobs must be submitted and polled at the same
/// pace, and none may be deleted.
#[tokio::test(start_paused = true)]
async fn a_jump_of_the_clock_changes_no_wait() {
    let mut request_counts = Vec::new();
    for queued_ms in [0, 4_000_000_000_000] {
        let cluster = Cluster::new(|_, _, _| Delivery::Normal);
        let mut outbox = in_memory_outbox();
        let queued = outbox.enqueue(&[work("a", "t")], queued_ms).unwrap();
        let id = queued[0].as_ref().unwrap().record().id;
        // Open jobs are never deleted, whatever the clock shows.
        assert_eq!(outbox.compact(u64::MAX), Ok(0));
        let client = client(&cluster, 1, outbox);
        let outcome = client.outcome(id, secs(60)).await;
        assert_eq!(outcome, Ok(Told::Final(Outcome::Done)), "{queued_ms}");
        request_counts.push(cluster.request_count());
    }
    assert_eq!(request_counts[0], request_counts[1]);
}
