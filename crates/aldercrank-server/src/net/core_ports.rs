//! The core's ports: how it sends answers, commands to the worker pool and dependency calls.

use super::idle_list::ConnectionUse;
use super::{Net, TimerEvent};
use crate::core::{Ports, ReplyTo, TimerId};
use crate::msgpack_rpc;
use crate::payload::Payload;
use crate::worker_pool::{self, AttemptId, NoticeNumber};
use aldercrank::RequestId;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Implements the core's ports on the sockets of this server.
pub(super) struct SocketPorts(pub(super) Rc<RefCell<Net>>);

impl Ports for SocketPorts {
    fn complete(&mut self, reply_to: ReplyTo, result: Payload) {
        let mut net = self.0.borrow_mut();
        net.edge.mark_used(reply_to, ConnectionUse::Served);
        net.answer(reply_to, |output, fields| {
            let length = result.bytes().len();
            output.append_framing(|bytes| msgpack_rpc::write_result_start(bytes, reply_to.call, length));
            output.append_result(&result);
            output.append_framing(|bytes| msgpack_rpc::write_result_end(bytes, fields));
        });
    }
    fn reject(&mut self, reply_to: ReplyTo, retry_after: Option<Duration>, last: bool) {
        let mut net = self.0.borrow_mut();
        net.edge.mark_used(reply_to, ConnectionUse::Rejected);
        net.answer(reply_to, |output, fields| {
            output.append_framing(|bytes| {
                msgpack_rpc::write_rejected(bytes, reply_to.call, fields, retry_after, last);
            });
        });
    }
    fn fail(&mut self, reply_to: ReplyTo) {
        self.0.borrow_mut().answer(reply_to, |output, fields| {
            output.append_framing(|bytes| msgpack_rpc::write_failed(bytes, reply_to.call, fields));
        });
    }
    fn decided_by_version(&mut self, reply_to: ReplyTo, version: u64) {
        self.0.borrow_mut().edge.set_decided_by(reply_to, version);
    }
    fn start_run(&mut self, attempt: AttemptId, class: &str, body: &Rc<[u8]>) {
        self.0.borrow_mut().pool.start_run(attempt, class, body);
    }
    fn stop_run(&mut self, attempt: AttemptId) {
        self.0.borrow_mut().pool.send(|bytes| worker_pool::write_stop_run(bytes, attempt));
    }
    fn deliver_call_result(&mut self, attempt: AttemptId, reply: &[u8]) {
        self.0.borrow_mut().pool.send(|bytes| worker_pool::write_call_result(bytes, attempt, reply));
    }
    fn skip_call(&mut self, attempt: AttemptId, notice: NoticeNumber) {
        self.0.borrow_mut().pool.send(|bytes| worker_pool::write_skip_call(bytes, attempt, notice));
    }
    fn request_metrics(&mut self, tag: u64) {
        self.0.borrow_mut().pool.send(|bytes| worker_pool::write_metrics_request(bytes, tag));
    }
    fn start_call(&mut self, request_id: RequestId, attempt: AttemptId, body: &[u8], timeout: Duration) {
        self.0.borrow_mut().start_call(request_id, attempt, body, timeout);
    }
    fn cancel_call(&mut self, request_id: RequestId) {
        self.0.borrow_mut().close_call(request_id);
    }
    fn set_health(&mut self, healthy: bool) {
        let mut net = self.0.borrow_mut();
        net.health_changed |= std::mem::replace(&mut net.core_healthy, healthy) != healthy;
    }
    fn close_idle(&mut self, timeout: Duration) {
        let mut net = self.0.borrow_mut();
        let net = &mut *net;
        net.edge.set_idle_timeout(timeout, &mut net.timers);
    }
    fn set_load_hint(&mut self, value: f64) {
        self.0.borrow_mut().edge.set_hint(value);
    }
    fn set_timer(&mut self, timer: TimerId, after: Duration) {
        let mut net = self.0.borrow_mut();
        let due = net.clock.now() + after;
        net.timers.set(TimerEvent::Core(timer), due);
    }
    fn cancel_timer(&mut self, timer: TimerId) {
        self.0.borrow_mut().timers.remove(TimerEvent::Core(timer));
    }
}
