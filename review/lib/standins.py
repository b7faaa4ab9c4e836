"""Stand-ins for the outside world of a proxy: the discovery agent, backends, and clients, on loopback addresses.

They follow PROTOCOL-linkhatch.md; where it is silent they behave like a sound server or client. Everything that
happens is written to a record, one line an event, with the time since the start of the case.
"""

import asyncio
import fcntl
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import termios
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)


def free_port(host="127.0.0.1"):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((host, 0))
        return s.getsockname()[1]


def request_id():
    return f"{random.getrandbits(64):016x}"


def entry(name, address, lifecycle="SERVING", cell=1, zone="chaguanas-dc", kind="front-mid", started_ms=0):
    return {"instanceId": name, "hostPort": address, "zone": zone, "machineType": kind, "cell": cell,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started_ms}


def site_settings(me=0, proxies=2, **changes):
    """The settings of a proxy of the first tier of pos-sms-gateway, under the names of WIRE-linkhatch.md."""
    accounts = [("northgate-health", .17), ("savemore-stores", .16), ("centralcare", .16), ("bayside-pharmacy", .12),
                ("valley-clinics", .10), ("islandmart", .09), ("southpoint-dental", .08), ("harbourview-optical", .07),
                ("eastside-hardware", .05)]
    one = {"on-time": 2.5, "hard-limit": 6.0, "late-worth": 0.0, "stream": False, "window": 5.0, "group": "all"}
    settings = {
        "caps": {"cancel": True, "connect-timeout": 0.25, "cpu-us-per-request": 0.0, "cpu-us-per-s": 500000,
                 "idle-close": 30.0, "max-attempts": 5, "max-open": 20000, "max-retry-after": 2.0, "max-streams": 1,
                 "peer-messages": False, "probing": True, "retry-after": True, "second-copies": True},
        "classes": [
            {**one, "name": "status-check", "effect": "free", "worth": 2.0},
            {**one, "name": "send-sms", "effect": "single_shot", "worth": 5.0},
            {**one, "name": "send-batch", "effect": "guarded", "group": "cell", "window": 10.0, "worth": 10.0},
        ],
        "clients": {"marks-retry": False},
        "costs": {"connection": 0.0, "cross-zone": 0.0, "handshake": 0.061, "late-fail": 0.05, "moves": 0.0,
                  "origin": 0.0, "peer": 0.0, "probe": 0.014, "registry-mode": 0.0, "waste": 0.046},
        "family": "chain", "family-info": {"passes-deadline": True},
        "goal": {"whole": 0.4, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.3},
        "kinds": ["front-fast", "front-mid", "front-old"], "me": me, "n-instances": proxies,
        "over-share-worth": 0.05,
        "projects": [{"name": n, "quota-per-s": 100 * s, "share": s} for n, s in accounts],
        "quantum": 0.005, "registry-mode": "automatic",
        "rules": {"answer-slack": 0.02, "ask-within": 10.0, "cold": 8.6, "cold-share": 0.31, "drain-grace": 0.25,
                  "fall-multiple": 4.0, "tip-after": 3.0},
        "stats": {"fields": ["active", "waiting", "err_rps"], "how": "inline"},
        "tier": 0, "tiers": ["api-front", "message-core", "carrier-link"], "weights": "off", "worth-by": "work",
        "zone": "chaguanas-dc", "zones": ["chaguanas-dc"],
    }
    for key, value in changes.items():
        if isinstance(value, dict):
            settings[key] = {**settings[key], **value}
        else:
            settings[key] = value
    return settings


