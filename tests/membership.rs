//! The membership view in seeded virtual time: the states that a tier arrives at under each fault, and in how
//! many periods. `examples/membership.rs` prints the figures over many seeds.

#[path = "common/tier.rs"]
mod tier;

use myrtleyard::interface::Micros;
use myrtleyard::membership::*;
use proptest::prelude::*;
use tier::*;

fn settled(size: usize, seed: u64) -> Tier {
    let mut tier = Tier::new(size, seed);
    tier.until(30, Tier::converged).expect("the views do not converge");
    tier.pass(5 * PERIOD);
    tier
}

#[test]
fn cold_started_members_converge_and_all_detect_a_crash() {
    for (size, seed, known, seen) in
        [(2, 1, 6, 0), (3, 2, 6, 8), (10, 3, 6, 8), (100, 4, 10, 10), (300, 5, 15, 12)]
    {
        let mut tier = Tier::new(size, seed);
        tier.until(known, Tier::converged).unwrap_or_else(|| panic!("{size}: the views do not converge"));
        tier.pass(3 * PERIOD);
        tier.remove(1);
        if size == 2 {
            // A member that hears nobody may itself be the one that is cut off.
            tier.pass(50 * PERIOD);
            assert!(tier.all_see(1, State::Suspect) && tier.members[0].as_ref().unwrap().isolated(tier.now));
        } else {
            let after = tier.until(seen, |tier| tier.all_see(1, State::Dead) && tier.views_equal());
            assert!(after.unwrap_or_else(|| panic!("{size}: the crash is not seen")) > 3, "too early");
        }
        tier.start(1);
        assert!(tier.until(12, Tier::converged).is_some(), "{size}: the restart is not seen");
    }
}

#[test]
fn datagrams_per_member_do_not_grow_with_tier_size() {
    let cost = |size| {
        let mut tier = settled(size, 5);
        let sent = |tier: &Tier| tier.members.iter().flatten().map(|m| m.counts.sent).sum::<u64>();
        let before = sent(&tier);
        tier.pass(50 * PERIOD);
        (sent(&tier) - before) as f64 / size as f64 / 50.0
    };
    for size in [2, 10, 200] {
        // Besides its heartbeats, a member may ask once per period, and it answers asks.
        let cost = cost(size);
        assert!((9.9..DATAGRAMS_PER_PERIOD as f64 + 2.0).contains(&cost), "{size}: {cost}");
    }
}

/// Guards against false deaths: no running member is ever considered dead under heavy datagram loss.
#[test]
fn datagram_loss_causes_no_false_death() {
    for (size, loss, seed) in [(5, 0.4, 1), (30, 0.05, 2), (30, 0.2, 3), (30, 0.4, 4), (100, 0.4, 5)] {
        let mut tier = settled(size, seed);
        tier.loss = loss;
        tier.echo = (0.1, 2 * PERIOD);
        for period in 0..150 {
            tier.pass(PERIOD);
            assert_eq!(tier.false_deaths(), 0, "{size} members, {loss} lost, period {period}");
        }
        tier.loss = 0.0;
        assert!(tier.until(10, Tier::converged).is_some(), "{size} members, {loss} lost");
    }
}

