//! A change of program or settings over many senders, in stages, old and new side by side.
//!
//! [`plan`] is what the operators wrote, checked whole. [`steering`] decides who is to run what and gives orders, never to
//! more senders at once than may be away; [`agent`] is the other side, one on each machine, which obeys one controller
//! at a time and does each order once. [`evidence`] and [`compare`] say whether new does worse than old, looked at as often
//! as one likes. [`controller`] puts these together over time, [`record`] is what outlasts it, [`wire`] how orders are
//! authenticated.
//!
//! It guards against a bad change that is found out afterwards, against one that is halted without cause, and against two
//! controllers that both steer. Files, sockets, processes and clocks are left to `indigomast keep` and `indigomast
//! rollout`.

pub mod agent;
pub mod compare;
pub mod controller;
pub mod evidence;
pub mod plan;
pub mod record;
pub mod steering;
pub mod wire;
