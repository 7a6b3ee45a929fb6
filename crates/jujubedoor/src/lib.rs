//! Decides everything that a VM of the fleet decides, without sockets, clocks or threads.
//!
//! An [`Event`] enters [`reduce`] together with the time and the [`State`] of the VM. The state
//! changes and [`Effect`]s come out, which a shell carries out: it sends messages, contacts
//! upstreams and answers callers, and turns what happens into the next events.
//!
//! A call passes through these modules. [`entry`] receives it and asks [`placement`] for the order
//! of upstreams. The [`admission`] owner of the first upstream, which may be another VM, grants a
//! permit or names another upstream. [`entry`] then has the call sent, retried or refused. A call
//! that may run at most once passes through [`executor`] first, at the VM that its [`ticket`] names.
//!
//! What the decisions rest on is kept by [`fleet`], [`documents`] and [`catalog`], and compared with
//! other VMs by [`gossip`].

pub mod admission;
pub mod baseline;
pub mod call;
pub mod catalog;
pub mod crash_suspects;
pub mod documents;
pub mod entry;
pub mod event;
pub mod executor;
pub mod fleet;
pub mod gossip;
pub mod ids;
pub mod message;
pub mod outcome;
pub mod placement;
pub mod rendezvous;
pub mod state;
pub mod ticket;
pub mod tuning;

mod reduce;

pub use event::Effect;
pub use event::Event;
pub use message::Message;
pub use reduce::reduce;
pub use state::State;
pub use tuning::Tuning;
