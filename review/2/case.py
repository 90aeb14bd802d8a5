"""A stream without a length is moved off a worker that leaves."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import fleet as deployment

EVENTS = 235
OTHERS = 5  # one of six engines leaves


async def case(fleet):
    await fleet.start()
    await fleet.start_worker("i-source", "tasting-model", "perth-a", unframed=True)
    await fleet.ready()
    client = fleet.client()
    stream = asyncio.ensure_future(client.stream("a0000001", 3079, 4 * EVENTS))
    run = lambda: fleet.seen("run", id="a0000001")
    await fleet.until(run, 5, "start of the stream")
    for number in range(OTHERS):
        zone = list(deployment.ZONES)[number % 3]
        await fleet.start_worker("i-next-%d" % number, "tasting-model", zone)
    await asyncio.sleep(1.5)
    if deployment.trouble():
        fleet.command("i-source", "drain")
    answer = await stream
    if answer.end == "complete" and answer.status == 200:
        if answer.events != list(range(1, EVENTS + 1)):
            return "ORDER: the stream ended as complete after %d of %d events" % (
                len(answer.events),
                EVENTS,
            )
    return None


deployment.play(FOLDER, case)