async def read_head(reader):
    """The first line and the headers (names in lower case) of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Discovery:
    """The agent on a proxy's machine: pushes each change at once to the watches that are open."""

    def __init__(self, record, entries, name="discovery", generation=41):
        self.record, self.name = record, name
        self.entries = {e["instanceId"]: e for e in entries}
        self.generation = generation
        self.log = []  # (generation, entry)
        self.changed = asyncio.Condition()
        self.down = False
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def publish(self, *entries):
        for e in entries:
            self.generation += 1
            self.log.append((self.generation, e))
            if e["lifecycle"] == "DELETED":
                self.entries.pop(e["instanceId"], None)
            else:
                self.entries[e["instanceId"]] = e
            self.record.line(f"{self.name}: {e['instanceId']} is {e['lifecycle']} at version {self.generation}")
        async with self.changed:
            self.changed.notify_all()

    def whole(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def changes(self, since):
        latest = {}
        for generation, e in self.log:
            if generation > since:
                latest[e["instanceId"]] = e
        return {"generation": self.generation, "reset": False, "instances": list(latest.values())}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                while self.down:
                    await asyncio.sleep(0.02)
                target = head[0].split(" ")[1]
                query = dict(p.split("=") for p in target.partition("?")[2].split("&") if "=" in p)
                if "since" not in query or int(query["since"]) < 41:
                    answer = self.whole()
                else:
                    since, wait = int(query["since"]), min(int(query.get("timeout_ms", "0")), 60000) / 1000
                    async with self.changed:
                        try:
                            await asyncio.wait_for(self.changed.wait_for(lambda: self.generation > since), wait)
                        except (asyncio.TimeoutError, TimeoutError):
                            pass
                    while self.down:
                        await asyncio.sleep(0.02)
                    answer = self.changes(since)
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
                if answer["reset"] or answer["instances"]:
                    self.record.line(f"{self.name}: wrote version {answer['generation']} reset={answer['reset']} "
                                     f"({len(answer['instances'])} entries)")
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Backend:
    """A backend. `work(request)` is awaited for each request and returns (status, extra headers, body)."""

    def __init__(self, record, name, work=None, cell=1):
        self.record, self.name, self.cell = record, name, cell
        self.work = work or self.serve_at_once
        self.requests = []  # (time of last byte, id, headers, request line)
        self.connections = 0
        self.writers = set()
        self.on_answered = None
        self.idle_s = 30.0

    async def serve_at_once(self, request):
        return 200, {}, f"{self.name} {request['id']}".encode()

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 18, backlog=1024)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def entry(self, lifecycle="SERVING", **more):
        return entry(self.name, self.address, lifecycle, cell=self.cell, **more)

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        try:
            while (head := await asyncio.wait_for(read_head(reader), self.idle_s)) is not None:
                line, headers = head
                first = self.record.now()
                body = await read_body(reader, headers)
                request = {"id": headers.get("x-txn", "-"), "line": line, "headers": headers, "body": body,
                           "at": self.record.now(), "first": first, "reader": reader, "writer": writer}
                self.requests.append(request)
                self.record.line(f"{self.name}: got {line} id={request['id']} "
                                 f"remaining={headers.get('x-remaining-ms')}")
                answer = await self.work(request)
                if answer is None:
                    return
                status, extra, text = answer
                more = "".join(f"{k}: {v}\r\n" for k, v in extra.items())
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n{more}\r\n".encode() + text)
                await writer.drain()
                self.record.line(f"{self.name}: answered {status} id={request['id']}")
                if self.on_answered:
                    await self.on_answered(request)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, TimeoutError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def run_command():
    """The command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy/balancer.toml")) as f:
        return re.search(r'^run = "(.*)"', f.read(), re.MULTILINE).group(1)


class ListNode:
    """A node of the project's list service, started with the program that `run` names."""

    def __init__(self, record, number=1, port=None, peers=(), on_disk=False):
        self.record, self.number = record, number
        self.folder = tempfile.mkdtemp(prefix=f"linkhatch-node-{number}-")
        self.address = f"127.0.0.1:{port or free_port()}"
        text = f'listen = "{self.address}"\nnode = {number}\n'
        if peers:
            text += "peers = [" + ", ".join(f'{{ node = {n}, address = "{a}" }}' for n, a in peers) + "]\n"
        if on_disk or peers:
            text += f'data_dir = "{self.folder}/data"\n'
            os.mkdir(os.path.join(self.folder, "data"))
        with open(os.path.join(self.folder, "node.toml"), "w") as f:
            f.write(text)
        self.process = None

    def start(self):
        self.stderr = open(os.path.join(self.folder, "stderr"), "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", f"{run_command()} registry --config {self.folder}/node.toml"], cwd=ROOT,
            env={"PATH": os.environ["PATH"], "TMPDIR": self.folder}, stdin=subprocess.DEVNULL, stdout=self.stderr,
            stderr=self.stderr)
        self.record.line(f"list node {self.number}: started as process {self.process.pid} on {self.address}")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
            self.record.line(f"list node {self.number}: killed")

    def end(self):
        self.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


async def call(address, method, path, body=None, wait_s=3.0):
    """One HTTP call with JSON: (status, value); status 0 where no answer came."""
    host, port = address.split(":")
    data = b"" if body is None else json.dumps(body).encode()

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: list\r\nConnection: close\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            head = await read_head(reader)
            if head is None:
                return 0, {}
            text = await read_body(reader, head[1])
            return int(head[0].split(" ")[1]), json.loads(text or b"{}")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), wait_s)
    except (OSError, asyncio.TimeoutError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}


