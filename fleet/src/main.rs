//! The fleet bench's command line. Exit codes of `run` and `check`: 0 no rule was broken, 1 a rule was
//! broken, 2 wrong arguments or an invalid scenario, 3 the run is not trustworthy.
#![deny(unsafe_code)]

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use clap::{Args, Parser, Subcommand};
use linenwing_fleet::error_code::CodedError;
use linenwing_fleet::experiment::{Outcome, Play, judge, play};
use linenwing_fleet::failures::BenchError;
use linenwing_fleet::ledger::History;
use linenwing_fleet::scenario::{Mix, MixName, Scenario};
use linenwing_fleet::{explain, report, scale, sweep};

/// Runs many processes of the sender with injected faults, and checks a recorded history for violations.
///
/// Without a command it builds the sender and runs the calm scenario.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Action>,
}

#[derive(Args, Clone)]
struct Common {
    /// The sender's program; by default the one built beside this program.
    #[arg(long)]
    binary: Option<PathBuf>,
    /// Folder for the runs' files.
    #[arg(long, default_value = "target/fleet")]
    out: PathBuf,
}

#[derive(Subcommand)]
enum Action {
    /// Runs a scenario once.
    Run {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        common: Common,
    },
    /// Checks an existing history again.
    Check { history: PathBuf },
    /// Runs scenarios over a range of seeds, and prints one row per scenario.
    Sweep {
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        #[arg(long, default_value = "1..20")]
        seeds: String,
        /// Runs at a time.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        #[command(flatten)]
        common: Common,
    },
    /// Runs two programs alternately on the same seeds, and prints their differences pair by pair.
    Compare {
        a: PathBuf,
        b: PathBuf,
        scenario: PathBuf,
        #[arg(long, default_value = "1..20")]
        seeds: String,
        /// A section that is left out for the first program; may be repeated.
        #[arg(long)]
        without: Vec<String>,
        #[arg(long, default_value = "target/fleet")]
        out: PathBuf,
    },
    /// Runs random fault schedules of a mix, and keeps the runs that break a rule.
    Hunt {
        #[arg(value_parser = mix)]
        mix: MixName,
        #[arg(long, default_value = "1..200")]
        seeds: String,
        /// The scenario that the schedule is added to; by default the calm one.
        #[arg(long)]
        scenario: Option<PathBuf>,
        /// Number of faults in a schedule.
        #[arg(long, default_value_t = 6)]
        faults: usize,
        /// Runs at a time.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        #[command(flatten)]
        common: Common,
    },
    /// Removes faults from a schedule as long as the run still breaks one of the same rules.
    Shrink {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Maximum number of runs.
        #[arg(long, default_value_t = 60)]
        runs: usize,
        /// File for the shrunk scenario.
        #[arg(long, default_value = "shrunk.toml")]
        to: PathBuf,
        #[command(flatten)]
        common: Common,
    },
    /// Measures points along axes of size, and writes the capacity page from the records.
    Scale(scale::command::Call),
    /// Prints the trace of one message of a run.
    Explain { folder: PathBuf, id: String },
}

fn mix(text: &str) -> Result<MixName, BenchError> {
    serde_json::from_value(serde_json::json!(text)).map_err(|_| BenchError::Mix)
}

/// The default scenario.
const CALM: &str = include_str!("../scenarios/calm.toml");

fn parsed(text: &str, name: &str) -> Result<Scenario, BenchError> {
    Scenario::read(text).map_err(|wrong| {
        let lines: Vec<String> = wrong.iter().map(|wrong| format!("{name}: {wrong}")).collect();
        BenchError::Scenario(lines.join("\n"))
    })
}

fn read(path: &Path) -> Result<Scenario, BenchError> {
    let text =
        std::fs::read_to_string(path).map_err(|why| BenchError::File { path: path.to_owned(), why })?;
    parsed(&text, &path.display().to_string())
}

