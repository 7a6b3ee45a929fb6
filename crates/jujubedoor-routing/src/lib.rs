//! Decides where each request of a caller goes, without sockets, clocks or threads.
//!
//! An [`Event`] enters [`reduce`] together with the time and the [`State`] of the VM; [`Effect`]s come
//! out, which a shell carries out. A request passes through these modules: [`routes`] finds its route and
//! workspace, [`placement`] chooses an upstream from what [`upstream`], [`warmth`] and [`pace`] know,
//! [`waiting`] holds it while no upstream has room, and [`flight`] decides after each attempt whether the
//! request is sent again, answered or turned away ([`refusal`]).
//!
//! What the decisions rest on comes from [`directory`], the upstreams and routes that the operators
//! publish, and from [`peers`], the other VMs of the fleet.

pub mod cache_index;
pub mod cache_recovery;
pub mod call;
pub mod cold_rate;
pub mod directory;
pub mod domain_suspicion;
pub mod event;
pub mod health;
pub mod heartbeats;
pub mod lifecycle;
pub mod peers;
pub mod pending_parts;
pub mod placement;
pub mod prefill;
pub mod queue;
pub mod registry_watch;
pub mod rejection;
pub mod retry_budget;
pub mod routes;
pub mod state;
pub mod tuning;
pub mod upstream;

mod reduce;

pub use call::Call;
pub use directory::Directory;
pub use event::Effect;
pub use event::Event;
pub use reduce::reduce;
pub use state::State;
pub use tuning::Tuning;
