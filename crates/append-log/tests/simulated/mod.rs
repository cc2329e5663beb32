//! A disk in memory that keeps no more than its promises: what was synced. All else a loss of power may leave there,
//! missing or torn, and [`Simulated::after_power_loss`] gives each such disk.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::rc::Rc;

use append_log::{Disk, DiskFile};

/// A change of a file that no sync has covered yet.
#[derive(Clone, Debug)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    TruncatedTail(usize),
}

impl Change {
    fn apply(&self, to: &mut Vec<u8>) {
        match self {
            Change::Write { offset, bytes } => {
                let end = offset + bytes.len();
                if to.len() < end {
                    to.resize(end, 0);
                }
                to[*offset..end].copy_from_slice(bytes);
            }
            Change::TruncatedTail(length) => to.truncate(*length),
        }
    }

    /// What a loss of power may leave of it: all, nothing, the first bytes, the last ones, all but a sector of 8
    /// bytes; each as the changes that come to the same.
    fn interrupted_rewrite_bytes(&self) -> Vec<Vec<Change>> {
        let Change::Write { offset, bytes } = self else {
            return vec![vec![], vec![self.clone()]];
        };
        let part = |from: usize, to: usize| Change::Write {
            offset: offset + from,
            bytes: bytes[from..to].to_vec(),
        };
        let mut all = vec![vec![], vec![self.clone()]];
        for at in 1..bytes.len() {
            all.push(vec![part(0, at)]);
            all.push(vec![part(at, bytes.len())]);
        }
        for at in (8..bytes.len().saturating_sub(8)).step_by(8) {
            all.push(vec![part(0, at), part(at + 8, bytes.len())]);
        }
        all
    }
}

/// A change of a name that no sync has covered yet. A rename is two of them: the name that it gives and the one that
/// it takes may each last or not, by itself.
#[derive(Clone, Debug)]
enum Naming {
    New(String, usize),
    Given(String, usize),
    Taken(String, usize),
    Remove(String),
}

impl Naming {
    fn name(&self) -> &str {
        match self {
            Naming::New(name, _)
            | Naming::Given(name, _)
            | Naming::Taken(name, _)
            | Naming::Remove(name) => name,
        }
    }

