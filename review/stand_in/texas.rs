//! The settings of texas-markets.

/// The settings of a server in this zone.
pub fn settings(zone: &str) -> String {
    let azs = r#"["dallas","austin","houston"]"#;
    let profile = |name: &str, effect: &str, aim: u64, give_up: u64, points: f64, late: f64, window: u64| {
        format!(
            "{{\"name\":\"{name}\",\"effect\":\"{effect}\",\"goal_time\":{aim}000,\"give_up\":{give_up}000,\
             \"points\":{points:.1},\"late_worth\":{late:.1},\"window\":{window}000}}"
        )
    };
    let profiles = [
        profile("catalog-sync", "retryable", 2900, 8700, 1.0, 0.0, 5000),
        profile("item-lookup", "retryable", 720, 2200, 2.0, 0.2, 5000),
        profile("stock-upload", "retryable", 2900, 8700, 2.0, 0.0, 5000),
        profile("sale-record", "dedup", 2200, 7200, 5.0, 0.0, 21744),
    ];
    format!(
        "{{\"azs\":{azs},\"my_zone\":\"{zone}\",\"peers_total\":3,\"position\":0,\"tick\":5000,\"family\":\"server\",\
         \"family_info\":{{\"cores\":6,\"memory_kb\":40000.0,\"run_factor\":8.0,\"key_kb\":40.0,\"cold\":false,\
         \"advert\":\"share_of\",\"halt\":\"suspend\",\"cancel_seen\":true,\"passes_deadline\":false,\
         \"readiness\":true,\"below\":\"shared\",\"calls_out\":30.0,\"calls_over\":5000000,\"linger\":200000,\
         \"fresh_for\":0,\"idle\":30000000,\"upstreams\":3,\"heeded\":1000000,\
         \"class_calls\":[true,false,true,true],\"worth_without\":[0.5,0.0,0.5,0.0],\
         \"meters\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"]}},\
         \"limits\":{{\"retry_after\":true,\"max_retry_after\":1000000}},\
         \"rules\":{{\"answer_slack\":80000,\"cold_from\":0.26,\"warm_after\":17000000,\"fall\":3000000,\
         \"fall_multiple\":8.0,\"stop_sending_within\":2500000}},\"profiles\":[{}]}}",
        profiles.join(",")
    )
}