/// Guards the tier's views against a single bad link or a single bad member.
#[test]
fn bad_link_or_bad_member_causes_no_false_death() {
    type Cut = Box<dyn Fn(Rank, Rank, Micros) -> bool>;
    let cuts: [(&str, Cut); 5] = [
        ("one way", Box::new(|a, b, _| (a, b) == (3, 4))),
        ("both ways", Box::new(|a, b, _| (a, b) == (3, 4) || (a, b) == (4, 3))),
        (
            "a link that flaps",
            Box::new(|a, b, now| (a, b) == (3, 4) && (now / (7 * PERIOD)).is_multiple_of(2)),
        ),
        ("one that hears a fifth of the others", Box::new(|a, b, _| b == 7 && a % 5 != 0)),
        ("one that a fifth of the others hear", Box::new(|a, b, _| a == 7 && b % 5 == 0)),
    ];
    for (name, cut) in cuts {
        let mut tier = settled(30, 11);
        tier.cut = cut;
        for period in 0..200 {
            tier.pass(PERIOD);
            assert_eq!(tier.false_deaths(), 0, "{name}, period {period}");
        }
        assert!(tier.views_equal(), "{name}");
    }
    // A network whose datagrams take up to three periods, every third period.
    let mut tier = settled(30, 12);
    for period in 0..200 {
        tier.delay = if period % 3 == 0 { (500, 3 * PERIOD) } else { (500, 20_000) };
        tier.pass(PERIOD);
        assert_eq!(tier.false_deaths(), 0, "slow, period {period}");
    }
}

#[test]
fn split_is_detected_on_all_sides_and_heals() {
    let halves: fn(Rank) -> usize = |rank| usize::from(rank < 15);
    let thirds: fn(Rank) -> usize = |rank| usize::from(rank % 3);
    let one: fn(Rank) -> usize = |rank| usize::from(rank == 4);
    for (name, side) in [("halves", halves), ("thirds", thirds), ("one against all", one)] {
        let mut tier = settled(30, 9);
        tier.delay = (68_000, 110_000);
        tier.cut = Box::new(move |a, b, _| side(a) != side(b));
        tier.pass(60 * PERIOD);
        for member in tier.members.iter().flatten() {
            let alone = name == "one against all" && member.own() == 4;
            assert_eq!(member.isolated(tier.now), alone, "{name}");
            let few =
                tier.members.iter().flatten().filter(|m| side(m.own()) == side(member.own())).count() <= 15;
            assert_eq!(member.minority(), few && !alone, "{name}");
            for other in 0..30 {
                let seen = member.state(other).unwrap();
                match side(other) == side(member.own()) {
                    true => assert_eq!(seen, State::Alive, "{name}"),
                    // A member that hears nobody declares nobody dead.
                    false => assert_eq!(seen, if alone { State::Suspect } else { State::Dead }, "{name}"),
                }
            }
        }
        tier.cut = Box::new(|_, _, _| false);
        let healed = tier.until(10, Tier::converged);
        assert!(healed.is_some(), "{name}: the split does not heal");
    }
}

#[test]
fn leaving_member_is_not_dead_and_can_rejoin() {
    let mut tier = settled(20, 12);
    let mut out = vec![];
    let now = tier.now;
    tier.members[5].as_mut().unwrap().leave(now, &mut out);
    tier.send(5, out);
    tier.remove(5);
    assert!(tier.until(5, |tier| tier.all_see(5, State::Left)).is_some(), "the leave is not seen");
    for _ in 0..40 {
        tier.pass(PERIOD);
        assert!(tier.all_see(5, State::Left), "the state does not stay");
    }
    tier.start(5);
    assert!(tier.until(10, Tier::converged).is_some());
}

#[test]
fn seventy_percent_crash_is_detected_and_so_is_the_restart() {
    let mut tier = settled(50, 13);
    (0..35).for_each(|rank| drop(tier.remove(rank)));
    let gone = tier.until(40, |t| (0..35).all(|rank| t.all_see(rank, State::Dead)) && t.views_equal());
    assert!(gone.is_some(), "the deaths are not seen");
    assert!(tier.members[40].as_ref().unwrap().minority());
    assert_eq!(tier.false_deaths(), 0);
    (0..35).for_each(|rank| tier.start(rank));
    assert!(tier.until(10, Tier::converged).is_some(), "the restarts are not seen");
}

