//! The control plane: who acts ([`member`]), what lasts ([`ledger`]): state machines without I/O or clock. The
//! shell round them ([`shell`]) is thin. `docs/design/system.md` tells how they work together.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod feed;
pub mod history;
pub mod ledger;
pub mod member;
pub mod roster;
pub mod shell;
