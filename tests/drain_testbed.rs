//! Real controllers on loopback under load: machines drained one after the other
//! by `foxctl`, while the owner is killed, the state service is away and two
//! operators want the same.

use clap::Parser;
use foxctl::cli::Cli;
use foxspur_client::{Client, Outbox, Settings};
use foxspur_testbed::history::check;
use foxspur_testbed::load::{play, Tally};
use foxspur_testbed::site::{Site, DEFAULT};
use foxspur_testbed::testbed::{Fault, Testbed};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

const JOBS: u64 = 200;

/// One command line of an operator, on a thread of its own: its code and output.
async fn foxctl(at: &str, line: &str) -> (u8, String) {
    let all = format!("foxctl --at {at} {line}");
    let ran = tokio::task::spawn_blocking(move || {
        let cli = Cli::try_parse_from(all.split(' ')).unwrap();
        let mut out = Vec::new();
        match foxctl::run::run(&cli, &mut out) {
            Ok(code) => (code, String::from_utf8_lossy(&out).to_string()),
            Err(error) => (error.code(), error.to_string()),
        }
    });
    ran.await.unwrap()
}

/// Tries a line until it ends with 0: what is in the way passes.
async fn at_last(at: &str, line: &str) {
    for _ in 0..60 {
        if foxctl(at, line).await.0 == 0 {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(500)).await;
    }
    panic!("{line}: {:?}", foxctl(at, line).await);
}

fn names(json: &str) -> Vec<String> {
    let value: serde_json::Value = serde_json::from_str(json).unwrap();
    let rows = value["data"].as_array().unwrap().iter();
    rows.map(|r| r["id"].as_str().unwrap().to_string())
        .collect()
}

async fn operators(testbed: &Testbed, at: &str) {
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(foxctl(at, "drain m-nowhere --why x").await.0, 1);
    let machines = loop {
        let (code, text) = foxctl(at, "machines --json").await;
        if code == 0 {
            break names(&text);
        }
        actix_rt::time::sleep(Duration::from_millis(500)).await;
    };
    // Nothing is recorded while the state service is away, and it says so. It is
    // away for far longer than the question takes, also on a slow machine.
    let away: Fault = "state:6@0".parse().unwrap();
    testbed.schedule(&[away], 1.0);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    let (code, text) = foxctl(at, &format!("undrain {}", machines[0])).await;
    assert_eq!(code, 3, "{text}");
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    for (n, host) in machines.iter().take(4).enumerate() {
        at_last(
            at,
            &format!("drain {host} --why kernel --by one --order o-{n}"),
        )
        .await;
        // The same order again is one; another operator's is refused.
        at_last(
            at,
            &format!("drain {host} --why kernel --by one --order o-{n}"),
        )
        .await;
        let (code, text) = foxctl(at, &format!("drain {host} --why other --by two")).await;
        assert!(
            code == 1 && text.contains("by one") || code == 3,
            "{code} {text}"
        );
        if n == 1 {
            // The owner dies between the record and what follows from it.
            testbed.schedule(&["kill-all@0".parse().unwrap()], 0.1);
        }
        at_last(at, "drains --check").await;
        at_last(at, &format!("undrain {host}")).await;
    }
    let (code, _) = foxctl(at, &format!("undrain {}", machines[0])).await;
    assert!(code == 1 || code == 3);
}

#[test]
fn machines_are_drained_one_after_the_other_under_load() {
    let mut site = Site::parse(DEFAULT).unwrap();
    site.load.jobs_per_s = 8.0;
    site.load.run_s = 0.5;
    site.restart_s = 1.0;
    let dir = tempfile::tempdir().unwrap();
    actix_rt::System::new().block_on(async {
        let program = Path::new(env!("CARGO_BIN_EXE_foxspur"));
        let testbed = Testbed::up(site, program, dir.path()).await.unwrap();
        let at: Vec<String> = testbed.admins.iter().map(|a| a.to_string()).collect();
        let outbox = Outbox::open(&dir.path().join("outbox"), true).unwrap();
        let settings = Settings::new([format!("http://{}", testbed.front)]);
        let client = Client::with_outbox(settings, outbox).unwrap();
        let tally = Tally::default();
        let machines = testbed.machines.clone();
        let upload = Arc::new(move |id, spec| machines.upload(id, spec));
        let arrivals = (7, JOBS, Duration::from_secs(120));
        let load = play(
            &client,
            &testbed.site,
            &testbed.history,
            upload,
            arrivals,
            &tally,
        );
        futures_util::future::join(load, operators(&testbed, &at.join(","))).await;
        let counts = tally.counts();
        assert_eq!(counts.done + counts.withdrawn, JOBS, "{counts:?}");
        assert_eq!(check(&testbed.history.entries()), Vec::<String>::new());
        testbed.down().await;
    });
}
