//! Real controllers on loopback with fault injection: connections cut at random bytes,
//! controllers killed and paused, the state service unavailable. Whatever happens, the history
//! checker finds no violation, each job exists once, and each has one terminal record.

use foxspur_client::{Client, Outbox, Settings};
use foxspur_testbed::checker::check;
use foxspur_testbed::fault::{Fault, FaultKind};
use foxspur_testbed::history::{Entry, Event};
use foxspur_testbed::load::{Arrivals, LoadCounters, LoadGenerator};
use foxspur_testbed::site::{Site, DEFAULT};
use foxspur_testbed::testbed::Testbed;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

const JOBS: u64 = 300;

#[test]
fn every_job_exists_once_whatever_the_connections_do() {
    let cuts = run_rough(&["cut:250@0", "kill@3/4", "pause:3@5", "state:2@9", "die@6"]);
    assert!(cuts > 50, "only {cuts} cuts: too weak");
}

/// The same while machines receive nothing, copies of heartbeats follow late, a controller
/// is partitioned from all but its workers, and controllers restart at once, twice in a row.
#[test]
fn every_job_exists_once_though_machines_receive_nothing() {
    run_rough(&[
        "late-reports:14@0",
        "deaf:7@1",
        "deaf:7@2",
        "deaf:5@5",
        "island:4@4",
        "blink@3",
        "blink@3.3",
        "blink@9/1.5",
        "die@6",
    ]);
}

/// Many jobs are cancelled while direct calls are carried out once more, late, a leader is
/// refused, paused, killed and restarted, and the state service becomes unavailable right
/// after answers.
#[test]
fn cancelled_jobs_stay_cancelled_whatever_is_repeated() {
    let mut site = rough_site();
    site.load.cancelled = 0.3;
    let faults = [
        "late-commands:14@0",
        "refuse:3@2",
        "pause:3@4",
        "blink@5/2",
        "state:2@7",
        "state:2@10",
        "kill@8",
    ];
    run_site(site, &faults, JOBS);
}

/// The state service refuses the leader alone, the others confirm cancellations, then it is
/// unavailable to all for longer than `cancel_s`, while workers send heartbeats to the leader:
/// what was cancelled is gone in time all the same.
#[test]
fn cancelled_jobs_end_in_time_though_the_leader_was_refused_first() {
    let mut site = rough_site();
    (site.load.jobs_per_s, site.load.tasks) = (10.0, 2);
    (site.load.cancelled, site.load.cancel_after_s) = (0.8, 1.5);
    site.load.run_s = 20.0;
    (site.workers.lease_s, site.workers.cancel_s) = (4.0, 9.0);
    let (entries, _) = run_site(site, &["refuse-owner:5@4.5", "state:13@7.5"], 80);
    // Both faults met: cancelled while the leader alone was refused, just before the state
    // service became unavailable, after a task of it had started on a machine.
    let fault = |name: &str| {
        let made = |e: &&Entry| matches!(&e.event, Event::Fault { what } if what.starts_with(name));
        entries.iter().find(made).map(|e| e.at).expect(name)
    };
    let (refused, away) = (fault("refuse-owner"), fault("state"));
    let told = entries.iter().filter_map(|e| match &e.event {
        Event::Cancelled { job } if (refused..away).contains(&e.at) => Some((job, e.at)),
        _ => None,
    });
    let ran = |job: &str, at: f64| {
        let on = |e: &&Entry| matches!(&e.event, Event::On { task, .. } if e.at < at && task.split('/').next() == Some(job));
        entries.iter().any(|e| on(&e))
    };
    let met = told.filter(|(job, at)| ran(job, *at)).count();
    assert!(met > 0, "nothing that ran was cancelled in the gap");
}

/// Users ask every controller as soon as one was told anything, cancel and repeat, while
/// answers of transactions are lost, direct calls are carried out late, and controllers are
/// killed or paused: no answer is older than one that came before its question.
#[test]
fn answers_do_not_go_back_though_those_of_the_state_service_are_lost() {
    let mut site = rough_site();
    site.load.cancelled = 0.3;
    let faults = [
        "close-looks:12@0",
        "lost-answers:9@1",
        "late-commands:12@1",
        "pause:2@3",
        "blink@5",
        "refuse:3@7",
        "kill@9",
    ];
    let (entries, _) = run_site(site, &faults, JOBS);
    let probed = |e: &&Entry| matches!(e.event, Event::Looked { .. });
    let probes = entries.iter().filter(probed).count();
    assert!(probes > 200, "only {probes} probes were answered");
}

/// Runs the load of the rough site with these faults; how many answers were cut.
fn run_rough(faults: &[&str]) -> usize {
    run_site(rough_site(), faults, JOBS).1
}

/// The default site with more and shorter jobs.
fn rough_site() -> Site {
    let mut site = Site::parse(DEFAULT).unwrap();
    site.load.jobs_per_s = 20.0;
    site.load.run_s = 0.3;
    site.restart_s = 1.0;
    site
}

/// Runs a site's load with these faults on real processes; the history, and how many answers
/// were cut.
fn run_site(site: Site, faults: &[&str], jobs: u64) -> (Vec<Entry>, usize) {
    let faults: Vec<Fault> = faults.iter().map(|f| f.parse().unwrap()).collect();
    let dir = tempfile::tempdir().unwrap();
    actix_rt::System::new().block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_foxspur"));
        let testbed = Testbed::up(site, program, dir.path()).await.unwrap();
        let outbox = Outbox::open(&dir.path().join("outbox"), true).unwrap();
        let settings = Settings::new([format!("http://{}", testbed.front)]);
        let client = Client::with_outbox(settings, outbox).unwrap();
        testbed.schedule(&faults, 14.0);
        let counters = LoadCounters::default();
        let machines = testbed.machines.clone();
        let generator = LoadGenerator {
            client: &client,
            site: &testbed.site,
            history: &testbed.history,
            upload: Arc::new(move |id, spec| machines.upload(id, spec)),
            counters: &counters,
        };
        let arrivals = Arrivals {
            seed: 7,
            jobs,
            settle: Duration::from_secs(120),
        };
        generator.run(arrivals).await;
        let counts = counters.counts();
        assert_eq!(counts.accepted, jobs, "{counts:?}");
        assert_eq!(counts.done + counts.withdrawn, jobs, "{counts:?}");
        assert_eq!(client.len(), Ok((jobs as _, 0)));
        // As the state service has it, whatever the library thinks.
        let (live, over) = (
            testbed.state.count("fx/live/"),
            testbed.state.count("fx/fin/"),
        );
        assert_eq!((live, over), (0, jobs as usize));
        let loses = faults.iter().any(|f| f.kind == FaultKind::LostAnswers);
        let lost = testbed.state.answers_lost();
        assert!(!loses || lost > 5, "only {lost} answers were lost");
        let cuts = testbed.connection_faults.cuts();
        let entries = testbed.history.entries();
        let asked = |e: &&Entry| matches!(e.event, Event::Asked { answered: true, .. });
        assert!(
            entries.iter().filter(asked).count() > 20,
            "nobody was asked"
        );
        assert_eq!(check(&entries), Vec::<String>::new());
        testbed.down().await;
        (entries, cuts)
    })
}
