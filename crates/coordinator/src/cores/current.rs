//! The core that the current thread belongs to.

use std::cell::Cell;

thread_local! {
    static CURRENT_CORE: Cell<Option<usize>> = const { Cell::new(None) };
}

/// The number of the current thread's core; 0 on a thread of no core or if there is only one core.
pub fn current_core() -> usize {
    CURRENT_CORE.get().unwrap_or(0)
}

/// The number of the current thread's core; `None` on a thread of no core or if there is only one core.
pub fn current_core_of_several() -> Option<usize> {
    CURRENT_CORE.get()
}

/// Records that the current thread belongs to `core`.
pub(super) fn set_current_core(core: usize) {
    CURRENT_CORE.set(Some(core));
}
