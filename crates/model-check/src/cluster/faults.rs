//! What may deviate from the default schedule, and for how long.

use std::time::Duration;

/// Which deviations a search tries. A list of times says how long each may last; an empty one leaves it out.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The oldest message is lost.
    pub lose: bool,
    /// The oldest message comes after all others that are on their way.
    pub overtake: bool,
    /// The oldest message comes now, and once more later.
    pub duplicate: Vec<Duration>,
    /// The oldest message comes later.
    pub delay: Vec<Duration>,
    /// Time passes although messages are on their way.
    pub timer_first: bool,
    /// A process dies, and is started again after a time.
    pub crash: Vec<Duration>,
    /// A process dies when what it takes next is on its disk, but before anything is sent.
    pub crash_sending: Vec<Duration>,
    /// A machine loses its disk, and is started again after a time.
    pub wipe: Vec<Duration>,
    /// Disks lost at most.
    pub most_wipes: u8,
    /// A process stands still.
    pub freeze: Vec<Duration>,
    /// A machine is cut off from the others.
    pub cut: Vec<Duration>,
    /// A machine's messages don't come through, or none come to it.
    pub cut_one_way: Vec<Duration>,
    /// A disk answers only when nothing else is left to do.
    pub slow_disk: Vec<Duration>,
    /// A process is asked to leave, and is started again after a time.
    pub leave: Vec<Duration>,
    /// A machine goes for good, and after a time a new one comes at another address.
    pub replace: Vec<Duration>,
    /// Machines replaced at most.
    pub most_replaced: u8,
    /// What a member answers to a reader's pull comes later.
    pub late_news: Vec<Duration>,
    /// So many of the oldest messages may come in any order, at no cost.
    pub any_order: usize,
}

impl Faults {
    /// What a network does.
    pub fn network() -> Self {
        Self {
            lose: true,
            overtake: true,
            duplicate: vec![ms(300)],
            delay: vec![ms(300), ms(1300)],
            timer_first: true,
            ..Self::default()
        }
    }

    /// What machines do, with their disks kept.
    pub fn machines() -> Self {
        Self {
            crash: vec![ms(50), ms(1600)],
            crash_sending: vec![ms(50)],
            freeze: vec![ms(1600)],
            cut: vec![ms(1600)],
            cut_one_way: vec![ms(1600)],
            slow_disk: vec![ms(400)],
            leave: vec![ms(600)],
            ..Self::default()
        }
    }

    /// Loss of one disk, and of one machine for good.
    pub fn losses() -> Self {
        Self {
            crash: vec![ms(50), ms(1600)],
            wipe: vec![ms(50), ms(1600)],
            most_wipes: 1,
            replace: vec![ms(300)],
            most_replaced: 1,
            ..Self::default()
        }
    }
}

pub(super) const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Which way a machine is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Way {
    /// Both.
    Both,
    /// Nothing of it gets out.
    Out,
    /// Nothing gets to it.
    In,
}

/// What happens next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The message at this place of the network comes.
    Deliver(usize),
    /// A slow disk ends its oldest write.
    EndWrite(usize),
    /// Time passes until somebody has something to do.
    Advance,
    /// The oldest message is lost.
    Lose,
    /// The oldest message comes after all others.
    Overtake,
    /// The oldest message comes now, and again after this time.
    Duplicate(Duration),
    /// The oldest message comes after this time.
    Delay(Duration),
    /// A process dies.
    Crash(usize, Duration),
    /// The oldest message comes; whoever takes it writes what follows and dies.
    CrashSending(Duration),
    /// A machine loses its disk.
    Wipe(usize, Duration),
    /// A process stands still.
    Freeze(usize, Duration),
    /// A machine is cut off.
    Cut(usize, Way, Duration),
    /// A disk is slow.
    Slow(usize, Duration),
    /// A process leaves.
    Leave(usize, Duration),
    /// A machine goes for good; a new one comes.
    Replace(usize, Duration),
    /// The next pull of a reader: what this member answers comes after this time.
    LateNews(usize, Duration),
}
