//! The object store.

use std::fmt::{self, Debug};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::PlatformError;

/// The key of an object, a path such as `jobs/1f/body`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectKey(String);

impl ObjectKey {
    /// Wraps a path.
    #[must_use]
    pub fn new(path: impl Into<String>) -> Self {
        Self(path.into())
    }

    /// The path.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The object store of the platform.
pub trait ObjectStore: Debug {
    /// Writes a whole object; an existing one is replaced.
    fn put(&self, key: ObjectKey, body: Bytes) -> LocalBoxFuture<'_, Result<(), PlatformError>>;

    /// Reads a whole object, or `None` when it does not exist.
    fn get(&self, key: ObjectKey) -> LocalBoxFuture<'_, Result<Option<Bytes>, PlatformError>>;

    /// Deletes an object; a missing one is not an error.
    fn delete(&self, key: ObjectKey) -> LocalBoxFuture<'_, Result<(), PlatformError>>;
}
