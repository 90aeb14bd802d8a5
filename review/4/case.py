"""One faulty worker sends bytes without end in the body of an answer."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import fleet as deployment

ORDERS = 18
# Rules: "more than three times".
MAX_LOST = 3
SPOILT_ANSWER = 40  # one of 40 answers; the limit is 0.03 of them
SOUND = {"work_s": 0.2, "capacity": 6}


async def keep_ordering(client, number, answers):
    count = 0
    while True:
        count += 1
        answers.append(await client.order("b%02d%05d" % (number, count)))
        if answers[-1].end != "complete":
            return


async def case(fleet):
    await fleet.start()
    for name in ("i-bench-1", "i-bench-2"):
        await fleet.start_worker(name, "trial-bench", "perth-a", **SOUND)
    await fleet.ready()
    # The machine has to be in touch for connected_ms.
    await asyncio.sleep(4.2)
    answers = []
    orders = [
        asyncio.ensure_future(keep_ordering(fleet.client(), number, answers))
        for number in range(ORDERS)
    ]
    await asyncio.sleep(1)
    spoilt = SPOILT_ANSWER if deployment.trouble() else None
    await fleet.start_worker(
        "i-faulty", "trial-bench", "perth-a", endless_answer=spoilt, **SOUND
    )
    await asyncio.sleep(6)
    for each in orders:
        each.cancel()
    sound = ("i-bench-1", "i-bench-2")
    ran = {line["id"] for line in fleet.seen("run") if line["worker"] in sound}
    lost = [each.id for each in answers if each.end == "cut" and each.id in ran]
    killed = fleet.seen("over memory_mb")
    if len(lost) > MAX_LOST:
        return "LOST: %d orders on kept connections ran and got no answer%s" % (
            len(lost),
            "; the entry process used %d MB" % killed[0]["mb"] if killed else "",
        )
    return None


deployment.play(FOLDER, case)
