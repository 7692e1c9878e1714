"""The cluster in the simulator: verdicts that several instances reach by messages and alarms."""

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
    """Three instances in one adapter; simulates the clock and delivers the messages between them."""

    def __init__(self, folder: Path, peers: bool = True) -> None:
        file = folder / "cluster.txtpb"
        file.write_text('cluster { name: "here" verdicts: true }')
        self.host = adapter.RouterHost(adapter.cluster_factory(str(file)))
        self.now, self.posts, self.requests = 1.0, 0, 0
        self.alarms: list[tuple[float, str, str]] = []
        self.sent: list[tuple[str, str, str]] = []  # instance, request, source
        for number in range(3):
            limits = SETTINGS["limits"] | {"peers": peers}  # type: ignore[operator]
            settings = json.dumps(SETTINGS | {"me": number, "limits": limits})
            self.deliver(f"provision\trouter={number}\tsalt={number}\tsettings={settings}")
            self.deliver(f"update\trouter={number}\tmode=restored\tstamp=1\tmembersList=4", *ENTRIES)

    def deliver(self, *lines: str) -> None:
        waiting = [list(lines)]
        while waiting:
            for line in self.host.handle_batch([f"tick\tts={self.now:.6f}", *waiting.pop(0)]):
                fields = adapter.Fields(line)
                router = fields.required("router", str)
                if fields.name == "post":
                    self.posts += 1
                    peer = fields.required("peer", str)
                    for to in range(3) if peer == "*" else [int(peer)]:
                        if str(to) != router:
                            content = fields.required("content", str)
                            waiting.append([f"note_from\trouter={to}\tsrcPeer={router}\tcontent={content}"])
                elif fields.name == "wake_at":
                    due = self.now + fields.required("offset", float)
                    self.alarms.append((due, router, fields.required("nonce", str)))
                elif fields.name == "obtain":
                    self.sent.append((router, fields.required("rid", str), fields.required("feeder", str)))

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while self.alarms and min(self.alarms)[0] <= end:
            due = min(self.alarms)
            self.alarms.remove(due)
            self.now = max(self.now, due[0])
            self.deliver(f"alarm\trouter={due[1]}\tnonce={due[2]}")
        self.now = end

    def send_request(self, router: int, item: int) -> str:
        """Sends a request and returns its source."""
        self.requests += 1
        self.deliver(f"query\trouter={router}\trid=r{self.requests}\tgrade=photo\titem={item}\ttimeBudget=2")
        return self.sent[-1][2]

    def end_attempt(self, router: int, result: str, info: int) -> None:
        line = (
            f"returned\trouter={router}\trid=r{self.requests}\ttry=0\tcache=1:1\tresult={result}\tinfo={info}"
        )
        self.deliver(f"{line}\tdelaySeen=0.1" + ("\tlast=1" if result == "served" else ""))


def test_an_instance_probes_a_parent_at_once_after_two_others_find_it_dead(tmp_path: Path) -> None:
    rig = SimulatorRig(tmp_path)
    items = []
    for item in range(40):
        if rig.send_request(2, item) == "2:1":
            items.append(item)
        rig.end_attempt(2, "served", 2)
    rig.pass_time(2.5)  # recent successes outweigh a verdict
    for _ in range(3):
        for router in (0, 1):
            for item in range(12):  # the other parent serves these instances, so they are not isolated
                dead = rig.send_request(router, item) == "2:1"
                rig.end_attempt(router, "turned_away" if dead else "served", 7 if dead else 2)
        rig.pass_time(0.1)
    assert rig.posts > 0
    # The third instance has seen no failure itself: one request probes the parent, the next ones avoid it.
    first, *rest = [rig.send_request(2, item) for item in items[1:6]]
    assert first == "2:1" and set(rest) == {"2:2"}


def test_without_peers_no_message_is_sent_and_no_alarm_set(tmp_path: Path) -> None:
    rig = SimulatorRig(tmp_path, peers=False)
    rig.send_request(0, 1)
    assert rig.posts == 0 and rig.alarms == [] and rig.host.clusters == {}


def test_malformed_message_content_has_no_effect(tmp_path: Path) -> None:
    rig = SimulatorRig(tmp_path)
    for content in ("-", "AAAA", "!!!!", "A" * 4000):
        rig.deliver(f"note_from\trouter=0\tsrcPeer=1\tcontent={content}")
    assert sum(rig.host.clusters["0"].transport.rejected.values()) == 4
    with pytest.raises(adapter.WireError):
        rig.deliver("note_from\trouter=0\tcontent=AAAA")
