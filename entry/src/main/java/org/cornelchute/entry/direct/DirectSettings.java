package org.cornelchute.entry.direct;

import java.util.Map;
import org.cornelchute.core.cfg.Checks;
import org.cornelchute.core.cfg.Settings;

/**
 * Settings of an entry that sends calls directly to endpoints.
 *
 * @param name unique name of the process
 * @param domain failure domain of the VM
 * @param regions region of each failure domain
 * @param callers {@code ip:port} for callers
 * @param readiness {@code ip:port} for the readiness checks of load balancers
 * @param peers {@code ip:port} for reports of other entries; if empty, no reports are exchanged
 * @param operators {@code ip:port} for metrics
 * @param store {@code ip:port} of the table service
 * @param keyAgeMillis maximum age of the configuration at which calls with keys are accepted
 * @param configMillis time within which a configuration change must take effect
 * @param versionMillis time within which new weights must be in use, 0 for no limit
 * @param retryRatio permitted retries per service as a share of its new calls
 * @param retryAllowance permitted retries per service in addition, over all entries
 * @param retryWindowSeconds window over which retries are counted
 * @param coldOverrun factor by which the limit of a cold endpoint may be exceeded
 * @param coldAllowance calls by which that limit may be exceeded in addition
 * @param stopSeconds time from the request to stop until the process is killed
 * @param firstStart whether all processes of the system are started for the first time
 */
public record DirectSettings(
    String name,
    String domain,
    Map<String, String> regions,
    String callers,
    String readiness,
    String peers,
    String operators,
    String store,
    long keyAgeMillis,
    long configMillis,
    long versionMillis,
    double retryRatio,
    double retryAllowance,
    double retryWindowSeconds,
    double coldOverrun,
    double coldAllowance,
    double stopSeconds,
    boolean firstStart)
    implements Settings {

  /** Default values, for a process on the loopback interface. */
  public static final DirectSettings DEFAULTS =
      new DirectSettings(
          "entry-1",
          "domain-1",
          Map.of("domain-1", "region-1"),
          "127.0.0.1:4101",
          "127.0.0.1:4102",
          "127.0.0.1:4104",
          "127.0.0.1:4103",
          "127.0.0.1:4000",
          5_000,
          2_000,
          8_000,
          0.2,
          100,
          10,
          1.5,
          5,
          8,
          false);

  private static final long HOUR_MILLIS = 3_600_000;
  private static final long HOUR_SECONDS = 3_600;
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /** Checks addresses and ranges. */
  public DirectSettings {
    Checks.requireText("name", name);
    Checks.requireText("domain", domain);
    Checks.requireAddress("callers", callers);
    Checks.requireAddress("readiness", readiness);
    if (peers != null && !peers.isEmpty()) {
      Checks.requireAddress("peers", peers);
    }
    Checks.requireAddress("operators", operators);
    Checks.requireAddress("store", store);
    Checks.requireRange("keyAgeMillis", keyAgeMillis, 1, HOUR_MILLIS, "milliseconds");
    Checks.requireRange("configMillis", configMillis, 1, HOUR_MILLIS, "milliseconds");
    Checks.requireRange(
        "versionMillis", versionMillis, 0, HOUR_MILLIS, "milliseconds, 0 for no limit");
    Checks.requireRange(
        "retryWindowSeconds", (long) retryWindowSeconds, 1, HOUR_SECONDS, "seconds");
    Checks.requireRange("stopSeconds", (long) stopSeconds, 0, HOUR_SECONDS, "seconds");
    peers = peers == null ? "" : peers;
    regions = regions == null ? Map.of() : Map.copyOf(regions);
  }

  /** Returns the window over which retries are counted, in milliseconds. */
  public long retryWindowMillis() {
    return Math.round(retryWindowSeconds * MILLIS_PER_SECOND);
  }

  /** Returns the time from the request to stop until the process is killed, in milliseconds. */
  public long stopMillis() {
    return Math.round(stopSeconds * MILLIS_PER_SECOND);
  }

  /** Returns the region of this entry; the failure domain itself if it has no region. */
  public String region() {
    return regions.getOrDefault(domain, domain);
  }
}