fn program(named: &Option<PathBuf>) -> Result<PathBuf, BenchError> {
    let program = match named {
        Some(program) => program.clone(),
        None => sweep::own_binary()?,
    };
    program.canonicalize().map_err(|why| BenchError::File { path: program, why })
}

fn main() -> ExitCode {
    // A panic in a task of the bench would look like a failed destination; end the program instead.
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual(panic);
        std::process::exit(3);
    }));
    match execute(Cli::parse().command) {
        Ok(code) => ExitCode::from(code),
        Err(why) => {
            eprintln!("{why}\n{}: {}", why.code(), why.remedy());
            ExitCode::from(2)
        }
    }
}

fn execute(command: Option<Action>) -> Result<u8, BenchError> {
    match command {
        None => first(),
        Some(Action::Run { scenario, seed, common }) => {
            let scenario = read(&scenario)?;
            let out = common.out.join(format!("{}-{seed}", scenario.name));
            one(Play { scenario, seed, binary: program(&common.binary)?, out, progress: true })
        }
        Some(Action::Check { history }) => {
            let (broken, figures) = judge(&history)?;
            broken.iter().for_each(|breach| println!("BROKEN {breach}"));
            print!("{}", report::start(&figures));
            println!("{} messages, {} broken rules", figures.all.messages, broken.len());
            Ok(u8::from(!broken.is_empty()))
        }
        Some(Action::Sweep { scenarios, seeds, jobs, common }) => {
            let (binary, seeds) = (program(&common.binary)?, sweep::seeds(&seeds)?);
            let mut plays = Vec::new();
            for scenario in &scenarios {
                let scenario = read(scenario)?;
                for seed in &seeds {
                    let out = common.out.join(format!("{}-{seed}", scenario.name));
                    let (scenario, binary) = (scenario.clone(), binary.clone());
                    plays.push(Play { scenario, seed: *seed, binary, out, progress: false });
                }
            }
            let outcomes = many(&plays, jobs)?;
            let groups: Vec<(String, Vec<&Outcome>)> = outcomes
                .chunks(seeds.len())
                .zip(plays.chunks(seeds.len()))
                .map(|(outcomes, plays)| (plays[0].scenario.name.clone(), outcomes.iter().collect()))
                .collect();
            println!("{}", sweep::rows(&groups));
            Ok(outcomes.iter().map(Outcome::code).max().unwrap_or(0))
        }
        Some(Action::Compare { a, b, scenario, seeds, without, out }) => {
            let (scenario, seeds) = (read(&scenario)?, sweep::seeds(&seeds)?);
            let binaries = [program(&Some(a))?, program(&Some(b))?];
            let mut less = scenario.clone();
            for section in &without {
                if less.sections.remove(section).is_none() {
                    return Err(BenchError::Section(section.clone()));
                }
            }
            let mut plays = Vec::new();
            for seed in seeds {
                for (name, (scenario, binary)) in
                    ["a", "b"].iter().zip([&less, &scenario].into_iter().zip(&binaries))
                {
                    let out = out.join(format!("{}-{seed}-{name}", scenario.name));
                    let (scenario, binary) = (scenario.clone(), binary.clone());
                    plays.push(Play { scenario, seed, binary, out, progress: false });
                }
            }
            let outcomes = many(&plays, 1)?;
            let pairs: Vec<(&Outcome, &Outcome)> =
                outcomes.chunks(2).map(|pair| (&pair[0], &pair[1])).collect();
            println!("{}", sweep::differences(&pairs));
            Ok(0)
        }
        Some(Action::Hunt { mix, seeds, scenario, faults, jobs, common }) => {
            let mut scenario = scenario.map_or_else(|| parsed(CALM, "calm"), |path| read(&path))?;
            scenario.name = format!("hunt-{}", scenario.name);
            scenario.mix = Some(Mix { name: mix, faults });
            let binary = program(&common.binary)?;
            let play = |seed| Play {
                scenario: scenario.clone(),
                seed,
                binary: binary.clone(),
                out: common.out.join(format!("{}-{seed}", scenario.name)),
                progress: false,
            };
            let plays: Vec<Play> = sweep::seeds(&seeds)?.into_iter().map(play).collect();
            let outcomes = many(&plays, jobs)?;
            let mut messages = 0;
            for (play, outcome) in plays.iter().zip(&outcomes) {
                messages += outcome.figures.all.messages;
                // The files of runs that broke no rule are removed.
                if outcome.code() == 0 {
                    std::fs::remove_dir_all(&play.out)?;
                }
            }
            let broke = outcomes.iter().filter(|outcome| outcome.code() == 1).count();
            let doubted = outcomes.iter().filter(|outcome| outcome.doubt.is_some()).count();
            println!(
                "{} runs, {messages} messages: {broke} broke a rule, {doubted} not trustworthy",
                plays.len()
            );
            Ok(u8::from(broke > 0))
        }
        Some(Action::Shrink { scenario, seed, runs, to, common }) => {
            let scenario = read(&scenario)?;
            let out = common.out.join(format!("shrink-{}-{seed}", scenario.name));
            let first = Play { scenario, seed, binary: program(&common.binary)?, out, progress: false };
            let broken = sweep::rules(&play(&first)?);
            if broken.is_empty() {
                return Err(BenchError::Sound);
            }
            let smaller =
                sweep::shrink(&first, &broken, runs, |n, faults| eprintln!("run {n}: {faults} faults"))?;
            let text = smaller.text().map_err(|e| BenchError::Text(e.to_string()))?;
            std::fs::write(&to, text)?;
            println!("{} faults, in {}", smaller.fault.len(), to.display());
            Ok(0)
        }
        Some(Action::Scale(call)) => Ok(scale::command::run(&call)?),
        Some(Action::Explain { folder, id }) => {
            print!("{}", explain::story(&folder, &id)?);
            Ok(0)
        }
    }
}

