//! Tests of the state that instances replicate, over loopback and with a fake platform.

mod changes;
mod chaos;
mod harness;
mod links;
mod platform;
mod rights;
