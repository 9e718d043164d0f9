use super::super::super::config;
use super::*;

fn configured() -> Option<Config> {
    let text = json!({
        "name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1",
        "limits": {"disk_mb": 3}, "peer_listen": "127.0.0.1:3",
        "peers": ["127.0.0.1:3", "127.0.0.1:4"], "membership": {"tier": "x"}, "status": {},
        "settings": {
            "classes": [{"name": "order", "effect": "once", "on_time_us": 5, "hard_limit_us": 9}],
            "family_info": {"calls_out": 8}, "period_us": 5, "limits": {"max_open": 100, "try_limit": 6},
            "obligations": {"answer_slack_us": 1, "cold_share": 0.2, "warm_within_us": 1, "fall_multiple": 2,
                            "overload_for_us": 3, "stop_sending_within_us": 2}}});
    config::check(text.to_string().as_bytes(), None).ok()
}

/// Numbers must not be assigned twice: a segment that cannot be read may contain any of them.
#[test]
fn a_segment_that_cant_be_read_makes_for_a_new_life() -> io::Result<()> {
    let (Some(config), folder) = (configured(), tempfile::tempdir()?) else { panic!("the part is off") };
    let open = || StatusPart::open(&config, folder.path(), 1_000_000);
    let Some(mut first) = open() else { panic!("the part is off") };
    first.store(1_000_000);
    let life = first.core.own_log();
    assert_eq!(open().map(|part| part.core.own_log()), Some(life));
    // A folder cannot be read as a file.
    fs::create_dir(segment(folder.path(), 2))?;
    assert!(open().is_some_and(|part| part.core.own_log() != life));
    Ok(())
}

/// A disk that stays full must not delay clients' answers: each retry writes the whole log.
#[test]
fn a_folder_that_stays_full_is_tried_ever_more_rarely() -> io::Result<()> {
    let (Some(config), folder) = (configured(), tempfile::tempdir()?) else { panic!("the part is off") };
    let gone = folder.path().join("gone");
    let Some(mut part) = StatusPart::open(&config, &gone, 0) else { panic!("the part is off") };
    (0..1_000).for_each(|second| part.store(second * 1_000_000));
    // Retries at 0, 5, 15, 35, 75, 155, 315, 615 and 915 s.
    assert_eq!(part.core.counts.renewed, 9);
    fs::create_dir(&gone)?;
    (1_000..1_220).for_each(|second| part.store(second * 1_000_000));
    assert!(!part.core.is_not_persisted());
    Ok(())
}
