//! Definition of newtypes for names, which are validated once when parsed.

/// Defines a name type that wraps `$storage`. The validation function `$check`
/// is called with the kind of name, for use in errors, and the text.
macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident($storage:ty), $kind:literal, $check:path => $error:ty) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type($storage);

        impl $type {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = $error;

            fn from_str(text: &str) -> Result<Self, $error> {
                $check($kind, text)?;
                Ok(Self(<$storage>::from(text)))
            }
        }

        impl TryFrom<String> for $type {
            type Error = $error;

            fn try_from(text: String) -> Result<Self, $error> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.as_str().to_owned()
            }
        }
    };
}

pub(crate) use name_type;
