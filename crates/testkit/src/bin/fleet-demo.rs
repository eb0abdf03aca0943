//! Shows a small fleet at work; being added.
fn main() {}
