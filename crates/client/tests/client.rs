//! The client against a cluster in memory, in paused time: what a caller is told
//! when the connection does its worst.

mod support;

use foxspur_client::{
    AskError, Cancelled, Client, NotQueued, Outbox, OutboxError, Outcome, Submitted, Told,
};
use std::future::Future;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use support::*;
use tokio::time::Instant;

fn memory() -> Outbox {
    Outbox::in_memory().unwrap()
}

async fn one(client: &Client, key: &str, within: u64) -> Submitted {
    let told = client.submit(vec![work(key, "t")], secs(within)).await;
    told.unwrap().pop().unwrap().unwrap()
}

/// Each fate of the first request, and of later ones, and what comes of it: never
/// two jobs, and the answer that is true.
#[tokio::test(start_paused = true)]
async fn whatever_happens_to_a_submission_there_is_one_job() {
    let cases = [
        (Fate::Arrives, "accepted", 1),
        (Fate::Lost, "accepted", 1),
        // The connection dies after acceptance and before the reply.
        (Fate::AnswerLost, "known", 2),
        // A retry arrives while the first is still on its way, elsewhere.
        (Fate::Late(900), "known", 2),
        (Fate::Late(40_000), "accepted", 2),
        (Fate::Hangs, "accepted", 1),
        (Fate::Refused(503, Some(2)), "accepted", 1),
        (Fate::Refused(429, None), "accepted", 1),
        (Fate::Refused(502, None), "accepted", 1),
        (Fate::Slow(3_000), "accepted", 1),
    ];
    for (first, expected, arrivals) in cases {
        let cluster = Cluster::new(move |inner, _, _| match inner.requests.is_empty() {
            true => first,
            false => Fate::Arrives,
        });
        let client = client(&cluster, 3, memory());
        let told = one(&client, "batch/1", 30).await;
        let found = match &told {
            Submitted::Accepted(_) => "accepted",
            Submitted::KnownAlready(_) => "known",
            other => panic!("{first:?}: {other:?}"),
        };
        assert_eq!(found, expected, "{first:?}");
        tokio::time::sleep(secs(60)).await;
        let job = cluster.job(&told.id().to_string()).unwrap();
        assert_eq!(job.submitted, arrivals, "{first:?}");
        assert_eq!(cluster.inner.lock().unwrap().jobs.len(), 1);
        let told = client.outcome(told.id(), secs(1)).await;
        assert_eq!(told, Ok(Told::Final(Outcome::Done)), "{first:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_key_is_one_job() {
    let cluster = Cluster::new(|_, _, _| Fate::Arrives);
    let client = client(&cluster, 1, memory());
    let first = one(&client, "a", 5).await;
    assert!(matches!(first, Submitted::Accepted(_)));
    assert_eq!(
        one(&client, "a", 5).await,
        Submitted::KnownAlready(first.id())
    );
    let mut other = work("a", "t");
    other.spec.tasks = 5;
    let batch = vec![other, work("b", "nobody"), work("c", "t")];
    let told = client.submit(batch, secs(5)).await.unwrap();
    let Err(NotQueued::KeyTaken(taken)) = &told[0] else {
        panic!("{told:?}");
    };
    assert!(taken.known.contains("\"shards\":4") && taken.other.contains("\"shards\":5"));
    let Ok(Submitted::Refused(id, why)) = &told[1] else {
        panic!("{told:?}");
    };
    assert_eq!((why.status, &*why.reason), (422, "unknown owner nobody"));
    assert_eq!(
        client.outcome(*id, secs(0)).await,
        Ok(Told::Refused(why.clone()))
    );
    assert!(matches!(told[2], Ok(Submitted::Accepted(_))));
    // Once refused it is not sent again, nor is one that is over asked about.
    tokio::time::sleep(secs(100)).await;
    let before = cluster.requests();
    let again = client.submit(vec![work("b", "nobody")], secs(5)).await;
    assert_eq!(
        again.unwrap(),
        vec![Ok(Submitted::Refused(*id, why.clone()))]
    );
    tokio::time::sleep(secs(1000)).await;
    assert_eq!(cluster.requests(), before);
}

/// Guards against an answer that goes back: a controller that is behind says
/// less, and polls fail for 90 s, and the final answer comes once and stays.
#[tokio::test(start_paused = true)]
async fn answers_never_go_back() {
    let start = Instant::now();
    let cluster = Cluster::new(move |_, front, request| {
        let s = start.elapsed().as_secs();
        match (&request.body, front) {
            (None, _) if (5..95).contains(&s) => Fate::Refused(503, None),
            (None, 0) => Fate::Behind,
            _ => Fate::Arrives,
        }
    });
    let client = client(&cluster, 2, memory());
    let id = one(&client, "a", 5).await.id();
    assert!(matches!(
        client.outcome(id, secs(80)).await,
        Ok(Told::Open(_))
    ));
    let last = client.outcome(id, secs(600)).await;
    assert_eq!(last, Ok(Told::Final(Outcome::Done)));
    let before = cluster.requests();
    tokio::time::sleep(secs(3600)).await;
    assert_eq!(client.outcome(id, secs(0)).await, last);
    assert_eq!(
        cluster.requests(),
        before,
        "a final answer is asked for again"
    );
}

#[tokio::test(start_paused = true)]
async fn cancellations_are_asked_for_until_answered() {
    // The cancellation's first fates, when it is asked for, and what it ends as.
    let cases = [
        (vec![], 1, Cancelled::Withdrawn),
        (vec![Fate::AnswerLost], 1, Cancelled::Withdrawn),
        (
            vec![Fate::Lost, Fate::Refused(503, None)],
            1,
            Cancelled::Withdrawn,
        ),
        (vec![], 25, Cancelled::DoneAlready),
    ];
    for (fates, at, expected) in cases {
        let count = Arc::new(AtomicUsize::new(0));
        let list = fates.clone();
        let cluster = Cluster::new(move |_, _, request| {
            if !request.path.ends_with("/cancel") {
                return Fate::Arrives;
            }
            let n = count.fetch_add(1, Ordering::Relaxed);
            list.get(n).copied().unwrap_or(Fate::Arrives)
        });
        let client = client(&cluster, 2, memory());
        let id = one(&client, "a", 5).await.id();
        tokio::time::sleep(secs(at)).await;
        assert_eq!(client.cancel(id, secs(60)).await, Ok(expected), "{fates:?}");
        let wanted = client.cancel(id, secs(0)).await;
        assert!(wanted.is_ok_and(|c| c != Cancelled::NotKnownYet));
    }
    // Cancelled before it is known whether it was accepted: whatever is still on
    // its way, it ends withdrawn.
    let cluster = Cluster::new(|inner, _, _| match inner.requests.len() {
        0 => Fate::Late(8_000),
        _ => Fate::Arrives,
    });
    let client = client(&cluster, 1, memory());
    let told = one(&client, "a", 0).await;
    assert!(matches!(told, Submitted::NotKnownYet(_)));
    let cancelled = client.cancel(told.id(), secs(60)).await;
    assert_eq!(cancelled, Ok(Cancelled::Withdrawn));
    tokio::time::sleep(secs(60)).await;
    assert_eq!(
        cluster.job(&told.id().to_string()).unwrap().state,
        "withdrawn"
    );
    let other = Outbox::in_memory().unwrap();
    let queued = other.enqueue(&[work("x", "t")], 0).unwrap();
    let foreign = queued[0].as_ref().unwrap().record().id;
    assert_eq!(
        client.outcome(foreign, secs(0)).await,
        Err(AskError::NoSuchJob)
    );
}

/// Guards against a storm: for a minute all fronts answer 503; meanwhile and after
/// it requests stay within the budget, and then all get through soon.
#[tokio::test(start_paused = true)]
async fn a_minute_of_503_and_then_no_storm() {
    for jobs in [1, 200] {
        let start = Instant::now();
        let cluster = Cluster::new(move |_, _, _| match start.elapsed().as_secs() {
            0..60 => Fate::Refused(503, None),
            _ => Fate::Arrives,
        });
        let client = client(&cluster, 3, memory());
        let batch = (0..jobs).map(|n| work(&format!("k{n}"), "t")).collect();
        let told = client.submit(batch, secs(58)).await.unwrap();
        let open = |t: &Result<_, _>| matches!(t, Ok(Submitted::NotKnownYet(_)));
        assert!(told.iter().all(open));
        let during = cluster.requests();
        // First attempts, what was saved up, and the trickle.
        let allowed = jobs + 10 + (0.2 * 60.0) as usize + 2;
        assert!(during <= allowed && during >= jobs + 3, "{jobs}: {during}");
        tokio::time::sleep(secs(40)).await;
        assert_eq!(
            cluster.inner.lock().unwrap().jobs.len(),
            jobs,
            "not all got through"
        );
        let inner = cluster.inner.lock().unwrap();
        let in_second = |s: u64| {
            let at = |r: &&(Instant, usize, String)| (r.0 - start).as_secs() == s;
            inner.requests.iter().filter(at).count()
        };
        let most = (60..98).map(in_second).max().unwrap_or(0);
        assert!(most <= 64 + 50, "{jobs}: {most} in one second");
    }
}

/// Guards against jobs that sit in the outbox unsent because whoever submitted
/// them stopped waiting at once.
#[tokio::test(start_paused = true)]
async fn a_dropped_future_leaves_nothing_behind() {
    let cluster = Cluster::new(|_, _, _| Fate::Arrives);
    let client = client(&cluster, 1, memory());
    {
        let submit = client.submit(vec![work("a", "t")], secs(5));
        tokio::pin!(submit);
        // Polled once, then dropped.
        let poll = std::future::poll_fn(|cx| std::task::Poll::Ready(submit.as_mut().poll(cx)));
        assert!(poll.await.is_pending());
    }
    tokio::time::sleep(secs(30)).await;
    assert_eq!(cluster.inner.lock().unwrap().jobs.len(), 1);
    assert_eq!(client.len(), Ok((1, 0)));
}

/// One front never answers: others do, and it is left alone most of the time.
#[tokio::test(start_paused = true)]
async fn a_front_that_never_answers_is_left_alone() {
    let cluster = Cluster::new(|_, front, _| match front {
        0 => Fate::Hangs,
        _ => Fate::Arrives,
    });
    let client = client(&cluster, 3, memory());
    for n in 0..40 {
        let told = one(&client, &format!("k{n}"), 60).await;
        assert!(!matches!(told, Submitted::NotKnownYet(_)), "{n}");
    }
    let inner = cluster.inner.lock().unwrap();
    let hung = inner.requests.iter().filter(|r| r.1 == 0).count();
    assert!(
        hung < inner.requests.len() / 5,
        "{hung} of {}",
        inner.requests.len()
    );
}

/// Thousands of open jobs: polls stay below the rate, and all ends are learnt.
#[tokio::test(start_paused = true)]
async fn thousands_of_open_jobs_on_one_schedule() {
    let cluster = Cluster::new(|_, _, _| Fate::Arrives);
    let client = client(&cluster, 2, memory());
    let batch = (0..1500).map(|n| work(&format!("k{n}"), "t")).collect();
    let told = client.submit(batch, secs(120)).await.unwrap();
    assert!(told.iter().all(|t| matches!(t, Ok(Submitted::Accepted(_)))));
    tokio::time::sleep(secs(300)).await;
    assert_eq!(client.len(), Ok((1500, 0)));
    let inner = cluster.inner.lock().unwrap();
    let polls: Vec<_> = inner
        .requests
        .iter()
        .filter(|r| r.2.contains("/run-"))
        .collect();
    let Some(first) = polls.first() else {
        panic!("no polls");
    };
    for s in 0..300 {
        let in_second = polls
            .iter()
            .filter(|r| (r.0 - first.0).as_secs() == s)
            .count();
        assert!(in_second <= 100, "{in_second} polls in second {s}");
    }
}

/// A full disk: the caller hears of it, and nothing was sent.
#[tokio::test(start_paused = true)]
async fn what_cannot_be_written_is_not_sent() {
    let cluster = Cluster::new(|_, _, _| Fate::Arrives);
    let disk = disk::Power::default();
    let outbox = Outbox::with_backend(disk.clone(), true).unwrap();
    let client = client(&cluster, 1, outbox);
    disk.fails_after(0, std::io::ErrorKind::StorageFull);
    let refused = client.submit(vec![work("a", "t")], secs(5)).await;
    assert_eq!(refused, Err(OutboxError::Full));
    tokio::time::sleep(secs(60)).await;
    assert_eq!(cluster.requests(), 0);
}

/// A poll that is slower than nearly all is asked of a second front, no oftener
/// than the budget of retries allows.
#[tokio::test(start_paused = true)]
async fn slow_polls_are_hedged_within_the_budget() {
    let cluster = Cluster::new(|inner, front, request| {
        let later = inner.requests.len() > 60;
        match (&request.body, front) {
            (None, 0) if later => Fate::Slow(1_500),
            _ => Fate::Arrives,
        }
    });
    let client = client(&cluster, 2, memory());
    for n in 0..40 {
        let told = one(&client, &format!("k{n}"), 30).await;
        assert!(matches!(told, Submitted::Accepted(_)), "{n}");
    }
    tokio::time::sleep(secs(120)).await;
    assert_eq!(client.len(), Ok((40, 0)));
    let inner = cluster.inner.lock().unwrap();
    let polls: Vec<_> = inner
        .requests
        .iter()
        .filter(|r| r.2.contains("/run-"))
        .collect();
    // The same job asked about at both fronts within a second.
    let hedged = |a: &&&(Instant, usize, String)| {
        let other = |b: &&(Instant, usize, String)| {
            b.2 == a.2 && b.1 == 1 && b.0 > a.0 && (b.0 - a.0).as_millis() < 1_000
        };
        a.1 == 0 && polls.iter().any(other)
    };
    let count = polls.iter().filter(hedged).count();
    // A fifth of the first attempts, what was saved up, and the trickle.
    let allowed = inner.requests.len() / 5 + 10 + 25;
    assert!(count > 3 && count <= allowed, "{count} of {}", polls.len());
}

/// The time of day jumps by years in either direction between two starts: what was
/// queued is submitted and followed at the same pace, and nothing is forgotten.
#[tokio::test(start_paused = true)]
async fn a_clock_that_jumps_changes_no_wait() {
    let mut requests = Vec::new();
    for queued_ms in [0, 4_000_000_000_000] {
        let cluster = Cluster::new(|_, _, _| Fate::Arrives);
        let mut outbox = memory();
        let queued = outbox.enqueue(&[work("a", "t")], queued_ms).unwrap();
        let id = queued[0].as_ref().unwrap().record().id;
        // Open jobs have no age, whatever the clock says.
        assert_eq!(outbox.compact(u64::MAX), Ok(0));
        let client = client(&cluster, 1, outbox);
        let told = client.outcome(id, secs(60)).await;
        assert_eq!(told, Ok(Told::Final(Outcome::Done)), "{queued_ms}");
        requests.push(cluster.requests());
    }
    assert_eq!(requests[0], requests[1]);
}
