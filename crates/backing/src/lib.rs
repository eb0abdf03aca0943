//! What the platform gives: a transactional table service, an object store and
//! a list of entry instances.
//!
//! The daemon sees them as the trait objects of this module. The clients speak
//! published protocols: the table service the JSON gateway of the etcd v3 API,
//! the object store the path-style S3 REST API without signatures, the list
//! the catalogue API of a service registry.

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
