//! In-memory disk that guarantees only synced contents after a power loss. Unsynced writes may be present, missing or
//! torn; [`SimulatedDisk::after_power_loss`] enumerates the possible results.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::rc::Rc;

use append_log::{Disk, DiskFile};

/// Change of a file's contents that no sync has covered yet.
#[derive(Clone, Debug)]
enum FileChange {
    Write { offset: usize, bytes: Vec<u8> },
    Truncate(usize),
}

impl FileChange {
    fn apply(&self, contents: &mut Vec<u8>) {
        match self {
            FileChange::Write { offset, bytes } => {
                let end = offset + bytes.len();
                if contents.len() < end {
                    contents.resize(end, 0);
                }
                contents[*offset..end].copy_from_slice(bytes);
            }
            FileChange::Truncate(length) => contents.truncate(*length),
        }
    }

    /// The possible results of a power loss: nothing, the whole change, a prefix, a suffix, or all but 8 bytes in the
    /// middle. Each is given as the list of changes that produces it.
    fn power_loss_outcomes(&self) -> Vec<Vec<FileChange>> {
        let FileChange::Write { offset, bytes } = self else {
            return vec![vec![], vec![self.clone()]];
        };
        let part = |from: usize, to: usize| FileChange::Write {
            offset: offset + from,
            bytes: bytes[from..to].to_vec(),
        };
        let mut outcomes = vec![vec![], vec![self.clone()]];
        for split in 1..bytes.len() {
            outcomes.push(vec![part(0, split)]);
            outcomes.push(vec![part(split, bytes.len())]);
        }
        for split in (8..bytes.len().saturating_sub(8)).step_by(8) {
            outcomes.push(vec![part(0, split), part(split + 8, bytes.len())]);
        }
        outcomes
    }
}

/// Change of a directory entry that no sync has covered yet: a name and, unless it was removed, the index of its file.
/// A rename consists of two of them, as the new entry and the removal of the old one may become durable independently.
#[derive(Clone, Debug)]
enum NameChange {
    Created(String, usize),
    RenamedTo(String, usize),
    RenamedFrom(String, usize),
    Removed(String),
}

impl NameChange {
    fn name(&self) -> &str {
        match self {
            NameChange::Created(name, _)
            | NameChange::RenamedTo(name, _)
            | NameChange::RenamedFrom(name, _)
            | NameChange::Removed(name) => name,
        }
    }

    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            NameChange::Created(name, file) | NameChange::RenamedTo(name, file) => {
                names.insert(name.clone(), *file);
            }
            NameChange::RenamedFrom(name, file) => {
                if names.get(name) == Some(file) {
                    names.remove(name);
                }
            }
            NameChange::Removed(name) => {
                names.remove(name);
            }
        }
    }
}

/// Current and synced contents of a file, with the changes between them.
#[derive(Clone, Debug, Default)]
struct FileContents {
    current: Vec<u8>,
    synced: Vec<u8>,
    unsynced_changes: Vec<FileChange>,
}

/// Faults that the disk simulates.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Largest total length of all files in bytes; `None` for no limit.
    pub capacity_bytes: Option<usize>,
    /// Writes, truncations and creations of files fail.
    pub rejects_writes: bool,
    /// Syncs of files fail. Later syncs don't cover the changes that a failed sync should have covered.
    pub fails_sync: bool,
    /// The changes that a failed sync should have covered are durable nevertheless; otherwise they are lost.
    pub failed_sync_persists: bool,
    /// Syncs of the directory fail.
    pub fails_directory_sync: bool,
    /// Renames fail.
    pub fails_rename: bool,
}

/// State that all handles of a simulated disk share.
#[derive(Clone, Debug, Default)]
struct DiskState {
    files: Vec<FileContents>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    unsynced_name_changes: Vec<NameChange>,
    faults: Faults,
    /// Steps until the process is killed; a call or a written byte is one step. `None` if it is not to be killed.
    steps_until_kill: Option<u64>,
    steps: u64,
    /// Number of syncs of files.
    syncs: u64,
    /// Number of write calls.
    writes: u64,
}

impl DiskState {
    fn step(&mut self) -> io::Result<()> {
        if self.steps_until_kill == Some(0) {
            return Err(io::Error::other("killed"));
        }
        self.steps += 1;
        self.steps_until_kill = self.steps_until_kill.map(|steps| steps - 1);
        Ok(())
    }

    fn apply_change(&mut self, file: usize, change: FileChange) {
        let file = &mut self.files[file];
        change.apply(&mut file.current);
        file.unsynced_changes.push(change);
    }

    fn used_bytes(&self) -> usize {
        self.names
            .values()
            .map(|file| self.files[*file].current.len())
            .sum()
    }
}

/// Simulated disk. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(Rc<RefCell<DiskState>>);

#[allow(dead_code, reason = "each test file uses only some of the methods")]
impl SimulatedDisk {
    pub fn new() -> SimulatedDisk {
        SimulatedDisk::default()
    }

