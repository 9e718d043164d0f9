//! Short runs with a few real processes of the sender. The tests check only what a busy machine doesn't
//! change: counts, effects and ends, not times.

use std::collections::BTreeSet;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use linenwing_fleet::experiment::{Outcome, Play, judge, play};
use linenwing_fleet::ledger::rules::Rule;
use linenwing_fleet::ledger::{History, What};
use linenwing_fleet::scenario::Scenario;
use linenwing_fleet::{explain, report, sweep};

const TOOL: &str = env!("CARGO_BIN_EXE_linenwing-fleet");

/// A scenario of five seconds with three senders and short deadlines, so that it ends soon.
fn small(more: &str) -> Scenario {
    small_of(3, more)
}

fn small_of(senders: usize, more: &str) -> Scenario {
    let text = format!(
        "name = \"small\"\nlength_s = 5\nsenders = {senders}\nlateness_ms = 10000\n\
         notice = {{ aim_s = 3, deadline_s = 6 }}\ndisbursement = {{ aim_s = 3, deadline_s = 5 }}\n{more}"
    );
    Scenario::read(&text).unwrap_or_else(|wrong| panic!("{wrong:?}"))
}

fn played(scenario: Scenario, out: &Path) -> (Play, Outcome) {
    let binary = sweep::own_binary().unwrap();
    let what = Play { scenario, seed: 7, binary, out: out.to_owned(), progress: false };
    let outcome = play(&what).unwrap();
    assert_eq!(outcome.troubles, Vec::<String>::new());
    let timed = [Rule::Lost, Rule::Wait, Rule::Drain, Rule::Window, Rule::Fallback, Rule::View];
    let sure: BTreeSet<Rule> = sweep::rules(&outcome).into_iter().filter(|r| !timed.contains(r)).collect();
    assert!(sure.is_empty(), "{:?}", outcome.broken);
    (what, outcome)
}

#[test]
fn without_faults_every_message_ends_and_history_page_and_trace_show_it() {
    let out = tempfile::tempdir().unwrap();
    let (what, outcome) = played(small(""), out.path());
    let all = &outcome.figures.all;
    assert!(all.messages > 100, "{all:?}");
    assert_eq!((all.without, outcome.figures.orphaned), (0, 0));
    // Checking the history again gives the same result.
    let file = out.path().join("history.jsonl");
    let (broken, figures) = judge(&file).unwrap();
    assert_eq!((broken, figures.all.messages), (outcome.broken.clone(), all.messages));
    let history = History::read(&file).unwrap();
    report::write(&what, &outcome, &history).unwrap();
    let page = std::fs::read_to_string(out.path().join("page.html")).unwrap();
    assert!(page.matches("<svg").count() == 4 && !page.contains("src=") && !page.contains("href="));
    let delivered = history.entries.iter().find_map(|entry| match &entry.what {
        What::Effect { id, .. } => Some(id.clone()),
        _ => None,
    });
    let story = explain::story(out.path(), &delivered.unwrap()).unwrap();
    for part in [
        "is handed in at sender",
        "its client receives 202",
        "arrives at s-",
        "takes effect",
        "is answered 200",
    ] {
        assert!(story.contains(part), "{part}: {story}");
    }
    assert!(explain::story(out.path(), "nobody").is_err());
}

/// Guards against the loss of accepted messages at a crash: senders with messages for a destination that is
/// down are killed, and restarted with their state folders.
#[test]
fn messages_of_a_killed_sender_end_after_its_restart() {
    let out = tempfile::tempdir().unwrap();
    let more = "[[fault]]\nkind = \"partner\"\nmode = \"down\"\nat_s = 0.5\nfor_s = 3\npartners = [0, 3]\n\
                [[fault]]\nkind = \"kill\"\nat_s = 2\nfor_s = 1\n";
    let (_, outcome) = played(small(more), out.path());
    assert_eq!((outcome.figures.all.without, outcome.figures.orphaned), (0, 0), "{:?}", outcome.figures.all);
    let history = History::read(&out.path().join("history.jsonl")).unwrap();
    let starts = history.entries.iter().filter(|e| matches!(e.what, What::Started { .. })).count();
    assert_eq!(starts, 6, "all three were killed and started again");
}

