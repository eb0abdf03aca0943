//! Key types that hold a path.

/// Defines a key type that holds a path, so that keys of different services
/// cannot be mixed up.
macro_rules! path_key {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $type(String);

        impl $type {
            /// Wraps a path without validating it.
            #[must_use]
            pub fn new(path: impl Into<String>) -> Self {
                Self(path.into())
            }

            /// Returns the path.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

pub(crate) use path_key;
