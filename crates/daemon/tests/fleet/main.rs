//! The shared state of instances over loopback, against a fake platform.

mod changes;
mod chaos;
mod harness;
mod links;
mod platform;
mod rights;
