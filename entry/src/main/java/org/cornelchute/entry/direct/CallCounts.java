package org.cornelchute.entry.direct;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counts the requests that were read whole and their ends.
 *
 * <p>At any time, the number of requests that were read is the sum of those that have ended and of
 * those that are open.
 */
final class CallCounts {

  private final Counter read;
  private final Map<End, Counter> ended = new EnumMap<>(End.class);

  /** Creates counters {@code calls.read} and {@code calls.ended.KIND} in a registry. */
  CallCounts(MetricRegistry metrics) {
    this.read = metrics.counter("calls.read");
    for (End end : End.values()) {
      ended.put(end, metrics.counter("calls.ended." + end.name().toLowerCase(Locale.ROOT)));
    }
  }

  /** Records that a request was read whole. */
  void recordRead() {
    read.inc();
  }

  /** Records the only end of a request that was read whole. */
  void recordEnd(End end) {
    ended.get(end).inc();
  }

  /** How a request ended. */
  enum End {
    /** The complete response of an endpoint was delivered. */
    ANSWERED,
    /** The entry rejected it. */
    REFUSED,
    /** The entry closed the connection before the end of the response. */
    CUT,
    /** The caller disconnected first. */
    GONE
  }
}
