//! The models over members, by their names on the command line.

use crate::cluster::{Faults, Request, Scenario, ScheduledRequest, LEASE};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn request_at(at_ms: u64, to: usize, request: Request) -> ScheduledRequest {
    ScheduledRequest {
        at: ms(at_ms),
        to,
        request,
    }
}

/// Names of the models over members.
pub const CLUSTER_MODELS: &[&str] = &[
    "takeover",
    "membership",
    "joiner",
    "orders",
    "guessed-bases",
    "reads",
    "age",
    "order-of-messages",
    "old-and-new",
    "five",
];

/// A model over members, by its name.
pub fn scenario(name: &str) -> Option<Scenario> {
    Some(match name {
        "takeover" => takeover(),
        "membership" => membership(),
        "joiner" => joiner(),
        "orders" => orders(),
        "guessed-bases" => guessed_bases(),
        "reads" => reads(),
        "age" => Scenario {
            ages: true,
            ..reads()
        },
        "age-slow-start" => Scenario {
            opening: ms(1500),
            ages: true,
            ..reads()
        },
        "order-of-messages" => order_of_messages(),
        "old-and-new" => old_and_new(),
        "removal" => removal(),
        "five" => five(),
        _ => return None,
    })
}

/// Three members, two changes and a drain, with faults of messages, processes and disks.
pub fn takeover() -> Scenario {
    let network = Faults::network();
    Scenario {
        requests: vec![
            request_at(100, 0, Request::Change),
            request_at(700, 1, Request::Change),
            request_at(1300, 2, Request::Drain),
        ],
        faults: Faults {
            lose: network.lose,
            reorder: network.reorder,
            duplicate: network.duplicate,
            delay: network.delay,
            timer_first: network.timer_first,
            ..Faults::machines()
        },
        ..Scenario::default()
    }
}

/// Three members. One may lose its disk, one may be replaced, any may crash.
pub fn membership() -> Scenario {
    Scenario {
        requests: vec![
            request_at(100, 0, Request::Change),
            request_at(900, 1, Request::Change),
            request_at(3600, 2, Request::Change),
        ],
        faults: Faults {
            lose: true,
            delay: vec![ms(1300)],
            ..Faults::losses()
        },
        faults_until: 4 * LEASE,
        length: 6 * LEASE,
        ..Scenario::default()
    }
}

/// Three members and a fourth that joins.
pub fn joiner() -> Scenario {
    Scenario {
        joiner: Some(ms(200)),
        ..membership()
    }
}

/// A voter that was cut off for long is about to be replaced and comes back just then, while the other one crashes: the
/// new voters alone would be a majority.
pub fn old_and_new() -> Scenario {
    Scenario {
        joiner: Some(ms(2100)),
        requests: vec![request_at(100, 0, Request::Change)],
        faults: Faults {
            cut: vec![ms(3100)],
            crash: vec![ms(1600)],
            ..Faults::default()
        },
        faults_until: 4 * LEASE,
        length: 5 * LEASE,
        ..Scenario::default()
    }
}

/// Four voters of which one loses its disk and comes back with a new id: old and new voters have to commit that.
pub fn removal() -> Scenario {
    Scenario {
        machines: 4,
        requests: vec![request_at(100, 0, Request::Change)],
        faults: Faults {
            lose: true,
            wipe: vec![ms(50)],
            max_wipes: 1,
            ..Faults::default()
        },
        faults_until: LEASE,
        length: 3 * LEASE,
        ..Scenario::default()
    }
}

/// Two clients: a request, a rival on the same version, the first once more, another after it.
pub fn orders() -> Scenario {
    Scenario {
        requests: vec![
            request_at(100, 0, Request::Change),
            request_at(100, 1, Request::Rival),
            request_at(150, 2, Request::Change),
            request_at(160, 1, Request::Repeat),
            request_at(1500, 0, Request::RepeatFirst),
        ],
        faults: Faults {
            lose: true,
            duplicate: vec![ms(300), ms(1300)],
            delay: vec![ms(300), ms(1300)],
            crash: vec![ms(50), ms(1600)],
            crash_sending: vec![ms(50)],
            ..Faults::default()
        },
        ..Scenario::default()
    }
}

/// A request whose base comes into force a second later, and a rival of that base.
pub fn guessed_bases() -> Scenario {
    Scenario {
        requests: vec![
            request_at(100, 0, Request::Change),
            request_at(150, 1, Request::OnNextVersion),
            request_at(1100, 0, Request::Change),
            request_at(1110, 2, Request::Rival),
        ],
        ..orders()
    }
}

/// A member that is cut off or frozen, reads at any member, a reader from the start and one that starts later.
pub fn reads() -> Scenario {
    Scenario {
        requests: vec![
            request_at(100, 0, Request::Change),
            request_at(400, 0, Request::Read),
            request_at(1500, 1, Request::Change),
            request_at(1700, 0, Request::Read),
            request_at(1700, 1, Request::Read),
            request_at(1700, 2, Request::Read),
        ],
        readers: vec![ms(0), ms(1500)],
        faults: Faults {
            delay: vec![ms(300), ms(1300)],
            crash: vec![ms(50), ms(1600)],
            freeze: vec![ms(1600), ms(2600)],
            cut: vec![ms(1600), ms(2600)],
            cut_one_way: vec![ms(1600)],
            late_updates: vec![ms(300), ms(1300)],
            ..Faults::default()
        },
        ..Scenario::default()
    }
}

/// A change whose messages arrive in any order, at no cost.
pub fn order_of_messages() -> Scenario {
    Scenario {
        requests: vec![
            request_at(10, 0, Request::Change),
            request_at(10, 1, Request::Rival),
        ],
        faults: Faults {
            reorder_window: 4,
            lose: true,
            crash: vec![ms(50)],
            ..Faults::default()
        },
        faults_until: ms(400),
        length: ms(400),
        ..Scenario::default()
    }
}

/// Five members of which two may be lost at once.
pub fn five() -> Scenario {
    let faults = Faults {
        max_wipes: 2,
        lose: false,
        delay: vec![],
        ..membership().faults
    };
    Scenario {
        machines: 5,
        losses: 2,
        faults,
        ..membership()
    }
}
