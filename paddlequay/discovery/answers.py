"""What a DNS answer means for the question that was asked: believed, believed in part, or passed over.

The wire is dnspython's; what is believed is decided here. RFC 1035 and 2181 (answers, trust), 2308 (negative
answers and their lifetimes), 5452 (what must match before an answer is looked at), 6891 (EDNS), and the
mixing of letters' case in the question ("0x20", draft-vixie-dnsext-dns0x20), which a forger off the path
must guess as well.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset
from dns.rdtypes.IN.SRV import SRV

Name = dns.name.Name

PAYLOAD = 1232  # octets by UDP: fits every path without fragments (DNS flag day 2020)
MAX_CHAIN = 8  # CNAMEs that are followed for one question
MAX_RECORDS = 2000  # of one answer
MAX_ANSWER = 65_535
MAX_TTL = (1 << 31) - 1  # RFC 2181, section 8: a lifetime with the highest bit set counts as 0


class AnswerKind(Enum):
    """What an answer comes to."""

    RECORDS = "records"
    NO_DATA = "no data"  # the name is there, records of the type are not (RFC 2308, section 2.2)
    NO_NAME = "no name"  # NXDOMAIN
    TRUNCATED = "truncated"  # ask again by TCP (RFC 7766)
    FAILED = "failed"  # SERVFAIL and its kin: ask another server
    LAME = "lame"  # a server that does not know the zone, or does not answer for others
    LOOP = "loop"  # CNAMEs in a ring, or too many
    GARBAGE = "garbage"  # cannot be read
    NOT_OURS = "not ours"  # answers something else: passed over, the real one may still come


@dataclass(frozen=True, slots=True)
class DnsQuestion:
    """One question on its way: what is asked, and all that its answer must repeat."""

    name: Name  # in the case in which it was sent
    type: dns.rdatatype.RdataType
    id: int
    server: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Record:
    """One record's data and lifetime in seconds, as the server gave it."""

    data: dns.rdata.Rdata
    ttl: int


@dataclass(frozen=True, slots=True)
class Extra:
    """Records that came along, for a name that the answer itself points to, in bailiwick."""

    name: Name
    type: dns.rdatatype.RdataType
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class DnsAnswer:
    """What is believed. `ttl` is the least lifetime on the way, or that of a negative answer."""

    kind: AnswerKind
    records: tuple[Record, ...] = ()
    ttl: int = 0
    extras: tuple[Extra, ...] = ()
    reason: str = ""


def randomize_case(name: Name, rng: random.Random) -> Name:
    """The name with the case of each letter drawn: some bits more for a forger to guess."""
    return Name(
        tuple(
            bytes(octet ^ 0x20 if chr(octet).isalpha() and rng.random() < 0.5 else octet for octet in label)
            for label in name.labels
        )
    )


def build_query(question: DnsQuestion, edns: bool) -> bytes:
    """The question's bytes. A server that chokes on EDNS is asked without (RFC 6891, section 7)."""
    message = dns.message.make_query(
        question.name, question.type, use_edns=0 if edns else False, payload=PAYLOAD, id=question.id
    )
    return message.to_wire()


def exact(a: Name, b: Name) -> bool:
    """Whether two names are alike, their case too."""
    return a.labels == b.labels


def lifetime(ttl: int) -> int:
    """A TTL in seconds, from 0 to `MAX_TTL`."""
    return ttl if 0 <= ttl <= MAX_TTL else 0


def parse_answer(question: DnsQuestion, data: bytes, server: tuple[str, int]) -> DnsAnswer:
    """What bytes from a server mean for a question. Never raises on any bytes.

    A forged answer must not keep the real one from being taken: whatever does not match in server, id,
    question and its letters' case is `NOT_OURS`, and the question stays open.
    """
    if server != question.server:
        return DnsAnswer(AnswerKind.NOT_OURS, reason=f"from {server[0]}:{server[1]}")
    if len(data) > MAX_ANSWER:
        return DnsAnswer(AnswerKind.GARBAGE, reason=f"{len(data)} octets")
    if len(data) < 12 or int.from_bytes(data[:2], "big") != question.id:
        return DnsAnswer(AnswerKind.NOT_OURS, reason="another id")
    try:
        message = dns.message.from_wire(data, ignore_trailing=True, raise_on_truncation=False)
    except Exception as error:
        # By its id it may be ours; a parser's fault of any kind ends this server's turn, not the program.
        return DnsAnswer(AnswerKind.GARBAGE, reason=type(error).__name__)
    if not message.flags & dns.flags.QR:
        return DnsAnswer(AnswerKind.NOT_OURS, reason="no answer")
    rcode = message.rcode()
    if not message.question:
        # Some servers answer a question that they could not read without repeating it (RFC 1035, 4.1.1).
        failed = rcode in (dns.rcode.FORMERR, dns.rcode.NOTIMP, dns.rcode.SERVFAIL, dns.rcode.REFUSED)
        return DnsAnswer(
            AnswerKind.FAILED if failed else AnswerKind.NOT_OURS, reason=dns.rcode.to_text(rcode)
        )
    (echoed, *more) = message.question
    same = exact(echoed.name, question.name) and echoed.rdtype == question.type
    if more or not same or echoed.rdclass != dns.rdataclass.IN:
        return DnsAnswer(AnswerKind.NOT_OURS, reason=f"asks for {str(echoed.name)[:60]}")
    if message.flags & dns.flags.TC:
        return DnsAnswer(AnswerKind.TRUNCATED, reason="TC")
    return believed(question, message, rcode)


