//! Admission of queries: order, refusals and what happens when something fails.

#[path = "admission/limits.rs"]
mod limits;

use std::time::Duration;

use limits::{
    GOAL,
    LIMITS,
    answered,
    ms, //
};
use limpet_decide::admission::{
    AdmissionQueue,
    Arrival,
    Decision,
    EpisodeChange,
    Permit,
    RefusalEpisode,
    RefusalReason,
    Verdict,
    retry_after, //
};

/// Returns the queue of a process with the lowest limit of two queries.
fn queue() -> AdmissionQueue {
    AdmissionQueue::new(LIMITS, 0.1, 1000)
}

fn arrival(priority: u32, goal_at: Duration) -> Arrival {
    Arrival {
        route: priority,
        priority,
        goal: GOAL,
        goal_at,
        body_bytes: 10,
    }
}

#[track_caller]
fn start(queue: &mut AdmissionQueue, arrival: Arrival, now: Duration) -> Permit {
    match queue.arrive(arrival, now) {
        Decision::Start(permit) => permit,
        other => panic!("{other:?}"),
    }
}

#[track_caller]
fn wait(queue: &mut AdmissionQueue, arrival: Arrival, now: Duration) -> u64 {
    match queue.arrive(arrival, now) {
        Decision::Wait { id, .. } => id,
        other => panic!("{other:?}"),
    }
}

/// Uses both permits for queries of a priority that no other may borrow from, and lets one run time be known.
fn fill(queue: &mut AdmissionQueue, run_time: Duration, now: Duration) -> [Permit; 2] {
    for priority in 0..3 {
        let permit = start(queue, arrival(priority, now + GOAL), now);
        queue.finish(permit, &answered(), now + run_time);
    }
    let now = now + run_time;
    [0, 0].map(|priority| start(queue, arrival(priority, now + GOAL), now))
}

/// Returns the numbers of the queries that start when `permit` is given back.
fn started_after(queue: &mut AdmissionQueue, permit: Permit, now: Duration) -> Vec<(u64, Permit)> {
    queue.cancel(permit, now);
    let verdicts = queue.take_verdicts().into_iter();
    let started = verdicts.filter_map(|(id, verdict)| match verdict {
        Verdict::Start(permit) => Some((id, permit)),
        Verdict::Refuse(_) => None,
    });
    started.collect()
}

/// Guards against waiting on an idle site, and against refusing late queries there.
#[test]
fn query_starts_at_once_while_the_limit_is_not_reached() {
    let mut queue = queue();
    let first = start(&mut queue, arrival(1, ms(0)), ms(1000));
    let second = start(&mut queue, arrival(1, ms(2000)), ms(1000));
    assert_eq!((first.waited(), second.waited()), (ms(0), ms(0)));
    assert!(queue.expected_wait(0, ms(1000)).is_zero());
}

/// Guards against another order than by priority and by the end of the goal.
#[test]
fn permits_go_by_priority_and_then_by_the_end_of_the_goal() {
    let mut queue = queue();
    let [permit, _running] = fill(&mut queue, ms(1), ms(0));
    let now = ms(1);
    let ids = [(2, 90), (1, 80), (1, 70), (0, 95)]
        .map(|(priority, goal_ms)| wait(&mut queue, arrival(priority, ms(goal_ms)), now));
    let mut order = Vec::new();
    let mut permit = Some(permit);
    while let Some(ended) = permit.take() {
        let mut started = started_after(&mut queue, ended, now);
        if let Some((id, next)) = started.pop() {
            order.push(id);
            permit = Some(next);
        }
    }
    assert_eq!(order, [ids[3], ids[2], ids[1], ids[0]]);
}

/// Guards against a lower priority that gets nothing while more urgent queries never end.
#[test]
fn one_of_eight_permits_goes_to_a_lower_priority() {
    let mut queue = queue();
    let [mut permit, _running] = fill(&mut queue, ms(1), ms(0));
    let now = ms(1);
    let lower_id = wait(&mut queue, arrival(2, ms(100)), now);
    let mut started_count = 0;
    loop {
        while queue.waiting_count() < 3 {
            let _ = wait(&mut queue, arrival(0, ms(100)), now);
        }
        let (id, next) = started_after(&mut queue, permit, now).remove(0);
        started_count += 1;
        if id == lower_id {
            break;
        }
        permit = next;
    }
    assert_eq!(started_count, 8);
}

