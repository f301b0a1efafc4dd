package org.cornelchute.net.wire;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts bytes from servers that are not valid HTTP, exceed a size limit or belong to no request,
 * and logs them at most once per address and interval; confined to the event loop.
 */
final class ServerFaults {

  private static final Logger LOG = LoggerFactory.getLogger(ServerFaults.class);
  private static final long LOG_INTERVAL_MILLIS = 10_000;

  private final LongSupplier clock;
  private final Meter meter;
  private final Map<String, Long> loggedAtByAddress = new HashMap<>();

  ServerFaults(LongSupplier clock, MetricRegistry metrics) {
    this.clock = clock;
    this.meter = metrics.meter("server.faults");
  }

  /** Records a fault of the server at an address. */
  void report(String address, String reason) {
    meter.mark();
    long now = clock.getAsLong();
    loggedAtByAddress.values().removeIf(loggedAt -> now - loggedAt >= LOG_INTERVAL_MILLIS);
    if (loggedAtByAddress.putIfAbsent(address, now) == null) {
      LOG.warn(
          "closing a connection because of what the server sent address={} cause={} faults={}",
          address,
          reason,
          meter.getCount());
    }
  }
}