def anonymous_memory_mb(pid):
    """The anonymous memory of a process (neither its program file nor other files count), in MB of 2^20 bytes."""
    try:
        with open(f"/proc/{pid}/status") as f:
            for line in f:
                if line.startswith("RssAnon"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


def unacknowledged_bytes(writer):
    """How many written bytes the other machine has not acknowledged yet."""
    sock = writer.get_extra_info("socket")
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]


class Proxy:
    """One proxy, started by `run` of deploy/balancer.toml from the root of the repository."""

    def __init__(self, record, name, discovery, known, settings, sockets=1024, memory_mb=192, log=False):
        self.record, self.name = record, name
        self.folder = tempfile.mkdtemp(prefix=f"linkhatch-{name}-")
        self.address = f"127.0.0.1:{free_port()}"
        self.host, self.port = "127.0.0.1", int(self.address.split(":")[1])
        self.config = {"name": name, "listen": self.address, "discovery": discovery, "seed": request_id(),
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                       "known": known, "settings": settings}
        self.config_path = os.path.join(self.folder, "config.json")
        self.write_config()
        self.process, self.log = None, log

    def write_config(self):
        temporary = self.config_path + ".new"
        with open(temporary, "w") as f:
            json.dump(self.config, f)
        os.replace(temporary, self.config_path)

    def start(self):
        environment = {"PATH": os.environ["PATH"], "TMPDIR": self.folder, "RELAY_NAME": self.name,
                       "RELAY_LISTEN": self.address, "RELAY_DISCOVERY": self.config["discovery"],
                       "RELAY_CONFIG": self.config_path}
        if os.environ.get("LINKHATCH_LOG"):
            environment["LINKHATCH_LOG"] = os.environ["LINKHATCH_LOG"]
        self.stderr = open(os.path.join(self.folder, "stderr"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.stderr, stderr=self.stderr)
        self.record.line(f"{self.name}: started as process {self.process.pid} on {self.address}")

    async def ready(self, within=15.0):
        deadline = time.monotonic() + within
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1.0)
                writer.close()
                if head and " 200 " in head[0] + " ":
                    self.record.line(f"{self.name}: ready")
                    return
            except (OSError, asyncio.TimeoutError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready in {within} s")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.record.line(f"{self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        if os.environ.get("KEEP_STDERR"):
            shutil.copy(os.path.join(self.folder, "stderr"), os.environ["KEEP_STDERR"] + self.name)
        shutil.rmtree(self.folder, ignore_errors=True)


def request_bytes(rid, lane="status-check", remaining_ms=6000, key=None, body=b"", org="centralcare", method=None,
                  extra=""):
    method = method or ("GET" if lane == "status-check" else "POST")
    head = (f"{method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {rid}\r\nX-Lane: {lane}\r\nX-Org: {org}\r\n"
            f"X-Remaining-Ms: {remaining_ms}\r\n")
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return (head + extra + "\r\n").encode() + body


async def ask(proxy, data, wait_s, connection=None):
    """Sends one request and waits for the answer: (status, headers, body), or a word for what came instead."""
    writer = None
    try:
        reader, writer = connection or await asyncio.wait_for(asyncio.open_connection(proxy.host, proxy.port), wait_s)
        writer.write(data)

        async def answer():
            head = await read_head(reader)
            if head is None:
                return "closed"
            return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
        return await asyncio.wait_for(answer(), wait_s)
    except (asyncio.TimeoutError, TimeoutError):
        return "silence"
    except (ConnectionError, asyncio.IncompleteReadError, OSError):
        return "closed"
    finally:
        if writer and not connection:
            writer.close()


def quiet_end(loop, context):
    """Connections that are still open when the case ends are not worth a message."""
    if not isinstance(context.get("exception"), (asyncio.CancelledError, ConnectionError)):
        loop.default_exception_handler(context)


def play(case, folder):
    """Runs `case(record, trouble)`, which returns the broken rules; exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"the case is played {'with' if trouble else 'WITHOUT'} its disruption")

    async def bounded():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(quiet_end)
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(record, trouble), 105)

    try:
        if not os.access(os.path.join(ROOT, "target/release/linkhatch-proxy"), os.X_OK):
            raise CannotRun("the program is not built")
        broken = asyncio.run(bounded())
    except CannotRun as error:
        record.say(f"could not run: {error}")
        raise SystemExit(2)
    except (asyncio.TimeoutError, TimeoutError):
        record.say("could not run: the case took too long")
        raise SystemExit(2)
    except asyncio.CancelledError:
        record.say("could not run: it was ended from outside")
        raise SystemExit(2)
    except Exception as error:  # an error of the case itself says nothing about the rule
        record.say(f"could not run: {type(error).__name__}: {error}")
        raise SystemExit(2)
    for line in broken:
        record.say(f"BROKEN: {line}")
    record.say("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
