//! Answers as tables.

use comfy_table::{presets, Table};
use foxspur_plan::plan::{Plan, Range, Variant};
use foxspur_wire::admin::{
    Answer, DrainRow, DrainState, Jobs, MachineRow, ServiceRow, ShareRow, Spread, Standing,
    TeamRow, Waits,
};
use foxspur_wire::roll::{AtMost, Roll, RollState};

/// A table with this head.
fn table<R: IntoIterator<Item = Vec<String>>>(head: &[&str], rows: R) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(head.iter().map(|h| h.to_uppercase()));
    for row in rows {
        table.add_row(row);
    }
    format!("{table}\n")
}

/// Who says this, and how old it is.
pub fn origin<T>(answer: &Answer<T>) -> String {
    let owner = answer.owner.as_deref().unwrap_or("nobody");
    let mut line = format!("from {}, owner {owner}, term {}", answer.from, answer.term);
    if answer.age_s > 0.0 {
        line.push_str(&format!(
            "; {:.0} s OLD: the owner does not answer now",
            answer.age_s
        ));
    }
    line.push('\n');
    line
}

/// `some-name` of a value that serializes to it.
pub fn name<T: serde::Serialize>(value: &T) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    text.trim_matches('"').to_string()
}

/// Seconds as people read them.
pub fn span(s: f64) -> String {
    match s.abs() {
        a if a < 120.0 => format!("{s:.0}s"),
        a if a < 7200.0 => format!("{:.0}m", s / 60.0),
        a if a < 172_800.0 => format!("{:.1}h", s / 3600.0),
        _ => format!("{:.1}d", s / 86_400.0),
    }
}

pub fn jobs(jobs: &Jobs) -> String {
    let rows = jobs.rows.iter().map(|j| {
        let standing = match j.standing {
            Standing::Ok => "ok".to_string(),
            bad => name(&bad).to_uppercase(),
        };
        vec![
            standing,
            j.id.clone(),
            j.class.clone(),
            j.team.clone(),
            span(j.age_s),
            j.slack_s.map_or("-".into(), span),
            format!("{}/{}", j.done, j.tasks),
            j.running.to_string(),
            j.waiting.to_string(),
            j.why.clone(),
        ]
    });
    let head = [
        "state", "job", "class", "team", "age", "slack", "done", "runs", "waits", "why",
    ];
    let mut text = table(&head, rows);
    text.push_str(&format!(
        "{} live, {} stuck, {} failing, {} late\n",
        jobs.live, jobs.stuck, jobs.failing, jobs.late
    ));
    text
}

fn limit(value: f64) -> String {
    if value > 0.0 {
        format!("{value:.0}")
    } else {
        "-".into()
    }
}

