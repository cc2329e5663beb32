//! Layout rules of the decision module. Operators replace its folder on its own, and newcomers read it first.

use std::path::{Path, PathBuf};

/// Names that a module without I/O and clock does not use.
const FORBIDDEN_NAMES: [&str; 8] = [
    "std::net",
    "std::fs",
    "std::thread",
    "std::io",
    "std::env",
    "tokio",
    "Instant",
    "SystemTime",
];

const MAX_LINE_CHARS: usize = 110;
const MAX_FUNCTION_LINES: usize = 60;
const MODULE_FOLDER: &str = "crates/coordinator/src/decision";

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the names and contents of the module's files.
fn module_files() -> Vec<(String, String)> {
    let mut module_files: Vec<(String, String)> =
        std::fs::read_dir(repository().join(MODULE_FOLDER))
            .unwrap()
            .map(|entry| {
                let path = entry.unwrap().path();
                let name = path.file_name().unwrap().to_str().unwrap().to_owned();
                assert!(name.ends_with(".rs"), "{name}: only source files");
                let text = std::fs::read_to_string(&path).unwrap();
                (name, text)
            })
            .collect();
    module_files.sort();
    assert!(module_files.len() > 10, "the module is split by concern");
    module_files
}

/// Returns the names and line counts of the functions in formatted source.
fn function_lengths(text: &str) -> Vec<(String, usize)> {
    let mut found = Vec::new();
    let lines: Vec<&str> = text.lines().collect();
    for (start, line) in lines.iter().enumerate() {
        let code = line.trim_start();
        let indent = &line[..line.len() - code.len()];
        let signature = code
            .trim_start_matches("pub(super) ")
            .trim_start_matches("pub ");
        if let Some(name) = signature.strip_prefix("fn ") {
            let closing = format!("{indent}}}");
            let length = lines[start..].iter().position(|l| *l == closing).unwrap() + 1;
            found.push((name.split('(').next().unwrap().to_owned(), length));
        }
    }
    found
}

#[test]
fn every_file_of_the_decision_module_has_a_description() {
    for (name, text) in module_files() {
        let first = text.lines().next().unwrap();
        let description = first
            .strip_prefix("//! ")
            .unwrap_or_else(|| panic!("{name} has no doc"));
        assert!(
            description.len() > 20,
            "{name}: '{description}' does not describe the file"
        );
        let widest = text.lines().map(|l| l.chars().count()).max().unwrap();
        assert!(
            widest <= MAX_LINE_CHARS,
            "{name}: {widest} characters in a line"
        );
    }
}

#[test]
fn the_module_doc_of_the_decision_module_names_its_interface() {
    let module_doc_file = module_files()
        .into_iter()
        .find(|f| f.0 == "mod.rs")
        .unwrap()
        .1;
    let head = module_doc_file.lines().take_while(|l| l.starts_with("//!"));
    assert!(head.clone().any(|l| l.contains("crate::interface")));
}

#[test]
fn the_decision_module_has_no_io_and_no_clock() {
    for (name, text) in module_files() {
        for word in FORBIDDEN_NAMES {
            let code = text.lines().filter(|l| !l.trim_start().starts_with("//"));
            assert!(
                !code.clone().any(|l| l.contains(word)),
                "{name} uses {word}"
            );
        }
    }
}

#[test]
fn no_function_of_the_decision_module_is_longer_than_sixty_lines() {
    let mut count = 0;
    for (file, text) in module_files() {
        for (name, lines) in function_lengths(&text) {
            assert!(
                lines <= MAX_FUNCTION_LINES,
                "{file}: {name} has {lines} lines"
            );
            count += 1;
        }
    }
    assert!(count > 80, "found only {count} functions");
}

#[test]
fn the_deploy_file_names_exactly_the_files_of_the_decision_module() {
    let text = std::fs::read_to_string(repository().join("deploy/balancer.toml")).unwrap();
    let deploy: toml::Table = text.parse().unwrap();
    let policy = deploy["policy"].as_array().unwrap();
    let policy: Vec<&str> = policy.iter().map(|v| v.as_str().unwrap()).collect();
    let module_files: Vec<String> = module_files()
        .into_iter()
        .map(|(name, _)| format!("{MODULE_FOLDER}/{name}"))
        .collect();
    assert_eq!(policy, module_files);
    let node = deploy["node"].as_array().unwrap();
    for path in node {
        let path = path.as_str().unwrap();
        assert!(
            !path.starts_with(MODULE_FOLDER) && repository().join(path).exists(),
            "{path}"
        );
    }
}
