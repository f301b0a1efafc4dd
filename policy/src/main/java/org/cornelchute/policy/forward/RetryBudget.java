package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of this entry to its share of the retries that a service may receive from all
 * entries together.
 *
 * <p>In every window a service may receive retries up to {@code ratio} times its new calls plus a
 * constant allowance. Each entry uses the ratio of its own new calls plus an equal share of the
 * allowance, so that the total limit holds without messages between entries. Windows are counted in
 * buckets; a retry counts against all buckets that a sliding window may overlap.
 *
 * <p>A process does not know which retries its predecessor spent in the window before its start. It
 * therefore uses the ratio only in its first window, unless there was no predecessor.
 */
final class RetryBudget {

  private static final int BUCKETS = 10;

  private final double ratio;
  private final double allowance;
  private final long bucketMillis;
  private final Map<String, Window> windows = new HashMap<>();
  private long allowanceFrom;

  /**
   * Creates the budget of a process.
   *
   * @param startedAt time at which the process started
   */
  RetryBudget(double ratio, double allowance, long windowMillis, long startedAt) {
    this.ratio = ratio;
    this.allowance = allowance;
    this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
    this.allowanceFrom = startedAt + windowMillis;
  }

  /** Records that no earlier process under the name of this entry can have spent retries. */
  void recordFirstStart() {
    allowanceFrom = Long.MIN_VALUE;
  }

  /** Counts a new call to a service. */
  void recordCall(long now, String service) {
    Window window = window(now, service);
    window.calls[window.index]++;
  }

  /**
   * Counts a retry if the budget allows it.
   *
   * @param entryCount number of entries that share the allowance
   * @return whether the retry is allowed
   */
  boolean trySpend(long now, String service, int entryCount) {
    if (!allows(now, service, entryCount)) {
      return false;
    }
    Window window = window(now, service);
    window.retries[window.index]++;
    return true;
  }

  /**
   * Returns whether the budget allows a retry.
   *
   * @param entryCount number of entries that share the allowance
   */
  boolean allows(long now, String service, int entryCount) {
    Window window = window(now, service);
    double share = now < allowanceFrom ? 0 : allowance / Math.max(1, entryCount);
    return sum(window.retries) + 1 <= ratio * sum(window.calls) + share;
  }

  private Window window(long now, String service) {
    Window window = windows.computeIfAbsent(service, s -> new Window());
    long bucket = now / bucketMillis;
    long steps = Math.min(bucket - window.currentBucket, window.calls.length);
    for (long i = 0; i < steps; i++) {
      window.index = (window.index + 1) % window.calls.length;
      window.calls[window.index] = 0;
      window.retries[window.index] = 0;
    }
    window.currentBucket = Math.max(window.currentBucket, bucket);
    return window;
  }

  private static int sum(int[] counts) {
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }

  private static final class Window {
    private final int[] calls = new int[BUCKETS + 1];
    private final int[] retries = new int[BUCKETS + 1];
    private long currentBucket;
    private int index;
  }
}
