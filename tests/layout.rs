//! Checks that the documentation matches the layout of the sources.

use std::path::Path;

/// Guards against broken links in the architecture page, for example after a file was moved.
#[test]
fn links_of_the_architecture_page_exist() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    let text = std::fs::read_to_string(docs.join("architecture.md")).expect("docs/architecture.md");
    let links: Vec<&str> = text
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
        .collect();
    assert!(links.len() > 20, "only {} links found", links.len());
    for link in links {
        assert!(docs.join(link).exists(), "{link} does not exist");
    }
}
