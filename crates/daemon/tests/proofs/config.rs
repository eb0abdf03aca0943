//! Guarantee 11: configuration.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eyre::{Result, ensure, eyre};
use futures_util::future::{join, select};
use rand::RngExt;
use serde_json::json;
use tarragonpulley_testkit::{Fleet, LoseMode, ServiceFault, TestClient, wait_until};

use crate::common::{
    PATIENCE, TICK, apply_body, lunwan, newest_revision, operate, proved_revision, run_test,
    set_cut, set_table, start_fleet, wait_in_force,
};

/// The stated target for an accepted change.
const IN_FORCE_TARGET: Duration = Duration::from_secs(4);

/// Applies a contract that differs from the present one.
async fn apply_change(fleet: &mut Fleet, through: usize, rate: u32) -> Result<(u16, Option<u64>)> {
    fleet.deployments()[0].teams[7].rate = rate;
    let body = apply_body(fleet, None)?;
    let operator = fleet.instances[through].direct.operator;
    let answer = operate(&TestClient::new(), operator, "/v1/apply", &body).await?;
    let revision = answer.json::<serde_json::Value>()?["revision"].as_u64();
    Ok((answer.code(), revision))
}

/// Notes the revisions that instances prove and fails when one goes back.
#[derive(Default)]
struct RevisionWatch {
    seen: RefCell<BTreeMap<String, u64>>,
    failure: RefCell<Option<String>>,
}

impl RevisionWatch {
    async fn look(&self, fleet: &Fleet) {
        for (index, instance) in fleet.instances.iter().enumerate() {
            let Some(revision) = proved_revision(fleet, index).await else {
                continue;
            };
            let mut seen = self.seen.borrow_mut();
            let last = seen.entry(instance.name.clone()).or_default();
            if revision < *last {
                let name = &instance.name;
                let failure = format!("{name} went back from {last} to {revision}");
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

/// Guards against a revision that goes back, or is not in force everywhere in
/// time, when an instance is killed after it accepted, when the table's answer
/// is lost, and when one instance is cut off from the table.
#[test]
fn accepted_revision_is_in_force_in_time_and_never_goes_back() {
    run_test("accepted_revision", 11001, async |mut random| {
        let mut fleet = start_fleet([lunwan(&["fitdesk"])], 4).await?;
        let watch = RevisionWatch::default();
        for round in 0..12_u32 {
            watch.look(&fleet).await;
            let through = random.random_range(0..4);
            let other = (through + 1) % 4;
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
                    set_table(&fleet, fault).await?;
                }
                1 => set_cut(&fleet, &cut, true).await?,
                _ => {}
            }
            let (code, revision) = apply_change(&mut fleet, through, 60 + round).await?;
            let accepted = Instant::now();
            ensure!(code == 200, "round {round}: status {code}");
            let revision = revision.ok_or_else(|| eyre!("no revision"))?;
            // The accepting instance ends right after telling the operator.
            let killed = round % 3 == 2;
            if killed {
                fleet.instances[through].process.kill()?;
            }
            for index in (0..4).filter(|index| !killed || *index != through) {
                let name = fleet.instances[index].name.clone();
                let left = IN_FORCE_TARGET.saturating_sub(accepted.elapsed());
                let what = format!("round {round}: revision {revision} on {name}");
                wait_until(&what, left, async || {
                    watch.look(&fleet).await;
                    proved_revision(&fleet, index).await >= Some(revision)
                })
                .await?;
            }
            println!("round {round}: everywhere {:?} after", accepted.elapsed());
            if killed {
                let name = fleet.instances[through].name.clone();
                fleet.restart_instance(&name).await?;
            }
            set_cut(&fleet, &cut, false).await?;
            wait_in_force(&fleet, revision, PATIENCE).await?;
            watch.look(&fleet).await;
            watch.check()?;
        }
        Ok(())
    });
}

/// Guards against a change that overwrites another operator's change which it
/// was not based on.
#[test]
fn one_of_two_operators_with_the_same_base_is_told_of_a_conflict() {
    run_test("same_base", 11002, async |_random| {
        let mut fleet = start_fleet([lunwan(&["fitdesk"])], 2).await?;
        for round in 0..10_u32 {
            let base = newest_revision(&fleet).await;
            wait_in_force(&fleet, base, PATIENCE).await?;
            fleet.deployments()[0].teams[7].rate = 100 + 2 * round;
            let first = apply_body(&fleet, Some(base))?;
            fleet.deployments()[0].teams[7].rate = 101 + 2 * round;
            let second = apply_body(&fleet, Some(base))?;
            let clients = [TestClient::new(), TestClient::new()];
            let operators = [0, 1].map(|i: usize| fleet.instances[i].direct.operator);
            let (first, second) = join(
                operate(&clients[0], operators[0], "/v1/apply", &first),
                operate(&clients[1], operators[1], "/v1/apply", &second),
            )
            .await;
            let mut codes = [first?.code(), second?.code()];
            codes.sort_unstable();
            ensure!(codes == [200, 409], "round {round}: {codes:?}");
            let now = newest_revision(&fleet).await;
            ensure!(now == base + 1, "round {round}: {base} became {now}");
        }
        Ok(())
    });
}

/// Guards against a change that is told to be accepted although the table is
/// down, or that is lost after it was told to be accepted.
#[test]
fn change_during_a_table_outage_is_not_told_to_be_accepted() {
    run_test("change_during_outage", 11003, async |_random| {
        let mut fleet = start_fleet([lunwan(&["fitdesk"])], 2).await?;
        let base = newest_revision(&fleet).await;
        let down = ServiceFault {
            mode: tarragonpulley_testkit::ServiceMode::Refuse,
            ..ServiceFault::default()
        };
        set_table(&fleet, down).await?;
        let (code, _revision) = apply_change(&mut fleet, 0, 90).await?;
        ensure!(code == 503, "status {code}");
        set_table(&fleet, ServiceFault::default()).await?;
        // Long enough for a change that is still on its way to show.
        let looking = async {
            loop {
                if newest_revision(&fleet).await != base {
                    return;
                }
                actix_rt::time::sleep(TICK).await;
            }
        };
        let pause = actix_rt::time::sleep(Duration::from_secs(1));
        select(Box::pin(looking), Box::pin(pause)).await;
        let now = newest_revision(&fleet).await;
        ensure!(
            now == base,
            "{base} became {now} although nothing was accepted"
        );
        let body = json!({"team": "lunwan/team-a", "key": "key-after-the-outage"});
        let operator = fleet.instances[1].direct.operator;
        let answer = operate(&fleet.client, operator, "/v1/keys/grant", &body).await?;
        ensure!(answer.code() == 200, "after the outage: {}", answer.text());
        Ok(())
    });
}