/// Without takeover, the messages of a sender that does not return have no end; the bench counts them as
/// orphaned.
#[test]
fn messages_of_a_sender_that_never_returns_are_counted_as_orphaned() {
    let out = tempfile::tempdir().unwrap();
    let more = "[[fault]]\nkind = \"partner\"\nmode = \"down\"\nat_s = 0.5\nfor_s = 3\n\
                [[fault]]\nkind = \"kill\"\nat_s = 2.5\nsenders = [0]\n";
    let (_, outcome) = played(small(more), out.path());
    let figures = &outcome.figures;
    assert!(figures.orphaned > 0);
    assert!(figures.all.without <= figures.orphaned, "nobody else's is without an end: {figures:?}");
}

/// Guards the rules during handover, restart, stop and loss of a state folder; and guards concurrent runs
/// against interference.
#[test]
fn rules_hold_during_process_changes_and_concurrent_runs_do_not_interfere() {
    let changes = [
        "[[fault]]\nkind = \"handover\"\nat_s = 1\nevery_s = 1\n",
        "[[fault]]\nkind = \"restart\"\nat_s = 1\nsenders = [0, 1]\n\
         [[fault]]\nkind = \"stop\"\nat_s = 1\nfor_s = 2\nsenders = [2]\n",
        "[[fault]]\nkind = \"kill\"\nat_s = 2\nfor_s = 1\nsenders = [1]\nfolder_lost = true\n",
    ];
    std::thread::scope(|scope| {
        for more in changes {
            scope.spawn(move || {
                let out = tempfile::tempdir().unwrap();
                let (_, outcome) = played(small(more), out.path());
                assert_eq!(outcome.figures.all.without, 0, "{more}: {:?}", outcome.figures.all);
            });
        }
    });
}

/// Guards takeover with real processes: most messages of a sender that does not return are ended by another
/// sender, and every rule on effects and ends is kept.
#[test]
fn replicated_messages_of_a_lost_sender_are_ended_by_another() {
    let out = tempfile::tempdir().unwrap();
    let more = "[sections.takeover]\nlease_ms = 400\n\
                [[fault]]\nkind = \"partner\"\nmode = \"down\"\nat_s = 0.5\nfor_s = 3\n\
                [[fault]]\nkind = \"kill\"\nat_s = 2.5\nsenders = [0]\n";
    let (_, outcome) = played(small(more), out.path());
    let figures = &outcome.figures;
    // Messages accepted in the last moments may not have been replicated.
    assert!(figures.orphaned > 0 && figures.orphaned_ended * 2 > figures.orphaned, "{figures:?}");
    assert!(!figures.takeover_ms.is_empty(), "{figures:?}");
}

/// Guards the rules with takeover enabled while processes change, owners and backups alike, and leases
/// expire.
#[test]
fn rules_hold_with_takeover_during_process_changes() {
    let section = "[sections.takeover]\nlease_ms = 400\n";
    let changes = [
        "[[fault]]\nkind = \"handover\"\nat_s = 1\nevery_s = 1\n",
        "[[fault]]\nkind = \"restart\"\nat_s = 1\nsenders = [0]\n\
         [[fault]]\nkind = \"stop\"\nat_s = 1\nfor_s = 2\nsenders = [2]\n",
        "[[fault]]\nkind = \"kill\"\nat_s = 2\nfor_s = 1\nsenders = [1]\nfolder_lost = true\n\
         [[fault]]\nkind = \"partition\"\nat_s = 1\nfor_s = 2\ngroups = [[0], [1, 2]]\n",
    ];
    std::thread::scope(|scope| {
        for more in changes {
            scope.spawn(move || {
                let out = tempfile::tempdir().unwrap();
                let (_, outcome) = played(small(&format!("{section}{more}")), out.path());
                let figures = &outcome.figures;
                assert!(figures.all.without <= figures.orphaned, "{more}: {:?}", figures.all);
            });
        }
    });
}

/// Guards membership with real processes: all senders see a killed one as dead, and a restarted one as alive
/// again.
#[test]
fn membership_views_show_a_killed_sender_dead_and_a_restarted_one_alive() {
    let section = "[sections.membership]\nperiod_ms = 400\n";
    let kills = "[[fault]]\nkind = \"kill\"\nat_s = 1.5\nsenders = [3]\n\
                 [[fault]]\nkind = \"kill\"\nat_s = 2\nfor_s = 0.3\nsenders = [0]\n";
    let out = tempfile::tempdir().unwrap();
    let (_, outcome) = played(small_of(5, &format!("{section}{kills}")), out.path());
    let views = &outcome.figures.views;
    assert_eq!((views.death_ms.len(), views.back_ms.len()), (1, 6), "{views:?}");
    let history = History::read(&out.path().join("history.jsonl")).unwrap();
    let last = |of: usize| {
        history.entries.iter().rev().find_map(|entry| match &entry.what {
            What::View { sender, states, .. } if *sender == of => Some(states.clone()),
            _ => None,
        })
    };
    assert_eq!([0, 1, 2, 4].map(|of| last(of).unwrap()), ["aaada", "aaada", "aaada", "aaada"]);
}

