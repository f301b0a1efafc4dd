package org.cornelchute.policy.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** Counts events within sliding windows, for limits that hold for every window of a length. */
final class SlidingWindowCounter {

  private final long maxWindowMillis;
  private final Deque<Long> timestamps = new ArrayDeque<>(2);

  /**
   * Creates a counter without events.
   *
   * @param maxWindowMillis length of the longest window
   */
  SlidingWindowCounter(long maxWindowMillis) {
    this.maxWindowMillis = maxWindowMillis;
  }

  /** Returns the number of events in a window that ends now. */
  int count(long now, long windowMillis) {
    removeOld(now);
    int count = 0;
    Iterator<Long> newestFirst = timestamps.descendingIterator();
    while (newestFirst.hasNext() && now - newestFirst.next() < windowMillis) {
      count++;
    }
    return count;
  }

  /** Adds one event. */
  void add(long now) {
    removeOld(now);
    timestamps.addLast(now);
  }

  private void removeOld(long now) {
    while (!timestamps.isEmpty() && now - timestamps.peekFirst() >= maxWindowMillis) {
      timestamps.pollFirst();
    }
  }
}
