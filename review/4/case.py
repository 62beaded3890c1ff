"""A caller resumes a turn's stream after its entry was killed, and goes on from that turn."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))

import http11
import platform_side as side
import wire
from deployment import ZONES

HOST, SERVICE, PATH = "agents.example", "engines", "/chat/"
DOWN_S = 2.0
PROGRAMS = 6


class Caller:
    """One program: a turn, and a second one that goes on from it."""

    def __init__(self, record, deployment, number):
        self.record, self.number = record, number
        self.entries = [entry.address("frontend") for entry in deployment.entries]
        self.history, self.events = b"", []

    async def attempt(self, entry, text, events, previous):
        """One attempt at a turn, which resumes the stream after the events that the caller has."""
        attempt = side.attempt_id()
        head = side.headers(
            HOST, attempt, 4000, program_id=f"p{self.number}", conversation_id=f"c{self.number}",
            program_deadline_ms=60000, token_budget=4000, token_usage="200,80",
        )
        if previous:
            head.append((wire.PREVIOUS_TURN, previous))
        if events:
            head.append(("Last-Event-Id", events[-1][0]))
        had = len(events)
        channel = http11.Channel(self.entries[entry])
        try:
            await channel.send("POST", PATH + "turn", head, text)
            response = await http11.read_head(channel.reader)
            if response is None:
                raise ConnectionError("closed")
            if response.status != 200:
                await http11.read_body(channel.reader, response)
                self.record(f"caller {self.number}: attempt {attempt} is answered {response.status} {response.body!r}")
                return attempt, False
            whole = await http11_events(channel, events)
        except (OSError, asyncio.IncompleteReadError):
            whole = False
        finally:
            channel.close()
        self.record(f"caller {self.number}: attempt {attempt} at entry {entry} brings events {had + 1} to {len(events)}, {'whole' if whole else 'broken off'}")
        return attempt, whole

    async def turn(self, entry, text, previous=None):
        """Sends a turn until its stream is complete; returns the attempt that completed it."""
        events = self.events = []
        for tries in range(12):
            attempt, whole = await self.attempt(entry, text, events, previous)
            if whole:
                self.expected = self.history + text
                self.history += text + b"".join(data.encode() + b"\n" for _, data in events)
                return attempt
            entry = 1 + (entry + tries) % (len(self.entries) - 1)
            await asyncio.sleep(0.3)
        raise RuntimeError("a turn is not answered")


async def http11_events(channel, events):
    return await asyncio.wait_for(side.read_events(channel, events), 5.0)


async def case():
    record = side.Record(HERE / "record.txt")
    engines = [side.Engine(record, SERVICE, ZONES[number % 3]) for number in range(9)]
    _, deployment = await side.start_deployment(record, engines)
    try:
        route = side.route(
            "chat", HOST, PATH, "streaming", SERVICE, 4000, 200, max_attempts=1, retained=True, retention_s=60.0, sticky=True, resumable=True
        )
        engine = {"engine": {"slots": 16, "kv_cache_tokens": 123112, "stride": 10}}
        await side.Operator(record, deployment).publish(side.table(1, [route], {SERVICE: engine}))
        await side.ready(deployment)
        await asyncio.sleep(3.0)
        callers = [Caller(record, deployment, number) for number in range(PROGRAMS)]
        first = [asyncio.create_task(caller.turn(0, f"first input {caller.number}\n".encode())) for caller in callers]
        if side.TROUBLE:
            while not all(len(caller.events) >= 3 for caller in callers):
                await asyncio.sleep(0.01)
            record(f"{deployment.entries[0].name} is killed")
            deployment.entries[0].kill()
            await asyncio.sleep(DOWN_S)
            deployment.entries[0].start()
        names = await asyncio.gather(*first)
        await asyncio.sleep(5.0)
        wrong = 0
        for caller, name in zip(callers, names):
            attempt = await caller.turn(1 + caller.number % 7, f"second input {caller.number}\n".encode(), name)
            for server in engines:
                for run in server.runs:
                    if run.attempt == attempt:
                        right = run.body == caller.expected
                        wrong += not right
                        record(f"turn {attempt}, which goes on from {name}, is run with {run.body!r}")
                        record(f"turn {attempt} {'is as it has to be' if right else f'has to be run with {caller.expected!r}'}")
        record(f"{wrong} of {PROGRAMS} turns were run with another history")
        return wrong > 0
    finally:
        deployment.stop()


sys.exit(side.run_case(case))
