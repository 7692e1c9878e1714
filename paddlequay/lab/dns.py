"""A stand-in DNS server on loopback that can be told to answer wrongly; UDP and TCP share one port."""

import asyncio
import struct
from collections import Counter

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset

SOA = "{zone} {ttl} IN SOA ns.{zone} host.{zone} 1 60 60 60 {ttl}"


class DnsServer:
    """A server for one zone.

    Attributes:
        zone: The name of the zone.
        records: TTL in seconds and data, by name and type.
        fault: The fault that the server shows, one of the names in `answers` and `fill`; empty for none.
        negative_ttl: The TTL in seconds of negative answers.
        delay: The delay of each answer in seconds.
        asked: The number of queries by transport and type, such as `udp A`.
        address: The address on which the server listens.
        extras: Whether an SRV answer carries the addresses of its targets.
        additional: Records as text, of any zone, which are added to each positive answer.
    """

    def __init__(self, zone: str = "plaza.example.") -> None:
        self.zone = zone
        self.records: dict[tuple[str, str], tuple[int, list[str]]] = {}
        self.fault = ""
        self.negative_ttl = 5
        self.delay = 0.0
        self.asked: Counter[str] = Counter()
        self.address = ("127.0.0.1", 0)
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.extras = True
        self.additional: list[str] = []

    def put(self, name: str, kind: str, ttl: int, *data: str) -> None:
        """Sets the records of a name and type; removes them if there is no data."""
        key = (name.lower(), kind)
        if data:
            self.records[key] = (ttl, list(data))
        else:
            self.records.pop(key, None)

    async def start(self) -> None:
        """Listens on a port that is free for both UDP and TCP.

        Raises:
            OSError: None of 20 ports was free for both.
        """
        loop = asyncio.get_running_loop()
        for _ in range(20):
            self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
            self.address = self.server.sockets[0].getsockname()[:2]
            try:
                self.transport, _protocol = await loop.create_datagram_endpoint(
                    lambda: _Datagrams(self), local_addr=self.address
                )
            except OSError:
                self.server.close()
            else:
                return
        raise OSError("found no loopback port that is free for both UDP and TCP in 20 attempts")

    def answers(self, data: bytes, tcp: bool) -> list[tuple[float, bytes]]:
        """Returns the messages that answer a query, with their delays in seconds; none if it is malformed."""
        try:
            message = dns.message.from_wire(data)
            (question,) = message.question
        except Exception:
            return []
        kind = dns.rdatatype.to_text(question.rdtype)
        self.asked[f"{'tcp' if tcp else 'udp'} {kind}"] += 1
        answer = dns.message.make_response(message, recursion_available=True)
        fault = self.fault
        if fault == "silent":
            return []
        if fault in ("servfail", "refused", "formerr"):
            answer.set_rcode(dns.rcode.from_text(fault.upper()))
            return [(self.delay, answer.to_wire())]
        if fault == "garbage":
            return [(self.delay, data[:2] + b"\x81\x80" + bytes(range(60)))]
        if fault == "half":
            return [(self.delay, answer.to_wire()[: len(data) // 2])]
        if (fault == "truncated" and not tcp) or fault == "truncated-everywhere":
            answer.flags |= dns.flags.TC
            return [(self.delay, answer.to_wire())]
        if fault == "lame":
            answer.flags &= ~dns.flags.AA
            return [(self.delay, answer.to_wire())]
        self.fill(answer, question, kind)
        wire = answer.to_wire(max_size=65535)
        forged = [(0.0, self.forged(message, fault))] if fault.startswith("spoofed") else []
        if fault == "wrong-case":
            swapped = dns.message.from_wire(wire)
            swapped.question[0].name = dns.name.from_text(str(question.name).swapcase())
            wire = swapped.to_wire()
        if not tcp and len(wire) > 1232:
            answer.flags |= dns.flags.TC
            answer.answer.clear()
            answer.additional.clear()
            wire = answer.to_wire()
        return [*forged, (1.2 if fault == "late" else self.delay, wire)]

    def forged(self, message: dns.message.Message, fault: str) -> bytes:
        """Returns an answer with an attacker's address, whose question or message id does not match."""
        forgery = dns.message.make_response(message)
        name = message.question[0].name
        data = (
            ["0 0 6666 evil.example."] if message.question[0].rdtype == dns.rdatatype.SRV else ["127.6.6.6"]
        )
        kind = dns.rdatatype.to_text(message.question[0].rdtype)
        forgery.answer = [dns.rrset.from_text_list(name, 999, "IN", kind, data)]
        if fault == "spoofed-question":
            forgery.question[0].name = dns.name.from_text("other.plaza.example.")
        else:
            forgery.id = (message.id + 1) % 65536
        return forgery.to_wire()

    def fill(self, answer: dns.message.Message, question: dns.rrset.RRset, kind: str) -> None:
        """Fills an answer with the records of the zone for a question, or with a negative answer."""
        name = str(question.name).lower()
        answer.flags |= dns.flags.AA
        if self.fault == "loop":
            target = name if name.startswith("loop.") else f"loop.{self.zone}"
            other = f"loop.{self.zone}" if target != f"loop.{self.zone}" else name
            answer.answer = [
                dns.rrset.from_text(question.name, 60, "IN", "CNAME", other),
                dns.rrset.from_text(other, 60, "IN", "CNAME", name),
            ]
            return
        chain = 0
        while ((name, kind) not in self.records) and (name, "CNAME") in self.records and chain < 20:
            ttl, data = self.records[name, "CNAME"]
            answer.answer.append(dns.rrset.from_text_list(name, ttl, "IN", "CNAME", data))
            name, chain = data[0].lower(), chain + 1
        found = None if self.fault in ("empty", "nxdomain") else self.records.get((name, kind))
        if found is None:
            known = any(each == name for each, _ in self.records) and self.fault != "nxdomain"
            if not known:
                answer.set_rcode(dns.rcode.NXDOMAIN)
            if self.fault == "empty":
                answer.set_rcode(dns.rcode.NOERROR)
            soa = SOA.format(zone=self.zone, ttl=self.negative_ttl).split(None, 4)
            answer.authority = [dns.rrset.from_text(soa[0], int(soa[1]), "IN", "SOA", soa[4])]
            return
        ttl, data = found
        owner = question.name if not answer.answer else dns.name.from_text(name)
        answer.answer.append(dns.rrset.from_text_list(owner, ttl, "IN", kind, data))
        if kind == "SRV" and self.extras:
            for target in dict.fromkeys(each.split()[3].lower() for each in data):
                extra = self.records.get((target, "A"))
                if extra is not None:
                    answer.additional.append(dns.rrset.from_text_list(target, extra[0], "IN", "A", extra[1]))
        for text in self.additional:
            words = text.split(None, 4)
            answer.additional.append(
                dns.rrset.from_text(words[0], int(words[1]), words[2], words[3], words[4])
            )

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the queries of one TCP connection until it ends."""
        try:
            while True:
                (length,) = struct.unpack("!H", await reader.readexactly(2))
                for delay, wire in self.answers(await reader.readexactly(length), True)[-1:]:
                    await asyncio.sleep(delay)
                    writer.write(struct.pack("!H", len(wire)) + wire)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def close(self) -> None:
        """Closes both sockets."""
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()


class _Datagrams(asyncio.DatagramProtocol):
    """Answers the queries that arrive over UDP."""

    def __init__(self, server: DnsServer) -> None:
        self.server = server

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Schedules the answers to a query."""
        for delay, wire in self.server.answers(data, False):
            asyncio.get_running_loop().call_later(delay, self.send, wire, addr)

    def send(self, wire: bytes, addr: tuple[str, int]) -> None:
        """Sends a datagram, unless the server has been closed."""
        if self.server.transport is not None and not self.server.transport.is_closing():
            self.server.transport.sendto(wire, addr)
