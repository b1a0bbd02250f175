"""A zone is cut off for 6 s, and clients connect by hundreds and say nothing: is each request of the zone answered?"""
import asyncio
import os
import random
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-2"))
sys.dont_write_bytecode = True
from stand import TROUBLE, Relay, Request, World, main, profile, settings  # noqa: E402

NEAR, FAR = 30, 40  # connections of edge nodes in the server's zone and in the other one; half of 384 are allowed
CUT_AT, CUT_S = 4.0, 6.0
SILENT = 300  # clients that connect and say nothing
SILENT_AFTER_S = 3.5  # after the cut
TRY_MS = 9100
RECORD = os.path.join(HERE, "record.txt")


async def case():
    seed = os.environ.get("SEED") or str(random.randrange(10**6))
    random.seed(seed)
    classes = [profile("balance-lookup", "retryable", 2.8, 9.2), profile("post-payment", "dedup", 2.3, 9.2, window_s=27.6)]
    world = World(RECORD, settings(classes, memory_kb=100000.0, cores=8, upstreams=40),
                  work=lambda request: random.uniform(0.02, 0.06))
    world.record(f"seed {seed}, trouble {TROUBLE}")
    sent, silent, silent_at = [], [], []

    def request():
        if random.random() < 0.25:
            token = "%032x" % random.getrandbits(128)
            return Request("post-payment", token.encode(), TRY_MS, token=token, prio=0.5 + random.random() / 2.01)
        return Request("balance-lookup", b"body", TRY_MS, prio=random.random() / 2.01)

    async def edge_node(number, address):
        """Sends a request now and then on a connection that rests between them, and ends it when the server asks."""
        connection = await world.connect(f"edge {number}", address)
        while time.time() - started < 16.0:
            if connection.ended or connection.closing:
                connection = await world.connect(f"edge {number}", address)
            sent.append(connection.send(request()))
            sent[-1].far = address is not None
            await asyncio.sleep(random.uniform(1.5, 4.5))

    async def trouble(relay):
        await asyncio.sleep(CUT_AT)
        world.record("the other zone is cut off")
        relay.open.clear()
        await asyncio.sleep(SILENT_AFTER_S)
        world.record(f"{SILENT} clients connect")
        silent_at.append(time.time())
        host, port = world.listen.split(":")
        for _ in range(SILENT):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex((host, int(port)))
            silent.append(client)
        await asyncio.sleep(CUT_S - SILENT_AFTER_S)
        world.record("the other zone is back")
        relay.open.set()
        await asyncio.sleep(1.0)
        for client in silent:
            client.close()

    try:
        await world.start()
        relay = Relay(world.listen)
        far = await relay.listen()
        started = time.time()
        tasks = [edge_node(n, None if n < NEAR else far) for n in range(NEAR + FAR)]
        if TROUBLE:
            tasks.append(trouble(relay))
        await asyncio.gather(*tasks)
        await asyncio.wait([r.done for r in sent], timeout=10)
        kinds = {}
        for r in sent:
            kind = (r.answer or ("none",))[0]
            kinds["far" if r.far else "near", kind] = kinds.get(("far" if r.far else "near", kind), 0) + 1
        lost = [r for r in sent if (r.answer or ("none",))[0] in ("lost", "none")]
        # Only what was written before the silent clients came, and so before any connection was ended, is judged.
        early = [r for r in lost if not silent_at or r.written_at < silent_at[0]]
        world.record(f"answers: {kinds}; written before the silent clients came and not answered: {len(early)}")
        faults = []
        if len(early) * 1000 > 3 * len(sent):
            faults.append(f"{len(early)} requests of {len(sent)} got no final answer, where 3 in 1,000 are allowed, though they "
                          f"were written before a connection was ended; {sum(1 for r in early if r.runs)} of them had run; "
                          f"{len(lost)} got none in all")
        return faults
    finally:
        for client in silent:
            client.close()
        await world.stop()


main(case, RECORD)