    /// Sets the faults of all later calls.
    pub fn set_faults(&self, faults: Faults) {
        self.0.borrow_mut().faults = faults;
    }

    /// Kills the process after `steps` more steps.
    pub fn kill_after(&self, steps: u64) {
        self.0.borrow_mut().steps_until_kill = Some(steps);
    }

    /// Whether the process has been killed.
    pub fn is_killed(&self) -> bool {
        self.0.borrow().steps_until_kill == Some(0)
    }

    /// Number of steps since the disk was created.
    pub fn steps(&self) -> u64 {
        self.0.borrow().steps
    }

    /// Number of write calls, and number of syncs of files.
    pub fn writes_and_syncs(&self) -> (u64, u64) {
        let state = self.0.borrow();
        (state.writes, state.syncs)
    }

    /// A copy of the disk as the next process finds it, without faults.
    pub fn after_kill(&self) -> SimulatedDisk {
        let mut state = self.0.borrow().clone();
        (state.steps_until_kill, state.faults) = (None, Faults::default());
        SimulatedDisk(Rc::new(RefCell::new(state)))
    }

    /// All states of the disk that a power loss can leave.
    pub fn after_power_loss(&self) -> Vec<SimulatedDisk> {
        let state = self.0.borrow();
        let mut outcomes = Vec::new();
        for subset in 0..1_u32 << state.unsynced_name_changes.len() {
            let mut names = state.synced_names.clone();
            for (number, name_change) in state.unsynced_name_changes.iter().enumerate() {
                if subset & 1 << number != 0 {
                    name_change.apply(&mut names);
                }
            }
            let mut disks = vec![DiskState::default()];
            for (name, file) in names {
                let possible_contents = state.files[file].contents_after_power_loss();
                disks = disks
                    .iter()
                    .flat_map(|disk| {
                        possible_contents.iter().map(|contents| {
                            let mut disk = disk.clone();
                            disk.names.insert(name.clone(), disk.files.len());
                            disk.synced_names = disk.names.clone();
                            disk.files.push(FileContents {
                                current: contents.clone(),
                                synced: contents.clone(),
                                unsynced_changes: vec![],
                            });
                            disk
                        })
                    })
                    .collect();
            }
            outcomes.extend(
                disks
                    .into_iter()
                    .map(|disk| SimulatedDisk(Rc::new(RefCell::new(disk)))),
            );
        }
        outcomes
    }

    /// One state of the disk that a power loss can leave. `choose` draws a number below its argument. Wholly present or
    /// missing changes are likelier than in [`SimulatedDisk::after_power_loss`].
    pub fn after_random_power_loss(
        &self,
        choose: &mut impl FnMut(usize) -> usize,
    ) -> SimulatedDisk {
        let state = self.0.borrow();
        let mut remaining = DiskState {
            names: state.synced_names.clone(),
            ..DiskState::default()
        };
        for name_change in &state.unsynced_name_changes {
            if choose(2) == 1 {
                name_change.apply(&mut remaining.names);
            }
        }
        remaining.synced_names = remaining.names.clone();
        for file in &state.files {
            let mut bytes = file.synced.clone();
            for change in &file.unsynced_changes {
                let outcomes = change.power_loss_outcomes();
                let outcome = if choose(3) == 0 {
                    choose(outcomes.len())
                } else {
                    choose(2)
                };
                outcomes[outcome]
                    .iter()
                    .for_each(|change| change.apply(&mut bytes));
            }
            remaining.files.push(FileContents {
                current: bytes.clone(),
                synced: bytes,
                unsynced_changes: vec![],
            });
        }
        SimulatedDisk(Rc::new(RefCell::new(remaining)))
    }

    /// Current contents of a file; `None` if it doesn't exist.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.0.borrow();
        state
            .names
            .get(name)
            .map(|file| state.files[*file].current.clone())
    }

    /// Adds a file whose name and contents are synced.
    pub fn insert_synced_file(&self, name: &str, bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        let file = state.files.len();
        state.files.push(FileContents {
            current: bytes.to_vec(),
            synced: bytes.to_vec(),
            unsynced_changes: vec![],
        });
        state.names.insert(name.to_owned(), file);
        state.synced_names.insert(name.to_owned(), file);
    }

    /// Names of the files in alphabetical order.
    pub fn names(&self) -> Vec<String> {
        self.0.borrow().names.keys().cloned().collect()
    }
}

impl FileContents {
    fn contents_after_power_loss(&self) -> Vec<Vec<u8>> {
        let mut possible_contents = vec![self.synced.clone()];
        for change in &self.unsynced_changes {
            let outcomes = change.power_loss_outcomes();
            possible_contents = possible_contents
                .iter()
                .flat_map(|before| {
                    outcomes.iter().map(|changes| {
                        let mut bytes = before.clone();
                        changes.iter().for_each(|change| change.apply(&mut bytes));
                        bytes
                    })
                })
                .collect();
        }
        possible_contents.sort();
        possible_contents.dedup();
        possible_contents
    }
}

