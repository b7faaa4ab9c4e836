"""A trial, not a case: proxies that watch a list-service node which is cut off from the two others hear of no drain.

Three nodes with disks, four proxies with all three addresses; node 3 is cut off by relays for 15 s. The pages name a
cut of 6 s, after which the proxies would hear of it in time. Prints what is seen.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *

CUT_S, TOLD_WITHIN_S, GRACE_S = 15.0, 6.0, 0.3


class Relay:
    """Passes connections on to `target`; while cut it says nothing, either way."""

    def __init__(self, target):
        self.target, self.is_cut = target, False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(1 << 16):
                if not self.is_cut:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            if not self.is_cut:
                writer.close()

    async def serve(self, reader, writer):
        while self.is_cut:
            await asyncio.sleep(0.05)
        host, port = self.target.split(":")
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            return writer.close()
        await asyncio.gather(self.pump(reader, back), self.pump(there, writer))


async def case(record, trouble):
    backends = [Backend(record, f"s-{i}") for i in range(4)]
    for backend in backends:
        await backend.start()
    ports = [free_port() for _ in range(3)]
    addresses = [f"127.0.0.1:{port}" for port in ports]
    relays = {pair: Relay(addresses[pair[1]]) for pair in ((0, 2), (1, 2), (2, 0), (2, 1))}
    for relay in relays.values():
        await relay.start()

    def peers(i):
        return [(j + 1, relays[i, j].address if (i, j) in relays else addresses[j]) for j in range(3) if j != i]

    nodes = [ListNode(record, i + 1, ports[i], peers(i)) for i in range(3)]
    proxies = []
    try:
        for node in nodes:
            node.start()
        for backend in backends:
            status = 0
            while status != 200:
                status, _ = await call(addresses[0], "POST", "/v1/register", {**backend.entry(), "ttlMs": 120000})
        for i in range(4):
            proxies.append(Proxy(record, f"n{i}", ",".join(addresses),
                                 {"generation": 0, "reset": True, "instances": []}, site_settings(i, 4)))
            proxies[-1].start()
            await proxies[-1].ready()
        await asyncio.sleep(1)
        for relay in relays.values():
            relay.is_cut = trouble
        await asyncio.sleep(3)
        status = 0
        while status != 200:
            status, _ = await call(addresses[0], "POST", "/v1/drain", {"instanceId": backends[0].name})
        drained_at = record.now()
        while record.now() < drained_at + CUT_S:
            await asyncio.gather(*(ask(proxy, request_bytes(request_id()), 6.5) for proxy in proxies))
            await asyncio.sleep(0.1)
        late = [r["first"] for r in backends[0].requests if r["first"] > drained_at + TOLD_WITHIN_S + GRACE_S]
        return [f"{len(late)} requests to a draining backend, up to {late[-1] - drained_at:.1f} s later"] if late else []
    finally:
        for process in proxies + nodes:
            process.end()


play(case, tempfile.mkdtemp(prefix="linkhatch-trial-"))
