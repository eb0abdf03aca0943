//! The HTTP clients against the platform stand-in, with each fault.

mod common;
mod list;
mod objects;
mod table;
