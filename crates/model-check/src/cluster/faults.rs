//! Deviations from the default schedule, and actions.

use std::time::Duration;

/// Deviations that a search tries. A list of times says how long each may last; an empty one leaves it out.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The oldest message is lost.
    pub lose: bool,
    /// The oldest message arrives after all others that are on their way.
    pub reorder: bool,
    /// The oldest message arrives now and once more later.
    pub duplicate: Vec<Duration>,
    /// The oldest message arrives later.
    pub delay: Vec<Duration>,
    /// Time passes although messages are on their way.
    pub timer_first: bool,
    /// A process crashes and restarts after a time.
    pub crash: Vec<Duration>,
    /// A process crashes when its next input is on its disk, but before it has sent anything.
    pub crash_sending: Vec<Duration>,
    /// A machine loses its disk and restarts after a time.
    pub wipe: Vec<Duration>,
    /// Number of disks lost at most.
    pub max_wipes: u8,
    /// A process is frozen.
    pub freeze: Vec<Duration>,
    /// A machine is cut off from the others.
    pub cut: Vec<Duration>,
    /// A machine is cut off in one direction.
    pub cut_one_way: Vec<Duration>,
    /// A disk completes writes only when nothing else is left to do.
    pub slow_disk: Vec<Duration>,
    /// A process is asked to leave and restarts after a time.
    pub leave: Vec<Duration>,
    /// A machine is gone for good, and after a time a new one joins at another address.
    pub replace: Vec<Duration>,
    /// Number of machines replaced at most.
    pub max_replaced: u8,
    /// A member's answer to a reader's pull arrives later.
    pub late_updates: Vec<Duration>,
    /// This many of the oldest messages may arrive in any order, at no cost.
    pub reorder_window: usize,
}

impl Faults {
    /// Deviations of the network.
    pub fn network() -> Self {
        Self {
            lose: true,
            reorder: true,
            duplicate: vec![ms(300)],
            delay: vec![ms(300), ms(1300)],
            timer_first: true,
            ..Self::default()
        }
    }

    /// Deviations of machines that keep their disks.
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
            max_wipes: 1,
            replace: vec![ms(300)],
            max_replaced: 1,
            ..Self::default()
        }
    }
}

pub(super) const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The direction in which a machine is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Way {
    /// Both.
    Both,
    /// What it sends is lost.
    Out,
    /// What is sent to it is lost.
    In,
}

impl Way {
    /// Whether a cut of machine `n` loses messages over a link.
    pub(super) fn cuts(self, n: usize, (from, to): (usize, usize)) -> bool {
        match self {
            Self::Both => from == n || to == n,
            Self::Out => from == n,
            Self::In => to == n,
        }
    }
}

/// An action of the scheduler, the network or a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The message at this place of the network arrives.
    Deliver(usize),
    /// A slow disk completes its oldest write.
    EndWrite(usize),
    /// Time advances to the next event or timer.
    Advance,
    /// The oldest message is lost.
    Lose,
    /// The oldest message arrives after all others.
    Reorder,
    /// The oldest message arrives now and again after this time.
    Duplicate(Duration),
    /// The oldest message arrives after this time.
    Delay(Duration),
    /// A process crashes.
    Crash(usize, Duration),
    /// The oldest message arrives; its receiver writes what follows and crashes.
    CrashSending(Duration),
    /// A machine loses its disk.
    Wipe(usize, Duration),
    /// A process is frozen.
    Freeze(usize, Duration),
    /// A machine is cut off.
    Cut(usize, Way, Duration),
    /// A disk is slow.
    Slow(usize, Duration),
    /// A process leaves.
    Leave(usize, Duration),
    /// A machine is gone for good; a new one joins.
    Replace(usize, Duration),
    /// This member's answers to the next pull of readers arrive after this time.
    DelayUpdates(usize, Duration),
}
