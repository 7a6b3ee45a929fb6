//! Routing decisions of the edge, without sockets, clocks or threads.
//!
//! [`reduce()`] takes an [`Event`], the time and the [`State`] of the VM, and returns [`Effect`]s for the
//! I/O layer to carry out. A request passes through these modules:
//!
//! - [`routes`] finds its route and workspace.
//! - [`placement`] chooses an upstream, based on [`upstream`], [`upstream_notices`], [`cache_index`],
//!   [`cold_rate`] and [`speed`]. [`domain_crossing`] decides whether it leaves the failure
//!   domain, based on [`domain_balance`].
//! - [`resumed_streams`] finds the software version at which a stream goes on, based on what VMs announce
//!   ([`stream_origins`]), on [`software`] and on which run of an upstream it was ([`run_evidence`], which [`upstream_watch`] and the
//!   reports of other VMs feed).
//! - [`queue`] holds it while no upstream has capacity, and [`queue_service`] decides for how long, based on
//!   [`urgency`] and [`service_flow`].
//! - [`lifecycle`] decides after each attempt whether to retry the request, to respond to it or to reject
//!   it ([`rejection`]). [`crash_attribution`] recognizes requests that would crash the upstream.
//!
//! The input of these decisions comes from [`directory`], the published upstreams and routes, and from
//! [`peers`], the other VMs of the fleet. [`restored_registry`] combines the directory with what a restored registry
//! has lost.

pub mod cache_index;
pub mod cache_recovery;
pub mod call;
pub mod cold_rate;
pub mod crash_attribution;
pub mod directory;
pub mod domain_balance;
pub mod domain_crossing;
pub mod domain_suspicion;
pub mod event;
pub mod health;
pub mod heartbeats;
pub mod lifecycle;
pub mod load_view;
pub mod message;
pub mod part_blocks;
pub mod part_suspects;
pub mod peers;
pub mod pending_parts;
pub mod placement;
pub mod prefill;
pub mod prefill_rate;
pub mod queue;
pub mod queue_service;
pub mod rate_limit;
pub mod registrations;
pub mod registry_outage;
pub mod registry_watch;
pub mod rejection;
pub mod restored_registry;
pub mod resumed_streams;
pub mod retry_budget;
pub mod route_moves;
pub mod routes;
pub mod run_evidence;
pub mod service_flow;
pub mod shutdown;
pub mod software;
pub mod speed;
pub mod state;
pub mod stream_origins;
pub mod tuning;
pub mod upstream;
pub mod upstream_notices;
pub mod upstream_watch;
pub mod urgency;

mod reduce;

pub use call::Call;
pub use directory::Directory;
pub use event::Effect;
pub use event::Event;
pub use reduce::reduce;
pub use state::State;
pub use tuning::Tuning;
