"""Callers keep channels that they opened to an entry which had just started, and send heads within the declared limit."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))

import http11
import platform_side as side
from deployment import ZONES

HOST, SERVICE, PATH = "app.example", "plain", "/shifts/"
LIMITS = {"max_header_bytes": 32768}
HEAD_BYTES = 20000
CHANNELS = 40
DOWN_S = 0.5
TOUCH_S = 3.0


async def case():
    record = side.Record(HERE / "record.txt")
    servers = [side.Server(record, SERVICE, ZONES[number % 3]) for number in range(9)]
    _, deployment = await side.start_deployment(record, servers)
    refused, asked = 0, 0
    try:
        routes = [side.route("view", HOST, PATH, "idempotent", SERVICE)]
        await side.Operator(record, deployment).publish(side.table(1, routes, {SERVICE: {}}, LIMITS))
        await side.ready(deployment)
        await asyncio.sleep(2.0)
        entry = deployment.entries[0]
        if side.TROUBLE:
            record(f"{entry.name} is killed, and is back after {DOWN_S} s")
            entry.kill()
            await asyncio.sleep(DOWN_S)
            entry.start()
        started = time.monotonic()

        async def caller(number):
            """Reuses one channel. Its heads are short at first, and long once the entry has been in touch for a while."""
            nonlocal refused, asked
            channel = http11.Channel(entry.address("frontend"))
            while time.monotonic() < started + 2 * TOUCH_S + 6.0:
                is_long = time.monotonic() > started + 2 * TOUCH_S
                attempt = side.attempt_id()
                head = side.headers(HOST, attempt, 1500) + ([("Cookie", "basket=" + "x" * HEAD_BYTES)] if is_long else [])
                try:
                    response = await channel.request("GET", f"{PATH}{number}", head, timeout=2.0)
                    status, signed = response.status, side.wire.SIGNATURE in response.headers
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                    status, signed = type(error).__name__, False
                asked += 1
                own_refusal = isinstance(status, int) and 300 <= status < 500 and status not in (408, 421, 429) and not signed
                refused += is_long and own_refusal
                record(f"caller {number}: {attempt} with a {'long' if is_long else 'short'} head is answered {status}")
                # A new channel may be refused while the entry starts.
                await asyncio.sleep(0.05 if isinstance(status, str) else 1.0)

        await asyncio.gather(*(caller(number) for number in range(CHANNELS)))
        allowed = 5 + asked / 500
        record(f"{refused} of {asked} requests were refused with a 4xx of the entry's own; {allowed:.1f} are allowed")
        return refused > allowed
    finally:
        deployment.stop()


sys.exit(side.run_case(case))
