"""Series of faults that overlap, drawn from a seed."""
import asyncio
import signal

PROXY_MODES = ("delay", "cut_up", "cut_down", "silent", "reset")
STORE_TROUBLES = ("busy", "limited", "silent", "loses")
INSTANCE_TROUBLES = ("sheds", "surplus", "unsigned", "hangs", "slow")


class Faults:
    """Draws faults and carries them out. Each one ends what it began."""

    def __init__(self, deployment, rng, report):
        self.site, self.rng, self.report = deployment, rng, report
        self.busy = set()
        self.kinds = [self.kill_node, self.end_node, self.pause_node,
                      self.hup_node, self.kill_instance, self.pause_instance,
                      self.trouble_instance, self.proxy_fault,
                      self.proxy_fault, self.trouble_store, self.pause_store,
                      self.compact, self.change_config, self.change_config]

    async def run(self, seconds, mean_gap):
        loop, tasks = asyncio.get_running_loop(), []
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(1.0 / mean_gap))
            tasks.append(asyncio.create_task(self.rng.choice(self.kinds)()))
        await asyncio.gather(*tasks)

    def _take(self, *parts):
        """Reserves parts for one fault; returns whether they were free."""
        if any(part in self.busy for part in parts):
            return False
        self.busy.update(parts)
        return True

    def _free(self, *parts):
        self.busy.difference_update(parts)

    def note(self, text):
        self.report.note(text)

    async def _restart(self, machine, number):
        part = ("node", machine)
        if not self._take(part):
            return
        node, down = self.site.nodes[machine], self.rng.uniform(0.1, 2.0)
        self.note(f"node {machine} gets signal {number}, down {down:.1f} s")
        self.report.node_ends(machine, number)
        node.end(number)
        status = await node.wait(7.0)
        if number == signal.SIGTERM and status != 0:
            self.report.wrong(f"node {machine} ended with {status} after SIGTERM")
        await asyncio.sleep(down)
        node.start()
        self.report.node_starts(machine)
        self._free(part)

    async def kill_node(self):
        await self._restart(self.rng.randrange(self.site.machines), signal.SIGKILL)

    async def end_node(self):
        await self._restart(self.rng.randrange(self.site.machines), signal.SIGTERM)

    async def _pause(self, part, process, longest):
        if not self._take(part):
            return
        time = self.rng.uniform(0.05, longest)
        self.note(f"{part} stands still for {time:.2f} s")
        if part[0] == "node":
            self.report.node_pauses(part[1], time)
        process.send(signal.SIGSTOP)
        await asyncio.sleep(time)
        process.send(signal.SIGCONT)
        self._free(part)

    async def pause_node(self):
        machine = self.rng.randrange(self.site.machines)
        await self._pause(("node", machine), self.site.nodes[machine], 4.0)

    async def pause_instance(self):
        machine = self.rng.randrange(self.site.machines)
        await self._pause(("instance", machine), self.site.instances[machine], 3.0)

    async def pause_store(self):
        await self._pause(("store",), self.site.store, 4.0)

    async def hup_node(self):
        machine = self.rng.randrange(self.site.machines)
        if ("node", machine) not in self.busy:
            self.note(f"node {machine} gets SIGHUP")
            self.site.nodes[machine].send(signal.SIGHUP)

    async def kill_instance(self):
        machine = self.rng.randrange(self.site.machines)
        part = ("instance", machine)
        if not self._take(part):
            return
        down = self.rng.uniform(0.1, 2.0)
        self.note(f"instance {machine} is killed, down {down:.1f} s")
        self.site.instances[machine].end(signal.SIGKILL)
        await self.site.instances[machine].wait(2.0)
        await asyncio.sleep(down)
        self.site.start_instance(machine)
        self._free(part)

    async def trouble_instance(self):
        machine = self.rng.randrange(self.site.machines)
        part, kind = ("instance", machine), self.rng.choice(INSTANCE_TROUBLES)
        if not self._take(part):
            return
        time = self.rng.uniform(0.3, 3.0)
        self.note(f"instance {machine} is in trouble: {kind} for {time:.1f} s")
        self.site.instances[machine].command(kind)
        await asyncio.sleep(time)
        self.site.instances[machine].command("fast" if kind == "slow" else "none")
        self._free(part)

    async def trouble_store(self):
        if not self._take(("store",)):
            return
        kind, time = self.rng.choice(STORE_TROUBLES), self.rng.uniform(0.3, 4.0)
        self.note(f"store is in trouble: {kind} for {time:.1f} s")
        self.site.store.command(kind)
        await asyncio.sleep(time)
        self.site.store.command("none")
        self._free(("store",))

    async def proxy_fault(self):
        where = self.rng.choice(("peer", "upstream", "store"))
        machine = self.rng.randrange(self.site.machines)
        proxy = {"peer": self.site.peer_proxies[machine],
                 "upstream": self.site.upstream_proxies[machine],
                 "store": self.site.store_proxy}[where]
        part = (where + " proxy", 0 if where == "store" else machine)
        if not self._take(part):
            return
        mode, time = self.rng.choice(PROXY_MODES), self.rng.uniform(0.2, 4.0)
        share = self.rng.choice((0.5, 1.0))
        self.note(f"{part}: {mode} on {share:.0%} for {time:.1f} s")
        proxy.set(mode, share, self.rng.uniform(0.01, 0.2))
        await asyncio.sleep(time)
        proxy.clear()
        self._free(part)

    async def compact(self):
        self.note("store forgets its history")
        self.site.store.command("compact")

    async def change_config(self):
        weight = self.rng.choice((50, 70, 90))
        self.site.configure(weight)
        self.note(f"configuration {self.site.version}: weight {weight}")
