package org.cornelchute.policy.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts events within a sliding window, for limits that hold for every window of that length. */
final class SlidingWindowCounter {

  private final long windowMillis;
  private final Deque<Long> timestamps = new ArrayDeque<>();

  SlidingWindowCounter(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Returns the number of events in the window that ends now. */
  int count(long now) {
    while (!timestamps.isEmpty() && now - timestamps.peekFirst() >= windowMillis) {
      timestamps.pollFirst();
    }
    return timestamps.size();
  }

  /** Adds one event. */
  void add(long now) {
    count(now);
    timestamps.addLast(now);
  }
}
