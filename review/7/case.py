"""A few of the callers that ask for the same page leave before the answer."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))

import http11
import platform_side as side
from deployment import ZONES

HOST = "app.example"
FIRST, ADDED = "/shifts/", "/status/"
CALLERS = 20
# A quarter of the callers leaves once, within half of the objective of 500 ms.
LEAVING = 5
PATIENCE_S = 0.1
TOUCH_S = 3.0
CONFIG_S = 2.0
WINDOW_S = 45.0


async def case():
    record = side.Record(HERE / "record.txt")
    first = [side.Server(record, "first", ZONES[number % 3]) for number in range(4)]
    added = [side.Server(record, "added", ZONES[number % 3], work_s=0.2) for number in range(6)]
    _, deployment = await side.start_deployment(record, first + added)
    answers = []
    try:
        operator = side.Operator(record, deployment)
        services = {"first": {}, "added": {}}
        routes = [side.route("first", HOST, FIRST, "idempotent", "first")]
        await operator.publish(side.table(1, routes, services))
        await side.ready(deployment)
        await operator.publish(side.table(2, [*routes, side.route("added", HOST, ADDED, "idempotent", "added", objective_ms=500)], services))
        await asyncio.sleep(CONFIG_S + TOUCH_S)
        started = time.monotonic()
        settled = started + 2.5 + TOUCH_S

        async def ask(channel, path):
            sent, attempt = time.monotonic(), side.attempt_id()
            try:
                status = (await channel.request("GET", path, side.headers(HOST, attempt, 1500), timeout=1.7)).status
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                status = type(error).__name__
            record(f"caller: {attempt} GET {path} is answered {status}")
            answers.append((path, sent, status))

        async def poller(number, path):
            """Asks once a second, all callers in step, as schedules do."""
            channel = http11.Channel(deployment.entries[number % 8].address("frontend"))
            for second in range(int(5 + TOUCH_S + WINDOW_S)):
                await asyncio.sleep(max(0.0, started + second - time.monotonic()))
                if side.TROUBLE and path == ADDED and second == 2 and number < LEAVING:
                    attempt = side.attempt_id()
                    await channel.send("GET", path, side.headers(HOST, attempt, 1500))
                    await asyncio.sleep(PATIENCE_S)
                    channel.close()
                    record(f"caller: {attempt} GET {path}: the caller leaves after {PATIENCE_S} s")
                else:
                    await ask(channel, path)

        pollers = [poller(number, ADDED) for number in range(CALLERS)]
        pollers += [poller(number, f"{FIRST}{number}") for number in range(CALLERS)]
        await asyncio.gather(*pollers)

        def share(is_added):
            statuses = [status for path, sent, status in answers if (path == ADDED) == is_added and sent > settled]
            return statuses.count(200), len(statuses)

        (served, asked), (first_served, first_asked) = share(True), share(False)
        record(f"later than {settled - started:.1f} s after the start: added route {served} of {asked} served, first route {first_served} of {first_asked}")
        return asked >= 20 and served / asked < first_served / first_asked / 4
    finally:
        deployment.stop()


sys.exit(side.run_case(case))
