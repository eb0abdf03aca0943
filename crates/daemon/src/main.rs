//! Starts the entry instance.

fn main() {}
