//! The entry instance of tarragonpulley.
//!
//! Every instance runs this program, and none is special. It answers look-ups,
//! runs requests on backend servers, and agrees with the other instances on
//! configuration and limits. One thread runs everything; state is shared by
//! `Rc`, and the borders between modules are the traits in `border`.

#[allow(dead_code, reason = "the modules behind the borders are being added")]
mod border;
#[allow(dead_code, reason = "the wiring of the instance is being added")]
mod fleet;
#[doc(hidden)]
pub mod test_support;
