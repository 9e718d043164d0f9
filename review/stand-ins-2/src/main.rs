//! The cases of the second review: `review-2 CASE ROOT FOLDER`. Exit code 0 if the rule held, 1 if it was
//! broken, 2 if the case could not run. With TROUBLE=0 the disruption is left out.

mod cases;
mod world;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    // The script ends what is left of a case that takes too long.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        eprintln!("the case took too long");
        std::process::exit(3);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let judged = world::World::new(Path::new(root), Path::new(folder)).and_then(|mut world| {
        world.record.note(format!(
            "case {case}, {}",
            if trouble { "with the disruption" } else { "without the disruption" }
        ));
        let judged = cases::play(case, &mut world, trouble);
        match &judged {
            Ok(broken) if broken.is_empty() => world.record.note("the rule held"),
            Ok(broken) => {
                broken.iter().for_each(|line| world.record.note(line));
                world.record.note("THE RULE IS BROKEN");
            }
            Err(why) => world.record.note(format!("the case could not run: {why}")),
        }
        judged
    });
    match judged {
        Ok(broken) if broken.is_empty() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
    }
}
