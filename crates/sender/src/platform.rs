//! Where the platform is: the address of discovery, which also takes the notices. It may change while the sender
//! runs, and whoever opens a connection there asks anew.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

pub struct Platform(Mutex<SocketAddr>);

impl Platform {
    pub fn at(address: SocketAddr) -> Platform {
        Platform(Mutex::new(address))
    }

    pub fn address(&self) -> SocketAddr {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn moves(&self, address: SocketAddr) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = address;
    }
}
