"""A leader, its dispatcher and VMs that follow the platform's rules for orders, without a network."""

from __future__ import annotations

import asyncio
from collections import Counter

from dispatch.conftest import LIMITS, FakeLeadership, make_link
from dispatch.model_worker import ModelNetwork, ModelWorker
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.late_starts import LateStarts
from hyssopway.workflow import TaskId
from workflow.conftest import make_vm


class ModelFleet:
    """A leader with a dispatcher and VMs over a network that injects faults.

    Attributes:
        leadership: Term of the present leader.
        workers: VMs by ID.
        network: Carries the orders.
        links: Links of the present leader.
        dispatcher: Dispatcher of the present leader.
    """

    def __init__(self, leadership):
        self.leadership = leadership
        self.workers = {}
        self.network = ModelNetwork(workers=self.workers, stop_s=LIMITS.stop_s)
        self._lead()

    async def join(self, name, **announced):
        self.workers[name] = ModelWorker(name=name)
        await self.leadership.propose(make_vm(name, **announced))
        self._add_link(name)

    def change_leader(self):
        former = self.leadership
        former.is_confirmed = False
        self.leadership = FakeLeadership()
        self.leadership.state, self.leadership.term = former.state, former.term + 1
        self.leadership.now = self.leadership.started_at = former.now
        self._lead()
        for name in self.workers:
            self._add_link(name)

    def advance(self, seconds):
        self.leadership.now += seconds
        self.network.advance(seconds)
        for worker in self.workers.values():
            worker.advance(seconds)

    async def poll(self, *, fault="deliver"):
        self.network.fault = fault
        for link in self.links.values():
            await link.poll()
            await asyncio.gather(*link.orders.sending)
        self.network.fault = "deliver"

    async def run_round(self, *, fault="deliver"):
        self.network.fault = fault
        await self.dispatcher.run_round()
        await asyncio.gather(*self.dispatcher.sending)
        self.network.fault = "deliver"

    def list_committed(self, vm):
        """Returns the tasks of the runs in progress on a VM in the replicated state."""
        return sorted(key.rpartition("/")[0] for key in self.leadership.state.tables.vms[vm].runs)

    def count_by_step(self, vm):
        """Returns how many tasks of each step a VM works on, with those that it is stopping."""
        return Counter(TaskId.parse(task).step_name for task in self.workers[vm].working())

    def _lead(self):
        self.links = {}
        self.late_starts = LateStarts()
        self.dispatcher = Dispatcher(leadership=self.leadership, links=self.links)

    def _add_link(self, name):
        self.links[name] = make_link(
            name, leadership=self.leadership, calls=self.network, late_starts=self.late_starts
        )
