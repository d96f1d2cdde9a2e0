//! The checker finds what it is there for, and faults and sites name what is
//! wrong with them.

use foxspur_testbed::checker::check;
use foxspur_testbed::fault::Fault;
use foxspur_testbed::history::{Entry, Event};
use foxspur_testbed::site::{Site, DEFAULT};

fn on(task: &str, attempt: u64, machine: &str) -> Event {
    Event::On {
        task: task.into(),
        attempt,
        machine: machine.into(),
        team: "t".into(),
        cpus: 2.0,
    }
}

fn off(task: &str, attempt: u64, machine: &str) -> Event {
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

#[test]
fn each_rule_is_found_broken() {
    let limits = Event::Rules {
        team: "t".into(),
        cpus_max: 3.0,
        cancel_s: 5.0,
    };
    let cancelled = || Event::Cancelled {
        job: "run-1".into(),
    };
    let run = || {
        vec![
            (1.0, on("run-1/0", 1, "m1")),
            (2.0, off("run-1/0", 1, "m1")),
        ]
    };
    // What happens besides one task that runs, and the rule that it breaks.
    let cases: [(Vec<(f64, Event)>, &str); 8] = [
        (vec![], ""),
        (vec![(1.5, on("run-1/0", 2, "m2"))], "ran_twice"),
        (vec![(1.5, on("run-2/0", 2, "m2"))], "quota"),
        (vec![(2.5, on("run-2/0", 2, "m2"))], ""),
        (
            vec![(2.5, cancelled()), (8.0, on("run-1/1", 2, "m2"))],
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
    for (more, rule) in cases {
        let mut all = vec![(0.0, limits.clone())];
        all.extend(run());
        all.extend(more.clone());
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        let entries: Vec<Entry> = all
            .into_iter()
            .map(|(at, event)| Entry { at, event })
            .collect();
        let broken = check(&entries);
        match rule {
            "" => assert!(broken.is_empty(), "{more:?}: {broken:?}"),
            rule => assert!(
                broken.iter().any(|b| b.starts_with(rule)),
                "{rule}: {broken:?}"
            ),
        }
    }
    assert!(check(&[])[0].starts_with("nothing_ran"));
}

#[test]
fn faults_and_sites_name_what_is_wrong() {
    for (text, good) in [
        ("kill@5", true),
        ("pause:3@8/20", true),
        ("pause@x", false),
        ("melt@5", false),
        ("kill", false),
        ("kill@5/0", false),
        ("cut:-1@5", false),
    ] {
        assert_eq!(text.parse::<Fault>().is_ok(), good, "{text}");
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

/// Guards against counting by averages: of two jobs the one without an answer is found,
/// from the last fault on, and not before its time is over.
#[test]
fn a_job_without_answers_is_forgotten_however_others_fare() {
    let asked = |at: f64, job: &str, answered: bool| Entry {
        at,
        event: Event::Asked {
            job: job.into(),
            answered,
        },
    };
    // Asked every 5 s until then; the last fault; the job's one answer; forgotten.
    for (until, fault, answer, lost) in [
        (70.0, 0.0, None, false),
        (85.0, 0.0, None, true),
        (85.0, 40.0, None, false),
        (125.0, 40.0, None, true),
        (125.0, 40.0, Some(80.0), false),
    ] {
        let mut entries = vec![Entry {
            at: 0.0,
            event: off("run-1/0", 1, "m"),
        }];
        let fault_at = fault;
        let mut at = 0.0;
        while at <= until {
            if at == fault_at {
                let what = "kill".into();
                entries.push(Entry {
                    at,
                    event: Event::Fault { what },
                });
            }
            entries.push(asked(at, "run-1", answer == Some(at)));
            entries.push(asked(at, "run-2", true));
            at += 5.0;
        }
        let broken = check(&entries);
        let found = broken.iter().any(|b| b.starts_with("forgotten: run-1"));
        assert_eq!(found, lost, "{until} {fault} {answer:?}: {broken:?}");
        assert!(!broken.iter().any(|b| b.contains("run-2")));
    }
}

/// An answer to a question that came after a newer answer is found, whatever it says; one
/// that was under way is not.
#[test]
fn answers_that_go_back_are_found() {
    use foxspur_testbed::history::Status::{self, Accepted, Done, Unknown, Withdrawn};
    let look = |begun: f64, at: f64, status: Status| Entry {
        at,
        event: Event::Looked {
            job: "run-1".into(),
            begun,
            status,
        },
    };
    for (early, late, begun, found) in [
        (Accepted, Unknown, 2.1, true),
        (Accepted, Unknown, 1.9, false),
        (Withdrawn, Accepted, 2.1, true),
        (Withdrawn, Done, 2.1, true),
        (Done, Withdrawn, 2.1, true),
        (Accepted, Done, 2.1, false),
        (Done, Done, 2.1, false),
    ] {
        let history = [look(1.0, 2.0, early), look(begun, 3.0, late)];
        let broken = check(&history);
        let went_back = broken.iter().any(|b| b.starts_with("went_back"));
        assert_eq!(went_back, found, "{early:?}, then {late:?}: {broken:?}");
    }
}
