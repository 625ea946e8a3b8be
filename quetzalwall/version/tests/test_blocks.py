"""Assignment of blocks to sites, and the look-up of addresses in it."""

import ipaddress

from hypothesis import given
from hypothesis import strategies as st

from quetzalwall.exceptions import SettingsError
from quetzalwall.version.block_map import (
    assign_blocks,
    assignment_delta,
    reassign_regions,
)
from quetzalwall.version.block_table import create_block_table, find_site

BLOCKS = {
    f"10.{n // 256}.{n % 256}.0/24": {"region": f"r{n % 2}", "weight": 1.0}
    for n in range(2000)
}


def make_sites(**weights):
    sites = {
        f"s{n}": {"region": f"r{n % 2}", "weight": 1.0, "capacity": 1e9}
        for n in range(10)
    }
    for name, weight in weights.items():
        sites[name] = sites[name] | {"weight": weight}
    return sites


def count_blocks(assignment):
    counts = {}
    for site in assignment.values():
        counts[site] = counts.get(site, 0) + 1
    return counts


def test_load_is_proportional_to_weights():
    counts = count_blocks(assign_blocks(BLOCKS, make_sites(s0=2.0)))
    assert 1.5 < counts["s0"] / counts["s2"] < 2.6
    assert sum(counts.values()) == len(BLOCKS)


def test_change_of_one_weight_moves_only_blocks_of_that_site():
    old = assign_blocks(BLOCKS, make_sites())
    for weight in (0.5, 3.0):
        new = reassign_regions(old, BLOCKS, make_sites(s4=weight), ["r0"])
        assert new == assign_blocks(BLOCKS, make_sites(s4=weight))
        moved = assignment_delta(old, new)
        assert moved
        assert all("s4" in (old[block], site) for block, site in moved.items())


def test_site_without_weight_gets_no_blocks():
    assert "s3" not in count_blocks(assign_blocks(BLOCKS, make_sites(s3=0.0)))


def test_capacity_limits_a_site_while_others_have_capacity():
    limited_sites = make_sites()
    limited_sites["s0"] = limited_sites["s0"] | {"capacity": 50.0}
    counts = count_blocks(assign_blocks(BLOCKS, limited_sites))
    assert counts["s0"] == 50
    assert sum(counts.values()) == len(BLOCKS)


NETWORKS = st.builds(
    lambda bits, number: ipaddress.ip_network(
        (number >> (32 - bits) << (32 - bits), bits)
    ),
    st.integers(4, 32),
    st.integers(0, 2**32 - 1),
)


@given(st.lists(NETWORKS, max_size=25), st.lists(st.integers(0, 2**32 - 1), max_size=5))
def test_longest_prefix_wins(networks, numbers):
    assignment = {str(network): f"s{n}" for n, network in enumerate(networks)}
    table = create_block_table(assignment)
    edges = [int(n[0]) for n in networks] + [int(n[-1]) for n in networks]
    for number in numbers + edges:
        address = ipaddress.ip_address(number)
        containing = [n for n in networks if address in n]
        expected = None
        if containing:
            longest = max(containing, key=lambda network: network.prefixlen)
            expected = assignment[str(longest)]
        assert find_site(table, str(address)) == expected


def test_error_names_malformed_block():
    for block in ("10.0.0.0", "10.0.0.1/24", "10.0.0.0/33", "x/8"):
        try:
            create_block_table({block: "s"})
            raise AssertionError(block)
        except SettingsError as exc:
            assert block in str(exc)