pub fn teams(teams: &[TeamRow]) -> String {
    let head = [
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
    let rows = teams.iter().map(|t| {
        vec![
            t.name.clone(),
            format!("{:.1}", t.cpus),
            limit(t.cpus_guaranteed),
            limit(t.cpus_max),
            format!("{:.1}", t.gpus),
            limit(t.gpus_guaranteed),
            limit(t.gpus_max),
            t.jobs.to_string(),
            t.waiting_tasks.to_string(),
            format!("{:.1}", t.waiting_cpus),
        ]
    });
    table(&head, rows)
}

pub fn machines(machines: &[MachineRow]) -> String {
    let head = [
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
    let rows = machines.iter().map(|m| {
        vec![
            m.id.clone(),
            m.kind.clone(),
            m.zone.clone(),
            if m.spot { "spot" } else { "-" }.into(),
            name(&m.state),
            m.tasks.to_string(),
            m.bound.to_string(),
            format!("{:.1}", m.free_cpus),
            span(m.silent_s),
            m.why.clone(),
        ]
    });
    table(&head, rows)
}

pub fn shares(from: &str, shares: &[ShareRow]) -> Vec<Vec<String>> {
    let row = |s: &ShareRow| {
        vec![
            from.to_string(),
            s.share.to_string(),
            s.owner.clone().unwrap_or_else(|| "nobody".into()),
            s.term.to_string(),
            if s.ours { "yes" } else { "-" }.into(),
            s.confirmed_s.map_or("-".into(), span),
            s.missing.map_or("-".into(), |n| n.to_string()),
            s.alive.join(" "),
            s.former.join(" "),
        ]
    };
    shares.iter().map(row).collect()
}

pub const SHARES: [&str; 9] = [
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

pub fn services(from: &str, services: &[ServiceRow]) -> Vec<Vec<String>> {
    let row = |s: &ServiceRow| {
        vec![
            from.to_string(),
            s.name.clone(),
            s.answered.to_string(),
            s.answered_s.map_or("never".into(), span),
            s.failed.to_string(),
            s.failed_s.map_or("never".into(), span),
        ]
    };
    services.iter().map(row).collect()
}

pub const SERVICES: [&str; 6] = ["seen from", "service", "answered", "last", "failed", "last"];

/// Rows of several controllers under one head.
pub fn together(head: &[&str], rows: Vec<Vec<String>>) -> String {
    table(head, rows)
}

pub fn waits(waits: &Waits) -> String {
    let row = |what: &str, s: &Spread| {
        let time = |v: f64| format!("{v:.2}");
        vec![
            what.to_string(),
            s.name.clone(),
            s.count.to_string(),
            time(s.p50_s),
            time(s.p90_s),
            time(s.p99_s),
            time(s.max_s),
        ]
    };
    let first = waits.first_start.iter().map(|s| row("first start", s));
    let accept = waits.acceptance.iter().map(|s| row("acceptance", s));
    let head = ["what", "class", "count", "p50 s", "p90 s", "p99 s", "max s"];
    table(&head, first.chain(accept))
}

pub fn drains(drains: &[DrainRow]) -> String {
    let head = [
        "machine", "state", "tasks", "stays", "by", "why", "rest", "proof",
    ];
    let rows = drains.iter().map(|d| {
        let proof = d.drain.drained.as_ref();
        let state = match d.state {
            DrainState::Overdue => "OVERDUE".into(),
            other => name(&other),
        };
        vec![
            d.drain.host.clone(),
            state,
            d.tasks.to_string(),
            if d.stays.is_empty() {
                "-".into()
            } else {
                d.stays.clone()
            },
            d.drain.by.clone(),
            d.drain.why.clone(),
            name(&d.drain.rest),
            proof.map_or("-".into(), |p| {
                format!("{} in term {}", name(&p.proof), p.term)
            }),
        ]
    });
    table(&head, rows)
}

pub fn rolls(rolls: &[Roll]) -> String {
    let head = [
        "roll", "state", "begun", "of", "at most", "by", "why", "reason",
    ];
    let rows = rolls.iter().map(|r| {
        let most = match r.at_most {
            AtMost::Machines(n) => format!("{n} a zone"),
            AtMost::Share(share) => format!("{} of a zone", percent(share)),
        };
        let state = match r.state {
            RollState::Halted => "HALTED".into(),
            other => name(&other),
        };
        vec![
            r.name.clone(),
            state,
            r.next.to_string(),
            r.hosts.len().to_string(),
            most,
            r.by.clone(),
            r.why.clone(),
            if r.reason.is_empty() {
                "-".into()
            } else {
                r.reason.clone()
            },
        ]
    });
    table(&head, rows)
}

fn range(r: Option<Range>) -> String {
    r.map_or("never".into(), |r| {
        format!("{} / {}", span(r.p50), span(r.p90))
    })
}

fn percent(share: f64) -> String {
    format!("{:.0}%", share * 100.0)
}

fn variants(title: &str, variants: &[Variant]) -> String {
    if variants.is_empty() {
        return String::new();
    }
    let head = [
        title,
        "deadlines missed",
        "runs with any",
        "cpu s lost",
        "drained p50/p90",
        "overdue",
    ];
    let rows = variants.iter().map(|v| {
        vec![
            v.name.clone(),
            format!("{:.2}", v.late),
            percent(v.any_late),
            format!("{:.0}", v.lost_cpu_s),
            range(v.drained_s),
            percent(v.overdue),
        ]
    });
    format!("\n{}", table(&head, rows))
}

/// A plan, with at most `most` jobs.
pub fn plan(plan: &Plan, most: usize) -> String {
    let mut text = format!(
        "plan of term {}, revision {}: {} machines, {} live jobs; {} simulated runs of {}\n\n",
        plan.term,
        plan.revision,
        plan.machines,
        plan.jobs_live,
        plan.options.samples,
        span(plan.options.horizon_s)
    );
    let head = ["machine", "zone", "tasks now", "drained p50/p90", "overdue"];
    text.push_str(&table(
        &head,
        plan.hosts.iter().map(|h| {
            let tasks = h.tasks.to_string();
            vec![
                h.host.clone(),
                h.zone.clone(),
                tasks,
                range(h.drained_s),
                percent(h.overdue),
            ]
        }),
    ));
    let head = [
        "job",
        "class",
        "late because",
        "late anyway",
        "moved",
        "waits",
        "later",
        "cpu s lost",
    ];
    let rows = plan.jobs.iter().take(most).map(|j| {
        vec![
            j.id.clone(),
            j.class.clone(),
            percent(j.late_because),
            percent(j.late_anyway),
            percent(j.moved),
            percent(j.waits),
            span(j.later_s),
            format!("{:.0}", j.lost_cpu_s),
        ]
    });
    text.push('\n');
    text.push_str(&table(&head, rows));
    if plan.jobs.len() > most {
        text.push_str(&format!("and {} more\n", plan.jobs.len() - most));
    }
    text.push_str(&variants("start", &plan.starts));
    text.push_str(&variants("if", &plan.failures));
    text.push_str(&format!(
        "\ndeadlines missed because of it: {:.2} on average, any in {} of the runs; what is not named: below {:.1}%\n",
        plan.all.late,
        percent(plan.all.any_late),
        plan.unnamed_below * 100.0
    ));
    text
}
