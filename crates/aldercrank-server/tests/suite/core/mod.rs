//! The server's core with fake ports: single cases, and invariants on generated events.

mod abandoned_requests;
mod configuration;
mod generated_events;
mod pool_link;
mod requests;
mod scenario;
mod world;
