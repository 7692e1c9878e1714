"""A hot restart while a client reads large answers at 1 MB a second and goes on using its connection."""

import asyncio
import contextlib
import math
import signal
import time
from pathlib import Path

from second.bulletin import Bulletin, roster
from second.caches import Answer, Ask, new_copy
from second.clients import Client
from second.fleet import Fleet
from second.zone import TROUBLE, Zone, free_address, run_case, settings

NAMES = ("box-1", "box-2", "parent-1", "origin-1")
OBJECT_SIZE = 240_000
READ_BYTES_PER_S = 1_000_000
CLIENTS = 4
AT_ONCE = 7  # a charge, and 1.44 MB, which take the client a second and a half
CHARGE = 5
ONE_BY_ONE = 10
STEP_S = 0.35  # parts are asked for one after another every 0.35 to 0.85 s
CROSSING_S = 0.1  # a request that crosses the close of a connection within 50 ms is sent again
LONGEST_WAIT_S = 15.0


class LargeObjects(Fleet):
    """Caches that hold all objects, each of the largest size; the origin runs charges at once."""

    def __init__(self, zone: Zone) -> None:
        super().__init__(zone)
        self.answered: dict[str, float] = {}
        self.charges: set[str] = set()

    async def answer(self, ask: Ask) -> Answer:
        """Answers with a hit."""
        await asyncio.sleep(0.01)
        self.answered[ask.id] = time.time()
        if ask.fields["queue"] == "toll-charge":
            self.charges.add(ask.id)
            return new_copy(*ask.part, size=200).hit("HIT")
        return new_copy(*ask.part, size=OBJECT_SIZE).hit("HIT")


async def case(zone: Zone) -> list[str]:
    """Returns which requests got no answer, though they were sent while the router served as usual."""
    record = zone.record
    fleet = LargeObjects(zone)
    for name in NAMES:
        await fleet.add(name)
    bulletin = Bulletin("bulletin", record, first=[roster(*map(fleet.entry, NAMES), reset=True)])
    await bulletin.start()
    config = zone.write_config(
        "n0", listen=free_address(), bulletin=bulletin.address, known=bulletin.known(), settings=settings()
    )
    router = zone.router(config)
    await router.ready()
    clients = [Client(record, router.listen, READ_BYTES_PER_S) for _ in range(CLIENTS)]
    for client in clients:
        await client.connect()

    async def use(client: Client, first: int) -> None:
        """Asks for some objects at once, then for one after another, and waits for all answers."""
        with contextlib.suppress(OSError):
            for number in range(AT_ONCE + ONE_BY_ONE):
                if client.closed_at:
                    break
                method, ttl = ("toll-charge", 3000) if number == CHARGE else ("lane-video", 6000)
                await client.ask(method, row=first + number, ttl=ttl)
                await asyncio.sleep(0.0 if number < AT_ONCE else STEP_S)
        await client.all_answered(LONGEST_WAIT_S)

    uses = [asyncio.ensure_future(use(client, 100 * number)) for number, client in enumerate(clients)]
    yes_at = math.inf
    if TROUBLE:
        successor = zone.router(config)
        await successor.ready()
        yes_at = time.time()
        router.signal(signal.SIGTERM)
    await asyncio.gather(*uses)
    lost = 0
    owed = 0
    charges = 0
    for client in clients:
        # Requests that were on the connection long before it could be closed. The one whose answer has begun
        # and breaks off has failed and is not lost.
        # Neither does one count that no cache had answered by then.
        calls = [
            call
            for call in client.calls.values()
            if call.sent_at < yes_at - CROSSING_S
            and fleet.answered.get(call.fields["call"], math.inf) < yes_at - CROSSING_S / 2
        ]
        unanswered = [call for call in calls if call.outcome == "none"]
        ran = [call for call in unanswered if call.fields["call"] in fleet.charges]
        charges += len(ran)
        record.say("client", owed=len(calls), unanswered=len(unanswered), begun=len(client.buffer))
        owed += len(calls)
        lost += max(0, len(unanswered) - int(bool(client.buffer)))
    if not lost:
        return []
    return [
        f"{lost} of {owed} requests got no answer, not even the beginning of one; "
        f"{charges} of them are charges that have run"
    ]


run_case(Path(__file__).parent, case)
