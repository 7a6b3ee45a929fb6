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

pub mod budget;
pub mod call;
pub mod directory;
pub mod doubt;
pub mod event;
pub mod exchange;
pub mod flight;
pub mod health;
pub mod news;
pub mod pace;
pub mod peers;
pub mod placement;
pub mod reading;
pub mod recall;
pub mod refusal;
pub mod routes;
pub mod state;
pub mod tuning;
pub mod upstream;
pub mod waiting;
pub mod warmth;
pub mod watching;

mod reduce;

pub use call::Call;
pub use directory::Directory;
pub use event::Effect;
pub use event::Event;
pub use reduce::reduce;
pub use state::State;
pub use tuning::Tuning;
