//! Contents of gossip messages.

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
    freshness::FreshnessMessage,
    membership::MembershipMessage,
    reader::offer,
    shared::{
        Links,
        Shared, //
    },
};

/// Random records in one reply; coordinators come in addition.
///
/// Requests carry the sender's record only: with records both ways an idle exchange had 482 bytes,
/// and 10 exchanges asked and 10 answered a second came to 9.6 KB/s.
const RECORDS_SAMPLED: usize = 2;

/// Largest packed text that is pushed. Peers that have the text already get it again, so of a larger
/// one they are told the revision only and ask for it.
const PUSH_SIZE_MAX_BYTES: usize = 16 << 10;

/// Strikes up to this age go with every message. Push and pull with 2 peers each 200 ms reach a fleet
/// of the design size in fewer than 10 rounds.
const STRIKE_NEWS_AGE: Duration = Duration::from_secs(5);
/// Strikes up to that age in one message; 8 are at most 256 bytes.
const STRIKE_NEWS_MAX: usize = 8;
/// Newest strikes among which messages choose; a reply has one of the older ones among them, for nodes
/// that missed the news.
const STRIKES_MAX: usize = 64;
/// Older strikes in a reply to a starting node. It asks up to 18 peers in a round, so all of them would
/// be 138 KB/s for a node whose start takes long.
const STRIKES_AT_START_MAX: usize = 16;

/// Builds a request; `push` adds the text in force, if it is small.
pub(super) fn request(shared: &Shared, push: bool) -> GossipRequest {
    let (revision, digest) = in_force(shared);
    let text = push
        .then(|| pack(shared, shared.with_texts(|texts| texts.previous())))
        .map(|text| text.filter(|text| size_bytes(text) <= PUSH_SIZE_MAX_BYTES));
    GossipRequest {
        sender: shared.own_record(),
        revision,
        digest,
        pushed_text: text.flatten().map(|text| (revision, digest, text)),
        reachability: shared.evidence.load().reachability,
        records: Vec::new(),
        strikes: strike_news(shared),
    }
}

/// Answers a request; also returns whether the sender has a newer revision that it did not push.
pub(super) async fn answer(links: &Links, request: GossipRequest) -> (GossipReply, bool) {
    let shared = &links.shared;
    let is_starting = request.sender.phase == Phase::Starting;
    hear(links, request.sender, request.records);
    hear_strikes(shared, &request.strikes);
    if let Some((revision, digest, text)) = request.pushed_text {
        take(links, revision, digest, &text).await;
    }
    shared
        .highest_heard
        .fetch_max(request.revision, Ordering::AcqRel);
    let (revision, digest) = in_force(shared);
    report_conflict(shared, request.revision, request.digest);
    let reply = GossipReply {
        sender: shared.own_record(),
        revision,
        digest,
        text: (revision > request.revision)
            .then(|| pack(shared, Some(request.revision)))
            .flatten(),
        freshness_age: shared.freshness_age(),
        reachability: shared.evidence.load().reachability,
        records: sample(shared),
        strikes: strikes_in_reply(shared, is_starting),
    };
    (reply, request.revision > revision)
}

/// Takes what a reply tells; the text comes first, as evidence counts for the text in force only.
pub(super) async fn absorb(
    links: &Links,
    peer: SocketAddr,
    sent_at: Duration,
    reply: GossipReply, //
) {
    let shared = &links.shared;
    hear(links, reply.sender, reply.records);
    hear_strikes(shared, &reply.strikes);
    shared
        .highest_heard
        .fetch_max(reply.revision, Ordering::AcqRel);
    if let Some(text) = &reply.text {
        take(links, reply.revision, reply.digest, text).await;
    }
    if report_conflict(shared, reply.revision, reply.digest) {
        return;
    }
    let answer = PeerEvidence {
        revision: reply.revision,
        reachability: reply.reachability,
        freshness_age: reply.freshness_age,
    };
    let _ = links.freshness.cast(FreshnessMessage::Answer {
        peer,
        sent_at,
        answer,
    });
}

fn hear(links: &Links, sender: NodeRecord, mut records: Vec<NodeRecord>) {
    records.push(sender);
    let _ = links.membership.cast(MembershipMessage::Heard(records));
}

