//! Fixture for tests of an entry: the entry with fake relays, and connections of callers.

#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod orders;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        atomic::Ordering, //
    },
    time::Duration,
};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    client::conn::http1::{
        SendRequest,
        handshake, //
    },
};
use hyper_util::rt::TokioIo;
use limpet_config::{
    Config,
    ConfigSections,
    FleetSettings,
    Lookup,
    Service,
    ServiceKind,
    Shard,
    Target,
    TargetState,
    Team,
    Zone,
    ZoneState, //
};
use limpet_peer::{
    PeerClient,
    PeerServer,
    serve, //
};
use limpet_types::{
    IndexVersion, KeyRange, NodeId, Phase, Refusal, RefusalCode, Role,
    key_range::KEY_SPACE_END,
    message::{
        AttemptAnswer,
        AttemptKind,
        AttemptReply,
        AttemptRequest,
        GrantReply,
        PeerReply,
        PeerRequest,
        TokenGrant, //
    },
};
use limpetshuntd::{
    Blackboard,
    blackboard::{
        ConfigInForce,
        OwnerDirectory, //
    },
    entry::{
        Entry,
        EntryLimits, //
    },
};
use serde_json::Value;
use tokio::net::{
    TcpListener,
    TcpStream, //
};

/// API key of team `a`.
pub const API_KEY_A: &str = "key-of-a";
/// API key of team `b`.
pub const API_KEY_B: &str = "key-of-b";
/// Time after which a test that waits for an event fails.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Function that replies to the attempts that reach a fake relay.
pub type AttemptHandler =
    Arc<dyn Fn(AttemptRequest) -> BoxFuture<'static, AttemptReply> + Send + Sync>;

/// Makes an asynchronous function an [`AttemptHandler`].
pub fn attempt_handler<F>(
    run: impl Fn(AttemptRequest) -> F + Send + Sync + 'static,
) -> AttemptHandler
where
    F: Future<Output = AttemptReply> + Send + 'static,
{
    Arc::new(move |request| Box::pin(run(request)))
}

/// Reply to an attempt with this outcome, from a target that holds these index versions.
pub fn attempt_reply(
    request: &AttemptRequest,
    outcome: Result<AttemptAnswer, Refusal>,
    versions_held: &[IndexVersion],
) -> AttemptReply {
    AttemptReply {
        request_id: request.request_id,
        attempt_number: request.attempt_number,
        shard: request.shard.clone(),
        target: request.target.clone(),
        outcome,
        versions_held: versions_held.to_vec(),
        is_target_cold: false,
        target_latency: Duration::ZERO,
        queue_time: Duration::ZERO,
    }
}

/// Reply with an answer for the whole range of the attempt, from a target that holds only `version`.
pub fn answering_reply(
    request: &AttemptRequest,
    version: IndexVersion,
    found: bool,
) -> AttemptReply {
    let answer = AttemptAnswer {
        range: request.range,
        snapshot: Some(version),
        found,
        body: format!("{}@{version}", request.shard).into_bytes(),
    };
    attempt_reply(request, Ok(answer), &[version])
}

/// Reply with a refusal, from a target whose index versions are not known.
pub fn refusing_reply(request: &AttemptRequest, code: RefusalCode, not_run: bool) -> AttemptReply {
    let refusal = Refusal {
        code,
        not_run,
        message: "".into(),
    };
    attempt_reply(request, Err(refusal), &[])
}

/// Address of a replica. Nothing listens there, because fake relays answer for the targets.
pub fn target_addr(shard: usize, replica: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, (shard >> 8) as u8, shard as u8],
        9000 + replica as u16,
    ))
}

