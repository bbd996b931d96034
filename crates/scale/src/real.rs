//! The same roles of real daemons.
