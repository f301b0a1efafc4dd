package org.cornelchute.entry;

import java.util.Locale;
import org.cornelchute.core.cfg.Checks;
import org.cornelchute.core.cfg.Settings;
import org.cornelchute.net.control.ControlSettings;
import org.cornelchute.policy.routing.RoutingOptions;

/**
 * Settings of an entry daemon.
 *
 * @param member who and where it is
 * @param callerPort port for callers (HTTP)
 * @param deadlineMillis time that a caller waits for an answer, unless it says otherwise
 * @param maxBodyBytes largest request body
 * @param maxRequests most requests without an outcome
 * @param queueCapacity requests that may wait for one target
 * @param maxWaitMillis longest time that a new request waits for room
 * @param subset endpoints of one target that this entry uses
 * @param strategy how an endpoint is chosen: AFFINITY, LEAST_OUTSTANDING or ROUND_ROBIN
 * @param leaveGraceMillis time between the first failing health check and the first refusal
 */
public record EntrySettings(
    ControlSettings member,
    int callerPort,
    long deadlineMillis,
    int maxBodyBytes,
    int maxRequests,
    int queueCapacity,
    long maxWaitMillis,
    int subset,
    String strategy,
    long leaveGraceMillis)
    implements Settings {

  /** Values for a process on the loopback interface. */
  public static final EntrySettings DEFAULTS =
      new EntrySettings(
          ControlSettings.defaults("entry-1", 4_100),
          4_080,
          30_000,
          1 << 20,
          4_096,
          512,
          1_000,
          32,
          "AFFINITY",
          2_000);

  private static final int MAX_PORT = 65_535;
  private static final long MAX_MILLIS = 3_600_000;
  private static final int MAX_COUNT = 1 << 20;

  /** Checks ranges. */
  public EntrySettings {
    Checks.requireRange("callerPort", callerPort, 1, MAX_PORT, "(a port)");
    Checks.requireRange("deadlineMillis", deadlineMillis, 1, MAX_MILLIS, "milliseconds");
    Checks.requireRange("maxBodyBytes", maxBodyBytes, 1, 1 << 26, "bytes");
    Checks.requireRange("maxRequests", maxRequests, 1, MAX_COUNT, "requests");
    Checks.requireRange("queueCapacity", queueCapacity, 1, MAX_COUNT, "requests");
    Checks.requireRange("maxWaitMillis", maxWaitMillis, 1, MAX_MILLIS, "milliseconds");
    Checks.requireRange("subset", subset, 1, MAX_COUNT, "endpoints");
    Checks.requireRange("leaveGraceMillis", leaveGraceMillis, 0, MAX_MILLIS, "milliseconds");
    try {
      RoutingOptions.Strategy.valueOf(strategy.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException(
          "'strategy' is '" + strategy + "'; accepted: AFFINITY, LEAST_OUTSTANDING, ROUND_ROBIN",
          e);
    }
  }

  /** Returns the routing limits that these settings give. */
  public RoutingOptions toRoutingOptions() {
    RoutingOptions d = RoutingOptions.DEFAULTS;
    return new RoutingOptions(
        queueCapacity,
        maxWaitMillis,
        d.noEndpointTimeoutMillis(),
        subset,
        d.retryRatio(),
        d.maxAttempts(),
        d.sealTimeoutMillis(),
        d.maxBufferedBytes(),
        RoutingOptions.Strategy.valueOf(strategy.toUpperCase(Locale.ROOT)));
  }
}
