//! Locks, numbers and cells: the requests of applications, the changes that they lead to, and the state as a whole.

use crate::codec::{
    read_bool, read_list, read_option, read_string, write_bool, write_list, write_option,
    write_string,
};
use binrw::binrw;

/// A request of an application, forwarded to the primary.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinationRequest {
    /// Takes a lock.
    #[brw(magic(1u8))]
    AcquireLock {
        /// The lock's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// Who takes it.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        holder: String,
        /// How long it is held unless it is renewed, in ms.
        hold_ms: u32,
        /// Number of the call. A copy of the call has the same one, and gets the same fence.
        attempt: u64,
    },
    /// Extends the time for which a lock is held.
    #[brw(magic(2u8))]
    RenewLock {
        /// The lock's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// Who holds it.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        holder: String,
        /// The fencing token that the holder got.
        fence: u64,
        /// How long it is held from now on, in ms.
        hold_ms: u32,
    },
    /// Gives a lock back.
    #[brw(magic(3u8))]
    ReleaseLock {
        /// The lock's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// Who holds it.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        holder: String,
        /// The fencing token that the holder got.
        fence: u64,
    },
    /// Takes the next number of a counter.
    #[brw(magic(4u8))]
    NextNumber {
        /// The counter's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
    },
    /// Puts a value into a cell.
    #[brw(magic(5u8))]
    PutCell {
        /// The cell's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// The value.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        value: String,
        /// The revision that the cell must have, 0 if it must not exist; none if it may have any.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        expected_revision: Option<u64>,
    },
    /// Reads a cell.
    #[brw(magic(6u8))]
    ReadCell {
        /// The cell's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
    },
    /// Waits for puts into the cells of a group.
    #[brw(magic(7u8))]
    Watch {
        /// The group's name, with the dot at its end.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        group: String,
        /// Puts above this revision are asked for; 0 asks for the group's present revision only.
        after: u64,
        /// How long to wait for a put, in ms.
        wait_ms: u32,
    },
    /// An operator asks for all locks.
    #[brw(magic(8u8))]
    ListLocks {
        /// Always 0; keeps the variant's form in bytes.
        reserved: u8,
    },
    /// An operator asks for the cells of a group.
    #[brw(magic(9u8))]
    ListCells {
        /// The group's name, with the dot at its end; empty for the groups themselves.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        group: String,
    },
    /// An operator takes a lock away from its holder.
    #[brw(magic(10u8))]
    FreeLock {
        /// The lock's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
    },
}

/// One step of the locks, numbers and cells.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinationChange {
    /// A lock has a holder, with the next fencing token.
    #[brw(magic(1u8))]
    LockAcquired {
        /// The lock's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// Who holds it.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        holder: String,
        /// How long it is held unless it is renewed, in ms.
        hold_ms: u32,
        /// Number of the call that took it.
        attempt: u64,
    },
    /// A lock's holder asked for a longer time than before.
    #[brw(magic(2u8))]
    LockExtended {
        /// The lock's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// How long it is held unless it is renewed, in ms.
        hold_ms: u32,
    },
    /// A lock has no holder any more.
    #[brw(magic(3u8))]
    LockReleased {
        /// The lock's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
    },
    /// A counter gave its next number.
    #[brw(magic(4u8))]
    NumberTaken {
        /// The counter's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
    },
    /// A cell has another value, with the next revision of its group.
    #[brw(magic(5u8))]
    CellPut {
        /// The cell's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// The value.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        value: String,
        /// The revision that the cell has to have, 0 if it must not exist; none if it may have any.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        expected_revision: Option<u64>,
    },
    /// The oldest puts of a group aren't kept any more.
    #[brw(magic(6u8))]
    HistoryTrimmed {
        /// The group's name.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        group: String,
        /// Revision of the last put that isn't kept.
        floor: u64,
    },
}

/// A lock that has a holder.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct LockRecord {
    /// The lock's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// Who holds it.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub holder: String,
    /// The holder's fencing token.
    pub fence: u64,
    /// The longest time that the holder may count on since its last call, in ms.
    pub hold_ms: u32,
    /// Number of the call that took it.
    pub attempt: u64,
}

/// A counter.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct NumberRecord {
    /// The counter's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// The number that it gave last.
    pub value: u64,
}

/// A put into a cell.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct CellRecord {
    /// The cell's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// The value.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub value: String,
    /// The put's revision.
    pub revision: u64,
    /// The revision that the cell had before; 0 if it didn't exist.
    pub replaced_revision: u64,
    /// Whether the put asked for that revision.
    #[br(parse_with = read_bool)]
    #[bw(write_with = write_bool)]
    pub is_conditional: bool,
}

/// The cells of a group, and the puts that led to them.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct CellGroupRecord {
    /// The group's name, with the dot at its end.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// Revision of the last put that isn't kept in the history.
    pub floor: u64,
    /// The latest put into each cell, by name.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub cells: Vec<CellRecord>,
    /// All puts above the floor, oldest first.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub history: Vec<CellRecord>,
}

/// All locks, numbers and cells.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct CoordinationSnapshot {
    /// Index of the last change of the configuration or of the drains.
    pub fleet_index: u64,
    /// The fencing token that was given last.
    pub last_fence: u64,
    /// The locks that have a holder, by name.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub locks: Vec<LockRecord>,
    /// The counters, by name.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub numbers: Vec<NumberRecord>,
    /// The groups of cells, by name.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub groups: Vec<CellGroupRecord>,
}
