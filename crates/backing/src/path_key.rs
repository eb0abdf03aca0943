//! Keys that are paths.

/// Defines the key type of one kind of thing that is stored under a path.
macro_rules! path_key {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $type(String);

        impl $type {
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

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

pub(crate) use path_key;
