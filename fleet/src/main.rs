//! The fleet bench's command line. Exit codes of `run` and `check`: 0 all rules were kept, 1 one was broken, 2
//! the call or the scenario is bad, 3 the run is not to be trusted.
#![deny(unsafe_code)]

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use clap::{Args, Parser, Subcommand};
use linenwing_fleet::error_code::CodedError;
use linenwing_fleet::experiment::{Outcome, Play, judge, play};
use linenwing_fleet::failures::Bad;
use linenwing_fleet::ledger::History;
use linenwing_fleet::scenario::{Mix, MixName, Scenario};
use linenwing_fleet::{explain, report, scale, sweep};

/// Plays many processes of the sender with faults between them, and proves from a ledger what was lost.
///
/// With nothing more it builds the sender and plays the calm scenario.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Act>,
}

#[derive(Args, Clone)]
struct Common {
    /// The sender's program; the one built beside this if none is named.
    #[arg(long)]
    binary: Option<PathBuf>,
    /// Folder for what the runs leave.
    #[arg(long, default_value = "target/fleet")]
    out: PathBuf,
}

#[derive(Subcommand)]
enum Act {
    /// Plays a scenario once.
    Run {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        common: Common,
    },
    /// Judges a history again.
    Check { history: PathBuf },
    /// Plays scenarios over seeds, and shows a row for each.
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
    /// Plays two programs in turn on the same seeds, and tells their differences pair by pair.
    Compare {
        a: PathBuf,
        b: PathBuf,
        scenario: PathBuf,
        #[arg(long, default_value = "1..20")]
        seeds: String,
        /// A section that the first one is played without; may be said more than once.
        #[arg(long)]
        without: Vec<String>,
        #[arg(long, default_value = "target/fleet")]
        out: PathBuf,
    },
    /// Plays random schedules of a mix, and keeps those that break a rule.
    Hunt {
        #[arg(value_parser = mix)]
        mix: MixName,
        #[arg(long, default_value = "1..200")]
        seeds: String,
        /// The scenario round the schedule; the calm one if none is named.
        #[arg(long)]
        scenario: Option<PathBuf>,
        /// Faults of a schedule.
        #[arg(long, default_value_t = 6)]
        faults: usize,
        /// Runs at a time.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        #[command(flatten)]
        common: Common,
    },
    /// Leaves faults out of a schedule as long as it still breaks one of the rules that it broke.
    Shrink {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Runs at most.
        #[arg(long, default_value_t = 60)]
        runs: usize,
        /// Where the smaller scenario goes.
        #[arg(long, default_value = "shrunk.toml")]
        to: PathBuf,
        #[command(flatten)]
        common: Common,
    },
    /// Measures points along axes of size, and writes the page on capacity from their records.
    Scale(scale::command::Call),
    /// Tells the story of one message of a run.
    Explain { folder: PathBuf, id: String },
}

fn mix(text: &str) -> Result<MixName, Bad> {
    serde_json::from_value(serde_json::json!(text)).map_err(|_| Bad::Mix)
}

/// The calm scenario, for whoever names none.
const CALM: &str = include_str!("../scenarios/calm.toml");

fn parsed(text: &str, name: &str) -> Result<Scenario, Bad> {
    Scenario::read(text).map_err(|wrong| {
        let lines: Vec<String> = wrong.iter().map(|wrong| format!("{name}: {wrong}")).collect();
        Bad::Scenario(lines.join("\n"))
    })
}

fn read(path: &Path) -> Result<Scenario, Bad> {
    let text = std::fs::read_to_string(path).map_err(|why| Bad::File { path: path.to_owned(), why })?;
    parsed(&text, &path.display().to_string())
}

fn program(named: &Option<PathBuf>) -> Result<PathBuf, Bad> {
    let program = match named {
        Some(program) => program.clone(),
        None => sweep::own_binary()?,
    };
    program.canonicalize().map_err(|why| Bad::File { path: program, why })
}

fn main() -> ExitCode {
    // A task of the bench that fails would leave the run as if a partner had: better none than that.
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual(panic);
        std::process::exit(3);
    }));
    match act(Cli::parse().command) {
        Ok(code) => ExitCode::from(code),
        Err(why) => {
            eprintln!("{why}\n{}: {}", why.code(), why.remedy());
            ExitCode::from(2)
        }
    }
}

