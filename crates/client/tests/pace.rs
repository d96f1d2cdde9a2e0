//! Tables on pacing, fronts, the schedule, and what answers mean.

use foxspur_client::agenda::{poll_in, Agenda, Step};
use foxspur_client::fronts::Fronts;
use foxspur_client::pace::{backoff, Ended, InFlight, Rate, RetryBudget};
use foxspur_client::record::{Heard, Meaning, Phase, Record};
use foxspur_client::transport::Answer;
use foxspur_client::verdict::{judge, Verdict};
use foxspur_client::{Key, Outbox, Outcome, Refused, Settings};
use foxspur_wire::job::{JobSpec, JobState};
use rand::rngs::StdRng;
use rand::SeedableRng;

fn record() -> Record {
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

#[test]
fn waits_between_attempts() {
    let mut rng = StdRng::seed_from_u64(3);
    // (failures, Retry-After, at least, at most)
    for (failures, after, least, most) in [
        (0, None, 1.0, 2.0),
        (3, None, 1.0, 5.0),
        (60, None, 1.0, 31.0),
        (1, Some(10.0), 10.0, 11.0),
        (1, Some(900.0), 30.0, 31.0),
        (1, Some(0.0), 1.0, 2.0),
    ] {
        let waits: Vec<f64> = (0..200)
            .map(|_| backoff(failures, after, &mut rng))
            .collect();
        let (min, max) = waits
            .iter()
            .fold((f64::MAX, 0f64), |m, w| (m.0.min(*w), m.1.max(*w)));
        assert!(
            min >= least && max <= most,
            "{failures} {after:?}: {min} to {max}"
        );
        // Full jitter: over the whole width.
        assert!(
            max - min > 0.8 * (most - least),
            "{failures} {after:?}: {min} to {max}"
        );
    }
}

#[test]
fn retries_are_a_share_of_first_attempts() {
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
    assert_eq!(granted(&mut budget, 0.0), 5, "no more than can be saved up");
    assert_eq!(granted(&mut budget, 30.0), 3, "the trickle");
    budget.answered();
    assert_eq!(
        granted(&mut budget, 30.0),
        2,
        "one that was answered gives two"
    );
    let wait = budget.retry(30.0).unwrap_err();
    assert!(budget.retry(30.0 + wait + 1e-6).is_ok());
}

#[test]
fn requests_under_way_follow_the_answers() {
    let mut room = InFlight::new(64);
    let start = room.limit();
    for n in 0..4000 {
        assert!(room.begin());
        room.end(Ended::Answered(0.02), f64::from(n) * 0.01);
    }
    assert_eq!(room.limit(), 64);
    room.begin();
    room.end(Ended::Broken, 50.0);
    assert_eq!(room.limit(), 64, "a broken connection is no sign of load");
    assert!(start < 64 && room.p95().is_some_and(|s| s < 0.03));
    // Failures of one second count once; a queue counts like a refusal.
    for (ended, limit) in [(Ended::Overloaded, 44), (Ended::Answered(2.0), 31)] {
        let now = if limit == 44 { 100.0 } else { 102.0 };
        for _ in 0..10 {
            room.begin();
            room.end(ended, now);
        }
        assert!(
            room.limit().abs_diff(limit) <= 1,
            "{ended:?}: {}",
            room.limit()
        );
    }
    for n in 0..100 {
        room.begin();
        room.end(Ended::Overloaded, 200.0 + 2.0 * f64::from(n));
    }
    assert!(room.begin() && !room.begin(), "one is always allowed");
    let mut rate = Rate::new(10.0, 5.0);
    let waits: Vec<f64> = (0..8).map(|_| rate.reserve(100.0)).collect();
    assert!(
        waits[4] == 0.0 && (waits[7] - 0.3).abs() < 1e-6,
        "{waits:?}"
    );
}

#[test]
fn fronts_come_and_go() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut fronts = Fronts::new(3);
    let mut share = |fronts: &mut Fronts, now: f64| {
        let mut counts = [0; 3];
        for _ in 0..3000 {
            let n = fronts.choose(None, now, &mut rng).unwrap();
            fronts.end(n, Ended::Answered(0.01), now);
            counts[n] += 1;
        }
        counts
    };
    assert!(share(&mut fronts, 0.0)
        .iter()
        .all(|n| (800..1200).contains(n)));
    for _ in 0..3 {
        fronts.end(0, Ended::Overloaded, 10.0);
    }
    assert_eq!((share(&mut fronts, 12.9)[0], fronts.out(12.9)), (0, 1));
    // Back, step by step over ten seconds.
    let shares = [13.5, 18.0, 24.0].map(|now| share(&mut fronts, now)[0]);
    assert!(
        shares[0] < 300 && shares[0] < shares[1] && shares[1] < shares[2],
        "{shares:?}"
    );
    // Out again at the first failure, for longer.
    fronts.end(0, Ended::Overloaded, 25.0);
    fronts.end(0, Ended::Overloaded, 25.0);
    fronts.end(0, Ended::Overloaded, 25.0);
    assert_eq!((fronts.out(30.9), fronts.out(31.1)), (1, 0));
    // All out: somebody has to find out, the first to come back.
    for (n, at) in [(1, 40.0), (2, 41.0), (0, 42.0)] {
        for _ in 0..3 {
            fronts.end(n, Ended::Overloaded, at);
        }
    }
    assert_eq!(
        fronts.choose(None, 42.5, &mut StdRng::seed_from_u64(1)),
        Some(1)
    );
}

