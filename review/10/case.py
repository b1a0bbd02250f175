"""Clients whose ids the worker pool does not know ask for popular subjects: are they served with others' results?"""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-2"))
sys.dont_write_bytecode = True
from stand import TROUBLE, Request, World, main, profile, settings  # noqa: E402

PER_S = 4.0
BAD_PER_S = 2.0
SECONDS = 30.0
RECORD = os.path.join(HERE, "record.txt")


async def case():
    seed = os.environ.get("SEED") or str(random.randrange(10**6))
    random.seed(seed)
    classes = [profile("clip-plain", "retryable", 3.0, 7.6), profile("clip-license", "retryable", 3.0, 7.6, points=5.0)]
    world = World(RECORD, settings(classes, fresh_for=1000000, halt="suspend", memory_kb=60000.0),
                  work=lambda request: 0.26 * random.uniform(0.7, 1.4))
    world.record(f"seed {seed}, trouble {TROUBLE}")
    subjects = [f"track-{n}" for n in range(1, 301)]
    shares = [1.0 / n for n in range(1, 301)]  # a few are far more popular than the rest
    sent, bad = [], []

    def read(known):
        return Request("clip-plain", b"body", 7600, obj=random.choices(subjects, shares)[0], mem=24.0,
                       prio=random.random() / 2, known=known)

    async def bad_clients():
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.5) / BAD_PER_S)
            connection = await world.connect("bad client")
            request = connection.send(read(known=False))
            world.note(request, "the line above is a bad client's; the worker pool does not know its id")
            bad.append(request)

    try:
        await world.start()
        edges = [await world.connect(f"edge {n}") for n in range(3)]
        trouble = asyncio.ensure_future(bad_clients()) if TROUBLE else None
        started = time.time()
        while time.time() - started < SECONDS:
            n = random.randrange(len(edges))
            if edges[n].ended or edges[n].closing:
                edges[n] = await world.connect(f"edge {n}")
            sent.append(edges[n].send(read(known=True)))
            await asyncio.sleep(random.uniform(0.5, 1.5) / PER_S)
        if trouble:
            trouble.cancel()
        await asyncio.wait([request.done for request in sent + bad], timeout=8)
        for name, requests in (("edge nodes", sent), ("bad clients", bad)):
            kinds = [(request.answer or ("none",))[0] for request in requests]
            world.record(f"answers to {name}: { {kind: kinds.count(kind) for kind in sorted(set(kinds))} }")
        return [f"{request.rid}: a client whose id the worker pool does not know was served {request.answer[1]!r}"
                for request in bad if request.answer and request.answer[0] == "served"]
    finally:
        await world.stop()


main(case, RECORD)
