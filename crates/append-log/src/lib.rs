//! An append-only file of checksummed records, which is rewritten when it gets long.
//!
//! A [`AppendLog`] gives back at [`AppendLog::open`] what was written, in order, and survives a kill or a loss of power at
//! any byte. What an `Ok` of [`AppendLog::append`] or [`AppendLog::rewrite`] covers lasts; what ended in an error may be
//! there after the next start or not, and so may records whose process died before the answer. Calls block on the
//! disk: they belong on a thread of their own.
//!
//! ```
//! use append_log::AppendLog;
//! # let folder = std::env::temp_dir().join(format!("append-log-doc-{}", std::process::id()));
//! # std::fs::create_dir_all(&folder).unwrap();
//! let (mut log, records) = AppendLog::open(&folder, "records").unwrap();
//! assert!(records.is_empty());
//! log.append(&[b"first", b"second"]).unwrap();
//! drop(log);
//! let (mut log, records) = AppendLog::open(&folder, "records").unwrap();
//! assert_eq!(records, [&b"first"[..], b"second"]);
//! log.rewrite(&[b"both in one"]).unwrap();
//! # std::fs::remove_dir_all(&folder).unwrap();
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod condition;
mod disk;
mod error;
pub mod format;
mod log;
mod recovery;
mod report;
mod scanner;

pub use condition::FileCondition;
pub use disk::{Directory, DirectoryFile, Disk, DiskFile};
pub use error::Error;
pub use log::AppendLog;
pub use recovery::TruncatedTail;
pub use report::{inspect, inspect_on, verify, verify_on, FileSegment, Inspection, Verification};