#[test]
fn without_the_membership_section_there_is_no_view_and_no_datagram() {
    let out = tempfile::tempdir().unwrap();
    let mut scenario = small("");
    scenario.load.per_s = 0.0;
    let (_, outcome) = played(scenario, out.path());
    assert_eq!((outcome.figures.datagrams[0], outcome.figures.views.changes), (0, 0));
}

#[test]
fn run_with_one_sender_and_no_load_ends_with_code_0() {
    let out = tempfile::tempdir().unwrap();
    let mut scenario = small("[load]\nper_s = 0\n");
    (scenario.senders, scenario.length_s) = (1, 1.0);
    let (_, outcome) = played(scenario, out.path());
    assert_eq!((outcome.code(), outcome.figures.all.messages, outcome.figures.calls), (0, 0, 0));
}

/// Guards the start of a tier at a list service of low capacity: calls are counted and rejected, the senders
/// begin with an outdated list, one is killed while it starts, one joins later, and all become ready
/// nevertheless.
#[test]
fn start_at_an_overloaded_list_service_is_measured_and_all_senders_become_ready() {
    let out = tempfile::tempdir().unwrap();
    let more = "[start]\nearly = true\njoins = 1\njoins_at_s = 1\n[discovery]\ncalls_per_s = 2\nbehind = 2\n\
                [load]\nfrom_s = 2\n[partners]\ncold_start = true\n\
                [[fault]]\nkind = \"kill\"\nat_s = 0.1\nfor_s = 0.5\nfirst = 1\n";
    let (_, outcome) = played(small_of(5, more), out.path());
    let start = &outcome.figures.start;
    assert!(start.senders == 5 && start.never_ready == 0, "{start:?}");
    // The statistics include the sender that joins later, however late the others began.
    assert!(start.at_s + start.all_ready_s > 1.0, "{start:?}");
    let history = History::read(&out.path().join("history.jsonl")).unwrap();
    let accepted =
        |entry: &&linenwing_fleet::ledger::Entry| matches!(entry.what, What::ListCall { status: 200, .. });
    let accepted: Vec<u64> = history.entries.iter().filter(accepted).map(|entry| entry.t).collect();
    assert!(
        accepted.windows(3).all(|three| three[2] - three[0] >= 1_000_000),
        "two in any second: {accepted:?}"
    );
    assert!(accepted.len() >= 5 && start.list_turned_away > 0, "{start:?}");
    // The statistics cover the last start of the whole tier, which is a later one if the first process is
    // killed before the next has started.
    let counted = accepted.iter().filter(|t| **t as f64 / 1e6 >= start.at_s).count();
    assert_eq!(start.list_calls, counted as u64 + start.list_turned_away);
    // The initial list lacks an endpoint that the service reports later.
    let position =
        |at: &dyn Fn(&What) -> bool| history.entries.iter().position(|entry| at(&entry.what)).unwrap();
    let missing = |what: &What| matches!(what, What::Told { endpoint, .. } if endpoint == "s-008-1");
    assert!(position(&missing) > position(&|what| matches!(what, What::ListCall { status: 200, .. })));
}

/// Traced arrivals are handed in exactly as listed, and invalid ones are rejected.
#[test]
fn trace_arrivals_are_handed_in_as_listed_and_invalid_ones_rejected() {
    let out = tempfile::tempdir().unwrap();
    let traced = |trace: &str| format!("[load]\ntrace = {trace}\n");
    let (_, outcome) = played(small(&traced("[[0.2, 1, 1, 3], [0.1, 0, 0, 4], [0.3, 2, 0, 4]]")), out.path());
    assert_eq!(outcome.figures.all.messages, 3);
    let history = History::read(&out.path().join("history.jsonl")).unwrap();
    let offered = history.entries.iter().filter_map(|entry| match &entry.what {
        What::Offered { id, sender, class, dest, .. } if !id.contains('-') => Some((*sender, *class, *dest)),
        _ => None,
    });
    assert_eq!(offered.collect::<Vec<_>>(), [(0, 0, 4), (1, 1, 3), (2, 0, 4)]);
    let text =
        format!("name = \"t\"\nlength_s = 5\nsenders = 3\n{}", traced("[[0.2, 1, 1, 4], [9.0, 0, 0, 0]]"));
    let wrong = Scenario::read(&text).unwrap_err();
    assert_eq!(wrong.iter().map(|w| w.key.as_str()).collect::<Vec<_>>(), ["load.trace[0]", "load.trace[1]"]);
}

