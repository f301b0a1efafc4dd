package org.cornelchute.entry.direct;

import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.cornelchute.net.util.FreePort;
import org.cornelchute.policy.forward.CallKind;
import org.cornelchute.policy.forward.EndpointSpec;
import org.cornelchute.policy.forward.RouteSpec;
import org.cornelchute.policy.forward.ServiceSpec;
import org.cornelchute.policy.forward.ServingConfig;

/** What tests of an entry over real sockets have in common. */
final class EntryFixture {

  static final CallHeaderNames HEADER_NAMES =
      new CallHeaderNames(
          "x-id",
          "x-deadline",
          "x-instance",
          "x-weights",
          "x-workspace",
          "x-priority",
          "x-tokens",
          "x-parts",
          "x-hint",
          "last-event-id",
          "x-not-executed",
          "x-signature",
          "x-version",
          "x-load",
          "x-limit",
          "x-leaving");

  private static final String HOST = "127.0.0.1";
  private static final String NAME = "e1";
  private static final String DOMAIN = "d1";
  private static final String REGION = "r1";
  private static final int STOP_SECONDS = 8;

  private EntryFixture() {}

  /**
   * Returns the settings of an entry that shares its state with no others unless {@code peers} is
   * an address, and has no store.
   */
  static DirectSettings settings(
      String callers, String readiness, String peers, String operators, long keyAgeMillis) {
    return settings(NAME, callers, readiness, peers, operators, keyAgeMillis);
  }

  /** Returns the settings of an entry with a name. */
  static DirectSettings settings(
      String name,
      String callers,
      String readiness,
      String peers,
      String operators,
      long keyAgeMillis) {
    DirectSettings defaults = DirectSettings.DEFAULTS;
    return new DirectSettings(
        name,
        DOMAIN,
        Map.of(DOMAIN, REGION),
        callers,
        readiness,
        peers,
        operators,
        HOST + ":1",
        keyAgeMillis,
        defaults.configMillis(),
        defaults.versionMillis(),
        defaults.retryRatio(),
        defaults.retryAllowance(),
        defaults.retryWindowSeconds(),
        defaults.coldOverrun(),
        defaults.coldAllowance(),
        STOP_SECONDS,
        false);
  }

  /**
   * Returns a source of a state that is confirmed once, at the first start of the only entry, and
   * never changes.
   */
  static ServingStateSource fixedState(ServingConfig config, List<EndpointSpec> endpoints) {
    return fixedState(Map.of(NAME, ""), config, endpoints);
  }

  /** Returns a source of such a state for one of several entries, with their addresses by name. */
  static ServingStateSource fixedState(
      Map<String, String> addressByEntry, ServingConfig config, List<EndpointSpec> endpoints) {
    return (loop, client, clock, listener) -> {
      listener.recordFirstStart();
      listener.updateConfig(config);
      listener.updateEvacuatedDomains(Set.of());
      Map<String, EntryAddress> entryByName = new HashMap<>();
      addressByEntry.forEach(
          (name, address) -> entryByName.put(name, new EntryAddress(address, REGION)));
      listener.updateEntries(entryByName);
      listener.updateEndpoints(endpoints);
      listener.recordConfirmation(clock.getAsLong());
    };
  }

  /** Returns a configuration with one route, of streams that may not be resumed, without keys. */
  static ServingConfig streamConfig(String service, long timeoutMillis) {
    RouteSpec route =
        new RouteSpec(
            "r",
            HOST,
            "/s/",
            CallKind.STREAM,
            false,
            timeoutMillis,
            500,
            1,
            2,
            true,
            List.of(),
            List.of(new RouteSpec.WeightedService(service, 1)));
    return new ServingConfig(
        1,
        List.of(route),
        List.of(new ServiceSpec(service, 32, 0, 0, Optional.empty())),
        false,
        Map.of(),
        ServingConfig.CallerLimits.DEFAULTS);
  }

  static EndpointSpec endpointSpec(String id, String service, HttpServer server) {
    return endpointSpec(id, service, server.getAddress().getPort());
  }

  static EndpointSpec endpointSpec(String id, String service, int port) {
    String address = HOST + ":" + port;
    return new EndpointSpec(id, service, address, DOMAIN, REGION, 8, false, 0, 1, "", 0);
  }

  /**
   * Starts an endpoint.
   *
   * @param executor runs the handler, null for the thread that accepts the connections
   */
  static HttpServer startEndpoint(HttpHandler handler, Executor executor) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 16);
    server.setExecutor(executor);
    server.createContext("/", handler);
    server.start();
    return server;
  }

  /** Returns an address of this machine on which nothing listens. */
  static String freeAddress() throws IOException {
    return FreePort.findAddress(HOST);
  }
}
