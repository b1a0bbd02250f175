//! A test cluster: processes of the program on loopback, stub services for all that they connect to, faults between
//! them and of them, and checkers that see only what crosses the wire. It runs the program from outside; the program
//! knows nothing of it.
//!
//! The stub services, [`edge_nodes`], [`relayed_link`] and the checkers have neither sockets nor a clock;
//! [`cluster`] provides both. [`scenario`] describes a run, [`run_record`] and [`report`] what came of it.

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
