"""The platform, its servers, its operator and its callers, as far as a case needs them."""

import asyncio
import itertools
import json
import os
import random
import time
import urllib.parse
import zlib

import http11
import wire
from deployment import Deployment
from deployment import as_json

DRAIN_S = 3.0
MAX_LAG_S = 0.8
PAGE = 50


TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def serve(handler, address=("127.0.0.1", 0)):
    server = await asyncio.start_server(handler, *address, limit=1 << 22)
    return server, server.sockets[0].getsockname()


class ServerList:
    """The platform's list of servers, which lags."""

    def __init__(self, record):
        self.record, self.servers, self.raw, self.views, self.reads = record, [], [], [], 0
        self.calls = []

    async def start(self):
        self.server, self.address = await serve(self.handle)
        self.refreshing = asyncio.create_task(self.refresh())
        return self

    def entries(self):
        return [as_json(server.entry()) for server in self.servers if server.listed] + list(self.raw)

    async def refresh(self):
        while True:
            self.views.append((time.monotonic(), self.entries()))
            while len(self.views) > 1 and self.views[1][0] + MAX_LAG_S / 2 <= time.monotonic():
                self.views.pop(0)
            await asyncio.sleep(0.05)

    async def handle(self, reader, writer):
        try:
            while request := await http11.read_message(reader):
                now = time.monotonic()
                self.calls = [at for at in self.calls if at > now - 1.0] + [now]
                if len(self.calls) > 44:
                    writer.write(http11.encode("HTTP/1.1 429 Too Many Requests", [("Content-Length", 0)]))
                    continue
                query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(request.start.split(" ")[1]).query))
                first = int(query.get(wire.PAGE_QUERY, "p-0")[2:])
                entries = self.views[0][1] if self.views else []
                following = f'"p-{first + PAGE}"' if first + PAGE < len(entries) else "null"
                body = b'{"%s":[%s],"%s":%s}' % (
                    wire.LIST_FIELD.encode(), b",".join(entries[first:first + PAGE]),
                    wire.NEXT_FIELD.encode(), following.encode(),
                )
                self.reads += 1
                head = [("Content-Type", "application/json"), ("Content-Length", len(body))]
                writer.write(http11.encode("HTTP/1.1 200 OK", head, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Run:
    """One request at a server."""

    def __init__(self, server, request, at):
        self.server, self.at, self.ended = server, at, None
        self.attempt = request.get(wire.ATTEMPT_ID)
        method, self.path, _ = request.start.split(" ")
        self.method, self.body, self.headers = method, request.body, request.headers


class Server:
    """A backend server of one service. It runs as many requests at once as it has slots, and drops those whose channel closes."""

    numbers = itertools.count(1)

    def __init__(self, record, service, zone, slots=6, work_s=0.05, version="v1"):
        self.record, self.service, self.zone, self.slots, self.work_s, self.version = record, service, zone, slots, work_s, version
        self.id = f"i-{next(self.numbers):04x}{random.randrange(1 << 16):04x}"
        self.listed, self.draining, self.running, self.waiting = True, False, 0, 0
        self.arrivals, self.runs, self.writers = [], [], set()
        self.free = asyncio.Semaphore(slots)

    async def start(self, ip="127.0.0.1"):
        self.server, self.address = await serve(self.handle, (ip, 0))
        return self

    def end(self):
        """The process ends: its channels are reset and nothing listens."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self):
        return {
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": "draining" if self.draining else "ready",
            wire.COLD_FIELD: 0, "id": self.id,
        }

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    def head(self, request, extra=()):
        return [
            (wire.ATTEMPT_ID, request.get(wire.ATTEMPT_ID, "")), (wire.SIGNATURE, f"{self.id}.{random.randrange(1 << 32):08x}"),
            (wire.SERVER_LOAD, self.load()), ("Keep-Alive", "timeout=10"), *extra,
        ]

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await http11.read_message(reader):
                if not await self.answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        attempt = request.get(wire.ATTEMPT_ID)
        self.arrivals.append((time.monotonic(), attempt))
        expected = request.get(wire.EXPECTED_INSTANCE)
        if expected is not None and expected != self.id:
            self.record(f"server {self.id} ({self.service}) refuses {attempt}: it is meant for {expected}")
            head = [*self.head(request), (wire.NOT_EXECUTED, "1"), ("Content-Length", 0)]
            writer.write(http11.encode("HTTP/1.1 421 Misdirected Request", head))
            return True
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        run = Run(self, request, time.monotonic())
        self.runs.append(run)
        self.running += 1
        self.record(f"server {self.id} ({self.service}{', draining' if self.draining else ''}) runs {attempt} {run.method} {run.path}")
        closed = asyncio.create_task(reader.read(1))
        try:
            work = asyncio.create_task(self.work(request, run, writer))
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                self.record(f"server {self.id} drops {attempt}: its channel was closed")
                return False
            run.ended = time.monotonic()
            return work.result() and not closed.done()
        finally:
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            self.running -= 1
            self.free.release()

    async def work(self, request, run, writer):
        await asyncio.sleep(self.work_s)
        body = f"{run.attempt} at {self.id}".encode()
        writer.write(http11.encode("HTTP/1.1 200 OK", [*self.head(request), ("Content-Length", len(body))], body))
        await writer.drain()
        return True


def route(name, host, prefix, kind, service, timeout_ms=1500, objective_ms=250, **extra):
    return {
        "name": name, "host": host, wire.PREFIX_FIELD: prefix, wire.KIND_FIELD: kind, wire.TIMEOUT_FIELD: timeout_ms,
        wire.OBJECTIVE_FIELD: objective_ms, "priority": 0, "service": service, "max_attempts": 2, "sticky": False, **extra,
    }


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def table(version, routes, services, limits=None):
    declared = [{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False, **more} for name, more in services.items()]
    return {"version": version, "routes": routes, "services": declared, "limits": {**LIMITS, **(limits or {})}}


class Operator:
    """Sends desired states to the nodes that serve control, again until one has a clear answer."""

    def __init__(self, record, deployment):
        self.record, self.nodes = record, [node.address("control_plane") for node in deployment.control]

    async def call(self, method, path, body=b"", within=30.0):
        until = time.monotonic() + within
        nodes = itertools.cycle(random.sample(self.nodes, len(self.nodes)))
        while time.monotonic() < until:
            channel = http11.Channel(next(nodes))
            try:
                head = [("Host", "control"), ("Content-Type", "application/json")]
                response = await channel.request(method, path, head, body, timeout=1.0)
                if response.status < 500 and response.status not in (408, 429):
                    return response
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            finally:
                channel.close()
            await asyncio.sleep(0.1)
        return None

    async def publish(self, state, within=30.0):
        response = await self.call("POST", wire.PUBLISH, as_json(state), within)
        status = response and response.status
        self.record(f"operator publishes version {state['version']}: {status}")
        return status

    async def read(self):
        response = await self.call("GET", wire.READ)
        return json.loads(response.body) if response is not None and response.status == 200 else None


_attempts = itertools.count(1)


def attempt_id():
    return f"{next(_attempts):06x}{random.randrange(1 << 40):010x}"


def headers(host, attempt, deadline_ms=1500, **extra):
    head = [("Host", host), (wire.ATTEMPT_ID, attempt), (wire.DEADLINE_MS, deadline_ms)]
    return head + [(getattr(wire, name.upper()), value) for name, value in extra.items()]


async def ready(deployment, within=30.0):
    """Waits until all entries take callers."""
    until = time.monotonic() + within
    for entry in deployment.entries:
        while True:
            channel = http11.Channel(entry.address("readiness"))
            try:
                if (await channel.request("GET", wire.READINESS, [("Host", "readiness")], timeout=1.0)).status == 200:
                    break
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            finally:
                channel.close()
            if time.monotonic() > until:
                raise RuntimeError(f"{entry.name} is not ready")
            await asyncio.sleep(0.1)


def run_case(case):
    """Runs a case, at most 115 seconds of it: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    async def guarded():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(), 115)
    try:
        broken = asyncio.run(guarded())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        return 2
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


class Engine(Server):
    """A model server. Its output depends on what it reads alone, so any of them goes on with a stream after its last event."""

    def __init__(self, record, service, zone, slots=16, events=8, gap_s=0.1, first_s=0.05):
        super().__init__(record, service, zone, slots)
        self.events, self.gap_s, self.first_s = events, gap_s, first_s

    async def work(self, request, run, writer):
        await asyncio.sleep(self.first_s)
        head = [*self.head(request), ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(http11.encode("HTTP/1.1 200 OK", head))
        for number in range(int(request.get("last-event-id", 0)) + 1, self.events + 1):
            event = f"id: {number}\ndata: {output(request.body, number)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if number < self.events:
                await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def output(prompt, number):
    """What an engine generates as the event with a number."""
    return f"word{number}-{zlib.crc32(prompt) & 0xffff:04x}"


async def read_events(channel, into):
    """Reads the events of a stream into a list of (id, data); True if the stream is complete."""
    buffer = b""
    while chunk := await http11.read_chunk(channel.reader):
        buffer += chunk
        while b"\n\n" in buffer:
            raw, buffer = buffer.split(b"\n\n", 1)
            fields = dict(line.split(": ", 1) for line in raw.decode().split("\n"))
            into.append((int(fields["id"]), fields["data"]))
    return not buffer


async def start_deployment(record, servers, **sizes):
    """Starts the list, the servers and as many machines as the small site has that the cases are written for."""
    listing = await ServerList(record).start()
    listing.servers = [await server.start() for server in servers]
    deployment = Deployment("{}:{}".format(*listing.address), **{"entries": 8, **sizes})
    deployment.start()
    return listing, deployment
