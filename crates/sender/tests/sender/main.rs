mod admission;
mod common;
mod forms;
mod owed;
mod parts;
mod sockets;
