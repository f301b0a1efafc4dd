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

  private static final int TOKENS = 20;
  private static final int CALM_MILLIS = 5_000;
  private static final int OUT_MILLIS = 8_000;
  private static final int CHANGE_MILLIS = 2_000;
  private static final double LOAD = 0.5;

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
      double rate = LOAD * s.capacity(TOKENS);
      int[] shares = {1, 1, 1, 1, 1, 1, 1, 1, 1, 1};
      LiveLoad warm = new LiveLoad(s::port, rate, TOKENS, shares).start();
      Fleet.pause(8_000);
      warm.close();
      final long overBefore = s.sum("overAdmitted");
      final LiveLoad load = new LiveLoad(s::port, rate, TOKENS, shares).start();
      Fleet.pause(CALM_MILLIS);
      final long outAt = System.nanoTime();
      s.fleet.ctl(new StringBuilder(), "out", "d2", "--by", "bench", "--wait", "0");
      final long accepted = System.nanoTime();
      final double lastNew = watchNewWork(s, accepted);
      Fleet.pause(Math.max(0, OUT_MILLIS - (System.nanoTime() - accepted) / 1_000_000));
      final long inAt = System.nanoTime();
      s.fleet.ctl(new StringBuilder(), "in", "d2", "--by", "bench", "--wait", "0");
      Fleet.pause(OUT_MILLIS);
      load.close();
      Samples calm = new Samples();
      Samples changed = new Samples();
      long change = CHANGE_MILLIS * 1_000_000L;
      for (LiveLoad.Timed t : load.results()) {
        if (t.result().outcome() != Outcome.WHOLE || t.result().gapMicros().isEmpty()) {
          continue;
        }
        if (t.at() < outAt) {
          calm.add(t.result().firstMicros());
        } else if (t.at() > accepted + change && (t.at() < inAt || t.at() > inAt + change)) {
          changed.add(t.result().firstMicros());
        }
      }
      Map<Outcome, Integer> outcomes = load.outcomes();
      Report r = new Report();
      r.add("newWorkToOutDomainAfterSeconds", lastNew);
      r.add("sent", load.sent());
      r.add("answeredWhole", outcomes.get(Outcome.WHOLE));
      r.add("refusedNotRun", outcomes.get(Outcome.NOT_RUN));
      r.add("cutOff", outcomes.get(Outcome.CUT) + outcomes.get(Outcome.BAD));
      r.add("outcomeUnknown", outcomes.get(Outcome.UNKNOWN));
      r.add("calmFirstTokenP95Millis", calm.millis(95));
      r.add("changedFirstTokenP95Millis", changed.millis(95));
      r.add("p95RatioToCalm", changed.millis(95) / calm.millis(95));
      r.add("overAdmitted", s.sum("overAdmitted") - overBefore);
      return r;
    }
  }

  /** Returns how long after the acceptance the domain's engines last got new work, in seconds. */
  private static double watchNewWork(ServingFleet s, long accepted) throws IOException {
    List<String> out = new ArrayList<>();
    for (String id : s.fleet.engineIds()) {
      if (Integer.parseInt(id.substring(id.indexOf('-') + 1)) % ServingFleet.DOMAINS == 2) {
        out.add(id);
      }
    }
    long before = -1;
    double last = 0;
    double now = 0;
    while (now < OUT_MILLIS / 2_000.0) {
      now = (System.nanoTime() - accepted) / 1e9;
      long started = 0;
      for (String id : out) {
        started += Http.get(s.fleet.endpointPort(id), "/stats").path("started").asLong();
      }
      last = before >= 0 && started > before ? now : last;
      before = started;
      Fleet.pause(20);
    }
    return last;
  }
}
