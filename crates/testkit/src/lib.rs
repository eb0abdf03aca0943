//! Stand-ins, fault proxy and launcher for tests and the demo.