/// Guards against urgent queries that wait for a permit because less urgent ones hold all of them, and against
/// more than a bounded number of them beyond the limit.
#[test]
fn urgent_query_takes_the_next_permit_of_a_less_urgent_one() {
    let mut queue = queue();
    let less_urgent = [1, 1].map(|priority| start(&mut queue, arrival(priority, ms(100)), ms(0)));
    let _borrowed = start(&mut queue, arrival(0, ms(100)), ms(0));
    let _ = wait(&mut queue, arrival(0, ms(100)), ms(0));
    let _ = wait(&mut queue, arrival(1, ms(100)), ms(0));
    let [first, second] = less_urgent;
    assert_eq!(
        started_after(&mut queue, first, ms(1)).len(),
        1,
        "the urgent one borrows"
    );
    assert_eq!(
        started_after(&mut queue, second, ms(1)).len(),
        0,
        "the debt is paid back"
    );
}

/// Guards against holding a query that can't be in time until its deadline.
#[test]
fn query_that_cannot_be_in_time_is_refused_on_arrival() {
    let mut queue = queue();
    let _permits = fill(&mut queue, ms(60), ms(0));
    let decision = queue.arrive(arrival(0, ms(100)), ms(60));
    let Decision::Refuse(refusal) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Late);
    assert!(refusal.expected_wait > ms(0));
}

/// Guards against a query that waits on after its time is over, for example when all others are stuck.
#[test]
fn query_that_waits_is_refused_at_its_latest_start() {
    let mut queue = queue();
    let _stuck = fill(&mut queue, ms(20), ms(0));
    let Decision::Wait { id, check_at } = queue.arrive(arrival(0, ms(120)), ms(20)) else {
        panic!("it does not wait");
    };
    assert!(check_at <= ms(100), "{check_at:?}");
    let next_check_at = queue.check(id, check_at).unwrap_or(check_at);
    assert!(next_check_at <= ms(100), "{next_check_at:?}");
    assert_eq!(queue.check(id, ms(101)), None);
    let verdicts = queue.take_verdicts();
    assert!(matches!(verdicts[..], [(refused, Verdict::Refuse(_))] if refused == id));
    assert_eq!(queue.running_count(), 2, "stuck queries keep their permits");
}

/// Guards against a process that runs outdated queries after it was frozen, and against refusing the only one.
#[test]
fn frozen_process_refuses_what_is_late_and_serves_the_last() {
    let mut queue = queue();
    let [permit, _running] = fill(&mut queue, ms(20), ms(0));
    for _ in 0..3 {
        let _ = wait(&mut queue, arrival(0, ms(150)), ms(20));
    }
    queue.finish(permit, &answered(), ms(5000));
    let verdicts = queue.take_verdicts();
    let started_count = verdicts
        .iter()
        .filter(|(_, verdict)| matches!(verdict, Verdict::Start(_)))
        .count();
    assert_eq!((verdicts.len(), started_count), (3, 1));
}

/// Guards against an estimate that stays too high and refuses queries for good.
#[test]
fn estimate_that_is_too_high_is_corrected_by_the_next_completions() {
    let mut queue = queue();
    let [mut first, _second] = fill(&mut queue, ms(90), ms(0));
    let mut now = ms(90);
    assert!(matches!(
        queue.arrive(arrival(0, now + GOAL), now),
        Decision::Refuse(_)
    ));
    for _ in 0..12 {
        now += ms(2);
        queue.finish(first, &answered(), now);
        first = start(&mut queue, arrival(0, now + GOAL), now);
    }
    let _ = wait(&mut queue, arrival(0, now + GOAL), now);
}

/// Guards against a process that refuses queries, or lets any number of them run, before it knows a run time.
#[test]
fn process_that_starts_lets_queries_wait_until_the_end_of_their_goal() {
    let mut queue = queue();
    let _running = [(); 2].map(|()| start(&mut queue, arrival(0, ms(100)), ms(0)));
    let ids = [(); 8].map(|()| wait(&mut queue, arrival(0, ms(100)), ms(0)));
    assert!(matches!(
        queue.arrive(arrival(0, ms(100)), ms(0)),
        Decision::Refuse(_)
    ));
    assert!(queue.check(ids[0], ms(100)).is_some());
    assert_eq!(queue.check(ids[0], ms(101)), None);
}

