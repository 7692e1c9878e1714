"""Signed fill paths: which ones are decoded, and which are rejected."""

from typing import Any

import pytest

from paddlequay.hierarchy.errors import FillPathError
from paddlequay.hierarchy.fill_path import MAX_TEXT_CHARS, FillPath, Keyring, SigningKey

OLD, NEW = SigningKey("k1", b"an old secret....", 0, 200), SigningKey("k2", b"a newer secret...", 100, 300)
PATH = FillPath(1234567, ("a", "b-2", "c_3"))


@pytest.mark.parametrize("now", [50.0, 150.0, 250.0])
def test_a_path_is_decoded_as_encoded_during_a_key_change(now: float) -> None:
    ring = Keyring([OLD, NEW])
    text = ring.encode(PATH, "id object 3", now)
    assert ring.decode(text, "id object 3", now) == PATH
    assert text.startswith("k1" if now < 100 else "k2") and not set(text) & set(" ,=\r\n")
    # A node that has only the new key accepts paths once the new key signs.
    new_only = Keyring([NEW])
    if now > 100:
        assert new_only.decode(text, "id object 3", now) == PATH


def forged(change: Any) -> str:
    return str(change(Keyring([OLD]).encode(PATH, "x", 50)))


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
        "k1:1:" + "~".join(f"n{i}" for i in range(MAX_TEXT_CHARS)) + ":0",
    ],
)
def test_forged_too_long_and_malformed_paths_are_rejected(text: str) -> None:
    with pytest.raises(FillPathError, match=r"^[^\n]{1,120}$"):
        Keyring([OLD]).decode(text, "x", 50)


def test_path_is_valid_only_for_its_own_request_and_until_its_key_expires() -> None:
    text = Keyring([OLD]).encode(PATH, "x", 50)
    for context, now in (("y", 50), ("x", 201)):
        with pytest.raises(FillPathError):
            Keyring([OLD, NEW]).decode(text, context, now)
    with pytest.raises(FillPathError, match="all keys have expired"):
        Keyring([OLD]).encode(PATH, "x", 201)
    with pytest.raises(FillPathError, match="path is signed, but this node has no signing keys"):
        Keyring().decode(text, "x", 50)


@pytest.mark.parametrize(
    "key", [SigningKey("a b", b"x" * 16), SigningKey("a", b"short"), SigningKey("a", b"x" * 16, 5, 5)]
)
def test_an_invalid_key_is_rejected(key: SigningKey) -> None:
    with pytest.raises(FillPathError):
        Keyring([key])
