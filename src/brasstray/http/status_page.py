"""Report the status of an entry host to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from brasstray.entry.entry_host import EntryHost


def status_page(host: EntryHost) -> dict[str, Any]:
    """Return the status of `host` as a JSON object."""
    leader = host.journal_service.leader
    journal: dict[str, Any] = {
        "term": host.membership.term,
        "leader": host.membership.leader,
    }
    if leader is not None:
        writer = leader.writer
        journal |= {
            "replicas": writer.replicas,
            "offline": writer.offline,
            "remembered": leader.key_count,
            "writes": writer.writes,
        }
    return {
        "incarnation": host.config.incarnation,
        "state": "draining" if host.draining else "serving",
        "table_version": host.tables.table.version,
        "jobs_unanswered": host.executions.unanswered,
        "jobs_remembered": len(host.executions.runs),
        "journal": journal,
        "peers": [
            {"incarnation": m.incarnation, "draining": m.draining}
            for m in host.membership.live()
        ],
        "minions": [
            {
                "name": load.listed.name,
                "services": sorted(load.services),
                "outstanding": load.outstanding,
                "credits": load.credits,
                "leaving": not load.accepts_work,
                "ejected": load.health.on_probation,
            }
            for load in host.pool.minions
        ],
    }


__all__ = ["status_page"]
