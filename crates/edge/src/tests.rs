//! Property tests of the parts of an instance that read what others send, and tests
//! of its connections and of what keeps its tasks running.

mod account;
mod budget;
mod cold_answers;
mod connections;
mod exchanges;
mod framing;
mod mirror;
mod peers;
mod restore;
mod servers;
mod supervise;
