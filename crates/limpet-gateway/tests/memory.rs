//! Memory for bodies.

use std::sync::Arc;

use bytes::Bytes;
use limpet_gateway::memory::BodyMemory;

const LIMIT_BYTES: usize = 1 << 20;

/// Guards against a complete answer that is dropped or not counted while the memory is used up, and against usual bodies that
/// are refused because more than the limit is used.
#[test]
fn complete_answer_counts_beyond_the_limit() {
    let memory = Arc::new(BodyMemory::new(LIMIT_BYTES));
    let mut reply = memory.reservation();
    assert!(reply.try_extend(LIMIT_BYTES));
    let answer = memory.reserve(Bytes::from(vec![1; LIMIT_BYTES]));
    let copy = answer.clone();
    assert_eq!(answer.len(), LIMIT_BYTES);
    assert!(memory.used_bytes() > LIMIT_BYTES);
    assert!(!memory.reservation().try_extend(32 << 10));
    assert!(memory.reservation().try_extend(16 << 10));
    drop(reply);
    drop(answer);
    assert!(
        memory.used_bytes() > LIMIT_BYTES / 2,
        "the copy is not counted"
    );
    drop(copy);
    assert_eq!(memory.used_bytes(), 0);
    assert!(memory.reservation().try_extend(LIMIT_BYTES));
}
