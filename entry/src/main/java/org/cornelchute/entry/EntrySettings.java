package org.cornelchute.entry;

import java.util.Locale;
import org.cornelchute.core.cfg.Checks;
import org.cornelchute.core.cfg.Settings;
import org.cornelchute.net.control.ControlSettings;
import org.cornelchute.policy.routing.RoutingOptions;

/**
 * Settings of an entry daemon.
 *
 * @param member identity and addresses of the member
 * @param callerPort HTTP port for callers
 * @param deadlineMillis maximum time until a request is answered; a caller may request less
 * @param maxBodyBytes maximum size of a request body
 * @param maxRequests maximum number of open requests
 * @param queueCapacity maximum number of requests that wait for one target
 * @param maxWaitMillis maximum time that a new request waits for capacity
 * @param subset number of endpoints per target that this entry uses
 * @param strategy how an endpoint is chosen: AFFINITY, LEAST_OUTSTANDING or ROUND_ROBIN
 * @param leaveGraceMillis time from the failing health check until requests are refused, in a drain
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

  /** Default values, for a process on the loopback interface. */
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

  /** Checks ranges and the name of the strategy. */
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

  /** Returns the routing options: the defaults, with the values of these settings. */
  public RoutingOptions toRoutingOptions() {
    RoutingOptions defaults = RoutingOptions.DEFAULTS;
    return new RoutingOptions(
        queueCapacity,
        maxWaitMillis,
        defaults.noEndpointTimeoutMillis(),
        subset,
        defaults.retryRatio(),
        defaults.maxAttempts(),
        defaults.sealTimeoutMillis(),
        defaults.maxBufferedBytes(),
        RoutingOptions.Strategy.valueOf(strategy.toUpperCase(Locale.ROOT)));
  }
}
