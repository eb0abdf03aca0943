//! The interface of the object store.

use std::fmt::Debug;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::PlatformError;
use crate::path_key::path_key;

path_key!(
    /// The key of an object, a path such as `jobs/1f/body`.
    ObjectKey
);

/// The object store of the platform.
pub trait ObjectStore: Debug {
    /// Writes a whole object, replacing an existing one.
    fn put(&self, key: ObjectKey, body: Bytes) -> LocalBoxFuture<'_, Result<(), PlatformError>>;

    /// Reads a whole object, or `None` when it does not exist.
    fn get(&self, key: ObjectKey) -> LocalBoxFuture<'_, Result<Option<Bytes>, PlatformError>>;

    /// Deletes an object; a missing one is not an error.
    fn delete(&self, key: ObjectKey) -> LocalBoxFuture<'_, Result<(), PlatformError>>;
}
