use crate::common::*; pub fn run()->!{end(NOT_RUN,"")}
