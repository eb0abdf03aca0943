//! Responses that the instance makes itself when it rejects a request.

/// Why a request was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    NoRequestId,
    NotConfigured,
    NoRoute,
    /// The operator's row of the route cannot be used.
    RouteUnusable,
    UnknownKey,
    /// The operator's row of the key's team cannot be used.
    TeamUnusable,
    KeyNotProved,
    OverTeamLimit,
    NoServer,
    NoTimeLeft,
    ServersSaturated,
    CrashesServers,
    AllServersShed,
    OnlyColdServers,
    /// All servers named a limit, and this instance has used its share of them.
    ServerLimitsReached,
    /// All servers asked for a pause, or this instance returns to them gradually.
    ServersPaused,
    /// This instance has no memory left for the body of the request.
    NoMemory,
    /// As many requests are in progress as this instance has connections for.
    TooManyRequests,
    /// This instance is partitioned from all servers.
    NoServerReachable,
    /// The request would not be complete when this process ends.
    Stopping,
}

impl Rejection {
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::NoRequestId => 400,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::OverTeamLimit => 429,
            Self::NotConfigured
            | Self::RouteUnusable
            | Self::TeamUnusable
            | Self::KeyNotProved
            | Self::NoServer
            | Self::NoTimeLeft
            | Self::ServersSaturated
            | Self::CrashesServers
            | Self::AllServersShed
            | Self::OnlyColdServers
            | Self::ServerLimitsReached
            | Self::ServersPaused
            | Self::NoMemory
            | Self::TooManyRequests
            | Self::NoServerReachable
            | Self::Stopping => 503,
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NoRequestId => "no_request_id",
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::RouteUnusable => "route_unusable",
            Self::UnknownKey => "unknown_key",
            Self::TeamUnusable => "team_unusable",
            Self::KeyNotProved => "key_not_proved",
            Self::OverTeamLimit => "over_team_limit",
            Self::NoServer => "no_server",
            Self::NoTimeLeft => "no_time_left",
            Self::ServersSaturated => "servers_saturated",
            Self::CrashesServers => "crashes_servers",
            Self::AllServersShed => "all_servers_shed",
            Self::OnlyColdServers => "only_cold_servers",
            Self::ServerLimitsReached => "server_limits_reached",
            Self::ServersPaused => "servers_paused",
            Self::NoMemory => "no_memory",
            Self::TooManyRequests => "too_many_requests",
            Self::NoServerReachable => "no_server_reachable",
            Self::Stopping => "stopping",
        }
    }
}