fn one(what: Play) -> Result<u8, BenchError> {
    let outcome = play(&what)?;
    report::write(&what, &outcome, &History::read(&what.out.join("history.jsonl"))?)?;
    print!("{}", report::summary(&what, &outcome));
    println!("plots: {}", what.out.join("page.html").display());
    Ok(outcome.code())
}

/// Runs all of them, and prints a line for each as it ends.
fn many(plays: &[Play], jobs: usize) -> Result<Vec<Outcome>, BenchError> {
    let outcomes = sweep::all(plays, jobs, |n, outcome| {
        let (name, seed) = (&plays[n].scenario.name, plays[n].seed);
        let rules: Vec<String> = sweep::rules(outcome).iter().map(ToString::to_string).collect();
        let how = match (&outcome.doubt, rules.is_empty()) {
            (Some(doubt), _) => format!("not trustworthy: {doubt}"),
            (None, true) => "kept".to_owned(),
            (None, false) => format!("BROKEN {}", rules.join(", ")),
        };
        let in_time = outcome.figures.all.share(outcome.figures.all.in_time);
        eprintln!("{name} {seed}: {in_time:.1}% in time, {how}");
        // Written at once, so that a long sweep that is interrupted keeps its finished runs.
        let written = History::read(&plays[n].out.join("history.jsonl"))
            .and_then(|history| report::write(&plays[n], outcome, &history));
        if let Err(e) = written {
            eprintln!("{name} {seed}: its report can't be written: {e}");
        }
    })?;
    Ok(outcomes)
}

/// The run without a command: builds the sender as the deploy file does, and runs the calm scenario.
fn first() -> Result<u8, BenchError> {
    let built = Command::new(env!("CARGO")).args(["build", "--release", "--locked"]).status();
    if !built.as_ref().is_ok_and(std::process::ExitStatus::success) {
        return Err(BenchError::Unbuilt);
    }
    let scenario = parsed(CALM, "calm")?;
    let out = PathBuf::from("target/fleet/calm-1");
    one(Play { scenario, seed: 1, binary: program(&None)?, out, progress: true })
}
