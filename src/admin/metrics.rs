//! Metrics in Prometheus' text format, of this controller and, if it is the
//! owner, of its share. Made anew for each look; nothing is kept between.

use super::services;
use crate::coordination::node::Node;
use crate::coordination::scheduler::state::Scheduler;
use prometheus::{GaugeVec, Opts, Registry, TextEncoder};

/// A set of gauges with these labels, registered.
fn gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<GaugeVec> {
    let gauges = GaugeVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn of_share(registry: &Registry, scheduler: &Scheduler, now: f64) -> prometheus::Result<()> {
    let jobs = scheduler.job_rows(now, 0);
    let live = gauges(
        registry,
        "foxspur_jobs",
        "Live jobs by how they stand",
        &["standing"],
    )?;
    let bad = jobs.stuck + jobs.failing + jobs.late;
    for (standing, n) in [
        ("stuck", jobs.stuck),
        ("failing", jobs.failing),
        ("late", jobs.late),
        ("ok", jobs.live.saturating_sub(bad)),
    ] {
        live.with_label_values(&[standing]).set(n as f64);
    }
    let fleet = gauges(
        registry,
        "foxspur_machines",
        "Machines by state",
        &["state"],
    )?;
    for (state, n) in scheduler.machine_counts(now) {
        let name = format!("{state:?}").to_lowercase();
        fleet.with_label_values(&[&name]).set(n as f64);
    }
    let cpus = gauges(
        registry,
        "foxspur_team_cpus",
        "CPUs of a team",
        &["team", "what"],
    )?;
    for team in scheduler.team_rows() {
        for (what, value) in [
            ("used", team.cpus),
            ("waiting", team.waiting_cpus),
            ("guaranteed", team.cpus_guaranteed),
            ("limit", team.cpus_max),
        ] {
            cpus.with_label_values(&[&team.name, what]).set(value);
        }
    }
    let help = "From acceptance to the first task that runs";
    let waits = gauges(
        registry,
        "foxspur_first_start_seconds",
        help,
        &["class", "quantile"],
    )?;
    for class in scheduler.waits().first_start {
        for (quantile, value) in [
            ("0.5", class.p50_s),
            ("0.9", class.p90_s),
            ("0.99", class.p99_s),
        ] {
            waits.with_label_values(&[&class.name, quantile]).set(value);
        }
    }
    let missing = gauges(
        registry,
        "foxspur_unaccounted_machines",
        "Machines that hold up placing after a takeover",
        &[],
    )?;
    let n = scheduler.unfenced_count().unwrap_or(0);
    missing.with_label_values::<&str>(&[]).set(n as f64);
    Ok(())
}

/// The metrics page.
pub(super) fn text(node: &Node) -> prometheus::Result<String> {
    let registry = Registry::new();
    let owns = gauges(
        &registry,
        "foxspur_owner",
        "1 where this controller owns the share",
        &[],
    )?;
    owns.with_label_values::<&str>(&[])
        .set(f64::from(u8::from(node.may_answer_workers())));
    let term = gauges(
        &registry,
        "foxspur_term",
        "Term of the share as known here",
        &[],
    )?;
    let known = node
        .leadership
        .borrow()
        .view
        .shard
        .as_ref()
        .map_or(0, |(s, _)| s.term);
    term.with_label_values::<&str>(&[]).set(known as f64);
    let calls = gauges(
        &registry,
        "foxspur_service_calls",
        "Calls to an outside service since the start",
        &["service", "result"],
    )?;
    for row in services(node) {
        calls
            .with_label_values(&[row.name.as_str(), "answered"])
            .set(row.answered as f64);
        calls
            .with_label_values(&[row.name.as_str(), "failed"])
            .set(row.failed as f64);
    }
    if let Some(scheduler) = node.scheduler.borrow().as_ref() {
        of_share(&registry, scheduler, node.now())?;
    }
    TextEncoder::new().encode_to_string(&registry.gather())
}
