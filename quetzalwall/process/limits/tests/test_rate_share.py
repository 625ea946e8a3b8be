from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from quetzalwall.process.limits.share import rate_share, rendezvous_order


@given(
    requests=st.integers(0, 500),
    count=st.integers(1, 120),
    demand=st.dictionaries(st.integers(0, 140), st.integers(0, 1000)),
)
def test_shares_of_a_rate_add_up_to_it(requests, count, demand):
    order = rendezvous_order("ep", [f"front-{n}" for n in range(count)])
    demand_by_name = {f"front-{n}": wanted for n, wanted in demand.items()}
    shares = [rate_share(requests, name, order, demand_by_name) for name in order]
    assert sum(shares) == requests
    assert min(shares) >= 0


@params(7, 26, 100)
def test_instances_with_demand_get_most_of_a_rate(count):
    names = [f"front-{n}" for n in range(count)]
    order = rendezvous_order("ep", names)
    demand = dict.fromkeys(names[: count // 3], 40)
    shares = [rate_share(400, name, order, demand) for name in demand]
    assert sum(shares) >= 0.85 * 400
    # An instance without demand so far keeps a share with which it can begin to send.
    assert rate_share(400, names[-1], order, demand) == int(0.2 * 400 / count)
