//! Which module may import which: layers import downwards only, and no modules import each
//! other in a circle.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Layers of the controller, lowest first.
const LAYERS: [&str; 7] = [
    "protocol",
    "transport",
    "storage",
    "coordination",
    "admin",
    "handlers",
    "app",
];

/// The modules that each module imports, by their paths below the crate.
type Imports = BTreeMap<String, BTreeSet<String>>;

fn rust_files(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// The path of the module that a file holds, below the crate.
fn module_of(file: &Path, src: &Path) -> Vec<String> {
    let below = file
        .strip_prefix(src)
        .expect("below src")
        .with_extension("");
    let mut parts: Vec<String> = below
        .iter()
        .map(|p| p.to_string_lossy().into_owned())
        .collect();
    if parts.last().is_some_and(|last| last == "mod") {
        parts.pop();
    }
    parts
}

/// The source without comments, so that links in them are no imports.
fn code_of(file: &Path) -> String {
    let text = std::fs::read_to_string(file).expect("text");
    let code = text.lines().map(|l| l.split("//").next().unwrap_or(""));
    code.collect::<Vec<_>>().join("\n")
}

/// All paths of a `use` tree, without its braces.
fn paths_of(tree: &str) -> Vec<String> {
    let Some((prefix, rest)) = tree.split_once('{') else {
        let path = tree.split(" as ").next().unwrap_or("");
        return vec![path.split_whitespace().collect()];
    };
    let inner = rest.rsplit_once('}').map_or(rest, |(inner, _)| inner);
    let (mut depth, mut start, mut branches) = (0, 0, Vec::new());
    for (at, letter) in inner.char_indices() {
        match letter {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                branches.push(&inner[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    branches.push(&inner[start..]);
    let branches = branches.into_iter().filter(|b| !b.trim().is_empty());
    branches
        .flat_map(|b| paths_of(&format!("{}{}", prefix.trim(), b.trim())))
        .collect()
}

/// The module below the crate that a path leads to, if it is one of ours.
fn target_of(path: &str, from: &[String], known: &BTreeSet<String>) -> Option<String> {
    let mut rest: Vec<&str> = path.split("::").collect();
    let mut parts: Vec<String> = match rest.remove(0) {
        "crate" => Vec::new(),
        "self" => from.to_vec(),
        "super" => from[..from.len() - 1].to_vec(),
        _ => return None,
    };
    parts.extend(rest.into_iter().map(String::from));
    while !parts.is_empty() && !known.contains(&parts.join("::")) {
        parts.pop();
    }
    (!parts.is_empty()).then(|| parts.join("::"))
}

/// Reads the imports of all modules of the controller. What a module imports of its own
/// submodules, to export it again, does not count.
fn imports() -> Imports {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    rust_files(&src, &mut files);
    let modules: Vec<Vec<String>> = files.iter().map(|f| module_of(f, &src)).collect();
    let known: BTreeSet<String> = modules.iter().map(|m| m.join("::")).collect();
    let mut imports = Imports::new();
    for (file, module) in files.iter().zip(&modules) {
        let name = module.join("::");
        let code = code_of(file);
        let uses = code
            .split("use ")
            .skip(1)
            .filter_map(|u| u.split(';').next());
        let targets = uses
            .flat_map(paths_of)
            .filter_map(|p| target_of(&p, module, &known))
            .filter(|t| *t != name && !t.starts_with(&format!("{name}::")));
        imports.insert(name.clone(), targets.collect());
    }
    imports
}

/// Whether `to` is imported by `from`, directly or through others.
fn reaches(imports: &Imports, from: &str, to: &str) -> bool {
    let mut seen: BTreeSet<&str> = BTreeSet::new();
    let mut next: Vec<&str> = imports[from].iter().map(String::as_str).collect();
    while let Some(module) = next.pop() {
        if module == to {
            return true;
        }
        if seen.insert(module) {
            next.extend(
                imports
                    .get(module)
                    .into_iter()
                    .flatten()
                    .map(String::as_str),
            );
        }
    }
    false
}

/// Guards against a lower layer that depends on a higher one.
#[test]
fn layers_import_downwards_only() {
    let layer = |module: &str| {
        let top = module.split("::").next().unwrap_or("");
        LAYERS.iter().position(|l| *l == top)
    };
    let mut checked = 0;
    for (module, targets) in imports() {
        for target in targets {
            if let (Some(from), Some(to)) = (layer(&module), layer(&target)) {
                assert!(to <= from, "{module} imports {target}");
                checked += 1;
            }
        }
    }
    assert!(checked > 100, "only {checked} imports read");
}

/// Guards against modules that can only be understood together.
#[test]
fn no_modules_import_each_other_in_a_circle() {
    let imports = imports();
    assert!(imports.len() > 60, "only {} modules read", imports.len());
    for module in imports.keys() {
        assert!(
            !reaches(&imports, module, module),
            "{module} imports itself through others"
        );
    }
}

/// Guards against a scheduler that depends on who leads, on loops or on outside services: a
/// plan of a drain plays it alone.
#[test]
fn the_scheduler_imports_no_other_part_of_coordination() {
    for (module, targets) in imports() {
        if !module.starts_with("coordination::scheduler") {
            continue;
        }
        let part = |t: &String| {
            t.starts_with("coordination::") && !t.starts_with("coordination::scheduler")
        };
        let others: Vec<String> = targets.into_iter().filter(part).collect();
        let allowed = others.iter().all(|t| t == "coordination::recent");
        assert!(allowed, "{module} imports {others:?}");
    }
}
