//! Which core the present thread is.

use std::cell::Cell;

thread_local! {
    static CURRENT: Cell<Option<usize>> = const { Cell::new(None) };
}

/// The core whose thread this is; 0 if there is only one core.
pub fn current_core() -> usize {
    CURRENT.get().unwrap_or(0)
}

/// The core whose thread this is; `None` if there is only one core.
pub fn current_core_of_several() -> Option<usize> {
    CURRENT.get()
}

/// Makes this thread the one of a core.
pub(super) fn set_current_core(core: usize) {
    CURRENT.set(Some(core));
}
