"""Injects overlapping random faults; a seed determines the series."""
import asyncio
import signal

PROXY_MODES = ("delay", "cut_up", "cut_down", "silent", "reset")
STORE_FAULTS = ("busy", "limited", "silent", "loses")
INSTANCE_FAULTS = ("sheds", "surplus", "unsigned", "hangs", "slow")


class FaultInjector:
    """Draws faults and injects them. Each fault undoes its own effect."""

    def __init__(self, deployment, rng, report):
        self.site, self.rng, self.report = deployment, rng, report
        self.reserved = set()
        self.injections = [
            self.kill_node, self.terminate_node, self.pause_node,
            self.reload_node, self.kill_instance, self.pause_instance,
            self.instance_fault, self.proxy_fault, self.proxy_fault,
            self.store_fault, self.pause_store, self.compact_store,
            self.change_config, self.change_config]

    async def run(self, seconds, mean_gap):
        loop, tasks = asyncio.get_running_loop(), []
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(1.0 / mean_gap))
            tasks.append(asyncio.create_task(self.rng.choice(self.injections)()))
        await asyncio.gather(*tasks)

    def _reserve(self, *parts):
        """Reserves parts for one fault; returns False if one is reserved already."""
        if any(part in self.reserved for part in parts):
            return False
        self.reserved.update(parts)
        return True

    def _release(self, *parts):
        self.reserved.difference_update(parts)

    def record_event(self, text):
        self.report.record_event(text)

    async def _restart(self, machine, signal_number):
        part = ("node", machine)
        if not self._reserve(part):
            return
        node, downtime = self.site.nodes[machine], self.rng.uniform(0.1, 2.0)
        self.record_event(f"node {machine} gets signal {signal_number}, "
                          f"down {downtime:.1f} s")
        self.report.node_ends(machine, signal_number)
        node.end(signal_number)
        status = await node.wait(7.0)
        if signal_number == signal.SIGTERM and status != 0:
            self.report.record_violation(
                f"node {machine} ended with status {status} after SIGTERM")
        await asyncio.sleep(downtime)
        node.start()
        self.site.name_process(machine)
        self.report.node_starts(machine)
        self._release(part)

    async def kill_node(self):
        await self._restart(self.rng.randrange(self.site.machines), signal.SIGKILL)

    async def terminate_node(self):
        await self._restart(self.rng.randrange(self.site.machines), signal.SIGTERM)

    async def _pause(self, part, process, max_duration):
        if not self._reserve(part):
            return
        duration = self.rng.uniform(0.05, max_duration)
        self.record_event(f"{part} is paused for {duration:.2f} s")
        if part[0] == "node":
            self.report.node_pauses(part[1], duration)
        process.send(signal.SIGSTOP)
        await asyncio.sleep(duration)
        process.send(signal.SIGCONT)
        self._release(part)

    async def pause_node(self):
        machine = self.rng.randrange(self.site.machines)
        await self._pause(("node", machine), self.site.nodes[machine], 4.0)

    async def pause_instance(self):
        machine = self.rng.randrange(self.site.machines)
        await self._pause(("instance", machine), self.site.instances[machine], 3.0)

    async def pause_store(self):
        await self._pause(("store",), self.site.store, 4.0)

    async def reload_node(self):
        machine = self.rng.randrange(self.site.machines)
        if ("node", machine) not in self.reserved:
            self.record_event(f"node {machine} gets SIGHUP")
            self.site.nodes[machine].send(signal.SIGHUP)

    async def kill_instance(self):
        machine = self.rng.randrange(self.site.machines)
        part = ("instance", machine)
        if not self._reserve(part):
            return
        downtime = self.rng.uniform(0.1, 2.0)
        self.record_event(f"instance {machine} is killed, down {downtime:.1f} s")
        self.site.instances[machine].end(signal.SIGKILL)
        await self.site.instances[machine].wait(2.0)
        await asyncio.sleep(downtime)
        self.site.start_instance(machine)
        self._release(part)

    async def instance_fault(self):
        machine = self.rng.randrange(self.site.machines)
        part, kind = ("instance", machine), self.rng.choice(INSTANCE_FAULTS)
        if not self._reserve(part):
            return
        duration = self.rng.uniform(0.3, 3.0)
        self.record_event(f"instance {machine}: fault {kind} for {duration:.1f} s")
        self.site.instances[machine].send_command(kind)
        await asyncio.sleep(duration)
        self.site.instances[machine].send_command("fast" if kind == "slow" else "none")
        self._release(part)

    async def store_fault(self):
        if not self._reserve(("store",)):
            return
        kind, duration = self.rng.choice(STORE_FAULTS), self.rng.uniform(0.3, 4.0)
        self.record_event(f"store: fault {kind} for {duration:.1f} s")
        self.site.store.send_command(kind)
        await asyncio.sleep(duration)
        self.site.store.send_command("none")
        self._release(("store",))

    async def proxy_fault(self):
        target = self.rng.choice(("peer", "upstream", "store"))
        machine = self.rng.randrange(self.site.machines)
        proxy = {"peer": self.site.peer_proxies[machine],
                 "upstream": self.site.upstream_proxies[machine],
                 "store": self.site.store_proxy}[target]
        part = (target + " proxy", 0 if target == "store" else machine)
        if not self._reserve(part):
            return
        mode, duration = self.rng.choice(PROXY_MODES), self.rng.uniform(0.2, 4.0)
        share = self.rng.choice((0.5, 1.0))
        self.record_event(f"{part}: {mode} on {share:.0%} for {duration:.1f} s")
        proxy.set_fault(mode, share, self.rng.uniform(0.01, 0.2))
        await asyncio.sleep(duration)
        proxy.clear_fault()
        self._release(part)

    async def compact_store(self):
        self.record_event("store compacts its history")
        self.site.store.send_command("compact")

    async def change_config(self):
        weight = self.rng.choice((50, 70, 90))
        self.site.write_config(weight)
        self.record_event(f"configuration {self.site.version}: weight {weight}")
