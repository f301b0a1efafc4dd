package org.cornelchute.policy.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts what was sent inside the last span, for limits that hold in every sliding window. */
final class RateWindow {

  private final long spanMillis;
  private final Deque<Long> sent = new ArrayDeque<>();

  RateWindow(long spanMillis) {
    this.spanMillis = spanMillis;
  }

  /** Returns how many were counted in the span that ends now. */
  int count(long now) {
    while (!sent.isEmpty() && now - sent.peekFirst() >= spanMillis) {
      sent.pollFirst();
    }
    return sent.size();
  }

  /** Counts one more. */
  void add(long now) {
    count(now);
    sent.addLast(now);
  }
}
