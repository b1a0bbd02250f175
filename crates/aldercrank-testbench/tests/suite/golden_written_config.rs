//! Golden file of the JSON configuration that the test cluster writes for its servers, and of what a server decodes
//! from it.

use crate::compare;
use aldercrank::Value;
use aldercrank_server::config::Config;
use aldercrank_test_cluster::config::{server_config, ServerAddresses};
use aldercrank_test_cluster::ids::ServerNo;
use aldercrank_test_cluster::scenario::Scenario;
use std::fmt::Write;

const SCENARIO: &str = "seed 171\nfleet servers=3 zones=2 cores=2 memory-kb=9000 stop-ms=2500 sockets=300\n\
                        product \"third\" effect=\"once-only\" share=0.1 calls=0\nindex limit=96\n";

fn setting(value: &Value) -> String {
    match value {
        Value::Number(n) => format!("number {n:?}"),
        Value::Text(text) => format!("text {text:?}"),
        Value::Flag(flag) => format!("flag {flag}"),
    }
}

/// The decoded configuration, under the names in the file.
fn decoded(config: &Config) -> String {
    let mut lines = format!("  name {:?}\n  listen {}\n", config.name, config.listen);
    writeln!(
        lines,
        "  pool {}\n  members {}\n  index {:?}",
        config.pool_address, config.membership_address, config.dependency_address
    )
    .unwrap();
    writeln!(lines, "  stop {:?}\n  seed {:?}", config.stop_timeout, config.seed).unwrap();
    writeln!(lines, "  memory {} bytes, sockets {}", config.memory_bytes, config.max_sockets).unwrap();
    for (name, value) in &config.settings.0 {
        writeln!(lines, "  settings.{name} = {}", setting(value)).unwrap();
    }
    lines
}

#[test]
fn the_configuration_that_the_test_cluster_writes_is_read_as_recorded() {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    let addresses = ServerAddresses {
        listen: address(7001),
        pool: address(9300),
        index: address(8900),
        membership: address(8761),
    };
    let mut recording = String::new();
    for (server, cold) in [(0, false), (1, true)] {
        let json = server_config(&scenario, ServerNo(server), cold, &addresses);
        let text = serde_json::to_string_pretty(&json).unwrap();
        let parsed = Config::parse(&text, |_| None).unwrap();
        writeln!(recording, "== server {}, cold {cold}\n{text}\n--\n{}", server + 1, decoded(&parsed))
            .unwrap();
    }
    compare::check("config/written-by-the-fleet.txt", &recording);
}
