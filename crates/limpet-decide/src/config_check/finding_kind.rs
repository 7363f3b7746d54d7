//! Rules that a configuration may break.

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Requests fail or are handled wrongly, or the configuration is not installed.
    Error,
    /// An entry has no effect, or a limit does not act as written.
    Warning,
}

/// Rule that is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingKind {
    /// An entry has a field that the format does not define, so it has no effect.
    UnknownField,
    /// A route refers to a service that is not in the configuration.
    UnknownService,
    /// A route has no host.
    EmptyHost,
    /// A route has no prefix.
    EmptyPrefix,
    /// A route, service or team has no name.
    EmptyName,
    /// No service of a split has a positive weight.
    NoPositiveWeight,
    /// A weight is negative or not finite.
    InvalidWeight,
    /// A scatter-gather route has no shards.
    NoShards,
    /// A scatter-gather route has the same service for two shards.
    RepeatedShard,
    /// Two routes, services or teams have the same name.
    DuplicateName,
    /// An API key occurs twice.
    DuplicateKey,
    /// An API key is empty.
    EmptyKey,
    /// The maximum number of attempts is zero.
    NoAttempts,
    /// A time, size or number is zero that must be positive for requests to be served as intended.
    ZeroLimit,
    /// A rate or burst is negative or not finite.
    InvalidRate,
    /// The minimum coverage is not between 0 and 1.
    InvalidCoverage,
    /// The version is not higher than the one in force.
    VersionNotHigher,
    /// A route has the host and prefix of an earlier route.
    ShadowedRoute,
    /// A prefix does not begin with a slash, as every path does.
    UnmatchablePrefix,
    /// A prefix does not end with a slash, so that it also matches longer names.
    OpenPrefix,
    /// A team has no API keys.
    TeamWithoutKeys,
    /// Requests need an API key, but there are none, so that all of them are refused.
    NoKeys,
    /// No route uses a service.
    UnusedService,
    /// The latency goal is longer than the timeout.
    GoalOverTimeout,
    /// An incomplete answer is allowed, but the coverage needs all of several shards.
    UnreachableCoverage,
    /// The burst of a rate limit is less than one request.
    BurstBelowOne,
    /// A burst is given without a rate, so that nothing is limited.
    BurstWithoutRate,
    /// A service has a warm-up time, but no limit of the rate during it.
    WarmupWithoutRate,
    /// A route allows more attempts than a service has targets.
    MoreAttemptsThanTargets,
}

impl FindingKind {
    /// Returns how much the finding matters.
    pub const fn severity(self) -> Severity {
        match self {
            Self::UnknownField
            | Self::UnknownService
            | Self::EmptyHost
            | Self::EmptyPrefix
            | Self::EmptyName
            | Self::NoPositiveWeight
            | Self::InvalidWeight
            | Self::NoShards
            | Self::RepeatedShard
            | Self::DuplicateName
            | Self::DuplicateKey
            | Self::EmptyKey
            | Self::NoAttempts
            | Self::ZeroLimit
            | Self::InvalidRate
            | Self::InvalidCoverage
            | Self::NoKeys
            | Self::VersionNotHigher => Severity::Error,
            Self::ShadowedRoute
            | Self::UnmatchablePrefix
            | Self::OpenPrefix
            | Self::TeamWithoutKeys
            | Self::UnusedService
            | Self::GoalOverTimeout
            | Self::UnreachableCoverage
            | Self::BurstBelowOne
            | Self::BurstWithoutRate
            | Self::WarmupWithoutRate
            | Self::MoreAttemptsThanTargets => Severity::Warning,
        }
    }

    /// Returns the name for programs, which does not change.
    pub const fn name(self) -> &'static str {
        match self {
            Self::UnknownField => "unknown_field",
            Self::UnknownService => "unknown_service",
            Self::EmptyHost => "empty_host",
            Self::EmptyPrefix => "empty_prefix",
            Self::EmptyName => "empty_name",
            Self::NoPositiveWeight => "no_positive_weight",
            Self::InvalidWeight => "invalid_weight",
            Self::NoShards => "no_shards",
            Self::RepeatedShard => "repeated_shard",
            Self::DuplicateName => "duplicate_name",
            Self::DuplicateKey => "duplicate_key",
            Self::EmptyKey => "empty_key",
            Self::NoAttempts => "no_attempts",
            Self::ZeroLimit => "zero_limit",
            Self::InvalidRate => "invalid_rate",
            Self::InvalidCoverage => "invalid_coverage",
            Self::VersionNotHigher => "version_not_higher",
            Self::ShadowedRoute => "shadowed_route",
            Self::UnmatchablePrefix => "unmatchable_prefix",
            Self::OpenPrefix => "open_prefix",
            Self::TeamWithoutKeys => "team_without_keys",
            Self::NoKeys => "no_keys",
            Self::UnusedService => "unused_service",
            Self::GoalOverTimeout => "goal_over_timeout",
            Self::UnreachableCoverage => "unreachable_coverage",
            Self::BurstBelowOne => "burst_below_one",
            Self::BurstWithoutRate => "burst_without_rate",
            Self::WarmupWithoutRate => "warmup_without_rate",
            Self::MoreAttemptsThanTargets => "more_attempts_than_targets",
        }
    }
}
