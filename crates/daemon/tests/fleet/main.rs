//! The shared state of instances over loopback, against a fake platform.

mod changes;
mod harness;
mod links;
mod platform;
mod rights;
