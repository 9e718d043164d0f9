//! The list of tests that are known to fail, as the check script reads it. The script runs on a made-up
//! workspace, whose tests fail where an environment variable says so.

use std::io;
use std::path::Path;
use std::process::{Command, Output};

/// Runs one of the check scripts in the workspace at a folder; the tests named in `red` fail.
fn run(folder: &Path, script: &str, list: Option<&str>, red: &str) -> io::Result<Output> {
    let at = folder.join("KNOWN-RED.txt");
    match list {
        Some(list) => std::fs::write(at, list)?,
        None if at.exists() => std::fs::remove_file(at)?,
        None => {}
    }
    let unset = ["CARGO_TARGET_DIR", "CARGO_MANIFEST_DIR", "RUST_BACKTRACE"];
    let mut command = Command::new("sh");
    unset.into_iter().for_each(|name| {
        command.env_remove(name);
    });
    command.arg(script).current_dir(folder).env("CARGO_NET_OFFLINE", "true").env("RED", red).output()
}

/// Writes a workspace of two packages that has a test of the same name in three targets, and another one in
/// two.
fn workspace(folder: &Path) -> io::Result<()> {
    let own = Path::new(env!("CARGO_MANIFEST_DIR"));
    for path in [".ci", "src", "tests", "part/src"] {
        std::fs::create_dir_all(folder.join(path))?;
    }
    for script in [".ci/run", ".ci/known-red"] {
        std::fs::copy(own.join(script), folder.join(script))?;
    }
    let package = |name| format!("[package]\nname = \"{name}\"\nversion = \"0.1.0\"\nedition = \"2024\"\n");
    let test = |target: &str, name: &str| {
        format!(
            "    #[test]\n    fn {name}() {{\n        \
             assert!(!std::env::var(\"RED\").is_ok_and(|red| red.contains(\"{target}::tests::{name}\")));\n    }}\n"
        )
    };
    let module = |target: &str, names: &[&str]| {
        let tests: Vec<String> = names.iter().map(|name| test(target, name)).collect();
        format!("//! Made up.\n\n#[cfg(test)]\nmod tests {{\n{}}}\n", tests.join("\n"))
    };
    let lock = "version = 4\n\n[[package]]\nname = \"made-up\"\nversion = \"0.1.0\"\n\n\
                [[package]]\nname = \"part\"\nversion = \"0.1.0\"\n";
    std::fs::write(folder.join("Cargo.toml"), package("made-up") + "\n[workspace]\nmembers = [\"part\"]\n")?;
    std::fs::write(folder.join("Cargo.lock"), lock)?;
    std::fs::write(folder.join("rustfmt.toml"), "max_width = 200\n")?;
    std::fs::write(folder.join("part/Cargo.toml"), package("part"))?;
    std::fs::write(folder.join("src/lib.rs"), module("made_up", &["one", "two"]))?;
    std::fs::write(folder.join("part/src/lib.rs"), module("part", &["one", "two"]))?;
    std::fs::write(folder.join("tests/whole.rs"), module("whole", &["one"]))
}

fn text_of(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// An entry of the list for a test, with how often it fails.
fn entry(name: &str, frequency: &str) -> String {
    let inner = name.split_once("::").map_or(name, |(_, inner)| inner);
    format!(
        "test {name}; run cargo test -- --exact {inner}; seed 5; seen {frequency}: a panic, once; issue 7\n"
    )
}

/// The check passes only if exactly the listed tests fail; without a list no failing test is tolerated. Only a
/// test that is listed as failing at times may pass, too.
#[test]
fn the_check_passes_only_if_exactly_the_listed_tests_fail() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    workspace(folder.path())?;
    let (first, second) = ("made_up::tests::one", "whole::tests::one");
    let all = [first, "made_up::tests::two", "part::tests::one", "part::tests::two", second];
    let one = || Some(entry(first, "always"));
    let both = || Some(entry(first, "always") + &entry(second, "always"));
    let every = || Some(all.map(|name| entry(name, "always")).concat());
    let at_times = || Some(entry(first, "at times"));
    let cases = [
        ("no list, all green", None, String::new(), true),
        ("no list, one red", None, first.to_owned(), false),
        ("the named one red", one(), first.to_owned(), true),
        ("two named, both red", both(), format!("{first} {second}"), true),
        ("five named, all red", every(), all.join(" "), true),
        ("of two named, one red", both(), first.to_owned(), false),
        ("the same name in another target red", one(), format!("{first} {second}"), false),
        ("the same name in another package red", one(), format!("{first} part::tests::one"), false),
        ("another red", one(), format!("{first} made_up::tests::two"), false),
        ("the named one green", one(), String::new(), false),
        ("the one red at times red", at_times(), first.to_owned(), true),
        ("the one red at times green", at_times(), String::new(), true),
        ("the one red at times green, another red", at_times(), second.to_owned(), false),
    ];
    for (case, list, red, passes) in cases {
        let output = run(folder.path(), ".ci/run", list.as_deref(), &red)?;
        let text = text_of(&output);
        assert_eq!(output.status.success(), passes, "{case}: {text}");
        assert_eq!(text.contains("KNOWN-RED.txt passes over:"), list.is_some(), "{case}: {text}");
        let mut named = list.iter().flat_map(|list| list.lines());
        assert!(passes <= named.all(|line| text.contains(line)), "{case}: {text}");
        assert_eq!(
            text.contains("passes: take its entry out"),
            case.contains("named one green") || case.contains("of two named"),
            "{case}: {text}"
        );
        let result = if red.is_empty() { "passed" } else { "failed" };
        let printed = text.contains(&format!("known red at times: {first} {result}"));
        assert!(!(passes && case.contains("red at times")) || printed, "{case}: {text}");
    }
    Ok(())
}

/// A list that is malformed, or names a test that does not exist, fails the check before any test runs.
#[test]
fn a_malformed_list_fails_the_check() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    workspace(folder.path())?;
    let line = |name: &str| entry(name, "always");
    let one = line("made_up::tests::one");
    let changed = |from: &str, to: &str| one.replace(from, to);
    let cases = [
        ("has no entry", String::new()),
        ("is not", "\n".to_owned()),
        ("is not", format!("{one}\n")),
        ("is not", "made_up::tests::one, a cause, issue 7\n".to_owned()),
        ("is not", "test made_up::tests::one; issue 7\n".to_owned()),
        ("is not", changed("seed 5", "seed ")),
        ("is not", changed("; seed 5", "")),
        ("is not", changed("seen always: a panic, once", "seen always: ")),
        ("is not", changed("seen always", "seen often")),
        ("is not", changed("a panic, once", "a panic; once")),
        ("is not", changed("issue 7", "issue")),
        ("is not", changed("issue 7", "issue 7 or so")),
        ("is not", changed("\n", "\r\n")),
        ("is not", line("tests")),
        ("does not run the test", changed("--exact tests::one", "--exact tests::two")),
        ("does not run the test", changed(" -- --exact tests::one", "")),
        ("a second time", format!("{one}{one}")),
        ("no test has", line("made_up::tests::on")),
        ("no test has", line("made_up::tests")),
        ("no test has", line("made_up::tests::.ne")),
        ("no test has", line("another::tests::one")),
        ("no test has", line("whole::tests::two")),
    ];
    for (words, list) in cases {
        let output = run(folder.path(), ".ci/known-red", Some(&list), "made_up::tests::one")?;
        let text = text_of(&output);
        assert!(!output.status.success() && text.contains(words), "{list}: {text}");
        assert!(!text.contains("test result"), "{list}: {text}");
    }
    Ok(())
}
