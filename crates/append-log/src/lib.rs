//! An append-only log: a file of checksummed records, which is rewritten when it has grown long.
//!
//! [`AppendLog::open`] returns the records of an [`AppendLog`] in the order in which they were written. The log
//! survives a kill of the process or a power loss at any byte. Records for which [`AppendLog::append`] or
//! [`AppendLog::rewrite`] returned `Ok` are durable. Records of a call that failed, or whose process died before the
//! call returned, may or may not be present after the next start. Calls block on the disk, so that they need a thread
//! of their own.
//!
//! ```
//! use append_log::AppendLog;
//! # let directory = std::env::temp_dir().join(format!("append-log-doc-{}", std::process::id()));
//! # std::fs::create_dir_all(&directory).unwrap();
//! let (mut log, records) = AppendLog::open(&directory, "records").unwrap();
//! assert!(records.is_empty());
//! log.append(&[b"first", b"second"]).unwrap();
//! drop(log);
//! let (mut log, records) = AppendLog::open(&directory, "records").unwrap();
//! assert_eq!(records, [&b"first"[..], b"second"]);
//! log.rewrite(&[b"both in one"]).unwrap();
//! # std::fs::remove_dir_all(&directory).unwrap();
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
