package org.cornelchute.policy.forward;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What endpoints have said to this entry about further calls, by incarnation.
 *
 * <p>Kept apart from the list of endpoints: an incarnation that is missing from the list for a
 * while, or that the list shows as ready, is still bound by what it said itself. An endpoint whose
 * pause has ended gets one call at a time until it takes one, so that the calls of all entries do
 * not return to it at the same moment.
 */
final class EndpointNotices {

  /** Maximum number of incarnations that are kept; the one that spoke first is dropped. */
  private static final int MAX_INCARNATIONS = 16_384;

  private final Map<Incarnation, State> stateByIncarnation =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Incarnation, State> eldest) {
          return size() > MAX_INCARNATIONS;
        }
      };

  /**
   * Records what a response says. Nothing that an endpoint says later shortens a pause, and an
   * incarnation that leaves does not come back.
   *
   * @param receivedAt time at which the response was received
   * @return whether this entry knows more than before
   */
  boolean record(long receivedAt, EndpointSpec endpoint, EndpointNotice notice) {
    boolean silent = !notice.leaving() && notice.pauseMillis() == 0;
    if (silent && stateByIncarnation.isEmpty()) {
      return false;
    }
    Incarnation incarnation = Incarnation.of(endpoint);
    State state = stateByIncarnation.get(incarnation);
    if (silent) {
      if (state != null && receivedAt >= state.pausedUntil) {
        state.onTrial = false;
      }
      return false;
    }
    if (state == null) {
      state = new State();
      stateByIncarnation.put(incarnation, state);
    }
    boolean changed = notice.leaving() && !state.leaving;
    state.leaving |= notice.leaving();
    long pausedUntil = receivedAt + notice.pauseMillis();
    if (notice.pauseMillis() > 0 && pausedUntil > state.pausedUntil) {
      changed |= receivedAt >= state.pausedUntil;
      state.pausedUntil = pausedUntil;
      state.onTrial = true;
    }
    return changed;
  }

  /** Returns whether an endpoint takes no calls of this entry now. */
  boolean excludes(long now, Endpoint endpoint) {
    State state = find(endpoint);
    return state != null && (state.leaving || now < state.pausedUntil);
  }

  /**
   * Returns whether an endpoint that is not excluded may get another call while its calls are open.
   */
  boolean permits(Endpoint endpoint) {
    State state = find(endpoint);
    return state == null || !state.onTrial || endpoint.ownCalls == 0;
  }

  /** Returns the end of the pause of an endpoint, 0 if it asked for none or leaves. */
  long pausedUntil(Endpoint endpoint) {
    State state = find(endpoint);
    return state == null || state.leaving ? 0 : state.pausedUntil;
  }

  private State find(Endpoint endpoint) {
    return stateByIncarnation.isEmpty()
        ? null
        : stateByIncarnation.get(Incarnation.of(endpoint.spec));
  }

  private record Incarnation(String id, long startedAtMillis) {
    static Incarnation of(EndpointSpec spec) {
      return new Incarnation(spec.id(), spec.startedAtMillis());
    }
  }

  private static final class State {
    private boolean leaving;

    /** End of the latest pause, 0 if there was none. */
    private long pausedUntil;

    /** Whether the endpoint has taken no call since its last pause. */
    private boolean onTrial;
  }
}
