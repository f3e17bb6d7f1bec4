"""A small deployment on loopback addresses, and stand-ins for clients, bricks, the operator and the platform.

The processes under test are the project's own, started with the commands of deploy/system.toml. All stand-ins run in
one asyncio loop of this Python process. Nothing but the standard library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "pathbank-system")

# The figures of the pages' example of a settings file, and of the site ksl-notify.
DRAIN_MS = 2000
CONTACT_MS = 3000
HEARTBEAT_MS = 1200
GRACE_S = 8
THAW_MS = 300


# Deployments whose processes have to be ended, whatever ends the case.
RUNNING = []


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def say(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


class Process:
    """One process of the project."""

    def __init__(self, deployment, name, role, settings):
        self.deployment, self.name, self.role = deployment, name, role
        self.path = os.path.join(deployment.folder, name + ".conf")
        self.settings = settings
        self.child = None
        self.log = open(os.path.join(deployment.folder, name + ".log"), "ab")
        # Moments (record time) of starts, kills and signals.
        self.events = []
        self.write(bootstrap=True)

    def write(self, bootstrap):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(f"node_name={self.name}\nbootstrap={'true' if bootstrap else 'false'}\n{self.settings}")

    def start(self):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PATHBANK_CONFIG"] = self.path
        self.child = subprocess.Popen(
            [PROGRAM, self.role], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )
        self.note("started")
        # Only the very first start of all is a bootstrap.
        self.deployment.later(1.0, lambda: self.write(bootstrap=False))

    def note(self, what):
        self.events.append(self.deployment.record.now())
        self.deployment.record.say(f"process {self.name} {what}")

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.note(signal.Signals(number).name)
            self.child.send_signal(number)

    def ended(self):
        return self.child is None or self.child.poll() is not None

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()
        self.log.close()

    def calm(self, since, until):
        """Whether nothing was done to this process between two moments."""
        return not any(since <= at <= until for at in self.events)


class Deployment:
    """Cores and edges in zones."""

    def __init__(self, record, cores, edges, extra=""):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is missing")
        self.record = record
        RUNNING.append(self)
        self.processes = []
        self.folder = tempfile.mkdtemp(prefix="pathbank-review-")
        self.loop = asyncio.get_event_loop()
        self.net = self.free_network()
        base = 20000 + random.randrange(0, 10000)
        self.control_port, self.internal_port, self.ingress_port, self.ready_port, self.brick_port = (
            base, base + 20, base + 1, base + 2, base + 3,
        )
        self.platform_port = base + 4
        zones = sorted({zone for zone in cores} | {zone for zone in edges})
        self.control = [(self.ip(1 + n), self.control_port) for n in range(len(cores))]
        seeds = ",".join(f"{ip}:{port}" for ip, port in self.control[:3])
        common = "region=r1\n" + "".join(f"zones.{zone}=r1\n" for zone in zones) + (
            f"internal_port_range={self.internal_port},{self.internal_port + 15}\nseed_nodes={seeds}\n"
            "limits.cpu_quota=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n"
            "discovery=registration\nentry_point=vip\n"
            f"heartbeat_ms={HEARTBEAT_MS}\n"
            "guarantees=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,leader\n"
            "fault_tolerance.nodes=1\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\n"
            f"bounds.contact_ms={CONTACT_MS}\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms={DRAIN_MS}\n"
            f"bounds.grace_s={GRACE_S}\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
            "bounds.downgrade_ms=250\nbounds.max_skew_ms=5000\nbounds.retry_budget_ratio=0.2\n"
            "bounds.budget_window_s=10\nbounds.retry_budget_slack=56\nbounds.fencing_enabled=false\n"
            f"bounds.lease_ms=3000\nbounds.thaw_ms={THAW_MS}\nbounds.report_window_s=5\nbounds.usage_delay_s=10\n"
            "bounds.recovery_s=12\nbounds.pass_ms=120\nbounds.ceiling_window_s=5\n" + extra
        )
        self.cores, self.edges = [], []
        for n, zone in enumerate(cores):
            ip = self.ip(1 + n)
            data = os.path.join(self.folder, f"data-{n}")
            settings = (
                f"role=core\nmachine_class=core\nserves=control_plane\nip={ip}\nzone={zone}\n"
                f"listeners_map.control_plane={ip}:{self.control_port}\ncounts_for_quorum=true\ndata_dir={data}\n"
            )
            core = Process(self, f"core-{n}", "core", settings + common)
            core.address, core.zone = (ip, self.control_port), zone
            self.processes.append(core)
            self.cores.append(core)
        for n, zone in enumerate(edges):
            ip = self.ip(50 + n)
            settings = (
                f"role=edge\nmachine_class=edge\nserves=edge\nip={ip}\nzone={zone}\ncounts_for_quorum=false\n"
                f"listeners_map.ingress={ip}:{self.ingress_port}\nlisteners_map.readiness={ip}:{self.ready_port}\n"
            )
            edge = Process(self, f"edge-{n}", "edge", settings + common)
            edge.address, edge.zone, edge.readiness = (ip, self.ingress_port), zone, (ip, self.ready_port)
            edge.in_rotation, edge.missed = False, 0
            self.processes.append(edge)
            self.edges.append(edge)

    def later(self, seconds, action):
        self.loop.call_later(seconds, action)

    def free_network(self):
        for _ in range(100):
            net = f"127.{random.randrange(20, 220)}.{random.randrange(1, 250)}"
            with socket.socket() as probe:
                probe.settimeout(0.2)
                if probe.connect_ex((net + ".1", 22)) != 0:
                    return net
        raise CannotRun("no free loopback network")

    def ip(self, n):
        return f"{self.net}.{n}"

    def start(self):
        for process in self.processes:
            process.start()

    def close(self):
        if self not in RUNNING:
            return
        RUNNING.remove(self)
        for process in self.processes:
            process.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    # ---- the platform: which edges get new connections ----

    async def watch_readiness(self):
        async def ask(edge):
            try:
                answer = await asyncio.wait_for(http(edge.readiness, "GET", "/api/readyz"), 0.9)
                ok = answer.status == 200
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                ok = False
            edge.missed = 0 if ok else edge.missed + 1
            if ok:
                edge.in_rotation = True
            elif edge.missed >= 2:
                edge.in_rotation = False

        while True:
            await asyncio.gather(*(ask(edge) for edge in self.edges))
            await asyncio.sleep(1.0)

    # ---- the operator ----

    async def operator(self, method, path, base=None, body=None, within=10.0):
        """Calls heads until one answers clearly, as the pages say: 307 is followed, a 5xx goes to the next head."""
        until, n = self.record.now() + within, 0
        last = None
        while self.record.now() < until:
            address = self.control[n % len(self.control)]
            n += 1
            target = path
            for _ in range(3):
                headers = {} if base is None else {"X-Pathbank-Base-Version": str(base)}
                try:
                    last = await asyncio.wait_for(http(address, method, target, headers, body), 4.0)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    last = None
                    break
                if last.status != 307:
                    break
                where = last.headers["location"].split("//", 1)[1]
                host, _, rest = where.partition("/")
                address, target = (host.split(":")[0], int(host.split(":")[1])), "/" + rest
            if last is not None and last.status < 500 and last.status not in (307, 408, 429):
                return last
            await asyncio.sleep(0.2)
        return last


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, answer=False):
    """The body, and whether it is whole."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += chunk[:-2]
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"])), True
        if answer:
            return await reader.read(-1), True
        return b"", True
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return b"", False


