//! The cases of the review that cannot be put as a day. Each starts real instances as
//! processes between stand-ins for the store, the upstreams and the clients.
//!
//! Ends with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

mod bodies;
mod closing;
mod crash;
mod fleet;
mod http;
mod pipeline;
mod server;
mod store;
mod text;

use std::fmt::Write;
use std::path::Path;

/// What was sent, answered and run, for `record.txt`.
#[derive(Default)]
pub struct Record(String);

impl Record {
    pub fn line(&mut self, line: &str) {
        println!("{line}");
        self.detail(line);
    }

    /// A line that is not printed.
    pub fn detail(&mut self, line: &str) {
        writeln!(self.0, "{line}").expect("a string");
    }
}

/// Ends the program before any instance was started, or when the case is not possible.
pub fn cannot_run(reason: &str) -> ! {
    println!("cannot run: {reason}");
    std::process::exit(2)
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        cannot_run("needs the name of a case and a folder for record.txt");
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = Record::default();
    let is_broken = match case.as_str() {
        "pipeline" => pipeline::run(has_trouble, &mut record),
        "bodies" => bodies::run(has_trouble, &mut record),
        "closing" => closing::run(has_trouble, &mut record),
        "crash" => crash::run(has_trouble, &mut record),
        _ => cannot_run("unknown case"),
    };
    record.line(if is_broken { "the rule was broken" } else { "the rule held" });
    if std::fs::write(Path::new(&folder).join("record.txt"), record.0).is_err() {
        cannot_run("record.txt cannot be written");
    }
    std::process::exit(i32::from(is_broken));
}
