package org.cornelchute.agent.direct;

import java.util.Map;
import org.cornelchute.core.cfg.Checks;
import org.cornelchute.core.cfg.Settings;

/**
 * Settings of an agent that only brings weights to the engine beside it.
 *
 * @param name unique name of the VM's process
 * @param domain failure domain it stands in
 * @param regions region of each failure domain
 * @param peers {@code ip:port} for other agents
 * @param operators {@code ip:port} for metrics
 * @param store {@code ip:port} of the table service
 * @param engine {@code ip:port} of the engine beside it, empty if there is none
 * @param linkMbps rate of the VM's link each way in Mbit/s, 0 for no limit
 * @param versionMillis time in which new weights must be in force, 0 for no limit
 */
public record DirectAgentSettings(
    String name,
    String domain,
    Map<String, String> regions,
    String peers,
    String operators,
    String store,
    String engine,
    double linkMbps,
    long versionMillis)
    implements Settings {

  /** Values for a process on the loopback interface. */
  public static final DirectAgentSettings DEFAULTS =
      new DirectAgentSettings(
          "agent-1",
          "domain-1",
          Map.of("domain-1", "region-1"),
          "127.0.0.1:4201",
          "127.0.0.1:4203",
          "127.0.0.1:4000",
          "",
          0,
          8_000);

  private static final long HOUR_MILLIS = 3_600_000;
  private static final double BYTES_PER_MEGABIT = 125_000.0;

  /** Checks ranges. */
  public DirectAgentSettings {
    Checks.requireText("name", name);
    Checks.requireText("domain", domain);
    Checks.requireAddress("peers", peers);
    Checks.requireAddress("operators", operators);
    Checks.requireAddress("store", store);
    if (engine != null && !engine.isEmpty()) {
      Checks.requireAddress("engine", engine);
    }
    Checks.requireRange("linkMbps", (long) linkMbps, 0, Integer.MAX_VALUE, "Mbit/s");
    Checks.requireRange(
        "versionMillis", versionMillis, 0, HOUR_MILLIS, "milliseconds, 0 for no limit");
    engine = engine == null ? "" : engine;
    regions = regions == null ? Map.of() : Map.copyOf(regions);
  }

  /** Returns the region that this agent stands in. */
  public String region() {
    return regions.getOrDefault(domain, domain);
  }

  /** Returns the rate of the link in bytes a second, 0 for no limit. */
  public long linkBytesPerSecond() {
    return (long) (linkMbps * BYTES_PER_MEGABIT);
  }
}
