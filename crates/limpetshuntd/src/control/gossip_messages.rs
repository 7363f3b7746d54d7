//! Builds gossip messages and processes received ones.

use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    time::Duration, //
};

use limpet_decide::{
    freshness::PeerEvidence,
    revision::{
        ConfigVersion,
        Origin, //
    },
};
use limpet_types::{
    NodeRecord, Phase, Revision,
    message::{
        ConfigText,
        GossipReply,
        GossipRequest,
        Strike, //
    },
};
use rand::seq::IndexedRandom;

use crate::control::{
    config_reader::offer_text,
    control_state::{
        ControlHandles,
        ControlState, //
    },
    freshness::FreshnessMessage,
    membership::MembershipMessage,
};

/// Number of randomly chosen node records in a reply, in addition to the records of all coordinators.
///
/// Requests carry only the sender's record: with further records in both messages, an idle exchange
/// took 482 bytes, and the 20 exchanges a second of a node (10 as caller, 10 as callee) 9.6 KB/s.
const RECORDS_PER_REPLY: usize = 2;

/// Maximum compressed size of a text that is pushed. A push also reaches peers that already have the
/// text, so a larger one is announced by its revision only, and peers request it.
const PUSHED_TEXT_MAX_BYTES: usize = 16 << 10;

/// Maximum age of a recent strike, counted from the target crash that it records; recent strikes are
/// candidates for every message. Exchanges with 2 peers every 200 ms spread a strike through a fleet of the
/// design size in fewer than 10 rounds.
const RECENT_STRIKE_AGE_MAX: Duration = Duration::from_secs(5);
/// Maximum number of recent strikes in a message; 8 take at most 256 bytes.
const RECENT_STRIKES_PER_MESSAGE: usize = 8;
/// Maximum number of strikes from which messages are filled, the newest ones. A reply also has one of these
/// that is no longer recent, for nodes that did not receive it before.
const STRIKE_CANDIDATES_MAX: usize = 64;
/// Maximum number of strikes that are no longer recent in a reply to a starting node. The node calls up to
/// 18 peers in a round, so replies with all such strikes would take 138 KB/s while its start lasts.
const OLDER_STRIKES_FOR_STARTING_MAX: usize = 16;

/// Builds a request, with the text in force if it should be pushed and is small enough.
pub(super) fn build_request(control_state: &ControlState, should_push_text: bool) -> GossipRequest {
    let (revision, digest) = version_in_force(control_state);
    let text = should_push_text
        .then(|| {
            compress_newest_text(
                control_state,
                control_state.with_text_history(|history| history.previous_revision()),
            )
        })
        .map(|text| text.filter(|text| compressed_size_bytes(text) <= PUSHED_TEXT_MAX_BYTES));
    GossipRequest {
        sender: control_state.update_own_record(),
        revision,
        digest,
        pushed_text: text.flatten().map(|text| (revision, digest, text)),
        reachability: control_state.freshness_status.load().reachability,
        records: Vec::new(),
        strikes: sample_recent_strikes(control_state),
    }
}

/// Processes a request and returns the reply, and whether the sender has a newer revision in force
/// that is not in force here yet.
pub(super) async fn handle_request(
    handles: &ControlHandles,
    request: GossipRequest,
) -> (GossipReply, bool) {
    let control_state = &handles.control_state;
    let is_sender_starting = request.sender.phase == Phase::Starting;
    forward_records(handles, request.sender, request.records);
    merge_strikes(control_state, &request.strikes);
    if let Some((revision, digest, text)) = request.pushed_text {
        offer_peer_text(handles, revision, digest, &text).await;
    }
    control_state
        .highest_peer_revision
        .fetch_max(request.revision, Ordering::AcqRel);
    let (revision, digest) = version_in_force(control_state);
    detect_conflict(control_state, request.revision, request.digest);
    let reply = GossipReply {
        sender: control_state.update_own_record(),
        revision,
        digest,
        text: (revision > request.revision)
            .then(|| compress_newest_text(control_state, Some(request.revision)))
            .flatten(),
        freshness_age: control_state.freshness_age(),
        reachability: control_state.freshness_status.load().reachability,
        records: sample_records(control_state),
        strikes: sample_strikes_for_reply(control_state, is_sender_starting),
    };
    (reply, request.revision > revision)
}

/// Processes a reply to a request sent at `sent_at`.
///
/// The text in the reply is offered before the evidence in it is recorded, because evidence counts only for
/// the revision in force.
pub(super) async fn handle_reply(
    handles: &ControlHandles,
    peer: SocketAddr,
    sent_at: Duration,
    reply: GossipReply, //
) {
    let control_state = &handles.control_state;
    forward_records(handles, reply.sender, reply.records);
    merge_strikes(control_state, &reply.strikes);
    control_state
        .highest_peer_revision
        .fetch_max(reply.revision, Ordering::AcqRel);
    if let Some(text) = &reply.text {
        offer_peer_text(handles, reply.revision, reply.digest, text).await;
    }
    // A peer that has another text under this revision doesn't show that the text here is current.
    if detect_conflict(control_state, reply.revision, reply.digest) {
        return;
    }
    let evidence = PeerEvidence {
        revision: reply.revision,
        reachability: reply.reachability,
        freshness_age: reply.freshness_age,
    };
    let _ = handles.freshness.cast(FreshnessMessage::PeerReplied {
        peer,
        sent_at,
        evidence,
    });
}

/// Sends the received node records to the membership controller.
fn forward_records(handles: &ControlHandles, sender: NodeRecord, mut records: Vec<NodeRecord>) {
    records.push(sender);
    let _ = handles
        .membership
        .cast(MembershipMessage::RecordsReceived(records));
}

