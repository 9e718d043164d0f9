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
fn unreadable_segment_starts_a_new_generation() -> io::Result<()> {
    let (Some(config), folder) = (configured(), tempfile::tempdir()?) else { panic!("the part is disabled") };
    let open = || StatusPart::open(&config, folder.path(), 1_000_000);
    let Some(mut first) = open() else { panic!("the part is disabled") };
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
fn writes_to_a_full_folder_are_retried_with_increasing_pauses() -> io::Result<()> {
    let (Some(config), folder) = (configured(), tempfile::tempdir()?) else { panic!("the part is disabled") };
    let gone = folder.path().join("gone");
    let Some(mut part) = StatusPart::open(&config, &gone, 0) else { panic!("the part is disabled") };
    (0..1_000).for_each(|second| part.store(second * 1_000_000));
    // Retries at 0, 5, 15, 35, 75, 155, 315, 615 and 915 s.
    assert_eq!(part.core.counts.renewed, 9);
    fs::create_dir(&gone)?;
    (1_000..1_220).for_each(|second| part.store(second * 1_000_000));
    assert!(!part.core.is_not_persisted());
    Ok(())
}
