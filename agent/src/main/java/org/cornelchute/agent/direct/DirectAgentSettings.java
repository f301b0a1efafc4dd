package org.cornelchute.agent.direct;

import java.util.Map;
import org.cornelchute.core.cfg.Checks;
import org.cornelchute.core.cfg.Settings;

/**
 * Settings of an agent that distributes weights only; see {@link DirectAgentDaemon}.
 *
 * @param name unique name of the process, also its member ID
 * @param domain failure domain of the VM
 * @param regions region of each failure domain
 * @param peers {@code ip:port} to listen on for other agents
 * @param operators {@code ip:port} to listen on for metrics requests
 * @param store {@code ip:port} of the table service
 * @param engine {@code ip:port} of the engine on the same VM, empty if there is none
 * @param linkMbps rate of the VM's link in each direction in Mbit/s, 0 for no limit
 * @param versionMillis time within which an assigned version must be in force, 0 for no limit
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

  /** Default settings, for a process on the loopback interface. */
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

  /** Validates the settings; a missing engine or region map counts as empty. */
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

  /** Returns the same settings with another address of the table service. */
  public DirectAgentSettings withStore(String newStore) {
    return new DirectAgentSettings(
        name, domain, regions, peers, operators, newStore, engine, linkMbps, versionMillis);
  }

  /** Returns the region of the agent's domain; the domain itself if it has no region. */
  public String region() {
    return regions.getOrDefault(domain, domain);
  }

  /** Returns the rate of the link in bytes per second, 0 for no limit. */
  public long linkBytesPerSecond() {
    return (long) (linkMbps * BYTES_PER_MEGABIT);
  }
}
