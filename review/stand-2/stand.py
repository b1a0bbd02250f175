"""Stand-ins for everything that a backend connects to, and a small record of what they saw.

One process plays the edge nodes, the worker pool, the index and the membership service on loopback addresses, and
starts the backend with the `run` line of the deploy file. All times are seconds of Unix time.
"""
import asyncio
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run: exit code 2."""


# MessagePack, as far as the protocol needs it.

def pack(value):
    if value is None:
        return b"\xc0"
    if value is True or value is False:
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        if value < 128:
            return bytes([value])
        return b"\xcd" + struct.pack(">H", value) if value < 65536 else b"\xce" + struct.pack(">I", value)
    if isinstance(value, str):
        raw = value.encode()
        return (bytes([0xA0 | len(raw)]) if len(raw) < 32 else b"\xd9" + bytes([len(raw)])) + raw
    if isinstance(value, bytes):
        return (b"\xc4" + bytes([len(value)]) if len(value) < 256 else b"\xc5" + struct.pack(">H", len(value))) + value
    if isinstance(value, (list, tuple)):
        return bytes([0x90 | len(value)]) + b"".join(map(pack, value))
    if isinstance(value, dict):
        return bytes([0x80 | len(value)]) + b"".join(pack(k) + pack(v) for k, v in value.items())
    raise TypeError(value)


class Incomplete(Exception):
    pass


def unpack(data, at):
    def need(n):
        if at + n > len(data):
            raise Incomplete
    need(1)
    b = data[at]
    at += 1

    def number(fmt, size):
        nonlocal at
        need(size)
        (n,) = struct.unpack_from(">" + fmt, data, at)
        at += size
        return n

    def raw(n):
        nonlocal at
        need(n)
        got = bytes(data[at:at + n])
        at += n
        return got

    def items(n):
        nonlocal at
        got = []
        for _ in range(n):
            item, at = unpack(data, at)
            got.append(item)
        return got

    if b < 0x80:
        return b, at
    if b < 0x90:
        flat = items(2 * (b & 15))
        return dict(zip(flat[::2], flat[1::2])), at
    if b < 0xA0:
        return items(b & 15), at
    if b < 0xC0:
        return raw(b & 31).decode(), at
    if b in (0xC0, 0xC2, 0xC3):
        return {0xC0: None, 0xC2: False, 0xC3: True}[b], at
    if b in (0xC4, 0xC5, 0xC6):
        return raw(number(*{0xC4: ("B", 1), 0xC5: ("H", 2), 0xC6: ("I", 4)}[b])), at
    if b in (0xCC, 0xCD, 0xCE, 0xCF):
        return number(*{0xCC: ("B", 1), 0xCD: ("H", 2), 0xCE: ("I", 4), 0xCF: ("Q", 8)}[b]), at
    if b in (0xD9, 0xDA, 0xDB):
        return raw(number(*{0xD9: ("B", 1), 0xDA: ("H", 2), 0xDB: ("I", 4)}[b])).decode(), at
    if b in (0xDC, 0xDD):
        return items(number(*{0xDC: ("H", 2), 0xDD: ("I", 4)}[b])), at
    if b in (0xDE, 0xDF):
        flat = items(2 * number(*{0xDE: ("H", 2), 0xDF: ("I", 4)}[b]))
        return dict(zip(flat[::2], flat[1::2])), at
    raise ValueError(f"byte {b:#x}")


class Request:
    """One try. `answer` is (kind, result) with kind `served`, `refused`, `failed` or `lost`."""

    def __init__(self, cls, body, budget_ms, token=None, obj=None, mem=20.0, prio=0.5, known=True):
        self.rid = "%016x" % random.getrandbits(64)
        self.cls, self.body, self.budget_ms = cls, body, budget_ms
        self.token, self.obj, self.mem, self.prio = token, obj, mem, prio
        self.known = known  # whether the worker pool knows this id
        self.t0 = self.written_at = None
        self.answer = self.answered_at = self.gone_at = None
        self.answers = 0
        self.fields = {}
        self.runs = []  # of this try: Run
        self.done = asyncio.get_event_loop().create_future()

    @property
    def over(self):
        return self.answer is not None or self.gone_at is not None

    def finish(self, kind, result=None):
        self.answers += 1
        if self.answer is None:
            self.answer, self.answered_at = (kind, result), time.time()
            if not self.done.done():
                self.done.set_result(self.answer)


class Run:
    def __init__(self, request):
        self.request = request
        self.started_at = time.time()
        self.ended_at = None
        self.end = None
        self.result = None
        self.calls = []
        self.reply = None
        self.task = None


class Record:
    """Writes `record.txt`."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.time()

    def __call__(self, line):
        self.file.write(f"{time.time() - self.start:9.3f} {line}\n")
        self.file.flush()


