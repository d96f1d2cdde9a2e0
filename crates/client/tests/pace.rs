//! Tests of flow control, the choice of fronts, the schedule, the effect of answers, and the check
//! of settings and keys.

use foxspur_client::fronts::Fronts;
use foxspur_client::pace::{backoff, AttemptEnd, InFlightLimit, RateLimiter, RetryBudget};
use foxspur_client::record::{AnswerEffect, ConclusiveAnswer, Phase, Record};
use foxspur_client::schedule::{poll_in, Schedule, Step};
use foxspur_client::transport::Answer;
use foxspur_client::verdict::{interpret, Verdict};
use foxspur_client::{Key, Outbox, Outcome, Refused, Settings};
use foxspur_wire::job::{JobSpec, JobState};
use rand::rngs::StdRng;
use rand::SeedableRng;

fn new_record() -> Record {
    let spec: JobSpec = serde_json::from_value(serde_json::json!({
        "name_id": "run-0", "queue": "q", "owner": "t", "shape": "sweep", "urgency": "high",
        "shards": 1, "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0, "bundle": "b",
        "image_gb": 0.0, "together": false, "scatter": false, "standby": true,
        "expected_s": 1.0, "save_every_s": 0.0, "save_cost_s": 0.0
    }))
    .unwrap();
    let key = Key::new("k").unwrap();
    let outbox = Outbox::in_memory().unwrap();
    let queued = outbox.enqueue(&[foxspur_client::Work { key, spec }], 0);
    queued.unwrap()[0].as_ref().unwrap().record().clone()
}

/// Guards against waits that are too short or too long, that ignore `Retry-After`, or whose jitter
/// does not cover the whole range.
#[test]
fn backoff_stays_within_bounds() {
    let mut rng = StdRng::seed_from_u64(3);
    // (failures, Retry-After, shortest wait, longest wait)
    for (failures, retry_after, shortest, longest) in [
        (0, None, 1.0, 2.0),
        (3, None, 1.0, 5.0),
        (60, None, 1.0, 31.0),
        (1, Some(10.0), 10.0, 11.0),
        (1, Some(900.0), 30.0, 31.0),
        (1, Some(0.0), 1.0, 2.0),
    ] {
        let waits: Vec<f64> = (0..200)
            .map(|_| backoff(failures, retry_after, &mut rng))
            .collect();
        let (min, max) = waits.iter().fold((f64::MAX, 0f64), |(min, max), wait| {
            (min.min(*wait), max.max(*wait))
        });
        assert!(
            min >= shortest && max <= longest,
            "{failures} {retry_after:?}: {min} to {max}"
        );
        // The jitter covers the whole range.
        assert!(
            max - min > 0.8 * (longest - shortest),
            "{failures} {retry_after:?}: {min} to {max}"
        );
    }
}

/// Guards against more retries than the budget allows: its share of first attempts, the accumulated
/// maximum, the retries per second, and two for each answered retry.
#[test]
fn retries_stay_within_the_budget() {
    let mut budget = RetryBudget::new(0.25, 0.1, 5.0);
    let granted = |budget: &mut RetryBudget, now: f64| {
        (0..100).take_while(|_| budget.retry(now).is_ok()).count()
    };
    assert_eq!(granted(&mut budget, 0.0), 1);
    for _ in 0..8 {
        budget.first(0.0);
    }
    assert_eq!(granted(&mut budget, 0.0), 2);
    for _ in 0..1000 {
        budget.first(0.0);
    }
    assert_eq!(
        granted(&mut budget, 0.0),
        5,
        "more retries than may accumulate"
    );
    assert_eq!(granted(&mut budget, 30.0), 3, "retries per second");
    budget.answered();
    assert_eq!(
        granted(&mut budget, 30.0),
        2,
        "an answered retry allows two more"
    );
    let wait_s = budget.retry(30.0).unwrap_err();
    assert!(budget.retry(30.0 + wait_s + 1e-6).is_ok());
}

/// Guards against a limit of requests in flight that does not grow with answers, does not fall with
/// congestion, falls with broken connections or falls to 0, and against a rate limiter that does
/// not space requests after a burst.
#[test]
fn limit_in_flight_follows_the_answers() {
    let mut in_flight = InFlightLimit::new(64);
    let initial_limit = in_flight.limit();
    for n in 0..4000 {
        assert!(in_flight.begin());
        in_flight.end(AttemptEnd::Answered(0.02), f64::from(n) * 0.01);
    }
    assert_eq!(in_flight.limit(), 64);
    in_flight.begin();
    in_flight.end(AttemptEnd::Broken, 50.0);
    assert_eq!(
        in_flight.limit(),
        64,
        "a broken connection lowered the limit"
    );
    assert!(initial_limit < 64 && in_flight.p95().is_some_and(|s| s < 0.03));
    // Failures within one second count once, and a slow answer counts like an overload answer.
    for (ended, limit) in [
        (AttemptEnd::Overloaded, 44),
        (AttemptEnd::Answered(2.0), 31),
    ] {
        let now = if limit == 44 { 100.0 } else { 102.0 };
        for _ in 0..10 {
            in_flight.begin();
            in_flight.end(ended, now);
        }
        assert!(
            in_flight.limit().abs_diff(limit) <= 1,
            "{ended:?}: {}",
            in_flight.limit()
        );
    }
    for n in 0..100 {
        in_flight.begin();
        in_flight.end(AttemptEnd::Overloaded, 200.0 + 2.0 * f64::from(n));
    }
    assert!(
        in_flight.begin() && !in_flight.begin(),
        "one request is always allowed"
    );
    let mut rate = RateLimiter::new(10.0, 5.0);
    let waits: Vec<f64> = (0..8).map(|_| rate.reserve(100.0)).collect();
    assert!(
        waits[4] == 0.0 && (waits[7] - 0.3).abs() < 1e-6,
        "{waits:?}"
    );
}

