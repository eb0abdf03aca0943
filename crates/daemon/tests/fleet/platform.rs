//! In-memory fakes of the platform's table and instance list.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, ready};
use tarragonpulley_backing::{
    CommitOutcome, InstanceList, ListedInstance, PlatformError, RowChange, RowCondition, RowKey,
    TableRow, TableService, TableSnapshot, TableTransaction,
};

/// The rows, shared by all views.
#[derive(Debug, Default)]
pub(crate) struct FakeTable {
    rows: RefCell<TableSnapshot>,
}

impl FakeTable {
    pub(crate) fn put(&self, key: &str, value: &[u8]) {
        let change = RowChange::Put(RowKey::new(key), value.to_vec());
        self.apply(&[change]);
    }

    pub(crate) fn row(&self, key: &str) -> Option<Vec<u8>> {
        let table = self.rows.borrow();
        table
            .rows
            .get(&RowKey::new(key))
            .map(|row| row.value.clone())
    }

    fn apply(&self, changes: &[RowChange]) -> u64 {
        let mut table = self.rows.borrow_mut();
        table.revision += 1;
        let modified = table.revision;
        for change in changes {
            match change {
                RowChange::Put(key, value) => {
                    let value = value.clone();
                    table.rows.insert(key.clone(), TableRow { value, modified });
                }
                RowChange::Delete(key) => {
                    table.rows.remove(key);
                }
            }
        }
        modified
    }

    fn condition_holds(&self, condition: &RowCondition) -> bool {
        let table = self.rows.borrow();
        match condition {
            RowCondition::Absent(key) => !table.rows.contains_key(key),
            RowCondition::Unchanged(key, modified) => table
                .rows
                .get(key)
                .is_some_and(|row| row.modified == *modified),
        }
    }
}

/// How a view of the table behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum TableMode {
    #[default]
    Up,
    /// Calls fail at once.
    Down,
    /// Calls get no response and have no effect.
    Unresponsive,
    /// Writes take effect, but the responses to this many of them are lost.
    LoseResponses(u32),
    /// This many writes are lost before they take effect.
    LoseWrites(u32),
}

/// The table as one instance sees it.
#[derive(Debug)]
pub(crate) struct TableView {
    table: Rc<FakeTable>,
    pub(crate) mode: Cell<TableMode>,
}

/// Timeout of calls, like that of the real client.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Latency of a call, so that concurrent calls interleave.
const CALL_LATENCY: Duration = Duration::from_millis(2);

impl TableView {
    pub(crate) fn new(table: &Rc<FakeTable>) -> Rc<Self> {
        Rc::new(Self {
            table: Rc::clone(table),
            mode: Cell::default(),
        })
    }

    async fn simulate_call(&self) -> Result<(), PlatformError> {
        tokio::time::sleep(CALL_LATENCY).await;
        match self.mode.get() {
            TableMode::Down => Err(PlatformError::NotExecuted("down".to_owned())),
            TableMode::Unresponsive => {
                tokio::time::sleep(CALL_TIMEOUT).await;
                Err(PlatformError::NoResponse("silent".to_owned()))
            }
            _ => Ok(()),
        }
    }

    fn write(&self, transaction: &TableTransaction) -> CommitOutcome {
        if !transaction
            .conditions
            .iter()
            .all(|c| self.table.condition_holds(c))
        {
            return CommitOutcome::Conflict;
        }
        CommitOutcome::Committed(self.table.apply(&transaction.changes))
    }
}

impl TableService for TableView {
    fn read(&self, prefix: RowKey) -> LocalBoxFuture<'_, Result<TableSnapshot, PlatformError>> {
        async move {
            self.simulate_call().await?;
            let mut read = self.table.rows.borrow().clone();
            read.rows
                .retain(|key, _| key.as_str().starts_with(prefix.as_str()));
            Ok(read)
        }
        .boxed_local()
    }

    fn commit(&self, transaction: TableTransaction) -> LocalBoxFuture<'_, CommitOutcome> {
        async move {
            let lost = || CommitOutcome::Unknown(PlatformError::NoResponse("lost".to_owned()));
            match self.simulate_call().await {
                Err(error @ PlatformError::NotExecuted(_)) => CommitOutcome::NotApplied(error),
                Err(error) => CommitOutcome::Unknown(error),
                Ok(()) => match self.mode.get() {
                    TableMode::LoseResponses(remaining) if remaining > 0 => {
                        self.mode.set(TableMode::LoseResponses(remaining - 1));
                        self.write(&transaction);
                        lost()
                    }
                    TableMode::LoseWrites(remaining) if remaining > 0 => {
                        self.mode.set(TableMode::LoseWrites(remaining - 1));
                        lost()
                    }
                    _ => self.write(&transaction),
                },
            }
        }
        .boxed_local()
    }
}

/// The list as one instance sees it.
#[derive(Debug, Default)]
pub(crate) struct ListView {
    pub(crate) listed: RefCell<Vec<ListedInstance>>,
    /// Names of instances that a read omits.
    pub(crate) hidden: RefCell<BTreeSet<String>>,
}

impl InstanceList for ListView {
    fn read(&self) -> LocalBoxFuture<'_, Result<Vec<ListedInstance>, PlatformError>> {
        let mut listed = self.listed.borrow().clone();
        let hidden = self.hidden.borrow();
        listed.retain(|entry| !hidden.contains(entry.instance.as_str()));
        ready(Ok(listed)).boxed_local()
    }
}
