//! The terminal view and the exit codes, against a stand-in of the operators' API
//! on loopback that answers from a table.

use clap::Parser;
use foxctl::api::Api;
use foxctl::cli::{at_most, Cli};
use foxctl::run::run;
use foxctl::watch::{draw, Screen};
use foxspur_wire::admin::{Answer, JobRow, Jobs, Standing};
use foxspur_wire::job::Urgency;
use foxspur_wire::roll::AtMost;
use ratatui::backend::TestBackend;
use ratatui::crossterm::event::KeyCode;
use ratatui::Terminal;
use std::io::{Read, Write};
use std::net::TcpListener;

fn row(id: &str, standing: Standing, why: &str) -> JobRow {
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
                row("run-7", Standing::Stuck, "its team is at its limit"),
                row("run-8", Standing::Ok, "all tasks are on machines"),
            ],
        },
    }
}

/// Answers each request by its path, until the test ends.
fn stand_in(answers: &'static [(&'static str, u16, &'static str)]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let mut head = [0u8; 4096];
            let n = stream.read(&mut head).unwrap_or(0);
            let text = String::from_utf8_lossy(&head[..n]).to_string();
            let path = text.split(' ').nth(1).unwrap_or_default();
            let known = answers.iter().find(|a| path.starts_with(a.0));
            let (status, body) = known.map_or((404, "{}"), |a| (a.1, a.2));
            let _ = write!(
                stream,
                "HTTP/1.1 {status} x\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
                body.len()
            );
        }
    });
    addr.to_string()
}

const STUCK: &str = r#"{"from":"b","owner":"b","term":7,"age_s":0.0,"data":{"live":1,"stuck":1,"failing":0,"late":0,"rows":[]}}"#;
const DRAINING: &str = r#"{"from":"b","owner":"b","term":7,"age_s":0.0,"data":[{"drain":{"host":"m-1","order":"o","by":"x","why":"y","at_ms":0,"deadline_ms":null,"rest":"leave","drained":null,"roll":null},"state":"draining","tasks":1,"stays":""}]}"#;
const ANSWERS: &[(&str, u16, &str)] = &[
    ("/admin/v1/jobs", 200, STUCK),
    ("/admin/v1/drains", 200, DRAINING),
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

/// Guards against scripts that cannot tell what came of a command: refused,
/// nobody there, found something; and against an address that does not answer
/// while another one would.
#[test]
fn exit_codes() {
    let there = stand_in(ANSWERS);
    let nobody = "127.0.0.1:9";
    let both = format!("{nobody},{there}");
    let cases: [(&str, &[&str], u8); 9] = [
        (&there, &["jobs"], 0),
        (&there, &["jobs", "--check"], 4),
        (&both, &["jobs", "--check"], 4),
        (&there, &["drains"], 0),
        (&there, &["drains", "--check"], 4),
        (&there, &["undrain", "m-9"], 1),
        (&there, &["teams"], 3),
        (nobody, &["jobs"], 3),
        (&there, &["completions", "bash"], 0),
    ];
    for (at, args, code) in cases {
        let program = ["foxctl", "--at", at];
        let line = program.iter().chain(args);
        let cli = Cli::try_parse_from(line).unwrap();
        let mut out = Vec::new();
        let got = run(&cli, &mut out).unwrap_or_else(|e| e.code());
        assert_eq!(got, code, "{args:?}: {}", String::from_utf8_lossy(&out));
    }
    for wrong in [
        &["drain", "m-1"][..],
        &["drain"],
        &["roll", "start", "k", "--why", "x", "--at-most", "0%"],
    ] {
        let line = std::iter::once(&"foxctl").chain(wrong);
        assert!(Cli::try_parse_from(line).is_err(), "{wrong:?}");
    }
    assert_eq!(at_most("3"), Ok(AtMost::Machines(3)));
    assert_eq!(at_most("10%"), Ok(AtMost::Share(0.1)));
}

fn shown(screen: &Screen) -> String {
    // The smallest terminals must do no harm.
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

/// Guards against a view in which a stuck job is not the first thing seen, an old
/// answer looks like a fresh one, or a failed look empties the screen.
#[test]
fn the_stuck_job_is_on_top() {
    let mut screen = Screen {
        jobs: Some(jobs(0.0)),
        ..Screen::default()
    };
    let text = shown(&screen);
    let first = text.find("run-7").unwrap();
    assert!(first < text.find("run-8").unwrap(), "{text}");
    assert!(
        text.contains("STUCK") && text.contains("its team is at its limit"),
        "{text}"
    );
    assert!(text.contains("1 stuck") && !text.contains("OLD"), "{text}");
    screen.jobs = Some(jobs(30.0));
    assert!(shown(&screen).contains("30s OLD"));
    screen.refresh(&Api::new(&["127.0.0.1:9".to_string()]).unwrap());
    let text = shown(&screen);
    assert!(
        text.contains("no controller answers") && text.contains("run-7"),
        "{text}"
    );
    assert!(screen.handle_key(KeyCode::Down, 10) && screen.top == 1);
    assert!(
        screen.handle_key(KeyCode::Down, 10) && screen.top == 1,
        "not past the last"
    );
    assert!(!shown(&screen).contains("run-7"));
    assert!(!screen.handle_key(KeyCode::Char('q'), 10));
}
