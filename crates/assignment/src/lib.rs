//! Which senders serve which destinations, and how each sender is told of its own part, by changes.
//!
//! With 16,000 senders and 1.1 million destinations nobody can know all of them, and a destination shared by all has one
//! event a sender in hours, from which nothing can be learnt. So destinations fall into fixed shards, each shard has a few
//! owners in different zones, and a sender hears of its own shards only.
//!
//! [`catalog`] is what there is, with revisions and a bounded log of changes. [`placement`] says who owns what, within a
//! stated load, and moves no more shards a second than allowed. [`controller`] alone, one at a time by its epoch, changes
//! either; [`relay`] holds a copy on each control machine and serves some hundreds of senders; [`subscriber`] is the
//! sender's side, which keeps the last word in force while cut off and never runs on half a part. [`publisher`] is how a
//! controller serves relays and a relay serves senders, within the bytes a second that each may be sent ([`budget`]);
//! [`link`] is the other end of that. [`image`] is a copy as it is kept on a disk. [`wire`] says how lines look and how
//! each side knows that the other said them.
//! [`rehearsal`] plays all of it in simulated time under faults, [`panel`] all
//! the hard cases at any size, [`day`] a whole day of restarts.
//!
//! It guards against two controllers that both assign, a change that is lost or overtaken by an older one, a burst that
//! queues for ever, and a fleet that moves all at once. Sockets, files and clocks are left to a carrier; so is knowing who
//! is there, which is handed in. Texts aren't moved between owners here.
//!
//! ```
//! use indigomast::time::Moment;
//! use indigomast_assignment::catalog::{Change, Replica, Settings};
//! use indigomast_assignment::controller::{Controller, Event};
//! use indigomast_assignment::placement::Place;
//! use indigomast_rollout::wire::Secret;
//!
//! let settings = Settings { shards: 64, ..Settings::default() };
//! let secret = Secret::new(b"sixteen bytes or more").unwrap();
//! let now = Moment::from_millis(0.0);
//! let mut controller = Controller::new(1, Replica::new(&settings), &settings, secret, now);
//! let here = (0..8).map(|sender| (sender, Some(Place { region: 0, zone: sender as u16 % 2 }))).collect();
//! controller.step(now, Event::Members(here));
//! let body = "10.0.0.1:80".to_owned();
//! controller.step(now, Event::Change(Change::Put { destination: 7, weight: 1, body }));
//! let owners = controller.replica().owners(controller.replica().shard_of(7));
//! assert_eq!(owners.list().len(), 2);
//! ```

pub mod budget;
pub mod catalog;
pub mod controller;
pub mod day;
pub mod image;
pub mod link;
pub mod panel;
pub mod placement;
pub mod publisher;
pub mod rehearsal;
pub mod relay;
pub mod subscriber;
pub mod wire;