def believed(question: DnsQuestion, message: dns.message.Message, rcode: dns.rcode.Rcode) -> DnsAnswer:
    """What a message that answers the question says, as far as it may be believed."""
    if rcode not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
        meaning = AnswerKind.LAME if rcode in (dns.rcode.REFUSED, dns.rcode.NOTAUTH) else AnswerKind.FAILED
        return DnsAnswer(meaning, reason=dns.rcode.to_text(rcode))
    if sum(len(each) for section in (message.answer, message.additional) for each in section) > MAX_RECORDS:
        return DnsAnswer(AnswerKind.GARBAGE, reason=f"more than {MAX_RECORDS} records")
    # The way from the question's name over CNAMEs, each of which must stand in the answer section.
    name, ttl, passed = question.name, MAX_TTL, {question.name}
    while True:
        found = find(message.answer, name, question.type)
        if found is not None:
            records = tuple(Record(data, lifetime(found.ttl)) for data in found)
            ttl = min(ttl, lifetime(found.ttl))
            return DnsAnswer(AnswerKind.RECORDS, records, ttl, tuple(extras(question, message, records)))
        alias = find(message.answer, name, dns.rdatatype.CNAME)
        if alias is None:
            break
        ttl = min(ttl, lifetime(alias.ttl))
        name = alias[0].target
        if name in passed or len(passed) > MAX_CHAIN:
            return DnsAnswer(AnswerKind.LOOP, reason=f"CNAME {str(name)[:60]}")
        passed.add(name)
    if len(passed) > 1 and rcode == dns.rcode.NOERROR and not message.authority:
        # The chain leaves what this server knows: asked for by its last name.
        return DnsAnswer(AnswerKind.NO_DATA, ttl=0, reason=f"CNAME {str(name)[:60]} without its records")
    negative = soa_lifetime(message.authority, name)
    if negative is None:
        # NOERROR, empty, and no word by whom: a referral, or a server that does not serve the zone.
        if rcode == dns.rcode.NOERROR and not message.flags & dns.flags.AA:
            return DnsAnswer(AnswerKind.LAME, reason="neither records nor SOA")
        negative = 0  # must not be kept (RFC 2308, section 5)
    meaning = AnswerKind.NO_NAME if rcode == dns.rcode.NXDOMAIN else AnswerKind.NO_DATA
    return DnsAnswer(meaning, ttl=min(ttl, negative), reason=str(name)[:60])


def find(
    section: Iterable[dns.rrset.RRset], name: Name, kind: dns.rdatatype.RdataType
) -> dns.rrset.RRset | None:
    """The set of a name and type; names compare without their letters' case."""
    for each in section:
        if each.name == name and each.rdtype == kind and each.rdclass == dns.rdataclass.IN and len(each):
            return each
    return None


def soa_lifetime(section: Iterable[dns.rrset.RRset], name: Name) -> int | None:
    """How long a negative answer holds, in seconds; None without an SOA record.

    The lesser of the SOA's lifetime and its MINIMUM (RFC 2308, section 5).
    """
    for each in section:
        if each.rdtype == dns.rdatatype.SOA and name.is_subdomain(each.name) and len(each):
            return min(lifetime(each.ttl), int(each[0].minimum))
    return None


def extras(
    question: DnsQuestion, message: dns.message.Message, records: tuple[Record, ...]
) -> Iterable[Extra]:
    """Addresses that came along for the targets named by the answer.

    In bailiwick only: below the zone that the question was asked in, by its own last two labels at the
    least. A server for one zone could otherwise put any name's address into the cache.
    """
    zone = bailiwick(question.name)
    targets = {record.data.target for record in records if isinstance(record.data, SRV)}
    for each in message.additional:
        address = each.rdtype in (dns.rdatatype.A, dns.rdatatype.AAAA) and each.rdclass == dns.rdataclass.IN
        if address and each.name in targets and each.name.is_subdomain(zone):
            ttl = lifetime(each.ttl)
            yield Extra(each.name, each.rdtype, tuple(Record(data, ttl) for data in each))


def bailiwick(name: Name) -> Name:
    """The zone that a question stands in: what follows its labels that begin with an underscore."""
    labels = list(name.labels)
    while len(labels) > 3 and labels[0].startswith(b"_"):
        labels.pop(0)
    return Name(labels)
