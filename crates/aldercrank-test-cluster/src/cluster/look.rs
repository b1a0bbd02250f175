//! Looks at processes from outside: ends, noise, sizes, who is listed.

use super::*;

impl TestCluster<'_> {
    /// Looks for processes that have ended, and at what was waited for a core.
    pub(super) fn look(&mut self, now: Duration) -> io::Result<()> {
        let mut servers = Vec::with_capacity(self.servers.len());
        for n in 0..self.servers.len() {
            let server = &mut self.servers[n];
            if let Some(process) = &server.process {
                server.waited = process::waited(process.pid()).1.max(server.waited);
            }
            servers.push(server.waited);
        }
        let own = process::on_core("/proc/thread-self/schedstat").1;
        self.testbed.checker.scheduling_delay_sampled(now, own + self.turns, servers);
        for n in 0..self.servers.len() {
            let number = ServerNo(n as u16);
            let server = &mut self.servers[n];
            let Some(code) = server.process.as_mut().and_then(Process::ended) else { continue };
            server.process = None;
            let (incarnation, killed, again) = (server.incarnation, server.killed, server.again);
            self.testbed
                .checker
                .process_exited(now, ProcessExit { server: number, incarnation, code, killed });
            self.testbed.record.note(now, None, Some(number), || format!("ended with {code:?}"));
            if std::mem::take(&mut self.servers[n].again) || again {
                self.testbed.set_timer(now + AGAIN, Timer::StartServer(number));
            }
        }
        let up = self.servers.iter().filter(|s| s.process.is_some() && !s.stopped).count();
        let view = self.testbed.membership.listed_servers(now);
        let listed = view.len();
        self.note_listed(now, view);
        let held = self.index.open_call_seconds(now);
        let in_hand = held - std::mem::replace(&mut self.clock_held, held);
        let second = self.testbed.record.second(now);
        (second.up, second.listed) = (up, listed);
        second.in_hand += in_hand;
        Ok(())
    }

    /// Who has come into the list, and who has left it though it runs.
    pub(super) fn note_listed(&mut self, now: Duration, view: Vec<ServerNo>) {
        if self.over {
            return;
        }
        let view: BTreeSet<ServerNo> = view.into_iter().collect();
        let list = &mut self.outcome.list;
        if list.all_listed_s.is_none() && view.len() == self.servers.len() {
            list.all_listed_s = Some(now.as_secs_f64());
        }
        let runs = |n: &&ServerNo| {
            let server = &self.servers[n.0 as usize];
            server.process.is_some() && !server.leaving && !server.stopped
        };
        list.flaps += self.outcome.listed.difference(&view).filter(runs).count() as u64;
        self.outcome.listed = view;
    }

    /// Looks at what is bounded: memory, descriptors, the crowd on the cores, the index's calls.
    pub(super) fn sizes(&mut self, now: Duration) {
        let fleet = &self.scenario.fleet;
        for n in 0..self.servers.len() {
            let number = ServerNo(n as u16);
            let server = &mut self.servers[n];
            let Some(process) = &server.process else { continue };
            let (kb, descriptors) = process::size(process.pid());
            self.outcome.memory = self.outcome.memory.max(kb);
            self.outcome.descriptors = self.outcome.descriptors.max(descriptors);
            let checker = &mut self.testbed.checker;
            if kb as f64 > fleet.memory_mb * 1000.0 {
                checker.record_violation(
                    now,
                    Rule::Fall,
                    None,
                    Some(number),
                    format!("{kb} KB of memory, over its limit"),
                );
            }
            if descriptors > fleet.sockets {
                let what = format!("{descriptors} descriptors, over its limit");
                checker.record_violation(now, Rule::Fall, None, Some(number), what);
            }
            let crowd =
                server.pool.run_seconds - std::mem::replace(&mut server.crowd, server.pool.run_seconds);
            let most = fleet.cores * (1.0 + (config::FALL - 1.0) * server.pool.warmth(now));
            if crowd > most * SIZES.as_secs_f64() * 1.5 {
                let what = format!("{crowd:.1} runs on its cores on average, over {most:.1}");
                checker.record_violation(now, Rule::Fall, None, Some(number), what);
            }
        }
        let over = config::CALLS_OVER.as_secs() as usize;
        let seconds = &self.testbed.record.seconds;
        if seconds.len() > over {
            let last = &seconds[seconds.len() - 1 - over..seconds.len() - 1];
            let mean = last.iter().map(|s| s.in_hand).sum::<f64>() / over as f64;
            let strict =
                self.scenario.sabotage == Some(InjectedViolation::Overrun) && !self.broken_on_purpose;
            let limit = if strict { 0.0 } else { self.index.settings().limit };
            if mean > limit {
                self.broken_on_purpose |= strict;
                let what = format!("{mean:.1} calls in hand at the index on average, over {limit}");
                self.testbed.checker.record_violation(now, Rule::Fall, None, None, what);
            }
        }
        if self.play.verbose {
            self.say_second(now);
        }
    }

    pub(super) fn say_second(&mut self, now: Duration) {
        let second = self.testbed.record.since(now).as_secs() as usize;
        let Some(s) = second.checked_sub(1).and_then(|n| self.testbed.record.seconds.get(n)) else { return };
        let (sought, got): (f64, f64) = (s.sought.iter().sum(), s.got.iter().sum());
        let ends: Vec<String> = s.ends.iter().map(|(end, n)| format!("{end:?} {n}")).collect();
        eprintln!(
            "{second:>4} s  value {:.2}  up {} listed {}  reports {}  index {:.1}  broken {}  {}",
            if sought > 0.0 { got / sought } else { 1.0 },
            s.up,
            s.listed,
            s.reports,
            s.in_hand,
            self.testbed.checker.counts.broken,
            ends.join(", ")
        );
    }
}
