"""Validates DNS answers: accepts an answer to a question, accepts parts of it, or ignores it.

dnspython decodes the messages; this module has the trust rules: RFC 1035 and 2181 (answers, trust), 2308
(negative answers and their lifetimes), 5452 (what must match before an answer is used), 6891 (EDNS), and the
random letter case of the question ("0x20", draft-vixie-dnsext-dns0x20), which an off-path attacker must
guess as well.
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

EDNS_PAYLOAD_BYTES = 1232  # over UDP; fits every path without fragmentation (DNS flag day 2020)
MAX_CNAMES = 8  # followed for one question
MAX_RECORDS = 2000  # in one answer
MAX_ANSWER_BYTES = 65_535
HEADER_BYTES = 12
MAX_QUOTED_CHARS = 60  # of a name that is quoted in a reason
MIN_ZONE_LABELS = 3  # including the empty label of the root
LETTER_CASE_BIT = 0x20  # differs between the upper and lower case of an ASCII letter
MAX_TTL_S = (1 << 31) - 1  # a TTL with the highest bit set counts as 0 (RFC 2181, section 8)


class AnswerKind(Enum):
    """What an answer means for its question."""

    RECORDS = "records"
    NO_DATA = "no data"  # the name exists, but has no records of the type (RFC 2308, section 2.2)
    NO_NAME = "no name"  # NXDOMAIN
    TRUNCATED = "truncated"  # must be queried again over TCP (RFC 7766)
    FAILED = "failed"  # SERVFAIL and similar: another server must be queried
    LAME = "lame"  # the server neither serves the zone nor recurses
    CNAME_LOOP = "loop"  # a cycle of CNAMEs, or more than `MAX_CNAMES`
    MALFORMED = "garbage"  # cannot be parsed
    MISMATCHED = "not ours"  # does not match the query; ignored, as the genuine answer may still be received


@dataclass(frozen=True, slots=True)
class DnsQuestion:
    """The question of one query, and the values that an answer to it must match."""

    name: Name  # in the letter case of the query
    type: dns.rdatatype.RdataType
    id: int
    server: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Record:
    """The data of one record, and its lifetime in seconds as the server gave it."""

    data: dns.rdata.Rdata
    ttl: int


@dataclass(frozen=True, slots=True)
class AdditionalRecords:
    """Additional records for a name that the answer refers to, accepted because they are in bailiwick."""

    name: Name
    type: dns.rdatatype.RdataType
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class DnsAnswer:
    """The accepted part of an answer.

    Attributes:
        kind: How the answer is classified.
        records: The records of the question's type.
        ttl: The shortest lifetime of the records and the CNAMEs that lead to them, or the lifetime of a
            negative answer, in seconds.
        additional_records: The accepted additional records.
        reason: Why there are no records.
    """

    kind: AnswerKind
    records: tuple[Record, ...] = ()
    ttl: int = 0
    additional_records: tuple[AdditionalRecords, ...] = ()
    reason: str = ""


def randomize_case(name: Name, rng: random.Random) -> Name:
    """Returns the name with each letter in random case, which a forged answer must match."""

    def randomize(octet: int) -> int:
        return octet ^ LETTER_CASE_BIT if chr(octet).isalpha() and rng.random() < 0.5 else octet

    return Name(tuple(bytes(map(randomize, label)) for label in name.labels))


def build_query(question: DnsQuestion, edns: bool) -> bytes:
    """Returns an encoded query; servers that reject EDNS are queried without it (RFC 6891, section 7)."""
    message = dns.message.make_query(
        question.name,
        question.type,
        use_edns=0 if edns else False,
        payload=EDNS_PAYLOAD_BYTES,
        id=question.id,
    )
    return message.to_wire()


def has_same_case(name: Name, other: Name) -> bool:
    """Returns whether two names are equal, including their letter case."""
    return name.labels == other.labels


def effective_ttl(ttl: int) -> int:
    """Returns a TTL in seconds; 0 for one outside 0 to `MAX_TTL_S`."""
    return ttl if 0 <= ttl <= MAX_TTL_S else 0


def parse_answer(question: DnsQuestion, data: bytes, server: tuple[str, int]) -> DnsAnswer:
    """Classifies the bytes that were received for a question. Raises nothing.

    A forged answer must not prevent the genuine one from being used: whatever does not match in server, id,
    question and letter case is `MISMATCHED`, and the query stays pending.
    """
    if server != question.server:
        return DnsAnswer(AnswerKind.MISMATCHED, reason=f"from {server[0]}:{server[1]}")
    if len(data) > MAX_ANSWER_BYTES:
        return DnsAnswer(AnswerKind.MALFORMED, reason=f"{len(data)} octets")
    if len(data) < HEADER_BYTES or int.from_bytes(data[:2], "big") != question.id:
        return DnsAnswer(AnswerKind.MISMATCHED, reason="another id")
    try:
        message = dns.message.from_wire(data, ignore_trailing=True, raise_on_truncation=False)
    except Exception as error:  # any error of the parser counts as a failure of the server
        return DnsAnswer(AnswerKind.MALFORMED, reason=type(error).__name__)
    if not message.flags & dns.flags.QR:
        return DnsAnswer(AnswerKind.MISMATCHED, reason="no answer")
    rcode = message.rcode()
    if not message.question:
        return interpret_without_question(rcode)
    (echoed, *more) = message.question
    is_same = has_same_case(echoed.name, question.name) and echoed.rdtype == question.type
    if more or not is_same or echoed.rdclass != dns.rdataclass.IN:
        return DnsAnswer(AnswerKind.MISMATCHED, reason=f"asks for {str(echoed.name)[:MAX_QUOTED_CHARS]}")
    if message.flags & dns.flags.TC:
        return DnsAnswer(AnswerKind.TRUNCATED, reason="TC")
    return interpret_message(question, message, rcode)


def interpret_without_question(rcode: dns.rcode.Rcode) -> DnsAnswer:
    """Classifies an answer without a question section, as some servers send with errors (RFC 1035, 4.1.1)."""
    has_failed = rcode in (dns.rcode.FORMERR, dns.rcode.NOTIMP, dns.rcode.SERVFAIL, dns.rcode.REFUSED)
    kind = AnswerKind.FAILED if has_failed else AnswerKind.MISMATCHED
    return DnsAnswer(kind, reason=dns.rcode.to_text(rcode))


def interpret_message(
    question: DnsQuestion, message: dns.message.Message, rcode: dns.rcode.Rcode
) -> DnsAnswer:
    """Classifies a message that matches the question, and returns its accepted part."""
    if rcode not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
        kind = AnswerKind.LAME if rcode in (dns.rcode.REFUSED, dns.rcode.NOTAUTH) else AnswerKind.FAILED
        return DnsAnswer(kind, reason=dns.rcode.to_text(rcode))
    if sum(len(each) for section in (message.answer, message.additional) for each in section) > MAX_RECORDS:
        return DnsAnswer(AnswerKind.MALFORMED, reason=f"more than {MAX_RECORDS} records")
    # Follows the CNAMEs from the question's name; only those in the answer section count.
    name = question.name
    ttl = MAX_TTL_S
    visited_names = {question.name}
    while True:
        record_set = find_record_set(message.answer, name, question.type)
        if record_set is not None:
            records = tuple(Record(data, effective_ttl(record_set.ttl)) for data in record_set)
            ttl = min(ttl, effective_ttl(record_set.ttl))
            return DnsAnswer(
                AnswerKind.RECORDS, records, ttl, tuple(accepted_additional(question, message, records))
            )
        alias = find_record_set(message.answer, name, dns.rdatatype.CNAME)
        if alias is None:
            break
        ttl = min(ttl, effective_ttl(alias.ttl))
        name = alias[0].target
        if name in visited_names or len(visited_names) > MAX_CNAMES:
            return DnsAnswer(AnswerKind.CNAME_LOOP, reason=f"CNAME {str(name)[:MAX_QUOTED_CHARS]}")
        visited_names.add(name)
    if len(visited_names) > 1 and rcode == dns.rcode.NOERROR and not message.authority:
        # The chain of CNAMEs leads to a zone that this server does not serve.
        reason = f"CNAME {str(name)[:MAX_QUOTED_CHARS]} without its records"
        return DnsAnswer(AnswerKind.NO_DATA, ttl=0, reason=reason)
    return interpret_negative(message, rcode, name, ttl)


def interpret_negative(
    message: dns.message.Message, rcode: dns.rcode.Rcode, name: Name, ttl: int
) -> DnsAnswer:
    """Classifies an answer without records of the requested type.

    Args:
        message: The answer.
        rcode: NOERROR or NXDOMAIN.
        name: The name at the end of the chain of CNAMEs.
        ttl: The shortest lifetime of that chain, in seconds.
    """
    negative_ttl = soa_negative_ttl(message.authority, name)
    if negative_ttl is None:
        # No records, no SOA, not authoritative: a referral, or the server does not serve the zone.
        if rcode == dns.rcode.NOERROR and not message.flags & dns.flags.AA:
            return DnsAnswer(AnswerKind.LAME, reason="neither records nor SOA")
        negative_ttl = 0  # without an SOA it must not be cached (RFC 2308, section 5)
    kind = AnswerKind.NO_NAME if rcode == dns.rcode.NXDOMAIN else AnswerKind.NO_DATA
    return DnsAnswer(kind, ttl=min(ttl, negative_ttl), reason=str(name)[:MAX_QUOTED_CHARS])


def find_record_set(
    section: Iterable[dns.rrset.RRset], name: Name, kind: dns.rdatatype.RdataType
) -> dns.rrset.RRset | None:
    """Returns the record set of a name (in any letter case) and type; None if there is none."""
    for each in section:
        if each.name == name and each.rdtype == kind and each.rdclass == dns.rdataclass.IN and len(each):
            return each
    return None


def soa_negative_ttl(section: Iterable[dns.rrset.RRset], name: Name) -> int | None:
    """Returns the lifetime of a negative answer in seconds; None without an SOA record.

    It is the lesser of the SOA's lifetime and its MINIMUM (RFC 2308, section 5).
    """
    for each in section:
        if each.rdtype == dns.rdatatype.SOA and name.is_subdomain(each.name) and len(each):
            return min(effective_ttl(each.ttl), int(each[0].minimum))
    return None


def accepted_additional(
    question: DnsQuestion, message: dns.message.Message, records: tuple[Record, ...]
) -> Iterable[AdditionalRecords]:
    """Returns the address records in the additional section that are accepted.

    They must be in bailiwick and belong to a target that the answer names; otherwise a server of one zone
    could put the address of any name into the cache.
    """
    zone = bailiwick(question.name)
    targets = {record.data.target for record in records if isinstance(record.data, SRV)}
    for each in message.additional:
        is_address = each.rdtype in (dns.rdatatype.A, dns.rdatatype.AAAA)
        is_internet = each.rdclass == dns.rdataclass.IN
        if is_address and is_internet and each.name in targets and each.name.is_subdomain(zone):
            ttl = effective_ttl(each.ttl)
            yield AdditionalRecords(each.name, each.rdtype, tuple(Record(data, ttl) for data in each))


def bailiwick(name: Name) -> Name:
    """Returns the zone of a question: its name without leading labels that begin with an underscore."""
    labels = list(name.labels)
    while len(labels) > MIN_ZONE_LABELS and labels[0].startswith(b"_"):
        labels.pop(0)
    return Name(labels)
