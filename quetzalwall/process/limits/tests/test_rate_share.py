from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from quetzalwall.process.limits.share import rate_share, rendezvous_order


@given(
    whole=st.integers(0, 500),
    count=st.integers(1, 120),
    wanted=st.dictionaries(st.integers(0, 140), st.integers(0, 1000)),
)
def test_parts_of_a_rate_add_up_to_it(whole, count, wanted):
    order = rendezvous_order("ep", [f"front-{n}" for n in range(count)])
    named = {f"front-{n}": requests for n, requests in wanted.items()}
    parts = [rate_share(whole, name, order, named) for name in order]
    assert sum(parts) == whole
    assert min(parts) >= 0


@params(7, 26, 100)
def test_those_who_would_send_get_most_of_a_rate(count):
    names = [f"front-{n}" for n in range(count)]
    order = rendezvous_order("ep", names)
    wanted = dict.fromkeys(names[: count // 3], 40)
    parts = [rate_share(400, name, order, wanted) for name in wanted]
    assert sum(parts) >= 0.85 * 400
    # One that begins to ask finds a part that nobody else uses.
    assert rate_share(400, names[-1], order, wanted) == int(0.2 * 400 / count)
