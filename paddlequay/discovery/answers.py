"""Decides what a DNS answer means for its question: accepted, accepted in part, or ignored.

dnspython decodes the wire; the trust rules are here: RFC 1035 and 2181 (answers, trust), 2308 (negative
answers and their lifetimes), 5452 (what must match before an answer is used), 6891 (EDNS), and the random
letter case of the question ("0x20", draft-vixie-dnsext-dns0x20), which an off-path forger must guess as well.
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

PAYLOAD = 1232  # bytes over UDP: fits every path without fragments (DNS flag day 2020)
MAX_CHAIN = 8  # CNAMEs followed for one question
MAX_RECORDS = 2000  # of one answer
MAX_ANSWER = 65_535  # bytes
HEADER_SIZE = 12  # bytes
MAX_QUOTED_CHARS = 60  # of a name, in a reason
MIN_ZONE_LABELS = 3  # of a zone, with the empty label of the root
CASE_BIT = 0x20  # of an ASCII letter
MAX_TTL = (1 << 31) - 1  # RFC 2181, section 8: a lifetime with the highest bit set counts as 0


class AnswerKind(Enum):
    """What an answer means for its question."""

    RECORDS = "records"
    NO_DATA = "no data"  # the name exists, records of the type do not (RFC 2308, section 2.2)
    NO_NAME = "no name"  # NXDOMAIN
    TRUNCATED = "truncated"  # query again over TCP (RFC 7766)
    FAILED = "failed"  # SERVFAIL and similar: query another server
    LAME = "lame"  # the server does not serve the zone, and does not recurse
    LOOP = "loop"  # a cycle of CNAMEs, or too many
    GARBAGE = "garbage"  # cannot be parsed
    NOT_OURS = "not ours"  # answers another question: ignored, the genuine answer may still be received


@dataclass(frozen=True, slots=True)
class DnsQuestion:
    """The question of one query, with all that its answer must repeat."""

    name: Name  # in the letter case in which it was sent
    type: dns.rdatatype.RdataType
    id: int
    server: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Record:
    """The data of one record, and its lifetime in seconds as the server gave it."""

    data: dns.rdata.Rdata
    ttl: int


@dataclass(frozen=True, slots=True)
class Extra:
    """Additional records for a name that the answer refers to, in bailiwick."""

    name: Name
    type: dns.rdatatype.RdataType
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class DnsAnswer:
    """The accepted part of an answer.

    Attributes:
        kind: What it means for the question.
        records: The records of the question's type.
        ttl: The shortest lifetime of the chain of records, or that of a negative answer, in seconds.
        extras: The accepted additional records.
        reason: Why there are no records.
    """

    kind: AnswerKind
    records: tuple[Record, ...] = ()
    ttl: int = 0
    extras: tuple[Extra, ...] = ()
    reason: str = ""


def randomize_case(name: Name, rng: random.Random) -> Name:
    """Returns the name with a random case of each letter, for a forger to guess."""

    def randomize(octet: int) -> int:
        return octet ^ CASE_BIT if chr(octet).isalpha() and rng.random() < 0.5 else octet

    return Name(tuple(bytes(map(randomize, label)) for label in name.labels))


def build_query(question: DnsQuestion, edns: bool) -> bytes:
    """Returns the bytes of a query, without EDNS for servers that fail with it (RFC 6891, section 7)."""
    message = dns.message.make_query(
        question.name, question.type, use_edns=0 if edns else False, payload=PAYLOAD, id=question.id
    )
    return message.to_wire()


def has_same_case(name: Name, other: Name) -> bool:
    """Returns whether two names are equal in their letter case too."""
    return name.labels == other.labels


def lifetime(ttl: int) -> int:
    """Returns a TTL in seconds; 0 for one outside 0 to `MAX_TTL`."""
    return ttl if 0 <= ttl <= MAX_TTL else 0


def parse_answer(question: DnsQuestion, data: bytes, server: tuple[str, int]) -> DnsAnswer:
    """Returns what bytes from a server mean for a question. Raises nothing.

    A forged answer must not prevent the genuine one from being used: whatever does not match in server, id,
    question and letter case is `NOT_OURS`, and the question stays open.
    """
    if server != question.server:
        return DnsAnswer(AnswerKind.NOT_OURS, reason=f"from {server[0]}:{server[1]}")
    if len(data) > MAX_ANSWER:
        return DnsAnswer(AnswerKind.GARBAGE, reason=f"{len(data)} octets")
    if len(data) < HEADER_SIZE or int.from_bytes(data[:2], "big") != question.id:
        return DnsAnswer(AnswerKind.NOT_OURS, reason="another id")
    try:
        message = dns.message.from_wire(data, ignore_trailing=True, raise_on_truncation=False)
    except Exception as error:  # the edge of one answer: any error of the parser is a failure of its server
        return DnsAnswer(AnswerKind.GARBAGE, reason=type(error).__name__)
    if not message.flags & dns.flags.QR:
        return DnsAnswer(AnswerKind.NOT_OURS, reason="no answer")
    rcode = message.rcode()
    if not message.question:
        return answer_without_question(rcode)
    (echoed, *more) = message.question
    is_same = has_same_case(echoed.name, question.name) and echoed.rdtype == question.type
    if more or not is_same or echoed.rdclass != dns.rdataclass.IN:
        return DnsAnswer(AnswerKind.NOT_OURS, reason=f"asks for {str(echoed.name)[:MAX_QUOTED_CHARS]}")
    if message.flags & dns.flags.TC:
        return DnsAnswer(AnswerKind.TRUNCATED, reason="TC")
    return accepted_answer(question, message, rcode)


def answer_without_question(rcode: dns.rcode.Rcode) -> DnsAnswer:
    """Returns the meaning of an answer that repeats no question, as some servers send (RFC 1035, 4.1.1)."""
    has_failed = rcode in (dns.rcode.FORMERR, dns.rcode.NOTIMP, dns.rcode.SERVFAIL, dns.rcode.REFUSED)
    kind = AnswerKind.FAILED if has_failed else AnswerKind.NOT_OURS
    return DnsAnswer(kind, reason=dns.rcode.to_text(rcode))


def accepted_answer(question: DnsQuestion, message: dns.message.Message, rcode: dns.rcode.Rcode) -> DnsAnswer:
    """Returns the accepted part of a message that answers the question."""
    if rcode not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
        kind = AnswerKind.LAME if rcode in (dns.rcode.REFUSED, dns.rcode.NOTAUTH) else AnswerKind.FAILED
        return DnsAnswer(kind, reason=dns.rcode.to_text(rcode))
    if sum(len(each) for section in (message.answer, message.additional) for each in section) > MAX_RECORDS:
        return DnsAnswer(AnswerKind.GARBAGE, reason=f"more than {MAX_RECORDS} records")
    # Follows the CNAMEs from the question's name, each of which must be in the answer section.
    name = question.name
    ttl = MAX_TTL
    passed = {question.name}
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
            return DnsAnswer(AnswerKind.LOOP, reason=f"CNAME {str(name)[:MAX_QUOTED_CHARS]}")
        passed.add(name)
    if len(passed) > 1 and rcode == dns.rcode.NOERROR and not message.authority:
        # The chain leads to a zone that this server does not know.
        reason = f"CNAME {str(name)[:MAX_QUOTED_CHARS]} without its records"
        return DnsAnswer(AnswerKind.NO_DATA, ttl=0, reason=reason)
    return negative_answer(message, rcode, name, ttl)


def negative_answer(message: dns.message.Message, rcode: dns.rcode.Rcode, name: Name, ttl: int) -> DnsAnswer:
    """Returns the meaning of an answer without records.

    Args:
        message: The answer.
        rcode: NOERROR or NXDOMAIN.
        name: The name at the end of the chain of CNAMEs.
        ttl: The shortest lifetime of that chain, in seconds.
    """
    negative_ttl = soa_lifetime(message.authority, name)
    if negative_ttl is None:
        # Neither records, an SOA nor authority: a referral, or a server that does not serve the zone.
        if rcode == dns.rcode.NOERROR and not message.flags & dns.flags.AA:
            return DnsAnswer(AnswerKind.LAME, reason="neither records nor SOA")
        negative_ttl = 0  # must not be cached (RFC 2308, section 5)
    kind = AnswerKind.NO_NAME if rcode == dns.rcode.NXDOMAIN else AnswerKind.NO_DATA
    return DnsAnswer(kind, ttl=min(ttl, negative_ttl), reason=str(name)[:MAX_QUOTED_CHARS])


def find(
    section: Iterable[dns.rrset.RRset], name: Name, kind: dns.rdatatype.RdataType
) -> dns.rrset.RRset | None:
    """Returns the record set of a name, in any letter case, and type; None if there is none."""
    for each in section:
        if each.name == name and each.rdtype == kind and each.rdclass == dns.rdataclass.IN and len(each):
            return each
    return None


def soa_lifetime(section: Iterable[dns.rrset.RRset], name: Name) -> int | None:
    """Returns the lifetime of a negative answer in seconds; None without an SOA record.

    It is the lesser of the SOA's lifetime and its MINIMUM (RFC 2308, section 5).
    """
    for each in section:
        if each.rdtype == dns.rdatatype.SOA and name.is_subdomain(each.name) and len(each):
            return min(lifetime(each.ttl), int(each[0].minimum))
    return None


def extras(
    question: DnsQuestion, message: dns.message.Message, records: tuple[Record, ...]
) -> Iterable[Extra]:
    """Returns the additional addresses of the targets that the answer names, in bailiwick.

    Otherwise a server of one zone could put the address of any name into the cache.
    """
    zone = bailiwick(question.name)
    targets = {record.data.target for record in records if isinstance(record.data, SRV)}
    for each in message.additional:
        is_address = each.rdtype in (dns.rdatatype.A, dns.rdatatype.AAAA)
        is_internet = each.rdclass == dns.rdataclass.IN
        if is_address and is_internet and each.name in targets and each.name.is_subdomain(zone):
            ttl = lifetime(each.ttl)
            yield Extra(each.name, each.rdtype, tuple(Record(data, ttl) for data in each))


def bailiwick(name: Name) -> Name:
    """Returns the zone of a question: its name without the first labels that begin with an underscore."""
    labels = list(name.labels)
    while len(labels) > MIN_ZONE_LABELS and labels[0].startswith(b"_"):
        labels.pop(0)
    return Name(labels)
