use super::*;

/// A burst of lines from one callsite must neither fill the disk nor slow the process down, and must not
/// suppress lines of other callsites.
#[test]
fn burst_from_one_callsite_is_limited_counted_and_suppresses_no_other() {
    let (one, other) = (tracing::info_span!("one"), tracing::info_span!("other"));
    let callsite = |span: &tracing::Span| span.metadata().map(tracing::Metadata::callsite);
    let limiter = RateLimiter::default();
    let now = Instant::now();
    let (Some(one), Some(other)) = (callsite(&one), callsite(&other)) else { return };
    let admitted = (0..1000).filter(|_| limiter.admits(one.clone(), now).0).count();
    assert_eq!(admitted, MAX_LINES as usize);
    assert_eq!(limiter.admits(other, now), (true, 0));
    assert_eq!(limiter.admits(one, now + WINDOW), (true, 1000 - u64::from(MAX_LINES)));
}
