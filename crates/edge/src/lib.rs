//! An entry instance on a shared platform.
//!
//! The instance answers look-ups, and authenticates, admits, places, limits and
//! repeats requests. It keeps nothing that must last: configuration, backend
//! servers and the state of rollouts are followed in the platform's table
//! through [`TableService`], whose rows [`PlatformAdapter`] decodes.

mod adapter;
mod clock;
mod crashes;
mod events;
mod follow;
mod forward;
mod http;
mod instance;
mod listeners;
mod metrics;
mod peers;
mod regions;
mod rollout;
mod run;
mod servers;
mod service_client;
mod table;
mod team_limits;

pub use adapter::{HeaderNames, LookupNames, OperatorOrder, PlatformAdapter, RowError};
pub use clock::BootClock;
pub use events::EventLog;
pub use instance::InstanceOptions;
pub use run::{InstanceParts, ListenAddresses, SettingsReload, run};
pub use service_client::{CallError, ServiceClient, ServiceResponse};
pub use table::{TableBatch, TableError, TableKind, TableResult, TableRow, TableService};
