"""The cluster in the simulator: verdicts of several instances, by their messages and alarms."""

import json
from pathlib import Path

import pytest

from paddlequay.simulator import adapter

SETTINGS = {
    "locality": "here",
    "localities": ["here", "hub"],
    "kinds": ["box", "parent", "origin"],
    "groupSize": 3,
    "classes": [{"name": "photo", "aim": 0.5, "deadline": 2, "idempotency": "read_like", "window": 5}],
    "limits": {"attemptsCap": 6, "peers": True},
    "rules": {},
    "extra": {"parentKind": 1, "rootKind": 2, "goesThrough": [False], "bypassAllowed": True, "detail": "all"},
}
ENTRIES = [
    "entry\tcache=1:1\trackZone=here\tshape=box\tstatus=IN",
    "entry\tcache=2:1\trackZone=hub\tshape=parent\tstatus=IN",
    "entry\tcache=2:2\trackZone=hub\tshape=parent\tstatus=IN",
    "entry\tcache=3:1\trackZone=hub\tshape=origin\tstatus=IN",
]


class SimulatorRig:
    """Instances in one adapter; the clock and the messages between them are the simulator's."""

    def __init__(self, folder: Path, peers: bool = True) -> None:
        file = folder / "cluster.txtpb"
        file.write_text('cluster { name: "here" verdicts: true }')
        self.host = adapter.RouterHost(adapter.cluster_factory(str(file)))
        self.now, self.posts, self.tries = 1.0, 0, 0
        self.alarms: list[tuple[float, str, str]] = []
        self.sent: list[tuple[str, str, str]] = []  # instance, request, source
        for number in range(3):
            limits = SETTINGS["limits"] | {"peers": peers}  # type: ignore[operator]
            told = json.dumps(SETTINGS | {"me": number, "limits": limits})
            self.batch(f"provision\trouter={number}\tsalt={number}\tsettings={told}")
            self.batch(f"update\trouter={number}\tmode=restored\tstamp=1\tmembersList=4", *ENTRIES)

    def batch(self, *lines: str) -> None:
        waiting = [list(lines)]
        while waiting:
            for line in self.host.handle_batch([f"tick\tts={self.now:.6f}", *waiting.pop(0)]):
                told = adapter.Fields(line)
                router = told.required("router", str)
                if told.name == "post":
                    self.posts += 1
                    peer = told.required("peer", str)
                    for to in range(3) if peer == "*" else [int(peer)]:
                        if str(to) != router:
                            content = told.required("content", str)
                            waiting.append([f"note_from\trouter={to}\tsrcPeer={router}\tcontent={content}"])
                elif told.name == "wake_at":
                    due = self.now + told.required("offset", float)
                    self.alarms.append((due, router, told.required("nonce", str)))
                elif told.name == "obtain":
                    self.sent.append((router, told.required("rid", str), told.required("feeder", str)))

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while self.alarms and min(self.alarms)[0] <= end:
            due = min(self.alarms)
            self.alarms.remove(due)
            self.now = max(self.now, due[0])
            self.batch(f"alarm\trouter={due[1]}\tnonce={due[2]}")
        self.now = end

    def ask(self, router: int, item: int) -> str:
        """Sends a request and returns its source."""
        self.tries += 1
        self.batch(f"query\trouter={router}\trid=r{self.tries}\tgrade=photo\titem={item}\ttimeBudget=2")
        return self.sent[-1][2]

    def ended(self, router: int, result: str, note: int) -> None:
        told = f"returned\trouter={router}\trid=r{self.tries}\ttry=0\tcache=1:1\tresult={result}\tinfo={note}"
        self.batch(f"{told}\tdelaySeen=0.1" + ("\tlast=1" if result == "served" else ""))


def test_a_third_instance_probes_a_parent_at_once_that_two_instances_find_dead(tmp_path: Path) -> None:
    rig = SimulatorRig(tmp_path)
    items = []
    for item in range(40):
        if rig.ask(2, item) == "2:1":
            items.append(item)
        rig.ended(2, "served", 2)
    rig.pass_time(2.5)  # being served lately outweighs a verdict
    for _ in range(3):
        for router in (0, 1):
            for item in range(12):  # the other parent serves them: these instances are not isolated
                dead = rig.ask(router, item) == "2:1"
                rig.ended(router, "turned_away" if dead else "served", 7 if dead else 2)
        rig.pass_time(0.1)
    assert rig.posts > 0
    # The third has had no failure itself: one request probes the parent, the next ones go elsewhere.
    first, *rest = [rig.ask(2, item) for item in items[1:6]]
    assert first == "2:1" and set(rest) == {"2:2"}


def test_without_peers_no_message_is_sent_and_no_alarm_set(tmp_path: Path) -> None:
    rig = SimulatorRig(tmp_path, peers=False)
    rig.ask(0, 1)
    assert rig.posts == 0 and rig.alarms == [] and rig.host.clusters == {}


def test_malformed_message_content_has_no_effect(tmp_path: Path) -> None:
    rig = SimulatorRig(tmp_path)
    for content in ("-", "AAAA", "!!!!", "A" * 4000):
        rig.batch(f"note_from\trouter=0\tsrcPeer=1\tcontent={content}")
    assert sum(rig.host.clusters["0"].transport.rejected.values()) == 4
    with pytest.raises(adapter.WireError):
        rig.batch("note_from\trouter=0\tcontent=AAAA")
