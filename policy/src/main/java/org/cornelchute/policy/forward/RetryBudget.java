package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps this entry's part of the repeats that a service may get from all entries together.
 *
 * <p>A service may get {@code ratio} of its fresh calls plus a constant in every window. Each entry
 * spends only the ratio of its own fresh calls plus its share of the constant, so that the sum
 * holds without messages between entries. Windows are counted in buckets; a repeat counts against
 * all buckets that a sliding window may touch.
 */
final class RetryBudget {

  private static final int BUCKETS = 10;

  private final double ratio;
  private final double allowance;
  private final long bucketMillis;
  private final Map<String, Window> windows = new HashMap<>();

  RetryBudget(double ratio, double allowance, long windowMillis) {
    this.ratio = ratio;
    this.allowance = allowance;
    this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
  }

  /** Counts a fresh call for a service. */
  void recordCall(long now, String service) {
    Window w = window(now, service);
    w.calls[w.index]++;
  }

  /** Counts a repeat if the budget has room for it; {@code entries} share the constant. */
  boolean trySpend(long now, String service, int entries) {
    Window w = window(now, service);
    double room = ratio * sum(w.calls) + allowance / Math.max(1, entries);
    if (sum(w.retries) + 1 > room) {
      return false;
    }
    w.retries[w.index]++;
    return true;
  }

  private Window window(long now, String service) {
    Window w = windows.computeIfAbsent(service, s -> new Window());
    long bucket = now / bucketMillis;
    long steps = Math.min(bucket - w.currentBucket, w.calls.length);
    for (long i = 0; i < steps; i++) {
      w.index = (w.index + 1) % w.calls.length;
      w.calls[w.index] = 0;
      w.retries[w.index] = 0;
    }
    w.currentBucket = Math.max(w.currentBucket, bucket);
    return w;
  }

  private static int sum(int[] counts) {
    int n = 0;
    for (int c : counts) {
      n += c;
    }
    return n;
  }

  private static final class Window {
    private final int[] calls = new int[BUCKETS + 1];
    private final int[] retries = new int[BUCKETS + 1];
    private long currentBucket;
    private int index;
  }
}
