//! Guarantee 11: configuration changes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eyre::{Result, ensure, eyre};
use futures_util::future::{join, select};
use rand::RngExt;
use serde_json::json;
use tarragonpulley_testkit::{Fleet, LoseMode, ServiceFault, TestClient, wait_until};

use crate::common::{
    POLL_INTERVAL, WAIT_TIMEOUT, apply_body, lunwan, newest_revision, proved_revision, run_test,
    send_operator_request, set_links_cut, set_table_fault, start_fleet, wait_for_revision,
};

/// The guaranteed time until an accepted change is in force on all instances.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);

/// Applies a contract that differs from the current one in the rate of a team.
/// Returns the status and the new revision.
async fn apply_change(
    fleet: &mut Fleet,
    operator_index: usize,
    rate: u32,
) -> Result<(u16, Option<u64>)> {
    fleet.deployments()[0].teams[7].rate = rate;
    let body = apply_body(fleet, None)?;
    let operator = fleet.instances[operator_index].direct.operator;
    let response = send_operator_request(&TestClient::new(), operator, "/v1/apply", &body).await?;
    let revision = response.json::<serde_json::Value>()?["revision"].as_u64();
    Ok((response.code(), revision))
}

/// Records the revisions that instances prove, and a failure when one regresses.
#[derive(Default)]
struct RevisionMonitor {
    newest: RefCell<BTreeMap<String, u64>>,
    failure: RefCell<Option<String>>,
}

impl RevisionMonitor {
    async fn record_revisions(&self, fleet: &Fleet) {
        for (index, instance) in fleet.instances.iter().enumerate() {
            let Some(revision) = proved_revision(fleet, index).await else {
                continue;
            };
            let mut newest = self.newest.borrow_mut();
            let last = newest.entry(instance.name.clone()).or_default();
            if revision < *last {
                let name = &instance.name;
                let failure = format!("{name} regressed from revision {last} to {revision}");
                *self.failure.borrow_mut() = Some(failure);
            }
            *last = revision.max(*last);
        }
    }

    fn check(&self) -> Result<()> {
        match self.failure.borrow().as_ref() {
            Some(failure) => Err(eyre!("{failure}")),
            None => Ok(()),
        }
    }
}

/// Guards against a revision that regresses, or isn't in force on all instances
/// in time, when an instance is killed after it accepted the change, when the
/// table's response is lost, and when one instance is cut off from the table.
#[test]
fn accepted_revision_is_in_force_in_time_and_never_regresses() {
    run_test("accepted_revision", 11001, async |mut random| {
        let mut fleet = start_fleet([lunwan(&["fitdesk"])], 4).await?;
        let monitor = RevisionMonitor::default();
        for round in 0..12_u32 {
            monitor.record_revisions(&fleet).await;
            let operator_index = random.random_range(0..4);
            let other = (operator_index + 1) % 4;
            let cut = vec![format!("platform/{}", fleet.instances[other].name)];
            match round % 3 {
                0 => {
                    let lose_mode = if round % 2 == 0 {
                        LoseMode::Close
                    } else {
                        LoseMode::Hang
                    };
                    let fault = ServiceFault {
                        lose_writes: 1,
                        lose_mode,
                        ..ServiceFault::default()
                    };
                    set_table_fault(&fleet, fault).await?;
                }
                1 => set_links_cut(&fleet, &cut, true).await?,
                _ => {}
            }
            let (code, revision) = apply_change(&mut fleet, operator_index, 60 + round).await?;
            let accepted = Instant::now();
            ensure!(code == 200, "round {round}: status {code}");
            let revision = revision.ok_or_else(|| eyre!("no revision"))?;
            // The accepting instance is killed right after it responded to the operator.
            let killed = round % 3 == 2;
            if killed {
                fleet.instances[operator_index].process.kill()?;
            }
            for index in (0..4).filter(|index| !killed || *index != operator_index) {
                let name = fleet.instances[index].name.clone();
                let left = PROPAGATION_TIMEOUT.saturating_sub(accepted.elapsed());
                let what = format!("round {round}: revision {revision} on {name}");
                wait_until(&what, left, async || {
                    monitor.record_revisions(&fleet).await;
                    proved_revision(&fleet, index).await >= Some(revision)
                })
                .await?;
            }
            println!(
                "round {round}: on all instances after {:?}",
                accepted.elapsed()
            );
            if killed {
                let name = fleet.instances[operator_index].name.clone();
                fleet.restart_instance(&name).await?;
            }
            set_links_cut(&fleet, &cut, false).await?;
            wait_for_revision(&fleet, revision, WAIT_TIMEOUT).await?;
            monitor.record_revisions(&fleet).await;
            monitor.check()?;
        }
        Ok(())
    });
}

/// Guards against a change that overwrites another operator's change on which it
/// isn't based.
#[test]
fn one_of_two_changes_with_the_same_base_gets_a_conflict() {
    run_test("same_base", 11002, async |_random| {
        let mut fleet = start_fleet([lunwan(&["fitdesk"])], 2).await?;
        for round in 0..10_u32 {
            let base = newest_revision(&fleet).await;
            wait_for_revision(&fleet, base, WAIT_TIMEOUT).await?;
            fleet.deployments()[0].teams[7].rate = 100 + 2 * round;
            let first = apply_body(&fleet, Some(base))?;
            fleet.deployments()[0].teams[7].rate = 101 + 2 * round;
            let second = apply_body(&fleet, Some(base))?;
            let clients = [TestClient::new(), TestClient::new()];
            let operators = [0, 1].map(|i: usize| fleet.instances[i].direct.operator);
            let (first, second) = join(
                send_operator_request(&clients[0], operators[0], "/v1/apply", &first),
                send_operator_request(&clients[1], operators[1], "/v1/apply", &second),
            )
            .await;
            let mut codes = [first?.code(), second?.code()];
            codes.sort_unstable();
            ensure!(codes == [200, 409], "round {round}: {codes:?}");
            let now = newest_revision(&fleet).await;
            ensure!(
                now == base + 1,
                "round {round}: revision {base} became {now}"
            );
        }
        Ok(())
    });
}

/// Guards against a change that is reported as accepted although the table is
/// down, and against a rejected change that still takes effect.
#[test]
fn change_during_a_table_outage_is_not_reported_as_accepted() {
    run_test("change_during_outage", 11003, async |_random| {
        let mut fleet = start_fleet([lunwan(&["fitdesk"])], 2).await?;
        let base = newest_revision(&fleet).await;
        let down = ServiceFault {
            mode: tarragonpulley_testkit::ServiceMode::Refuse,
            ..ServiceFault::default()
        };
        set_table_fault(&fleet, down).await?;
        let (code, _revision) = apply_change(&mut fleet, 0, 90).await?;
        ensure!(code == 503, "status {code}");
        set_table_fault(&fleet, ServiceFault::default()).await?;
        // Long enough for a change that is still in progress to take effect.
        let polling = async {
            loop {
                if newest_revision(&fleet).await != base {
                    return;
                }
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        };
        let timeout = actix_rt::time::sleep(Duration::from_secs(1));
        select(Box::pin(polling), Box::pin(timeout)).await;
        let now = newest_revision(&fleet).await;
        ensure!(
            now == base,
            "revision {base} became {now} although no change was accepted"
        );
        let body = json!({"team": "lunwan/team-a", "key": "key-after-the-outage"});
        let operator = fleet.instances[1].direct.operator;
        let response =
            send_operator_request(&fleet.client, operator, "/v1/keys/grant", &body).await?;
        ensure!(
            response.code() == 200,
            "after the outage: {}",
            response.text()
        );
        Ok(())
    });
}