fn act(command: Option<Act>) -> Result<u8, Bad> {
    match command {
        None => first(),
        Some(Act::Run { scenario, seed, common }) => {
            let scenario = read(&scenario)?;
            let out = common.out.join(format!("{}-{seed}", scenario.name));
            one(Play { scenario, seed, binary: program(&common.binary)?, out, progress: true })
        }
        Some(Act::Check { history }) => {
            let (broken, figures) = judge(&history)?;
            broken.iter().for_each(|breach| println!("BROKEN {breach}"));
            print!("{}", report::start(&figures));
            println!("{} messages, {} broken rules", figures.all.messages, broken.len());
            Ok(u8::from(!broken.is_empty()))
        }
        Some(Act::Sweep { scenarios, seeds, jobs, common }) => {
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
        Some(Act::Compare { a, b, scenario, seeds, without, out }) => {
            let (scenario, seeds) = (read(&scenario)?, sweep::seeds(&seeds)?);
            let binaries = [program(&Some(a))?, program(&Some(b))?];
            let mut less = scenario.clone();
            for section in &without {
                if less.sections.remove(section).is_none() {
                    return Err(Bad::Section(section.clone()));
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
        Some(Act::Hunt { mix, seeds, scenario, faults, jobs, common }) => {
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
                // Whoever kept all rules leaves nothing behind.
                if outcome.code() == 0 {
                    std::fs::remove_dir_all(&play.out)?;
                }
            }
            let broke = outcomes.iter().filter(|outcome| outcome.code() == 1).count();
            let doubted = outcomes.iter().filter(|outcome| outcome.doubt.is_some()).count();
            println!(
                "{} runs, {messages} messages: {broke} broke a rule, {doubted} not to be trusted",
                plays.len()
            );
            Ok(u8::from(broke > 0))
        }
        Some(Act::Shrink { scenario, seed, runs, to, common }) => {
            let scenario = read(&scenario)?;
            let out = common.out.join(format!("shrink-{}-{seed}", scenario.name));
            let first = Play { scenario, seed, binary: program(&common.binary)?, out, progress: false };
            let broken = sweep::rules(&play(&first)?);
            if broken.is_empty() {
                return Err(Bad::Sound);
            }
            let smaller =
                sweep::shrink(&first, &broken, runs, |n, faults| eprintln!("run {n}: {faults} faults"))?;
            let text = smaller.text().map_err(|e| Bad::Text(e.to_string()))?;
            std::fs::write(&to, text)?;
            println!("{} faults, in {}", smaller.fault.len(), to.display());
            Ok(0)
        }
        Some(Act::Scale(call)) => Ok(scale::command::run(&call)?),
        Some(Act::Explain { folder, id }) => {
            print!("{}", explain::story(&folder, &id)?);
            Ok(0)
        }
    }
}

fn one(what: Play) -> Result<u8, Bad> {
    let outcome = play(&what)?;
    report::write(&what, &outcome, &History::read(&what.out.join("history.jsonl"))?)?;
    print!("{}", report::summary(&what, &outcome));
    println!("plots: {}", what.out.join("page.html").display());
    Ok(outcome.code())
}

/// Plays them all, a line for each as it ends.
fn many(plays: &[Play], jobs: usize) -> Result<Vec<Outcome>, Bad> {
    let outcomes = sweep::all(plays, jobs, |n, outcome| {
        let (name, seed) = (&plays[n].scenario.name, plays[n].seed);
        let rules: Vec<String> = sweep::rules(outcome).iter().map(ToString::to_string).collect();
        let how = match (&outcome.doubt, rules.is_empty()) {
            (Some(doubt), _) => format!("not to be trusted: {doubt}"),
            (None, true) => "kept".to_owned(),
            (None, false) => format!("BROKEN {}", rules.join(", ")),
        };
        let in_time = outcome.figures.all.share(outcome.figures.all.in_time);
        eprintln!("{name} {seed}: {in_time:.1}% in time, {how}");
        // Written at once: whoever stops a long sweep keeps what was played.
        let written = History::read(&plays[n].out.join("history.jsonl"))
            .and_then(|history| report::write(&plays[n], outcome, &history));
        if let Err(e) = written {
            eprintln!("{name} {seed}: its report can't be written: {e}");
        }
    })?;
    Ok(outcomes)
}

/// A newcomer's first run: builds the sender as the deploy file does, and plays the calm scenario.
fn first() -> Result<u8, Bad> {
    let built = Command::new(env!("CARGO")).args(["build", "--release", "--locked"]).status();
    if !built.as_ref().is_ok_and(std::process::ExitStatus::success) {
        return Err(Bad::Unbuilt);
    }
    let scenario = parsed(CALM, "calm")?;
    let out = PathBuf::from("target/fleet/calm-1");
    one(Play { scenario, seed: 1, binary: program(&None)?, out, progress: true })
}
