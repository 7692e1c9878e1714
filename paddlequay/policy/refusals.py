"""Giving up: the final answer at once, and when to come back."""

import random

from paddlequay.routing.interface import Action, Cause, Fail, Refuse
from paddlequay.routing.state import Open

COME_BACK_S = (0.05, 0.15)  # at a limit places come free within tens of ms; spread, not to return as one


def give_up(item: Open, cause: Cause, most: float | None, rng: random.Random) -> Action:
    """A refusal where a repeat is harmless, with a wait of `most` seconds at most if any, else a failure."""
    if item.repeat is None or item.repeat.group == "all":
        return Refuse(item.request.id, None if most is None else min(most, rng.uniform(*COME_BACK_S)), cause)
    return Fail(item.request.id)
