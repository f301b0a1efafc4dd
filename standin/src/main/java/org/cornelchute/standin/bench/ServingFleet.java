package org.cornelchute.standin.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelchute.standin.harness.ChildProcess;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;
import org.cornelchute.standin.server.EngineStandin;

/** Two entries and several engines in three failure domains, serving ten workspaces. */
final class ServingFleet implements AutoCloseable {

  /** Weights of the workspaces, of which the first two are large. */
  static final List<Integer> WORKSPACE_WEIGHTS = List.of(40, 40, 10, 10, 10, 10, 10, 10, 10, 10);

  static final int DOMAIN_COUNT = 3;

  private static final int WARM_CAPACITY = 8;
  private static final int TOKEN_INTERVAL_MILLIS = 20;
  private static final int PREFILL_MILLIS = 200;
  private static final EngineStandin.Options ENGINE_OPTIONS =
      new EngineStandin.Options(
          TOKEN_INTERVAL_MILLIS * 1_000L,
          PREFILL_MILLIS,
          2,
          WARM_CAPACITY,
          2,
          200,
          300,
          true,
          true);

  final Fleet fleet;
  final List<ChildProcess> entries = new ArrayList<>();
  final int engineCount;
  private final AtomicInteger nextEntry = new AtomicInteger();
  private final Map<Integer, Boolean> healthByPort = new ConcurrentHashMap<>();
  private final String digest;

  ServingFleet(int engineCount, String strategy) throws IOException {
    this.engineCount = engineCount;
    this.fleet = new Fleet(0);
    fleet.setLogLevel("WARN");
    for (int i = 0; i < 2; i++) {
      entries.add(fleet.startEntry("entry-" + i, "r0", "d" + i, Map.of("strategy", strategy)));
    }
    Map<String, Integer> replicas = new LinkedHashMap<>();
    for (int i = 0; i < engineCount; i++) {
      replicas.merge("d" + i % DOMAIN_COUNT, 1, Integer::sum);
      fleet.startEngine(
          "agent-" + i,
          "r0",
          "d" + i % DOMAIN_COUNT,
          ENGINE_OPTIONS,
          Map.of("originRegion", "r0", "warmLimit", WARM_CAPACITY, "completionsPerStep", 3));
    }
    fleet.startService("pedidos-0", "r0", "d0", "pedidos");
    fleet.awaitStarted(40);
    digest =
        fleet
            .publish("model=" + FleetRules.MODEL + "&version=v1&bytes=1048576")
            .path("digest")
            .asText();
    fleet.applyRules(
        new StringBuilder(), FleetRules.placementRules("v1", replicas, 1, WORKSPACE_WEIGHTS));
    Fleet.await(40, () -> fleet.countReady(entries.get(0), digest) == engineCount);
    Fleet.await(10, () -> fleet.countReady(entries.get(1), digest) == engineCount);
  }

  /** Returns the estimated number of requests per second that all warm engines serve together. */
  double estimateCapacity(int tokens) {
    double seconds = (0.5 * PREFILL_MILLIS + (double) tokens * TOKEN_INTERVAL_MILLIS) / 1_000;
    return engineCount * WARM_CAPACITY / seconds;
  }

  /**
   * Returns the port of the next healthy entry in turn, as a load balancer with health checks does.
   */
  int nextEntryPort() {
    for (int i = 0; i < entries.size(); i++) {
      ChildProcess entry = entries.get(Math.floorMod(nextEntry.getAndIncrement(), entries.size()));
      if (isHealthy(entry)) {
        return entry.callerPort();
      }
    }
    return entries.get(0).callerPort();
  }

  String digest() {
    return digest;
  }

  /** Returns the sum of a counter over all engines. */
  long sumEngineStat(String counter) throws IOException {
    long sum = 0;
    for (String id : fleet.engineIds()) {
      JsonNode stats = Http.get(fleet.endpointPort(id), "/stats");
      sum += stats.path(counter).asLong();
    }
    return sum;
  }

  @Override
  public void close() {
    fleet.close();
  }

  /** Queries the health of all entries; called several times a second, as a load balancer does. */
  void checkHealth() {
    for (ChildProcess entry : entries) {
      boolean healthy;
      try {
        healthy =
            entry.process().isAlive()
                && Http.get(entry.callerPort(), "/healthz").path("ok").asBoolean(false);
      } catch (IOException e) {
        healthy = false;
      }
      healthByPort.put(entry.callerPort(), healthy);
    }
  }

  private boolean isHealthy(ChildProcess entry) {
    return healthByPort.getOrDefault(entry.callerPort(), true);
  }
}
