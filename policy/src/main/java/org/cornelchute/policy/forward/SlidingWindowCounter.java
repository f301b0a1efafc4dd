package org.cornelchute.policy.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts what was sent inside the last span, for limits that hold in every sliding window. */
final class SlidingWindowCounter {

  private final long windowMillis;
  private final Deque<Long> timestamps = new ArrayDeque<>();

  SlidingWindowCounter(long spanMillis) {
    this.windowMillis = spanMillis;
  }

  /** Returns how many were counted in the span that ends now. */
  int count(long now) {
    while (!timestamps.isEmpty() && now - timestamps.peekFirst() >= windowMillis) {
      timestamps.pollFirst();
    }
    return timestamps.size();
  }

  /** Counts one more. */
  void add(long now) {
    count(now);
    timestamps.addLast(now);
  }
}
