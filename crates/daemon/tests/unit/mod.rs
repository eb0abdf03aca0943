//! Tests of modules that are private to the daemon, against small fakes.

mod backend;
mod bookings;
mod fakes;
mod jobs;
mod lookups;
mod mixed;
mod queue;
mod requests;
mod server;
