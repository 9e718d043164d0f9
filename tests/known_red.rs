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

/// The check passes only if exactly the listed tests fail; without a list no failing test is tolerated.
#[test]
fn the_check_passes_only_if_exactly_the_listed_tests_fail() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    workspace(folder.path())?;
    let one = Some("made_up::tests::one, a cause, issue 7\n");
    let both = Some("made_up::tests::one, a cause, issue 7\nwhole::tests::one, a cause, issue 8\n");
    let (first, second) = ("made_up::tests::one", "whole::tests::one");
    let cases = [
        ("no list, all green", None, String::new(), true),
        ("no list, one red", None, first.to_owned(), false),
        ("the named one red", one, first.to_owned(), true),
        ("two named, both red", both, format!("{first} {second}"), true),
        ("of two named, one red", both, first.to_owned(), false),
        ("the same name in another target red", one, format!("{first} {second}"), false),
        ("the same name in another package red", one, format!("{first} part::tests::one"), false),
        ("another red", one, format!("{first} made_up::tests::two"), false),
        ("the named one green", one, String::new(), false),
    ];
    for (case, list, red, passes) in cases {
        let output = run(folder.path(), ".ci/run", list, &red)?;
        let text = text_of(&output);
        assert_eq!(output.status.success(), passes, "{case}: {text}");
        assert_eq!(text.contains("KNOWN-RED.txt passes over:"), list.is_some(), "{case}: {text}");
        let named = list.into_iter().flat_map(str::lines);
        assert!(passes <= named.into_iter().all(|line| text.contains(line)), "{case}: {text}");
        assert_eq!(
            text.contains("passes: take its line out"),
            case.contains("named one green") || case.contains("of two named"),
            "{case}: {text}"
        );
    }
    Ok(())
}

/// A list that is malformed, or names a test that does not exist, fails the check before any test runs.
#[test]
fn a_malformed_list_fails_the_check() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    workspace(folder.path())?;
    let line = |name: &str| format!("{name}, a cause, issue 7\n");
    let one = line("made_up::tests::one");
    let four = ["made_up::tests::one", "made_up::tests::two", "part::tests::one", "part::tests::two"];
    let cases = [
        ("is not", "\n".to_owned()),
        ("is not", format!("{one}\n")),
        ("is not", "made_up::tests::one\n".to_owned()),
        ("is not", "made_up::tests::one, issue 7\n".to_owned()),
        ("is not", "made_up::tests::one, , issue 7\n".to_owned()),
        ("is not", "made_up::tests::one, a cause, another, issue 7\n".to_owned()),
        ("is not", "made_up::tests::one, a cause, issue\n".to_owned()),
        ("is not", "made_up::tests::one, a cause, issue 7 or so\n".to_owned()),
        ("is not", "made_up::tests::one, a cause, issue 7\r\n".to_owned()),
        ("is not", line("tests")),
        ("a second time", format!("{one}{one}")),
        ("more than 3 lines", four.map(line).concat()),
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
