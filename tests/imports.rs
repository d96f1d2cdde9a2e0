//! Checks of the imports between modules: a layer imports only itself and lower layers, and there
//! are no import cycles.

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

/// The modules that each module imports. Modules are given by their paths in the crate.
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

/// The path in the crate of the module in a file.
fn module_path(file: &Path, src: &Path) -> Vec<String> {
    let relative = file
        .strip_prefix(src)
        .expect("a file in src")
        .with_extension("");
    let mut parts: Vec<String> = relative
        .iter()
        .map(|p| p.to_string_lossy().into_owned())
        .collect();
    if parts.last().is_some_and(|last| last == "mod") {
        parts.pop();
    }
    parts
}

/// The source of a file without comments, so that links in comments do not count as imports.
fn code_without_comments(file: &Path) -> String {
    let text = std::fs::read_to_string(file).expect("text");
    let code = text.lines().map(|l| l.split("//").next().unwrap_or(""));
    code.collect::<Vec<_>>().join("\n")
}

/// Expands a `use` tree into its paths.
fn expand_use_tree(tree: &str) -> Vec<String> {
    let Some((prefix, rest)) = tree.split_once('{') else {
        let path = tree.split(" as ").next().unwrap_or("");
        return vec![path.split_whitespace().collect()];
    };
    let inner = rest.rsplit_once('}').map_or(rest, |(inner, _)| inner);
    let (mut depth, mut start, mut branches) = (0, 0, Vec::new());
    for (index, character) in inner.char_indices() {
        match character {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                branches.push(&inner[start..index]);
                start = index + 1;
            }
            _ => {}
        }
    }
    branches.push(&inner[start..]);
    let branches = branches.into_iter().filter(|b| !b.trim().is_empty());
    branches
        .flat_map(|b| expand_use_tree(&format!("{}{}", prefix.trim(), b.trim())))
        .collect()
}

/// The module of this crate that a path refers to, if it refers to one.
fn target_module(path: &str, from: &[String], known: &BTreeSet<String>) -> Option<String> {
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

/// Reads the imports of all modules of the controller. Imports from a module's own submodules,
/// which re-export items, do not count.
fn imports() -> Imports {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    rust_files(&src, &mut files);
    let modules: Vec<Vec<String>> = files.iter().map(|f| module_path(f, &src)).collect();
    let known: BTreeSet<String> = modules.iter().map(|m| m.join("::")).collect();
    let mut imports = Imports::new();
    for (file, module) in files.iter().zip(&modules) {
        let name = module.join("::");
        let code = code_without_comments(file);
        let uses = code
            .split("use ")
            .skip(1)
            .filter_map(|u| u.split(';').next());
        let targets = uses
            .flat_map(expand_use_tree)
            .filter_map(|p| target_module(&p, module, &known))
            .filter(|t| *t != name && !t.starts_with(&format!("{name}::")));
        imports.insert(name.clone(), targets.collect());
    }
    imports
}

/// Whether `from` imports `to`, directly or through other modules.
fn reaches(imports: &Imports, from: &str, to: &str) -> bool {
    let mut visited: BTreeSet<&str> = BTreeSet::new();
    let mut pending: Vec<&str> = imports[from].iter().map(String::as_str).collect();
    while let Some(module) = pending.pop() {
        if module == to {
            return true;
        }
        if visited.insert(module) {
            pending.extend(
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

/// Guards against a module that imports a module of a higher layer.
#[test]
fn layers_import_downwards_only() {
    let layer_index = |module: &str| {
        let top = module.split("::").next().unwrap_or("");
        LAYERS.iter().position(|l| *l == top)
    };
    let mut checked = 0;
    for (module, targets) in imports() {
        for target in targets {
            if let (Some(from), Some(to)) = (layer_index(&module), layer_index(&target)) {
                assert!(to <= from, "{module} imports {target}");
                checked += 1;
            }
        }
    }
    assert!(checked > 100, "only {checked} imports found");
}

/// Guards against import cycles, whose modules can only be understood together.
#[test]
fn imports_have_no_cycles() {
    let imports = imports();
    assert!(imports.len() > 60, "only {} modules found", imports.len());
    for module in imports.keys() {
        assert!(
            !reaches(&imports, module, module),
            "{module} imports itself through other modules"
        );
    }
}

/// Guards against a scheduler that depends on leadership, background loops or external services:
/// the planning of a drain runs the scheduler without them.
#[test]
fn the_scheduler_imports_no_other_part_of_coordination() {
    for (module, targets) in imports() {
        if !module.starts_with("coordination::scheduler") {
            continue;
        }
        let is_other_part = |t: &String| {
            t.starts_with("coordination::") && !t.starts_with("coordination::scheduler")
        };
        let others: Vec<String> = targets.into_iter().filter(is_other_part).collect();
        let allowed = others.iter().all(|t| t == "coordination::recent");
        assert!(allowed, "{module} imports {others:?}");
    }
}
