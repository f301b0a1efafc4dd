package org.cornelchute.net.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/** Connections to one address; belongs to the event loop. */
final class WirePool {

  private final LongSupplier clock;
  private final Deque<WireConnection> idle = new ArrayDeque<>();
  private int openCount;

  WirePool(LongSupplier clock) {
    this.clock = clock;
  }

  /** Takes the connection that was used last, if it is fit for use; closes those that are not. */
  WireConnection acquireIdle(long maxIdleMillis) {
    long now = clock.getAsLong();
    while (!idle.isEmpty()) {
      WireConnection c = idle.pollLast();
      if (c.isUsable(now, maxIdleMillis)) {
        return c;
      }
      c.close();
    }
    return null;
  }

  /** Closes connections that nobody used for some time. */
  void evictIdle(long maxIdleMillis) {
    long now = clock.getAsLong();
    while (!idle.isEmpty() && !idle.peekFirst().isUsable(now, maxIdleMillis)) {
      idle.pollFirst().close();
    }
  }

  boolean isEmpty() {
    return openCount == 0;
  }

  int openCount() {
    return openCount;
  }

  void onConnecting() {
    openCount++;
  }

  void onConnectFailed() {
    openCount--;
  }

  void idle(WireConnection c) {
    c.markIdle(clock.getAsLong());
    idle.addLast(c);
  }

  void onClosed(WireConnection c) {
    openCount--;
    idle.remove(c);
  }
}
