"""Choice of endpoints where the reports of other instances are out of date."""

from nose2.tools import params

from quetzalwall.request.tests.test_choice_cpu_time import (
    REMAINING_S,
    desk_route,
    make_chooser,
)


# As reports age, a full endpoint was taken to have the mean load of its region, chosen,
# and the request rejected as "full", although others had free slots.
@params((0.29, 0.1), (0.29, 0.05), (1.0, 0.1))
def test_full_endpoint_is_not_chosen_before_free_ones(report_age_s, slot_time_s):
    chooser = make_chooser(36, 10, 0.0)
    chooser._fleet.report_age_s = lambda region: report_age_s
    chooser._latency.slot_time_s = lambda service: slot_time_s
    full, *others = chooser._endpoints
    full.peer_in_flight = 4 * full.entry.slots
    for state in others:
        state.peer_in_flight = 1
    for state in chooser._endpoints:
        state.record_cached(0)
    for key in range(1, 200):
        choice = chooser.choose(*desk_route(), "desk", key, REMAINING_S, 1000.0)
        assert choice.state in others
