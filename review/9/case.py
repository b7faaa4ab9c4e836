"""Case 9: discovery gets slow, each answer 1 s late, and a backend begins to drain: it gets new requests for as long as
discovery stays slow.

One proxy with the settings of the site, six backends, a discovery stand-in and a client with four connections.
"""

import sys

sys.path.insert(0, "../lib-2")
from standins import *

SLOW_S = float(os.environ.get("SLOW_S", "1.0"))  # how late each answer of discovery is
# "Whatever discovery has to tell counts as told at the latest 6 s later (for a call that may wait, 2 s after that wait
# ends)". Calls that wait are counted up to their own end; the proxy's longest wait is read from its calls.
TOLD_S = 6.0
SOCKET_SLACK_S = 0.05  # "each time limit being 50 ms longer"


class Discovery:
    """Discovery with long polls. It answers the changes since a generation that it knows, else the whole list."""

    def __init__(self, case, backends):
        self.case, self.backends = case, backends
        self.slow_s = 0.0
        self.changes = [(1, backend.entry()) for backend in backends]
        self.generation = 1
        self.longest_wait_s = 0.0
        self.changed = threading.Condition()
        self.server = HttpServer(self.handle)

    def change(self, entry):
        with self.changed:
            self.generation += 1
            self.changes.append((self.generation, entry))
            self.changed.notify_all()

    def handle(self, head, _):
        query = head["target"].partition("?")[2]
        fields = dict(pair.split("=") for pair in query.split("&") if "=" in pair)
        since = int(fields["since"]) if "since" in fields else 0
        wait_s = min(int(fields.get("timeout_ms", "0")), 60000) / 1000
        self.longest_wait_s = max(self.longest_wait_s, wait_s)
        with self.changed:
            self.changed.wait_for(lambda: self.generation > since, wait_s)
            generation = self.generation
            latest = {entry["instanceId"]: entry for number, entry in self.changes if number > since}
        slow_s = self.slow_s
        if slow_s:
            time.sleep(slow_s)
        answer = {"generation": generation, "reset": since == 0, "instances": list(latest.values())}
        self.case.record.line(f"discovery answers since={since} wait={wait_s}: generation {generation}, "
                              f"{len(latest)} entries, {slow_s} s late")
        return 200, {"Content-Type": "application/json"}, json.dumps(answer).encode()


def body(case):
    backends = [Backend(case, f"s-{n}", work=0.02) for n in range(6)]
    discovery = Discovery(case, backends)
    listen = free_port()
    case.proxy("n3", listen, f"127.0.0.1:{discovery.server.port}", SETTINGS)
    case.wait_ready(listen)
    is_over = []

    def client():
        while not is_over:
            send(case, listen, lane="status-check" if time.monotonic_ns() % 3 else "send-sms", remaining_ms=4000)
            time.sleep(0.02)

    for _ in range(4):
        threading.Thread(target=client, daemon=True).start()
    time.sleep(5)
    if TROUBLE:
        case.record.line(f"discovery becomes slow: each answer {SLOW_S} s late")
        discovery.slow_s = SLOW_S
    time.sleep(5)
    drained = backends[0]
    drained_at = now()
    case.record.line(f"discovery has it: {drained.name} is DRAINING")
    discovery.change(drained.entry(lifecycle="DRAINING"))
    time.sleep(25)
    is_over.append(True)
    # Told at the latest: 6 s later, or 2 s after the wait of the longest call was over, if that is later.
    told_at = drained_at + max(TOLD_S, discovery.longest_wait_s + 2)
    limit = told_at + SETTINGS["rules"]["drain-grace"] + SOCKET_SLACK_S
    # A request's last byte may come a little after its first.
    late = [at for at, _ in drained.received if at > limit + 0.1]
    before = [at for at, _ in drained.received if at < drained_at]
    case.record.line(f"{len(before)} requests to {drained.name} before the drain, {len(late)} later than "
                     f"{limit - drained_at:.2f} s after it, the last {max(late, default=drained_at) - drained_at:.1f} s after")
    print(f"{len(before)} requests before the drain, {len(late)} too late")
    if not before:
        raise CannotRun("the backend got no requests before its drain")
    return not late


main(__file__, body)
