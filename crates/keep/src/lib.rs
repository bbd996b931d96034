//! The carriers of a change in stages: what [`indigomast_rollout`] decides, done to real processes over real sockets.
//!
//! [`keeping`] is one machine's side: it holds the clients' socket, starts the sender, has a new process take the old one's
//! place, puts settings in force, starts again what died, and obeys orders. [`steering`] is the side of whoever makes
//! the change. [`line`] carries one question and its answer between them, [`process`] a sender's process.
//!
//! A sender serves on whatever becomes of its keeper or of the controller; a keeper that is started again finds it.

pub mod keeping;
pub mod line;
pub mod process;
pub mod report;
pub mod steering;
