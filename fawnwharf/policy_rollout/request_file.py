"""Watches the operators' request file while the front end runs, and submits each request once."""

from collections.abc import Callable
from pathlib import Path

from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import document_from_object, find_incompatibility
from fawnwharf.policy_rollout.rate_limited_log import WriteEntry
from fawnwharf.policy_rollout.rollout_member import RolloutMember
from fawnwharf.policy_rollout.settings import PolicyRequest, decode_operator_request
from fawnwharf.zones.files import WatchedFile
from fawnwharf.zones.settings import SettingsFileError

REQUEST_FILE = "proposal.json"


class RequestFile:
    """Owns the watched file and the number of the last request that was read from it."""

    def __init__(
        self, path: Path, log: WriteEntry, member: RolloutMember, carry_out: Callable[[list[m.Effect]], None]
    ) -> None:
        """`carry_out` executes effects of the member; a request written before this start is rejected."""
        self._file = WatchedFile(path)
        self._log = log
        self._member = member
        self._carry_out = carry_out
        self._last_number = 0
        if self._file.changed() is not None:
            self._log("proposal rejected", {"error": "it was written before this start"})

    def poll(self) -> None:
        """Read the file if it has changed, and submit the request in it.

        An invalid request changes nothing and is logged once with its key and cause.
        """
        data = self._file.changed()
        if data is None:
            return
        try:
            request = decode_operator_request(data)
        except SettingsFileError as error:
            self._log("proposal rejected", {"error": str(error)})
            return
        if error_text := self._find_error(request):
            self._reject(request, error_text)
            return
        self._last_number = request.number
        self._log("proposal taken", {"number": request.number, "what": request.kind})
        self._carry_out(self._member.submit(monotonic_ms(), request))

    def _find_error(self, request: PolicyRequest) -> str | None:
        """Why a request can't be submitted, with its key; None if it can."""
        if request.number <= self._last_number:
            return f"number: {request.number} is not larger than {self._last_number}, the previous request's"
        if request.propose is None:
            return None
        return find_incompatibility(document_from_object(request.propose), self._member.capabilities)

    def _reject(self, request: PolicyRequest, error: str) -> None:
        self._log("proposal rejected", {"error": error})
        if request.number > self._last_number:
            self._last_number = request.number
            self._member.reject(monotonic_ms(), request.number, error)
            self._carry_out([])
