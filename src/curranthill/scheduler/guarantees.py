"""Planned placements of the guarantees that are not in use.

A planned placement leaves no slot idle: its slots are lent to preemptible work.
With it, whether every guarantee can be restored immediately is a sum on each
worker instead of a search at each decision.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from loguru import logger

from curranthill.configuration import Adjacency, ConfigurationDocument
from curranthill.jobs import Member
from curranthill.scheduler.cluster import Cluster
from curranthill.scheduler.search import find_placement
from curranthill.telemetry import metrics


class GuaranteeUnitId(NamedTuple):
    """The identity of one guaranteed shape of a workspace."""

    workspace: str
    shape: str
    number: int


@dataclass(kw_only=True)
class GuaranteeUnit:
    """One guaranteed shape: planned, in use by a job, or at risk."""

    unit_id: GuaranteeUnitId
    slots: int
    adjacent: Adjacency
    planned: tuple[Member, ...] = ()
    job_id: str = ''

    @property
    def at_risk(self) -> bool:
        """Return whether it is unused and cannot be restored now."""
        return not self.planned and not self.job_id


class GuaranteePlan:
    """Plans a placement for each unused guarantee of a data centre.

    :param cluster: counts the planned slots of its workers.
    """

    def __init__(self, *, cluster: Cluster) -> None:
        """Initialize without guarantees."""
        #: Units that no workers can hold now.
        self.at_risk: set[GuaranteeUnitId] = set()
        self._cluster = cluster
        self._units: dict[GuaranteeUnitId, GuaranteeUnit] = {}
        self._by_job: dict[str, GuaranteeUnitId] = {}
        self._unused: dict[
            tuple[str, str],
            dict[GuaranteeUnitId, GuaranteeUnit],
        ] = {}

    def __iter__(self) -> Iterator[GuaranteeUnit]:
        """Yield all units."""
        return iter(self._units.values())

    def configure(
        self,
        document: ConfigurationDocument,
        data_centre: str,
    ) -> None:
        """Apply the guarantees of a configuration."""
        self.replace_units(dict(_wanted_units(document, data_centre)))

    def replace_units(
        self, wanted: dict[GuaranteeUnitId, GuaranteeUnit]
    ) -> None:
        """Replace the guarantee units; those that remain keep their plans."""
        for unit_id in list(self._units):
            if unit_id not in wanted or self._shape_changed(wanted[unit_id]):
                self._drop(unit_id)
        for unit_id, unit in wanted.items():
            if unit_id not in self._units:
                self._units[unit_id] = unit
                self._add_unused(unit)
        self.repair()

    def free_unit(self, workspace: str, shape: str) -> GuaranteeUnit | None:
        """Return a unit of a workspace and shape that is not in use."""
        unused = self._unused.get((workspace, shape))
        return next(iter(unused.values())) if unused else None

    def unused_shapes(self) -> list[tuple[str, str]]:
        """Return the workspaces and shapes that have an unused unit."""
        return [key for key, unused in self._unused.items() if unused]

    def units_of(self, workspace: str, shape: str) -> list[GuaranteeUnit]:
        """Return all units of a workspace and shape."""
        return [unit for unit in self if unit.unit_id[:2] == (workspace, shape)]

    def assign(self, unit: GuaranteeUnit, job_id: str) -> None:
        """Assign a unit to a job, which replaces its planned placement."""
        self._unplan(unit)
        unit.job_id = job_id
        self._by_job[job_id] = unit.unit_id
        self._unused[unit.unit_id[:2]].pop(unit.unit_id, None)

    def return_unit(self, job_id: str, members: Iterable[Member]) -> None:
        """Release a job's unit and plan it where the job ran, if it fits."""
        unit = self._units.get(
            self._by_job.pop(job_id, GuaranteeUnitId('', '', 0)),
        )
        if unit is None:
            return
        unit.job_id = ''
        self._add_unused(unit)
        members = tuple(members)
        if self._fits(members):
            self._set_plan(unit, members)
        else:
            self.plan_missing()

    def relocate_plans(self, members: Iterable[Member]) -> bool:
        """Relocate plans so that non-preemptible work may take ``members``.

        Returns whether that was possible; if not, nothing is changed. The
        slots count as planned during the search and are released after it.
        """
        wanted = tuple(members)
        displaced = self._displaced(wanted)
        previous = [(unit, unit.planned) for unit in displaced]
        for unit in displaced:
            self._unplan(unit)
        fits = self._fits(wanted)
        if fits:
            self._cluster.plan(wanted)
            fits = all(self._replan(unit) for unit in _largest_first(displaced))
            self._cluster.plan(wanted, -1)
        if not fits:
            for unit, planned in previous:
                self._unplan(unit)
            for unit, planned in previous:
                self._set_plan(unit, planned)
        return fits

    def repair(self) -> None:
        """Plan units again whose plan no longer fits the workers.

        Plans that still fit are not displaced by units that lost theirs. Of
        the latter, larger shapes are planned first; units that then fit
        nowhere are at risk until capacity returns.
        """
        for worker in self._cluster.workers.values():
            committed = worker.non_preemptible + worker.planned + worker.quick
            if worker.usable and committed <= worker.slots:
                continue
            for unit in self._planned_on(worker.name):
                self._unplan(unit)
        self.plan_missing()

    def plan_missing(self) -> None:
        """Plan the units at risk where they fit now, larger ones first."""
        missing = [unit for unit in self if unit.at_risk]
        unplanned = [
            unit for unit in _largest_first(missing) if not self._replan(unit)
        ]
        now_at_risk = {unit.unit_id for unit in unplanned}
        for unit in unplanned:
            if unit.unit_id not in self.at_risk:
                logger.bind(
                    step='guarantee',
                    workspace=unit.unit_id[0],
                ).warning(
                    'guarantee {} is at risk: no workers can hold it',
                    unit.unit_id,
                )
        self.at_risk = now_at_risk
        metrics.guarantees_at_risk.set(len(now_at_risk))

    def unplan_for_search(self, unit: GuaranteeUnit) -> tuple[Member, ...]:
        """Remove a unit's planned placement for a search and return it."""
        planned = unit.planned
        self._unplan(unit)
        return planned

    def restore_plan(
        self,
        unit: GuaranteeUnit,
        planned: tuple[Member, ...],
    ) -> None:
        """Undo :meth:`unplan_for_search`."""
        self._set_plan(unit, planned)

    def _shape_changed(self, wanted: GuaranteeUnit) -> bool:
        unit = self._units[wanted.unit_id]
        return (unit.slots, unit.adjacent) != (wanted.slots, wanted.adjacent)

    def _drop(self, unit_id: GuaranteeUnitId) -> None:
        unit = self._units.pop(unit_id)
        self._unplan(unit)
        self._unused[unit_id[:2]].pop(unit_id, None)
        self._by_job.pop(unit.job_id, None)

    def _add_unused(self, unit: GuaranteeUnit) -> None:
        key = unit.unit_id[:2]
        self._unused.setdefault(key, {})[unit.unit_id] = unit

    def _displaced(self, members: tuple[Member, ...]) -> list[GuaranteeUnit]:
        names = {
            member.worker
            for member in members
            if self._cluster.workers[member.worker].open < member.slots
        }
        return [
            unit
            for unit in self
            if any(part.worker in names for part in unit.planned)
        ]

    def _planned_on(self, worker: str) -> list[GuaranteeUnit]:
        return [
            unit
            for unit in self
            if any(part.worker == worker for part in unit.planned)
        ]

    def _fits(self, members: tuple[Member, ...]) -> bool:
        workers = self._cluster.workers
        return all(
            member.worker in workers
            and workers[member.worker].open >= member.slots
            for member in members
        )

    def _replan(self, unit: GuaranteeUnit) -> bool:
        members = find_placement(
            self._cluster,
            unit.slots,
            unit.adjacent,
            'open',
        )
        if members is None:
            return False
        self._set_plan(unit, members)
        return True

    def _set_plan(
        self,
        unit: GuaranteeUnit,
        members: tuple[Member, ...],
    ) -> None:
        self._unplan(unit)
        unit.planned = members
        self._cluster.plan(members)

    def _unplan(self, unit: GuaranteeUnit) -> None:
        self._cluster.plan(unit.planned, -1)
        unit.planned = ()


def _wanted_units(
    document: ConfigurationDocument,
    data_centre: str,
) -> Iterator[tuple[GuaranteeUnitId, GuaranteeUnit]]:
    for name, workspace in document.workspaces.items():
        counts: dict[str, int] = {}
        for guarantee in workspace.guarantees:
            if guarantee.data_centre == data_centre:
                counts.setdefault(guarantee.shape, 0)
                counts[guarantee.shape] += guarantee.count
        for shape_name, count in counts.items():
            shape = document.shapes[shape_name]
            for number in range(count):
                unit_id = GuaranteeUnitId(name, shape_name, number)
                yield (
                    unit_id,
                    GuaranteeUnit(
                        unit_id=unit_id,
                        slots=shape.accelerators,
                        adjacent=shape.adjacent,
                    ),
                )


def _largest_first(units: Iterable[GuaranteeUnit]) -> list[GuaranteeUnit]:
    return sorted(units, key=lambda unit: (-unit.slots, unit.unit_id))


__all__ = ('GuaranteePlan', 'GuaranteeUnit', 'GuaranteeUnitId')
