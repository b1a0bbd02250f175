//! Parses a service file.

use crate::fault::{Fault, FaultKind};
use crate::reader::Reader;
use crate::service::{
    LogConfig, ReportConfig, ResultConfig, ServiceConfig, StartConfig, VersionedConfigOptions,
};
use kdl::{KdlDocument, KdlNode};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Each result is held in memory at least once, so this limits how much memory one connection can take.
const MAX_RESULT_KB: i128 = 64 * 1024;
/// A shorter backoff would not reduce the load on the membership service.
const MIN_REPORT_BACKOFF_MS: i128 = 250;
/// With a longer backoff, the membership service would no longer know the server.
const MAX_REPORT_BACKOFF_MS: i128 = 60_000;

/// Parses a service file.
///
/// # Errors
/// All faults, in the order of the file.
pub fn parse(text: &str) -> Result<ServiceConfig, Vec<Fault>> {
    let mut reader = Reader::new(text);
    let mut service = ServiceConfig::default();
    let Some(document) = reader.parse_document() else { return Err(reader.into_faults()) };
    reader.nodes(&document, &["results", "reports", "log", "rules", "start"], |reader, node| {
        reader.reject_values(node);
        let Some(children) = reader.children(node) else { return };
        match node.name().value() {
            "reports" => service.reports = reports(reader, children),
            "rules" => service.versioned_config = Some(versioned_config(reader, node, children)),
            "start" => service.start = start(reader, children),
            "log" => service.log = log(reader, children),
            _ => service.results = results(reader, children),
        }
    });
    let faults = reader.into_faults();
    if faults.is_empty() {
        Ok(service)
    } else {
        Err(faults)
    }
}

fn results(reader: &mut Reader, children: &KdlDocument) -> ResultConfig {
    let mut results = ResultConfig::default();
    reader.nodes(children, &["longest-kb"], |reader, child| {
        let longest = reader.integer(child, 1, MAX_RESULT_KB);
        results.max_kb = longest.and_then(|kb| u32::try_from(kb).ok());
    });
    results
}

fn reports(reader: &mut Reader, children: &KdlDocument) -> ReportConfig {
    let mut reports = ReportConfig::default();
    reader.nodes(children, &["longest-ms"], |reader, child| {
        let longest = reader.integer(child, MIN_REPORT_BACKOFF_MS, MAX_REPORT_BACKOFF_MS);
        reports.max_backoff = longest.and_then(|ms| u64::try_from(ms).ok()).map(Duration::from_millis);
    });
    reports
}

fn log(reader: &mut Reader, children: &KdlDocument) -> LogConfig {
    let mut log = LogConfig::default();
    reader.nodes(children, &["json"], |reader, child| {
        log.json = reader.boolean(child).unwrap_or_default();
    });
    log
}

fn start(reader: &mut Reader, children: &KdlDocument) -> StartConfig {
    let mut start = StartConfig::default();
    reader.nodes(children, &["tell-share"], |reader, child| {
        start.report_share = reader.boolean(child).unwrap_or_default();
    });
    start
}

fn versioned_config(reader: &mut Reader, node: &KdlNode, children: &KdlDocument) -> VersionedConfigOptions {
    let mut options = VersionedConfigOptions::default();
    reader.nodes(children, &["book", "dir", "read-list", "reach"], |reader, child| {
        match child.name().value() {
            "book" => options.version_file = reader.string(child, "the name of a file").unwrap_or_default(),
            "dir" => options.state_dir = reader.string(child, "the name of a directory"),
            "read-list" => options.read_proposals = reader.boolean(child).unwrap_or_default(),
            _ => member_addresses(reader, child, &mut options.member_addresses),
        }
    });
    if options.version_file.is_empty() {
        let what = "rules needs book \"FILE\", the file of the initial version";
        reader.record_fault(node.name().span().offset(), FaultKind::Other(what.to_string()));
    }
    options
}

fn member_addresses(reader: &mut Reader, node: &KdlNode, addresses: &mut BTreeMap<String, SocketAddr>) {
    reader.reject_values(node);
    for member in reader.children(node).into_iter().flat_map(KdlDocument::nodes) {
        let Some(text) = reader.string(member, "an IP address with a port") else { continue };
        match text.parse() {
            Ok(address) => drop(addresses.insert(member.name().value().to_string(), address)),
            Err(_) => {
                let offset = member.name().span().offset();
                reader.record_fault(offset, format!("{text:?} is not an IP address with a port"));
            }
        }
    }
}