fn script(folder: &Path, text: &str) -> PathBuf {
    let path = folder.join("program");
    std::fs::write(&path, text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
    path
}

/// Guards the diagnosis of a failed start: a program that ends at once is reported with its last log lines.
#[test]
fn program_that_ends_at_once_is_reported_with_its_last_log_lines() {
    let out = tempfile::tempdir().unwrap();
    let binary = script(out.path(), "#!/bin/sh\necho first line\necho 'no such key' >&2\nexit 4\n");
    let what = Play { scenario: small(""), seed: 1, binary, out: out.path().join("run"), progress: false };
    let outcome = play(&what).unwrap();
    assert_eq!((outcome.code(), outcome.troubles.len()), (1, 3));
    for trouble in &outcome.troubles {
        assert!(
            trouble.contains("ended before it was ready") && trouble.contains("no such key"),
            "{trouble}"
        );
    }
}

#[test]
fn invalid_scenario_exits_2_and_names_every_invalid_key() {
    let out = tempfile::tempdir().unwrap();
    let file = out.path().join("bad.toml");
    let text = "name = \"bad\"\nlength_s = -1\nsenders = 390\n[load]\nskew = 9\n\
                [[fault]]\nkind = \"link\"\nat_s = 1\nmode = \"shut\"\nfactor = 2\nsenders = [395]\n";
    std::fs::write(&file, text).unwrap();
    let told = Command::new(TOOL).args(["run", file.to_str().unwrap()]).output().unwrap();
    assert_eq!(told.status.code(), Some(2));
    let told = String::from_utf8(told.stderr).unwrap();
    for key in ["length_s", "senders", "load.skew", "fault[0].mode", "fault[0].factor", "fault[0].senders"] {
        assert!(told.contains(&format!(": {key} = ")), "{key}: {told}");
    }
    for text in ["", "name = 3", "nonsense", "name = \"x\"\nlength_s = 5\nsenders = 2\nmore = 1"] {
        std::fs::write(&file, text).unwrap();
        let told = Command::new(TOOL).args(["run", file.to_str().unwrap()]).output().unwrap();
        assert_eq!(told.status.code(), Some(2), "{text}");
    }
}

/// Processes with their configuration in this folder.
fn processes_of(folder: &Path) -> Vec<u32> {
    let processes = std::fs::read_dir("/proc").unwrap().filter_map(|entry| {
        let pid: u32 = entry.ok()?.file_name().to_str()?.parse().ok()?;
        let surroundings = std::fs::read(format!("/proc/{pid}/environ")).ok()?;
        let wanted = format!("NODE_CONFIG={}", folder.display());
        let names = surroundings.split(|b| *b == 0).any(|v| v.starts_with(wanted.as_bytes()));
        names.then_some(pid)
    });
    processes.collect()
}

fn wait_until(what: &str, so: impl Fn() -> bool) {
    let begun = Instant::now();
    while !so() {
        assert!(begun.elapsed() < Duration::from_secs(30), "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards the machine against leftover processes: however a run is killed, none of its senders survives, not
/// even a stopped one.
#[test]
fn killed_run_leaves_no_sender_process_behind() {
    for signal in ["-KILL", "-INT", "-TERM"] {
        let out = tempfile::tempdir().unwrap();
        let folder = out.path().canonicalize().unwrap();
        let file = folder.join("scenario.toml");
        let stop = "[[fault]]\nkind = \"stop\"\nat_s = 0\nfor_s = 60\nsenders = [0]\n";
        std::fs::write(&file, small(stop).text().unwrap()).unwrap();
        let mut command = Command::new(TOOL);
        command.args(["run", file.to_str().unwrap(), "--out", folder.to_str().unwrap()]);
        command.arg("--binary").arg(sweep::own_binary().unwrap());
        let mut tool = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
        wait_until("the senders start", || processes_of(&folder).len() == 3);
        let id = tool.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
        tool.wait().unwrap();
        wait_until("no sender is left", || processes_of(&folder).is_empty());
    }
}
