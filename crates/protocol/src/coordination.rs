//! Locks, counters and cells: the requests of applications, the resulting changes, and the complete state.

use crate::codec::{
    read_bool, read_list, read_option, read_string, write_bool, write_list, write_option,
    write_string,
};
use binrw::binrw;

/// Request of an application, forwarded to the primary.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinationRequest {
    /// Acquires a lock.
    #[brw(magic(1u8))]
    AcquireLock {
        /// Name of the lock.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// Name of the holder.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        holder: String,
        /// Time for which the lock is held unless it is renewed, in ms.
        hold_ms: u32,
        /// Number of the call. A repeated call has the same number and receives the same fencing token.
        attempt: u64,
    },
    /// Extends the time for which a lock is held.
    #[brw(magic(2u8))]
    RenewLock {
        /// Name of the lock.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// Name of the holder.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        holder: String,
        /// Fencing token that the holder received.
        fence: u64,
        /// Time for which the lock is held from now on, in ms.
        hold_ms: u32,
    },
    /// Releases a lock.
    #[brw(magic(3u8))]
    ReleaseLock {
        /// Name of the lock.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// Name of the holder.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        holder: String,
        /// Fencing token that the holder received.
        fence: u64,
    },
    /// Takes the next number of a counter.
    #[brw(magic(4u8))]
    NextNumber {
        /// Name of the counter.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
    },
    /// Puts a value into a cell.
    #[brw(magic(5u8))]
    PutCell {
        /// Name of the cell.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// Value of the cell.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        value: String,
        /// Revision that the cell must have, 0 if it must not exist; `None` to put the value unconditionally.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        expected_revision: Option<u64>,
    },
    /// Reads a cell.
    #[brw(magic(6u8))]
    ReadCell {
        /// Name of the cell.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
    },
    /// Waits for puts into the cells of a group.
    #[brw(magic(7u8))]
    Watch {
        /// Name of the group, including its final dot.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        group: String,
        /// Revision after which puts are requested; 0 asks only for the group's current revision.
        after: u64,
        /// Longest time to wait for a put, in ms.
        wait_ms: u32,
    },
    /// Lists all locks, for an operator.
    #[brw(magic(8u8))]
    ListLocks {
        /// Always 0. Kept so that the variant's encoding doesn't change.
        reserved: u8,
    },
    /// Lists the cells of a group, for an operator.
    #[brw(magic(9u8))]
    ListCells {
        /// Name of the group, including its final dot; empty to list the groups themselves.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        group: String,
    },
    /// Takes a lock away from its holder, for an operator.
    #[brw(magic(10u8))]
    FreeLock {
        /// Name of the lock.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
    },
}

/// Change of the locks, counters and cells.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinationChange {
    /// A lock was acquired. The holder gets the next fencing token.
    #[brw(magic(1u8))]
    LockAcquired {
        /// Name of the lock.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// Name of the holder.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        holder: String,
        /// Time for which the lock is held unless it is renewed, in ms.
        hold_ms: u32,
        /// Number of the call that acquired the lock.
        attempt: u64,
    },
    /// A lock's holder extended its hold beyond the previous time.
    #[brw(magic(2u8))]
    LockExtended {
        /// Name of the lock.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// Time for which the lock is held unless it is renewed, in ms.
        hold_ms: u32,
    },
    /// A lock was released.
    #[brw(magic(3u8))]
    LockReleased {
        /// Name of the lock.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
    },
    /// A counter returned its next number.
    #[brw(magic(4u8))]
    NumberTaken {
        /// Name of the counter.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
    },
    /// A value was put into a cell, with the next revision of the cell's group.
    #[brw(magic(5u8))]
    CellPut {
        /// Name of the cell.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
        /// Value of the cell.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        value: String,
        /// Revision that the cell must have, 0 if it must not exist; `None` for an unconditional put.
        #[br(parse_with = read_option)]
        #[bw(write_with = write_option)]
        expected_revision: Option<u64>,
    },
    /// The oldest puts of a group were dropped from its history.
    #[brw(magic(6u8))]
    HistoryTrimmed {
        /// Name of the group.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        group: String,
        /// Revision of the latest put that is no longer in the history.
        floor: u64,
    },
}

/// Lock that has a holder.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct LockRecord {
    /// Name of the lock.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// Name of the holder.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub holder: String,
    /// Fencing token of the holder.
    pub fence: u64,
    /// Longest time that the holder may count on since its last call, in ms.
    pub hold_ms: u32,
    /// Number of the call that acquired the lock.
    pub attempt: u64,
}

/// Counter.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct NumberRecord {
    /// Name of the counter.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// Number that the counter returned last.
    pub value: u64,
}

/// Put into a cell.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct CellRecord {
    /// Name of the cell.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// Value of the cell.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub value: String,
    /// Revision of the put.
    pub revision: u64,
    /// Revision that the cell had before; 0 if it didn't exist.
    pub replaced_revision: u64,
    /// Whether the put was conditional on that revision.
    #[br(parse_with = read_bool)]
    #[bw(write_with = write_bool)]
    pub is_conditional: bool,
}

/// Cells of a group, and the puts that led to them.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct CellGroupRecord {
    /// Name of the group, including its final dot.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// Revision of the latest put that is no longer in the history.
    pub floor: u64,
    /// Latest put into each cell, by name.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub cells: Vec<CellRecord>,
    /// All puts after `floor`, oldest first.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub history: Vec<CellRecord>,
}

/// All locks, counters and cells.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct CoordinationSnapshot {
    /// Index of the last change of the configuration or of the drains.
    pub fleet_index: u64,
    /// Fencing token that was issued last.
    pub last_fence: u64,
    /// Locks that have a holder, by name.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub locks: Vec<LockRecord>,
    /// Counters, by name.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub numbers: Vec<NumberRecord>,
    /// Groups of cells, by name.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub groups: Vec<CellGroupRecord>,
}
