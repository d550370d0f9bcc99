"""Opens the control member of a daemon at startup."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.agreement import Configuration, InitialiseRefusedError, StorageError
from hyssopway.event import Event, log_event

from .status import find_initialised_daemon

if TYPE_CHECKING:
    from hyssopway.agreement import Member
    from hyssopway.settings import DaemonSettings

    from .daemon import Daemon


async def open_member(daemon: Daemon, *, member: Member) -> None:
    """Opens the control member; starts a new group only if `--initialise` was given.

    Raises:
        InitialiseRefusedError: Another daemon already has committed state.
        StorageError: The data folder cannot be opened.
    """
    initial = None
    if daemon.initialise and not member.store.is_initialised:
        # A member that lost its disk must not rejoin as the same voter: it could vote twice in a term.
        other = await find_initialised_daemon(daemon)
        if other:
            reason = f"daemon {other} already has committed state; start without --initialise"
            log_event(Event.INITIALISE_REFUSED, reason=reason)
            raise InitialiseRefusedError(reason)
        initial = _initial_configuration(daemon.settings)
    try:
        member.open(initial=initial)
    except OSError as error:
        raise StorageError(f"data folder {daemon.settings.data_dir}: {error}") from error
    if not member.configuration.members:
        log_event(Event.MEMBER_WAITS, member=member.member_id)


def _initial_configuration(settings: DaemonSettings) -> Configuration:
    return Configuration(voters=tuple(f"{peer.name}/0" for peer in settings.peers if peer.member))


__all__ = ["open_member"]