#[test]
fn what_is_due() {
    let (a, b) = (record().id, record().id);
    let mut agenda = Agenda::default();
    agenda.put(a, Step::Poll, 5.0);
    agenda.put(b, Step::Submit, 3.0);
    // A later word replaces the earlier one.
    agenda.put(a, Step::Cancel, 1.0);
    agenda.put(b, Step::Submit, 4.0);
    assert_eq!(agenda.take(0.9), None);
    assert_eq!(agenda.take(9.0), Some((a, Step::Cancel)));
    assert_eq!((agenda.take(3.5), agenda.next_at()), (None, Some(4.0)));
    agenda.remove(b);
    assert_eq!((agenda.take(9.0), agenda.is_empty()), (None, true));
    // (expected, age, wait): soon when it should end, rarely when not.
    for (expected, age, wait) in [
        (50.0, 0.0, 12.5),
        (50.0, 45.0, 3.125),
        (50.0, 51.0, 3.0),
        (50.0, 450.0, 50.0),
        (7200.0, 0.0, 60.0),
        (0.0, 0.0, 3.0),
    ] {
        assert_eq!(poll_in(expected, age), wait, "{expected} {age}");
    }
}

/// What was heard, after what, and what is known then: the table of all that can
/// come in any order.
#[test]
fn answers_in_any_order() {
    let refused = Refused {
        status: 422,
        reason: "no".into(),
    };
    let accepted = Phase::Accepted(JobState::Pending);
    let done = Phase::Final(Outcome::Done);
    let gone = Phase::Final(Outcome::Withdrawn);
    let contradiction = |m: &Meaning| matches!(m, Meaning::Contradiction(_));
    let state = Heard::State;
    for (before, heard, after, contradicts) in [
        (Phase::Waiting, Heard::Created, accepted.clone(), false),
        (Phase::Waiting, state(JobState::Done), done.clone(), false),
        (Phase::Waiting, Heard::NotFound, Phase::Waiting, false),
        (
            Phase::Waiting,
            Heard::Refused(refused.clone()),
            Phase::Refused(refused.clone()),
            false,
        ),
        (accepted.clone(), Heard::Created, accepted.clone(), false),
        (accepted.clone(), Heard::NotFound, accepted.clone(), true),
        (
            accepted.clone(),
            Heard::Refused(refused.clone()),
            accepted.clone(),
            true,
        ),
        (
            accepted.clone(),
            state(JobState::Cancelled),
            gone.clone(),
            false,
        ),
        (done.clone(), state(JobState::Pending), done.clone(), false),
        (done.clone(), state(JobState::Cancelled), done.clone(), true),
        (done.clone(), Heard::Created, done.clone(), true),
        (gone.clone(), state(JobState::Done), gone.clone(), true),
        (
            Phase::Refused(refused.clone()),
            state(JobState::Done),
            Phase::Refused(refused.clone()),
            true,
        ),
    ] {
        let mut job = record();
        job.phase = before.clone();
        let meaning = job.hear(&heard, 9);
        assert_eq!(job.phase, after, "{before:?} {heard:?}");
        assert_eq!(contradiction(&meaning), contradicts, "{before:?} {heard:?}");
        assert_eq!(meaning == Meaning::News, before != after);
    }
}

#[test]
fn what_an_answer_says() {
    let id = record().id;
    let body =
        |state: &str| format!(r#"{{"name_id":"{id}","status":"{state}","done":1,"running":2}}"#);
    let other = r#"{"name_id":"run-1","status":"done","done":1,"running":0}"#.to_string();
    let heard = |h| Some(h);
    let done = Heard::State(JobState::Done);
    for (step, status, text, expected) in [
        (Step::Submit, 201, body("pending"), heard(Heard::Created)),
        (Step::Submit, 200, body("done"), heard(done.clone())),
        (Step::Submit, 200, other.clone(), None),
        (Step::Submit, 201, "<html>".into(), None),
        (Step::Submit, 404, "{}".into(), None),
        (Step::Submit, 302, body("done"), None),
        (Step::Poll, 200, body("done"), heard(done.clone())),
        (Step::Poll, 200, body("paused"), None),
        (Step::Poll, 404, "{}".into(), heard(Heard::NotFound)),
        (Step::Poll, 400, "{}".into(), None),
        (
            Step::Cancel,
            200,
            body("withdrawn"),
            heard(Heard::State(JobState::Cancelled)),
        ),
        (Step::Cancel, 503, body("withdrawn"), None),
    ] {
        let answer = Answer {
            status,
            retry_after: Some(f64::NAN),
            body: text.clone().into_bytes(),
        };
        let found = match judge(step, id, &Ok(answer)) {
            Verdict::Heard(heard) => Some(heard),
            Verdict::Again { retry_after, .. } => {
                assert_eq!(retry_after, None, "not a number");
                None
            }
        };
        assert_eq!(found, expected, "{step:?} {status} {text}");
    }
}

#[test]
fn settings_and_keys_name_what_is_wrong() {
    let good = Settings::new(["http://a:1"]);
    assert!(good.check().is_ok());
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
        let mut settings = good.clone();
        change(&mut settings);
        assert_eq!(settings.check().unwrap_err().field, field);
    }
    for (key, good) in [
        ("evening/1", true),
        ("", false),
        ("a\nb", false),
        (&"k".repeat(513), false),
    ] {
        assert_eq!(Key::new(key).is_ok(), good, "{key}");
    }
}
