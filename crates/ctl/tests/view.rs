//! Tests of the terminal view and the exit codes, against a fake operators' API on loopback that
//! answers from a table.

use clap::Parser;
use foxctl::api::Api;
use foxctl::cli::{at_most, Cli};
use foxctl::run::run;
use foxctl::watch::{draw, Screen};
use foxspur_wire::admin::{Answer, JobHealth, JobRow, Jobs};
use foxspur_wire::job::Urgency;
use foxspur_wire::rollout::MaxOutOfUse;
use ratatui::backend::TestBackend;
use ratatui::crossterm::event::KeyCode;
use ratatui::Terminal;
use std::io::{Read, Write};
use std::net::TcpListener;

fn row(id: &str, standing: JobHealth, why: &str) -> JobRow {
    JobRow {
        id: id.into(),
        class: "reminders".into(),
        team: "clinics".into(),
        urgency: Urgency::High,
        standing,
        why: why.into(),
        age_s: 300.0,
        slack_s: None,
        tasks: 4,
        done: 0,
        running: 0,
        waiting: 4,
    }
}

fn jobs(age_s: f64) -> Answer<Jobs> {
    Answer {
        from: "berth-0".into(),
        owner: Some("berth-1".into()),
        term: 7,
        age_s,
        data: Jobs {
            live: 2,
            stuck: 1,
            failing: 0,
            late: 0,
            rows: vec![
                row("run-7", JobHealth::Stuck, "its team is at its limit"),
                row("run-8", JobHealth::Ok, "all tasks are on machines"),
            ],
        },
    }
}

/// Starts a fake API that answers each request by the prefix of its path, until the test process
/// ends. Returns its address.
fn start_api(answers: &'static [(&'static str, u16, &'static str)]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let mut buffer = [0u8; 4096];
            let length = stream.read(&mut buffer).unwrap_or(0);
            let text = String::from_utf8_lossy(&buffer[..length]).to_string();
            let path = text.split(' ').nth(1).unwrap_or_default();
            let found = answers.iter().find(|answer| path.starts_with(answer.0));
            let (status, body) = found.map_or((404, "{}"), |answer| (answer.1, answer.2));
            let _ = write!(
                stream,
                "HTTP/1.1 {status} x\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
                body.len()
            );
        }
    });
    addr.to_string()
}

const JOBS_BODY: &str = r#"{"from":"b","owner":"b","term":7,"age_s":0.0,"data":{"live":1,"stuck":1,"failing":0,"late":0,"rows":[]}}"#;
const DRAINS_BODY: &str = r#"{"from":"b","owner":"b","term":7,"age_s":0.0,"data":[{"drain":{"host":"m-1","order":"o","by":"x","why":"y","at_ms":0,"deadline_ms":null,"rest":"leave","drained":null,"roll":null},"state":"draining","tasks":1,"stays":""}]}"#;
const ANSWERS: &[(&str, u16, &str)] = &[
    ("/admin/v1/jobs", 200, JOBS_BODY),
    ("/admin/v1/drains", 200, DRAINS_BODY),
    (
        "/admin/v1/undrain",
        404,
        r#"{"error":"m-9 is not drained","field":"hosts"}"#,
    ),
    (
        "/admin/v1/teams",
        503,
        r#"{"error":"the owner of the share does not answer now"}"#,
    ),
];

/// Guards against exit codes that do not tell a refusal, a missing answer and a failed check
/// apart, so that scripts cannot act on them. Also guards against a command that fails because
/// the first address does not answer although the second one does.
#[test]
fn exit_codes() {
    let api = start_api(ANSWERS);
    let unreachable = "127.0.0.1:9";
    let unreachable_first = format!("{unreachable},{api}");
    let cases: [(&str, &[&str], u8); 9] = [
        (&api, &["jobs"], 0),
        (&api, &["jobs", "--check"], 4),
        (&unreachable_first, &["jobs", "--check"], 4),
        (&api, &["drains"], 0),
        (&api, &["drains", "--check"], 4),
        (&api, &["undrain", "m-9"], 1),
        (&api, &["teams"], 3),
        (unreachable, &["jobs"], 3),
        (&api, &["completions", "bash"], 0),
    ];
    for (at, args, expected) in cases {
        let program = ["foxctl", "--at", at];
        let line = program.iter().chain(args);
        let cli = Cli::try_parse_from(line).unwrap();
        let mut out = Vec::new();
        let code = run(&cli, &mut out).unwrap_or_else(|error| error.code());
        assert_eq!(
            code,
            expected,
            "{args:?}: {}",
            String::from_utf8_lossy(&out)
        );
    }
    for invalid in [
        &["drain", "m-1"][..],
        &["drain"],
        &["roll", "start", "k", "--why", "x", "--at-most", "0%"],
    ] {
        let line = std::iter::once(&"foxctl").chain(invalid);
        assert!(Cli::try_parse_from(line).is_err(), "{invalid:?}");
    }
    assert_eq!(at_most("3"), Ok(MaxOutOfUse::Machines(3)));
    assert_eq!(at_most("10%"), Ok(MaxOutOfUse::Share(0.1)));
}

/// Renders the screen as text. Also draws it on very small terminals, which must not panic.
fn render(screen: &Screen) -> String {
    for (width, height) in [(0, 0), (1, 1), (20, 5)] {
        let mut small = Terminal::new(TestBackend::new(width, height)).unwrap();
        small.draw(|frame| draw(frame, screen)).unwrap();
    }
    let mut terminal = Terminal::new(TestBackend::new(120, 20)).unwrap();
    terminal.draw(|frame| draw(frame, screen)).unwrap();
    let buffer = terminal.backend().buffer().clone();
    let line = |y: u16| {
        (0..120)
            .map(|x| buffer[(x, y)].symbol().to_string())
            .collect::<String>()
    };
    (0..20).map(line).collect::<Vec<_>>().join("\n")
}

/// Guards against a view in which a stuck job is not the first job, an old answer is not marked
/// as old, or a failed refresh clears the screen.
#[test]
fn stuck_job_comes_first_and_old_data_is_marked() {
    let mut screen = Screen {
        jobs: Some(jobs(0.0)),
        ..Screen::default()
    };
    let text = render(&screen);
    let first = text.find("run-7").unwrap();
    assert!(first < text.find("run-8").unwrap(), "{text}");
    assert!(
        text.contains("STUCK") && text.contains("its team is at its limit"),
        "{text}"
    );
    assert!(text.contains("1 stuck") && !text.contains("OLD"), "{text}");
    screen.jobs = Some(jobs(30.0));
    assert!(render(&screen).contains("30s OLD"));
    screen.refresh(&Api::new(&["127.0.0.1:9".to_string()]).unwrap());
    let text = render(&screen);
    assert!(
        text.contains("no controller answers") && text.contains("run-7"),
        "{text}"
    );
    assert!(screen.handle_key(KeyCode::Down, 10) && screen.first_job == 1);
    assert!(
        screen.handle_key(KeyCode::Down, 10) && screen.first_job == 1,
        "scrolled past the last job"
    );
    assert!(!render(&screen).contains("run-7"));
    assert!(!screen.handle_key(KeyCode::Char('q'), 10));
}
