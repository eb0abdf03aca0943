//! The list of entry instances.

use std::fmt::Debug;
use std::net::SocketAddr;

use futures_util::future::LocalBoxFuture;
use tarragonpulley_policy::ids::{CentreName, InstanceName};

use crate::PlatformError;

/// Whether a listed instance stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// It is running.
    Live,
    /// It is about to be stopped.
    Leaving,
}

/// An instance as the list names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Its name.
    pub instance: InstanceName,
    /// Its data centre.
    pub centre: CentreName,
    /// Where callers reach it.
    pub service_address: SocketAddr,
    /// Where other instances reach it.
    pub peer_address: SocketAddr,
    /// Whether it stays.
    pub state: ListedState,
}

/// The platform's list of entry instances. It lags behind the truth: an
/// instance may be missing for some seconds after its start and listed for
/// some seconds after its end.
pub trait InstanceList: Debug {
    /// Reads the whole list.
    fn read(&self) -> LocalBoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>>;
}
