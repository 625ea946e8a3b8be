"""State of one endpoint as known to an instance."""

import math
from collections import OrderedDict

from quetzalwall.process.cluster.endpoint_log import log_odd_pause, log_pause
from quetzalwall.process.cluster.reported_slowness import ReportedSlowness

__all__ = ["EndpointState"]

MIN_AVOID_S = 0.5
MAX_AVOID_S = 4.0
FAILURES_TO_AVOID = 2
UNRESPONSIVE_MIN_IN_FLIGHT = 2  # with fewer requests a missing response means nothing
MAX_RECENT_OBJECTS = 64  # an endpoint's cache size is learned separately
COLD_MARGIN_S = 0.5  # the endpoint may regard itself as cold a little longer
SHED_AVOID_S = 0.15  # a full endpoint frees a slot about as often
# For which an instance avoids an endpoint that asked another one for no requests; two
# reports between regions.
OVERLOAD_AVOID_S = 0.5


class EndpointState:
    """One endpoint, from its registration to its removal.

    Parameters
    ----------
    entry : EndpointEntry
        Its entry in the registry.
    region : str
        Region of its failure domain.
    client : EndpointClient
        Client with the connections to it.
    now : float
        Monotonic seconds.

    Attributes
    ----------
    own_in_flight : int
        Requests of this instance in flight there.
    peer_in_flight : int
        Requests of the other instances in flight there, by their last reports.
    registered : bool
        Whether it has a valid entry, or had one until a store outage.
    grace_until : float or None
        Monotonic seconds until which its expired entry may return; None if it has not
        expired.
    wrong_address : bool
        Whether it responded that another endpoint is at its address.
    superseded : bool
        Whether another endpoint was registered later at its address.
    cold_until : float
        Monotonic seconds until which it is cold.
    recent_objects : OrderedDict
        Hashes of the keys of the objects that it has served, the last one last.
    advertised_limit : AdvertisedLimit or None
        The limit that it advertises, or advertised until a while ago.
    malformed_limit : str
        What its last response contained in place of a valid limit; empty otherwise.
    draining_since : float or None
        Monotonic seconds at which this start of it stated that it is draining.
    draining_known_at : float
        Monotonic seconds at which this instance learned that.
    on_draining : callable or None
        Called with the state when a response states that it is draining.
    paused_until : float
        Monotonic seconds until which it asks this instance for no requests.
    pause_stated_at : float
        Monotonic seconds of its last response that asked so.
    reported_slowness : ReportedSlowness
        The slowness in its latest response.
    """

    def __init__(self, entry, region, client, now):
        self.entry = entry
        self.region = region
        self.client = client
        self.own_in_flight = 0
        self.peer_in_flight = 0
        self.registered = True
        self.grace_until = None
        self.wrong_address = False
        self.superseded = False
        self.cold_until = -math.inf
        self.record_cold(entry.cold_s, now)
        self.recent_objects = OrderedDict()
        self.advertised_limit = None
        self.malformed_limit = ""
        self.draining_since = None
        self.draining_known_at = -math.inf
        self.on_draining = None
        self.paused_until = -math.inf
        self.pause_stated_at = -math.inf
        self.reported_slowness = ReportedSlowness()
        self._odd_pause = ""
        self._failures = 0
        self._avoid_s = MIN_AVOID_S
        self._avoid_until = -math.inf
        self._avoided_unresponsive_at = math.inf
        self._last_seen = -math.inf
        self._unanswered_since = None

    @property
    def name(self):
        """Identity of the endpoint."""
        return self.entry.name

    def usable(self):
        """Return whether it is registered, not draining and at its own address.

        Its own statement that it is draining counts more than its entry.

        Returns
        -------
        bool
        """
        draining = self.entry.draining or self.draining_since is not None
        at_address = not self.wrong_address and not self.superseded
        return self.registered and not draining and at_address

    def observe_response(self, metadata, now):
        """Record what any response from its address states, also one to be discarded.

        Parameters
        ----------
        metadata : ResponseMetadata
            Metadata of the response. One that is not authentic, or from another
            endpoint at the address, is ignored.
        now : float
            Monotonic seconds.
        """
        if metadata.misdirected or not metadata.authentic:
            return
        if metadata.draining and self.on_draining is not None:
            self.on_draining(self)
        if metadata.odd_pause and metadata.odd_pause != self._odd_pause:
            log_odd_pause(self.name, metadata.odd_pause)
        self._odd_pause = metadata.odd_pause
        if metadata.pause_s:
            if now >= self.paused_until:
                log_pause(self.entry, metadata.pause_s)
            self.pause_stated_at = now
            # An earlier response may have asked for longer.
            self.paused_until = max(self.paused_until, now + metadata.pause_s)

    def avoided(self, now):
        """Return whether it failed or shed requests lately and should get none for now.

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
        """Return for how long requests in flight there have got no response at all.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Seconds; 0 if too few requests are in flight there to tell.
        """
        if self.own_in_flight + self.peer_in_flight < UNRESPONSIVE_MIN_IN_FLIGHT:
            self._unanswered_since = None
            return 0.0
        if self._unanswered_since is None:
            self._unanswered_since = now
        return now - max(self._unanswered_since, self._last_seen, self._avoid_until)

    def avoided_as_unresponsive(self, now):
        """Return whether it is avoided because it responds to no instance.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        return self.avoided(now) and self._avoided_unresponsive_at < math.inf

    def record_unresponsive(self, now):
        """Record that it has not responded for too long, and avoid it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._avoided_unresponsive_at = now
        self._avoid(now)

    def record_seen(self, at):
        """Record that it responded to this or another instance.

        Parameters
        ----------
        at : float
            Monotonic seconds.
        """
        self._last_seen = max(self._last_seen, at)
        if at > self._avoided_unresponsive_at:
            self._avoided_unresponsive_at = math.inf
            self._avoid_until = -math.inf
            self._avoid_s = MIN_AVOID_S

    def record_cold(self, seconds, now):
        """Record for how long it will be cold.

        Parameters
        ----------
        seconds : float
            0 if it is not cold, which changes nothing.
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
        """Return the number of requests of all instances in flight there.

        Returns
        -------
        int
        """
        return self.own_in_flight + self.peer_in_flight

    def slowness(self, now):
        """Return its present slowness.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Factor by which its work takes longer than usual; 1.0 is usual.
        """
        return self.reported_slowness.estimate(now)

    def record_slowness(self, slowness, at, own=False):
        """Record the slowness in a response of the endpoint.

        Parameters
        ----------
        slowness : float
            1.0 is usual.
        at : float
            Monotonic seconds of the response; an older one changes nothing.
        own : bool, default=False
            Whether this instance got the response, and so reports it to the others.
        """
        self.record_seen(at)
        self.reported_slowness.record(slowness, at, own)

    def reuse_distance(self, object_key):
        """Return how many other objects it has served since it last served an object.

        Parameters
        ----------
        object_key : int or None
            Hash of the object's key; None if the request names none.

        Returns
        -------
        int or None
            None if it is not among the recent objects.
        """
        if object_key not in self.recent_objects:
            return None
        later = reversed(self.recent_objects)
        return next(count for count, key in enumerate(later) if key == object_key)

    def record_cached(self, object_key):
        """Record that it has served an object and so has it cached.

        Parameters
        ----------
        object_key : int
            Hash of the object's key.
        """
        self.recent_objects[object_key] = True
        self.recent_objects.move_to_end(object_key)
        if len(self.recent_objects) > MAX_RECENT_OBJECTS:
            self.recent_objects.popitem(last=False)

    def record_success(self):
        """Record a valid response."""
        self._failures = 0
        self._avoid_s = MIN_AVOID_S

    def record_failure(self, now, certain=False):
        """Record a response that is missing or malformed.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        certain : bool, default=False
            Whether one failure suffices to avoid it, as with a refused connection.

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
        self._avoid_s = min(MAX_AVOID_S, 2 * self._avoid_s)

    def record_overload(self, at):
        """Record that it asked another instance for no requests.

        Parameters
        ----------
        at : float
            Monotonic seconds of that response.
        """
        self._avoid_until = max(self._avoid_until, at + OVERLOAD_AVOID_S)

    def record_shed(self, now):
        """Record that it shed a request because it is full.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._avoid_until = max(self._avoid_until, now + SHED_AVOID_S)
