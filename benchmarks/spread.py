"""Replication and failure detection: delay, control traffic and platform calls."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.gossip import SEED_HOSTS, Fleet
from benchmarks.pool import run_jobs
from benchmarks.result import Result

COMMAND = "python -m benchmarks --only spread"

#: Numbers of hosts, and fractions of datagrams that are lost.
SIZES = (9, 50, 300)
LOSSES = (0.0, 0.1)
SEED = 11

#: Longest times from accepting a change until it is in effect on all hosts, and until
#: a killed host is declared dead by all (by number of hosts), seconds.
REPLICATION_BOUND = 4.0
DETECTION_BOUNDS = {9: 4.0, 50: 5.0, 300: 5.0}

#: Largest control traffic of a host, bytes per second, and its largest increase for
#: each additional host.
BYTES_BOUND = 4096.0
SLOPE_BOUND = 2.0

#: Largest number of platform calls per second of the whole fleet, at any size.
CALLS_BOUND = 3.0

#: Largest number of false suspicions per host and minute.
SUSPICIONS_BOUND = 1.0

#: Configuration changes per day by operators, and seconds between two of them.
CHANGES_PER_DAY = 3700
CHANGE_INTERVAL = 86_400 / CHANGES_PER_DAY

#: Virtual seconds of each part of a run; that with loss depends on the fleet size.
SETTLING_TIME = 4.0
IDLE_TIME = 10.0
CHANGING_TIME = 2 * CHANGE_INTERVAL
LOSSY_TIME = {9: 120.0, 50: 40.0, 300: 12.0}
STORM_TIME = 12.0

#: Number of changes whose replication is timed, and seconds between two of them.
CHANGES = 4
CHANGE_GAP = 1.0

#: Number of timed kills, by number of hosts; fewer in a large fleet.
KILLS = {9: 8, 50: 3, 300: 1}

#: Time in which the last started host must get a configuration, seconds.
SNAPSHOT_TRANSFER_TIME = 5.0

#: Time from the kill of a host to its restart in a restart storm, seconds.
DOWNTIME = 1.0

#: Time after which a reader renews a watch that has not answered, seconds.
WATCH_TIMEOUT = 30.0


@dataclass(frozen=True, slots=True)
class Job:
    """Parameters of one run."""

    #: What is measured: "faults", "bytes" or "storm".
    kind: str
    size: int
    loss: float = 0.0

    @property
    def label(self) -> str:
        """Size and loss, as a part of the names of figures."""
        return f"{self.size} hosts" + (f", {self.loss:.0%} loss" if self.loss else "")


def run() -> list[dict[str, object]]:
    """Make all runs; return one row for each figure."""
    jobs = [Job("faults", size, loss) for size in reversed(SIZES) for loss in LOSSES]
    jobs += [Job("bytes", size) for size in SIZES]
    jobs += [Job("storm", size) for size in SIZES]
    answers = dict(zip(jobs, run_jobs(measure, jobs), strict=True))
    results = [result for job in sorted_jobs(jobs) for result in answers[job]]
    results += [slope_of(results, state) for state in ("idle", "changing")]
    return [result.to_dict() for result in results]


def sorted_jobs(jobs: list[Job]) -> list[Job]:
    """Return the jobs in the order of the report."""
    return sorted(jobs, key=lambda job: (job.kind, job.size, job.loss))


def measure(job: Job) -> list[Result]:
    """Make one run and return its figures."""
    fleet = Fleet.from_size(job.size, job.loss, SEED)
    fleet.run(SETTLING_TIME)
    match job.kind:
        case "faults":
            return measure_faults(job, fleet)
        case "bytes":
            return measure_bytes(job, fleet)
        case _:
            return measure_storm(job, fleet)


def bounded_result(name: str, value: float, unit: str, bound: float) -> Result:
    """Return a figure that must not exceed its bound."""
    return Result.at_most(name, value, unit, bound, seed=SEED, command=COMMAND)


def measure_faults(job: Job, fleet: Fleet) -> list[Result]:
    """Time changes and kills; with loss, count false suspicions and deaths too."""
    results = []
    if job.loss:
        fleet.run(LOSSY_TIME[job.size])
        minutes = job.size * fleet.network.now / 60
        suspected = fleet.counter_total("membership.suspected") / job.size / minutes
        died = float(fleet.counter_total("membership.died"))
        name = f"false suspicions, {job.label}"
        results.append(bounded_result(name, suspected, "/host/min", SUSPICIONS_BOUND))
        results.append(bounded_result(f"false deaths, {job.label}", died, "", 0.0))
    times = []
    for _ in range(CHANGES):
        times.append(fleet.replication_time())
        fleet.run(CHANGE_GAP)
    name = f"accepted to in force, {job.label}"
    results.append(bounded_result(name, max(times), "s", REPLICATION_BOUND))
    times = []
    for number in range(KILLS[job.size]):
        times.append(fleet.detection_time(f"host-{job.size - 1 - number}"))
    name = f"killed host held dead by all, {job.label}"
    bound = DETECTION_BOUNDS[job.size]
    results.append(bounded_result(name, max(times), "s", bound))
    return results


def measure_bytes(job: Job, fleet: Fleet) -> list[Result]:
    """Measure the control traffic of an idle fleet and at the usual rate of changes."""
    idle = fleet.control_traffic_during(IDLE_TIME)
    fleet.calls.clear()
    fleet.network.after(0.0, fleet.commit)
    fleet.network.after(CHANGE_INTERVAL, fleet.commit)
    changing = fleet.control_traffic_during(CHANGING_TIME)
    readers = sum(
        core.tables.replication.is_reader for core in fleet.network.hosts.values()
    )
    calls = fleet.calls.total() / CHANGING_TIME + readers / WATCH_TIMEOUT
    return [
        bounded_result(
            f"control bytes, idle, {job.label}", idle.busiest, "B/s", BYTES_BOUND
        ),
        bounded_result(
            f"control bytes, changing, {job.label}",
            changing.busiest,
            "B/s",
            BYTES_BOUND,
        ),
        bounded_result(f"platform calls, {job.label}", calls, "/s", CALLS_BOUND),
    ]


def measure_storm(job: Job, fleet: Fleet) -> list[Result]:
    """Restart a third of the hosts within ten seconds; measure control traffic."""
    restarted = range(SEED_HOSTS, SEED_HOSTS + job.size // 3)
    for number, index in enumerate(restarted):
        at = 10.0 * number / len(restarted)
        fleet.network.after(at, lambda index=index: restart(fleet, index))
    sent = fleet.control_traffic_during(STORM_TIME)
    fleet.run(SNAPSHOT_TRANSFER_TIME)
    outdated = sum(
        core.tables.revision < fleet.revision for core in fleet.network.hosts.values()
    )
    name = f"control bytes, restart storm, {job.label}"
    bulk_name = f"bulk copies, restart storm, {job.label}"
    missing_name = f"hosts without configuration after it, {job.label}"
    return [
        bounded_result(name, sent.busiest, "B/s", BYTES_BOUND),
        Result(bulk_name, sent.bulk, "B/s", seed=SEED, command=COMMAND),
        bounded_result(missing_name, float(outdated), "", 0.0),
    ]


def restart(fleet: Fleet, index: int) -> None:
    """Kill a host; restart it after `DOWNTIME`, with only the seed hosts known."""
    host_id = f"host-{index}"
    fleet.network.kill_host(host_id)
    incarnation = fleet.network.links[host_id].encoder.boot_time + 60_000

    def start() -> None:
        fleet.start_host(index, SEED_HOSTS, incarnation)

    fleet.network.after(DOWNTIME, start)


def slope_of(results: list[Result], state: str) -> Result:
    """Return the increase of a host's control traffic for each additional host."""
    values = {
        size: next(
            result.value
            for result in results
            if result.name == f"control bytes, {state}, {size} hosts"
        )
        for size in SIZES
    }
    slope = (values[SIZES[-1]] - values[SIZES[0]]) / (SIZES[-1] - SIZES[0])
    return bounded_result(
        f"control bytes, {state}, slope", slope, "B/s/host", SLOPE_BOUND
    )
