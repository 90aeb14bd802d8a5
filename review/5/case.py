"""The store holds an entry of another writer whose contents are a nested list."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import fleet as deployment

ORDERS = 8
# Rules: "more than three times".
MAX_LOST = 3
DEPTH = int(os.environ.get("DEPTH", "100000"))  # 200 kB; value_bytes is 1,048,576


async def keep_ordering(client, number, answers):
    count = 0
    while True:
        count += 1
        answers.append(await client.order("b%02d%05d" % (number, count)))
        if answers[-1].end != "complete":
            return


async def case(fleet):
    await fleet.start()
    await fleet.start_worker("i-bench", "trial-bench", "perth-a", work_s=0.2)
    await fleet.ready()
    # The machines have to be in touch for connected_ms.
    await asyncio.sleep(4.2)
    answers = []
    orders = [
        asyncio.ensure_future(keep_ordering(fleet.client(number % 3), number, answers))
        for number in range(ORDERS)
    ]
    await asyncio.sleep(1)
    if deployment.trouble():
        nested = deployment.Raw("[" * DEPTH + "]" * DEPTH)
        fleet.store.put("servers", "i-foreign", nested)
        fleet.record("foreign entry written", depth=DEPTH)
    await asyncio.sleep(3)
    for each in orders:
        each.cancel()
    ran = {line["id"] for line in fleet.seen("run", worker="i-bench")}
    lost = [each.id for each in answers if each.end == "cut" and each.id in ran]
    ended = fleet.seen("entry ended")
    if len(lost) > MAX_LOST:
        return "LOST: %d orders on kept connections ran and got no answer%s" % (
            len(lost),
            "; %d entry processes ended" % len(ended) if ended else "",
        )
    return None


deployment.play(FOLDER, case)
