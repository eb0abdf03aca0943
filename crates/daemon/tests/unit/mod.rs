//! Unit tests of the daemon's private modules, against fakes.

mod backend;
mod bookings;
mod fakes;
mod jobs;
mod lookups;
mod mixed;
mod queue;
mod requests;
mod server;
