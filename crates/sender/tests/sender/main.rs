mod admission;
mod common;
mod forms;
mod kills;
mod operations;
mod owed;
mod parts;
mod sockets;
