//! Command-line tool of tarragonpulley.
fn main() {}
