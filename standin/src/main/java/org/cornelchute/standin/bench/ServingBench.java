package org.cornelchute.standin.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cornelchute.standin.harness.CallResult;
import org.cornelchute.standin.harness.CallResult.Outcome;
import org.cornelchute.standin.harness.Caller;
import org.cornelchute.standin.harness.ChildProcess;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;

/**
 * Measures outcomes, fairness, latency and goodput of requests through two entries to at most eight
 * engines, optionally with an injected fault.
 */
final class ServingBench implements Bench {

  private static final int TOKENS_PER_REQUEST = 20;
  private static final int WARM_UP_SECONDS = 6;
  private static final int MAX_ORDER_REQUESTS = 40;

  @Override
  public String name() {
    return "serving";
  }

  @Override
  public String summary() {
    return "outcomes, fairness and latency under load; faults: overload, flood, agent-killed,"
        + " entry-killed, turn-cold, store-out, rolling-restart";
  }

  @Override
  public Report run(BenchOptions options) throws IOException {
    try (ServingFleet serving =
        new ServingFleet(Math.min(options.replicas(), 8), options.strategy())) {
      double estimatedCapacity = serving.estimateCapacity(TOKENS_PER_REQUEST);
      boolean overCapacity = options.fault().equals("overload") || options.fault().equals("flood");
      warmUp(serving, estimatedCapacity);
      final double capacity = measureCapacity(serving, estimatedCapacity);
      final long overAdmittedBefore = serving.sumEngineStat("overAdmitted");
      final long cacheHitsBefore = serving.sumEngineStat("cacheHits");
      final long startedBefore = serving.sumEngineStat("started");
      double rate = overCapacity ? 2 * capacity : 0.8 * capacity;
      LoadGenerator load =
          new LoadGenerator(
                  serving::nextEntryPort, rate, TOKENS_PER_REQUEST, requestShares(options))
              .start();
      final long startedAt = System.nanoTime();
      List<CallResult> orderResults = new ArrayList<>();
      Thread faultThread = new Thread(() -> injectFault(serving, options.fault()), "fault");
      faultThread.start();
      while ((System.nanoTime() - startedAt) / 1e9 < options.seconds()) {
        serving.checkHealth();
        if (orderResults.size() < MAX_ORDER_REQUESTS) {
          sendOrder(serving, orderResults);
        }
        Fleet.sleep(100);
      }
      load.close();
      final double seconds = (System.nanoTime() - startedAt) / 1e9;
      join(faultThread);
      Report report =
          report(
              serving, options, load, orderResults, Math.min(seconds, options.seconds()), capacity);
      report.add("overAdmitted", serving.sumEngineStat("overAdmitted") - overAdmittedBefore);
      long started = serving.sumEngineStat("started") - startedBefore;
      report.add(
          "cacheHitShare",
          (serving.sumEngineStat("cacheHits") - cacheHitsBefore) / (double) Math.max(1, started));
      return report;
    }
  }

  private static int[] requestShares(BenchOptions options) {
    int[] shares = new int[ServingFleet.WORKSPACE_WEIGHTS.size()];
    for (int i = 0; i < shares.length; i++) {
      shares[i] = ServingFleet.WORKSPACE_WEIGHTS.get(i);
    }
    if (options.fault().equals("flood")) {
      shares[2] *= 30;
    }
    return shares;
  }

  private static void warmUp(ServingFleet serving, double estimatedCapacity) {
    LoadGenerator load =
        new LoadGenerator(serving::nextEntryPort, 0.7 * estimatedCapacity, TOKENS_PER_REQUEST, 1)
            .start();
    Fleet.sleep(WARM_UP_SECONDS * 1_000L);
    load.close();
  }

  /** Measures the complete responses per second under a load slightly above the capacity. */
  private static double measureCapacity(ServingFleet serving, double estimatedCapacity) {
    LoadGenerator load =
        new LoadGenerator(serving::nextEntryPort, 1.3 * estimatedCapacity, TOKENS_PER_REQUEST, 1)
            .start();
    Fleet.sleep(1_500);
    int completeBefore = load.outcomes().get(Outcome.WHOLE);
    Fleet.sleep(4_000);
    int completeAfter = load.outcomes().get(Outcome.WHOLE);
    load.close();
    return (completeAfter - completeBefore) / 4.0;
  }

  private void sendOrder(ServingFleet serving, List<CallResult> orderResults) {
    String orderId = "order-" + orderResults.size() / 2;
    // Each order is sent twice with the same idempotency key, once through each entry.
    CallResult result =
        new Caller()
            .callService(
                serving.nextEntryPort(),
                FleetRules.workspaceName(2),
                "POST",
                "/services/pedidos/confirm",
                orderId,
                "key-" + orderId,
                orderId)
            .block();
    orderResults.add(result);
  }

  private void injectFault(ServingFleet serving, String fault) {
    try {
      Fleet.sleep(2_000);
      switch (fault) {
        case "agent-killed" -> {
          serving.fleet.process("agent-0").kill();
          Fleet.sleep(1_000);
          serving.fleet.restart("agent-0");
        }
        case "entry-killed" -> {
          ChildProcess entry = serving.entries.get(1);
          entry.kill();
          serving.checkHealth();
          serving.entries.set(1, serving.fleet.restart("entry-1"));
        }
        case "turn-cold" -> {
          for (String id : serving.fleet.engineIds()) {
            Http.post(serving.fleet.endpointPort(id), "/turn-cold", Map.of());
            Fleet.sleep(500);
          }
        }
        case "store-out" ->
            Http.post(serving.fleet.platformPort(), "/faults", Map.of("outage", true));
        case "rolling-restart" -> rollingRestart(serving);
        default -> {
          return;
        }
      }
    } catch (IOException e) {
      throw new IllegalStateException("fault could not be injected", e);
    }
  }