/// Configuration with one service, four lookups of it, the teams `a` and `b`, and one zone.
pub fn test_config(shard_count: usize, replica_count: usize) -> Config {
    let shard_width = KEY_SPACE_END / shard_count as u64;
    let target = |shard: usize, replica: usize| Target {
        name: format!("t{shard}-{replica}").into(),
        addr: target_addr(shard, replica),
        zone: "z1".into(),
        state: TargetState::Live,
    };
    let shard = |index: usize| Shard {
        name: format!("s{index:03}").into(),
        range: KeyRange::new(
            index as u64 * shard_width,
            if index + 1 == shard_count {
                KEY_SPACE_END
            } else {
                (index as u64 + 1) * shard_width
            },
        ),
        targets: (0..replica_count)
            .map(|replica| target(index, replica))
            .collect(),
    };
    let service = Service {
        name: "stock".into(),
        kind: ServiceKind::Search,
        is_open: false,
        is_snapshot_required: true,
        slots: 2,
        connections_max: 25,
        cold_limit: 1,
        is_hedging_allowed: true,
        attempts_max: 3,
        shards: (0..shard_count).map(shard).collect(),
    };
    let lookup = |name: &str, kind| Lookup {
        name: name.into(),
        service: "stock".into(),
        kind,
        depends_on: vec![],
        allowed_teams: vec![],
    };
    let team = |name: &str, api_key: &str| Team {
        name: name.into(),
        rate_per_s: 1000.0,
        burst: 1000,
        weight: 1,
        key_digests: vec![*blake3::hash(api_key.as_bytes()).as_bytes()],
    };
    let fleet = FleetSettings {
        vms_max: 1,
        freshness_limit: Duration::from_secs(4),
    };
    let zones = vec![Zone {
        name: "z1".into(),
        state: ZoneState::Enabled,
    }];
    let teams = vec![team("a", API_KEY_A), team("b", API_KEY_B)];
    let lookups = vec![
        lookup("search", AttemptKind::Search),
        lookup("exists", AttemptKind::Exists),
        lookup("record", AttemptKind::Record),
        lookup("order", AttemptKind::Order),
    ];
    Config::new(fleet, zones, teams, vec![service], lookups)
}

/// An entry that serves callers, with the fake relays that it sends attempts to.
pub struct EntryFixture {
    pub entry: Arc<Entry>,
    pub board: Arc<Blackboard>,
    pub caller_addr: SocketAddr,
    pub relays: Vec<PeerServer>,
}

impl EntryFixture {
    /// Starts an entry and a fake relay for each handler; relay `i` owns replica `i` of every shard.
    pub async fn start(config: Config, handlers: Vec<AttemptHandler>, limits: EntryLimits) -> Self {
        let mut relays = Vec::new();
        let mut owners = Vec::new();
        for handler in handlers {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            owners.push(listener.local_addr().unwrap());
            relays.push(serve(listener, move |request| {
                let handler = Arc::clone(&handler);
                async move {
                    match request {
                        PeerRequest::Attempt(request) => PeerReply::Attempt(handler(request).await),
                        _ => PeerReply::Unsupported,
                    }
                }
            }));
        }
        Self::start_with_owners(config, &owners, relays, limits).await
    }

    /// Starts an entry; the relay at address `i` of `owners` owns replica `i` of every shard.
    pub async fn start_with_owners(
        config: Config,
        owners: &[SocketAddr],
        relays: Vec<PeerServer>,
        limits: EntryLimits,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let caller_addr = listener.local_addr().unwrap();
        // The entry does not listen at its peer address; `serve_forwarded_orders` puts another address in its
        // place.
        let peer_addr = SocketAddr::from(([127, 0, 0, 1], 1));
        let node = NodeId::new(peer_addr, rand::random());
        let board = Blackboard::new(node, Role::Entry, "z1".into());
        let mut directory = OwnerDirectory::default();
        for target_ref in config.targets() {
            if let Some(owner) = owners.get(target_ref.replica_index) {
                directory = directory.with_owner(target_ref.target.addr, NodeId::new(*owner, 1));
            }
        }
        board.owner_directory.store(Arc::new(directory));
        install_config(&board, config);
        board
            .config_fresh_until_us
            .store(u64::MAX, Ordering::Release);
        grant_tokens(&board, "a", 1_000_000);
        grant_tokens(&board, "b", 1_000_000);
        board.phase.send_replace(Phase::Serving);
        let entry = Entry::new(Arc::clone(&board), PeerClient::new(), limits);
        entry.serve(listener);
        Self {
            entry,
            board,
            caller_addr,
            relays,
        }
    }

    /// Opens a caller's connection to the entry.
    pub async fn connect_caller(&self) -> CallerConnection {
        CallerConnection::connect(self.caller_addr).await
    }
}

