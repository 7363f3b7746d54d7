//! Notices of targets about further requests.

use std::time::Duration;

use limpet_decide::target_notice::{
    TargetNotices,
    parse_retry_after, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

fn retry_after_is_parsed((value, expected_ms): (&str, Option<u64>)) {
    assert_eq!(
        parse_retry_after(value),
        expected_ms.map(Duration::from_millis)
    );
}

// Guards against a target that gets requests, or none for ever, because of the form of its header.
limpet_testkit::cases! {
    retry_after_is_parsed:
    whole_seconds => ("2", Some(2000)),
    fraction => ("0.25", Some(250)),
    spaces => ("  3 ", Some(3000)),
    zero => ("0", Some(0)),
    leading_zeros => ("007", Some(7000)),
    huge => ("99999999999999999999999999", Some(86_400_000)),
    beyond_all_numbers => (&"9".repeat(400), Some(86_400_000)),
    empty => ("", None),
    negative => ("-1", None),
    exponent => ("1e9", None),
    infinite => ("inf", None),
    not_a_number => ("NaN", None),
    date => ("Fri, 31 Dec 1999 23:59:59 GMT", None),
    two_dots => ("1.2.3", None),
}

/// Guards against requests within a pause although replies with shorter pauses arrive late or out of order.
#[test]
fn every_pause_is_kept() {
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_205);
    for _ in 0..2000 {
        let mut notices = TargetNotices::new();
        let mut now = Duration::from_secs(5);
        let mut pause_ends = Vec::new();
        for _ in 0..rng.random_range(1..20) {
            now += Duration::from_millis(rng.random_range(0..700));
            if rng.random_bool(0.5) {
                let pause = Duration::from_millis(rng.random_range(0..3000));
                notices.record_pause(pause, now);
                pause_ends.push(now + pause);
            }
            let is_paused = pause_ends.iter().any(|end| now < *end);
            assert_eq!(notices.allows_request(now), !is_paused);
            assert_eq!(notices.pause_left(now).is_zero(), !is_paused);
        }
        notices.record_leaving();
        assert!(!notices.allows_request(now + Duration::from_secs(9999)));
        assert!(notices.is_leaving() && notices.is_in_force(now));
    }
}
