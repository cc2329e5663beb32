//! Tenants' quotas: each request of a tenant with a limit needs a grant of the tenant's home, a member of the control
//! plane, which is requested by datagrams. The crate [`quota`] makes the decisions; this module has the socket, the
//! retransmissions and the timers.
//!
//! | module | purpose |
//! | --- | --- |
//! | `client` | requests decisions from a home, and from another one if the first doesn't reply |
//! | `charge` | the units granted to one request, refunded if it never ran |
//! | `presence` | announces this proxy to the members periodically, and receives their datagrams |

mod charge;
mod client;
mod presence;

pub(crate) use charge::{QuotaCharge, QuotaExceeded};
pub(crate) use client::QuotaClient;
pub(crate) use presence::start;
