mod admission;
mod common;
mod forms;
mod kills;
mod owed;
mod parts;
mod sockets;
