"""What identifies a claimed call: the key that its attempts share, and what they ask for. No I/O."""

import hashlib

from fawnwharf.net.requests import Call

KEY_DIGEST_BYTES = 16
CONTENT_DIGEST_BYTES = 8
KNOWN_BY_TOKEN, KNOWN_BY_ID = b"\1", b"\0"


def call_key(call: Call) -> str:
    """The key shared by all attempts of one call at every front end, from its idempotency key or its id."""
    own = call.token or call.id.hex()
    digest = _hex_digest(f"{call.tenant}\0{call.class_name}\0{own}".encode(), KEY_DIGEST_BYTES)
    return f"{call.class_name}:{digest}"


def call_content(call: Call) -> str:
    """The digest of what a call asks for: the function and the body, and whether its key is from its token.

    All attempts of one call agree in it. Their time limits and the client's estimates may differ.
    """
    known_by = KNOWN_BY_TOKEN if call.token else KNOWN_BY_ID
    return _hex_digest(known_by + call.function.encode() + b"\0" + call.body, CONTENT_DIGEST_BYTES)


def _hex_digest(data: bytes, size: int) -> str:
    return hashlib.blake2b(data, digest_size=size).hexdigest()
