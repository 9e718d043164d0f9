use super::super::super::config;
use super::*;

const NOW: Micros = 1_000_000_000_000_000;

fn configured(tier: &str, known: u64) -> Option<Config> {
    let text = json!({
        "name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1",
        "limits": {"disk_mb": 3}, "known": {"index": known}, "peer_listen": "127.0.0.1:3",
        "peers": ["127.0.0.1:3", "127.0.0.1:4"], "membership": {}, "start": {"tier": tier},
        "settings": {
            "classes": [{"name": "order", "effect": "once", "on_time_us": 5, "hard_limit_us": 9}],
            "family_info": {"calls_out": 8}, "period_us": 5, "limits": {"max_open": 100, "try_limit": 6},
            "obligations": {"answer_slack_us": 1, "cold_share": 0.2, "warm_within_us": 1, "fall_multiple": 2,
                            "overload_for_us": 3, "stop_sending_within_us": 2}}});
    config::check(text.to_string().as_bytes(), None).ok()
}

fn listing(name: &str) -> Listing {
    let text = |text: &str| text.to_owned();
    let (address, zone, kind, status) = (text("10.0.0.1:9"), text("a"), text("m"), text("active"));
    Listing { name: text(name), address, zone, kind, group: 4, status, weight: 2.5, since_ms: 7 }
}

/// A process starts from the cached list of an earlier one only if the file is intact, of this tier, recent
/// enough, and not older than the configuration's list.
#[test]
fn cached_list_is_used_only_if_usable_and_failed_starts_are_counted() -> std::io::Result<()> {
    let folder = tempfile::tempdir()?;
    let open = |tier: &str, known, now| StartPart::open(&configured(tier, known)?, folder.path(), now);
    let from = |tier: &str, known, now| open(tier, known, now).and_then(|part| part.initial_list);
    let cached = [listing("s-1"), listing("s-2")];
    let Some(mut first) = open("x", 40, NOW) else { panic!("the part is disabled") };
    assert_eq!((first.source, first.core.borrow().failed_starts()), ("none", 0));
    first.list_received(NOW, 43, &cached);
    let Some(second) = from("x", 40, NOW + 1) else { panic!("the cached list is not used") };
    assert_eq!((second.index, &second.endpoints[..]), (43, &cached[..]));
    // Additions are stored only after a while; removals are stored at once.
    let mut later = vec![listing("s-1"), listing("s-2"), listing("s-3")];
    first.list_received(NOW + 2, 44, &later);
    assert_eq!(from("x", 40, NOW + 2).map(|from| from.index), Some(43));
    "leaving".clone_into(&mut later[1].status);
    first.list_received(NOW + 3, 45, &later);
    assert_eq!(from("x", 40, NOW + 3).map(|from| from.endpoints), Some(later.clone()));
    later.remove(0);
    first.list_received(NOW + 4, 46, &later);
    assert_eq!(from("x", 40, NOW + 4).map(|from| from.endpoints), Some(later));
    first.list_received(NOW + MIN_WRITE_INTERVAL + 4, 43, &cached);
    assert!(from("y", 40, NOW).is_none() && from("x", 44, NOW).is_none());
    assert!(from("x", 40, NOW + 86_400_000_000).is_none() && from("x", 40, NOW - 86_400_000_000).is_none());
    // No process has completed its start yet; six were begun.
    let lives = open("x", 40, NOW).map(|part| part.core.borrow().failed_starts());
    assert_eq!(lives, Some(myrtleyard::start::cached_list::MAX_FAILED_STARTS));
    let path = folder.path().join("list");
    let whole = std::fs::read(&path)?;
    for end in (0..whole.len()).step_by(7) {
        std::fs::write(&path, &whole[..end])?;
        assert!(from("x", 40, NOW).is_none(), "cut off at {end}");
        let mut bad = whole.clone();
        bad[end] ^= 1;
        std::fs::write(&path, &bad)?;
        assert!(from("x", 40, NOW).is_none(), "changed at {end}");
    }
    Ok(())
}
