package org.cornelchute.entry.direct;

import java.util.Map;
import org.cornelchute.core.cfg.Checks;
import org.cornelchute.core.cfg.Settings;

/**
 * Settings of an entry that sends calls straight to endpoints.
 *
 * @param name unique name of the VM's process
 * @param domain failure domain it stands in
 * @param regions region of each failure domain
 * @param callers {@code ip:port} for callers
 * @param readiness {@code ip:port} for the balancer's question whether it is ready
 * @param peers {@code ip:port} for datagrams of other entries, empty to tell them nothing
 * @param operators {@code ip:port} for metrics
 * @param store {@code ip:port} of the table service
 * @param keyAgeMillis age of the configuration beyond which keyed calls are refused
 * @param configMillis time in which a change must be in force
 * @param versionMillis time in which new weights must be in force
 * @param retryRatio repeats that a service may get, as a share of fresh calls
 * @param retryAllowance repeats that a service may get besides, from all entries
 * @param retryWindowSeconds span over which repeats are counted
 * @param coldOverrun factor by which the limit of a cold endpoint may be exceeded
 * @param coldAllowance calls by which it may be exceeded besides
 * @param stopSeconds time between the order to stop and the end of the process
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
    double stopSeconds)
    implements Settings {

  /** Values for a process on the loopback interface. */
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
          8);

  private static final long HOUR_MILLIS = 3_600_000;
  private static final long HOUR_SECONDS = 3_600;
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /** Checks ranges. */
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

  /** Returns the span over which repeats are counted, in milliseconds. */
  public long retryWindowMillis() {
    return Math.round(retryWindowSeconds * MILLIS_PER_SECOND);
  }

  /** Returns the time between the order to stop and the end of the process, in milliseconds. */
  public long stopMillis() {
    return Math.round(stopSeconds * MILLIS_PER_SECOND);
  }

  /** Returns the region that this entry stands in. */
  public String region() {
    return regions.getOrDefault(domain, domain);
  }
}
