"""A trial, not a case: a registration that the list service has acknowledged is gone at once.

Three nodes with disks. A backend's TTL (0.8 s) is nearly over; the two followers stand still for 0.15 s (SIGSTOP), so that
commits wait; the backend registers again, and the TTL of its old registration ends before the new one is applied. The
leader has then queued the end of the old one (`EndExpired`, by the backend's id alone), which ends the new one right
after it was answered 200. Prints what is seen; TROUBLE=0 leaves the followers running.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *

ROUNDS, TTL_MS = 8, 800


async def case(record, trouble):
    ports = [free_port() for _ in range(3)]
    addresses = [f"127.0.0.1:{port}" for port in ports]
    nodes = [ListNode(record, i + 1, ports[i], [(j + 1, addresses[j]) for j in range(3) if j != i]) for i in range(3)]
    gone = []
    try:
        for node in nodes:
            node.start()
        for number in range(ROUNDS):
            leader = None
            while not leader:
                await asyncio.sleep(0.2)
                leader = (await call(addresses[0], "GET", "/v1/status"))[1].get("leader")
            await asyncio.sleep(1.5)
            address = addresses[leader - 1]
            followers = [node for node in nodes if node.number != leader]
            instance = {**entry(f"s-{number}", "127.0.0.1:7000"), "ttlMs": TTL_MS}
            await call(address, "POST", "/v1/register", instance)
            await asyncio.sleep(0.70)
            for node in followers if trouble else []:
                node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.02)
            registering = asyncio.create_task(call(address, "POST", "/v1/register", {**instance, "weight": 2.0}))
            await asyncio.sleep(0.13)
            for node in followers:
                node.process.send_signal(signal.SIGCONT)
            status, answer = await registering
            await asyncio.sleep(0.25)
            _, listed = await call(address, "GET", "/api/targets")
            is_listed = instance["instanceId"] in [i["instanceId"] for i in listed.get("instances", [])]
            record.say(f"round {number}: registered {status} {answer}, listed 0.25 s later: {is_listed}")
            if status == 200 and not is_listed:
                gone.append(instance["instanceId"])
        return [f"{len(gone)} of {ROUNDS} acknowledged registrations gone 0.25 s later, their TTL is 0.8 s"] if gone else []
    finally:
        for node in nodes:
            node.end()


play(case, tempfile.mkdtemp(prefix="linkhatch-trial-"))
