package org.cornelchute.standin.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cornelchute.standin.harness.CallResult.Outcome;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;

/** Measures the service while one of three failure domains is taken out and brought back. */
final class DomainsBench implements Bench {

  private static final int TOKENS_PER_REQUEST = 20;
  private static final int BASELINE_MILLIS = 5_000;
  private static final int PHASE_MILLIS = 8_000;

  /** Time after each change that is excluded from the latency figures. */
  private static final int TRANSITION_MILLIS = 2_000;

  private static final double LOAD_FACTOR = 0.5;

  @Override
  public String name() {
    return "domains";
  }

  @Override
  public String summary() {
    return "service while one of three failure domains is taken out and brought back under load";
  }

  @Override
  public Report run(BenchOptions options) throws IOException {
    try (ServingFleet serving =
        new ServingFleet(Math.min(options.replicas(), 9), options.strategy())) {
      double rate = LOAD_FACTOR * serving.estimateCapacity(TOKENS_PER_REQUEST);
      int[] shares = {1, 1, 1, 1, 1, 1, 1, 1, 1, 1};
      LoadGenerator warmUp =
          new LoadGenerator(serving::nextEntryPort, rate, TOKENS_PER_REQUEST, shares).start();
      Fleet.sleep(8_000);
      warmUp.close();
      final long overAdmittedBefore = serving.sumEngineStat("overAdmitted");
      final LoadGenerator load =
          new LoadGenerator(serving::nextEntryPort, rate, TOKENS_PER_REQUEST, shares).start();
      Fleet.sleep(BASELINE_MILLIS);
      final long outAt = System.nanoTime();
      serving.fleet.runCtl(new StringBuilder(), "out", "d2", "--by", "bench", "--wait", "0");
      final long acceptedAt = System.nanoTime();
      final double lastNewRequest = measureLastNewRequestSeconds(serving, acceptedAt);
      Fleet.sleep(Math.max(0, PHASE_MILLIS - (System.nanoTime() - acceptedAt) / 1_000_000));
      final long inAt = System.nanoTime();
      serving.fleet.runCtl(new StringBuilder(), "in", "d2", "--by", "bench", "--wait", "0");
      Fleet.sleep(PHASE_MILLIS);
      load.close();
      DurationHistogram baselineTimes = new DurationHistogram();
      DurationHistogram changedTimes = new DurationHistogram();
      long transitionNanos = TRANSITION_MILLIS * 1_000_000L;
      for (LoadGenerator.TimedResult timed : load.results()) {
        if (timed.result().outcome() != Outcome.WHOLE
            || timed.result().interTokenMicros().isEmpty()) {
          continue;
        }
        if (timed.sentAt() < outAt) {
          baselineTimes.recordMicros(timed.result().firstTokenMicros());
        } else if (timed.sentAt() > acceptedAt + transitionNanos
            && (timed.sentAt() < inAt || timed.sentAt() > inAt + transitionNanos)) {
          changedTimes.recordMicros(timed.result().firstTokenMicros());
        }
      }
      Map<Outcome, Integer> outcomes = load.outcomes();
      Report report = new Report();
      report.add("newWorkToOutDomainAfterSeconds", lastNewRequest);
      report.add("sent", load.sentCount());
      report.add("answeredWhole", outcomes.get(Outcome.WHOLE));
      report.add("refusedNotRun", outcomes.get(Outcome.NOT_RUN));
      report.add("cutOff", outcomes.get(Outcome.CUT) + outcomes.get(Outcome.BAD));
      report.add("outcomeUnknown", outcomes.get(Outcome.UNKNOWN));
      report.add("calmFirstTokenP95Millis", baselineTimes.percentileMillis(95));
      report.add("changedFirstTokenP95Millis", changedTimes.percentileMillis(95));
      report.add(
          "p95RatioToCalm", changedTimes.percentileMillis(95) / baselineTimes.percentileMillis(95));
      report.add("overAdmitted", serving.sumEngineStat("overAdmitted") - overAdmittedBefore);
      return report;
    }
  }

  /** Returns the seconds from the acceptance to the last new request in the domain's engines. */
  private static double measureLastNewRequestSeconds(ServingFleet serving, long acceptedAt)
      throws IOException {
    List<String> affectedEngines = new ArrayList<>();
    for (String id : serving.fleet.engineIds()) {
      if (Integer.parseInt(id.substring(id.indexOf('-') + 1)) % ServingFleet.DOMAIN_COUNT == 2) {
        affectedEngines.add(id);
      }
    }
    long startedBefore = -1;
    double lastNewRequest = 0;
    double elapsed = 0;
    while (elapsed < PHASE_MILLIS / 2_000.0) {
      elapsed = (System.nanoTime() - acceptedAt) / 1e9;
      long started = 0;
      for (String id : affectedEngines) {
        started += Http.get(serving.fleet.endpointPort(id), "/stats").path("started").asLong();
      }
      lastNewRequest = startedBefore >= 0 && started > startedBefore ? elapsed : lastNewRequest;
      startedBefore = started;
      Fleet.sleep(20);
    }
    return lastNewRequest;
  }
}
