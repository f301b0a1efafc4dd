package org.cornelchute.standin.bench;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.cornelchute.standin.harness.CallResult;
import org.cornelchute.standin.harness.Caller;
import org.cornelchute.standin.harness.ChildProcess;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;
import org.cornelchute.standin.server.EngineStandin;
import reactor.core.publisher.Flux;

/** What entry and agent add to a request, against the same engine asked directly. */
final class OverheadBench implements Bench {

  private static final int SINGLE_REQUESTS = 100;
  private static final int BURST_SIZE = 4;
  private static final int BURST_COUNT = 25;
  private static final int LATENCY_TOKENS = 16;
  private static final int LOAD_TOKENS = 64;
  private static final int PARALLEL_STREAMS = 64;
  private static final int LOAD_ROUNDS = 20;
  private static final EngineStandin.Options ENGINE_OPTIONS =
      new EngineStandin.Options(5_000, 10, 64, 64, 1, 10, 500, true, true);

  private final Caller caller = new Caller();
  private final LatencyComparison singleRequests = new LatencyComparison();
  private final LatencyComparison burstRequests = new LatencyComparison();
  private int failedRequests;

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
      final ChildProcess entry = fleet.startEntry("entry-1", "r1", "d1", Map.of());
      final ChildProcess agent =
          fleet.startEngine(
              "agent-1", "r1", "d1", ENGINE_OPTIONS, Map.of("coldLimit", 64, "warmLimit", 64));
      fleet.awaitStarted(30);
      String digest =
          fleet.publish("model=" + FleetRules.MODEL + "&version=v1").path("digest").asText();
      fleet.applyRules(
          new StringBuilder(), FleetRules.placementRules("v1", Map.of("d1", 1), 1, List.of(10)));
      Fleet.await(20, () -> fleet.countReady(entry, digest) == 1);
      int engine = fleet.endpointPort("agent-1");
      // Two shapes of request under many streams separate the cost of a token from a request's.
      int port = entry.callerPort();
      sendLoad(port, LOAD_TOKENS);
      final CpuCost full = measureCpuCost(entry, agent, () -> sendLoad(port, LOAD_TOKENS));
      final CpuCost brief = measureCpuCost(entry, agent, () -> sendLoad(port, 1));
      for (int i = 0; i < SINGLE_REQUESTS; i++) {
        singleRequests.sendBothWays(this, engine, port, "alone " + i, 1);
      }
      for (int i = 0; i < BURST_COUNT; i++) {
        burstRequests.sendBothWays(this, engine, port, "burst " + i, BURST_SIZE);
      }
      return report(entry, agent, full, brief);
    }
  }

  private void sendLoad(int port, int tokens) {
    for (int i = 0; i < LOAD_ROUNDS; i++) {
      sendParallel(port, "load" + tokens + "-" + i, tokens, PARALLEL_STREAMS, null, null);
    }
  }

  private static CpuCost measureCpuCost(ChildProcess entry, ChildProcess agent, Runnable work) {
    final long entryBefore = entry.cpuMillis();
    final long agentBefore = agent.cpuMillis();
    work.run();
    double requests = (double) LOAD_ROUNDS * PARALLEL_STREAMS;
    return new CpuCost(
        (entry.cpuMillis() - entryBefore) * 1_000.0 / requests,
        (agent.cpuMillis() - agentBefore) * 1_000.0 / requests);
  }

  private Report report(ChildProcess entry, ChildProcess agent, CpuCost full, CpuCost brief)
      throws IOException {
    double entryToken = (full.entryMicros - brief.entryMicros) / (LOAD_TOKENS - 1);
    double agentToken = (full.agentMicros - brief.agentMicros) / (LOAD_TOKENS - 1);
    Report r = new Report();
    for (double p : new double[] {50, 95, 99}) {
      String suffix = "P" + (int) p + "Millis";
      r.add("directFirstToken" + suffix, singleRequests.directFirstToken.percentileMillis(p));
      r.add("addedFirstToken" + suffix, singleRequests.addedFirstTokenMillis(p));
      r.add("addedInterToken" + suffix, singleRequests.addedInterTokenMillis(p));
      r.add("burstAddedFirstToken" + suffix, burstRequests.addedFirstTokenMillis(p));
      r.add("burstAddedInterToken" + suffix, burstRequests.addedInterTokenMillis(p));
    }
    r.add("entryMicrosPerRequest", brief.entryMicros - entryToken);
    r.add("agentMicrosPerRequest", brief.agentMicros - agentToken);
    r.add("entryMicrosPerToken", entryToken);
    r.add("agentMicrosPerToken", agentToken);
    r.add("entryTokensPerSecondPerCore", 1e6 / entryToken);
    r.add("agentTokensPerSecondPerCore", 1e6 / agentToken);
    r.add("entryResidentMegabytes", entry.residentBytes() / 1e6);
    r.add("agentResidentMegabytes", agent.residentBytes() / 1e6);
    r.add("entryHeapMegabytes", heapMegabytes(entry));
    r.add("agentHeapMegabytes", heapMegabytes(agent));
    r.add("samples", singleRequests.routedFirstToken.count());
    r.add("failed", failedRequests);
    return r;
  }

  private static double heapMegabytes(ChildProcess c) throws IOException {
    return Http.get(c.operatorPort(), "/metrics").path("process.heap.bytes").asLong() / 1e6;
  }

  private void sendParallel(
      int port,
      String prompt,
      int tokens,
      int parallel,
      DurationHistogram first,
      DurationHistogram gaps) {
    List<CallResult> results =
        Flux.range(0, parallel)
            .flatMap(
                i ->
                    caller.sendPrompt(
                        port,
                        FleetRules.workspaceName(0),
                        FleetRules.MODEL,
                        prompt + "-" + i,
                        tokens,
                        true),
                parallel)
            .collectList()
            .block();
    for (CallResult r : results) {
      if (r.outcome() != CallResult.Outcome.WHOLE) {
        failedRequests++;
      } else if (first != null) {
        first.recordMicros(r.firstTokenMicros());
        r.interTokenMicros().forEach(gaps::recordMicros);
      }
    }
  }

  /** Latencies of the same requests straight to the engine and through entry and agent. */
  private static final class LatencyComparison {
    private final DurationHistogram directFirstToken = new DurationHistogram();
    private final DurationHistogram directInterToken = new DurationHistogram();
    private final DurationHistogram routedFirstToken = new DurationHistogram();
    private final DurationHistogram routedInterToken = new DurationHistogram();

    /** Sends some requests at once to the engine, then through entry and agent. */
    void sendBothWays(OverheadBench bench, int engine, int entry, String prompt, int parallel) {
      // Prompts differ, so that neither finds the other's in the engine's prefix cache.
      bench.sendParallel(
          engine, "direct " + prompt, LATENCY_TOKENS, parallel, directFirstToken, directInterToken);
      bench.sendParallel(
          entry, "through " + prompt, LATENCY_TOKENS, parallel, routedFirstToken, routedInterToken);
    }

    double addedFirstTokenMillis(double percentile) {
      return routedFirstToken.percentileMillis(percentile)
          - directFirstToken.percentileMillis(percentile);
    }

    double addedInterTokenMillis(double percentile) {
      return routedInterToken.percentileMillis(percentile)
          - directInterToken.percentileMillis(percentile);
    }
  }

  /** Processor time of one request, in microseconds. */
  private record CpuCost(double entryMicros, double agentMicros) {}
}