/// Guards against a front that is not ejected after failures, gets its full load back at once, is
/// not ejected for longer the next time, and against no front being chosen when all are ejected.
#[test]
fn failing_fronts_are_ejected_and_return_gradually() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut fronts = Fronts::new(3);
    let mut chosen_counts = |fronts: &mut Fronts, now: f64| {
        let mut counts = [0; 3];
        for _ in 0..3000 {
            let front = fronts.choose(None, now, &mut rng).unwrap();
            fronts.end(front, AttemptEnd::Answered(0.01), now);
            counts[front] += 1;
        }
        counts
    };
    assert!(chosen_counts(&mut fronts, 0.0)
        .iter()
        .all(|count| (800..1200).contains(count)));
    for _ in 0..3 {
        fronts.end(0, AttemptEnd::Overloaded, 10.0);
    }
    assert_eq!(
        (
            chosen_counts(&mut fronts, 12.9)[0],
            fronts.ejected_count(12.9)
        ),
        (0, 1)
    );
    // After the ejection its load grows over ten seconds.
    let counts = [13.5, 18.0, 24.0].map(|now| chosen_counts(&mut fronts, now)[0]);
    assert!(
        counts[0] < 300 && counts[0] < counts[1] && counts[1] < counts[2],
        "{counts:?}"
    );
    // When it fails again it is ejected for twice as long.
    fronts.end(0, AttemptEnd::Overloaded, 25.0);
    fronts.end(0, AttemptEnd::Overloaded, 25.0);
    fronts.end(0, AttemptEnd::Overloaded, 25.0);
    assert_eq!(
        (fronts.ejected_count(30.9), fronts.ejected_count(31.1)),
        (1, 0)
    );
    // If all fronts are ejected, the one whose ejection ends first is chosen.
    for (front, at) in [(1, 40.0), (2, 41.0), (0, 42.0)] {
        for _ in 0..3 {
            fronts.end(front, AttemptEnd::Overloaded, at);
        }
    }
    assert_eq!(
        fronts.choose(None, 42.5, &mut StdRng::seed_from_u64(1)),
        Some(1)
    );
}

/// Guards against steps that are taken early, twice or not at all, and against poll intervals that
/// do not follow the expected duration.
#[test]
fn steps_are_taken_when_due() {
    let (a, b) = (new_record().id, new_record().id);
    let mut schedule = Schedule::default();
    schedule.put(a, Step::Poll, 5.0);
    schedule.put(b, Step::Submit, 3.0);
    // A later entry replaces the earlier one.
    schedule.put(a, Step::Cancel, 1.0);
    schedule.put(b, Step::Submit, 4.0);
    assert_eq!(schedule.take(0.9), None);
    assert_eq!(schedule.take(9.0), Some((a, Step::Cancel)));
    assert_eq!((schedule.take(3.5), schedule.next_at()), (None, Some(4.0)));
    schedule.remove(b);
    assert_eq!((schedule.take(9.0), schedule.is_empty()), (None, true));
    // (expected duration, age, wait until the next poll)
    for (expected_s, age_s, wait_s) in [
        (50.0, 0.0, 12.5),
        (50.0, 45.0, 3.125),
        (50.0, 51.0, 3.0),
        (50.0, 450.0, 50.0),
        (7200.0, 0.0, 60.0),
        (0.0, 0.0, 3.0),
    ] {
        assert_eq!(poll_in(expected_s, age_s), wait_s, "{expected_s} {age_s}");
    }
}

