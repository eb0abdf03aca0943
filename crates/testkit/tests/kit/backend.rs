//! Tests of the backend stand-in.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::Value;
use tarragonpulley_testkit::{
    BackendControl, BackendCounts, BackendFault, HealthFault, Process, ProcessCommand, ServiceMode,
    TestClient, TestRequest, TestResponse, wait_until,
};
use yare::parameterized;

use crate::{QUIET_PERIOD, WAIT_TIMEOUT, block_on};

struct TestBackend {
    process: Process,
    address: SocketAddr,
    client: TestClient,
}

impl TestBackend {
    async fn start(flags: &[(&str, &str)]) -> Self {
        let command = ProcessCommand::new("standin-backend").arg("--until-stdin-closes");
        let command = flags
            .iter()
            .fold(command, |c, (name, value)| c.flag(name, value));
        let mut process = command.start().unwrap();
        Self {
            address: process.wait_for_address("listening").await.unwrap(),
            process,
            client: TestClient::new(),
        }
    }

    async fn control(&self, message: BackendControl) {
        self.client.control(self.address, &message).await.unwrap();
    }

    async fn fault(&self, fault: BackendFault) {
        self.control(BackendControl {
            fault: Some(fault),
            ..BackendControl::default()
        })
        .await;
    }

    async fn send(&self, request: TestRequest) -> eyre::Result<TestResponse> {
        self.client.send(self.address, &request).await
    }

    async fn counts(&self) -> BackendCounts {
        self.client.counts(self.address).await.unwrap()
    }

    async fn health(&self) -> Value {
        let response = self.send(TestRequest::get("/health")).await.unwrap();
        response.json().unwrap()
    }
}

/// Guards against uncounted runs, which would hide a request that is executed
/// twice, and against leaked credentials that go undetected.
#[test]
fn counts_runs_and_echoes_the_request() {
    block_on(async {
        let backend = TestBackend::start(&[("--name", "s1"), ("--work-ms", "50")]).await;
        let request = TestRequest::post("/swaps/7")
            .idempotency_key("k1")
            .header("x-request-id", "r-9")
            .body("abc");
        let responses = join_all([backend.send(request.clone()), backend.send(request)]).await;
        for response in responses {
            let response = response.unwrap();
            assert_eq!(response.code(), 200);
            assert_eq!(response.header("x-request-id"), Some("r-9"));
            let body: Value = response.json().unwrap();
            assert_eq!(body["server"], "s1");
            let digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
            assert_eq!(body["body_sha256"], digest);
        }
        let counts = backend.counts().await;
        let run = counts.by_key["k1"];
        assert_eq!((run.started, run.finished, run.most_running), (2, 2, 2));
        assert_eq!(counts.by_path["/swaps/7"], run);
        assert!(!counts.authorization_seen);
        backend
            .send(TestRequest::get("/").api_key("secret"))
            .await
            .unwrap();
        assert!(backend.counts().await.authorization_seen);
    });
}

/// Guards against running more requests than there are slots, and against
/// counting shed requests as runs.
#[test]
fn sheds_what_exceeds_its_slots() {
    block_on(async {
        let backend = TestBackend::start(&[("--slots", "2"), ("--work-ms", "1000")]).await;
        let requests = (0..5).map(|_| backend.send(TestRequest::get("/fit")));
        let responses = join_all(requests).await;
        let responses: Vec<_> = responses.into_iter().map(Result::unwrap).collect();
        let shed: Vec<_> = responses.iter().filter(|a| a.code() == 503).collect();
        assert_eq!(shed.len(), 3);
        assert!(shed.iter().all(|a| a.outcome() == Some("not-run")));
        let counts = backend.counts().await;
        assert_eq!((counts.all.started, counts.all.most_running), (2, 2));
        assert_eq!(counts.shed, 3);
    });
}

/// Guards against faults that affect other paths, or have no effect.
#[parameterized(
    fails = { BackendFault { fail_share: 1.0, ..only_fit() }, "status 500" },
    wrong_id = { BackendFault { wrong_id_share: 1.0, ..only_fit() }, "id other-r" },
    cut = { BackendFault { cut_share: 1.0, ..only_fit() }, "no response" },
    slow = { BackendFault { slow_ms: 10_000, ..only_fit() }, "no response" },
)]
fn a_fault_affects_only_its_path(fault: BackendFault, expected: &str) {
    block_on(async {
        let backend = TestBackend::start(&[]).await;
        backend.fault(fault).await;
        for (path, expected) in [("/fit/1", expected), ("/open", "sound")] {
            let request = TestRequest::get(path)
                .header("x-request-id", "r")
                .timeout(Duration::from_secs(1));
            let seen = match backend.send(request).await {
                Err(_) => "no response".to_owned(),
                Ok(response) if response.code() != 200 => format!("status {}", response.code()),
                Ok(response) => match response.header("x-request-id") {
                    Some("r") => "sound".to_owned(),
                    id => format!("id {}", id.unwrap_or_default()),
                },
            };
            assert_eq!(seen, expected, "{path}");
        }
    });
}

