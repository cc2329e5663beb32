//! The control plane: who acts ([`member`]), what lasts ([`ledger`]). State machines without I/O or clock; the
//! shell round them is thin. `docs/design/system.md` tells how they work together.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod ledger;
pub mod member;