class EdgeConnection:
    def __init__(self, world, reader, writer, name):
        self.world, self.reader, self.writer, self.name = world, reader, writer, name
        self.next_id = 1
        self.open = {}
        self.closing = False
        self.ended = False
        self.task = asyncio.ensure_future(self.read())

    def send(self, request):
        world = self.world
        request.t0 = request.written_at = time.time()
        world.requests[request.rid] = request
        fields = {"rid": request.rid, "t0": str(int(request.t0 * 1000)), "peer": "1", "mem": str(request.mem),
                  "prio": "%.4f" % request.prio}
        if request.budget_ms is not None:
            fields["budget"] = str(request.budget_ms)
        if request.token is not None:
            fields["token"] = request.token
        if request.obj is not None:
            fields["obj"] = request.obj
        call = self.next_id
        self.next_id += 1
        self.open[call] = request
        request.call = call
        self.writer.write(pack([0, call, request.cls, [fields, request.body]]))
        world.note(request, "written")
        return request

    def interrupt(self, request):
        if self.open.pop(request.call, None) is not None:
            request.gone_at = time.time()
            self.writer.write(pack([2, "interrupt", [request.call]]))
            self.world.note(request, "interrupt")

    def check(self):
        call = self.next_id
        self.next_id += 1
        future = asyncio.get_event_loop().create_future()
        self.open[call] = future
        self.writer.write(pack([0, call, "check", [{}]]))
        return future

    async def read(self):
        data = bytearray()
        try:
            while True:
                got = await self.reader.read(65536)
                if not got:
                    break
                data += got
                while data:
                    try:
                        message, at = unpack(data, 0)
                    except Incomplete:
                        break
                    del data[:at]
                    self.message(message)
        except OSError:
            pass
        self.ended = True
        for call, request in list(self.open.items()):
            if isinstance(request, Request):
                request.finish("lost")
                self.world.note(request, "connection ended without an answer")
            elif not request.done():
                request.set_result(None)
        self.open.clear()
        self.writer.close()

    def message(self, message):
        if message[0] == 2:
            if message[1] == "closing":
                self.closing = True
                if not self.open:
                    self.writer.close()
            return
        _, call, error, result = message
        request = self.open.pop(call, None)
        if request is None:
            return
        if not isinstance(request, Request):
            if not request.done():
                request.set_result(result)
        elif error is None:
            request.finish("served", result[0])
            self.world.note(request, f"served {result[0][:60]!r}")
        else:
            kind = "refused" if error[0] == "Overloaded" else "failed"
            request.fields = error[1] if len(error) > 1 else {}
            request.finish(kind)
            self.world.note(request, f"{kind} {request.fields}")
        if self.closing and not self.open:
            self.writer.close()


