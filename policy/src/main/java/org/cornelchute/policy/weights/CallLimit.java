package org.cornelchute.policy.weights;

/**
 * Number of concurrent calls to an engine's store, which follows the store's throughput.
 *
 * <p>The limit doubles while calls are slow and more of them at once complete more calls per
 * second. A store that handles one call after another gains nothing from more calls, which would
 * only time out.
 */
final class CallLimit {

  private static final int MIN_CALLS = 4;
  private static final int MAX_CALLS = 48;

  /** Duration of a pass over all chunks below which no more concurrent calls are needed. */
  private static final long TARGET_PASS_MILLIS = 400;

  /** Growth of the throughput from which a higher limit is kept. */
  private static final double MIN_GAIN = 1.3;

  private final int chunks;
  private int limit = MIN_CALLS;

  /** Whether the limit may rise; not after a rise that gained nothing, or a failure. */
  private boolean increasing = true;

  /** Throughput before the limit was raised, in calls per millisecond; 0 if it was not. */
  private double perMilliBefore;

  private int completed;
  private long roundStartedAt;

  CallLimit(long now, int chunks) {
    this.chunks = chunks;
    restart(now);
  }

  /** Returns the maximum number of concurrent calls. */
  int value() {
    return limit;
  }

  /** Starts to measure again after a pause, from the current limit. */
  void restart(long now) {
    increasing = true;
    perMilliBefore = 0;
    startRound(now);
  }

  /** Starts to measure from the limit that another kind of call to the same store has reached. */
  void startAt(long now, int startLimit) {
    limit = startLimit;
    restart(now);
  }

  /** Handles a call that did not complete in time. */
  void onFailure(long now) {
    limit = Math.max(MIN_CALLS, limit / 2);
    increasing = false;
    startRound(now);
  }

  /** Handles a call that completed. */
  void onSuccess(long now) {
    completed++;
    if (!increasing || completed < limit) {
      return;
    }
    double perMilli = (double) completed / Math.max(1, now - roundStartedAt);
    startRound(now);
    if (perMilli < perMilliBefore * MIN_GAIN) {
      limit = Math.max(MIN_CALLS, limit / 2);
      increasing = false;
    } else if (chunks / perMilli > TARGET_PASS_MILLIS && limit < MAX_CALLS) {
      perMilliBefore = perMilli;
      limit = Math.min(MAX_CALLS, limit * 2);
    } else {
      perMilliBefore = 0;
    }
  }

  private void startRound(long now) {
    completed = 0;
    roundStartedAt = now;
  }
}
