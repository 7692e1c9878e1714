"""Converts fill requests and replies to and from fields of the caches' protocol.

Only this module maps the names of these fields on the wire to the terms of the program.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass

from paddlequay.hierarchy.errors import RequestFieldError
from paddlequay.hierarchy.fill_path import FillPath, Keyring
from paddlequay.hierarchy.fill_requests import ChannelToken, FillRequest, OwnershipClaim, Reply
from paddlequay.hierarchy.topology import NODE_NAME
from paddlequay.protocol.cache_server import CacheRequest
from paddlequay.routing.interface import RequestClass

HEX_64_BITS = re.compile("[0-9a-f]{1,16}")
MAX_NUMBER_DIGITS = 15
MAX_BUDGET_MS = 3_600_000
MAX_FRESHNESS_MS = 10**14
MAX_RETENTION = 3
MAX_VERSION_DIGITS = 18
SIGNED_FIELDS = ("queue", "path", "blk", "claim")


@dataclass(frozen=True, slots=True)
class RequestDecoder:
    """Decodes fill requests from messages of the caches' protocol.

    Attributes:
        classes: The request classes by name.
        keyring: Verifies the paths of requests.
        max_part: The largest allowed part number.
    """

    classes: Mapping[str, RequestClass]
    keyring: Keyring
    max_part: int

    def decode(self, message: CacheRequest, requester: object, now: float) -> FillRequest:
        """Returns the fill request that a message holds.

        Args:
            message: The message.
            requester: Identifies the requester to the driver, which sends it the reply.
            now: The time in Unix seconds.

        Raises:
            RequestFieldError: A field is missing or invalid.
            FillPathError: The path is malformed, or its signature is invalid.
        """
        fields = message.fields
        request_class = self._request_class(fields)
        name = _object_name(fields)
        if request_class.uncacheable:
            raise RequestFieldError(
                f"requests of the class {request_class.name} are never sent to a cache", "queue"
            )
        budget_s = _seconds(fields, "budget", MAX_BUDGET_MS) or request_class.deadline
        max_age_s = _seconds(fields, "fresh", MAX_FRESHNESS_MS) or request_class.freshness_lifetime
        options = fields.get("opts", "").split("+")
        refreshes_stale = "renew" in options
        path = self._path(message, now)
        return FillRequest(
            requester=requester,
            object_name=name,
            part=_number(fields, "blk", self.max_part),
            class_name=request_class.name,
            min_generated_at=now - max_age_s if max_age_s else 0.0,
            deadline=now + budget_s,
            may_fill="via" in fields and "held" not in options,
            path=path,
            claim=decode_claim(fields["claim"]) if "claim" in fields else None,
            channel_token=decode_channel_token(fields),
            known_tag=fields.get("known"),
            retention=min(MAX_RETENTION, _number(fields, "tier", MAX_RETENTION) or 0),
            may_cache="nocopy" not in options,
            refreshes_stale=refreshes_stale,
            stale_grace_s=(request_class.stale_if_error or 0.0) if refreshes_stale else 0.0,
        )

    def _request_class(self, fields: Mapping[str, str]) -> RequestClass:
        name = fields.get("queue", "")
        request_class = self.classes.get(name)
        if request_class is None:
            raise RequestFieldError("expected a known request class", "queue", name)
        return request_class

    def _path(self, message: CacheRequest, now: float) -> FillPath | None:
        """Returns the verified path of a request; None without one.

        A claim without a path is rejected, because only the signature of a path covers the claim.
        """
        fields = message.fields
        if "hops" in fields:
            return self.keyring.decode(fields["hops"], signing_context(message.id, fields), now)
        if "claim" in fields:
            raise RequestFieldError("expected a signed path (hops) along with it", "claim")
        return None


def signing_context(id: str, fields: Mapping[str, str]) -> str:
    """Returns the text that the signature of a path covers: the request's id and its `SIGNED_FIELDS`."""
    return " ".join((id, *(fields.get(name, "") for name in SIGNED_FIELDS)))


def decode_claim(text: str) -> OwnershipClaim:
    """Returns the ownership claim in a field VERSION@HOST:PORT. Raises `RequestFieldError`."""
    version, at, address = text.partition("@")
    host, colon, port = address.rpartition(":")
    is_version = version.isdigit() and len(version) <= MAX_VERSION_DIGITS
    if not (at and colon and host and is_version and port.isdigit()):
        raise RequestFieldError("expected VERSION@HOST:PORT", "claim", text)
    return OwnershipClaim(int(version), (host, int(port)))


def encode_claim(claim: OwnershipClaim) -> str:
    """Returns an ownership claim as a field VERSION@HOST:PORT."""
    host, port = claim.address
    return f"{claim.topology_version}@{host}:{port}"


def decode_channel_token(fields: Mapping[str, str]) -> ChannelToken | None:
    """Returns the channel for which a fill is a prefetch, and the fencing token of the channel's owner.

    Returns None if the request has neither field.

    Raises:
        RequestFieldError: One of the fields is missing, or is not 64 bits in hex digits.
    """
    if "chan" not in fields and "term" not in fields:
        return None
    channel = fields.get("chan", "")
    token = fields.get("term", "")
    if not (HEX_64_BITS.fullmatch(channel) and HEX_64_BITS.fullmatch(token)):
        raise RequestFieldError("expected up to 16 hex digits", "chan, term", f"{channel} {token}")
    return ChannelToken(int(channel, 16), int(token, 16))


def reply_fields(reply: Reply, load_report: str) -> dict[str, str]:
    """Returns the fields of a reply in the order in which they are sent."""
    fields: dict[str, str] = {}
    if reply.reason is not None:
        fields["detail"] = reply.reason.value
    copy = reply.copy
    if copy is not None:
        fields["tag"] = copy.tag
        fields["minted"] = str(round(copy.generated_at * 1000))
        if copy.group is not None:
            fields["lot"] = str(copy.group)
        if reply.fill_s:
            fields["lag"] = f"{reply.fill_s * 1000:.1f}"
    if reply.next_hop:
        fields["next"] = reply.next_hop
    fields["use"] = load_report
    return fields


def _object_name(fields: Mapping[str, str]) -> str:
    name = fields.get("path", "")
    if not NODE_NAME.fullmatch(name):
        raise RequestFieldError("expected letters and digits", "path", name)
    return name


def _number(fields: Mapping[str, str], name: str, maximum: int) -> int | None:
    """Returns the whole number in a field; None if the field is absent."""
    text = fields.get(name)
    if text is None:
        return None
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    if not is_number or int(text) > maximum:
        raise RequestFieldError(f"expected a number up to {maximum}", name, text)
    return int(text)


def _seconds(fields: Mapping[str, str], name: str, max_ms: int) -> float:
    """Returns a duration in seconds from a field in milliseconds; 0 if the field is absent."""
    return (_number(fields, name, max_ms) or 0) / 1000.0
