//! Loading of the platform's file and the service file.

use aldercrank_server::config::Config;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);

#[test]
fn a_configuration_is_read_or_its_invalid_field_is_named() {
    let good = r#"{"name":"n3","listen":"127.0.0.1:7001","pool":"127.0.0.1:1","members":"127.0.0.1:2",
        "index":"127.0.0.1:3","seed":"8c","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
        "unheard":[1],"settings":{"profiles":[{"name":"p","odd":null}]}}"#;
    let no_variable = |_: &str| None;
    let config = Config::parse(good, no_variable).ok().unwrap();
    assert_eq!((config.name.as_str(), config.stop_timeout, config.max_sockets), ("n3", S * 16 / 5, 1024));
    for (from, to, field) in [
        ("\"n3\"", "\"\"", "name"),
        ("\"n3\"", "\"a b\"", "name"),
        ("127.0.0.1:7001", "here", "listen"),
        ("\"pool\"", "\"loop\"", "pool"),
        ("127.0.0.1:2", "127.0.0.1", "members"),
        ("127.0.0.1:3", "127.0.0.1:99999", "index"),
        ("3200", "-1", "stop_ms"),
        ("3200", "\"soon\"", "stop_ms"),
        ("192", "0", "limits.memory_mb"),
        ("1024", "3", "limits.sockets"),
        ("\"limits\"", "\"bounds\"", "limits"),
        ("\"profiles\"", "\"things\"", "settings.profiles"),
        ("\"settings\":{", "\"settings\":7,\"s\":{", "settings"),
        ("{\"name\"", "{{\"name\"", "not JSON"),
    ] {
        let error = Config::parse(&good.replace(from, to), no_variable).err();
        let why = error.map(|error| error.to_string()).unwrap_or_default();
        assert!(why.contains(field) && why.lines().count() == 1, "{to}: {why}");
    }
    // The upstream dependency's address is needed only if request classes make calls.
    let without = good.replace("\"index\"", "\"x\"");
    assert!(Config::parse(&without, no_variable).err().unwrap().to_string().contains("index"));
    let without_calls =
        without.replace("\"settings\":{", "\"settings\":{\"family_info\":{\"below\":\"none\"},");
    assert_eq!(Config::parse(&without_calls, no_variable).ok().unwrap().dependency_address, None);
    let var = |name: &str| (name == "ROUTER_NAME").then(|| "n9".to_string());
    assert_eq!(Config::parse(&good.replacen("\"name\"", "\"title\"", 1), var).ok().unwrap().name, "n9");
}

#[test]
fn a_service_file_is_applied_or_all_its_faults_are_named() {
    let dir = std::env::temp_dir();
    let path = |name: &str| dir.join(format!("aldercrank-{}-{name}", std::process::id()));
    let (config, service) = (path("platform.json"), path("service.kdl"));
    std::fs::write(&config, include_str!("../../../../examples/config.json")).unwrap();
    let load = |text: &str| {
        std::fs::write(&service, text).unwrap();
        Config::load(config.to_str(), service.to_str()).map_err(|error| error.to_string())
    };
    assert_eq!(load("results {\n    longest-kb 512\n}\n").unwrap().max_result_bytes, 512 * 1024);
    assert_eq!(load("").unwrap().max_result_bytes, 256 * 1024);
    let why = load("results {\n    longest-kb 0\n}\nresult\n").err().unwrap();
    assert!(
        why.contains("service.kdl:2:16: longest-kb takes") && why.contains("service.kdl:4:1: result is not")
    );
    std::fs::remove_file(&service).unwrap();
    assert!(Config::load(config.to_str(), service.to_str())
        .err()
        .unwrap()
        .to_string()
        .contains("service.kdl"));
    // A field of the wrong type is not reported as missing.
    let text = include_str!("../../../../examples/config.json").replace("\"n1\"", "3");
    assert_eq!(Config::parse(&text, |_| None).err().unwrap().to_string(), "name is not a string");
    std::fs::remove_file(&config).unwrap();
}