    fn apply(&self, to: &mut BTreeMap<String, usize>) {
        match self {
            Naming::New(name, file) | Naming::Given(name, file) => {
                to.insert(name.clone(), *file);
            }
            Naming::Taken(name, file) => {
                if to.get(name) == Some(file) {
                    to.remove(name);
                }
            }
            Naming::Remove(name) => {
                to.remove(name);
            }
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Contents {
    now: Vec<u8>,
    synced: Vec<u8>,
    changes: Vec<Change>,
}

/// What the disk does wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// How many bytes all files may have together.
    pub room: Option<usize>,
    /// Writes are refused, and cuts and new files with them.
    pub refuses_writes: bool,
    /// Syncs of files fail; what they should have covered is forgotten, or (the other way) has reached the disk,
    /// and later syncs don't cover it.
    pub fails_sync: bool,
    /// What a failed sync should have covered has reached the disk.
    pub failed_sync_writes: bool,
    /// Syncs of the folder fail.
    pub fails_sync_names: bool,
    /// Files can't be renamed.
    pub fails_rename: bool,
}

#[derive(Clone, Debug, Default)]
struct Inner {
    files: Vec<Contents>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    namings: Vec<Naming>,
    faults: Faults,
    /// After so many steps (a call or a byte written is one) the process is dead.
    steps_left: Option<u64>,
    steps: u64,
    /// Syncs of files, and writes.
    syncs: u64,
    writes: u64,
}

impl Inner {
    fn step(&mut self) -> io::Result<()> {
        if self.steps_left == Some(0) {
            return Err(io::Error::other("killed"));
        }
        self.steps += 1;
        self.steps_left = self.steps_left.map(|left| left - 1);
        Ok(())
    }

    fn change(&mut self, file: usize, change: Change) {
        let file = &mut self.files[file];
        change.apply(&mut file.now);
        file.changes.push(change);
    }

    fn used(&self) -> usize {
        self.names
            .values()
            .map(|file| self.files[*file].now.len())
            .sum()
    }
}

/// The disk; clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct Simulated(Rc<RefCell<Inner>>);

#[allow(dead_code, reason = "each test file uses a part")]
impl Simulated {
    pub fn new() -> Simulated {
        Simulated::default()
    }

    /// The faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.0.borrow_mut().faults = faults;
    }

    /// The process dies after so many steps.
    pub fn kill_after(&self, steps: u64) {
        self.0.borrow_mut().steps_left = Some(steps);
    }

    /// Whether the process is dead.
    pub fn is_killed(&self) -> bool {
        self.0.borrow().steps_left == Some(0)
    }

    /// How many steps were done.
    pub fn steps(&self) -> u64 {
        self.0.borrow().steps
    }

    /// How many writes and syncs of files there were.
    pub fn writes_and_syncs(&self) -> (u64, u64) {
        let inner = self.0.borrow();
        (inner.writes, inner.syncs)
    }

    /// A copy whose process is alive and whose faults are mended.
    pub fn after_kill(&self) -> Simulated {
        let mut inner = self.0.borrow().clone();
        (inner.steps_left, inner.faults) = (None, Faults::default());
        Simulated(Rc::new(RefCell::new(inner)))
    }

    /// Every disk that a loss of power may leave.
    pub fn after_power_loss(&self) -> Vec<Simulated> {
        let inner = self.0.borrow();
        let mut all = Vec::new();
        for subset in 0..1_u32 << inner.namings.len() {
            let mut names = inner.synced_names.clone();
            for (number, naming) in inner.namings.iter().enumerate() {
                if subset & 1 << number != 0 {
                    naming.apply(&mut names);
                }
            }
            let mut disks = vec![Inner::default()];
            for (name, file) in names {
                let lefts = inner.files[file].after_power_loss();
                disks = disks
                    .iter()
                    .flat_map(|disk| {
                        lefts.iter().map(|left| {
                            let mut disk = disk.clone();
                            disk.names.insert(name.clone(), disk.files.len());
                            disk.synced_names = disk.names.clone();
                            disk.files.push(Contents {
                                now: left.clone(),
                                synced: left.clone(),
                                changes: vec![],
                            });
                            disk
                        })
                    })
                    .collect();
            }
            all.extend(
                disks
                    .into_iter()
                    .map(|disk| Simulated(Rc::new(RefCell::new(disk)))),
            );
        }
        all
    }

    /// One of the disks that a loss of power may leave, by `choose` (a number below the one it is given). Anything
    /// there is less seldom than in [`Simulated::after_power_loss`].
    pub fn after_some_power_loss(&self, choose: &mut impl FnMut(usize) -> usize) -> Simulated {
        let inner = self.0.borrow();
        let mut left = Inner {
            names: inner.synced_names.clone(),
            ..Inner::default()
        };
        for naming in &inner.namings {
            if choose(2) == 1 {
                naming.apply(&mut left.names);
            }
        }
        left.synced_names = left.names.clone();
        for file in &inner.files {
            let mut bytes = file.synced.clone();
            for change in &file.changes {
                let interrupted_rewrite_bytes = change.interrupted_rewrite_bytes();
                let which = if choose(3) == 0 {
                    choose(interrupted_rewrite_bytes.len())
                } else {
                    choose(2)
                };
                interrupted_rewrite_bytes[which]
                    .iter()
                    .for_each(|change| change.apply(&mut bytes));
            }
            left.files.push(Contents {
                now: bytes.clone(),
                synced: bytes,
                changes: vec![],
            });
        }
        Simulated(Rc::new(RefCell::new(left)))
    }

    /// The bytes of a file.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let inner = self.0.borrow();
        inner
            .names
            .get(name)
            .map(|file| inner.files[*file].now.clone())
    }

    /// Puts a file there, synced.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        let mut inner = self.0.borrow_mut();
        let file = inner.files.len();
        inner.files.push(Contents {
            now: bytes.to_vec(),
            synced: bytes.to_vec(),
            changes: vec![],
        });
        inner.names.insert(name.to_owned(), file);
        inner.synced_names.insert(name.to_owned(), file);
    }

    /// The names of the files.
    pub fn names(&self) -> Vec<String> {
        self.0.borrow().names.keys().cloned().collect()
    }
}

impl Contents {
    fn after_power_loss(&self) -> Vec<Vec<u8>> {
        let mut all = vec![self.synced.clone()];
        for change in &self.changes {
            let interrupted_rewrite_bytes = change.interrupted_rewrite_bytes();
            all = all
                .iter()
                .flat_map(|before| {
                    interrupted_rewrite_bytes.iter().map(|changes| {
                        let mut bytes = before.clone();
                        changes.iter().for_each(|change| change.apply(&mut bytes));
                        bytes
                    })
                })
                .collect();
        }
        all.sort();
        all.dedup();
        all
    }
}

fn full() -> io::Error {
    ErrorKind::StorageFull.into()
}

impl Disk for Simulated {
    type File = SimulatedFile;