/// Guards against a route that is refused for good because of run times from long ago.
#[test]
fn route_without_recent_run_times_is_probed() {
    let mut queue = queue();
    let _permits = fill(&mut queue, ms(90), ms(0));
    let is_refused = |queue: &mut AdmissionQueue, now| {
        matches!(
            queue.arrive(arrival(0, now + GOAL), now),
            Decision::Refuse(_)
        )
    };
    assert!(is_refused(&mut queue, ms(200)));
    assert!(!is_refused(&mut queue, ms(300)), "the probe");
    assert!(is_refused(&mut queue, ms(300)), "one probe is enough");
}

/// Guards against a probe whose check is due again at once, which polls until the end of its goal.
#[test]
fn probe_that_waits_is_checked_at_the_end_of_its_goal() {
    let mut queue = queue();
    let _permits = fill(&mut queue, ms(90), ms(0));
    let id = wait(&mut queue, arrival(0, ms(400)), ms(300));
    assert_eq!(queue.check(id, ms(330)), Some(ms(400)));
    assert_eq!(queue.check(id, ms(400)), None);
    let verdicts = queue.take_verdicts();
    assert!(matches!(verdicts[..], [(refused, Verdict::Refuse(_))] if refused == id));
}

/// Guards against a caller that disconnected and still takes a place or a permit.
#[test]
fn query_whose_caller_left_gets_no_permit() {
    let mut queue = queue();
    let [permit, _running] = fill(&mut queue, ms(1), ms(0));
    let id = wait(&mut queue, arrival(0, ms(100)), ms(1));
    queue.leave(id);
    assert_eq!(queue.waiting_count(), 0);
    assert!(started_after(&mut queue, permit, ms(2)).is_empty());
    assert_eq!(queue.running_count(), 1);
}

/// Guards against a queue that grows without bound, and against urgent queries that displace all others.
#[test]
fn full_queue_keeps_places_for_lower_priorities() {
    let mut queue = queue();
    let _permits = fill(&mut queue, ms(1), ms(0));
    for priority in [2, 2, 2, 0, 0, 0, 0, 0] {
        let _ = wait(&mut queue, arrival(priority, ms(100)), ms(1));
    }
    let refused_counts = [2, 2, 5].map(|arrival_count| {
        for _ in 0..arrival_count {
            let _ = queue.arrive(arrival(0, ms(100)), ms(1));
        }
        assert_eq!(queue.waiting_count(), 8);
        queue.take_verdicts().len()
    });
    assert_eq!(
        refused_counts,
        [2, 0, 0],
        "one less urgent query keeps its place"
    );
    let decision = queue.arrive(arrival(0, ms(100)), ms(1));
    assert!(
        matches!(decision, Decision::Refuse(refusal) if refusal.reason == RefusalReason::QueueFull)
    );
}

/// Guards against bodies that use up the memory while their queries wait.
#[test]
fn queue_is_bounded_in_bytes() {
    let mut queue = queue();
    let _permits = fill(&mut queue, ms(1), ms(0));
    let large = |goal_ms| Arrival {
        body_bytes: 600,
        ..arrival(0, ms(goal_ms))
    };
    let _ = wait(&mut queue, large(90), ms(1));
    assert!(matches!(
        queue.arrive(large(100), ms(1)),
        Decision::Refuse(_)
    ));
}

/// Guards against retries that come before a third of the time left, too early or all at once.
#[test]
fn retry_after_is_spread_and_bounded() {
    let times: Vec<Duration> = (0..=10)
        .map(|draw| retry_after(ms(200), ms(2000), f64::from(draw) / 10.0))
        .collect();
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]));
    assert_eq!((times[0], times[10]), (ms(200), ms(400)));
    assert_eq!(retry_after(ms(1), ms(2000), 0.0), ms(50));
    assert_eq!(retry_after(ms(900), ms(600), 1.0), ms(200));
}

/// Guards against more than one log line of each kind per second.
#[test]
fn group_stops_refusing_after_a_quiet_second() {
    let mut episode = RefusalEpisode::default();
    assert_eq!(episode.update(1, ms(0)), Some(EpisodeChange::Began));
    assert_eq!(episode.update(2, ms(500)), None);
    assert_eq!(episode.update(0, ms(1499)), None);
    let ended = EpisodeChange::Ended {
        refused_count: 3,
        duration: ms(500),
    };
    assert_eq!(episode.update(0, ms(1500)), Some(ended));
    assert_eq!(episode.update(0, ms(3000)), None);
}