/// A paused process must attribute the silence to its own pause: it suspects nobody when it resumes.
#[test]
fn resumed_member_suspects_nobody() {
    let mut tier = settled(10, 14);
    let stopped = tier.remove(2);
    assert!(tier.until(20, |tier| tier.all_see(2, State::Dead)).is_some());
    tier.pass(30 * PERIOD);
    tier.put(2, stopped);
    let now = tier.now;
    for _ in 0..200 {
        tier.pass(PERIOD / 10);
        assert_eq!(
            tier.members[2].as_ref().unwrap().members().iter().filter(|m| m.state == State::Dead).count(),
            0
        );
    }
    assert!(tier.converged());
    let (stops, last) = tier.members[2].as_ref().unwrap().pauses();
    assert!(stops == 1 && last.is_some_and(|at| at >= now));
}

/// Guards the users of the view: a member that comes and goes changes it only a bounded number of times.
#[test]
fn intermittent_member_causes_few_view_changes() {
    let changes = |away: u64, back: u64, cycles: u64| {
        let mut tier = settled(20, 15);
        let before = tier.members[0].as_ref().unwrap().version;
        for _ in 0..cycles {
            let member = tier.remove(6);
            tier.pass(away * PERIOD);
            tier.put(6, member);
            tier.pass(back * PERIOD);
        }
        tier.members[0].as_ref().unwrap().version - before
    };
    assert_eq!(changes(1, 1, 100), 0, "every second period");
    // Seven periods away: dead the first time, and from then on with a longer timeout.
    let seen = changes(7, 7, 30);
    assert!((1..=12).contains(&seen), "{seen} changes in 30 cycles");
}

#[test]
fn fast_restart_without_a_folder_is_a_new_incarnation() {
    let mut tier = settled(10, 16);
    for life in 2..6 {
        tier.remove(3);
        tier.start(3);
        let risen = |t: &Tier| t.members.iter().flatten().all(|m| m.members()[3].record.incarnation == life);
        assert!(tier.until(6, risen).is_some(), "life {life}");
        assert!(tier.all_see(3, State::Alive));
    }
    let seen = tier.members[0].as_ref().unwrap().history().filter(|change| change.member == 3);
    assert!(
        seen.filter(|change| change.from == change.to).count() >= 4,
        "each restart is a change in the history"
    );
}

fn forged(from: Rank, tier: u32, size: u16, records: &[(Rank, Record)]) -> Vec<u8> {
    let mut datagram = Writer::new(1, tier, size, u16::MAX);
    datagram.add(from, &Record { incarnation: 1, beat: 1, ..Record::NONE });
    records.iter().for_each(|(rank, record)| assert!(datagram.add(*rank, record)));
    datagram.finish()
}

/// Guards against invalid, misdirected and hostile datagrams: they neither crash a member, nor make its
/// memory or its answers grow, nor damage its view for long.
#[test]
fn hostile_datagrams_neither_crash_nor_damage_a_member() {
    let mut tier = settled(10, 17);
    let (now, mut out) = (tier.now, vec![]);
    let member = tier.members[0].as_mut().unwrap();
    let mut rng = fastrand::Rng::with_seed(3);
    let gone = |incarnation, beat| Record { incarnation, beat, left: true, silent: 0xff, zone: 0 };
    for lives in [1, 2, 1 << 31, u32::MAX] {
        for _ in 0..500 {
            let claims = [(0, gone(lives, u32::MAX)), (5, gone(lives, u32::MAX)), (700, gone(1, 1))];
            member.receive(now, 9, &forged(9, TIER, 10, &claims), &mut out);
        }
    }
    assert!(member.counts.absurd > 1000);
    let valid = forged(9, TIER, 10, &[(5, gone(1, 1))]);
    (0..valid.len()).for_each(|end| member.receive(now, 9, &valid[..end], &mut out));
    for _ in 0..20_000 {
        let noise: Vec<u8> = (0..rng.usize(0..300)).map(|_| rng.u8(..)).collect();
        member.receive(now, rng.u16(0..20), &noise, &mut out);
        let mut bent = valid.clone();
        bent[rng.usize(0..valid.len())] ^= 1 << rng.u8(0..8);
        member.receive(now, 9, &bent, &mut out);
    }
    member.receive(now, 8, &valid, &mut out);
    member.receive(now, 9, &forged(9, TIER + 1, 10, &[]), &mut out);
    let mut later = forged(9, TIER, 10, &[]);
    later[1] = 2 << 4 | 1;
    let sum = {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&later[..11]);
        hasher.update(&later[15..]);
        hasher.finalize()
    };
    later[11..15].copy_from_slice(&sum.to_le_bytes());
    member.receive(now, 9, &later, &mut out);
    let counts = member.counts;
    assert!(counts.unreadable > 0 && counts.foreign >= 2 && counts.unknown == 1, "{counts:?}");
    assert_eq!(member.members().len(), 10);
    assert!(out.len() < 100, "{} answers to 40,000 datagrams", out.len());
    tier.send(0, out);
    assert!(tier.until(20, Tier::converged).is_some(), "the views do not recover");
}

