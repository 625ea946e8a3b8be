"""What an instance knows of one endpoint."""

import math
from collections import OrderedDict

from quetzalwall.connection.endpoint_client import create_endpoint_client

__all__ = ["EndpointState", "create_endpoint_state"]

SLOWNESS_MEMORY_S = 0.6  # a noisy neighbour comes and goes about as fast
AVOID_FIRST_S = 0.5
AVOID_MOST_S = 4.0
FAILURES_TO_AVOID = 2
SILENT_OPEN = 2  # requests that must be open for silence to say something
MOST_OBJECTS = 64  # remembered of an endpoint; how many it holds is learned
COLD_MARGIN_S = 0.5  # the endpoint may count a little longer
SHED_AVOID_S = 0.15  # a full endpoint frees a slot about as often


class EndpointState:
    """One endpoint, from its registration until it is forgotten.

    Parameters
    ----------
    entry : EndpointEntry
        What the registry says.
    region : str
        Region of its failure domain.
    client : EndpointClient
        Connections to it.
    now : float
        Monotonic seconds.

    Attributes
    ----------
    own_in_flight : int
        Requests of this instance that are under way there.
    peer_in_flight : int
        Requests of the other instances, by their last reports.
    objects : OrderedDict
        Codes of the objects that it has served, the last one last.
    present : bool
        Whether the registry holds it, or held it until the store went away.
    named : AdvertisedLimit or None
        The limit that it names, or named until a while ago.
    odd_limit : str
        What its last answer named in place of a limit.
    """

    def __init__(self, entry, region, client, now):
        self.entry = entry
        self.region = region
        self.client = client
        self.own_in_flight = 0
        self.peer_in_flight = 0
        self.present = True
        self.lapsed_until = None
        self.wrong_address = False
        self.cold_until = -math.inf
        self.note_cold(entry.cold_s, now)
        self.recent_objects = OrderedDict()
        self.advertised_limit = None
        self.malformed_limit = ""
        self._slowness = 1.0
        self._slowness_at = -math.inf
        self._slowness_own = False
        self._failures = 0
        self._avoid_s = AVOID_FIRST_S
        self._avoid_until = -math.inf
        self._avoided_silent_at = math.inf
        self._heard = -math.inf
        self._waiting_since = None

    @property
    def name(self):
        """Name of the endpoint."""
        return self.entry.name

    def usable(self):
        """Return whether it may get new requests.

        Returns
        -------
        bool
        """
        return self.present and not self.entry.leaving and not self.wrong_address

    def avoided(self, now):
        """Return whether it failed lately and should be left alone.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        return now < self._avoid_until

    def unresponsive_s(self, now):
        """Return for how long nobody has got an answer while requests are open there.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Seconds; 0 if too few requests are open to tell.
        """
        if self.own_in_flight + self.peer_in_flight < SILENT_OPEN:
            self._waiting_since = None
            return 0.0
        if self._waiting_since is None:
            self._waiting_since = now
        return now - max(self._waiting_since, self._heard, self._avoid_until)

    def avoided_as_unresponsive(self, now):
        """Return whether it is avoided since it answers nobody.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        return self.avoided(now) and self._avoided_silent_at < math.inf

    def record_unresponsive(self, now):
        """Record that the endpoint has been silent for too long, and avoid it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._avoided_silent_at = now
        self._avoid(now)

    def note_heard(self, at):
        """Record that the endpoint answered this or another instance.

        Parameters
        ----------
        at : float
            Monotonic seconds.
        """
        self._heard = max(self._heard, at)
        if at > self._avoided_silent_at:
            self._avoided_silent_at = math.inf
            self._avoid_until = -math.inf
            self._avoid_s = AVOID_FIRST_S

    def note_cold(self, seconds, now):
        """Record for how long it remains cold.

        Parameters
        ----------
        seconds : float
            0 if it is not cold.
        now : float
            Monotonic seconds.
        """
        if seconds > 0:
            self.cold_until = max(self.cold_until, now + seconds + COLD_MARGIN_S)

    def cold(self, now):
        """Return whether it is cold.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        return now < self.cold_until

    def in_flight(self):
        """Return the requests under way there, from all instances.

        Returns
        -------
        int
        """
        return self.own_in_flight + self.peer_in_flight

    def slowness(self, now):
        """Return how long work takes there now, 1.0 being usual.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float
        """
        age_s = now - self._slowness_at
        if age_s > 4 * SLOWNESS_MEMORY_S:
            return 1.0
        return 1.0 + (self._slowness - 1.0) * math.exp(-age_s / SLOWNESS_MEMORY_S)

    def record_slowness(self, slowness, at, own=False):
        """Record how long work takes, as the endpoint said.

        Parameters
        ----------
        slowness : float
            1.0 is usual.
        at : float
            Monotonic seconds at which it said so; an older report changes nothing.
        own : bool, default=False
            Whether it told this instance, which then tells the others.
        """
        self.note_heard(at)
        if at > self._slowness_at:
            self._slowness, self._slowness_at = slowness, at
            self._slowness_own = own

    def own_slowness_since(self, since):
        """Return what the endpoint told this instance after a moment.

        Parameters
        ----------
        since : float
            Monotonic seconds.

        Returns
        -------
        (float, float) or None
            Slowness and the moment of the report.
        """
        if not self._slowness_own or self._slowness_at <= since:
            return None
        return self._slowness, self._slowness_at

    def reuse_distance(self, object_key):
        """Return how many objects it has served since it last served one.

        Parameters
        ----------
        object_key : int or None
            Code of the object.

        Returns
        -------
        int or None
            None if it has not served it, as far as is remembered.
        """
        if object_key not in self.recent_objects:
            return None
        later = reversed(self.recent_objects)
        return next(count for count, key in enumerate(later) if key == object_key)

    def served_no_objects(self):
        """Return whether it has served no object yet, as far as is known.

        Returns
        -------
        bool
        """
        return not self.recent_objects

    def record_cached(self, object_key):
        """Record that it has served an object.

        Parameters
        ----------
        object_key : int
            Code of the object.
        """
        self.recent_objects[object_key] = True
        self.recent_objects.move_to_end(object_key)
        if len(self.recent_objects) > MOST_OBJECTS:
            self.recent_objects.popitem(last=False)

    def record_success(self):
        """Record a sound answer."""
        self._failures = 0
        self._avoid_s = AVOID_FIRST_S

    def record_failure(self, now, certain=False):
        """Record an answer that did not come or was spoiled.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        certain : bool, default=False
            Whether one failure suffices, as when no connection is accepted.

        Returns
        -------
        bool
            Whether the endpoint is avoided from now on.
        """
        self._failures += 1
        if self._failures < FAILURES_TO_AVOID and not certain:
            return False
        self._avoid(now)
        return True

    def _avoid(self, now):
        self._avoid_until = now + self._avoid_s
        self._avoid_s = min(AVOID_MOST_S, 2 * self._avoid_s)

    def record_shed(self, now):
        """Record that the endpoint refused a request since it is full.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._avoid_until = max(self._avoid_until, now + SHED_AVOID_S)


def create_endpoint_state(entry, region, parse_response, monotonic, connections):
    """Return the state of a newly registered endpoint.

    Parameters
    ----------
    entry : EndpointEntry
        What the registry says.
    region : str
        Region of its failure domain.
    parse_response : callable
        From status and headers of an answer to what they say.
    monotonic : callable
        Clock in seconds.
    connections : ConnectionLimiter
        Counts those to all endpoints.

    Returns
    -------
    EndpointState
    """
    client = create_endpoint_client(
        entry.name, entry.host, entry.port, parse_response, monotonic
    )
    client.limiter = connections
    return EndpointState(entry, region, client, monotonic())
