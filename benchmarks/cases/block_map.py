"""Assignment of client address blocks to sites, at the target size, in one process."""

import json
import random
import resource
import time
import tracemalloc

from benchmarks.rows import make_row
from quetzalwall.version.block_map import (
    assign_blocks,
    assignment_delta,
    reassign_regions,
)
from quetzalwall.version.block_table import create_block_table, find_site, table_bytes

__all__ = ["run"]

TITLE = "client blocks to sites: 180,000 blocks, 910 sites, 16 regions"
CONCLUSION = (
    "The table that look-ups read is small; working the whole assignment out is not, "
    "so an instance takes it from a snapshot and works out only the region that "
    "changed."
)
BLOCK_COUNT = 180_000
SITE_COUNT = 910
REGION_COUNT = 16
LOOKUP_COUNT = 200_000
DEPLOYMENT = "aimed size"


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    blocks, sites = _random_blocks_and_sites()
    started_at = time.process_time()
    assignment = assign_blocks(blocks, sites)
    build_s = time.process_time() - started_at
    tracemalloc.start()
    started_at = time.process_time()
    table = create_block_table(assignment)
    table_s = time.process_time() - started_at
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    changed_sites = sites | {
        "s0": sites["s0"] | {"weight": sites["s0"]["weight"] * 0.5}
    }
    started_at = time.process_time()
    reassigned = reassign_regions(
        assignment, blocks, changed_sites, [sites["s0"]["region"]]
    )
    reassign_s = time.process_time() - started_at
    delta = assignment_delta(assignment, reassigned)
    site_block_count = sum(1 for site in assignment.values() if site == "s0")
    unrelated = [b for b, s in delta.items() if "s0" not in (assignment[b], s)]
    rows = [
        ("assignment worked out from nothing", build_s, "s"),
        ("table made from the assignment", table_s, "s"),
        ("size of the table", table_bytes(table) / 2**20, "MB"),
        ("most memory while the table is made", peak_bytes / 2**20, "MB"),
        ("one look-up", _measure_lookup_us(table), "us"),
        ("one region worked out anew", reassign_s, "s"),
        ("blocks moved when a site's weight halves", len(delta), "blocks"),
        ("blocks that site had", site_block_count, "blocks"),
        ("blocks moved that had no part in it", len(unrelated), "blocks"),
        ("bytes of that delta", len(json.dumps(delta)), "bytes"),
        ("bytes of the whole assignment", len(json.dumps(assignment)), "bytes"),
        ("memory of the process", _max_memory_mb(), "MB"),
    ]
    return [
        make_row(name, DEPLOYMENT, "ours", [value], unit) for name, value, unit in rows
    ]


def _random_blocks_and_sites():
    rng = random.Random(1)
    sites = {
        f"s{n}": {
            "region": f"r{n % REGION_COUNT}",
            "weight": rng.uniform(0.5, 2.0),
            "capacity": 1e9,
        }
        for n in range(SITE_COUNT)
    }
    blocks = {
        f"{10 + n // 65536}.{n // 256 % 256}.{n % 256}.0/24": {
            "region": f"r{rng.randrange(REGION_COUNT)}",
            "weight": 1.0,
        }
        for n in range(BLOCK_COUNT)
    }
    return blocks, sites


def _measure_lookup_us(table):
    rng = random.Random(2)
    addresses = [
        f"{rng.randrange(10, 13)}.{rng.randrange(256)}.{rng.randrange(256)}.7"
        for _ in range(1000)
    ]
    started_at = time.process_time()
    for number in range(LOOKUP_COUNT):
        find_site(table, addresses[number % 1000])
    return 1e6 * (time.process_time() - started_at) / LOOKUP_COUNT


def _max_memory_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
