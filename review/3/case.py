"""Two engines leave, one shortly after the other, while a stream moves."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import fleet as deployment

EVENTS = 235
OTHERS = 11  # two of twelve engines leave
STREAMS = 12
PROMPT = 2400
ORDERS = 8
SPOT_S = 2.1
LATE_COPY_S = 1.8
# Rules: "more than three times".
MAX_LOST = 3


async def keep_ordering(fleet, client, number, answers):
    """Sends orders on one kept connection until the test ends."""
    count = 0
    while True:
        count += 1
        answers.append(await client.order("b%02d%05d" % (number, count)))
        if answers[-1].end != "complete":
            return


async def leave(fleet):
    """One engine is taken away after its notice, and a second one leaves as well."""
    fleet.command("i-source", "drain")
    await fleet.until(lambda: fleet.seen("drain", worker="i-source"), 2, "notice")
    notice = fleet.seen("drain", worker="i-source")[0]["at"]

    def copies(**fields):
        return [
            line
            for line in fleet.seen("move", final=False, **fields)
            if line["at"] > notice + LATE_COPY_S
        ]

    await fleet.until(copies, 5, "a late copy")
    first = copies()[0]
    # Never reports that it leaves: its entry is removed, and it goes on serving.
    fleet.command(fleet.name_at(first["to"]), "unregister")
    again = lambda: len(copies(id=first["id"])) > 1
    await fleet.until(again, 3, "copy to another engine")
    elapsed = copies(id=first["id"])[1]["at"] - notice
    await asyncio.sleep(max(0.05, SPOT_S - elapsed))
    fleet.command("i-source", "leave")


async def case(fleet):
    await fleet.start()
    await fleet.start_worker("i-source", "tasting-model", "perth-a")
    await fleet.start_worker("i-bench", "trial-bench", "perth-a", work_s=0.2)
    await fleet.ready()
    # The machine has to be in touch for connected_ms.
    await asyncio.sleep(4.2)
    answers = []
    orders = [
        asyncio.ensure_future(keep_ordering(fleet, fleet.client(), number, answers))
        for number in range(ORDERS)
    ]
    streams = [
        asyncio.ensure_future(
            fleet.client().stream("a%07d" % number, PROMPT, 4 * EVENTS)
        )
        for number in range(STREAMS)
    ]
    runs = lambda: len(fleet.seen("run", worker="i-source")) == STREAMS
    await fleet.until(runs, 5, "start of the streams")
    for number in range(OTHERS):
        zone = list(deployment.ZONES)[number % 3]
        await fleet.start_worker("i-next-%d" % number, "tasting-model", zone)
    await asyncio.sleep(1)
    if deployment.trouble():
        await leave(fleet)
    await asyncio.sleep(3)
    for each in orders:
        each.cancel()
    for each in streams:
        each.cancel()
    ran = {line["id"] for line in fleet.seen("run", worker="i-bench")}
    lost = [each.id for each in answers if each.end == "cut" and each.id in ran]
    ended = fleet.seen("entry ended")
    if len(lost) > MAX_LOST:
        return "LOST: %d orders on kept connections ran and got no answer%s" % (
            len(lost),
            "; the entry process ended with code %d" % ended[0]["code"] if ended else "",
        )
    return None


deployment.play(FOLDER, case)
