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

/** Live requests through two entries to eight endpoints: outcomes, fairness, latency, goodput. */
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
  public Report run(BenchOptions o) throws IOException {
    try (ServingFleet s = new ServingFleet(Math.min(o.replicas(), 8), o.strategy())) {
      double capacity = s.estimateCapacity(TOKENS_PER_REQUEST);
      boolean over = o.fault().equals("overload") || o.fault().equals("flood");
      warmUp(s, capacity);
      final double measured = measureCapacity(s, capacity);
      final long overBefore = s.sumEngineStat("overAdmitted");
      final long hitsBefore = s.sumEngineStat("cacheHits");
      final long startedBefore = s.sumEngineStat("started");
      double rate = over ? 2 * measured : 0.8 * measured;
      LoadGenerator load =
          new LoadGenerator(s::nextEntryPort, rate, TOKENS_PER_REQUEST, requestShares(o)).start();
      final long begun = System.nanoTime();
      List<CallResult> orders = new ArrayList<>();
      Thread fault = new Thread(() -> injectFault(s, o.fault()), "fault");
      fault.start();
      while ((System.nanoTime() - begun) / 1e9 < o.seconds()) {
        s.checkHealth();
        if (orders.size() < MAX_ORDER_REQUESTS) {
          sendOrder(s, orders);
        }
        Fleet.sleep(100);
      }
      load.close();
      final double seconds = (System.nanoTime() - begun) / 1e9;
      join(fault);
      Report r = report(s, o, load, orders, Math.min(seconds, o.seconds()), measured);
      r.add("overAdmitted", s.sumEngineStat("overAdmitted") - overBefore);
      long started = s.sumEngineStat("started") - startedBefore;
      r.add(
          "cacheHitShare",
          (s.sumEngineStat("cacheHits") - hitsBefore) / (double) Math.max(1, started));
      return r;
    }
  }

  private static int[] requestShares(BenchOptions o) {
    int[] shares = new int[ServingFleet.WORKSPACE_WEIGHTS.size()];
    for (int i = 0; i < shares.length; i++) {
      shares[i] = ServingFleet.WORKSPACE_WEIGHTS.get(i);
    }
    if (o.fault().equals("flood")) {
      shares[2] *= 30;
    }
    return shares;
  }

  private static void warmUp(ServingFleet s, double capacity) {
    LoadGenerator warm =
        new LoadGenerator(s::nextEntryPort, 0.7 * capacity, TOKENS_PER_REQUEST, 1).start();
    Fleet.sleep(WARM_UP_SECONDS * 1_000L);
    warm.close();
  }

  /** Measures what the fleet answers a second when it is kept just full. */
  private static double measureCapacity(ServingFleet s, double estimate) {
    LoadGenerator load =
        new LoadGenerator(s::nextEntryPort, 1.3 * estimate, TOKENS_PER_REQUEST, 1).start();
    Fleet.sleep(1_500);
    int before = load.outcomes().get(Outcome.WHOLE);
    Fleet.sleep(4_000);
    int after = load.outcomes().get(Outcome.WHOLE);
    load.close();
    return (after - before) / 4.0;
  }

  private void sendOrder(ServingFleet s, List<CallResult> orders) {
    String id = "order-" + orders.size() / 2;
    // Each order is sent twice under one key, through both entries in turn.
    CallResult r =
        new Caller()
            .callService(
                s.nextEntryPort(),
                FleetRules.workspaceName(2),
                "POST",
                "/services/pedidos/confirm",
                id,
                "key-" + id,
                id)
            .block();
    orders.add(r);
  }

  private void injectFault(ServingFleet s, String fault) {
    try {
      Fleet.sleep(2_000);
      switch (fault) {
        case "agent-killed" -> {
          s.fleet.process("agent-0").kill();
          Fleet.sleep(1_000);
          s.fleet.restart("agent-0");
        }
        case "entry-killed" -> {
          ChildProcess c = s.entries.get(1);
          c.kill();
          s.checkHealth();
          s.entries.set(1, s.fleet.restart("entry-1"));
        }
        case "turn-cold" -> {
          for (String id : s.fleet.engineIds()) {
            Http.post(s.fleet.endpointPort(id), "/turn-cold", Map.of());
            Fleet.sleep(500);
          }
        }
        case "store-out" -> Http.post(s.fleet.platformPort(), "/faults", Map.of("outage", true));
        case "rolling-restart" -> rollingRestart(s);
        default -> {
          return;
        }
      }
    } catch (IOException e) {
      throw new IllegalStateException("fault could not be provoked", e);
    }
  }

  private static void rollingRestart(ServingFleet s) throws IOException {
    for (int i = 0; i < s.engineCount; i++) {
      restart(s, "agent-" + i);
      Fleet.await(20, () -> s.fleet.countReady(s.entries.get(0), s.digest()) >= s.engineCount);
    }
    restart(s, "pedidos-0");
    for (int i = 0; i < s.entries.size(); i++) {
      s.entries.set(i, restart(s, "entry-" + i));
      Fleet.sleep(4_000);
    }
  }

  private static ChildProcess restart(ServingFleet s, String id) throws IOException {
    s.fleet.process(id).stop(60);
    return s.fleet.restart(id);
  }

  private Report report(
      ServingFleet s,
      BenchOptions o,
      LoadGenerator load,
      List<CallResult> orders,
      double seconds,
      double capacity)
      throws IOException {
    final Map<Outcome, Integer> outcomes = load.outcomes();
    final DurationHistogram first = new DurationHistogram();
    final DurationHistogram gaps = new DurationHistogram();
    Map<String, Double> tokens = new TreeMap<>();
    Map<String, DurationHistogram> waits = new TreeMap<>();
    for (LoadGenerator.TimedResult t : load.results()) {
      CallResult c = t.result();
      waits.computeIfAbsent(c.workspace(), w -> new DurationHistogram());
      if (c.outcome() != Outcome.WHOLE) {
        continue;
      }
      tokens.merge(c.workspace(), 1.0, Double::sum);
      if (!c.interTokenMicros().isEmpty()) {
        first.recordMicros(c.firstTokenMicros());
        waits.get(c.workspace()).recordMicros(c.firstTokenMicros());
        c.interTokenMicros().forEach(gaps::recordMicros);
      }
    }
    Report r = new Report();
    r.add("fault", o.fault());
    r.add("strategy", o.strategy());
    r.add("requestsPerSecondCapacity", capacity);
    r.add("sent", load.sentCount());
    r.add("answeredWhole", outcomes.get(Outcome.WHOLE));
    r.add("refusedNotRun", outcomes.get(Outcome.NOT_RUN));
    r.add("outcomeUnknown", outcomes.get(Outcome.UNKNOWN));
    r.add("cut", outcomes.get(Outcome.CUT));
    r.add("truncatedOrCrossed", outcomes.get(Outcome.BAD));
    r.add("other", outcomes.get(Outcome.OTHER));
    int ranTwice = 0;
    int refusedButRan = 0;
    JsonNode runs = Http.get(s.fleet.endpointPort("pedidos-0"), "/runs");
    Iterator<JsonNode> each = runs.elements();
    while (each.hasNext()) {
      ranTwice += each.next().asInt() > 1 ? 1 : 0;
    }
    int ordersWhole = 0;
    for (int i = 0; i + 1 < orders.size(); i += 2) {
      boolean refused =
          orders.get(i).outcome() == Outcome.NOT_RUN
              && orders.get(i + 1).outcome() == Outcome.NOT_RUN;
      refusedButRan += refused && runs.has("order-" + i / 2) ? 1 : 0;
    }
    for (CallResult c : orders) {
      ordersWhole += c.outcome() == Outcome.WHOLE ? 1 : 0;
    }
    r.add("ordersSent", orders.size());
    r.add("ordersAnswered", ordersWhole);
    r.add("ranTwice", ranTwice);
    r.add("refusedButRan", refusedButRan);
    r.add("jainFairness", jainIndex(tokens));
    r.add("firstTokenP50Millis", first.percentileMillis(50));
    r.add("firstTokenP95Millis", first.percentileMillis(95));
    r.add("interTokenP95Millis", gaps.percentileMillis(95));
    r.add(
        "quietFirstTokenP95Millis", waits.getOrDefault("andina/ws-5", first).percentileMillis(95));
    r.add("goodputRatio", countAnsweredWithin(load, seconds) / seconds / capacity);
    return r;
  }

  /** Counts whole answers that ended while requests were still being sent. */
  private static int countAnsweredWithin(LoadGenerator load, double seconds) {
    int n = 0;
    long begun = Long.MAX_VALUE;
    for (LoadGenerator.TimedResult t : load.results()) {
      begun = Math.min(begun, t.sentAt());
    }
    long end = begun + (long) (seconds * 1e9);
    for (LoadGenerator.TimedResult t : load.results()) {
      boolean whole = t.result().outcome() == Outcome.WHOLE;
      n += whole && t.sentAt() + t.result().totalMicros() * 1_000 <= end ? 1 : 0;
    }
    return n;
  }

  /** Jain's index over the workspaces' service divided by their weights. */
  private static double jainIndex(Map<String, Double> served) {
    double sum = 0;
    double squares = 0;
    for (int i = 0; i < ServingFleet.WORKSPACE_WEIGHTS.size(); i++) {
      double x =
          served.getOrDefault(FleetRules.workspaceName(i), 0.0)
              / ServingFleet.WORKSPACE_WEIGHTS.get(i);
      sum += x;
      squares += x * x;
    }
    return squares == 0 ? 0 : sum * sum / (ServingFleet.WORKSPACE_WEIGHTS.size() * squares);
  }

  private static void join(Thread t) {
    try {
      t.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
