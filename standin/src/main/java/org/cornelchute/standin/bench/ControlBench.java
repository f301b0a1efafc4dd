package org.cornelchute.standin.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import org.cornelchute.standin.harness.Child;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;

/** What members and rules cost a daemon that serves nothing: processor, memory, bytes, reads. */
final class ControlBench implements Bench {

  private static final int SETTLE_MILLIS = 8_000;
  private static final int DETECT_SECONDS = 30;

  @Override
  public String name() {
    return "control";
  }

  @Override
  public String summary() {
    return "processor time, memory, bytes and store reads that control costs; time to detect a"
        + " killed daemon";
  }

  @Override
  public Report run(BenchOptions o) throws IOException {
    try (Fleet fleet = new Fleet(0)) {
      fleet.startIdleEntries(o.daemons());
      fleet.apply(new StringBuilder(), "weight a 1 # asked: bench\n");
      Fleet.await(30, () -> allKnow(fleet, o.daemons()));
      Fleet.pause(SETTLE_MILLIS);
      final Totals before = totals(fleet);
      final long begun = System.nanoTime();
      Fleet.pause(o.seconds() * 1_000L);
      final Totals after = totals(fleet);
      final double seconds = (System.nanoTime() - begun) / 1e9;
      int n = o.daemons();
      Report r = new Report();
      r.add("daemons", n);
      r.add("corePercentPerDaemon", (after.cpu - before.cpu) / 10.0 / seconds / n);
      r.add("residentMegabytes", after.resident / 1e6 / n);
      r.add("controlHeapMegabytes", after.heap / 1e6 / n);
      r.add("bytesPerSecondPerDaemon", (after.sent - before.sent) / seconds / n);
      r.add("bytesReceivedPerSecondPerDaemon", (after.received - before.received) / seconds / n);
      r.add("storeReadsPerSecond", (after.reads - before.reads) / seconds);
      r.add("storeWritesPerSecond", (after.writes - before.writes) / seconds);
      r.add("detectionSeconds", detection(fleet, n));
      return r;
    }
  }

  /** Kills one daemon and waits until no other counts it. */
  private static double detection(Fleet fleet, int n) {
    List<Child> children = fleet.children();
    children.get(n - 1).kill();
    long begun = System.nanoTime();
    Fleet.await(
        DETECT_SECONDS, () -> children.subList(0, n - 1).stream().allMatch(c -> count(c) == n - 1));
    return (System.nanoTime() - begun) / 1e9;
  }

  private static boolean allKnow(Fleet fleet, int n) {
    return fleet.children().stream().allMatch(c -> count(c) == n);
  }

  private static int count(Child c) {
    try {
      return Http.get(c.operatorPort(), "/metrics").path("members.count").asInt();
    } catch (IOException e) {
      return 0;
    }
  }

  private static Totals totals(Fleet fleet) throws IOException {
    Totals t = new Totals();
    for (Child c : fleet.children()) {
      JsonNode m = Http.get(c.operatorPort(), "/metrics");
      t.cpu += m.path("process.cpu.millis").asLong();
      t.heap += m.path("process.heap.bytes").asLong();
      t.sent += m.path("datagrams.sent.bytes").asLong();
      t.received += m.path("datagrams.received.bytes").asLong();
      t.resident += c.residentBytes();
    }
    JsonNode store = Http.get(fleet.platformPort(), "/stats");
    t.reads = store.path("reads").asLong();
    t.writes = store.path("writes").asLong();
    return t;
  }

  private static final class Totals {
    private long cpu;
    private long heap;
    private long sent;
    private long received;
    private long resident;
    private long reads;
    private long writes;
  }
}
