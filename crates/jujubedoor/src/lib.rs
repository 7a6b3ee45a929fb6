//! The decision logic of a VM in the fleet, as a deterministic state machine that uses no sockets, clocks or
//! threads.
//!
//! [`reduce()`] takes the [`State`] of the VM, the current time and an [`Event`]. It updates the state and
//! returns [`Effect`]s. The I/O layer carries these out: it sends messages, contacts upstreams and responds
//! to callers, and reports the results as further events.
//!
//! A call is handled as follows. [`entry`] receives it, and [`placement`] ranks the upstreams for it. The
//! [`admission`] owner of the first upstream, which may be another VM, grants a permit or denies it and names
//! another upstream. [`entry`] then sends, retries or rejects the call. A call that may run at most once goes
//! through [`executor`] first, on the VM that issued its [`ticket`].
//!
//! The decisions are based on [`fleet`], [`documents`] and [`catalog`]. [`gossip`] keeps these consistent
//! between VMs.

pub mod admission;
pub mod baseline;
pub mod call;
pub mod catalog;
pub mod crash_suspects;
pub mod document_history;
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
