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

/**
 * Measures what entry and agent add to a request, compared with direct requests to the same engine.
 */
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
    return "latency and CPU time that entry and agent add to a streamed request";
  }

  @Override
  public Report run(BenchOptions options) throws IOException {
    try (Fleet fleet = new Fleet(0)) {
      fleet.setLogLevel("WARN");
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
      int enginePort = fleet.endpointPort("agent-1");
      // Requests of two lengths separate the CPU cost per token from the cost per request.
      int entryPort = entry.callerPort();
      sendLoad(entryPort, LOAD_TOKENS);
      final CpuCost longRequestCost =
          measureCpuCost(entry, agent, () -> sendLoad(entryPort, LOAD_TOKENS));
      final CpuCost oneTokenCost = measureCpuCost(entry, agent, () -> sendLoad(entryPort, 1));
      for (int i = 0; i < SINGLE_REQUESTS; i++) {
        singleRequests.sendBothWays(this, enginePort, entryPort, "alone " + i, 1);
      }
      for (int i = 0; i < BURST_COUNT; i++) {
        burstRequests.sendBothWays(this, enginePort, entryPort, "burst " + i, BURST_SIZE);
      }
      return report(entry, agent, longRequestCost, oneTokenCost);
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

  private Report report(
      ChildProcess entry, ChildProcess agent, CpuCost longRequestCost, CpuCost oneTokenCost)
      throws IOException {
    double entryMicrosPerToken =
        (longRequestCost.entryMicros - oneTokenCost.entryMicros) / (LOAD_TOKENS - 1);
    double agentMicrosPerToken =
        (longRequestCost.agentMicros - oneTokenCost.agentMicros) / (LOAD_TOKENS - 1);
    Report report = new Report();
    for (double percentile : new double[] {50, 95, 99}) {
      String suffix = "P" + (int) percentile + "Millis";
      report.add(
          "directFirstToken" + suffix,
          singleRequests.directFirstToken.percentileMillis(percentile));
      report.add("addedFirstToken" + suffix, singleRequests.addedFirstTokenMillis(percentile));
      report.add("addedInterToken" + suffix, singleRequests.addedInterTokenMillis(percentile));
      report.add("burstAddedFirstToken" + suffix, burstRequests.addedFirstTokenMillis(percentile));
      report.add("burstAddedInterToken" + suffix, burstRequests.addedInterTokenMillis(percentile));
    }
    report.add("entryMicrosPerRequest", oneTokenCost.entryMicros - entryMicrosPerToken);
    report.add("agentMicrosPerRequest", oneTokenCost.agentMicros - agentMicrosPerToken);
    report.add("entryMicrosPerToken", entryMicrosPerToken);
    report.add("agentMicrosPerToken", agentMicrosPerToken);
    report.add("entryTokensPerSecondPerCore", 1e6 / entryMicrosPerToken);
    report.add("agentTokensPerSecondPerCore", 1e6 / agentMicrosPerToken);
    report.add("entryResidentMegabytes", entry.residentBytes() / 1e6);
    report.add("agentResidentMegabytes", agent.residentBytes() / 1e6);
    report.add("entryHeapMegabytes", heapMegabytes(entry));
    report.add("agentHeapMegabytes", heapMegabytes(agent));
    report.add("samples", singleRequests.routedFirstToken.count());
    report.add("failed", failedRequests);
    return report;
  }

  private static double heapMegabytes(ChildProcess child) throws IOException {
    return Http.get(child.operatorPort(), "/metrics").path("process.heap.bytes").asLong() / 1e6;
  }

  private void sendParallel(
      int port,
      String prompt,
      int tokens,
      int parallel,
      DurationHistogram firstToken,
      DurationHistogram interToken) {
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
    for (CallResult result : results) {
      if (result.outcome() != CallResult.Outcome.WHOLE) {
        failedRequests++;
      } else if (firstToken != null) {
        firstToken.recordMicros(result.firstTokenMicros());
        result.interTokenMicros().forEach(interToken::recordMicros);
      }
    }
  }

  /** Latencies of the same requests sent directly to the engine and through entry and agent. */
  private static final class LatencyComparison {
    private final DurationHistogram directFirstToken = new DurationHistogram();
    private final DurationHistogram directInterToken = new DurationHistogram();
    private final DurationHistogram routedFirstToken = new DurationHistogram();
    private final DurationHistogram routedInterToken = new DurationHistogram();

    /** Sends concurrent requests directly to the engine, then through entry and agent. */
    void sendBothWays(
        OverheadBench bench, int enginePort, int entryPort, String prompt, int parallel) {
      // The prompts differ, so that no request finds its prefix in the engine's cache.
      bench.sendParallel(
          enginePort,
          "direct " + prompt,
          LATENCY_TOKENS,
          parallel,
          directFirstToken,
          directInterToken);
      bench.sendParallel(
          entryPort,
          "through " + prompt,
          LATENCY_TOKENS,
          parallel,
          routedFirstToken,
          routedInterToken);
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

  /** CPU time of one request, in microseconds. */
  private record CpuCost(double entryMicros, double agentMicros) {}
}