    fn open(&mut self, name: &str) -> io::Result<Option<SimulatedFile>> {
        let mut inner = self.0.borrow_mut();
        inner.step()?;
        Ok(inner.names.get(name).map(|file| SimulatedFile {
            disk: self.0.clone(),
            file: *file,
        }))
    }

    fn open_read_only(&mut self, name: &str) -> io::Result<Option<SimulatedFile>> {
        self.open(name)
    }

    fn create(&mut self, name: &str) -> io::Result<SimulatedFile> {
        let mut inner = self.0.borrow_mut();
        inner.step()?;
        if inner.faults.refuses_writes {
            return Err(full());
        }
        let file = if let Some(file) = inner.names.get(name).copied() {
            inner.change(file, Change::TruncatedTail(0));
            file
        } else {
            let file = inner.files.len();
            inner.files.push(Contents::default());
            inner.names.insert(name.to_owned(), file);
            inner.namings.push(Naming::New(name.to_owned(), file));
            file
        };
        Ok(SimulatedFile {
            disk: self.0.clone(),
            file,
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.step()?;
        if inner.faults.fails_rename {
            return Err(io::Error::other("rename"));
        }
        let file = *inner.names.get(from).expect("there is a file to rename");
        for naming in [
            Naming::Given(to.to_owned(), file),
            Naming::Taken(from.to_owned(), file),
        ] {
            naming.apply(&mut inner.names);
            inner.namings.push(naming);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<bool> {
        let mut inner = self.0.borrow_mut();
        inner.step()?;
        let is_there = inner.names.remove(name).is_some();
        if is_there {
            inner.namings.push(Naming::Remove(name.to_owned()));
        }
        Ok(is_there)
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.step()?;
        if inner.faults.fails_sync_names {
            return Err(io::Error::other("sync of the folder"));
        }
        inner.synced_names = inner.names.clone();
        inner.namings.clear();
        Ok(())
    }
}

/// An open file of it.
#[derive(Debug)]
pub struct SimulatedFile {
    disk: Rc<RefCell<Inner>>,
    file: usize,
}

impl DiskFile for SimulatedFile {
    fn length(&mut self) -> io::Result<u64> {
        let mut inner = self.disk.borrow_mut();
        inner.step()?;
        Ok(inner.files[self.file].now.len() as u64)
    }

    /// Reads a part at times, as files may.
    fn read_at(&mut self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        let mut inner = self.disk.borrow_mut();
        inner.step()?;
        let bytes = inner.files[self.file]
            .now
            .get(offset as usize..)
            .unwrap_or_default();
        let read = bytes.len().min(into.len()).min(50_000);
        into[..read].copy_from_slice(&bytes[..read]);
        Ok(read)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        let mut inner = self.disk.borrow_mut();
        inner.step()?;
        inner.writes += 1;
        if inner.faults.refuses_writes {
            return Err(full());
        }
        let room = inner
            .faults
            .room
            .map_or(usize::MAX, |room| room.saturating_sub(inner.used()));
        let mut taken = bytes.len().min(room);
        if let Some(left) = inner.steps_left {
            taken = taken.min(left as usize);
            inner.steps_left = Some(left - taken as u64);
        }
        inner.steps += taken as u64;
        if taken > 0 {
            let bytes = bytes[..taken].to_vec();
            inner.change(
                self.file,
                Change::Write {
                    offset: offset as usize,
                    bytes,
                },
            );
        }
        inner.step()?;
        match taken {
            0 => Err(full()),
            taken => Ok(taken),
        }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut inner = self.disk.borrow_mut();
        inner.step()?;
        if inner.faults.refuses_writes {
            return Err(full());
        }
        inner.change(self.file, Change::TruncatedTail(length as usize));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut inner = self.disk.borrow_mut();
        inner.step()?;
        inner.syncs += 1;
        let faults = inner.faults;
        let file = &mut inner.files[self.file];
        let changes = std::mem::take(&mut file.changes);
        if !faults.fails_sync || faults.failed_sync_writes {
            changes
                .iter()
                .for_each(|change| change.apply(&mut file.synced));
        }
        if faults.fails_sync {
            return Err(io::Error::other("sync"));
        }
        // A new file lasts with its own sync, and whatever its name was given to or taken from before is over.
        let mut namings = std::mem::take(&mut inner.namings);
        let is_own = |naming: &Naming| matches!(naming, Naming::New(_, file) if *file == self.file);
        if let Some(place) = namings.iter().position(is_own) {
            let own = namings.remove(place);
            own.apply(&mut inner.synced_names);
            let mut place_of_next = 0..;
            namings.retain(|naming| {
                let is_before = place_of_next.next().is_some_and(|next| next < place);
                !(is_before && naming.name() == own.name())
            });
        }
        inner.namings = namings;
        Ok(())
    }
}
