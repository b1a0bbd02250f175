//! Starts servers, and waits until all of them are listed.

use super::state::{ServerState, TestCluster};
use crate::config;
use crate::ids::ServerNo;
use crate::process::Process;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// The time within which all servers must be listed, however slow the machine is.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// The state of the worker pool at a server's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PoolStart {
    Warm,
    Cold,
}

/// The configuration that a server is started with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartConfig {
    Valid,
    /// Its listen address is invalid.
    Invalid,
}

impl TestCluster<'_> {
    pub(super) fn start_all(&mut self) -> io::Result<()> {
        let pool = if self.scenario.fleet.starts_cold { PoolStart::Cold } else { PoolStart::Warm };
        for number in self.server_numbers() {
            self.start_server(number, pool, StartConfig::Valid)?;
        }
        Ok(())
    }

    /// Starts a server's next incarnation, with a new worker pool.
    pub(super) fn start_server(
        &mut self,
        number: ServerNo,
        pool: PoolStart,
        start_config: StartConfig,
    ) -> io::Result<()> {
        if self.is_over {
            return Ok(());
        }
        let now = self.now();
        let cold = pool == PoolStart::Cold;
        let service_file = self.write_service_file(number)?;
        let new_pool = self.new_pool(now, cold, Duration::ZERO);
        let server = &mut self.servers[number.0 as usize];
        server.incarnation.0 += 1;
        if let Some(link) = server.link.take() {
            self.testbed.close_after_queued(link);
        }
        server.pool = new_pool;
        (server.draining, server.killed, server.paused) = (false, false, false);
        (server.run_seconds, server.waited) = (0.0, Duration::ZERO);
        server.call_results.clear();
        self.testbed.incarnations[number.0 as usize] = server.incarnation;
        let incarnation = server.incarnation;
        let config_file = self.write_config_for(number, cold, start_config)?;
        let log = self.options.dir.join(format!("{number}.{}.log", incarnation.0));
        let config_file = config_file.to_string_lossy();
        let service_file = service_file.map(|file| file.to_string_lossy().into_owned());
        let mut args = vec!["serve", &*config_file];
        if let Some(service_file) = &service_file {
            args.extend(["--service", service_file]);
        }
        if self.options.keep {
            // `aldercrank-testbench why` reads these logs.
            args.extend(["--json-log", "--log-txns"]);
        }
        let process = Process::start(&self.options.program, &args, &log)?;
        self.server(number).process = Some(process);
        self.totals.starts += 1;
        self.testbed.record.note(now, None, Some(number), || "started".to_string());
        Ok(())
    }

    /// Writes the configuration that a running server reads at a reload.
    pub(super) fn write_config(&mut self, number: ServerNo, start_config: StartConfig) -> io::Result<()> {
        self.write_config_for(number, false, start_config).map(|_| ())
    }

    fn write_config_for(
        &self,
        number: ServerNo,
        cold: bool,
        start_config: StartConfig,
    ) -> io::Result<PathBuf> {
        let config_file = self.options.dir.join(format!("{number}.json"));
        let addresses = &self.servers[number.0 as usize].addresses;
        let mut text = config::server_config(self.scenario, number, cold, addresses);
        if start_config == StartConfig::Invalid {
            text["listen"] = "nowhere".into();
        }
        std::fs::write(&config_file, text.to_string())?;
        Ok(config_file)
    }

    /// Waits until all servers are listed and linked to their pools.
    ///
    /// # Errors
    /// If a server violates an invariant before that, or the start takes longer than `START_TIMEOUT`.
    pub(super) fn await_start(&mut self) -> io::Result<()> {
        self.start_sampling();
        loop {
            self.run_iteration()?;
            let now = self.now();
            let is_ready = |n: usize, server: &ServerState| {
                server.link.is_some() && self.testbed.membership.is_listed(ServerNo(n as u16), now)
            };
            if self.servers.iter().enumerate().all(|(n, server)| is_ready(n, server)) {
                self.totals.start_duration = now;
                return Ok(());
            }
            if let Some(violation) = self.testbed.checker.violations.first() {
                let server = violation.server.clone().unwrap_or_default();
                let log = std::fs::read_to_string(self.options.dir.join(format!("{server}.1.log")));
                let last_line = log.unwrap_or_default().lines().last().unwrap_or_default().to_string();
                return Err(io::Error::other(format!(
                    "{server} did not start: {}; last line of its log: {last_line}",
                    violation.what
                )));
            }
            if now > START_TIMEOUT {
                return Err(io::Error::other(format!(
                    "not all servers were listed and linked to their pools within {START_TIMEOUT:?}"
                )));
            }
        }
    }
}
