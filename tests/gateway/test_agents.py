import asyncio
import os
import unittest
from unittest import mock

from fuchsiahatch_adapter.configuration import decode_configuration
from fuchsiahatch_gateway import order_pacing
from fuchsiahatch_gateway.agent import Agent
from fuchsiahatch_gateway.defaults import ENGINES_PREFIX, LEADERS_PREFIX
from fuchsiahatch_gateway.engine_figures import extract_figures
from fuchsiahatch_gateway.log import LineWriter
from fuchsiahatch_gateway.process import Process
from fuchsiahatch_standins.fleet_store import FleetStore, make_upstream_entry
from fuchsiahatch_standins.platform_demo import ENGINE, EXPERTS, LAYERS
from fuchsiahatch_standins.rank_group import RankGroup
from tests.gateway.sites import dump, make_configuration, make_settings, until
from tests.loopback import run

IPS = ("127.0.8.1", "127.0.8.2", "127.0.8.3")


class Group:
    """Three agents of a group's simulated engines, for the time of a context."""

    def __init__(self, seed=1, link_mbps=8.0):
        self.link_mbps = link_mbps
        self.store = FleetStore()
        self.engines = RankGroup("g-1", IPS, LAYERS, EXPERTS, seed)
        self.running = {}

    async def __aenter__(self):
        self.store_port = await self.store.listen()
        document = self.configuration()
        self.store.put("op/config", document)
        # The engine figures that an entry writes to the store.
        configuration = decode_configuration(dump(document))
        for service, figures in extract_figures(configuration).items():
            self.store.put(ENGINES_PREFIX + service, figures.encode())
        await self.engines.start()
        for rank, ip in enumerate(IPS):
            address = f"{ip}:{self.engines.ports[rank]}"
            self.store.put(f"servers/i-{rank}", make_upstream_entry("svc", address))
            self.start(rank)
        return self

    async def __aexit__(self, *exc_info):
        for rank in tuple(self.running):
            await self.kill(rank)
        await self.engines.close()
        await self.store.close()

    def configuration(self):
        document = make_configuration()
        document["services"][0]["engine"] = ENGINE
        return document

    def start(self, rank):
        ip = IPS[rank]
        settings = make_settings(
            self.store_port,
            node=f"side-{rank}",
            role="agent",
            ip=ip,
            listen={},
            internalPorts=[27_340, 27_355],
            app=f"{ip}:{self.engines.ports[rank]}",
            service="svc",
            limits={"linkMbps": self.link_mbps},
        )
        null = os.open(os.devnull, os.O_WRONLY)
        process = Process(settings, LineWriter(null, lambda: 0))
        agent = Agent(process)
        task = asyncio.ensure_future(agent.run())
        self.running[rank] = (agent, process, task)

    async def kill(self, rank):
        agent, process, task = self.running.pop(rank)
        task.cancel()
        process._tasks.cancel()
        for leader in agent._active_leaders():
            leader.stop()
        if agent.datagrams.transport is not None:
            stopped = agent.datagrams.transport.stopListening()
            await stopped.asFuture(asyncio.get_running_loop())
        for server in process.servers:
            await server.close()

    def leader(self):
        return next(
            (rank for rank, (agent, *_) in self.running.items() if agent.leader), None
        )


