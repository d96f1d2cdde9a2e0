//! Tests of the history checker, and of the parsers of faults and site files.

use foxspur_testbed::checker::check;
use foxspur_testbed::fault::Fault;
use foxspur_testbed::history::{Entry, Event};
use foxspur_testbed::site::{Site, DEFAULT};

fn started(task: &str, attempt: u64, machine: &str) -> Event {
    Event::On {
        task: task.into(),
        attempt,
        machine: machine.into(),
        team: "t".into(),
        cpus: 2.0,
    }
}

fn completed(task: &str, attempt: u64, machine: &str) -> Event {
    Event::Off {
        task: task.into(),
        attempt,
        machine: machine.into(),
        done: true,
    }
}

fn told(key: &str, job: &str, what: &str) -> Event {
    Event::Told {
        key: key.into(),
        job: job.into(),
        what: what.into(),
    }
}

/// Guards against a checker that misses the violation of a rule or reports one where there is none.
#[test]
fn a_violation_of_each_rule_is_found() {
    let limits = Event::Rules {
        team: "t".into(),
        cpus_max: 3.0,
        cancel_s: 5.0,
    };
    let cancelled = || Event::Cancelled {
        job: "run-1".into(),
    };
    let one_task = || {
        vec![
            (1.0, started("run-1/0", 1, "m1")),
            (2.0, completed("run-1/0", 1, "m1")),
        ]
    };
    // Events in addition to those of one completed task, and the rule that they violate, if any.
    let cases: [(Vec<(f64, Event)>, &str); 8] = [
        (vec![], ""),
        (vec![(1.5, started("run-1/0", 2, "m2"))], "ran_twice"),
        (vec![(1.5, started("run-2/0", 2, "m2"))], "quota"),
        (vec![(2.5, started("run-2/0", 2, "m2"))], ""),
        (
            vec![(2.5, cancelled()), (8.0, started("run-1/1", 2, "m2"))],
            "ran_cancelled",
        ),
        (
            vec![
                (3.0, told("k", "run-1", "done")),
                (4.0, told("k", "run-1", "withdrawn")),
            ],
            "went_back",
        ),
        (
            vec![
                (3.0, told("k", "run-1", "known")),
                (4.0, told("k", "run-2", "known")),
            ],
            "two jobs",
        ),
        (
            vec![
                (3.0, told("k", "run-1", "done")),
                (4.0, told("k", "run-1", "done")),
            ],
            "",
        ),
    ];
    for (extra, rule) in cases {
        let mut all = vec![(0.0, limits.clone())];
        all.extend(one_task());
        all.extend(extra.clone());
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        let entries: Vec<Entry> = all
            .into_iter()
            .map(|(at, event)| Entry { at, event })
            .collect();
        let violations = check(&entries);
        match rule {
            "" => assert!(violations.is_empty(), "{extra:?}: {violations:?}"),
            rule => assert!(
                violations
                    .iter()
                    .any(|violation| violation.starts_with(rule)),
                "{rule}: {violations:?}"
            ),
        }
    }
    assert!(check(&[])[0].starts_with("nothing_ran"));
}

/// Guards against invalid faults or site files that are accepted, and against errors of site files
/// that do not name the invalid field.
#[test]
fn invalid_faults_and_sites_are_rejected() {
    for (text, valid) in [
        ("kill@5", true),
        ("pause:3@8/20", true),
        ("pause@x", false),
        ("melt@5", false),
        ("kill", false),
        ("kill@5/0", false),
        ("cut:-1@5", false),
    ] {
        assert_eq!(text.parse::<Fault>().is_ok(), valid, "{text}");
    }
    assert!(Site::parse(DEFAULT).is_ok());
    for (from, to, field) in [
        ("controllers = 3", "controllers = 0", "controllers"),
        ("lease_s = 8.0", "lease_s = 0.1", "lease_s"),
        ("tasks = 6", "tasks = 0", "load.tasks"),
        ("tasks = 6", "taks = 6", "taks"),
    ] {
        let error = Site::parse(&DEFAULT.replacen(from, to, 1)).unwrap_err();
        assert!(error.contains(field), "{to}: {error}");
    }
}

/// Guards against judging polls by the average over all jobs. Of two polled jobs one gets no
/// answers. It must be reported although the other one is answered, but only once its polls have
/// been unanswered for too long since the last fault.
#[test]
fn a_job_without_answers_is_reported_even_if_others_are_answered() {
    let asked = |at: f64, job: &str, answered: bool| Entry {
        at,
        event: Event::Asked {
            job: job.into(),
            answered,
        },
    };
    // The job is polled every 5 s until `until`. `fault_at` is the time of the last fault and
    // `answered_at` that of the only answer. `expected` states whether the job is reported.
    for (until, fault_at, answered_at, expected) in [
        (70.0, 0.0, None, false),
        (85.0, 0.0, None, true),
        (85.0, 40.0, None, false),
        (125.0, 40.0, None, true),
        (125.0, 40.0, Some(80.0), false),
    ] {
        let mut entries = vec![Entry {
            at: 0.0,
            event: completed("run-1/0", 1, "m"),
        }];
        let mut at = 0.0;
        while at <= until {
            if at == fault_at {
                let what = "kill".into();
                entries.push(Entry {
                    at,
                    event: Event::Fault { what },
                });
            }
            entries.push(asked(at, "run-1", answered_at == Some(at)));
            entries.push(asked(at, "run-2", true));
            at += 5.0;
        }
        let violations = check(&entries);
        let found = violations
            .iter()
            .any(|violation| violation.starts_with("forgotten: run-1"));
        assert_eq!(
            found, expected,
            "{until} {fault_at} {answered_at:?}: {violations:?}"
        );
        assert!(!violations
            .iter()
            .any(|violation| violation.contains("run-2")));
    }
}

/// Guards against a checker that misses an answer that contradicts one received before its request
/// was sent, or that reports an answer whose request was already in progress then.
#[test]
fn contradicting_answers_are_found() {
    use foxspur_testbed::history::Status::{self, Accepted, Done, Unknown, Withdrawn};
    let probe = |begun: f64, at: f64, status: Status| Entry {
        at,
        event: Event::Looked {
            job: "run-1".into(),
            begun,
            status,
        },
    };
    for (early, late, begun, expected) in [
        (Accepted, Unknown, 2.1, true),
        (Accepted, Unknown, 1.9, false),
        (Withdrawn, Accepted, 2.1, true),
        (Withdrawn, Done, 2.1, true),
        (Done, Withdrawn, 2.1, true),
        (Accepted, Done, 2.1, false),
        (Done, Done, 2.1, false),
    ] {
        let history = [probe(1.0, 2.0, early), probe(begun, 3.0, late)];
        let violations = check(&history);
        let went_back = violations
            .iter()
            .any(|violation| violation.starts_with("went_back"));
        assert_eq!(
            went_back, expected,
            "{early:?}, then {late:?}: {violations:?}"
        );
    }
}