  private static void rollingRestart(ServingFleet serving) throws IOException {
    for (int i = 0; i < serving.engineCount; i++) {
      restart(serving, "agent-" + i);
      Fleet.await(
          20,
          () ->
              serving.fleet.countReady(serving.entries.get(0), serving.digest())
                  >= serving.engineCount);
    }
    restart(serving, "pedidos-0");
    for (int i = 0; i < serving.entries.size(); i++) {
      serving.entries.set(i, restart(serving, "entry-" + i));
      Fleet.sleep(4_000);
    }
  }

  private static ChildProcess restart(ServingFleet serving, String id) throws IOException {
    serving.fleet.process(id).stop(60);
    return serving.fleet.restart(id);
  }

  private Report report(
      ServingFleet serving,
      BenchOptions options,
      LoadGenerator load,
      List<CallResult> orderResults,
      double seconds,
      double capacity)
      throws IOException {
    final Map<Outcome, Integer> outcomes = load.outcomes();
    final DurationHistogram firstTokenTimes = new DurationHistogram();
    final DurationHistogram interTokenTimes = new DurationHistogram();
    Map<String, Double> completeByWorkspace = new TreeMap<>();
    Map<String, DurationHistogram> firstTokenByWorkspace = new TreeMap<>();
    for (LoadGenerator.TimedResult timed : load.results()) {
      CallResult result = timed.result();
      firstTokenByWorkspace.computeIfAbsent(result.workspace(), w -> new DurationHistogram());
      if (result.outcome() != Outcome.WHOLE) {
        continue;
      }
      completeByWorkspace.merge(result.workspace(), 1.0, Double::sum);
      if (!result.interTokenMicros().isEmpty()) {
        firstTokenTimes.recordMicros(result.firstTokenMicros());
        firstTokenByWorkspace.get(result.workspace()).recordMicros(result.firstTokenMicros());
        result.interTokenMicros().forEach(interTokenTimes::recordMicros);
      }
    }
    Report report = new Report();
    report.add("fault", options.fault());
    report.add("strategy", options.strategy());
    report.add("requestsPerSecondCapacity", capacity);
    report.add("sent", load.sentCount());
    report.add("answeredWhole", outcomes.get(Outcome.WHOLE));
    report.add("refusedNotRun", outcomes.get(Outcome.NOT_RUN));
    report.add("outcomeUnknown", outcomes.get(Outcome.UNKNOWN));
    report.add("cut", outcomes.get(Outcome.CUT));
    report.add("truncatedOrCrossed", outcomes.get(Outcome.BAD));
    report.add("other", outcomes.get(Outcome.OTHER));
    int ranTwice = 0;
    int refusedButRan = 0;
    JsonNode runs = Http.get(serving.fleet.endpointPort("pedidos-0"), "/runs");
    Iterator<JsonNode> runCounts = runs.elements();
    while (runCounts.hasNext()) {
      ranTwice += runCounts.next().asInt() > 1 ? 1 : 0;
    }
    int ordersAnswered = 0;
    for (int i = 0; i + 1 < orderResults.size(); i += 2) {
      boolean refused =
          orderResults.get(i).outcome() == Outcome.NOT_RUN
              && orderResults.get(i + 1).outcome() == Outcome.NOT_RUN;
      refusedButRan += refused && runs.has("order-" + i / 2) ? 1 : 0;
    }
    for (CallResult result : orderResults) {
      ordersAnswered += result.outcome() == Outcome.WHOLE ? 1 : 0;
    }
    report.add("ordersSent", orderResults.size());
    report.add("ordersAnswered", ordersAnswered);
    report.add("ranTwice", ranTwice);
    report.add("refusedButRan", refusedButRan);
    report.add("jainFairness", jainIndex(completeByWorkspace));
    report.add("firstTokenP50Millis", firstTokenTimes.percentileMillis(50));
    report.add("firstTokenP95Millis", firstTokenTimes.percentileMillis(95));
    report.add("interTokenP95Millis", interTokenTimes.percentileMillis(95));
    report.add(
        "quietFirstTokenP95Millis",
        firstTokenByWorkspace.getOrDefault("andina/ws-5", firstTokenTimes).percentileMillis(95));
    report.add("goodputRatio", countAnsweredWithin(load, seconds) / seconds / capacity);
    return report;
  }

  /** Counts the complete responses that ended while requests were still being sent. */
  private static int countAnsweredWithin(LoadGenerator load, double seconds) {
    int count = 0;
    long startedAt = Long.MAX_VALUE;
    for (LoadGenerator.TimedResult timed : load.results()) {
      startedAt = Math.min(startedAt, timed.sentAt());
    }
    long end = startedAt + (long) (seconds * 1e9);
    for (LoadGenerator.TimedResult timed : load.results()) {
      boolean complete = timed.result().outcome() == Outcome.WHOLE;
      count += complete && timed.sentAt() + timed.result().totalMicros() * 1_000 <= end ? 1 : 0;
    }
    return count;
  }

  /**
   * Returns Jain's fairness index of the complete responses per workspace, divided by its weight.
   */
  private static double jainIndex(Map<String, Double> completeByWorkspace) {
    double sum = 0;
    double squares = 0;
    for (int i = 0; i < ServingFleet.WORKSPACE_WEIGHTS.size(); i++) {
      double normalized =
          completeByWorkspace.getOrDefault(FleetRules.workspaceName(i), 0.0)
              / ServingFleet.WORKSPACE_WEIGHTS.get(i);
      sum += normalized;
      squares += normalized * normalized;
    }
    return squares == 0 ? 0 : sum * sum / (ServingFleet.WORKSPACE_WEIGHTS.size() * squares);
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