/// Adds received strikes to those that this process knows.
fn merge_strikes(control_state: &ControlState, strikes: &[Strike]) {
    if !strikes.is_empty() {
        let now = control_state.board.now();
        control_state.board.strikes().merge(strikes, now);
    }
}

/// Returns the newest strikes, split into recent ones and older ones, which most nodes have received.
fn recent_and_older_strikes(control_state: &ControlState) -> (Vec<Strike>, Vec<Strike>) {
    let now = control_state.board.now();
    let newest = control_state
        .board
        .strikes()
        .export(STRIKE_CANDIDATES_MAX, now);
    let is_recent = |strike: &Strike| strike.age < RECENT_STRIKE_AGE_MAX;
    newest.into_iter().partition(is_recent)
}

/// Returns a sample of the recent strikes, which other nodes may not have received yet.
fn sample_recent_strikes(control_state: &ControlState) -> Vec<Strike> {
    sample_strikes(
        &recent_and_older_strikes(control_state).0,
        RECENT_STRIKES_PER_MESSAGE,
    )
}

/// Returns a sample of the recent strikes and one older strike, or more older ones for a starting node,
/// which would otherwise serve before it has received them.
fn sample_strikes_for_reply(control_state: &ControlState, is_sender_starting: bool) -> Vec<Strike> {
    let (recent, older) = recent_and_older_strikes(control_state);
    let older_count_max = if is_sender_starting {
        OLDER_STRIKES_FOR_STARTING_MAX
    } else {
        1
    };
    let mut sample = sample_strikes(&recent, RECENT_STRIKES_PER_MESSAGE);
    sample.extend(sample_strikes(&older, older_count_max));
    sample
}

/// Returns up to `count_max` strikes, chosen at random.
fn sample_strikes(strikes: &[Strike], count_max: usize) -> Vec<Strike> {
    let chosen = strikes.choose_multiple(&mut rand::rng(), count_max);
    chosen.cloned().collect()
}

/// Offers a text from a peer to the config installer, if it is newer than the one in force and has the
/// announced digest; logs a newer text that cannot be decompressed or has another digest.
async fn offer_peer_text(
    handles: &ControlHandles,
    revision: Revision,
    digest: [u8; 32],
    text: &ConfigText,
) {
    if revision <= version_in_force(&handles.control_state).0 {
        return;
    }
    match handles
        .control_state
        .with_text_history(|history| history.decompress(text))
    {
        Ok(text) if *blake3::hash(text.as_bytes()).as_bytes() == digest => {
            let version = ConfigVersion { revision, digest };
            offer_text(handles, Origin::Peer, version, text.into()).await;
        }
        Ok(_) => tracing::error!(
            revision,
            "configuration text from a peer refused: it does not match its digest"
        ),
        Err(error) => {
            tracing::info!(revision, %error, "cannot decompress the configuration text from a peer")
        }
    }
}

/// Returns the revision in force and the digest of its text; revision 0 stands for none.
fn version_in_force(control_state: &ControlState) -> (Revision, [u8; 32]) {
    let config = control_state.board.config_in_force.load();
    config
        .as_ref()
        .map_or((0, [0; 32]), |config| (config.revision, config.digest))
}

/// Returns whether a peer has another text under the revision in force here, and logs and counts it if so.
fn detect_conflict(control_state: &ControlState, revision: Revision, digest: [u8; 32]) -> bool {
    let own_version = version_in_force(control_state);
    let is_conflict = own_version.0 == revision && own_version.1 != digest;
    if is_conflict {
        tracing::error!(
            revision,
            "peer has a different configuration under the same revision"
        );
        metrics::counter!("limpet_config_offers_total", "outcome" => "conflict").increment(1);
    }
    is_conflict
}

/// Returns the compressed size of a text, as sent.
const fn compressed_size_bytes(text: &ConfigText) -> usize {
    match text {
        ConfigText::Full { compressed } | ConfigText::Delta { compressed, .. } => compressed.len(),
    }
}

/// Compresses the text in force for a peer: as a delta to the text of revision `base`, which the peer should
/// have, if that text is kept here, otherwise in full. Returns `None` if no text is in force or the
/// compression fails.
fn compress_newest_text(
    control_state: &ControlState,
    base: Option<Revision>,
) -> Option<ConfigText> {
    match control_state.with_text_history(|history| history.compress_newest(base)) {
        Ok(text) => text,
        Err(error) => {
            tracing::error!(%error, "cannot compress the configuration text for a peer");
            None
        }
    }
}

/// Returns the records of all coordinators and of a few other nodes, chosen at random.
///
/// Grant clients find their coordinators by these records, so every reply has those of all coordinators.
fn sample_records(control_state: &ControlState) -> Vec<NodeRecord> {
    let now = control_state.board.now();
    let members = control_state.board.members.load();
    let other_members = || {
        let own_addr = control_state.board.node.addr;
        let nodes = members.nodes.iter();
        nodes.filter(move |member| member.record.node.addr != own_addr)
    };
    let non_coordinators: Vec<_> = other_members()
        .filter(|member| member.record.coordinated_groups.is_empty())
        .collect();
    let coordinators =
        other_members().filter(|member| !member.record.coordinated_groups.is_empty());
    non_coordinators
        .choose_multiple(&mut rand::rng(), RECORDS_PER_REPLY)
        .copied()
        .chain(coordinators)
        .map(|member| NodeRecord {
            age: now.saturating_sub(member.last_seen_at),
            ..member.record.clone()
        })
        .collect()
}
