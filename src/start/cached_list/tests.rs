use super::*;

#[test]
fn cached_list_of_other_tier_or_too_old_or_behind_configuration_is_rejected() {
    let now = 2 * MAX_AGE;
    let kept = |tier, at, version| CachedList::<u8> { tier, at, version, capacity: 20.0, entries: vec![] };
    assert_eq!(kept(7, now, 41).fit(7, 41, now), Ok(()));
    assert_eq!(kept(7, now + 1_000, 41).fit(7, 40, now), Ok(()), "the clock was set back by 1 ms");
    assert_eq!(kept(8, now, 41).fit(7, 41, now), Err(CachedListError::Foreign));
    assert_eq!(kept(7, now - MAX_AGE - 1, 41).fit(7, 41, now), Err(CachedListError::Old));
    assert_eq!(kept(7, now + MAX_AGE + 1, 41).fit(7, 41, now), Err(CachedListError::Old));
    assert_eq!(kept(7, now, 40).fit(7, 41, now), Err(CachedListError::Behind));
}