/// Guards against a job's state that goes back, or a contradiction that is not reported, when
/// answers arrive in any order.
#[test]
fn answers_in_any_order_give_a_consistent_state() {
    let refused = Refused {
        status: 422,
        reason: "no".into(),
    };
    let accepted = Phase::Accepted(JobState::Pending);
    let done = Phase::Final(Outcome::Done);
    let withdrawn = Phase::Final(Outcome::Withdrawn);
    let is_contradiction = |m: &AnswerEffect| matches!(m, AnswerEffect::Contradiction(_));
    let state = ConclusiveAnswer::State;
    // (Phase before, answer, phase after, whether the answer is a contradiction)
    for (before, answer, after, contradicts) in [
        (
            Phase::Waiting,
            ConclusiveAnswer::Created,
            accepted.clone(),
            false,
        ),
        (Phase::Waiting, state(JobState::Done), done.clone(), false),
        (
            Phase::Waiting,
            ConclusiveAnswer::NotFound,
            Phase::Waiting,
            false,
        ),
        (
            Phase::Waiting,
            ConclusiveAnswer::Refused(refused.clone()),
            Phase::Refused(refused.clone()),
            false,
        ),
        (
            accepted.clone(),
            ConclusiveAnswer::Created,
            accepted.clone(),
            false,
        ),
        (
            accepted.clone(),
            ConclusiveAnswer::NotFound,
            accepted.clone(),
            true,
        ),
        (
            accepted.clone(),
            ConclusiveAnswer::Refused(refused.clone()),
            accepted.clone(),
            true,
        ),
        (
            accepted.clone(),
            state(JobState::Cancelled),
            withdrawn.clone(),
            false,
        ),
        (done.clone(), state(JobState::Pending), done.clone(), false),
        (done.clone(), state(JobState::Cancelled), done.clone(), true),
        (done.clone(), ConclusiveAnswer::Created, done.clone(), true),
        (
            withdrawn.clone(),
            state(JobState::Done),
            withdrawn.clone(),
            true,
        ),
        (
            Phase::Refused(refused.clone()),
            state(JobState::Done),
            Phase::Refused(refused.clone()),
            true,
        ),
    ] {
        let mut job = new_record();
        job.phase = before.clone();
        let meaning = job.apply_answer(&answer, 9);
        assert_eq!(job.phase, after, "{before:?} {answer:?}");
        assert_eq!(
            is_contradiction(&meaning),
            contradicts,
            "{before:?} {answer:?}"
        );
        assert_eq!(meaning == AnswerEffect::Changed, before != after);
    }
}

/// Guards against an answer that is taken as conclusive although the protocol does not say so, or
/// the reverse.
#[test]
fn only_conclusive_answers_are_applied() {
    let id = new_record().id;
    let body =
        |state: &str| format!(r#"{{"name_id":"{id}","status":"{state}","done":1,"running":2}}"#);
    let other_job = r#"{"name_id":"run-1","status":"done","done":1,"running":0}"#.to_string();
    let conclusive = |answer| Some(answer);
    let done = ConclusiveAnswer::State(JobState::Done);
    for (step, status, text, expected) in [
        (
            Step::Submit,
            201,
            body("pending"),
            conclusive(ConclusiveAnswer::Created),
        ),
        (Step::Submit, 200, body("done"), conclusive(done.clone())),
        (Step::Submit, 200, other_job.clone(), None),
        (Step::Submit, 201, "<html>".into(), None),
        (Step::Submit, 404, "{}".into(), None),
        (Step::Submit, 302, body("done"), None),
        (Step::Poll, 200, body("done"), conclusive(done.clone())),
        (Step::Poll, 200, body("paused"), None),
        (
            Step::Poll,
            404,
            "{}".into(),
            conclusive(ConclusiveAnswer::NotFound),
        ),
        (Step::Poll, 400, "{}".into(), None),
        (
            Step::Cancel,
            200,
            body("withdrawn"),
            conclusive(ConclusiveAnswer::State(JobState::Cancelled)),
        ),
        (Step::Cancel, 503, body("withdrawn"), None),
    ] {
        let answer = Answer {
            status,
            retry_after: Some(f64::NAN),
            body: text.clone().into_bytes(),
        };
        let found = match interpret(step, id, &Ok(answer)) {
            Verdict::Conclusive(answer) => Some(answer),
            Verdict::Retry { retry_after, .. } => {
                assert_eq!(retry_after, None, "NaN is ignored");
                None
            }
        };
        assert_eq!(found, expected, "{step:?} {status} {text}");
    }
}

/// Guards against invalid settings or keys that are accepted, and against errors that name the
/// wrong setting.
#[test]
fn invalid_settings_and_keys_are_refused() {
    let valid = Settings::new(["http://a:1"]);
    assert!(valid.check().is_ok());
    type Change = Box<dyn Fn(&mut Settings)>;
    let cases: [(&str, Change); 6] = [
        ("fronts", Box::new(|s| s.fronts.clear())),
        ("fronts", Box::new(|s| s.fronts[0] = "a:1".into())),
        ("submit_s", Box::new(|s| s.submit_s = 0.0)),
        ("in_flight", Box::new(|s| s.in_flight = 0)),
        ("retry_share", Box::new(|s| s.retry_share = 1.5)),
        ("retry_most", Box::new(|s| s.retry_most = 0.0)),
    ];
    for (field, change) in cases {
        let mut settings = valid.clone();
        change(&mut settings);
        assert_eq!(settings.check().unwrap_err().field, field);
    }
    for (key, is_valid) in [
        ("evening/1", true),
        ("", false),
        ("a\nb", false),
        (&"k".repeat(513), false),
    ] {
        assert_eq!(Key::new(key).is_ok(), is_valid, "{key}");
    }
}
