"""HTTP/1.1 as the stand-ins speak it, for asyncio."""

import asyncio


class Message:
    """A start line, headers with names in lower case, and a body."""

    def __init__(self, start, headers, body=b""):
        self.start, self.headers, self.body = start, headers, body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])


async def read_head(reader):
    """The head of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    start, *lines = raw.decode("latin-1")[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start, headers)


async def read_chunk(reader):
    """The next chunk; empty at the end."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise asyncio.IncompleteReadError(line, None)
    size = int(line.split(b";")[0], 16)
    if size == 0:
        while (await reader.readline()).strip():
            pass
        return b""
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, message):
    """Reads the whole body that the head announces."""
    if "chunked" in message.get("transfer-encoding", "").lower():
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        message.body = b"".join(parts)
    elif message.get("content-length") is not None:
        message.body = await reader.readexactly(int(message.get("content-length")))
    elif message.start.startswith("HTTP/"):
        message.body = await reader.read(-1)
    return message


async def read_message(reader):
    message = await read_head(reader)
    return None if message is None else await read_body(reader, message)


def encode(start, headers, body=b""):
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Channel:
    """A client's connection, kept for many requests."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None

    async def connect(self):
        if self.writer is None:
            opening = asyncio.open_connection(*self.address, limit=1 << 22)
            self.reader, self.writer = await asyncio.wait_for(opening, 1.0)

    async def send(self, method, path, headers, body=b""):
        await self.connect()
        named = {name.lower() for name, _ in headers}
        if (body or method == "POST") and "content-length" not in named:
            headers = [*headers, ("Content-Length", len(body))]
        self.writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
        await self.writer.drain()

    async def request(self, method, path, headers, body=b"", timeout=5.0):
        """Sends a request and reads the whole response; raises if there is none in time."""
        async def exchange():
            await self.send(method, path, headers, body)
            response = await read_message(self.reader)
            if response is None:
                raise ConnectionError("closed without an answer")
            return response
        try:
            response = await asyncio.wait_for(exchange(), timeout)
        except BaseException:
            self.close()
            raise
        if response.get("connection", "").lower() == "close":
            self.close()
        return response

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
