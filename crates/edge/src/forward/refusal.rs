//! Answers that an instance gives by itself.

/// Why an instance answers by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    NoRequestId,
    NotConfigured,
    NoRoute,
    NoKey,
    KeyNotProved,
    OverLimit,
    NoServer,
    NoTime,
    Saturated,
    CrashesServers,
    AllShed,
    ColdLimit,
}

impl Refusal {
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::NoRequestId => 400,
            Self::NoRoute => 404,
            Self::NoKey => 401,
            Self::OverLimit => 429,
            Self::NotConfigured
            | Self::KeyNotProved
            | Self::NoServer
            | Self::NoTime
            | Self::Saturated
            | Self::CrashesServers
            | Self::AllShed
            | Self::ColdLimit => 503,
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NoRequestId => "no_request_id",
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::NoKey => "unknown_key",
            Self::KeyNotProved => "key_not_proved",
            Self::OverLimit => "over_team_limit",
            Self::NoServer => "no_server",
            Self::NoTime => "no_time_left",
            Self::Saturated => "servers_saturated",
            Self::CrashesServers => "crashes_servers",
            Self::AllShed => "all_servers_shed",
            Self::ColdLimit => "only_cold_servers",
        }
    }
}