fn disk_full_error() -> io::Error {
    ErrorKind::StorageFull.into()
}

impl Disk for SimulatedDisk {
    type File = SimulatedFile;

    fn open(&mut self, name: &str) -> io::Result<Option<SimulatedFile>> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        Ok(state.names.get(name).map(|file| SimulatedFile {
            disk: self.0.clone(),
            file: *file,
        }))
    }

    fn open_read_only(&mut self, name: &str) -> io::Result<Option<SimulatedFile>> {
        self.open(name)
    }

    fn create(&mut self, name: &str) -> io::Result<SimulatedFile> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        if state.faults.rejects_writes {
            return Err(disk_full_error());
        }
        let file = if let Some(file) = state.names.get(name).copied() {
            state.apply_change(file, FileChange::Truncate(0));
            file
        } else {
            let file = state.files.len();
            state.files.push(FileContents::default());
            state.names.insert(name.to_owned(), file);
            state
                .unsynced_name_changes
                .push(NameChange::Created(name.to_owned(), file));
            file
        };
        Ok(SimulatedFile {
            disk: self.0.clone(),
            file,
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        if state.faults.fails_rename {
            return Err(io::Error::other("rename"));
        }
        let file = *state.names.get(from).expect("there is a file to rename");
        for name_change in [
            NameChange::RenamedTo(to.to_owned(), file),
            NameChange::RenamedFrom(from.to_owned(), file),
        ] {
            name_change.apply(&mut state.names);
            state.unsynced_name_changes.push(name_change);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<bool> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        let existed = state.names.remove(name).is_some();
        if existed {
            state
                .unsynced_name_changes
                .push(NameChange::Removed(name.to_owned()));
        }
        Ok(existed)
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        if state.faults.fails_directory_sync {
            return Err(io::Error::other("sync of the directory"));
        }
        state.synced_names = state.names.clone();
        state.unsynced_name_changes.clear();
        Ok(())
    }
}

/// An open file of a [`SimulatedDisk`].
#[derive(Debug)]
pub struct SimulatedFile {
    disk: Rc<RefCell<DiskState>>,
    file: usize,
}

impl DiskFile for SimulatedFile {
    fn length(&mut self) -> io::Result<u64> {
        let mut state = self.disk.borrow_mut();
        state.step()?;
        Ok(state.files[self.file].current.len() as u64)
    }

    /// Reads at most 50,000 bytes at once, so that callers meet short reads.
    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let mut state = self.disk.borrow_mut();
        state.step()?;
        let bytes = state.files[self.file]
            .current
            .get(offset as usize..)
            .unwrap_or_default();
        let count = bytes.len().min(buffer.len()).min(50_000);
        buffer[..count].copy_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.disk.borrow_mut();
        state.step()?;
        state.writes += 1;
        if state.faults.rejects_writes {
            return Err(disk_full_error());
        }
        let free_bytes = state.faults.capacity_bytes.map_or(usize::MAX, |capacity| {
            capacity.saturating_sub(state.used_bytes())
        });
        let mut accepted = bytes.len().min(free_bytes);
        if let Some(remaining_steps) = state.steps_until_kill {
            accepted = accepted.min(remaining_steps as usize);
            state.steps_until_kill = Some(remaining_steps - accepted as u64);
        }
        state.steps += accepted as u64;
        if accepted > 0 {
            let bytes = bytes[..accepted].to_vec();
            state.apply_change(
                self.file,
                FileChange::Write {
                    offset: offset as usize,
                    bytes,
                },
            );
        }
        state.step()?;
        match accepted {
            0 => Err(disk_full_error()),
            accepted => Ok(accepted),
        }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.disk.borrow_mut();
        state.step()?;
        if state.faults.rejects_writes {
            return Err(disk_full_error());
        }
        state.apply_change(self.file, FileChange::Truncate(length as usize));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.borrow_mut();
        state.step()?;
        state.syncs += 1;
        let faults = state.faults;
        let file = &mut state.files[self.file];
        let changes = std::mem::take(&mut file.unsynced_changes);
        if !faults.fails_sync || faults.failed_sync_persists {
            changes
                .iter()
                .for_each(|change| change.apply(&mut file.synced));
        }
        if faults.fails_sync {
            return Err(io::Error::other("sync"));
        }
        // The first sync of a new file makes its name durable too, which settles all earlier changes of that name.
        let mut unsynced_name_changes = std::mem::take(&mut state.unsynced_name_changes);
        let is_own_creation = |name_change: &NameChange| matches!(name_change, NameChange::Created(_, file) if *file == self.file);
        if let Some(position) = unsynced_name_changes.iter().position(is_own_creation) {
            let creation = unsynced_name_changes.remove(position);
            creation.apply(&mut state.synced_names);
            let mut positions = 0..;
            unsynced_name_changes.retain(|name_change| {
                let is_earlier = positions.next().is_some_and(|next| next < position);
                !(is_earlier && name_change.name() == creation.name())
            });
        }
        state.unsynced_name_changes = unsynced_name_changes;
        Ok(())
    }
}
