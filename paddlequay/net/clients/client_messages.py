"""Maps calls of clients to requests, and final answers to the bytes of the clients' protocol."""

import re
from collections.abc import Mapping
from typing import Any

from paddlequay.config.limits import Limits
from paddlequay.protocol import clients as wire
from paddlequay.requests.messages import AnswerStatus, Buffer, ClientRequest, FinalAnswer
from paddlequay.routing.interface import RequestClass

HEX_ID = re.compile(r"[0-9a-f]{16}")
DECIMAL_NUMBER = re.compile(r"[0-9]{1,9}")
# Characters that a cache's list of fields can carry: printable ASCII except space, comma and equals sign.
IDEMPOTENCY_KEY = re.compile(r"[!-+\--<>-~]{1,128}")
FLAG = re.compile(r"[01]")


class FieldError(ValueError):
    """A field of a call is missing or invalid."""


def field_text(
    fields: Mapping[Any, Any], name: str, pattern: re.Pattern[str], required: bool = True
) -> str | None:
    """Returns a field's text; raises `FieldError` if it does not match, or is required and missing."""
    value = fields.get(name)
    if value is None and not required:
        return None
    if not isinstance(value, str) or not pattern.fullmatch(value):
        raise FieldError(f"field {name} cannot be used")
    return value


def field_number(fields: Mapping[Any, Any], name: str, maximum: int, required: bool = False) -> int | None:
    """Returns a field's number; raises `FieldError` if invalid, above `maximum`, or required and missing."""
    text = field_text(fields, name, DECIMAL_NUMBER, required)
    if text is None:
        return None
    if int(text) > maximum:
        raise FieldError(f"field {name} is out of range")
    return int(text)


def parse_request(call: wire.ClientCall, request_class: RequestClass, limits: Limits) -> ClientRequest:
    """Returns the request of a call; raises `FieldError` if a field or the body is invalid.

    A request that a cache cannot parse must not be forwarded: the cache would close the connection, which
    other requests share.
    """
    fields = call.fields
    if not all(isinstance(name, str) and isinstance(value, str) for name, value in fields.items()):
        raise FieldError("fields are strings")
    if len(call.body) > limits.max_client_body:
        raise FieldError("the body is longer than allowed")
    name = field_text(fields, "row", HEX_ID) or ""
    ttl = field_number(
        fields, "ttl", int(1000 * limits.max_time_to_live * request_class.deadline), required=True
    )
    if not ttl:
        raise FieldError("field ttl leaves no time")
    return ClientRequest(
        id=field_text(fields, "call", HEX_ID) or "",
        class_name=call.method,
        time_to_live=ttl / 1000.0,
        object_name=name,
        key=int(name, 16),
        part=field_number(fields, "slice", limits.max_part),
        group=field_number(fields, "set", limits.max_group),
        body=call.body,
        known_tag=field_text(fields, "seen", HEX_ID, False),
        idempotency_key=field_text(fields, "dedupe", IDEMPOTENCY_KEY, False),
        retry=field_text(fields, "rep", FLAG, False) == "1",
    )


def format_answer(number: int, answer: FinalAnswer) -> tuple[Buffer, ...]:
    """Returns the final answer to a call as pieces of bytes."""
    match answer.status:
        case AnswerStatus.SERVED:
            return wire.served_answer(number, answer.body, {})
        case AnswerStatus.NOT_MODIFIED:
            return wire.served_answer(number, b"", {"current": "1"})
        case AnswerStatus.REJECTED:
            retry_after_s = answer.retry_after
            fields = {} if retry_after_s is None else {"pushback": str(max(1, round(retry_after_s * 1000)))}
            return (wire.error_answer(number, wire.REJECTED, fields),)
        case AnswerStatus.FAILED:
            return (wire.error_answer(number, wire.FAILED, {}),)
