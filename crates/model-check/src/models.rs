//! The models by name.

use crate::cluster::{Faults, Request, Scenario, Step, LEASE};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn step(at: u64, to: usize, request: Request) -> Step {
    Step {
        at: ms(at),
        to,
        request,
    }
}

/// Names of the models over members, as the command takes them.
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

/// Three members, two changes and a drain, while messages, processes and disks misbehave.
pub fn takeover() -> Scenario {
    let network = Faults::network();
    Scenario {
        steps: vec![
            step(100, 0, Request::Change),
            step(700, 1, Request::Change),
            step(1300, 2, Request::Drain),
        ],
        faults: Faults {
            lose: network.lose,
            overtake: network.overtake,
            duplicate: network.duplicate,
            delay: network.delay,
            timer_first: network.timer_first,
            ..Faults::machines()
        },
        ..Scenario::default()
    }
}

/// Three members; one may lose its disk, one may be replaced, any may die.
pub fn membership() -> Scenario {
    Scenario {
        steps: vec![
            step(100, 0, Request::Change),
            step(900, 1, Request::Change),
            step(3600, 2, Request::Change),
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

/// Three members and a fourth that comes on its own.
pub fn joiner() -> Scenario {
    Scenario {
        joiner: Some(ms(200)),
        ..membership()
    }
}

/// A voter that has been silent for long is to be replaced and comes back just then, while the other one dies: the new
/// voters alone would be a majority.
pub fn old_and_new() -> Scenario {
    Scenario {
        joiner: Some(ms(2100)),
        steps: vec![step(100, 0, Request::Change)],
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

/// Four voters of which one loses its disk and comes back as another: old and new voters have to agree on it.
pub fn removal() -> Scenario {
    Scenario {
        machines: 4,
        steps: vec![step(100, 0, Request::Change)],
        faults: Faults {
            lose: true,
            wipe: vec![ms(50)],
            most_wipes: 1,
            ..Faults::default()
        },
        faults_until: LEASE,
        length: 3 * LEASE,
        ..Scenario::default()
    }
}

/// Two operators: an order, a rival one on the same version, the first once more, another after it.
pub fn orders() -> Scenario {
    Scenario {
        steps: vec![
            step(100, 0, Request::Change),
            step(100, 1, Request::Rival),
            step(150, 2, Request::Change),
            step(160, 1, Request::Repeat),
            step(1500, 0, Request::RepeatFirst),
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

/// An order whose base comes into force only a second later, a rival of that base.
pub fn guessed_bases() -> Scenario {
    Scenario {
        steps: vec![
            step(100, 0, Request::Change),
            step(150, 1, Request::Guess),
            step(1100, 0, Request::Change),
            step(1110, 2, Request::Rival),
        ],
        ..orders()
    }
}

/// A member that is cut off or stands still, reads at any member, a reader from the start and a fresh one.
pub fn reads() -> Scenario {
    Scenario {
        steps: vec![
            step(100, 0, Request::Change),
            step(400, 0, Request::Read),
            step(1500, 1, Request::Change),
            step(1700, 0, Request::Read),
            step(1700, 1, Request::Read),
            step(1700, 2, Request::Read),
        ],
        readers: vec![ms(0), ms(1500)],
        faults: Faults {
            delay: vec![ms(300), ms(1300)],
            crash: vec![ms(50), ms(1600)],
            freeze: vec![ms(1600), ms(2600)],
            cut: vec![ms(1600), ms(2600)],
            cut_one_way: vec![ms(1600)],
            late_news: vec![ms(300), ms(1300)],
            ..Faults::default()
        },
        ..Scenario::default()
    }
}

/// A change whose messages come in any order, at no cost.
pub fn order_of_messages() -> Scenario {
    Scenario {
        steps: vec![step(10, 0, Request::Change), step(10, 1, Request::Rival)],
        faults: Faults {
            any_order: 4,
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
        most_wipes: 2,
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
