"""HTTP/1.1 for the stand-ins, over asyncio streams."""

import asyncio
import json
import socket
import struct

REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict"}


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    def header(self, name):
        return self.headers.get(name.lower())


async def read_head(reader):
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = (await reader.readline()).decode("latin-1").rstrip("\r\n")
        if not field:
            break
        name, value = field.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    return Message(line.decode("latin-1").strip(), headers, b"")


async def read_request(reader):
    message = await read_head(reader)
    if message is not None:
        length = int(message.header("Content-Length") or 0)
        message.body = await reader.readexactly(length)
    return message


async def read_chunks(reader, parts):
    """Appends the chunks of a body to a list; raises if it is incomplete."""
    while True:
        size = await reader.readline()
        if not size.endswith(b"\n"):
            raise asyncio.IncompleteReadError(size, None)
        length = int(size.strip(), 16)
        data = await reader.readexactly(length + 2)
        if length == 0:
            return
        parts.append(data[:-2])


def render_head(status, headers):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    lines += ["%s: %s" % each for each in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def write_response(writer, status, headers, body):
    whole = dict(headers)
    whole["Content-Length"] = str(len(body))
    writer.write(render_head(status, whole) + body)
    await writer.drain()


def write_stream_head(writer, headers, framed):
    whole = dict(headers)
    if framed:
        whole["Transfer-Encoding"] = "chunked"
    else:
        whole["Connection"] = "close"  # the answer ends with its connection
    writer.write(render_head(200, whole))


def write_part(writer, data, framed):
    writer.write(b"%x\r\n%s\r\n" % (len(data), data) if framed else data)


def end_stream(writer):
    writer.write(b"0\r\n\r\n")


def reset(writer):
    """Closes a connection with a reset."""
    connection = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def call(address, method, path, body=None):
    """One call with a JSON body, on a connection of its own."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
    data = b"" if body is None else json.dumps(body).encode()
    head = "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n" % (
        method,
        path,
        address,
    )
    writer.write((head + "Content-Length: %d\r\n\r\n" % len(data)).encode() + data)
    message = await read_head(reader)
    length = int(message.header("Content-Length") or 0)
    message.body = await reader.readexactly(length)
    writer.close()
    return int(message.start.split(" ")[1]), message.headers, message.body
