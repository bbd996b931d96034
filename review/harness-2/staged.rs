use crate::common::*; pub fn stale_controller()->!{end(NOT_RUN,"")} pub fn unheard()->!{end(NOT_RUN,"")} pub fn keeper_killed()->!{end(NOT_RUN,"")}