/// Puts a configuration in force.
pub fn install_config(board: &Blackboard, config: Config) {
    board.config_in_force.store(Some(Arc::new(ConfigInForce {
        revision: 1,
        digest: [0; 32],
        text: "".into(),
        config,
    })));
}

/// Puts a changed form of `test_config(2, 1)` in force.
pub fn change_config(fixture: &EntryFixture, change: impl FnOnce(&mut ConfigSections)) {
    let mut config = test_config(2, 1);
    config.change(change);
    install_config(&fixture.board, config);
}

/// Grants rate tokens to a team, as a coordinator does.
pub fn grant_tokens(board: &Blackboard, team: &str, token_count: u32) {
    let now = board.now();
    let reply = GrantReply {
        group: 0,
        coordinator: board.node,
        sequence: u64::try_from(now.as_nanos()).unwrap(),
        is_coordinator: true,
        term: 1,
        token_ttl: Duration::from_secs(3_600),
        ownership_ttl: Duration::ZERO,
        tokens: vec![TokenGrant {
            team: team.into(),
            tokens: token_count,
            level_milli: 0,
        }],
        targets: Vec::new(),
        directory_version: 0,
        directory: None,
    };
    let mut token_pool = board.token_pool();
    token_pool.set_teams(["a", "b"].into_iter());
    assert!(token_pool.apply(&reply, now, now));
    drop(token_pool);
    board.tokens_granted.notify_waiters();
}

/// HTTP response to a caller, with its JSON body parsed.
pub struct CallerResponse {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub json: Value,
}

impl CallerResponse {
    /// Returns the code of the refusal, or an empty string if the request was not refused.
    pub fn refusal_code(&self) -> &str {
        self.json["code"].as_str().unwrap_or("")
    }

    /// Checks that the request was refused with this code and this `not_run`.
    pub fn assert_refused(&self, code: &str, not_run: bool) {
        assert_eq!(
            (self.refusal_code(), &self.json["not_run"]),
            (code, &not_run.into()),
            "{}",
            self.json
        );
    }
}

/// HTTP/1.1 connection of a caller to an entry.
pub struct CallerConnection {
    sender: SendRequest<Full<Bytes>>,
    pub connection_task: tokio::task::JoinHandle<()>,
}

impl CallerConnection {
    /// Connects to the entry at `addr`.
    pub async fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).await.unwrap();
        stream.set_nodelay(true).unwrap();
        let (sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
        let connection_task = tokio::spawn(async move { drop(connection.await) });
        Self {
            sender,
            connection_task,
        }
    }

    /// Sends a request with the API key of team `a` and a deadline of 5 s, unless `headers` has others.
    pub async fn send(&mut self, lookup: &str, headers: &[(&str, &str)]) -> CallerResponse {
        self.send_body(lookup, headers, Bytes::from_static(b"planks"))
            .await
    }

    /// Like [`CallerConnection::send`], with a body of the test's own.
    pub async fn send_body(
        &mut self,
        lookup: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> CallerResponse {
        let mut request = Request::post(format!("/v1/lookups/{lookup}")).header("host", "entry");
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            request = request.header("authorization", format!("Bearer {API_KEY_A}"));
        }
        if !headers
            .iter()
            .any(|(name, _)| *name == "x-limpet-deadline-ms")
        {
            request = request.header("x-limpet-deadline-ms", "5000");
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).unwrap();
        self.sender.ready().await.unwrap();
        let response: Response<Incoming> = self.sender.send_request(request).await.unwrap();
        let status = response.status().as_u16();
        let value_text = |value: &http::HeaderValue| value.to_str().unwrap().to_owned();
        let headers = response
            .headers()
            .iter()
            .map(|(name, value)| (name.to_string(), value_text(value)))
            .collect();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let json = serde_json::from_slice(&body).unwrap();
        CallerResponse {
            status,
            headers,
            json,
        }
    }

    /// Sends an order without a ticket, and returns the ticket issued for it.
    pub async fn request_ticket(&mut self) -> String {
        let response = self.send("order", &[("x-limpet-record", "r1")]).await;
        response.assert_refused("ticket_required", true);
        response.headers["x-limpet-ticket"].clone()
    }
}

/// Attempts that reached a fake relay, in the order of their arrival.
pub type AttemptLog = Arc<Mutex<Vec<AttemptRequest>>>;
