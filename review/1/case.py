"""A proxy within its limits of descriptors goes over its limit of memory when peers stop in the middle of a body."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from standins import *

MEMORY_MB, SOCKETS = 48, 1024  # TERMS: 32 to 192 MB, 256 to 1,024 descriptors
BAD_PEERS = 500
BODY_BYTES = 64 << 10  # PROTOCOL: bodies hold at most 64 KiB
MISSING_BYTES = 100
CLIENTS_PER_S, PLAY_S = 10, 12


async def case(record, trouble):
    broken, answers, lost = [], {}, []

    async def work(request):
        await asyncio.sleep(0.1)
        return 200, {}, b"done " + request["id"].encode()

    backends = [Backend(record, f"s-{i}", work) for i in range(9)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(record, [backend.entry() for backend in backends])
    await discovery.start()
    proxy = Proxy(record, "n0", discovery.address, discovery.whole(), site_settings(0, 2), sockets=SOCKETS,
                  memory_mb=MEMORY_MB)
    peak, killed = 0.0, False

    async def platform():
        """DEPLOY: over `memory_mb` the proxy is killed."""
        nonlocal peak, killed
        while proxy.process.poll() is None:
            memory = anonymous_memory_mb(proxy.process.pid)
            peak = max(peak, memory)
            if memory > MEMORY_MB:
                record.say(f"platform: the proxy holds {memory:.1f} MB of anonymous memory, its limit is {MEMORY_MB} MB")
                proxy.signal(signal.SIGKILL)
                killed = True
                return
            await asyncio.sleep(0.02)

    async def bad_peer():
        """Sends the head and most of the body of a request, and stays until the proxy ends the connection."""
        try:
            reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
            data = request_bytes(request_id(), "send-sms", 6000, body=b"x" * BODY_BYTES)
            writer.write(data[:-MISSING_BYTES])
            record.line(f"bad peer {writer.get_extra_info('sockname')[1]}: sent {len(data) - MISSING_BYTES} of "
                        f"{len(data)} bytes")
            while await reader.read(4096):
                pass
            writer.close()
        except OSError:
            pass

    async def client():
        rid, sent = request_id(), record.now()
        answer = await ask(proxy, request_bytes(rid, "status-check", 6000), 6.55)
        word = answer if isinstance(answer, str) else answer[0]
        answers[word] = answers.get(word, 0) + 1
        record.line(f"client: id={rid} sent at {sent:.3f}: {word}")
        if word in ("closed", "silence"):
            lost.append(rid)

    try:
        proxy.start()
        await proxy.ready()
        watching = asyncio.create_task(platform())
        tasks = []
        for tick in range(CLIENTS_PER_S * PLAY_S):
            if killed:
                break
            tasks.append(asyncio.create_task(client()))
            if trouble and tick == 3 * CLIENTS_PER_S:
                record.say(f"{BAD_PEERS} peers connect, each sends all but {MISSING_BYTES} bytes of a request")
                tasks += [asyncio.create_task(bad_peer()) for _ in range(BAD_PEERS)]
            await asyncio.sleep(1 / CLIENTS_PER_S)
        await asyncio.sleep(0.5)
        if proxy.process.poll() is None:
            await asyncio.wait(tasks, timeout=8)
        watching.cancel()
        record.say(f"peak of the proxy's anonymous memory: {peak:.1f} MB; answers to clients: {answers}")
        if killed:
            broken.append(f"the proxy went over memory_mb ({peak:.1f} of {MEMORY_MB} MB) and was killed: it has crashed; "
                          f"requests of sound clients cut off: {len(lost)}")
        elif proxy.process.poll() is not None:
            broken.append(f"the proxy ended with {proxy.process.returncode}")
        return broken
    finally:
        proxy.end()


play(case, FOLDER)