fn hear_strikes(shared: &Shared, strikes: &[Strike]) {
    if !strikes.is_empty() {
        let now = shared.board.now();
        shared.board.strikes().merge(strikes, now);
    }
}

/// Returns the newest strikes, split into news and those that most nodes have heard of.
fn strikes(shared: &Shared) -> (Vec<Strike>, Vec<Strike>) {
    let now = shared.board.now();
    let newest = shared.board.strikes().export(STRIKES_MAX, now);
    let is_news = |strike: &Strike| strike.age < STRIKE_NEWS_AGE;
    newest.into_iter().partition(is_news)
}

/// Returns a few strikes that other nodes may not have heard of yet.
fn strike_news(shared: &Shared) -> Vec<Strike> {
    sample_strikes(&strikes(shared).0, STRIKE_NEWS_MAX)
}

/// Returns a few news and one older strike; more of the older ones for a starting node, which would
/// otherwise serve before it has them.
fn strikes_in_reply(shared: &Shared, is_starting: bool) -> Vec<Strike> {
    let (news, older) = strikes(shared);
    let older_max = if is_starting { STRIKES_AT_START_MAX } else { 1 };
    let mut sample = sample_strikes(&news, STRIKE_NEWS_MAX);
    sample.extend(sample_strikes(&older, older_max));
    sample
}

fn sample_strikes(strikes: &[Strike], max: usize) -> Vec<Strike> {
    let chosen = strikes.choose_multiple(&mut rand::rng(), max);
    chosen.cloned().collect()
}

/// Offers a text of a peer to the installer, if it is newer and its digest is right.
async fn take(links: &Links, revision: Revision, digest: [u8; 32], text: &ConfigText) {
    if revision <= in_force(&links.shared).0 {
        return;
    }
    match links.shared.with_texts(|texts| texts.unpack(text)) {
        Ok(text) if *blake3::hash(text.as_bytes()).as_bytes() == digest => {
            let seen = ConfigVersion { revision, digest };
            offer(links, Origin::Peer, seen, text.into()).await;
        }
        Ok(_) => tracing::error!(revision, "text of a peer refused: its digest is wrong"),
        Err(error) => tracing::info!(revision, %error, "text of a peer not read"),
    }
}

fn in_force(shared: &Shared) -> (Revision, [u8; 32]) {
    let config = shared.board.config_in_force.load();
    config
        .as_ref()
        .map_or((0, [0; 32]), |c| (c.revision, c.digest))
}

/// Reports a peer that has a different configuration under the revision in force here.
fn report_conflict(shared: &Shared, revision: Revision, digest: [u8; 32]) -> bool {
    let own = in_force(shared);
    let is_conflict = own.0 == revision && own.1 != digest;
    if is_conflict {
        tracing::error!(
            revision,
            "peer has a different configuration under the same revision"
        );
        metrics::counter!("limpet_config_offers_total", "outcome" => "conflict").increment(1);
    }
    is_conflict
}

const fn size_bytes(text: &ConfigText) -> usize {
    match text {
        ConfigText::Full { compressed } | ConfigText::Delta { compressed, .. } => compressed.len(),
    }
}

fn pack(shared: &Shared, base: Option<Revision>) -> Option<ConfigText> {
    match shared.with_texts(|texts| texts.pack(base)) {
        Ok(text) => text,
        Err(error) => {
            tracing::error!(%error, "text not compressed");
            None
        }
    }
}

/// Returns a few random records and those of all coordinators.
fn sample(shared: &Shared) -> Vec<NodeRecord> {
    let now = shared.board.now();
    let members = shared.board.members.load();
    let others = || {
        let own = shared.board.node.addr;
        let nodes = members.nodes.iter();
        nodes.filter(move |member| member.record.node.addr != own)
    };
    let plain: Vec<_> = others()
        .filter(|member| member.record.coordinated_groups.is_empty())
        .collect();
    let coordinators = others().filter(|member| !member.record.coordinated_groups.is_empty());
    plain
        .choose_multiple(&mut rand::rng(), RECORDS_SAMPLED)
        .copied()
        .chain(coordinators)
        .map(|member| NodeRecord {
            age: now.saturating_sub(member.last_seen_at),
            ..member.record.clone()
        })
        .collect()
}
