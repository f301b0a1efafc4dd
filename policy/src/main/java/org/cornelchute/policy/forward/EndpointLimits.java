package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cornelchute.core.message.ControlMessage.EndpointLimitsReport;
import org.cornelchute.core.model.EndpointLimit;

/**
 * Keeps the calls of all entries to an endpoint within the limit that it names in its responses.
 *
 * <p>The latest response to any entry counts; the entries tell each other. Each entry uses a fixed
 * share of the limit, so that it holds without messages, also if entries are cut off, and includes
 * the calls before the limit was named. If an endpoint takes fewer calls in a window than there are
 * entries, only those ranked first for it send calls. An endpoint that has not responded to any
 * entry for long gets a call from the others in turn, since those entries may be gone.
 */
public final class EndpointLimits {

  /** Window in which calls are counted; longer than the 4 s of the limit, as calls may bunch up. */
  private static final long WINDOW_MILLIS = 4_300;

  private static final double LIMIT_WINDOW_SECONDS = 4;

  /** Window of a limit of less than one call in {@value #MAX_WINDOW_MILLIS} ms. */
  static final long MAX_WINDOW_MILLIS = 30_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Time between two entries that call an endpoint which has not responded for long. */
  private static final long TURN_MILLIS = 1_000;

  /** Interval at which an entry repeats its report on an endpoint. */
  private static final long REPORT_INTERVAL_MILLIS = 1_000;

  private static final int MAX_LIMITS_PER_REPORT = 16;

  /** Maximum number of endpoints whose limits are kept. */
  private static final int MAX_ENDPOINTS = 1_024;

  /** Entries, including this one, up to which all are reached without others passing on. */
  private static final int MAX_DIRECT_ENTRIES = 9;

  /** Largest limit and age that are accepted from another entry. */
  private static final double MAX_PER_SECOND = 1e9;

  private static final long MAX_AGE_MILLIS = 86_400_000;

  private final EntryList entries;
  private final Map<Integer, State> stateByEndpoint =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, State> eldest) {
          return size() > MAX_ENDPOINTS;
        }
      };

  EndpointLimits(EntryList entries) {
    this.entries = entries;
  }

  /**
   * Records what a response to this entry says. A limit that cannot be read leaves the one named
   * before in force.
   *
   * @param endpoint hash code of the endpoint's incarnation
   */
  void record(long now, int endpoint, NamedLimit limit) {
    State state = stateByEndpoint.get(endpoint);
    if (state == null && limit.kind() != NamedLimit.Kind.NAMED) {
      return;
    }
    if (state == null) {
      state = new State();
      stateByEndpoint.put(endpoint, state);
    }
    if (limit.kind() != NamedLimit.Kind.UNREADABLE) {
      state.set(limit.kind() == NamedLimit.Kind.NAMED, limit.perSecond());
    }
    state.respondedAt = now;
    state.reportable = true;
  }

  /** Returns whether this entry's share of the limit that an endpoint named allows a call now. */
  boolean permits(long now, Endpoint endpoint) {
    State state = stateByEndpoint.get(endpoint.incarnation());
    if (state == null || !state.limited) {
      return true;
    }
    long window = windowMillis(state.perSecond);
    int calls = Math.max(1, (int) (LIMIT_WINDOW_SECONDS * state.perSecond));
    int sent = endpoint.recentDispatches.count(now, window);
    return sent < entries.shareOf(calls, endpoint.spec.id())
        || sent == 0 && isTurn(now, state, window, endpoint.spec.id());
  }

  private boolean isTurn(long now, State state, long window, String id) {
    return entries.isKnown()
        && now - state.respondedAt >= 2 * window + TURN_MILLIS * (1 + entries.rankOf(id));
  }

  private static long windowMillis(double perSecond) {
    if (LIMIT_WINDOW_SECONDS * perSecond >= 1) {
      return WINDOW_MILLIS;
    }
    double interval =
        MILLIS_PER_SECOND / Math.max(perSecond, MILLIS_PER_SECOND / MAX_WINDOW_MILLIS);
    return Math.max(WINDOW_MILLIS, (long) interval);
  }

  /** Records the limits that another entry reports. */
  public void recordReport(long now, EndpointLimitsReport report) {
    for (EndpointLimit limit : report.limits()) {
      long respondedAt = now - limit.ageMillis();
      State state = stateByEndpoint.get(limit.endpoint());
      boolean readable = limit.perSecond() <= MAX_PER_SECOND;
      boolean current = limit.ageMillis() >= 0 && limit.ageMillis() <= MAX_AGE_MILLIS;
      if (!readable || !current || state != null && state.respondedAt >= respondedAt) {
        continue;
      }
      if (state == null) {
        state = new State();
        stateByEndpoint.put(limit.endpoint(), state);
      }
      state.set(limit.perSecond() >= 0, Math.max(0, limit.perSecond()));
      state.respondedAt = respondedAt;
      state.reportable |= state.changed && entries.foundCount() > MAX_DIRECT_ENTRIES;
      state.changed &= state.reportable;
    }
  }

  /** Returns the limits to report to the other entries; the report may be empty. */
  public EndpointLimitsReport takeReport(long now) {
    List<EndpointLimit> limits = new ArrayList<>();
    for (Map.Entry<Integer, State> e : stateByEndpoint.entrySet()) {
      State state = e.getValue();
      boolean repeated = state.limited && now - state.reportedAt >= REPORT_INTERVAL_MILLIS;
      if (state.reportable
          && (state.changed || repeated)
          && limits.size() < MAX_LIMITS_PER_REPORT) {
        state.reportable = false;
        state.changed = false;
        state.reportedAt = now;
        limits.add(
            new EndpointLimit(
                e.getKey(), state.limited ? state.perSecond : -1, now - state.respondedAt));
      }
    }
    return new EndpointLimitsReport(limits);
  }

  /** The limit of one endpoint, kept after its end since older reports may arrive late. */
  private static final class State {
    private boolean limited;
    private double perSecond;

    /** Time of the latest response of the endpoint to any entry. */
    private long respondedAt;

    /** Whether there is a response that was not reported. */
    private boolean reportable;

    /** Whether the limit has changed since it was reported. */
    private boolean changed;

    private long reportedAt = Long.MIN_VALUE / 2;

    private void set(boolean nowLimited, double nowPerSecond) {
      changed |= limited != nowLimited || perSecond != nowPerSecond;
      limited = nowLimited;
      perSecond = nowPerSecond;
    }
  }
}
