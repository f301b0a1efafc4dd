package org.cornelchute.standin.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cornelchute.standin.harness.CallResult.Outcome;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;

/** One failure domain of three leaves and returns under load. */
final class DomainsBench implements Bench {

  private static final int TOKENS_PER_REQUEST = 20;
  private static final int BASELINE_MILLIS = 5_000;
  private static final int PHASE_MILLIS = 8_000;
  private static final int TRANSITION_MILLIS = 2_000;
  private static final double LOAD_FACTOR = 0.5;

  @Override
  public String name() {
    return "domains";
  }

  @Override
  public String summary() {
    return "service while one failure domain of three is taken out and brought back under load";
  }

  @Override
  public Report run(BenchOptions o) throws IOException {
    try (ServingFleet s = new ServingFleet(Math.min(o.replicas(), 9), o.strategy())) {
      double rate = LOAD_FACTOR * s.estimateCapacity(TOKENS_PER_REQUEST);
      int[] shares = {1, 1, 1, 1, 1, 1, 1, 1, 1, 1};
      LoadGenerator warm =
          new LoadGenerator(s::nextEntryPort, rate, TOKENS_PER_REQUEST, shares).start();
      Fleet.sleep(8_000);
      warm.close();
      final long overBefore = s.sumEngineStat("overAdmitted");
      final LoadGenerator load =
          new LoadGenerator(s::nextEntryPort, rate, TOKENS_PER_REQUEST, shares).start();
      Fleet.sleep(BASELINE_MILLIS);
      final long outAt = System.nanoTime();
      s.fleet.runCtl(new StringBuilder(), "out", "d2", "--by", "bench", "--wait", "0");
      final long accepted = System.nanoTime();
      final double lastNew = measureLastNewRequestSeconds(s, accepted);
      Fleet.sleep(Math.max(0, PHASE_MILLIS - (System.nanoTime() - accepted) / 1_000_000));
      final long inAt = System.nanoTime();
      s.fleet.runCtl(new StringBuilder(), "in", "d2", "--by", "bench", "--wait", "0");
      Fleet.sleep(PHASE_MILLIS);
      load.close();
      DurationHistogram calm = new DurationHistogram();
      DurationHistogram changed = new DurationHistogram();
      long change = TRANSITION_MILLIS * 1_000_000L;
      for (LoadGenerator.TimedResult t : load.results()) {
        if (t.result().outcome() != Outcome.WHOLE || t.result().interTokenMicros().isEmpty()) {
          continue;
        }
        if (t.sentAt() < outAt) {
          calm.recordMicros(t.result().firstTokenMicros());
        } else if (t.sentAt() > accepted + change
            && (t.sentAt() < inAt || t.sentAt() > inAt + change)) {
          changed.recordMicros(t.result().firstTokenMicros());
        }
      }
      Map<Outcome, Integer> outcomes = load.outcomes();
      Report r = new Report();
      r.add("newWorkToOutDomainAfterSeconds", lastNew);
      r.add("sent", load.sentCount());
      r.add("answeredWhole", outcomes.get(Outcome.WHOLE));
      r.add("refusedNotRun", outcomes.get(Outcome.NOT_RUN));
      r.add("cutOff", outcomes.get(Outcome.CUT) + outcomes.get(Outcome.BAD));
      r.add("outcomeUnknown", outcomes.get(Outcome.UNKNOWN));
      r.add("calmFirstTokenP95Millis", calm.percentileMillis(95));
      r.add("changedFirstTokenP95Millis", changed.percentileMillis(95));
      r.add("p95RatioToCalm", changed.percentileMillis(95) / calm.percentileMillis(95));
      r.add("overAdmitted", s.sumEngineStat("overAdmitted") - overBefore);
      return r;
    }
  }

  /** Returns how long after the acceptance the domain's engines last got new work, in seconds. */
  private static double measureLastNewRequestSeconds(ServingFleet s, long accepted)
      throws IOException {
    List<String> out = new ArrayList<>();
    for (String id : s.fleet.engineIds()) {
      if (Integer.parseInt(id.substring(id.indexOf('-') + 1)) % ServingFleet.DOMAIN_COUNT == 2) {
        out.add(id);
      }
    }
    long before = -1;
    double last = 0;
    double now = 0;
    while (now < PHASE_MILLIS / 2_000.0) {
      now = (System.nanoTime() - accepted) / 1e9;
      long started = 0;
      for (String id : out) {
        started += Http.get(s.fleet.endpointPort(id), "/stats").path("started").asLong();
      }
      last = before >= 0 && started > before ? now : last;
      before = started;
      Fleet.sleep(20);
    }
    return last;
  }
}
