//! A test cluster: processes of the program on loopback, stubs of all services that they connect to, injected faults of
//! processes, services and links, and checkers that see only the traffic on the wire. The program runs as
//! separate processes and is unaware of the test cluster.
//!
//! The stub services, [`edge_nodes`], [`relayed_link`] and the checkers use neither sockets nor a clock; [`cluster`]
//! provides both. [`scenario`] describes a run; [`run_record`] and [`report`] hold and present its results.

pub mod cluster;
pub mod config;
pub mod config_store_stub;
pub mod edge_nodes;
pub mod fault_search;
pub mod ids;
pub mod index_stub;
pub mod invariant_checker;
pub mod kdl_properties;
pub mod membership_stub;
pub mod process;
pub mod random;
pub mod relayed_link;
pub mod report;
pub mod run_record;
pub mod scenario;
pub mod sockets;
pub mod testbed;
pub mod version_checker;
pub mod worker_pool_stub;
