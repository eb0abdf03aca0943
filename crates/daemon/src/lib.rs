//! The entry instance of tarragonpulley.
//!
//! Every instance runs this program, and none is special. It answers look-ups,
//! runs requests on backend servers, and agrees with the other instances on
//! configuration and limits. One thread runs everything; state is shared by
//! `Rc`, and the borders between modules are the traits in `border`.

#[allow(dead_code, reason = "the wiring is being added")]
mod backends;
#[allow(dead_code, reason = "the modules behind the borders are being added")]
mod border;
#[allow(dead_code, reason = "the wiring is being added")]
mod claims;
#[allow(dead_code, reason = "the wiring is being added")]
mod errors;
#[allow(dead_code, reason = "the wiring is being added")]
mod frontend;
#[allow(dead_code, reason = "the wiring is being added")]
mod headers;
#[allow(dead_code, reason = "the wiring is being added")]
mod http_server;
#[allow(dead_code, reason = "the wiring is being added")]
mod jobs;
#[allow(dead_code, reason = "the wiring is being added")]
mod metrics;
#[allow(dead_code, reason = "the wiring is being added")]
mod pipeline;
#[allow(dead_code, reason = "the wiring is being added")]
mod probe;
#[allow(dead_code, reason = "the wiring is being added")]
mod queue;
#[allow(dead_code, reason = "the wiring is being added")]
mod tasks;
#[allow(dead_code, reason = "the wiring is being added")]
mod upstream;

#[cfg(test)]
#[path = "../tests/unit/mod.rs"]
mod unit;
