//! Schedule of a planned stop.

use std::time::Duration;

use limpet_decide::shutdown::StopSchedule;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

/// Guards against a request that starts in a stop although it cannot end before it is cancelled, and against a stop in
/// which no request starts.
#[test]
fn requests_that_start_are_expected_to_end_in_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_205);
    let mut started_count = 0;
    for _ in 0..10_000 {
        let stop_time = Duration::from_millis(rng.random_range(1000..20_000));
        let schedule = StopSchedule::new(stop_time);
        let goal = Duration::from_millis(rng.random_range(10..1000));
        let mean = Duration::from_millis(rng.random_range(1..2000));
        let elapsed = stop_time.mul_f64(rng.random_range(0.0..1.0));
        assert!(schedule.notice_end() < schedule.cancel_at());
        assert!(schedule.cancel_at() < schedule.close_at());
        assert!(schedule.close_at() < stop_time);
        if schedule.may_start(elapsed, goal, Some(mean)) {
            started_count += 1;
            assert!(elapsed + mean <= schedule.cancel_at());
            assert!(elapsed + goal <= schedule.cancel_at());
        }
        assert!(schedule.may_start(Duration::ZERO, stop_time / 2, None));
    }
    assert!(started_count > 1000, "{started_count}");
}
