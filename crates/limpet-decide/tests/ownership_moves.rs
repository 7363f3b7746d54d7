//! Guards against a target that has no owner until its previous ownership expires although it was
//! released for a move, and against an undone release that loses the expiration of the ownership.

use std::time::Duration;

use limpet_decide::{
    grant::{
        Coordinator,
        GroupRules,
        OWNERSHIP_TTL,
        OwnedTargets,
        OwnershipChange,
        OwnershipRequest, //
    },
    lease::Lease,
};
use limpet_types::{
    NodeId,
    TargetAddr,
    hash::{
        LEASE_GROUP_COUNT,
        lease_group_of_target, //
    },
    message::GrantRequest, //
};

fn node(number: u8) -> NodeId {
    NodeId::new(([10, 0, 0, number], 7101).into(), u64::from(number))
}

fn target() -> TargetAddr {
    ([10, 1, 0, 1], 1).into()
}

/// Relay that requests the target from one coordinator.
struct Relay {
    node: NodeId,
    owned_targets: OwnedTargets,
    sequence: u64,
}

impl Relay {
    fn new(number: u8) -> Self {
        let node = node(number);
        let owned_targets = OwnedTargets::new(node);
        Self {
            node,
            owned_targets,
            sequence: 0,
        }
    }

    /// Sends one request; returns the changes of ownership and whether the target is being moved to
    /// this relay.
    fn request_target(
        &mut self,
        coordinator: &mut Coordinator,
        rules: &GroupRules,
        now: Duration,
    ) -> (Vec<OwnershipChange>, bool) {
        let is_preferred = rules.preferred.get(&target()) == Some(&self.node);
        let wanted = [target()];
        let wanted = if is_preferred { &wanted[..] } else { &[] };
        let ownership_request: OwnershipRequest =
            self.owned_targets.build_request(wanted, |_| true, now);
        self.sequence += 1;
        let request = GrantRequest {
            group: lease_group_of_target(target()) % LEASE_GROUP_COUNT,
            holder: self.node,
            sequence: self.sequence,
            tokens: Vec::new(),
            term: Some(7),
            wanted: ownership_request.wanted.clone(),
            claimed: ownership_request.claimed.clone(),
            released: ownership_request.released.clone(),
            directory_version: 0,
        };
        let reply = coordinator.handle(&request, rules, false, now);
        let is_moving = reply.targets.iter().any(|decision| decision.is_moving);
        (
            self.owned_targets
                .apply(&ownership_request, &reply, now, now),
            is_moving,
        )
    }
}

fn rules(preferred_number: u8) -> GroupRules {
    GroupRules {
        preferred: [(target(), node(preferred_number))].into(),
        ..GroupRules::default()
    }
}

#[test]
fn a_target_released_for_a_move_is_granted_at_once() {
    let start = Duration::from_secs(100);
    let lease = Lease {
        term: 7,
        elected_at: start,
        expires_at: start * 2,
    };
    let mut coordinator = Coordinator::new(node(9), lease_group_of_target(target()), lease);
    let (mut previous_owner, mut next_owner) = (Relay::new(1), Relay::new(2));
    let now = start + OWNERSHIP_TTL;
    let (changes, _) = previous_owner.request_target(&mut coordinator, &rules(1), now);
    assert_eq!(changes, [OwnershipChange::Gained(target())]);
    let rules = rules(2);
    assert_eq!(
        next_owner.request_target(&mut coordinator, &rules, now),
        (Vec::new(), true)
    );
    let (changes, _) = previous_owner.request_target(&mut coordinator, &rules, now);
    assert_eq!(changes, [OwnershipChange::Ending(target(), Some(node(2)))]);
    // The target is not granted while the previous owner may still use it.
    assert_eq!(
        next_owner.request_target(&mut coordinator, &rules, now),
        (Vec::new(), true)
    );
    assert!(previous_owner.owned_targets.release(target()).is_some());
    assert_eq!(previous_owner.owned_targets.owned().count(), 0);
    assert_eq!(
        previous_owner
            .request_target(&mut coordinator, &rules, now)
            .0,
        []
    );
    let (changes, _) = next_owner.request_target(&mut coordinator, &rules, now);
    assert_eq!(changes, [OwnershipChange::Gained(target())]);
}

#[test]
fn a_release_undone_before_it_is_reported_keeps_its_expiration() {
    let expires_at = Duration::from_secs(103);
    let mut relay = Relay::new(1);
    let lease = Lease {
        term: 7,
        elected_at: Duration::from_secs(90),
        expires_at: Duration::from_secs(200),
    };
    let mut coordinator = Coordinator::new(node(9), lease_group_of_target(target()), lease);
    relay.request_target(
        &mut coordinator,
        &rules(1),
        expires_at - Duration::from_millis(3600),
    );
    assert_eq!(relay.owned_targets.release(target()), Some(expires_at));
    relay.owned_targets.undo_release(target(), expires_at);
    assert_eq!(
        relay.owned_targets.owned().next(),
        Some((target(), expires_at))
    );
    let ownership_request =
        relay
            .owned_targets
            .build_request(&[], |_| true, Duration::from_secs(101));
    assert!(ownership_request.released.is_empty());
}
