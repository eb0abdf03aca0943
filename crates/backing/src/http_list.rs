//! HTTP client for the instance list.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use tarragonpulley_policy::ids::{CentreName, InstanceName};

use crate::transport::{HttpTransport, PlatformRequest};
use crate::{InstanceList, ListedInstance, ListedState, PlatformError};

const LIST_PATH: &str = "/v1/catalog/service/tarragonpulley";
/// Maximum size of the list, enough for several thousand entries.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Reads the instance list from the catalogue API of a service registry.
#[derive(Debug)]
pub struct HttpInstanceList {
    transport: HttpTransport,
}

#[derive(Debug, Deserialize)]
struct CatalogEntry {
    #[serde(rename = "ServiceID")]
    name: InstanceName,
    #[serde(rename = "ServiceAddress")]
    address: IpAddr,
    #[serde(rename = "ServicePort")]
    port: u16,
    #[serde(rename = "ServiceMeta")]
    meta: CatalogMeta,
}

#[derive(Debug, Deserialize)]
struct CatalogMeta {
    data_centre: CentreName,
    peer_address: SocketAddr,
    state: CatalogState,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum CatalogState {
    Live,
    Leaving,
}

impl From<CatalogEntry> for ListedInstance {
    fn from(entry: CatalogEntry) -> Self {
        Self {
            instance: entry.name,
            centre: entry.meta.data_centre,
            service_address: SocketAddr::new(entry.address, entry.port),
            peer_address: entry.meta.peer_address,
            state: match entry.meta.state {
                CatalogState::Live => ListedState::Live,
                CatalogState::Leaving => ListedState::Leaving,
            },
        }
    }
}

impl HttpInstanceList {
    /// Creates a client for the registry at `base_url`, as in
    /// `http://10.0.0.1:8500`. Each call takes at most `timeout`.
    #[must_use]
    pub fn new(base_url: impl Into<String>, timeout: Duration) -> Self {
        Self {
            transport: HttpTransport::new(base_url, timeout),
        }
    }

    async fn fetch(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        let request = PlatformRequest {
            method: Method::GET,
            path: LIST_PATH.to_owned(),
            content_type: "",
            body: Bytes::new(),
            max_response_bytes: MAX_LIST_BYTES,
        };
        let response = self.transport.call(request).await?;
        if response.status != StatusCode::OK {
            let text = format!("instance list: {}", response.status);
            return Err(PlatformError::NoResponse(text));
        }
        // One invalid entry makes the whole list invalid: if it were skipped,
        // other instances would treat a live instance as removed.
        let entries: Vec<CatalogEntry> = serde_json::from_slice(&response.body)
            .map_err(|error| PlatformError::InvalidResponse(format!("instance list: {error}")))?;
        Ok(entries.into_iter().map(ListedInstance::from).collect())
    }
}

impl InstanceList for HttpInstanceList {
    fn read(&self) -> LocalBoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>> {
        self.fetch().boxed_local()
    }
}
