from quetzalwall.connection.slow_readers import MIN_AGE_S, Deliveries
from quetzalwall.tests.platform_fixtures import ManualClock

CAPACITY = 1000


def create_deliveries():
    clock = ManualClock()
    return Deliveries(lambda: CAPACITY, clock.monotonic), clock, []


def test_the_caller_that_read_fewest_bytes_a_second_is_cut_off_first():
    deliveries, clock, cut = create_deliveries()
    old = deliveries.add(100, None, lambda: cut.append("old"))
    clock.now += 10.0
    young = deliveries.add(100, None, lambda: cut.append("young"))
    clock.now += 1.0
    old.sent_bytes, young.sent_bytes = 55, 10  # 5 and 10 bytes a second
    assert deliveries.make_room() and cut == ["old"]
    deliveries.remove(old)
    assert deliveries.make_room() and cut == ["old", "young"]
    assert deliveries.cut_off == {"memory": 2, "account": 0}


# A response that has just become ready has not been read yet by anyone.
def test_a_response_that_was_just_ready_is_not_cut_off():
    deliveries, clock, cut = create_deliveries()
    deliveries.add(100, None, lambda: cut.append("new"))
    clock.now += MIN_AGE_S / 2
    assert not deliveries.make_room() and not cut


def test_memory_of_a_reader_cut_off_before_is_awaited():
    deliveries, clock, cut = create_deliveries()
    delivery = deliveries.add(100, None, lambda: cut.append("one"))
    clock.now += 1.0
    assert deliveries.make_room() and deliveries.make_room()
    assert cut == ["one"] and deliveries.waiting_bytes() == 0
    deliveries.remove(delivery)
    assert not deliveries.make_room()


# One account's slow readers must not take the memory of all others.
def test_an_account_over_its_part_loses_its_own_slowest_reader():
    deliveries, clock, cut = create_deliveries()
    deliveries.add(400, "small", lambda: cut.append("small"))
    for number in range(2):
        delivery = deliveries.add(250, "large", lambda n=number: cut.append(n))
        delivery.sent_bytes = 100 - number
    clock.now += 1.0
    assert not cut and deliveries.waiting_bytes("large") == 500
    deliveries.add(250, "large", lambda: cut.append("new"))
    assert cut == [1]
    assert deliveries.waiting_bytes("large") == 500
    assert deliveries.cut_off["account"] == 1
