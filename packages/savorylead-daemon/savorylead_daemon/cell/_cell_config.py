"""Access to the configuration in force for gateways, leads and peers."""

from __future__ import annotations

from datetime import timedelta

from savorylead.config import (
    CellDocument,
    ConfigEditor,
    EditApplied,
    EditConflict,
    EditUncertainError,
    InForceConfig,
    KeyRole,
    UnknownKey,
    WithdrawnKey,
    hash_key,
)
from savorylead.outcomes import Refusal
from savorylead.store import StoreTimeoutError
from savorylead_daemon.peers import RevisionExchange
from savorylead_daemon.services import (
    ConfigApplied,
    ConfigConflict,
    ConfigFault,
    ConfigRejected,
    ConfigView,
    RefusedError,
)

from ._config_access import ConfigAdmin, KeyVerifier, TeamKey
from ._digest_poller import DigestPoller


class ConfigRevisions(RevisionExchange):
    """Adds the revision in force to every message, and observes those of peers."""

    def __init__(self, config: InForceConfig) -> None:
        self._config = config

    def revision(self) -> int:
        """Return the revision in force here."""
        return self._config.revision

    def observe(self, revision: int) -> None:
        """Record the revision in force at a peer."""
        self._config.observe(revision)


class ConfigConfirmation:
    """Confirms the configuration by the answers of peers while the store fails."""

    def __init__(self, config: InForceConfig, poller: DigestPoller) -> None:
        self._config = config
        self._poller = poller

    def apply_observations(self) -> None:
        """Apply the peers' latest observations."""
        observations = self._poller.observations()
        for timed in observations.values():
            self._config.confirm_by_peer(timed.requested_at, timed.observation)
        if not observations or not self._poller.store_is_down_here():
            return
        oldest = min(timed.requested_at for timed in observations.values())
        self._config.confirm_by_outage(
            oldest,
            self._poller.peers(),
            [timed.observation for timed in observations.values()],
        )


class ConfigKeyVerifier(KeyVerifier):
    """Checks callers' keys against the configuration in force."""

    def __init__(self, config: InForceConfig) -> None:
        self._config = config

    def document(self) -> CellDocument:
        """Return the configuration; raises RefusedError if it may be out of date."""
        current = self._config.current
        if current is None or not self._config.is_fresh():
            raise RefusedError(Refusal.CONFIG_STALE, "the store can't confirm it")
        return current.document

    def check_key(self, key: str) -> TeamKey:
        """Return the team and id of a key; raises RefusedError."""
        self.document()
        holder = self._config.current.keys.check(key)
        if isinstance(holder, WithdrawnKey):
            raise RefusedError(Refusal.KEY_WITHDRAWN)
        if getattr(holder, "role", None) is not KeyRole.TEAM:
            raise RefusedError(Refusal.UNKNOWN_KEY)
        return TeamKey(holder.team, holder.key_id)

    def recheck(self, team: str, key_id: str) -> Refusal | None:
        """Return why a lead must not accept work for a key, or None if it may."""
        current = self._config.current
        if current is None or not self._config.is_fresh():
            return Refusal.CONFIG_STALE
        keys = current.document["teams"].get(team, {"keys": {}})["keys"]
        if key_id not in keys:
            return Refusal.UNKNOWN_KEY
        return Refusal.KEY_WITHDRAWN if keys[key_id]["withdrawn"] else None


class StoredConfigAdmin(ConfigAdmin):
    """Reads and changes the configuration for operators."""

    def __init__(
        self,
        config: InForceConfig,
        editor: ConfigEditor,
        bootstrap_sha256: frozenset[str],
    ) -> None:
        self._config = config
        self._editor = editor
        self._bootstrap_sha256 = bootstrap_sha256

    def check_operator(self, key: str) -> None:
        """Raise RefusedError unless the key is an operator's.

        The configuration takes precedence over this daemon's settings, so that a key
        in the settings can be withdrawn as well.
        """
        current = self._config.current
        holder = UnknownKey() if current is None else current.keys.check(key)
        if isinstance(holder, UnknownKey) and hash_key(key) in self._bootstrap_sha256:
            return
        if isinstance(holder, WithdrawnKey):
            raise RefusedError(Refusal.KEY_WITHDRAWN)
        if getattr(holder, "role", None) is not KeyRole.OPERATOR:
            raise RefusedError(Refusal.UNKNOWN_KEY)

    def in_force(self) -> ConfigView:
        """Return the configuration in force at this daemon."""
        current = self._config.current
        if current is None:
            raise RefusedError(Refusal.CONFIG_STALE, "no configuration was read yet")
        return ConfigView(current.document, current.revision)

    async def read(self) -> ConfigView:
        """Return the newest configuration; raises StoreError."""
        return ConfigView(*await self._editor.read())

    async def apply(
        self, document: CellDocument, expected_revision: int
    ) -> ConfigApplied | ConfigConflict | ConfigRejected:
        """Replace the configuration; raises StoreError if the outcome is unknown."""
        try:
            result = await self._editor.apply(document, expected_revision)
        except EditUncertainError as exc:
            raise StoreTimeoutError(str(exc)) from exc
        if isinstance(result, EditApplied):
            self._config.adopt(document, result.revision)
            return ConfigApplied(result.revision)
        if isinstance(result, EditConflict):
            return ConfigConflict(result.revision, result.document)
        faults = tuple(ConfigFault(f.path, f.message) for f in result.faults)
        return ConfigRejected(faults)


def age_ms(age: timedelta | None) -> int | None:
    """Return an age in whole milliseconds."""
    return None if age is None else int(age / timedelta(milliseconds=1))