/// Guards the rollout of a longer list: members with the old and with the new list see each other alive.
#[test]
fn members_with_lists_of_different_length_see_each_other_alive() {
    let now = START;
    let mut old = Membership::new(&config(), place(0, 3), 1, now);
    let mut new = Membership::new(&config(), place(2, 5), 2, now);
    let mut out = vec![];
    new.tick(now + PERIOD, &mut out);
    for (_, datagram) in out.drain(..) {
        old.receive(now, 2, &datagram, &mut vec![]);
    }
    assert_eq!((old.counts.other_size, old.members()[2].record.incarnation), (1, 1));
    old.tick(now + 2 * PERIOD, &mut out);
    assert_eq!(old.state(2), Some(State::Alive));
}

#[test]
fn datagrams_of_another_tier_are_dropped() {
    let mut one = Membership::new(&config(), Place { tier: tier_of("a"), ..place(0, 3) }, 1, START);
    let mut other = Membership::new(&config(), Place { tier: tier_of("b"), ..place(1, 3) }, 2, START);
    let mut out = vec![];
    other.leave(START, &mut out);
    assert!(!out.is_empty());
    out.drain(..).for_each(|(_, datagram)| one.receive(START, 1, &datagram, &mut vec![]));
    assert!(one.counts.foreign > 0);
    assert_eq!(one.members()[1].record.incarnation, 0);
}

#[test]
fn single_member_sends_nothing_and_is_not_isolated() {
    let mut tier = Tier::new(1, 1);
    tier.pass(100 * PERIOD);
    assert_eq!(tier.sent, 0);
    let alone = tier.members[0].as_ref().unwrap();
    assert!(!alone.isolated(tier.now) && !alone.minority());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Merging records is a join: neither the order nor the repetition of datagrams matters.
    #[test]
    fn records_merge_independently_of_order_and_repetition(
        records in prop::collection::vec((1u16..4, 1u32..4, 0u32..5), 1..24),
        seed in any::<u64>(),
    ) {
        let merged = |records: &[(u16, u32, u32)]| {
            let mut member = Membership::new(&config(), place(0, 5), 1, START);
            for (rank, incarnation, beat) in records {
                // A member creates only one record per heartbeat.
                let silent = (incarnation * 31 + beat * 7 + u32::from(*rank)) as u8;
                let (incarnation, beat) = (*incarnation, *beat);
                let record = Record { incarnation, beat, left: beat == 4, silent, zone: 0 };
                member.receive(START, 4, &forged(4, TIER, 5, &[(*rank, record)]), &mut vec![]);
            }
            member.tick(START + PERIOD / 2, &mut vec![]);
            member.members().iter().map(|m| (m.record, m.state)).collect::<Vec<_>>()
        };
        let mut shuffled = records.clone();
        shuffled.extend(records.iter().take(5));
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        prop_assert_eq!(merged(&records), merged(&shuffled));
    }

    /// Decoding any bytes terminates, and the result is within its bounds.
    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Some(read) = Datagram::read(&bytes) {
            prop_assert!(read.records.len() <= MAX_RECORDS);
        }
    }
}
