use super::*;

/// Guards roll-outs, in which summaries pass between senders with two-byte and with four-byte destinations.
#[test]
fn two_byte_destinations_are_found_in_filters_of_either_version() {
    let short: BTreeSet<u16> = (0..100).map(|n| n * 600).collect();
    let keys: BTreeSet<DestinationKey> = short.iter().map(|n| DestinationKey(u32::from(*n))).collect();
    let (before, now) = (Filter::of(&short, DESTINATION_BITS), Filter::of(&keys, DESTINATION_BITS));
    assert_eq!(before.0.as_slice(), now.0.as_slice());
    assert!(keys.iter().all(|key| before.contains(key)));
    let wide: BTreeSet<DestinationKey> = (70_000..70_100).map(DestinationKey).collect();
    let filter = Filter::of(&wide, DESTINATION_BITS);
    assert!(wide.iter().all(|key| filter.contains(key)));
}
