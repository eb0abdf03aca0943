//! An entry instance on a shared platform.
//!
//! The instance responds to lookups, and authenticates, admits, limits, places
//! and retries requests. It keeps no durable state: configuration, backend
//! servers and the state of rollouts are read from the platform's table through
//! [`TableService`], and [`PlatformAdapter`] decodes the rows.

mod adapter;
mod clock;
mod cold_answers;
mod crashes;
mod events;
mod follow;
mod forward;
mod http;
mod instance;
mod links;
mod listeners;
mod metrics;
mod mirror;
mod peers;
mod reach;
mod regions;
mod restarts;
mod rollout;
mod row_rules;
mod run;
mod servers;
mod service_client;
mod supervise;
mod table;
mod team_limits;
#[cfg(test)]
mod tests;
mod usage;
mod warm;

pub use adapter::{EntryOrder, HeaderNames, LookupNames, OperatorOrder, PlatformAdapter, RowError};
pub use clock::BootClock;
pub use events::EventLog;
pub use http::account::ClientLimits;
pub use instance::InstanceOptions;
pub use run::{InstanceParts, ListenAddresses, SettingsReload, run};
pub use service_client::{CallError, ServiceClient, ServiceResponse};
pub use table::{
    TableBatch, TableEra, TableEraError, TableError, TableKind, TableResult, TableRow,
    TableService, WrittenRow,
};
pub use usage::{DeliveryError, UsageReceiver};
