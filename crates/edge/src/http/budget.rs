//! Bounds the memory of messages that are being received or passed on.
//!
//! A sender may send without end, and many of them at once. Each message may hold
//! at most as much as is left free, so that a few large messages can use most of
//! the budget while a large number leaves room for the others.

use std::cell::Cell;
use std::rc::Rc;

/// Messages up to this size in bytes are always accepted. Their number is bounded
/// by the limits on connections and requests.
const MIN_SHARE_BYTES: usize = 32 * 1024;

/// The memory that all messages of one kind may hold together.
#[derive(Debug)]
pub(crate) struct BufferBudget {
    capacity: usize,
    used: Cell<usize>,
}

impl BufferBudget {
    /// A budget of `capacity` bytes.
    pub(crate) fn new(capacity: usize) -> Rc<Self> {
        Rc::new(Self {
            capacity,
            used: Cell::new(0),
        })
    }

    /// The bytes that are in use.
    pub(crate) fn used(&self) -> usize {
        self.used.get()
    }
}

/// The memory that one message holds; released when dropped.
#[derive(Debug)]
pub(crate) struct BufferShare {
    budget: Rc<BufferBudget>,
    held: usize,
}

impl BufferShare {
    /// A share that holds nothing yet.
    pub(crate) fn new(budget: &Rc<BufferBudget>) -> Self {
        Self {
            budget: Rc::clone(budget),
            held: 0,
        }
    }

    /// Changes the size of the message. Returns `false`, and changes nothing, if it
    /// would hold more than would be left free.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.get() - self.held + bytes;
        let free = self.budget.capacity.saturating_sub(used);
        if bytes > self.held && bytes > MIN_SHARE_BYTES && bytes > free {
            return false;
        }
        self.budget.used.set(used);
        self.held = bytes;
        true
    }
}

impl BufferShare {
    /// Changes the size of a message that is not received in parts of unknown number. It
    /// may take all that is free. Returns `false`, and changes nothing, if it does not fit.
    pub(crate) fn reserve(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.get() - self.held + bytes;
        if bytes > self.held && bytes > MIN_SHARE_BYTES && used > self.budget.capacity {
            return false;
        }
        self.budget.used.set(used);
        self.held = bytes;
        true
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.held);
    }
}
