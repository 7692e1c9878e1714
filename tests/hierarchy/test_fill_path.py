"""The signed path of a fill through nodes: what is read back, and what is rejected."""

from typing import Any

import pytest

from paddlequay.hierarchy.fill_path import TEXT_MOST, FillPath, FillPathError, Keyring, SigningKey

OLD, NEW = SigningKey("k1", b"an old secret....", 0, 200), SigningKey("k2", b"a newer secret...", 100, 300)
TRAIL = FillPath(1234567, ("a", "b-2", "c_3"))


@pytest.mark.parametrize("now", [50.0, 150.0, 250.0])
def test_a_trail_is_read_as_written_while_keys_follow_one_another(now: float) -> None:
    ring = Keyring([OLD, NEW])
    text = ring.write(TRAIL, "id object 3", now)
    assert ring.read(text, "id object 3", now) == TRAIL
    assert text.startswith("k1" if now < 100 else "k2") and not set(text) & set(" ,=\r\n")
    # Who has only one of the two keys still reads what is signed while both hold.
    later = Keyring([NEW])
    if now > 100:
        assert later.read(text, "id object 3", now) == TRAIL


def forged(change: Any) -> str:
    return str(change(Keyring([OLD]).write(TRAIL, "x", 50)))


@pytest.mark.parametrize(
    "text",
    [
        "",
        ":::",
        "garbage",
        "k1:1:a",
        forged(lambda text: text.replace("a~b-2", "a")),
        forged(lambda text: text.replace("1234567", "1234566")),
        forged(lambda text: text[:-1] + ("0" if text[-1] != "0" else "1")),
        forged(lambda text: text.replace("k1", "k9")),
        forged(lambda text: text.replace("k1:", "-:")),
        "-:1:a:-",
        "k1:1:a~a:" + "0" * 32,
        "k1:99999999999999999999:a:" + "0" * 32,
        "k1:\u0661:a:" + "0" * 32,
        "k1:1:a b:" + "0" * 32,
        "k1:1:" + "~".join(f"n{i}" for i in range(TEXT_MOST)) + ":0",
    ],
)
def test_forged_too_long_and_garbage_trails_are_refused(text: str) -> None:
    with pytest.raises(FillPathError, match=r"^[^\n]{1,120}$"):
        Keyring([OLD]).read(text, "x", 50)


def test_a_trail_holds_for_its_own_request_only_and_a_key_that_is_over_for_none() -> None:
    text = Keyring([OLD]).write(TRAIL, "x", 50)
    for about, now in (("y", 50), ("x", 201)):
        with pytest.raises(FillPathError):
            Keyring([OLD, NEW]).read(text, about, now)
    with pytest.raises(FillPathError, match="all keys are over"):
        Keyring([OLD]).write(TRAIL, "x", 201)
    with pytest.raises(FillPathError, match="no key is known here"):
        Keyring().read(text, "x", 50)


@pytest.mark.parametrize(
    "key", [SigningKey("a b", b"x" * 16), SigningKey("a", b"short"), SigningKey("a", b"x" * 16, 5, 5)]
)
def test_a_key_that_cannot_be_used_is_refused(key: SigningKey) -> None:
    with pytest.raises(FillPathError):
        Keyring([key])
