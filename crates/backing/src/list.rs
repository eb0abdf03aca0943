//! The interface of the instance list.

use std::fmt::Debug;
use std::net::SocketAddr;

use futures_util::future::LocalBoxFuture;
use tarragonpulley_policy::ids::{CentreName, InstanceName};

use crate::PlatformError;

/// The state of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// The instance is running.
    Live,
    /// The platform is about to stop the instance.
    Leaving,
}

/// An entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// The name of the instance.
    pub instance: InstanceName,
    /// Its data centre.
    pub centre: CentreName,
    /// The address for callers.
    pub service_address: SocketAddr,
    /// The address for other instances.
    pub peer_address: SocketAddr,
    /// Whether the instance is running or about to be stopped.
    pub state: ListedState,
}

/// The platform's list of entry instances. It is eventually consistent: an
/// instance may be missing for some seconds after its start, and may still be
/// listed for some seconds after its shutdown.
pub trait InstanceList: Debug {
    /// Reads the whole list.
    fn read(&self) -> LocalBoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>>;
}
