"""The operators' files for policy rollouts: settings, and requests to a running front end.

This module does no I/O. Files are JSON and are accepted as a whole or rejected; a malformed one raises
SettingsFileError, whose text names the key. Durations are milliseconds.
"""

from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, Struct, field

from fawnwharf.policy_rollout.document import DocumentError, document_from_object
from fawnwharf.policy_rollout.rollout_state import RolloutTiming
from fawnwharf.zones.settings import DurationMs, SettingsFileError

VERSION = 1
MAX_ERROR_LENGTH = 200  # characters

Decoded = TypeVar("Decoded")


class RolloutSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The settings file that enables policy rollouts; the voters' values apply to the whole fleet."""

    version: int
    lease_ms: DurationMs = 2_000.0  # how long a front end applies a document without reaching a leader
    renew_ms: DurationMs = 500.0  # interval of a front end's lease requests
    prepare_ms: DurationMs = 6_000.0  # timeout for all votes on a proposal
    # The interval at which an unanswered message is sent again.
    resend_interval_ms: DurationMs = field(default=500.0, name="again_ms")
    skew: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.1  # fraction by which a clock's rate may be off
    trace: str = ""  # path of the call trace, relative to the folder of the settings; empty: no trace

    @property
    def timing(self) -> RolloutTiming:
        """The timing for coordinators and lease holders."""
        return RolloutTiming(
            self.lease_ms, self.renew_ms, self.prepare_ms, self.resend_interval_ms, self.skew
        )


class PolicyRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's request, `proposal.json`, with exactly one of `propose`, `call_off` and `back`."""

    version: int
    number: Annotated[int, Meta(ge=1, lt=2**53)]  # larger than that of earlier requests
    propose: Any = None  # a document
    cancel: Annotated[str, Meta(max_length=200)] | None = field(default=None, name="call_off")  # the reason
    rollback: bool = field(default=False, name="back")  # to the policy decided before the last one

    @property
    def kind(self) -> str:
        """The kind of the request, named as its command."""
        if self.propose is not None:
            return "propose"
        return "back" if self.rollback else "call off"


def _decode(data: bytes, file_type: type[Decoded], file_kind: str) -> Decoded:
    """Decode a file; raises SettingsFileError, whose text begins with the key or else with `file_kind`."""
    try:
        decoded = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        text = " ".join(str(error).split())[:MAX_ERROR_LENGTH]
        raise SettingsFileError(f"{file_kind}: not JSON: {text}") from None
    if isinstance(decoded, dict) and decoded.get("version") != VERSION:
        raise SettingsFileError(f"version: {decoded.get('version')!r}, and this program knows {VERSION}")
    try:
        return msgspec.convert(decoded, file_type)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        key = place.rstrip("`").lstrip(".")
        raise SettingsFileError(f"{key or file_kind}: {text}") from None


def decode_settings(data: bytes) -> RolloutSettings:
    """Parse and check the settings; raises SettingsFileError."""
    settings = _decode(data, RolloutSettings, "settings")
    if settings.renew_ms * 2 > settings.lease_ms:
        raise SettingsFileError("renew_ms: more than half of lease_ms")
    max_lease_ms = settings.timing.max_lease_ms
    if settings.prepare_ms < max_lease_ms:
        raise SettingsFileError(f"prepare_ms: less than a lease by the slowest clock, {max_lease_ms:.0f} ms")
    return settings


def decode_operator_request(data: bytes) -> PolicyRequest:
    """Parse a request and check the values of a proposed document; raises SettingsFileError."""
    request = _decode(data, PolicyRequest, "proposal")
    if (request.propose is not None) + (request.cancel is not None) + request.rollback != 1:
        raise SettingsFileError("proposal: exactly one of propose, call_off and back is required")
    if request.propose is not None:
        try:
            document_from_object(request.propose)
        except DocumentError as error:
            raise SettingsFileError(str(error)) from None
    return request
