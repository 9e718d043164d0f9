//! Limits on the source of the decision module, and the rule on where tests live.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// Reads each Rust file at or below a path of the repository.
fn rust_files(path: &str) -> io::Result<BTreeMap<PathBuf, String>> {
    let mut found = BTreeMap::new();
    let mut left = vec![Path::new(env!("CARGO_MANIFEST_DIR")).join(path)];
    while let Some(at) = left.pop() {
        if at.is_dir() {
            for entry in fs::read_dir(&at)? {
                left.push(entry?.path());
            }
        } else if at.extension().is_some_and(|kind| kind == "rs") {
            found.insert(at.clone(), fs::read_to_string(&at)?);
        }
    }
    Ok(found)
}

/// Checks the files that the deployment lists as the policy's.
#[test]
fn policy_files_name_their_interface_and_keep_to_110_columns() -> io::Result<()> {
    let deployed: toml::Table = include_str!("../deploy/balancer.toml").parse().expect("a table");
    for path in deployed["policy"].as_array().expect("a list") {
        let texts = rust_files(path.as_str().expect("a path"))?;
        assert!(!texts.is_empty(), "{path} has no Rust file");
        for (path, text) in texts {
            for (number, line) in text.lines().enumerate() {
                assert!(line.chars().count() <= 110, "{} line {}", path.display(), number + 1);
            }
            let names_interface = text.lines().take(5).any(|line| line.contains("src/interface.rs"));
            assert!(
                names_interface,
                "{} does not name its interface file in its first five lines",
                path.display()
            );
        }
    }
    Ok(())
}

/// Tests live next to their module in its `tests.rs`, or in `tests/`.
#[test]
fn no_test_is_in_the_file_that_it_tests() -> io::Result<()> {
    let mut inside = vec![];
    for (path, text) in
        [rust_files("src")?, rust_files("fleet/src")?, rust_files("ops/src")?].into_iter().flatten()
    {
        let is_test = |line: &str| line.starts_with("mod tests {") || line.starts_with("#[test]");
        if !path.ends_with("tests.rs") && text.lines().any(|line| is_test(line.trim())) {
            inside.push(path);
        }
    }
    assert!(inside.is_empty(), "{inside:?}");
    Ok(())
}
