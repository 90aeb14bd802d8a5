"""Stand-in for a worker: a model engine or a plain service.

It registers itself in the store, runs requests and carries out orders to copy
a run's memory. Commands arrive on standard input, one a line:
  drain       report that it is leaving, and go on serving
  unregister  remove its entry without such a report, and go on serving
  leave       break off its runs, then end
Each line on standard output is one JSON object about a run or an order.
"""

import asyncio
import json
import os
import sys
import time

import wire

HEARTBEAT_S = 1.2
KV_BYTES = 131072
LINK_MBPS = 19000.0
TOKENS_PER_EVENT = 4
ENDLESS_PART = 1 << 16
ENDLESS_BYTES_PER_S = 60e6  # half of a link of 1,000 Mbit/s


class Run:
    def __init__(self, request_id, tokens, events):
        self.id = request_id
        self.tokens = tokens  # of the prompt
        self.events = events  # of the whole answer
        self.made = 0
        self.stopped = asyncio.Event()
        self.moving = False


class Worker:
    def __init__(self, options):
        self.options = options
        self.name = options["name"]
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.registered = True
        self.runs = {}
        self.copies = {}  # handle -> run that may go on here
        self.link = asyncio.Lock()
        self.handles = 0
        self.sequence = 0
        self.full_until = 0
        self.answers = 0

    def note(self, event, **more):
        line = {"t": round(time.time(), 4), "worker": self.name, "event": event}
        line.update(more)
        print(json.dumps(line), flush=True)

    # ---- Registration ----

    def entry(self):
        self.sequence += 1
        return {
            "service": self.options["service"],
            "address": self.options["address"],
            "zone": self.options["zone"],
            "version": "v1",
            "capacity": self.options.get("capacity", 24),
            "state": self.state,
            "warmup_left_ms": 0,
            "born": self.born,
            "phase": "unified",
            "model_list": [{"name": "m", "version": 1, "adapter_list": []}],
            "sequence": self.sequence,
        }

    async def beat(self):
        metadata = {"name": self.name, "finalizers": []}
        body = {"metadata": metadata, "spec": self.entry()}
        path = "/objects/servers"
        status, _, _ = await wire.call(self.options["store"], "POST", path, body)
        if status == 409:
            await wire.call(self.options["store"], "PUT", path + "/" + self.name, body)

    async def keep_registered(self):
        while self.registered:
            try:
                await self.beat()
            except (ConnectionError, AttributeError, asyncio.IncompleteReadError):
                pass  # the next beat follows
            await asyncio.sleep(HEARTBEAT_S)

    async def obey(self):
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while True:
            line = await reader.readline()
            if not line:
                os._exit(0)  # the test has ended
            command = line.decode().strip()
            if command == "drain":
                self.state = "draining"
                await self.beat()
            elif command == "unregister":
                self.registered = False
                path = "/objects/servers/" + self.name
                await wire.call(self.options["store"], "DELETE", path)
            self.note(command)
            if command == "leave":
                for run in self.runs.values():
                    run.stopped.set()
                await asyncio.sleep(0.05)
                os._exit(0)

    # ---- Requests ----

    async def serve(self, reader, writer):
        try:
            while True:
                request = await wire.read_request(reader)
                if request is not None and time.monotonic() < self.full_until:
                    # While its queue is long it accepts fewer connections.
                    self.note("connection reset", target=request.target)
                    wire.reset(writer)
                    break
                if request is None or not await self.answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request, reader, writer):
        """Returns whether the connection stays open."""
        path = request.target
        if path == "/report":
            return await self.reply_json(writer, 200, self.report())
        if path == "/kv-move":
            return await self.move(request, writer)
        if path.startswith("/kv-handle/"):
            self.copies.pop(path.rsplit("/", 1)[1], None)
            return await self.reply_json(writer, 200, {})
        if path == "/standin/copy":
            order = json.loads(request.body)
            run = Run(order["id"], order["tokens"], order["events"])
            self.copies[order["handle"]] = run
            return await self.reply_json(writer, 200, {})
        request_id = request.header("Limpetlink-Attempt-Id")
        if request.header("Limpetlink-Expected-Instance") not in (None, self.name):
            return await self.reply_json(writer, 421, {}, request_id)
        self.note("arrived", id=request_id, kv_from=request.header("Kv-From"))
        if self.options["model"] == "plain":
            return await self.run_plain(request, request_id, writer)
        return await self.run_stream(request, request_id, reader, writer)

    async def reply_json(self, writer, status, body, request_id=None):
        headers = {"Content-Type": "application/json"}
        if request_id is not None:
            headers["Limpetlink-Attempt-Id"] = request_id
        stays = self.state == "ready"
        if not stays:
            headers["Connection"] = "close"
            headers["Server-Leaving"] = "1"
        await wire.write_response(writer, status, headers, json.dumps(body).encode())
        return stays

    async def run_plain(self, request, request_id, writer):
        self.note("run", id=request_id)
        await asyncio.sleep(float(self.options.get("work_s", 0.03)))
        headers = {
            "Limpetlink-Attempt-Id": request_id,
            "Limpetlink-Response-Signature": "s." + self.name + "." + request_id,
        }
        self.answers += 1
        if self.answers == self.options.get("endless_answer"):
            await self.send_endless(headers, request_id, writer)
            return False
        await wire.write_response(writer, 200, headers, b"x" * 800)
        self.note("ended", id=request_id)
        return True

    async def send_endless(self, headers, request_id, writer):
        """A chunk whose size line never ends, until the caller closes."""
        wire.write_stream_head(writer, headers, True)
        writer.write(b"320;note=")
        sent = 0
        started = time.monotonic()
        try:
            while True:
                writer.write(b"x" * ENDLESS_PART)
                await writer.drain()
                sent += ENDLESS_PART
                due = started + sent / ENDLESS_BYTES_PER_S
                await asyncio.sleep(max(0, due - time.monotonic()))
        except ConnectionError:
            pass
        self.note("caller closed", id=request_id, bytes=sent)

    async def run_stream(self, request, request_id, reader, writer):
        prompt, output = request.header("Limpetlink-Token-Usage").split(",")
        run = Run(request_id, int(prompt), max(1, int(output) // TOKENS_PER_EVENT))
        kv_from = request.header("Kv-From")
        if kv_from is not None:
            copy = self.copies.pop(kv_from.rsplit("/", 1)[1], None)
            if copy is None or copy.id != request_id:
                headers = {
                    "Limpetlink-Attempt-Id": request_id,
                    "Limpetlink-Not-Executed": "1",
                }
                await wire.write_response(writer, 503, headers, b"")
                return True
            run = copy
            run.made = int(request.header("Last-Event-Id"))
        self.runs[request_id] = run
        self.note("run", id=request_id, first=run.made + 1)
        headers = {
            "Content-Type": "text/event-stream",
            "Limpetlink-Attempt-Id": request_id,
            "Limpetlink-Response-Signature": "s." + self.name + "." + request_id,
            "Limpetlink-Weight-Versions": "1",
        }
        if self.state != "ready":
            headers["Server-Leaving"] = "1"
        framed = not (self.options.get("unframed") and kv_from is None)
        wire.write_stream_head(writer, headers, framed)
        left = asyncio.ensure_future(reader.read(1))
        try:
            ended = await self.produce(run, writer, framed, left)
        finally:
            left.cancel()
            self.runs.pop(request_id, None)
        self.note("ended" if ended else "stopped", id=request_id, made=run.made)
        if ended and framed:
            wire.end_stream(writer)
            await writer.drain()
        return False  # the connection closes

    async def produce(self, run, writer, framed, left):
        """Returns whether the run came to its end."""
        stopped = asyncio.ensure_future(run.stopped.wait())
        drops = not self.options.get("keeps_running")
        while run.made < run.events:
            waits_for = {stopped} | ({left} if drops else set())
            interval = float(self.options.get("event_s", 0.03))
            done, _ = await asyncio.wait(
                waits_for, timeout=interval, return_when=asyncio.FIRST_COMPLETED
            )
            if done:
                break
            run.made += 1
            if left.done():
                self.note("works", id=run.id, event_made=run.made)
                continue
            event = "id: %d\ndata: %s-%d\n\n" % (run.made, run.id, run.made)
            wire.write_part(writer, event.encode(), framed)
        stopped.cancel()
        return run.made >= run.events

    # ---- Orders ----

    def report(self):
        executions = [
            [run.id, run.tokens + run.made * TOKENS_PER_EVENT, run.made, 5]
            for run in self.runs.values()
            if run.made > 0
        ]
        return {
            "phase": "unified",
            "model_list": [{"name": "m", "version": 1, "adapter_list": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "active": len(self.runs),
            "kv_in_use": sum(each[1] for each in executions),
            "kv_size": 34277,
            "kv_handles": self.handles,
            "born": self.born,
            "state": self.state,
            "executions": executions,
        }

    async def move(self, request, writer):
        order = json.loads(request.body)
        run = self.runs.get(order["id"])
        self.note("move", id=order["id"], to=order["to"], final=order["final"])
        if run is None or run.made == 0:
            return await self.reply_json(writer, 404, {})
        if run.moving:
            return await self.reply_json(writer, 409, {})
        run.moving = True
        if order["final"]:
            run.stopped.set()
        async with self.link:  # copies run one after another
            tokens = 0 if order["final"] else run.tokens + run.made * TOKENS_PER_EVENT
            await asyncio.sleep(0.005 + tokens * KV_BYTES * 8 / (LINK_MBPS * 1e6))
        run.moving = False
        self.handles += 1
        handle = "%s-%d" % (self.name, self.handles)
        copy = {
            "id": run.id,
            "tokens": run.tokens,
            "events": run.events,
            "handle": handle,
        }
        await wire.call(order["to"], "POST", "/standin/copy", copy)
        self.note("moved", id=run.id, final=order["final"], created=run.made)
        if not order["final"]:
            self.full_until = time.monotonic() + self.options.get("full_s", 0)
        answer = {"kv_handle": handle, "created": run.made}
        return await self.reply_json(writer, 200, answer)


async def main():
    worker = Worker(json.loads(sys.argv[1]))
    host, port = worker.options["address"].split(":")
    await asyncio.start_server(worker.serve, host, int(port))
    await asyncio.gather(worker.keep_registered(), worker.obey())


asyncio.run(main())
