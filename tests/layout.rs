//! How the sources are laid out.

use std::path::{Path, PathBuf};

/// Lines of a file at most.
const MOST_LINES: usize = 400;

/// Files that were longer before this was checked, and how long they may be until they are
/// parted: they may shrink only.
const LONGER: [(&str, usize); 8] = [
    ("src/coordination/core.rs", 580),
    ("src/coordination/place.rs", 414),
    ("crates/client/src/engine.rs", 469),
    ("crates/testbed/src/machines.rs", 456),
    ("crates/plan/tests/plan.rs", 482),
    ("tests/core.rs", 769),
    ("tests/drains.rs", 866),
    ("tests/hearing.rs", 432),
];

fn rust_files(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() && path.file_name().is_none_or(|n| n != "target") {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Guards against files that grow until nobody reads them.
#[test]
fn no_file_is_longer_than_it_may_be() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for dir in ["src", "crates", "tests", "examples"] {
        rust_files(&root.join(dir), &mut files);
    }
    assert!(files.len() > 100, "only {} files found", files.len());
    for path in &files {
        let name = path.strip_prefix(root).expect("below the root");
        let name = name.to_string_lossy();
        let lines = std::fs::read_to_string(path).expect("text").lines().count();
        let allowed = LONGER.iter().find(|l| l.0 == name);
        let most = allowed.map_or(MOST_LINES, |l| l.1);
        assert!(lines <= most, "{name} has {lines} lines of {most}");
    }
    for (name, most) in LONGER {
        let text = std::fs::read_to_string(root.join(name)).expect(name);
        let lines = text.lines().count();
        let parted = lines <= MOST_LINES && most > MOST_LINES;
        assert!(!parted, "{name} has {lines} lines: take it off the list");
    }
}

/// Guards against a page that leads nowhere.
#[test]
fn links_of_the_architecture_page_exist() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    let text = std::fs::read_to_string(docs.join("architecture.md")).expect("the page");
    let links: Vec<&str> = text
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
        .collect();
    assert!(links.len() > 20, "only {} links", links.len());
    for link in links {
        assert!(docs.join(link).exists(), "{link} does not exist");
    }
}
