"""Stand-ins and helpers for the cases 6 to 10: processes, HTTP calls, servers, a TCP relay, and the record.

Only the standard library is used. Every address is on 127.0.0.1, every port is one that the system gave out.
"""

import http.client
import json
import os
import queue
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()


class CannotRun(Exception):
    """The case could not run: exit status 2."""


def now():
    """Seconds since the script began."""
    return time.monotonic() - STARTED


def run_command():
    """The `run` command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("run ="):
                return line.split("=", 1)[1].split('"')[1]
    raise CannotRun("no run command in deploy/balancer.toml")


_ports = set()


def free_port():
    """A free port, drawn below the range from which the system takes ports for outgoing connections."""
    for _ in range(1000):
        port = random.SystemRandom().randrange(15000, 32000)
        if port in _ports:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _ports.add(port)
        return port
    raise CannotRun("no free port")


class Record:
    """record.txt: what was sent, answered and run. Times are seconds since the script began."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.line(f"TROUBLE={'1' if TROUBLE else '0'}")

    def line(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{now():9.3f} {text}\n")
                self.file.flush()


def call(port, method, path, body=None, timeout=2.0, headers=None):
    """One HTTP call on a connection of its own; returns (status, body as text), or (None, reason)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = None if body is None else (body if isinstance(body, (bytes, str)) else json.dumps(body))
        connection.request(method, path, body=data, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as error:
        return None, f"{type(error).__name__}: {error}"
    finally:
        connection.close()


def node_status(port):
    """A list-service node's status; with "error" where it answers none."""
    status, text = call(port, "GET", "/v1/status", timeout=0.5)
    return json.loads(text) if status == 200 else {"error": text[:140]}


def leader_of(ports):
    """The index of the node that leads, by the first node that knows one; None without."""
    leaders = [node_status(port).get("leader") for port in ports]
    return next((leader - 1 for leader in leaders if leader), None)


def wait_for(condition, seconds, what):
    """Waits until `condition()` is true; the case cannot run if it stays false."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise CannotRun(f"{what}: not within {seconds} s")


class Program:
    """A process of the project, started with the `run` command of the deploy file."""

    def __init__(self, case, name, arguments="", env=None):
        self.case, self.name, self.arguments = case, name, arguments
        self.env = {**os.environ, "TMPDIR": case.folder, **(env or {})}
        self.process = None
        self.start()

    def start(self):
        log = open(os.path.join(self.case.folder, f"{self.name}.log"), "ab")
        command = f"{run_command()} {self.arguments}".strip()
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=self.env,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.case.record.line(f"process {self.name} started")

    def signal(self, number):
        self.process.send_signal(number)
        self.case.record.line(f"process {self.name}: {signal.Signals(number).name}")

    def kill(self):
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def has_ended(self):
        return self.process.poll() is not None


class Case:
    """One run of a case: its temporary folder, record and processes, all ended at the end."""

    def __init__(self, script):
        self.home = os.path.dirname(os.path.abspath(script))
        self.record = Record(self.home)
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.programs = []

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        with open(self.path(name), "w", encoding="utf-8") as file:
            file.write(text)
        return self.path(name)

    def program(self, name, arguments="", env=None):
        program = Program(self, name, arguments, env)
        self.programs.append(program)
        return program

    def single_node(self, port, data_dir=None, extra=""):
        """A list-service node alone."""
        on_disk = f'data_dir = "{data_dir}"\n' if data_dir else ""
        config = self.write("registry.toml", f'listen = "127.0.0.1:{port}"\n{on_disk}{extra}')
        node = self.program("registry", f"registry --config {config}")
        self.wait_ready(port)
        return node

    def cluster(self, delay_s=0.0):
        """Three list-service nodes with their logs on disk, `delay_s` from each other. Returns their processes, their
        ports, and the relays between them by (from, to) where there is a delay or a relay is wanted."""
        ports = [free_port() for _ in range(3)]
        pairs = [(a, b) for a in range(3) for b in range(3) if a != b]
        relays = {pair: Relay(ports[pair[1]], delay_s) for pair in pairs}
        nodes = []
        for n in range(3):
            peers = ", ".join(f'{{ node = {p + 1}, address = "127.0.0.1:{relays[n, p].port}" }}'
                              for p in range(3) if p != n)
            config = self.write(f"node-{n + 1}.toml", f'listen = "127.0.0.1:{ports[n]}"\nnode = {n + 1}\n'
                                f'peers = [{peers}]\ndata_dir = "{self.path(f"data-{n + 1}")}"\n')
            nodes.append(self.program(f"node-{n + 1}", f"registry --config {config}"))
        return nodes, ports, relays

    def wait_ready(self, port, seconds=10):
        wait_for(lambda: call(port, "GET", "/-/ready", timeout=0.5)[0] == 200, seconds, f"ready at {port}")

    def proxy(self, name, listen, discovery, settings, extra=None):
        """A proxy with the given settings."""
        config = {"name": name, "listen": f"127.0.0.1:{listen}", "discovery": discovery, "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": {"generation": 0, "reset": True, "instances": []}, "settings": settings}
        config.update(extra or {})
        path = self.write(f"{name}.json", json.dumps(config))
        proxy = self.program(name, env={"RELAY_CONFIG": path, "RELAY_NAME": name,
                                        "RELAY_LISTEN": f"127.0.0.1:{listen}", "RELAY_DISCOVERY": discovery})
        return proxy

    def finish(self):
        for program in self.programs:
            program.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(script, body):
    """Runs `body(case)`, which returns whether the rule held; exits with 0, 1 or 2."""
    case, status = None, 2

    def stop(*_):
        raise CannotRun("stopped")

    signal.signal(signal.SIGTERM, stop)
    try:
        case = Case(script)
        held = body(case)
        status = 0 if held else 1
        case.record.line("the rule held" if held else "THE RULE WAS BROKEN")
    except CannotRun as error:
        print(f"cannot run: {error}")
        if case:
            case.record.line(f"cannot run: {error}")
    except Exception:  # a fault of the script is no broken rule
        traceback.print_exc()
    finally:
        if case:
            case.finish()
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    sys.stdout.flush()
    os._exit(status)


SETTINGS = {
    # The settings of the site pos-sms-gateway (WIRE, section 15), for the first tier.
    "caps": {"cancel": True, "connect-timeout": 0.25, "idle-close": 30.0, "max-attempts": 5, "max-open": 20000,
             "max-retry-after": 2.0, "max-streams": 1, "peer-messages": False, "probing": True, "retry-after": True,
             "second-copies": True},
    "classes": [
        {"name": "status-check", "effect": "free", "group": "all", "window": 5.0, "on-time": 2.5, "hard-limit": 6.0,
         "late-worth": 0.0, "worth": 2.0, "stream": False},
        {"name": "send-sms", "effect": "single_shot", "group": "all", "window": 5.0, "on-time": 2.5,
         "hard-limit": 6.0, "late-worth": 0.0, "worth": 5.0, "stream": False},
        {"name": "send-batch", "effect": "guarded", "group": "cell", "window": 10.0, "on-time": 2.5,
         "hard-limit": 6.0, "late-worth": 0.0, "worth": 10.0, "stream": False}],
    "costs": {"connection": 0.0, "cross-zone": 0.0, "handshake": 0.061, "late-fail": 0.05, "probe": 0.014,
              "waste": 0.046},
    "me": 0, "n-instances": 1, "over-share-worth": 0.05, "quantum": 0.005, "registry-mode": "automatic",
    "projects": [{"name": "northgate-health", "quota-per-s": 100.0, "share": 1.0}],
    "rules": {"answer-slack": 0.02, "ask-within": 10.0, "cold": 8.6, "cold-share": 0.31, "drain-grace": 0.25,
              "fall-multiple": 4.0, "tip-after": 3.0},
    "tier": 0, "tiers": ["api-front", "message-core", "carrier-link"], "weights": "off", "worth-by": "work",
    "zone": "chaguanas-dc", "zones": ["chaguanas-dc"], "kinds": ["front-fast", "front-mid", "front-old"],
}


class HttpServer:
    """A small HTTP/1.1 server with a thread for each connection; `handle(head, body)` returns (status, headers, body),
    or None to say nothing."""

    def __init__(self, handle, port=None):
        self.handle = handle
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.port = port or free_port()
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(512)
        self.connections = set()
        self.is_open = True
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            if not self.is_open:
                connection.close()
                return
            self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffered = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffered:
                    received = connection.recv(65536)
                    if not received:
                        return
                    buffered += received
                head, buffered = buffered.split(b"\r\n\r\n", 1)
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                while len(buffered) < length:
                    received = connection.recv(65536)
                    if not received:
                        return
                    buffered += received
                body, buffered = buffered[:length], buffered[length:]
                answer = self.handle({"method": method, "target": target, "headers": headers}, body)
                if answer is None:
                    return
                status, extra, content = answer
                text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n"
                text += "".join(f"{name}: {value}\r\n" for name, value in extra.items())
                connection.sendall(text.encode("latin-1") + b"\r\n" + content)
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def close(self):
        """Ends as a process that dies: its connections are reset, and new ones are refused."""
        self.is_open = False
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Backend:
    """A backend: it answers every request 200 after `work` seconds and keeps what it was sent."""

    def __init__(self, case, name, work=0.01):
        self.case, self.name, self.work = case, name, work
        self.received = []
        self.server = HttpServer(self.handle)
        self.port = self.server.port

    def handle(self, head, body):
        request = head["headers"].get("x-txn", "-")
        self.received.append((now(), request))
        self.case.record.line(f"backend {self.name} received {request}")
        time.sleep(self.work)
        return 200, {}, f"{self.name} {request}".encode()

    def entry(self, **changes):
        entry = {"instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": "chaguanas-dc",
                 "machineType": "front-fast", "cell": 1, "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0}
        entry.update(changes)
        return entry


class Registrant:
    """Keeps a backend registered at the list service: renews it every `interval` seconds, and registers it again if it
    is not listed (any more)."""

    def __init__(self, case, ports, entry, ttl_ms, interval):
        self.case, self.ports, self.entry, self.ttl_ms, self.interval = case, ports, entry, ttl_ms, interval
        self.is_on = True
        self.is_registered = False
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        identity, index = self.entry["instanceId"], 0
        while self.is_on:
            port = self.ports[index % len(self.ports)]
            if self.is_registered:
                status, _ = call(port, "POST", "/v1/heartbeat", {"instanceId": identity}, timeout=1.0)
            else:
                status, _ = call(port, "POST", "/v1/register", {**self.entry, "ttlMs": self.ttl_ms}, timeout=2.0)
                self.case.record.line(f"register {identity}: {status}")
            if status is None or status >= 500:
                index += 1
            if status == 404 or status == 200:
                self.is_registered = status == 200
            if status == 200:
                time.sleep(self.interval)
            else:
                time.sleep(0.05)


_request_number = 0
_request_lock = threading.Lock()


def fresh_id():
    global _request_number
    with _request_lock:
        _request_number += 1
        return f"{int.from_bytes(os.urandom(4), 'big'):08x}{_request_number:08x}"


def send(case, port, lane="status-check", remaining_ms=3000, headers=None):
    """One request of a client through a proxy, on a connection of its own; returns (id, status, body)."""
    request = fresh_id()
    fields = {"Host": "app.svc", "X-Txn": request, "X-Lane": lane, "X-Org": "northgate-health",
              "X-Remaining-Ms": str(remaining_ms), **(headers or {})}
    method = "GET" if lane == "status-check" else "POST"
    body = None if method == "GET" else "text"
    case.record.line(f"client sends {request} {lane}")
    status, answer = call(port, method, "/api", body, timeout=remaining_ms / 1000 + 1, headers=fields)
    case.record.line(f"client got {status} for {request}: {answer.strip()[:60]}")
    return request, status, answer


class Relay:
    """A TCP relay to a port, `delay_s` long each way. While it is cut, open connections and new ones stay silent."""

    def __init__(self, target, delay_s=0.0):
        self.target, self.delay_s = target, delay_s
        self.is_cut = False
        self.port = free_port()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.open, args=(near,), daemon=True).start()

    def open(self, near):
        while self.is_cut:
            time.sleep(0.05)
        try:
            far = socket.create_connection(("127.0.0.1", self.target), timeout=2)
            far.settimeout(None)
        except OSError:
            near.close()
            return
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for source, sink in ((near, far), (far, near)):
            on_the_way = queue.Queue()
            threading.Thread(target=self.receive, args=(source, on_the_way), daemon=True).start()
            threading.Thread(target=self.deliver, args=(on_the_way, sink, near, far), daemon=True).start()

    def receive(self, source, on_the_way):
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            on_the_way.put((time.monotonic() + self.delay_s, data))
            if not data:
                return

    def deliver(self, on_the_way, sink, *ends):
        data = True
        while data:
            due, data = on_the_way.get()
            time.sleep(max(0.0, due - time.monotonic()))
            while self.is_cut:
                time.sleep(0.02)
            try:
                if data:
                    sink.sendall(data)
            except OSError:
                break
        for end in ends:
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
