"""Keys of the daemons' own records in the platform's store."""

from __future__ import annotations

_ROOT = "savorylead/"
#: Members and leads; these keys end with their daemon's lease.
CELL_PREFIX = f"{_ROOT}cell/"
MEMBER_PREFIX = f"{CELL_PREFIX}member/"
LEAD_PREFIX = f"{CELL_PREFIX}lead/"
#: Resources of the members' machines; daemons of earlier versions ignore these keys.
MACHINE_PREFIX = f"{CELL_PREFIX}machine/"
#: Pools that need a lead although the configuration may lack them. Daemons of earlier
#: versions ignore these keys.
POOL_PREFIX = f"{CELL_PREFIX}pool/"
#: Members that mark a lease before they end it for its holder. Daemons of earlier
#: versions ignore these keys, and have none.
MARKER_PREFIX = f"{CELL_PREFIX}marker/"
#: Marks of leases that were ended for their holders.
ENDED_LEASE_PREFIX = f"{_ROOT}ended-lease/"
#: How the limits of teams are divided among the pools.
GRANTS_KEY = f"{_ROOT}grants"


def member_key(name: str) -> str:
    """Return the key of a daemon's membership, which ends with its lease."""
    return f"{MEMBER_PREFIX}{name}"


def machine_key(name: str) -> str:
    """Return the key of a machine's resources, which ends with its daemon's lease."""
    return f"{MACHINE_PREFIX}{name}"


def marker_key(name: str) -> str:
    """Return the key of a member that marks leases; it ends with its lease."""
    return f"{MARKER_PREFIX}{name}"


def ended_lease_key(lease_id: str) -> str:
    """Return the key that marks a lease as ended for its holder."""
    return f"{ENDED_LEASE_PREFIX}{lease_id}"


def pool_key(pool: str) -> str:
    """Return the key of a pool that may hold jobs, which outlives its lead."""
    return f"{POOL_PREFIX}{pool}"


def lead_key(pool: str) -> str:
    """Return the key of the lead of a pool."""
    return f"{LEAD_PREFIX}{pool}"


def term_key(pool: str) -> str:
    """Return the key of the number of a pool's last term, which outlives its lead."""
    return f"{_ROOT}term/{pool}"


def term_leases_key(pool: str) -> str:
    """Return the key of the leases of a pool's last terms.

    Daemons of earlier versions ignore it.
    """
    return f"{_ROOT}term-leases/{pool}"


def marked_since_key(pool: str) -> str:
    """Return the key of the election since which all leads of a pool have marked jobs.

    Daemons of earlier versions ignore it.
    """
    return f"{_ROOT}marked-since/{pool}"


def workers_key(pool: str) -> str:
    """Return the key of the workers on which the lead may have started tasks."""
    return f"{_ROOT}workers/{pool}"


def crashes_key(pool: str) -> str:
    """Return the key of the tasks under which workers of the pool have crashed.

    Daemons of earlier versions ignore it.
    """
    return f"{_ROOT}crashes/{pool}"


def durations_key(pool: str) -> str:
    """Return the key of what the pool's leads have learned of durations and workers.

    Daemons of earlier versions ignore it.
    """
    return f"{_ROOT}durations/{pool}"


def intake_prefix(pool: str) -> str:
    """Return the prefix of the records that the lead of a pool must process."""
    return f"{_ROOT}in/{pool}/"


def job_key(pool: str, job_id: str) -> str:
    """Return the key of an accepted job."""
    return f"{intake_prefix(pool)}job/{job_id}"


def claim_key(job_id: str) -> str:
    """Return the key that claims the id of an accepted job for one pool.

    Daemons of earlier versions ignore it.
    """
    return f"{_ROOT}job/{job_id}"


def cancel_key(pool: str, job_id: str) -> str:
    """Return the key that marks a job as cancelled."""
    return f"{intake_prefix(pool)}cancel/{job_id}"


def progress_prefix(pool: str) -> str:
    """Return the prefix of the progress records, which only the lead writes."""
    return f"{_ROOT}at/{pool}/"


def progress_key(pool: str, job_id: str) -> str:
    """Return the key of a job's progress record."""
    return f"{progress_prefix(pool)}{job_id}"
