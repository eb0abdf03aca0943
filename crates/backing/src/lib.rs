//! Clients for the services of the platform: a transactional table service, an
//! object store and a list of entry instances.
//!
//! The daemon uses the services through the traits of this crate. The clients
//! implement public protocols: the JSON gateway of the etcd v3 API for the table
//! service, the path-style S3 REST API without request signatures for the object
//! store, and the catalogue API of a service registry for the instance list.

mod error;
mod gateway;
mod http_list;
mod http_object;
mod http_table;
mod list;
mod object;
mod path_key;
mod table;
mod transport;

pub use error::PlatformError;
pub use http_list::HttpInstanceList;
pub use http_object::HttpObjectStore;
pub use http_table::{HttpTableService, MAX_TRANSACTION_OPERATIONS};
pub use list::{InstanceList, ListedInstance, ListedState};
pub use object::{ObjectKey, ObjectStore};
pub use table::{
    CommitOutcome, RowChange, RowCondition, RowKey, TableRow, TableService, TableSnapshot,
    TableTransaction,
};