class Pool:
    """The worker pool. `work(request)` returns the seconds that a run takes, `calls(request)` how many calls it makes."""

    def __init__(self, world, work, calls=lambda request: 0):
        self.world, self.work, self.calls = world, work, calls
        self.started_at = time.time()
        self.notices = []
        self.link = None
        self.running = {}
        self.waiting = {}
        self.runs = []
        self.halted = set()
        self.servers = []
        self.commands_seen = 0
        self.hold_commands = 0.0  # seconds that a command lies unread
        self.refuses = lambda: False

    async def listen(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def notice(self, make, body=b""):
        number = len(self.notices) + 1
        line = make(number).encode() + b"\r\n" + (body + b"\r\n" if body is not None else b"")
        self.notices.append(line)
        if self.link is not None:
            self.link.write(line)

    async def accept(self, reader, writer):
        bound = False
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                words = line.decode().split()
                body = None
                if words[0] in ("spawn", "supply"):
                    length = int(words[-1])
                    body = (await reader.readexactly(length + 2))[:-2]
                if self.hold_commands:
                    await asyncio.sleep(self.hold_commands)
                if words[0] == "bind":
                    if self.link is not None and self.link is not writer:
                        self.link.close()
                    self.link, bound = writer, True
                    age = int((time.time() - self.started_at) * 1000)
                    writer.write(f"bound warm {age}\r\n".encode())
                    self.world.record(f"pool: bound from notice {words[1]}")
                    for notice in self.notices[int(words[1]):]:
                        writer.write(notice)
                elif bound and self.link is writer:
                    self.command(words, body, writer)
                elif bound:
                    break
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            if self.link is writer:
                self.link = None
                self.world.record("pool: link ended")
            writer.close()

    def break_link(self):
        if self.link is not None:
            self.link.transport.abort()

    def command(self, words, body, writer):
        name = words[0]
        if name == "poll":
            on_cores = sum(1 for run in self.running.values() if run.request.rid not in self.waiting)
            busy = min(1.0, on_cores / max(1, self.world.cores))
            writer.write(f"polled {words[1]} {busy:.2f} {on_cores} 0.1 5\r\n".encode())
            return
        rid = words[1]
        request = self.world.requests.get(rid)
        if name == "spawn":
            if request is None or not request.known or request.cls != words[2] or request.body != body:
                writer.write(f"unknown spawn {rid}\r\n".encode())
                return
            if rid in self.running:
                return
            if request.over:
                self.world.note(request, "spawn after its end: void")
                self.notice(lambda n: f"finished {n} {rid} void 0 0")
                return
            run = Run(request)
            request.runs.append(run)
            self.runs.append(run)
            self.running[rid] = run
            self.world.note(request, f"run {len(request.runs)} starts")
            run.task = asyncio.ensure_future(self.run(run))
        elif name == "suspend":
            run = self.running.get(rid)
            if run is not None and rid not in self.waiting:
                run.task.cancel()
                self.end(run, "halted", b"")
        elif name == "supply":
            future = self.waiting.get(rid)
            if future is not None and not future[1].done():
                future[1].set_result(body)
        elif name == "pass":
            future = self.waiting.get(rid)
            if future is not None and future[0] == int(words[2]) and not future[1].done():
                future[1].set_result(None)

    def end(self, run, end, result):
        rid = run.request.rid
        run.ended_at, run.end, run.result = time.time(), end, result
        self.running.pop(rid, None)
        self.waiting.pop(rid, None)
        took = int((run.ended_at - run.started_at) * 1000)
        self.world.note(run.request, f"run ends: {end}")
        self.notice(lambda n: f"finished {n} {rid} {end} {took} {len(result)}", result)

    async def run(self, run):
        request = run.request
        calls = self.calls(request)
        seconds = self.work(request) / (calls + 1)
        await asyncio.sleep(seconds)
        for call in range(calls):
            if request.over:
                return self.end(run, "halted", b"")
            number = len(self.notices) + 1
            body = f"call {call} of {request.rid}".encode()
            future = asyncio.get_event_loop().create_future()
            self.waiting[request.rid] = (number, future)
            self.notice(lambda n: f"blocked {n} {request.rid} {len(body)}", body)
            while not future.done():
                await asyncio.wait([future], timeout=0.05)
                if request.over and not future.done():
                    return self.end(run, "halted", b"")
            self.waiting.pop(request.rid, None)
            run.calls.append(future.result())
            await asyncio.sleep(seconds)
        result = f"{request.cls} {request.obj or request.token or request.rid} run {len(self.runs)} of {request.rid}"
        self.end(run, "ok", result.encode())


class Http:
    """An HTTP server: `answer(method, path, headers, body)` returns bytes to write, or None to close without them."""

    def __init__(self, answer):
        self.answer = answer
        self.servers = []

    async def listen(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *rest = head.split("\r\n")
                headers = dict((line.split(":", 1)[0].lower(), line.split(":", 1)[1].strip()) for line in rest if line)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, path, _ = first.split(" ")
                reply = await self.answer(method, path, headers, body)
                if reply is None:
                    break
                writer.write(reply)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


def http_reply(status, body=b"", extra=""):
    return f"HTTP/1.1 {status} -\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Relay:
    """A relay between edge nodes and the backend. While it is cut, bytes and ends wait on the way, in both directions."""

    def __init__(self, address):
        self.address = address
        self.open = asyncio.Event()
        self.open.set()

    async def listen(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        return "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        host, port = self.address.split(":")
        await self.open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
        except OSError:
            pass
        await self.open.wait()
        writer.close()


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def settings(classes, **info):
    """Settings like those of a small deployment. `classes` are entries of `profiles`."""
    family = {"cores": 2, "memory_kb": 20000.0, "run_factor": 4.0, "key_kb": 20.0, "cold": False, "advert": "none",
              "halt": "none", "cancel_seen": True, "passes_deadline": True, "readiness": False, "below": "shared",
              "calls_out": 8.0, "calls_over": 5000000, "linger": 200000, "fresh_for": 0, "idle": 30000000,
              "upstreams": 3, "heeded": 1000000, "deep_checks": False,
              "class_calls": [False for _ in classes], "worth_without": [0.0 for _ in classes],
              "meters": ["cpu_busy", "runnable", "mem_used", "sockets"]}
    family.update(info)
    return {"family": "server", "family_info": family, "limits": {"retry_after": True, "max_retry_after": 1000000},
            "rules": {"answer_slack": 60000, "cold_from": 0.25, "warm_after": 15000000, "fall": 2000000,
                      "fall_multiple": 5.0, "stop_sending_within": 2000000},
            "profiles": classes, "tenants": [], "tick": 2000, "peers_total": 12, "value_by": "request",
            "callers": {"marks_retry": False}}


def profile(name, effect, goal_s, give_up_s, window_s=5.0, points=1.0, late=0.2):
    return {"name": name, "effect": effect, "goal_time": int(goal_s * 1e6), "give_up": int(give_up_s * 1e6),
            "points": points, "late_worth": late, "window": int(window_s * 1e6)}


class World:
    def __init__(self, record_path, settings, work, calls=lambda request: 0, index=None, stop_ms=3200):
        self.record = Record(record_path)
        self.settings = settings
        self.cores = settings["family_info"]["cores"]
        self.requests = {}
        self.pool = Pool(self, work, calls)
        self.index_calls = []
        self.index = Http(index or self.index_ok)
        self.reports = []
        self.members = Http(self.report)
        self.process = None
        self.stop_ms = stop_ms
        self.directory = tempfile.TemporaryDirectory(prefix="review-2-")
        self.connections = []

    def note(self, request, what):
        self.record(f"{request.cls} {request.rid} {request.token or request.obj or ''}: {what}")

    async def index_ok(self, method, path, headers, body):
        self.index_calls.append((time.time(), headers.get("x-parent-id"), body))
        await asyncio.sleep(0.02)
        return http_reply(200, b"reply to " + body)

    async def report(self, method, path, headers, body):
        self.reports.append((time.time(), json.loads(body)))
        return http_reply(204)

    def write_config(self):
        config = {"name": "n1", "listen": self.listen, "pool": self.pool_address, "members": self.members_address,
                  "index": self.index_address, "seed": "8c1f30d27a5be964", "stop_ms": self.stop_ms,
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 384}, "settings": self.settings}
        path = os.path.join(self.directory.name, "config.json")
        with open(path + ".new", "w") as file:
            json.dump(config, file)
        os.rename(path + ".new", path)
        return path

    async def start(self):
        self.pool_address = await self.pool.listen()
        self.index_address = await self.index.listen()
        self.members_address = await self.members.listen()
        self.listen = "127.0.0.1:%d" % free_port()
        await self.start_server()

    async def start_server(self):
        path = self.write_config()
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            run = re.search(r'^run\s*=\s*"(.*)"', file.read(), re.M).group(1)
        environment = dict(os.environ, ROUTER_NAME="n1", ROUTER_LISTEN=self.listen, ROUTER_CONFIG=path,
                           TMPDIR=self.directory.name)
        self.log = open(os.path.join(self.directory.name, "log.txt"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
            stderr=self.log)
        for _ in range(300):
            if self.process.returncode is not None:
                break
            try:
                connection = await self.connect()
                result = await asyncio.wait_for(connection.check(), 1)
                connection.writer.close()
                if result and result[0] is True:
                    self.record("backend serves")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the backend did not serve within 30 s: " + self.log_text()[-500:])

    def log_text(self):
        with open(os.path.join(self.directory.name, "log.txt"), errors="replace") as file:
            return file.read()

    def signal(self, number):
        self.record(f"signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def connect(self, name="edge", address=None):
        host, port = (address or self.listen).split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        connection = EdgeConnection(self, reader, writer, name)
        self.connections.append(connection)
        return connection

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()
        for run in self.pool.runs:
            if run.task is not None:
                run.task.cancel()
        self.directory.cleanup()


async def bounded(case):
    """Runs the case for 118 s at most. A signal to end cancels it, so that it ends what it started."""
    task = asyncio.ensure_future(case())
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, 118)


def main(case, record_path):
    """Runs `case()`, a coroutine that returns the faults found as texts; exits with 0, 1 or 2."""
    try:
        faults = asyncio.run(bounded(case))
    except (Exception, asyncio.CancelledError) as error:  # whatever keeps the case from its verdict
        print(f"could not run: {error!r}")
        sys.exit(2)
    for fault in faults:
        print(fault)
    with open(record_path, "a") as file:
        file.write("\n".join(["verdict: broken" if faults else "verdict: held", *faults]) + "\n")
    sys.exit(1 if faults else 0)
