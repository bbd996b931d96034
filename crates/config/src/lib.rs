//! An installation of one's own, without a platform: one TOML file that says all, lists of gateways that may be edited
//! while the sender runs, and where the ends of texts are told.
//!
//! It guards against what is half written and half right: a file or a list is used whole or not at all, and all that is
//! wrong with it is told at once, with file, line, column, field and what would be right. What the values mean is the
//! sender's ([`indigomast_sender`]) and, for everything that is decided about a text, the decision module's.
//!
//! ```no_run
//! let installation = indigomast_config::Installation::load("examples/small.toml".as_ref()).map_err(|all| all[0].to_string())?;
//! let sender = indigomast_sender::Sender::start(installation.config().map_err(|all| all[0].to_string())?)?;
//! sender.wait()?;
//! # Ok::<(), String>(())
//! ```

pub mod ends;
pub mod files;
pub mod gateways;
pub mod installation;
pub mod lists;
pub mod machine;
pub mod reader;

pub use installation::{Installation, fields};
pub use reader::{Complaint, Field};
