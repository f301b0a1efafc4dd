package org.cornelchute.standin.bench;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.cornelchute.standin.harness.CallResult;
import org.cornelchute.standin.harness.Caller;
import org.cornelchute.standin.harness.Child;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;
import org.cornelchute.standin.server.EngineStandin;
import reactor.core.publisher.Flux;

/** What entry and agent add to a request, against the same engine asked directly. */
final class OverheadBench implements Bench {

  private static final int ROUNDS = 100;
  private static final int BURST = 4;
  private static final int BURSTS = 25;
  private static final int LATENCY_TOKENS = 16;
  private static final int TOKENS = 64;
  private static final int MANY = 64;
  private static final int LOADS = 20;
  private static final EngineStandin.Options ENGINE =
      new EngineStandin.Options(5_000, 10, 64, 64, 1, 10, 500, true, true);

  private final Caller caller = new Caller();
  private final Pair alone = new Pair();
  private final Pair burst = new Pair();
  private int failed;

  @Override
  public String name() {
    return "overhead";
  }

  @Override
  public String summary() {
    return "time and processor time that entry and agent add to a streamed request";
  }

  @Override
  public Report run(BenchOptions options) throws IOException {
    try (Fleet fleet = new Fleet(0)) {
      fleet.logLevel("WARN");
      final Child entry = fleet.startEntry("entry-1", "r1", "d1", Map.of());
      final Child agent =
          fleet.startEngine(
              "agent-1", "r1", "d1", ENGINE, Map.of("coldLimit", 64, "warmLimit", 64));
      fleet.awaitStarted(30);
      String digest =
          fleet.publish("model=" + FleetRules.MODEL + "&version=v1").path("digest").asText();
      fleet.apply(new StringBuilder(), FleetRules.place("v1", Map.of("d1", 1), 1, List.of(10)));
      Fleet.await(20, () -> fleet.countReady(entry, digest) == 1);
      int engine = fleet.endpointPort("agent-1");
      // Two shapes of request under many streams separate the cost of a token from a request's.
      int port = entry.callerPort();
      load(port, TOKENS);
      final Cost full = cost(entry, agent, () -> load(port, TOKENS));
      final Cost brief = cost(entry, agent, () -> load(port, 1));
      for (int i = 0; i < ROUNDS; i++) {
        alone.send(this, engine, port, "alone " + i, 1);
      }
      for (int i = 0; i < BURSTS; i++) {
        burst.send(this, engine, port, "burst " + i, BURST);
      }
      return report(entry, agent, full, brief);
    }
  }

  private void load(int port, int tokens) {
    for (int i = 0; i < LOADS; i++) {
      send(port, "load" + tokens + "-" + i, tokens, MANY, null, null);
    }
  }

  private static Cost cost(Child entry, Child agent, Runnable work) {
    final long entryBefore = entry.cpuMillis();
    final long agentBefore = agent.cpuMillis();
    work.run();
    double requests = (double) LOADS * MANY;
    return new Cost(
        (entry.cpuMillis() - entryBefore) * 1_000.0 / requests,
        (agent.cpuMillis() - agentBefore) * 1_000.0 / requests);
  }

  private Report report(Child entry, Child agent, Cost full, Cost brief) throws IOException {
    double entryToken = (full.entryMicros - brief.entryMicros) / (TOKENS - 1);
    double agentToken = (full.agentMicros - brief.agentMicros) / (TOKENS - 1);
    Report r = new Report();
    for (double p : new double[] {50, 95, 99}) {
      String suffix = "P" + (int) p + "Millis";
      r.add("directFirstToken" + suffix, alone.directFirst.millis(p));
      r.add("addedFirstToken" + suffix, alone.addedFirst(p));
      r.add("addedInterToken" + suffix, alone.addedGap(p));
      r.add("burstAddedFirstToken" + suffix, burst.addedFirst(p));
      r.add("burstAddedInterToken" + suffix, burst.addedGap(p));
    }
    r.add("entryMicrosPerRequest", brief.entryMicros - entryToken);
    r.add("agentMicrosPerRequest", brief.agentMicros - agentToken);
    r.add("entryMicrosPerToken", entryToken);
    r.add("agentMicrosPerToken", agentToken);
    r.add("entryTokensPerSecondPerCore", 1e6 / entryToken);
    r.add("agentTokensPerSecondPerCore", 1e6 / agentToken);
    r.add("entryResidentMegabytes", entry.residentBytes() / 1e6);
    r.add("agentResidentMegabytes", agent.residentBytes() / 1e6);
    r.add("entryHeapMegabytes", heap(entry));
    r.add("agentHeapMegabytes", heap(agent));
    r.add("samples", alone.throughFirst.count());
    r.add("failed", failed);
    return r;
  }

  private static double heap(Child c) throws IOException {
    return Http.get(c.operatorPort(), "/metrics").path("process.heap.bytes").asLong() / 1e6;
  }

  private void send(
      int port, String prompt, int tokens, int parallel, Samples first, Samples gaps) {
    List<CallResult> results =
        Flux.range(0, parallel)
            .flatMap(
                i ->
                    caller.complete(
                        port,
                        FleetRules.workspace(0),
                        FleetRules.MODEL,
                        prompt + "-" + i,
                        tokens,
                        true),
                parallel)
            .collectList()
            .block();
    for (CallResult r : results) {
      if (r.outcome() != CallResult.Outcome.WHOLE) {
        failed++;
      } else if (first != null) {
        first.add(r.firstMicros());
        r.gapMicros().forEach(gaps::add);
      }
    }
  }

  /** Latencies of the same requests straight to the engine and through entry and agent. */
  private static final class Pair {
    private final Samples directFirst = new Samples();
    private final Samples directGap = new Samples();
    private final Samples throughFirst = new Samples();
    private final Samples throughGap = new Samples();

    /** Sends some requests at once to the engine, then through entry and agent. */
    void send(OverheadBench bench, int engine, int entry, String prompt, int parallel) {
      // Prompts differ, so that neither finds the other's in the engine's prefix cache.
      bench.send(engine, "direct " + prompt, LATENCY_TOKENS, parallel, directFirst, directGap);
      bench.send(entry, "through " + prompt, LATENCY_TOKENS, parallel, throughFirst, throughGap);
    }

    double addedFirst(double percentile) {
      return throughFirst.millis(percentile) - directFirst.millis(percentile);
    }

    double addedGap(double percentile) {
      return throughGap.millis(percentile) - directGap.millis(percentile);
    }
  }

  /** Processor time of one request, in microseconds. */
  private record Cost(double entryMicros, double agentMicros) {}
}
