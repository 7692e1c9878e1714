"""Orders and ends in the words of the caches' protocol, and back; bytes are `protocol/caches.py`'s affair."""

import math
from collections.abc import Mapping

from paddlequay.requests.messages import End, Order, Stamp
from paddlequay.routing.interface import Note, Outcome
from paddlequay.protocol import caches as wire

OUTCOMES = {
    "HIT": Outcome.SERVED,
    "VALID": Outcome.SERVED,
    "NONE": Outcome.MISS,
    "SHED": Outcome.REFUSED,
    "FAULT": Outcome.ERROR,
    "LATE": Outcome.NOT_SENT,
}
NOTES = {
    "HIT": Note.HIT,
    "MISS": Note.FILLED,
    "MISS_ORIGIN": Note.FILLED_FROM_ORIGIN,
    "COLLAPSED": Note.JOINED,
    "STALE": Note.OLD_COPY,
    "UP_BUSY": Note.SOURCE_REFUSED,
    "UP_DOWN": Note.SOURCE_UNREACHED,
    "UP_MISS": Note.SOURCE_LACKS,
    "NO_FILL": Note.FILLS_FULL,
    "ORIGIN_ERR": Note.ORIGIN_FAILED,
    "LOOP": Note.LOOPED,
    "OLD_TERM": Note.OLD_TERM,
}
LOADS = {"inflight": "active", "util": "cpu"}  # the words of the settings' list of load fields


def order_fields(order: Order) -> dict[str, str]:
    """An order in the words of the caches' protocol; what has its default is left out."""
    fields = {"queue": order.class_name, "path": order.name}
    if order.part is not None:
        fields["blk"] = str(order.part)
    fields["budget"] = str(max(1, int(order.budget * 1000)))
    if order.source is not None:
        fields["via"] = order.source
    if order.keep:
        fields["tier"] = str(order.keep)
    if order.max_age is not None:
        fields["fresh"] = str(max(1, int(order.max_age * 1000)))
    options = {"join": order.join, "held": order.only_held, "renew": order.renew}
    if any(options.values()):
        fields["opts"] = "+".join(word for word, wanted in options.items() if wanted)
    if order.known is not None:
        fields["known"] = order.known
    if order.dedupe is not None:
        fields["uniq"] = order.dedupe
    fields.update(order.extra)
    return fields


def finite(text: str) -> float:
    """A figure that can be reckoned with: one spoilt `nan` would stay in every mean it is taken into."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text[:20]} is no figure")
    return value


def read_load(text: str) -> tuple[tuple[str, float], ...]:
    pairs = (pair.partition(":") for pair in text.split(";"))
    return tuple((LOADS.get(name, name), finite(value)) for name, _, value in pairs)


def read_stamp(fields: Mapping[str, str]) -> Stamp | None:
    if "minted" not in fields:
        return None
    group = fields.get("lot")
    return Stamp(fields.get("tag", ""), int(fields["minted"]) / 1000.0, None if group is None else int(group))


def read_end(answer: wire.Answer) -> End:
    """An answer as the end of its attempt."""
    try:
        lag = answer.fields.get("lag")
        return End(
            outcome=OUTCOMES[answer.word],
            body=answer.body,
            unchanged=answer.word == "VALID",
            note=NOTES.get(answer.fields.get("detail", "")),
            waited=None if lag is None else finite(lag) / 1000.0,
            load=read_load(answer.fields["use"]) if answer.fields.get("use") else (),
            stamp=read_stamp(answer.fields),
            hint=answer.fields.get("next", ""),
        )
    except (KeyError, ValueError) as error:
        raise wire.MalformedError(f"answer {answer.word}: {type(error).__name__} {error}") from None
