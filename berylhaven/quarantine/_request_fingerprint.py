"""The fingerprint by which a repeated request is recognised on all instances."""

import hashlib

DIGEST_BYTES = 16
# The number of characters of a fingerprint.
FINGERPRINT_LENGTH = 2 * DIGEST_BYTES
# Lengths come before the parts, so that no two lists of parts have the same bytes.
LENGTH_BYTES = 8


def request_fingerprint(
    host: str,
    method: str,
    target: str,
    credentials: str,
    body: bytes,
    body_length: int | None,
) -> str:
    """Return the fingerprint of a request, which does not depend on its request id.

    The address of a caller is left out: callers share addresses and use several.

    Parameters
    ----------
    host : str
        The value of the Host header.
    method : str
        The HTTP method.
    target : str
        Path and query.
    credentials : str
        The value of the Authorization header; empty without one.
    body : bytes
        The body, or the first part of a body that is too large to be kept.
    body_length : int or None
        The length of the body in bytes; None if it is not known in advance.

    Returns
    -------
    str
        Hexadecimal, with `FINGERPRINT_LENGTH` characters.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    length = "" if body_length is None else str(body_length)
    texts = (host.lower(), method, target, credentials, length)
    for part in (*(text.encode("latin-1", "replace") for text in texts), body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