fn only_fit() -> BackendFault {
    BackendFault {
        only_path: Some("/fit".to_owned()),
        ..BackendFault::default()
    }
}

/// Guards against random failures that aren't determined by the seed.
#[test]
fn the_same_seed_fails_the_same_requests() {
    block_on(async {
        let mut runs = Vec::new();
        for _ in 0..2 {
            let backend = TestBackend::start(&[("--seed", "42"), ("--work-ms", "0")]).await;
            let fail_share = 0.3;
            backend
                .fault(BackendFault {
                    fail_share,
                    ..BackendFault::default()
                })
                .await;
            let mut codes = Vec::new();
            for _ in 0..40 {
                codes.push(backend.send(TestRequest::get("/")).await.unwrap().code());
            }
            runs.push(codes);
        }
        assert_eq!(runs[0], runs[1]);
        assert!(runs[0].contains(&500) && runs[0].contains(&200), "{runs:?}");
    });
}

/// Guards against a crash marker that leaves the process running, and against
/// crashes on requests without the marker.
#[test]
fn crashes_on_the_marker_only() {
    block_on(async {
        let mut backend = TestBackend::start(&[]).await;
        let crash_marker = Some("poison".to_owned());
        backend
            .fault(BackendFault {
                crash_marker,
                ..BackendFault::default()
            })
            .await;
        let unaffected = backend.send(TestRequest::post("/fit").body("plain")).await;
        assert_eq!(unaffected.unwrap().code(), 200);
        let crashed = backend
            .send(TestRequest::post("/fit").body("a poison b"))
            .await;
        assert!(crashed.is_err(), "{crashed:?}");
        backend.process.wait_for_exit(WAIT_TIMEOUT).await.unwrap();
    });
}

/// Guards against cancelled requests that keep their slot.
#[test]
fn closing_the_connection_cancels_the_request() {
    block_on(async {
        let backend = TestBackend::start(&[("--work-ms", "60000")]).await;
        let request = TestRequest::get("/fit").timeout(QUIET_PERIOD);
        assert!(backend.send(request).await.is_err());
        wait_until("the run is cancelled", WAIT_TIMEOUT, async || {
            let all = backend.counts().await.all;
            (all.started, all.running, all.finished) == (1, 0, 0)
        })
        .await
        .unwrap();
    });
}

/// Guards against health faults without effect: overridden values, lag and
/// missing responses.
#[test]
fn health_responses_can_be_overridden_and_delayed() {
    block_on(async {
        let backend = TestBackend::start(&[]).await;
        let health = backend.health().await;
        assert_eq!(health["healthy"], true);
        assert_eq!(health["leaving"], false);
        assert!(health["uptime_ms"].is_u64());
        let set = |health, leaving| BackendControl {
            health: Some(health),
            leaving,
            ..BackendControl::default()
        };
        let overrides = HealthFault {
            healthy: Some(false),
            load: Some(99),
            ..HealthFault::default()
        };
        backend.control(set(overrides, None)).await;
        let reported = backend.health().await;
        assert_eq!(
            (&reported["healthy"], &reported["load"]),
            (&false.into(), &99.into())
        );

        let lag = HealthFault {
            lag_ms: 1000,
            ..HealthFault::default()
        };
        backend.control(set(lag, Some(true))).await;
        let start = Instant::now();
        assert_eq!(backend.health().await["leaving"], false);
        wait_until(
            "/health reports the leaving state",
            WAIT_TIMEOUT,
            async || backend.health().await["leaving"] == true,
        )
        .await
        .unwrap();
        assert!(
            start.elapsed() >= Duration::from_millis(900),
            "{:?}",
            start.elapsed()
        );

        let hang = HealthFault {
            mode: ServiceMode::Hang,
            ..HealthFault::default()
        };
        backend.control(set(hang, None)).await;
        let request = TestRequest::get("/health").timeout(QUIET_PERIOD);
        assert!(backend.send(request).await.is_err());
    });
}

/// Guards against requests to a leaving server that aren't counted.
#[test]
fn counts_requests_after_leaving() {
    block_on(async {
        let backend = TestBackend::start(&[]).await;
        backend.send(TestRequest::get("/fit")).await.unwrap();
        let leaving = Some(true);
        backend
            .control(BackendControl {
                leaving,
                ..BackendControl::default()
            })
            .await;
        assert_eq!(backend.counts().await.after_leaving, 0);
        backend.send(TestRequest::get("/fit")).await.unwrap();
        assert_eq!(backend.counts().await.after_leaving, 1);
    });
}

/// Guards against a cold start that doesn't slow down requests.
#[test]
fn work_takes_longer_while_cold() {
    block_on(async {
        let cold = [
            ("--work-ms", "100"),
            ("--cold-ms", "3600000"),
            ("--cold-factor", "5"),
        ];
        let backend = TestBackend::start(&cold).await;
        let start = Instant::now();
        backend.send(TestRequest::get("/fit")).await.unwrap();
        // The factor has decreased slightly when the request arrives.
        assert!(
            start.elapsed() >= Duration::from_millis(450),
            "{:?}",
            start.elapsed()
        );
    });
}
