use super::*;

const HOUR: Micros = 3_600_000_000;

fn readings(wall: Micros, monotonic: Micros, boot: &str) -> Readings {
    Readings { wall, monotonic, boot: boot.to_owned() }
}

/// Within a boot the time goes on by the monotonic clock, wherever the wall clock was stepped; at another boot,
/// or where the monotonic clock may have begun with a process, the wall clock counts.
#[test]
fn time_continues_by_the_monotonic_clock_of_the_same_boot() {
    let wall = 500 * HOUR;
    let reference = ClockReference { time: wall, monotonic: HOUR, boot: "one".to_owned() };
    for stepped in [wall - HOUR, wall, wall + HOUR] {
        assert_eq!(readings(stepped, HOUR + 7, "one").time_since(Some(&reference)), wall + 7);
        assert_eq!(readings(stepped, HOUR + 7, "two").time_since(Some(&reference)), stepped);
        assert_eq!(readings(stepped, HOUR - 1, "one").time_since(Some(&reference)), stepped);
        assert_eq!(readings(stepped, HOUR + 7, "one").time_since(None), stepped);
    }
    let young = ClockReference { monotonic: MIN_MONOTONIC - 1, ..reference };
    assert_eq!(readings(wall, HOUR, "one").time_since(Some(&young)), wall);
}