class TestAgents(unittest.TestCase):
    def test_a_group_follows_its_demand(self):
        async def follow():
            async with Group() as group:
                await until(lambda: group.engines.switches >= 2, 10.0)
                before = group.engines.switches
                group.engines.hot = 7
                await until(lambda: group.engines.switches > before, 10.0)
                return group.engines.mixed

        self.assertEqual(run(follow()), [])

    def test_a_group_behind_slow_links_follows_its_demand(self):
        # If the orders of one change overdraw the budget of the leader's link, and the
        # number of orders that may be sent gets negative, a group of 63 ranks keeps its
        # first map all day.
        async def follow():
            sizes = {"BURST_BYTES": 3, "ORDER_BYTES": 1, "COPY_BYTES": 0.001}
            with mock.patch.multiple(order_pacing, **sizes):
                async with Group(21, link_mbps=0.05) as group:
                    await until(lambda: group.engines.switches >= 1, 20.0)
                    return group.engines.mixed

        self.assertEqual(run(follow()), [])

    def test_a_group_with_relayed_orders_follows_its_demand(self):
        async def follow():
            with mock.patch.object(order_pacing, "DIRECT_MS", 0):
                async with Group(23) as group:
                    await until(lambda: group.engines.switches >= 2, 10.0)
                    return group.engines.mixed

        self.assertEqual(run(follow()), [])

    def test_orders_that_are_not_relayed_are_sent_directly(self):
        # Otherwise a group of 96 ranks keeps its map while one host is suspended whose
        # agent should relay the leader's orders to nine others.
        async def follow():
            lost = mock.patch.object(Agent, "_pass_on", lambda *_: None)
            with lost, mock.patch.object(order_pacing, "DIRECT_MS", 0):
                async with Group(24) as group:
                    await until(lambda: group.engines.switches >= 2, 15.0)
                    return group.engines.mixed

        self.assertEqual(run(follow()), [])

    def test_no_pass_mixes_maps_while_orders_are_lost_and_late(self):
        # An order without an answer may be executed after its switch was abandoned; a
        # pass would then run with two maps.
        async def trouble():
            async with Group(3) as group:
                group.engines.lost_share = 0.2
                group.engines.late_share = 0.2
                await until(lambda: group.engines.switches >= 2, 15.0)
                before = group.engines.step
                for number in range(40):
                    group.engines.hot = number % EXPERTS
                    await asyncio.sleep(0.05)
                group.engines.lost_share = group.engines.late_share = 0.0
                await until(lambda: group.engines.step > before + 50, 5.0)
                return group.engines.mixed

        self.assertEqual(run(trouble()), [])

    def test_a_killed_leader_is_succeeded_by_another(self):
        # If a leader dies while passes are held and nobody else releases them, its
        # group pauses until the leader's host is back.
        async def kill():
            async with Group(5) as group:
                await until(lambda: group.engines.switches >= 1, 10.0)
                for number in range(400):
                    if group.engines.held:
                        break
                    group.engines.hot = number // 20 % EXPERTS
                    await asyncio.sleep(0.005)
                first = group.leader()
                await group.kill(first)
                await until(lambda: group.leader() not in (None, first), 5.0)
                before = group.engines.step
                await until(lambda: group.engines.step > before + 20, 5.0)
                group.start(first)
                group.engines.hot = 11
                before = group.engines.switches
                await until(lambda: group.engines.switches > before, 10.0)
                return group.engines.mixed

        self.assertEqual(run(kill()), [])

    def test_a_suspended_host_holds_its_group_for_half_a_second(self):
        # The leader's host is suspended right after its hold, and neither its agent nor
        # its engine can be asked which orders its rank got. Without a standby every
        # stream of the service stops for four seconds.
        async def freeze():
            async with Group(11) as group:
                await until(lambda: group.engines.switches >= 1, 10.0)
                for number in range(4_000):
                    if group.engines.held:
                        break
                    group.engines.hot = number // 200 % EXPERTS
                    await asyncio.sleep(0.0005)
                first = group.leader()
                group.engines.unreached.add(first)
                await group.kill(first)
                await asyncio.sleep(0.5)
                before = group.engines.step
                await until(lambda: group.engines.step > before + 20, 1.0)
                group.engines.unreached.clear()
                group.start(first)
                await until(lambda: group.leader() is not None, 5.0)
                before = group.engines.switches
                group.engines.hot = 9
                await until(lambda: group.engines.switches > before, 10.0)
                return group.engines.mixed

        self.assertEqual(run(freeze()), [])

    def test_a_silent_agent_does_not_keep_its_group_on_an_old_map(self):
        # Streams stall for four seconds if one agent's host is suspended and the leader
        # waits for its rank's state before each map change.
        async def silence():
            async with Group(9) as group:
                await until(lambda: group.engines.switches >= 1, 10.0)
                silent = next(rank for rank in range(3) if rank != group.leader())
                await group.kill(silent)
                await asyncio.sleep(0.5)
                before = group.engines.switches
                group.engines.hot = 5
                await until(lambda: group.engines.switches > before, 4.0)
                return group.engines.mixed

        self.assertEqual(run(silence()), [])

    def test_a_leader_continues_while_the_store_is_unreachable(self):
        # While the store is unreachable the leader can't renew its lease and nobody
        # else can win one. If the map doesn't follow the demand, answers are late.
        async def outage():
            async with Group(13) as group:
                await until(lambda: group.engines.switches >= 1, 10.0)
                group.store.faults.status = 503
                group.store.cut()
                await asyncio.sleep(2.0)
                before = group.engines.switches
                group.engines.hot = 5
                await until(lambda: group.engines.switches > before, 4.0)
                group.store.end_leases()
                group.store.faults.status = 0
                await asyncio.sleep(1.0)
                before = group.engines.switches
                group.engines.hot = 9
                await until(lambda: group.engines.switches > before, 6.0)
                return group.engines.mixed

        self.assertEqual(run(outage()), [])

    def test_without_the_store_a_leader_needs_every_agent(self):
        # A leader whose lease has expired must not go on beside its successor and call
        # the engine of a suspended agent: a pass would run with two maps.
        async def outage():
            async with Group(17) as group:
                await until(lambda: group.engines.switches >= 1, 10.0)
                first = group.leader()
                group.store.faults.status = 503
                group.store.cut()
                await asyncio.sleep(2.0)
                # Polled rather than checked once: all agents share this loop, and if it
                # stalls for 0.35 s just then, their acknowledgements are too old.
                leader = group.running[first][0].leader
                await until(leader.may_lead, 1.0)
                before = group.engines.switches
                group.engines.hot = 9
                await until(lambda: group.engines.switches > before, 10.0)
                await group.kill(next(rank for rank in range(3) if rank != first))
                await asyncio.sleep(0.5)
                return group.running[first][0].leader.may_lead()

        self.assertFalse(run(outage()))

    def test_a_leader_that_was_replaced_stops(self):
        async def replace():
            async with Group(19) as group:
                await until(lambda: group.engines.switches >= 1, 10.0)
                first = group.leader()
                agent = group.running[first][0]
                group.store.faults.status = 503
                group.store.cut()
                await asyncio.sleep(2.0)
                agent.rank.note_term(agent.leadership.term + 1)
                await until(lambda: agent.leader is None, 1.0)

        run(replace())

    def test_agents_whose_watches_are_silent_learn_of_a_new_leader(self):
        # They would have reported to the former leader for 15 s.
        async def lose():
            async with Group(19) as group:
                await until(lambda: group.engines.switches >= 1, 10.0)
                followers = [agent._follower for agent, *_ in group.running.values()]
                group.store.faults.lost_watches = len(followers)
                key = LEADERS_PREFIX + "g-1"
                group.store.put(key, group.store.get(key))
                changed = group.store.revision
                await until(
                    lambda: all(one.revision >= changed for one in followers), 6.0
                )

        run(lose())

    def test_a_group_that_forms_again_follows_its_demand(self):
        async def form():
            async with Group(7) as group:
                await until(lambda: group.engines.switches >= 1, 10.0)
                group.engines.form_anew()
                before = group.engines.switches
                await until(lambda: group.engines.switches > before, 10.0)
                return group.engines.mixed

        self.assertEqual(run(form()), [])