async def http(address, method, path, headers=None, body=None):
    """One call on a new connection."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {address[0]}:{address[1]}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items() if name != "Host"]
        if headers and "Host" in headers:
            lines[1] = "Host: " + headers["Host"]
        data = b"" if body is None else body.encode() if isinstance(body, str) else body
        if body is not None:
            lines.append(f"Content-Length: {len(data)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        first, got = await read_head(reader)
        content, whole = await read_body(reader, got, answer=True)
        return Answer(int(first.split()[1]), got, content, whole)
    finally:
        writer.close()


class Brick:
    """A server of a service, as the pages describe it."""

    def __init__(self, deployment, number, backend, zone, work_s, capacity=16, hooks=None):
        self.deployment, self.record = deployment, deployment.record
        self.backend, self.zone, self.work_s, self.capacity = backend, zone, work_s, capacity
        self.address = (deployment.ip(100 + number), deployment.brick_port)
        self.instance = f"i-{random.getrandbits(40):010x}"
        self.sequence, self.active = 0, 0
        self.open = set()
        self.ended_at, self.acknowledged_at = None, None
        self.leaving = False
        # (moment, id) of each request that arrived, whether it was run, and whether its answer was written.
        self.arrived, self.begun, self.answered = {}, {}, set()
        self.hooks = hooks or {}
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.record.say(f"brick {self.instance} ({self.backend}, {self.zone}) serves at {self.address[0]}")
        self.tasks.append(asyncio.ensure_future(self.beat()))

    # ---- heartbeats ----

    def body(self, state):
        self.sequence += 1
        return json.dumps({
            "backend": self.backend, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
            "version": "v1", "capacity": self.capacity, "state": state, "cold_remaining_ms": 0,
            "sequence": self.sequence,
        })

    async def tell(self, path, body, heads):
        """Calls one head after the other until one acknowledges within a second. Returns that head."""
        for head in heads:
            try:
                answer = await asyncio.wait_for(http(head, "POST", path, {"Content-Type": "application/json"}, body), 1.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue
            if 200 <= answer.status < 300:
                return head
        return None

    async def beat(self):
        """Beats go to the head that took the last one; where it fails, the next head is called."""
        heads = list(self.deployment.control)
        random.shuffle(heads)
        while not self.leaving:
            body = self.body("ready")
            took = await self.tell(f"/api/instances/{self.instance}/heartbeat", body, heads)
            self.record.say(f"brick {self.instance} beat {self.sequence} taken by {took and took[0]}")
            while took is not None and heads[0] != took:
                heads.append(heads.pop(0))
            # Roughly every heartbeat_ms.
            await asyncio.sleep(HEARTBEAT_MS / 1000 * random.uniform(0.9, 1.1))

    async def leave(self, linger_s):
        """Leaves without saying draining: deregisters first, serves on, and ends."""
        self.leaving = True
        heads = list(self.deployment.control)
        random.shuffle(heads)
        took, pause = None, 0.1
        # Callers move on to another head, with a growing pause, after a failure.
        while took is None and self.ended_at is None:
            took = await self.tell(f"/api/instances/{self.instance}/deregister", "", heads)
            if took is None:
                await asyncio.sleep(pause)
                pause = min(2 * pause, 1.0)
        self.acknowledged_at = self.record.now()
        self.record.say(f"brick {self.instance} deregistered, acknowledged by {took and took[0]}")
        await asyncio.sleep(DRAIN_MS / 1000 + linger_s)
        self.end()

    def end(self):
        if self.ended_at is None:
            self.ended_at = self.record.now()
            self.record.say(f"brick {self.instance} ends with {self.active} requests at work")
            self.leaving = True
            self.server.close()
            for writer in list(self.open):
                writer.transport.abort()

    # ---- requests ----

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while self.ended_at is None:
                try:
                    first, headers = await read_head(reader)
                except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                    return
                body, whole = await read_body(reader, headers)
                if not whole:
                    return
                method, path, _ = first.split(" ", 2)
                await self.answer(writer, method, path, headers, body)
        except OSError:
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def answer(self, writer, method, path, headers, body):
        if path == "/healthz":
            self.write(writer, 200, {"X-Pathbank-Instance-Id": self.instance}, b"")
            return
        request = headers.get("x-pathbank-request-id", "")
        self.arrived[request] = self.record.now()
        own = {"X-Pathbank-Request-Id": request}
        if headers.get("x-pathbank-target-instance", self.instance) != self.instance:
            self.write(writer, 421, {**own, "X-Pathbank-Not-Executed": "1"}, b"")
            return
        if self.active >= self.capacity:
            self.write(writer, 503, {**own, "X-Pathbank-Not-Executed": "1"}, b"")
            return
        self.active += 1
        self.begun[request] = self.record.now()
        try:
            await asyncio.sleep(self.work_s)
            if self.ended_at is not None:
                return
            own["X-Pathbank-Response-Signature"] = f"stamp.{self.instance}.{request}"
            own["X-Pathbank-Instance-Load"] = f"{self.active},0,{self.capacity}"
            self.write(writer, 200, own, b"done:" + request.encode())
            self.answered.add(request)
        finally:
            self.active -= 1

    def write(self, writer, status, headers, body):
        if writer.transport.is_closing():
            return
        lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Clients:
    """Clients that send one request on each connection, through the edges that are in rotation."""

    def __init__(self, deployment, host, path, per_s, deadline_ms):
        self.deployment, self.record = deployment, deployment.record
        self.host, self.path, self.per_s, self.deadline_ms = host, path, per_s, deadline_ms
        # Of each request: when it was sent, by which edge, and how it ended.
        self.sent, self.edge, self.end = {}, {}, {}
        self.number = 0

    async def run(self, until):
        while self.record.now() < until:
            edges = [edge for edge in self.deployment.edges if edge.in_rotation]
            if edges:
                asyncio.ensure_future(self.one(random.choice(edges)))
            await asyncio.sleep(random.expovariate(self.per_s))

    async def one(self, edge):
        self.number += 1
        request = f"{self.number:08x}{random.getrandbits(32):08x}"
        self.edge[request] = edge
        headers = {"Host": self.host, "X-Pathbank-Request-Id": request, "X-Pathbank-Deadline-Ms": str(self.deadline_ms)}
        self.sent[request] = self.record.now()
        try:
            answer = await asyncio.wait_for(
                http(edge.address, "POST", self.path, headers, b"body"), self.deadline_ms / 1000 + 0.5
            )
            self.end[request] = str(answer.status) if answer.whole else f"{answer.status}, cut short"
        except asyncio.TimeoutError:
            self.end[request] = "no answer"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.end[request] = f"connection ended ({type(error).__name__})"


def tell_requests(record, clients, bricks):
    """Writes of each request when it was sent and to whom, where and when it ran, and how it ended."""
    ran = {}
    for brick in bricks:
        for request, at in brick.begun.items():
            state = "answered" if request in brick.answered else "not answered"
            ran.setdefault(request, []).append(f"{brick.instance} at {at:.3f} ({state})")
    for request, at in clients.sent.items():
        record.say(
            f"request {request} sent at {at:.3f} to {clients.edge[request].name}; "
            f"ran: {', '.join(ran.get(request, ['nowhere']))}; the client got: {clients.end.get(request, 'nothing')}"
        )


def play(case, folder):
    """Runs a case, and ends with its exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)

    def stopped(number, _frame):
        raise CannotRun(f"signal {number}")

    signal.signal(signal.SIGTERM, stopped)
    signal.signal(signal.SIGINT, stopped)
    code = 2
    try:
        trouble = os.environ.get("TROUBLE", "1") != "0"
        record.say(f"trouble: {trouble}")
        code = 1 if loop.run_until_complete(case(record, trouble)) else 0
    except CannotRun as why:
        record.say(f"cannot run: {why}")
    except Exception:  # whatever else goes wrong is no verdict on the rule
        record.say("cannot run: " + traceback.format_exc().replace("\n", " | "))
    finally:
        for deployment in list(RUNNING):
            deployment.close()
        record.say(f"exit {code}")
        record.close()
    with open(os.path.join(folder, "record.txt"), encoding="utf-8") as file:
        lines = [line for line in file if " RESULT " in line or " exit " in line]
    print("".join(lines), end="")
    os._exit(code)
