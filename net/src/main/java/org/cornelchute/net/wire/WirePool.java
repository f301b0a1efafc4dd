package org.cornelchute.net.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/** Pool of connections to one address; confined to the event loop. */
final class WirePool {

  private final LongSupplier clock;
  private final Deque<WireConnection> idleConnections = new ArrayDeque<>();
  private int openCount;

  WirePool(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Removes and returns the most recently used idle connection that is usable, null if there is
   * none; closes unusable ones on the way.
   */
  WireConnection acquireIdle(long maxIdleMillis) {
    long now = clock.getAsLong();
    while (!idleConnections.isEmpty()) {
      WireConnection connection = idleConnections.pollLast();
      if (connection.isUsable(now, maxIdleMillis)) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  /** Closes connections that have been idle for longer than the given time. */
  void evictIdle(long maxIdleMillis) {
    long now = clock.getAsLong();
    while (!idleConnections.isEmpty()
        && !idleConnections.peekFirst().isUsable(now, maxIdleMillis)) {
      idleConnections.pollFirst().close();
    }
  }

  /** Closes the connection that has been idle for longest; returns whether there was one. */
  boolean closeOldestIdle() {
    WireConnection oldest = idleConnections.pollFirst();
    if (oldest != null) {
      oldest.close();
    }
    return oldest != null;
  }

  /** Closes all idle connections. */
  void closeIdle() {
    while (!idleConnections.isEmpty()) {
      idleConnections.pollFirst().close();
    }
  }

  boolean isEmpty() {
    return openCount == 0;
  }

  int openCount() {
    return openCount;
  }

  /** Counts a connection that is being established. */
  void onConnecting() {
    openCount++;
  }

  void onConnectFailed() {
    openCount--;
  }

  /** Returns an open connection to the pool. */
  void release(WireConnection connection) {
    connection.markIdle(clock.getAsLong());
    idleConnections.addLast(connection);
  }

  void onClosed(WireConnection connection) {
    openCount--;
    idleConnections.remove(connection);
  }
}
