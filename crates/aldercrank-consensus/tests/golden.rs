//! Golden files of the messages that servers send one another about the versioned configuration: their MessagePack
//! bytes, the values and names that the bytes hold, and what the receiver decodes. The files are written only if
//! `RECORD_GOLDEN_FILES` is set.

// Support code is private to this test, and some functions are long.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines
)]

#[path = "../../../tests/golden/compare.rs"]
mod compare;

use aldercrank_consensus::messages::ServerSet;
use aldercrank_consensus::{
    AcceptedDecision, Ballot, CommittedState, Decision, Evaluation, PeerRequest, PeerResponse, ProposalTally,
    ServerName, Verdict, VersionId,
};
use serde::Serialize;
use serde_json::{json, Value as Json};
use std::fmt::Write;
use std::time::Duration;

/// Compares a text with the golden file of this name. A failure shows the first line that differs.
fn compare(name: &str, actual: &str) {
    compare::check(&format!("consensus/{name}"), actual);
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A version whose digest counts up from its number, so that a change in the order of its bytes shows.
fn version(number: u64) -> VersionId {
    VersionId { number, digest: std::array::from_fn(|index| (number as u8).wrapping_add(index as u8)) }
}

fn committed(last: u64, number: u64) -> CommittedState {
    CommittedState { last_decided: last, version_id: version(number) }
}

fn ballot() -> Ballot {
    Ballot { round: 300, proposer: Some(ServerName::new("n2")), incarnation: 1_764_748_800_123_456_789 }
}

fn committed_decision(number: u64) -> Decision {
    Decision { version_id: version(number), verdict: Verdict::Committed }
}

fn refused_decision(number: u64, reason: &str) -> Decision {
    Decision { version_id: version(number), verdict: Verdict::Refused(reason.to_string()) }
}

fn server_set(indices: &[usize]) -> ServerSet {
    let mut servers = ServerSet::default();
    indices.iter().for_each(|index| servers.insert(*index));
    servers
}

fn full_tally() -> ProposalTally {
    ProposalTally {
        proposed: Some(version(9)),
        followers: 70_000,
        ready_followers: 128,
        objection: Some("n7: product.rent: this server has no such product".to_string()),
        ready_servers: server_set(&[0, 7, 8, 21]),
        possibly_active_servers: server_set(&[31]),
    }
}

fn requests() -> Vec<PeerRequest> {
    let renew = |last, evaluation: Option<(VersionId, Result<(), String>)>| PeerRequest::Renew {
        from: ServerName::new("n1"),
        last_decided: last,
        evaluation: evaluation.map(Evaluation::from),
    };
    let check = |committed, tally| PeerRequest::Check { from: ServerName::new("n3"), committed, tally };
    vec![
        renew(0, None),
        renew(u64::MAX, Some((version(9), Ok(())))),
        renew(8, Some((version(9), Err("kein Produkt „rent“ \"here\"\n".to_string())))),
        PeerRequest::Renew {
            from: ServerName::new(""),
            last_decided: 127,
            evaluation: Some(Evaluation { version_id: version(250), result: Err(String::new()) }),
        },
        PeerRequest::Renew { from: ServerName::new(&"n".repeat(64)), last_decided: 128, evaluation: None },
        PeerRequest::Fetch { version_id: version(9) },
        PeerRequest::Fetch { version_id: VersionId { number: 0, digest: [255; 32] } },
        check(committed(8, 8), ProposalTally::default()),
        check(committed(9, 8), full_tally()),
        PeerRequest::Prepare { after: 8, ballot: Ballot::default() },
        PeerRequest::Prepare { after: 65_536, ballot: ballot() },
        PeerRequest::Accept { after: 8, ballot: ballot(), decision: committed_decision(9) },
        PeerRequest::Accept {
            after: 8,
            ballot: ballot(),
            decision: refused_decision(9, "its number is used up"),
        },
        PeerRequest::Learn { after: 8, decision: committed_decision(9) },
        PeerRequest::Learn { after: 8, decision: refused_decision(9, "") },
        PeerRequest::Status,
    ]
}

fn responses() -> Vec<PeerResponse> {
    let accepted = |decision| Some(AcceptedDecision { ballot: ballot(), decision });
    let second = Duration::from_secs(1);
    let span = Duration::new(86_400, 999_999_999);
    vec![
        PeerResponse::Lease {
            committed: committed(8, 8),
            age: None,
            committed_for: Duration::ZERO,
            proposed: None,
        },
        PeerResponse::Lease {
            committed: committed(9, 8),
            age: Some(second),
            committed_for: span,
            proposed: Some(version(10)),
        },
        PeerResponse::Text {
            version_id: version(8),
            text: "rules 8 {\n    limits {\n    }\n}\n".to_string(),
        },
        PeerResponse::Text { version_id: version(8), text: "ä".repeat(200) },
        PeerResponse::TextUnknown,
        PeerResponse::Checked {
            committed: committed(8, 8),
            active: false,
            accepted: None,
            tally: ProposalTally::default(),
        },
        PeerResponse::Checked {
            committed: committed(9, 8),
            active: true,
            accepted: accepted(committed_decision(10)),
            tally: full_tally(),
        },
        PeerResponse::Promised { accepted: None },
        PeerResponse::Promised { accepted: accepted(refused_decision(9, "n7 can't go by it")) },
        PeerResponse::Accepted,
        PeerResponse::BallotSuperseded { ballot: ballot() },
        PeerResponse::BallotSuperseded { ballot: Ballot::default() },
        PeerResponse::TextMissing { version_id: version(9) },
        PeerResponse::DifferentState { committed: committed(9, 8) },
        PeerResponse::Unavailable,
        PeerResponse::Acknowledged,
        PeerResponse::Status { text: "{\"server\":\"n1\"}".to_string() },
    ]
}

// Descriptions of decoded messages, which use the names on the wire.

fn describe_version(version: &VersionId) -> String {
    format!("{} with digest {}", version.number, hex(&version.digest))
}

fn describe_proposal(proposed: &Option<VersionId>) -> String {
    proposed.as_ref().map_or("none".to_string(), describe_version)
}

fn describe_committed(committed: &CommittedState) -> String {
    format!("last {}, book {}", committed.last_decided, describe_version(&committed.version_id))
}

fn describe_ballot(ballot: &Ballot) -> String {
    let proposer = ballot.proposer.as_ref().map(|name| name.to_string());
    format!("round {}, by {proposer:?}, life {}", ballot.round, ballot.incarnation)
}

fn describe_decision(decision: &Decision) -> String {
    let verdict = match &decision.verdict {
        Verdict::Committed => "InForce".to_string(),
        Verdict::Refused(reason) => format!("Refused {reason:?}"),
    };
    format!("{verdict} for {}", describe_version(&decision.version_id))
}

fn describe_accepted(accepted: &Option<AcceptedDecision>) -> String {
    let describe = |AcceptedDecision { ballot, decision }: &AcceptedDecision| {
        format!("ballot [{}], decision [{}]", describe_ballot(ballot), describe_decision(decision))
    };
    accepted.as_ref().map_or("none".to_string(), describe)
}

fn describe_servers(servers: &ServerSet) -> String {
    let indices: Vec<usize> = (0..256).filter(|index| servers.contains(*index)).collect();
    format!("{indices:?}")
}

fn describe_tally(tally: &ProposalTally) -> String {
    let (proposed, followers) = (describe_proposal(&tally.proposed), tally.followers);
    let (ready_followers, objection) = (tally.ready_followers, &tally.objection);
    let ready = describe_servers(&tally.ready_servers);
    let possibly_active = describe_servers(&tally.possibly_active_servers);
    format!(
        "draft {proposed}, attached {followers}, hold {ready_followers}, refuses {objection:?}, holders {ready}, \
         loud {possibly_active}"
    )
}

fn describe_evaluation(evaluation: &Option<Evaluation>) -> String {
    let describe = |Evaluation { version_id, result }: &Evaluation| match result {
        Ok(()) => format!("Ok for {}", describe_version(version_id)),
        Err(reason) => format!("Err {reason:?} for {}", describe_version(version_id)),
    };
    evaluation.as_ref().map_or("none".to_string(), describe)
}

fn describe_request(request: &PeerRequest) -> String {
    match request {
        PeerRequest::Renew { from, last_decided, evaluation } => {
            format!(
                "Renew: from {:?}, last {last_decided}, weighed {}",
                from.to_string(),
                describe_evaluation(evaluation)
            )
        }
        PeerRequest::Fetch { version_id } => format!("Fetch: {}", describe_version(version_id)),
        PeerRequest::Check { from, committed, tally } => {
            format!(
                "Check: from {from}, standing [{}], tally [{}]",
                describe_committed(committed),
                describe_tally(tally)
            )
        }
        PeerRequest::Prepare { after, ballot } => {
            format!("Prepare: after {after}, ballot [{}]", describe_ballot(ballot))
        }
        PeerRequest::Accept { after, ballot, decision } => {
            let (ballot, decision) = (describe_ballot(ballot), describe_decision(decision));
            format!("Accept: after {after}, ballot [{ballot}], decision [{decision}]")
        }
        PeerRequest::Learn { after, decision } => {
            format!("Learn: after {after}, decision [{}]", describe_decision(decision))
        }
        PeerRequest::Status => "Status".to_string(),
    }
}

fn describe_response(response: &PeerResponse) -> String {
    match response {
        PeerResponse::Lease { committed, age, committed_for, proposed } => {
            let (committed, proposed) = (describe_committed(committed), describe_proposal(proposed));
            format!("Lease: standing [{committed}], age {age:?}, stood {committed_for:?}, draft {proposed}")
        }
        PeerResponse::Text { version_id, text } => {
            format!("Text: {}, text {text:?}", describe_version(version_id))
        }
        PeerResponse::TextUnknown => "NoText".to_string(),
        PeerResponse::Checked { committed, active, accepted, tally } => {
            let (committed, tally) = (describe_committed(committed), describe_tally(tally));
            let accepted = describe_accepted(accepted);
            format!("Checked: standing [{committed}], sound {active}, accepted {accepted}, tally [{tally}]")
        }
        PeerResponse::Promised { accepted } => format!("Promised: accepted {}", describe_accepted(accepted)),
        PeerResponse::Accepted => "Accepted".to_string(),
        PeerResponse::BallotSuperseded { ballot } => format!("Outbid: ballot [{}]", describe_ballot(ballot)),
        PeerResponse::TextMissing { version_id } => format!("Lacks: {}", describe_version(version_id)),
        PeerResponse::DifferentState { committed } => {
            format!("Elsewhere: standing [{}]", describe_committed(committed))
        }
        PeerResponse::Unavailable => "Silent".to_string(),
        PeerResponse::Acknowledged => "Fine".to_string(),
        PeerResponse::Status { text } => format!("Status: {text:?}"),
    }
}

/// Decodes a message and describes it.
type ReadMessage = fn(&[u8]) -> String;

/// Describes a request. Servers do not pass the decoder's error on, so only the fact that there is one is recorded.
fn read_request(bytes: &[u8]) -> String {
    rmp_serde::from_slice::<PeerRequest>(bytes)
        .map_or("not readable".to_string(), |request| describe_request(&request))
}

fn read_response(bytes: &[u8]) -> String {
    rmp_serde::from_slice::<PeerResponse>(bytes)
        .map_or("not readable".to_string(), |response| describe_response(&response))
}

fn read_notification(bytes: &[u8]) -> String {
    let read = rmp_serde::from_slice::<Option<VersionId>>(bytes);
    read.map_or("not readable".to_string(), |proposed| format!("draft {}", describe_proposal(&proposed)))
}

/// Writes a message's bytes, the values and names that they hold, and what the receiver decodes. Checks that no proper
/// prefix of the bytes can be decoded.
fn write_message(out: &mut String, title: &str, message: &impl Serialize, read: ReadMessage) {
    let bytes = rmp_serde::to_vec(message).unwrap();
    let values: Json = rmp_serde::from_slice(&bytes).unwrap();
    let _ = writeln!(out, "{title}\n  bytes {}\n  holds {values}\n  read  {}\n", hex(&bytes), read(&bytes));
    for length in 0..bytes.len() {
        assert_eq!(read(&bytes[..length]), "not readable", "{title} cut to {length} bytes");
    }
}

#[test]
fn messages_between_servers_are_as_recorded() {
    let mut out = String::new();
    for request in requests() {
        let bytes = rmp_serde::to_vec(&request).unwrap();
        assert_eq!(rmp_serde::from_slice::<PeerRequest>(&bytes).unwrap(), request);
        write_message(&mut out, "request", &request, read_request);
    }
    for response in responses() {
        let bytes = rmp_serde::to_vec(&response).unwrap();
        assert_eq!(rmp_serde::from_slice::<PeerResponse>(&bytes).unwrap(), response);
        write_message(&mut out, "response", &response, read_response);
    }
    for proposed in [None, Some(version(9)), Some(version(u64::MAX))] {
        write_message(&mut out, "notification", &proposed, read_notification);
    }
    compare("messages.txt", &out);
}

/// Requests as another implementation might encode them, built without the types of this crate. Some are invalid.
fn odd_requests() -> Vec<Json> {
    let digest: Vec<u8> = (0..32).collect();
    let version_id = json!([9, digest]);
    let long_digest = [&digest[..], &[1]].concat();
    let tally = json!([null, 0, 0, null, [], []]);
    vec![
        json!({"Renew": {"from": "n1", "last": 3, "weighed": null}}),
        json!({"Renew": {"from": "n1", "last": 3}}),
        json!({"Renew": {"from": "n1", "last": 3, "weighed": null, "later": 1}}),
        json!({"Renew": ["n1", 3, [version_id, {"Ok": null}]]}),
        json!({"Renew": ["n1", 3, [version_id, {"Err": "why"}]]}),
        json!({"Renew": ["n1", 3, [version_id, {"Ok": 1}]]}),
        json!({"Renew": ["n1", 3, [version_id, "Ok"]]}),
        json!({"Renew": ["n1", 3, [version_id, {"Perhaps": null}]]}),
        json!({"Renew": ["n1", 3, [{"number": 9, "digest": digest}, {"Ok": null}]]}),
        json!({"Renew": [["n1"], 3, null]}),
        json!({"Renew": [7, 3, null]}),
        json!({"Renew": ["n1", -1, null]}),
        json!({"Renew": ["n1", 3.0, null]}),
        json!({"Renew": ["n1", "3", null]}),
        json!({"Renew": ["n1", 3]}),
        json!({"Renew": ["n1", 3, null, 4]}),
        json!({"renew": ["n1", 3, null]}),
        json!({"Fetch": [version_id], "Status": null}),
        json!({"Fetch": version_id}),
        json!({"Fetch": {"stamp": version_id}}),
        json!({"Fetch": [[9, &digest[..31]]]}),
        json!({"Fetch": [[9, long_digest]]}),
        json!({"Fetch": [[9, vec![256; 32]]]}),
        json!({"Check": ["n1", [8, version_id], tally]}),
        json!({"Check": {"from": "n1", "standing": {"last": 8, "book": version_id}, "tally": {"draft": null,
            "attached": 1, "hold": 2, "refuses": "x", "holders": [3], "loud": [0, 255]}}}),
        json!({"Check": ["n1", [8, version_id], [null, 4294967296u64, 0, null, [], []]]}),
        json!({"Check": ["n1", [8, version_id], [null, 0, 0, null, [256], []]]}),
        json!({"Check": ["n1", [8, version_id], [null, 0, 0, null, [[1]], []]]}),
        json!({"Prepare": [8, {"round": 1, "by": "n1", "life": 2}]}),
        json!({"Accept": [8, [1, "n1", 2], [version_id, {"InForce": null}]]}),
        json!({"Accept": {"after": 8, "ballot": [1, null, 2],
            "decision": {"stamp": version_id, "verdict": {"Refused": "why"}}}}),
        json!({"Accept": [8, [1, null, 2], [version_id, "Refused"]]}),
        json!({"Accept": [8, [1, null, 2], [version_id, "Withdrawn"]]}),
        json!({"Learn": {"after": 8, "decision": [version_id, "InForce"]}}),
        json!({"Status": null}),
        json!({"Status": []}),
        json!({"Status": 4}),
        json!(["Status"]),
        json!("Renew"),
        json!("Later"),
        json!(0),
        json!(6),
        json!(7),
        json!(null),
        json!([]),
        json!({}),
    ]
}

/// Responses as another implementation might encode them. Some are invalid.
fn odd_responses() -> Vec<Json> {
    let digest: Vec<u8> = (0..32).collect();
    let version_id = json!([9, digest]);
    let committed = json!([9, version_id]);
    vec![
        json!({"Lease": {"standing": committed, "age": [1, 5], "stood": [2, 0], "draft": null}}),
        json!({"Lease": [committed, {"secs": 1, "nanos": 5}, [2, 0], null]}),
        json!({"Lease": [committed, null, [2, 4_000_000_000u32], null]}),
        json!({"Lease": [committed, null, [u64::MAX, 1_000_000_000], null]}),
        json!({"Lease": [committed, null, [1, -1], null]}),
        json!({"Lease": [committed, null, 2, null]}),
        json!({"Lease": [committed, null, [2, 0]]}),
        json!({"Text": {"stamp": version_id, "text": "rules"}}),
        json!({"Text": [version_id, null]}),
        json!({"Checked": {"standing": committed, "sound": true, "accepted": null,
            "tally": [null, 0, 0, null, [], []]}}),
        json!({"Checked": [committed, 1, null, [null, 0, 0, null, [], []]]}),
        json!({"Promised": {"accepted": [[1, "n1", 2], [version_id, "InForce"]]}}),
        json!({"Promised": null}),
        json!({"Promised": [null]}),
        json!({"Outbid": {"ballot": [1, "n1", 2]}}),
        json!({"Lacks": {"stamp": version_id}}),
        json!({"Elsewhere": {"standing": committed}}),
        json!({"Status": {"text": "{}"}}),
        json!({"Status": "{}"}),
        json!({"Accepted": null}),
        json!("NoText"),
        json!("accepted"),
        json!("Lease"),
        json!(2),
        json!(11),
        json!(12),
    ]
}

/// Notifications as another implementation might encode them. Some are invalid.
fn odd_notifications() -> Vec<Json> {
    let digest: Vec<u8> = (0..32).collect();
    vec![
        json!({"number": 9, "digest": digest}),
        json!({"digest": digest, "number": 9}),
        json!({"number": 9}),
        json!([9]),
        json!([9, digest, 1]),
        json!([9, &digest[..31]]),
        json!(9),
        json!([]),
        json!(false),
    ]
}

/// Byte sequences that the encoding of a JSON value never yields.
fn odd_bytes() -> Vec<(&'static str, Vec<u8>)> {
    let status = [&[0xa6][..], b"Status"].concat();
    vec![
        ("nothing", vec![]),
        ("a reserved marker", vec![0xc1]),
        ("a value with bytes behind it", [&status[..], &[0xc1]].concat()),
        ("a name as a longer form of text", [&[0xd9, 6][..], b"Status"].concat()),
        ("a name as binary", [&[0xc4, 6][..], b"Status"].concat()),
        ("a name that is no UTF-8", vec![0xa2, 0xc3, 0x28]),
        ("variants by their places: 1 with nothing", vec![0x81, 1, 0x90]),
        ("variants by their places: 6 with nil", vec![0x81, 6, 0xc0]),
        ("variants by their places: 9 with nil", vec![0x81, 9, 0xc0]),
        ("a text without end", vec![0xdb, 0xff, 0xff, 0xff, 0xff]),
        ("a list without end", [&[0x81, 0xa5][..], b"Renew", &[0xdd, 0xff, 0xff, 0xff, 0xff]].concat()),
        ("deeply nested", vec![0x91; 5000]),
    ]
}

#[test]
fn odd_and_malformed_messages_are_read_as_recorded() {
    let mut out = String::new();
    let kinds: [(&str, Vec<Json>, ReadMessage); 3] = [
        ("request", odd_requests(), read_request),
        ("response", odd_responses(), read_response),
        ("notification", odd_notifications(), read_notification),
    ];
    for (kind, values, read) in kinds {
        for value in values {
            let bytes = rmp_serde::to_vec(&value).unwrap();
            let _ = writeln!(out, "{kind} {value}\n  bytes {}\n  read  {}\n", hex(&bytes), read(&bytes));
        }
        for (title, bytes) in odd_bytes() {
            let shown = &bytes[..bytes.len().min(16)];
            let (length, read) = (bytes.len(), read(&bytes));
            let _ = writeln!(out, "{kind}: {title}\n  {length} bytes {}\n  read  {read}\n", hex(shown));
        }
    }
    compare("messages-odd.txt", &out);
}
