package org.cornelchute.net.control;

import java.util.List;
import org.cornelchute.core.cfg.Checks;
import org.cornelchute.core.cfg.Settings;

/**
 * Settings that every member process has.
 *
 * @param id unique name of the process
 * @param host IP number to listen on
 * @param port port for frames (TCP) and probes (UDP)
 * @param operatorPort port for operators (HTTP)
 * @param region region it stands in
 * @param domain failure domain it stands in
 * @param platform base address of the platform's services
 * @param seeds addresses of some other members
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

  private static final int MAX_PORT = 65_535;

  /** Checks names and ranges. */
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

  /** Returns values for a process on the loopback interface. */
  public static ControlSettings defaults(String id, int port) {
    return new ControlSettings(
        id,
        "127.0.0.1",
        port,
        port + 1,
        "region-1",
        "domain-1",
        "http://127.0.0.1:4000",
        List.of());
  }

  /** Returns the address that other members reach. */
  public String address() {
    return host + ":" + port;
  }
}
