//! Series of signals to a server's process, the bursts of requests around the instants at which its shutdown enters the
//! next phase, and the kill at the stop timeout.

use super::start::{PoolStart, StartConfig};
use super::state::{KilledServer, TestCluster};
use crate::ids::{ClassNo, Incarnation, ServerNo};
use crate::invariant_checker::Rule;
use crate::scenario::{Fault, InjectedViolation, ProcessSignal, SignalSeries};
use crate::testbed::Timer;
use std::io;
use std::time::Duration;

/// The shares of the stop timeout at which a server stops reading requests, and by which it exits at the latest.
const PHASES_OF_STOP_TIMEOUT: [f64; 2] = [0.9, 0.95];
/// The number of bursts before each instant, and after it; one more comes at the instant itself.
const BURST_STEPS: i32 = 3;
/// The time between two bursts.
const BURST_STEP: Duration = Duration::from_millis(1);
/// A server that exits by itself does so this share of the stop timeout before its end. One that is still alive at the
/// end is excused if it waited for a core for at least that long.
const EXIT_MARGIN_OF_STOP_TIMEOUT: f64 = 0.05;

impl TestCluster<'_> {
    /// Sets the timers for the signals of a series, and for the bursts of requests and the kill after its first
    /// SIGTERM.
    pub(super) fn begin_signals(
        &mut self,
        now: Duration,
        step: usize,
        number: ServerNo,
        series: &SignalSeries,
    ) {
        let incarnation = self.server(number).incarnation;
        for index in 0..series.signals.len() {
            let at = now + series.sent_after(index);
            self.testbed.set_timer(at, Timer::SendSignal(step, number, incarnation, index));
        }
        let Some(terminates_after) = series.terminates_after() else { return };
        let terminated_at = now + terminates_after;
        let stop_timeout = self.scenario.fleet.stop_timeout;
        let grace_end = self.scenario.fleet.drain_grace;
        let phases = PHASES_OF_STOP_TIMEOUT.map(|share| stop_timeout.mul_f64(share));
        for instant in std::iter::once(grace_end).chain(phases) {
            for offset in -BURST_STEPS..=BURST_STEPS {
                let shift = BURST_STEP * offset.unsigned_abs();
                let at = terminated_at + instant;
                let at = if offset < 0 { at - shift } else { at + shift };
                self.testbed.set_timer(at, Timer::RequestBurst(number, incarnation));
            }
        }
        let killed_at = terminated_at + stop_timeout + series.paused_while_draining();
        self.testbed.set_timer(killed_at, Timer::KillAtStopTimeout(number, incarnation));
    }

    fn is_current(&self, number: ServerNo, incarnation: Incarnation) -> bool {
        let server = &self.servers[number.0 as usize];
        server.incarnation == incarnation && server.process.is_some() && !self.is_over
    }

    /// Sends one signal of a series, unless the process has exited.
    pub(super) fn send_signal(
        &mut self,
        now: Duration,
        step: usize,
        number: ServerNo,
        incarnation: Incarnation,
        index: usize,
    ) -> io::Result<()> {
        let Fault::Signals(series) = &self.scenario.timeline[step].fault else { return Ok(()) };
        if !self.is_current(number, incarnation) {
            return Ok(());
        }
        let signal = series.signals[index];
        self.testbed.record.note(now, None, Some(number), || format!("sent signal: {signal:?}"));
        match signal {
            ProcessSignal::Reload => self.reload(number, StartConfig::Valid)?,
            ProcessSignal::ReloadInvalid => self.reload(number, StartConfig::Invalid)?,
            ProcessSignal::Terminate => {
                // A paused process gets the signal when it resumes, and its grace period begins then.
                let delivered_after = series.terminates_after().unwrap_or_default();
                let delay = delivered_after.saturating_sub(series.sent_after(index));
                self.terminate(now + delay, number);
            }
            ProcessSignal::Pause => self.pause(now, number, now + series.paused_for()),
            ProcessSignal::Resume => self.resume_paused(now, number),
            ProcessSignal::PoolRestart => {
                self.remove_pool(now, number);
                self.start_cold_pool(now, number)?;
            }
        }
        Ok(())
    }

    fn reload(&mut self, number: ServerNo, config: StartConfig) -> io::Result<()> {
        self.write_config(number, config)?;
        self.server(number).process.iter().for_each(|process| process.reload_config());
        Ok(())
    }

    /// Sends SIGTERM, even to a process that was sent it before.
    fn terminate(&mut self, now: Duration, number: ServerNo) {
        self.server(number).restarts = true;
        if !self.server(number).draining {
            return self.request_shutdown(now, number);
        }
        if !self.violation_is_pending(InjectedViolation::IgnoreTerm) {
            self.server(number).process.iter().for_each(|process| process.request_shutdown());
        }
    }

    /// Writes a request of a random class on each connection that edge nodes use to this incarnation.
    pub(super) fn request_burst(&mut self, now: Duration, number: ServerNo, incarnation: Incarnation) {
        if !self.is_current(number, incarnation) || !self.callers_active {
            return;
        }
        for conn in self.edges.connections_in_use(now, number) {
            let class = self.arrivals.below(self.scenario.classes.len());
            let priority = self.arrivals.unit();
            self.testbed.record.request_arrived(now, class);
            let class = ClassNo(class as u8);
            self.edges.request_on_connection(now, conn, class, priority, &mut self.testbed);
        }
    }

    /// Kills an incarnation that has not exited by its stop timeout, which violates an invariant, and starts the next.
    pub(super) fn kill_at_stop_timeout(
        &mut self,
        now: Duration,
        number: ServerNo,
        incarnation: Incarnation,
    ) -> io::Result<()> {
        self.sample_processes(now);
        if !self.is_current(number, incarnation) {
            return Ok(());
        }
        let stop_timeout = self.scenario.fleet.stop_timeout;
        let checker = &mut self.testbed.checker;
        let waited = checker.scheduling_delay.between(number, now.saturating_sub(stop_timeout), now);
        if waited < stop_timeout.mul_f64(EXIT_MARGIN_OF_STOP_TIMEOUT) {
            let what = "the server was still running at its stop timeout, and was killed";
            checker.record_violation(now, Rule::Drain, None, Some(number), what);
        }
        checker.add_fault_span(number, now.saturating_sub(stop_timeout), now);
        self.kill(number);
        self.killed_this_iteration.push(KilledServer { server: number, at: now });
        self.server(number).restarts = false;
        self.start_server(number, PoolStart::Cold, StartConfig::Valid)
    }
}
