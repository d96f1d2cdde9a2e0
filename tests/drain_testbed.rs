//! Tests drains with real controllers on loopback under load. `foxctl` drains machines one after
//! the other, while the leader is killed, the state service is unavailable, and two operators try
//! to drain the same machine.

use clap::Parser;
use foxctl::cli::Cli;
use foxspur_client::{Client, Outbox, Settings};
use foxspur_testbed::checker::check;
use foxspur_testbed::fault::Fault;
use foxspur_testbed::load::{Arrivals, LoadCounters, LoadGenerator};
use foxspur_testbed::site::{Site, DEFAULT};
use foxspur_testbed::testbed::Testbed;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Number of jobs that the load submits.
const JOBS: u64 = 200;

/// Runs a `foxctl` command line against the controllers at `admin_addresses` (separated by
/// commas), on a thread of its own. Returns the exit code and the output or error message.
async fn foxctl(admin_addresses: &str, line: &str) -> (u8, String) {
    let command_line = format!("foxctl --at {admin_addresses} {line}");
    let result = tokio::task::spawn_blocking(move || {
        let cli = Cli::try_parse_from(command_line.split(' ')).unwrap();
        let mut out = Vec::new();
        match foxctl::run::run(&cli, &mut out) {
            Ok(code) => (code, String::from_utf8_lossy(&out).to_string()),
            Err(error) => (error.code(), error.to_string()),
        }
    });
    result.await.unwrap()
}

/// Repeats a command line until its exit code is 0: while a fault lasts, the command may fail.
async fn run_until_ok(admin_addresses: &str, line: &str) {
    for _ in 0..60 {
        if foxctl(admin_addresses, line).await.0 == 0 {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(500)).await;
    }
    panic!(
        "`foxctl {line}` kept failing; last result: {:?}",
        foxctl(admin_addresses, line).await
    );
}

/// The names of the machines in the output of `foxctl machines --json`.
fn machine_names(json: &str) -> Vec<String> {
    let value: serde_json::Value = serde_json::from_str(json).unwrap();
    let rows = value["data"].as_array().unwrap().iter();
    rows.map(|row| row["id"].as_str().unwrap().to_string())
        .collect()
}

/// Runs the operators' commands while the load runs: drains four machines one after the other.
async fn drain_one_by_one(testbed: &Testbed, admin_addresses: &str) {
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(
        foxctl(admin_addresses, "drain m-nowhere --why x").await.0,
        1
    );
    let machines = loop {
        let (code, text) = foxctl(admin_addresses, "machines --json").await;
        if code == 0 {
            break machine_names(&text);
        }
        actix_rt::time::sleep(Duration::from_millis(500)).await;
    };
    // While the state service is unavailable no order can be recorded, so the command fails. The
    // outage lasts far longer than the request takes, even on a slow machine.
    let outage: Fault = "state:6@0".parse().unwrap();
    testbed.schedule(&[outage], 1.0);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    let (code, text) = foxctl(admin_addresses, &format!("undrain {}", machines[0])).await;
    assert_eq!(code, 3, "{text}");
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    for (n, host) in machines.iter().take(4).enumerate() {
        run_until_ok(
            admin_addresses,
            &format!("drain {host} --why kernel --by one --order o-{n}"),
        )
        .await;
        // Repeating the same order changes nothing. An order by another operator is refused.
        run_until_ok(
            admin_addresses,
            &format!("drain {host} --why kernel --by one --order o-{n}"),
        )
        .await;
        let (code, text) = foxctl(
            admin_addresses,
            &format!("drain {host} --why other --by two"),
        )
        .await;
        assert!(
            code == 1 && text.contains("by one") || code == 3,
            "{code} {text}"
        );
        if n == 1 {
            // Kill all controllers, and so the leader, after the drain is recorded and before the
            // leader has acted on it.
            testbed.schedule(&["kill-all@0".parse().unwrap()], 0.1);
        }
        run_until_ok(admin_addresses, "drains --check").await;
        run_until_ok(admin_addresses, &format!("undrain {host}")).await;
    }
    let (code, _) = foxctl(admin_addresses, &format!("undrain {}", machines[0])).await;
    assert!(code == 1 || code == 3);
}

/// Guards against jobs that are lost or run twice, and against drains that never finish, when
/// machines are drained during an outage of the state service and a restart of the controllers.
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
        let admin_addresses: Vec<String> = testbed
            .admins
            .iter()
            .map(std::string::ToString::to_string)
            .collect();
        let outbox = Outbox::open(&dir.path().join("outbox"), true).unwrap();
        let settings = Settings::new([format!("http://{}", testbed.front)]);
        let client = Client::with_outbox(settings, outbox).unwrap();
        let counters = LoadCounters::default();
        let machines = testbed.machines.clone();
        let generator = LoadGenerator {
            client: &client,
            site: &testbed.site,
            history: &testbed.history,
            upload: Arc::new(move |id, spec| machines.upload(id, spec)),
            counters: &counters,
        };
        let load = generator.run(Arrivals {
            seed: 7,
            jobs: JOBS,
            settle: Duration::from_secs(120),
        });
        futures_util::future::join(load, drain_one_by_one(&testbed, &admin_addresses.join(",")))
            .await;
        let counts = counters.counts();
        assert_eq!(counts.done + counts.withdrawn, JOBS, "{counts:?}");
        assert_eq!(check(&testbed.history.entries()), Vec::<String>::new());
        testbed.down().await;
    });
}
