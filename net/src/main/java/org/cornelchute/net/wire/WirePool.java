package org.cornelchute.net.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/** Connections to one address; belongs to the event loop. */
final class WirePool {

  private final LongSupplier clock;
  private final Deque<WireConnection> idle = new ArrayDeque<>();
  private int open;

  WirePool(LongSupplier clock) {
    this.clock = clock;
  }

  /** Takes the connection that was used last, if it is fit for use; closes those that are not. */
  WireConnection take(long maxIdleMillis) {
    long now = clock.getAsLong();
    while (!idle.isEmpty()) {
      WireConnection c = idle.pollLast();
      if (c.isUsable(now, maxIdleMillis)) {
        return c;
      }
      c.drop();
    }
    return null;
  }

  /** Closes connections that nobody used for some time. */
  void prune(long maxIdleMillis) {
    long now = clock.getAsLong();
    while (!idle.isEmpty() && !idle.peekFirst().isUsable(now, maxIdleMillis)) {
      idle.pollFirst().drop();
    }
  }

  boolean isEmpty() {
    return open == 0;
  }

  int size() {
    return open;
  }

  void opening() {
    open++;
  }

  void failedToOpen() {
    open--;
  }

  void idle(WireConnection c) {
    c.idle(clock.getAsLong());
    idle.addLast(c);
  }

  void closed(WireConnection c) {
    open--;
    idle.remove(c);
  }
}
