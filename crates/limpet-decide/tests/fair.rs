//! Guards against starved teams, leaked slots, unbounded queues and a queue that refuses queries
//! forever.

use std::time::Duration;

use limpet_decide::fair::{
    Admission,
    FairQueue,
    QueueLimits,
    ReleasedQuery, //
};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);
const FAR_DEADLINE: Duration = Duration::from_secs(1000);

fn queue(running_max: usize) -> FairQueue {
    FairQueue::new(QueueLimits {
        running_max,
        queued_per_team_max: 10,
        queued_max: 15,
    })
}

#[test]
fn queries_run_in_proportion_to_the_team_weights() {
    let mut queue = queue(1);
    assert_eq!(queue.admit(0, "x", 1, FAR_DEADLINE, MS), Admission::Run);
    for id in 0..5 {
        assert_eq!(
            queue.admit(100 + id, "heavy", 2, FAR_DEADLINE, MS),
            Admission::Queued
        );
        assert_eq!(
            queue.admit(200 + id, "light", 1, FAR_DEADLINE, MS),
            Admission::Queued
        );
    }
    let order: Vec<_> = (0..6).flat_map(|_| queue.finish(MS, MS)).collect();
    let expected = [100, 101, 200, 102, 103, 201].map(ReleasedQuery::Run);
    assert_eq!(order, expected);
}

#[test]
fn queues_are_bounded_and_a_team_at_its_limit_does_not_block_others() {
    let mut queue = queue(1);
    queue.admit(0, "big", 1, FAR_DEADLINE, MS);
    for id in 1..=10 {
        assert_eq!(
            queue.admit(id, "big", 1, FAR_DEADLINE, MS),
            Admission::Queued
        );
    }
    assert_eq!(
        queue.admit(11, "big", 1, FAR_DEADLINE, MS),
        Admission::QueueFull
    );
    for id in 20..25 {
        assert_eq!(
            queue.admit(id, "small", 1, FAR_DEADLINE, MS),
            Admission::Queued
        );
    }
    assert_eq!(
        queue.admit(30, "third", 1, FAR_DEADLINE, MS),
        Admission::QueueFull
    );
}

#[test]
fn a_query_that_cannot_meet_its_deadline_is_refused_and_the_queue_recovers() {
    let mut queue = queue(1);
    queue.admit(0, "a", 1, FAR_DEADLINE, MS);
    // One very slow query raises the run time estimate to 100 s.
    assert!(queue.finish(Duration::from_secs(100), MS).is_empty());
    assert_eq!(queue.admit(1, "a", 1, FAR_DEADLINE, MS), Admission::Run);
    assert_eq!(
        queue.admit(2, "a", 1, MS * 500, MS),
        Admission::DeadlineTooClose
    );
    // Once the slot is free, the next query runs, however long the estimate is.
    for _ in 0..200 {
        queue.finish(MS, MS);
        assert_eq!(queue.admit(3, "a", 1, MS * 500, MS), Admission::Run);
    }
    assert_eq!(queue.admit(4, "a", 1, MS * 500, MS), Admission::Queued);
}

#[test]
fn an_expired_query_is_released_without_taking_a_slot() {
    let mut queue = queue(1);
    queue.admit(0, "a", 1, FAR_DEADLINE, MS);
    queue.admit(1, "a", 1, MS * 5, MS);
    queue.admit(2, "a", 1, FAR_DEADLINE, MS);
    let released = queue.finish(MS, MS * 6);
    assert_eq!(released, [ReleasedQuery::Expired(1), ReleasedQuery::Run(2)]);
    assert_eq!(queue.running_count(), 1);
}

proptest! {
    /// The queue counts running and queued queries correctly, and no query waits while a slot is free.
    #[test]
    fn slots_are_neither_lost_nor_left_unused(
        steps in prop::collection::vec((0..4u8, 0..3usize), 1..200),
    ) {
        let mut queue = queue(3);
        let (mut running_count, mut waiting_ids) = (0usize, Vec::new());
        for (id, (step, team_index)) in (0u64..).zip(steps) {
            match step {
                0 | 1 => match queue.admit(
                    id,
                    ["a", "b", "c"][team_index],
                    team_index as u32 + 1,
                    FAR_DEADLINE,
                    MS,
                ) {
                    Admission::Run => running_count += 1,
                    Admission::Queued => waiting_ids.push(id),
                    Admission::QueueFull | Admission::DeadlineTooClose => {}
                },
                2 if running_count > 0 => {
                    running_count -= 1;
                    for released in queue.finish(MS, MS) {
                        let ReleasedQuery::Run(id) = released else { panic!("no query can expire") };
                        prop_assert!(waiting_ids.contains(&id));
                        waiting_ids.retain(|other| *other != id);
                        running_count += 1;
                    }
                }
                3 if !waiting_ids.is_empty() => {
                    let id = waiting_ids.swap_remove(team_index % waiting_ids.len());
                    prop_assert!(queue.cancel(id));
                    prop_assert!(!queue.cancel(id));
                }
                _ => {}
            }
            prop_assert_eq!(queue.running_count(), running_count);
            prop_assert_eq!(queue.queued_count(), waiting_ids.len());
            prop_assert!(running_count <= 3);
            prop_assert!(waiting_ids.is_empty() || running_count == 3);
        }
    }
}
