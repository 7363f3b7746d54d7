//! Grace periods of targets whose records lapse around outages of the source.

use std::time::Duration;

use limpet_decide::refresh::{
    LapseLimits,
    SourceOutage, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const LIMITS: LapseLimits = LapseLimits {
    renewal_time: Duration::from_secs(2),
    contact_time: Duration::from_secs(4),
    age_max: Duration::from_millis(2550),
};

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against grace periods although the source never failed.
#[test]
fn no_target_lapses_without_a_failure() {
    let mut outage = SourceOutage::new(LIMITS);
    outage.record_verified(at(10), at(10));
    assert_eq!(outage.lapse_end(Some(at(10)), at(20)), None);
}

/// Plays seeded series of lost calls, late replies and removals, and checks the end of each grace period.
///
/// A removal that may have been written while the process was in contact with the source takes effect within the
/// greatest age of its state; any other one before the bounds hold again, and while records may still return the target
/// stays.
#[test]
fn every_grace_period_keeps_its_bounds() {
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_205);
    let mut lapsed_count = 0;
    for _ in 0..20_000 {
        let mut outage = SourceOutage::new(LIMITS);
        let mut now = at(rng.random_range(5000..9000));
        let verified_at = now - at(rng.random_range(0..1500));
        let mut failed_at = now;
        for _ in 0..rng.random_range(1..4) {
            failed_at = now;
            // A call may fail at once or after its timeout.
            now += at(rng.random_range(0..900));
            outage.record_failure(failed_at);
            now += at(rng.random_range(0..1500));
        }
        let returned_at = now;
        let is_removal_in_first_reply = rng.random_bool(0.5);
        let (verified_at, removal_found_at) = match is_removal_in_first_reply {
            true => (verified_at, returned_at),
            false => {
                outage.record_verified(returned_at, returned_at);
                (returned_at, returned_at + at(rng.random_range(0..4000)))
            }
        };
        outage.record_verified(removal_found_at, removal_found_at);
        let Some(end) = outage.lapse_end(Some(verified_at), removal_found_at) else {
            let must_stay = removal_found_at < returned_at + LIMITS.renewal_time
                && removal_found_at < failed_at + LIMITS.contact_time
                && verified_at + LIMITS.age_max < removal_found_at;
            assert!(
                !must_stay,
                "a target that may still return is removed at once"
            );
            continue;
        };
        lapsed_count += 1;
        assert!(end > removal_found_at);
        assert!(end <= failed_at + LIMITS.contact_time);
        assert!(end <= returned_at + LIMITS.renewal_time);
        let may_be_outside_outage = verified_at + LIMITS.age_max > returned_at;
        assert!(!may_be_outside_outage || end <= verified_at + LIMITS.age_max);
    }
    assert!(lapsed_count > 1000, "{lapsed_count}");
}
