//! Tables of teams, machines, shards, services and waits.

use super::{duration, optional_duration, table, variant_name, word_or_dash, EMPTY_CELL};
use foxspur_wire::admin::{MachineRow, Quantiles, ServiceRow, ShardRow, TeamRow, Waits};

const TEAMS_HEADER: [&str; 10] = [
    "team",
    "cpus",
    "guaranteed",
    "limit",
    "gpus",
    "guaranteed",
    "limit",
    "jobs",
    "waiting tasks",
    "waiting cpus",
];

/// The table of teams: what they use, and their guarantees and limits.
pub fn teams(teams: &[TeamRow]) -> String {
    let row = |team: &TeamRow| {
        vec![
            team.name.clone(),
            format!("{:.1}", team.cpus),
            quota(team.cpus_guaranteed),
            quota(team.cpus_max),
            format!("{:.1}", team.gpus),
            quota(team.gpus_guaranteed),
            quota(team.gpus_max),
            team.jobs.to_string(),
            team.waiting_tasks.to_string(),
            format!("{:.1}", team.waiting_cpus),
        ]
    };
    table(&TEAMS_HEADER, teams.iter().map(row))
}

fn quota(amount: f64) -> String {
    if amount > 0.0 {
        format!("{amount:.0}")
    } else {
        EMPTY_CELL.into()
    }
}

const MACHINES_HEADER: [&str; 10] = [
    "machine",
    "type",
    "zone",
    "spot",
    "state",
    "tasks",
    "bound",
    "free cpus",
    "silent",
    "why",
];

/// The table of machines and their states.
pub fn machines(machines: &[MachineRow]) -> String {
    let row = |machine: &MachineRow| {
        vec![
            machine.id.clone(),
            machine.kind.clone(),
            machine.zone.clone(),
            word_or_dash(machine.spot, "spot"),
            variant_name(&machine.state),
            machine.tasks.to_string(),
            machine.bound.to_string(),
            format!("{:.1}", machine.free_cpus),
            duration(machine.silent_s),
            machine.why.clone(),
        ]
    };
    table(&MACHINES_HEADER, machines.iter().map(row))
}

/// The header for the rows of [`shares`].
pub const SHARES_HEADER: [&str; 9] = [
    "seen from",
    "share",
    "owner",
    "term",
    "owns",
    "made sure",
    "missing",
    "alive",
    "former",
];

/// The rows of the shards as the controller `from` sees them.
pub fn shares(from: &str, shares: &[ShardRow]) -> Vec<Vec<String>> {
    let row = |share: &ShardRow| {
        vec![
            from.to_string(),
            share.share.to_string(),
            share.owner.clone().unwrap_or_else(|| "nobody".into()),
            share.term.to_string(),
            word_or_dash(share.ours, "yes"),
            optional_duration(share.confirmed_s, EMPTY_CELL),
            share
                .missing
                .map_or(EMPTY_CELL.into(), |count| count.to_string()),
            share.alive.join(" "),
            share.former.join(" "),
        ]
    };
    shares.iter().map(row).collect()
}

/// The header for the rows of [`services`].
pub const SERVICES_HEADER: [&str; 6] =
    ["seen from", "service", "answered", "last", "failed", "last"];

/// The rows of the external services: how the controller `from` last reached them.
pub fn services(from: &str, services: &[ServiceRow]) -> Vec<Vec<String>> {
    let row = |service: &ServiceRow| {
        vec![
            from.to_string(),
            service.name.clone(),
            service.answered.to_string(),
            optional_duration(service.answered_s, "never"),
            service.failed.to_string(),
            optional_duration(service.failed_s, "never"),
        ]
    };
    services.iter().map(row).collect()
}

const WAITS_HEADER: [&str; 7] = ["what", "class", "count", "p50 s", "p90 s", "p99 s", "max s"];

/// The table of quantiles of the times until the first start and until acceptance.
pub fn waits(waits: &Waits) -> String {
    let first_starts = waits.first_start.iter();
    let first_starts = first_starts.map(|quantiles| wait_row("first start", quantiles));
    let acceptance = waits.acceptance.iter();
    let acceptance = acceptance.map(|quantiles| wait_row("acceptance", quantiles));
    table(&WAITS_HEADER, first_starts.chain(acceptance))
}

fn wait_row(what: &str, quantiles: &Quantiles) -> Vec<String> {
    let seconds = |value: f64| format!("{value:.2}");
    vec![
        what.to_string(),
        quantiles.name.clone(),
        quantiles.count.to_string(),
        seconds(quantiles.p50_s),
        seconds(quantiles.p90_s),
        seconds(quantiles.p99_s),
        seconds(quantiles.max_s),
    ]
}
