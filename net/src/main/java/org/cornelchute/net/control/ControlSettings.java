package org.cornelchute.net.control;

import java.util.List;
import org.cornelchute.core.cfg.Checks;
import org.cornelchute.core.cfg.Settings;

/**
 * Settings that all member processes have in common.
 *
 * @param id unique id of the process
 * @param host IP address to listen on
 * @param port port for frames (TCP) and datagrams (UDP)
 * @param operatorPort port of the HTTP server for operators
 * @param region region of the process
 * @param domain failure domain of the process
 * @param platform base URL of the platform's services
 * @param seeds addresses of other members, through which the process joins
 */
public record ControlSettings(
    String id,
    String host,
    int port,
    int operatorPort,
    String region,
    String domain,
    String platform,
    List<String> seeds)
    implements Settings {

  /** Addresses of an entry and an agent with default settings, which find each other by them. */
  private static final String DEFAULT_ENTRY = "127.0.0.1:4100";

  private static final String DEFAULT_AGENT = "127.0.0.1:4200";
  private static final int MAX_PORT = 65_535;

  /** Validates the values. */
  public ControlSettings {
    Checks.requireText("member/id", id);
    Checks.requireText("member/host", host);
    Checks.requireRange("member/port", port, 1, MAX_PORT, "(a port)");
    Checks.requireRange("member/operatorPort", operatorPort, 1, MAX_PORT, "(a port)");
    Checks.requireText("member/region", region);
    Checks.requireText("member/domain", domain);
    Checks.requireText("member/platform", platform);
    seeds = seeds == null ? List.of() : List.copyOf(seeds);
    for (String seed : seeds) {
      Checks.requireAddress("member/seeds", seed);
    }
  }

  /** Returns the default settings, for a process on the loopback interface. */
  public static ControlSettings defaults(String id, int port) {
    return new ControlSettings(
        id,
        "127.0.0.1",
        port,
        port + 1,
        "region-1",
        "domain-1",
        "http://127.0.0.1:4000",
        List.of(DEFAULT_ENTRY, DEFAULT_AGENT));
  }

  /** Returns the address at which other members reach this process. */
  public String address() {
    return host + ":" + port;
  }
}
