package org.cornelchute.standin.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import org.cornelchute.standin.harness.ChildProcess;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;

/** What members and rules cost a daemon that serves nothing: processor, memory, bytes, reads. */
final class ControlBench implements Bench {

  private static final int SETTLE_MILLIS = 8_000;
  private static final int DETECTION_TIMEOUT_SECONDS = 30;

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
      fleet.applyRules(new StringBuilder(), "weight a 1 # asked: bench\n");
      Fleet.await(30, () -> allMembersKnown(fleet, o.daemons()));
      Fleet.sleep(SETTLE_MILLIS);
      final Totals before = readTotals(fleet);
      final long begun = System.nanoTime();
      Fleet.sleep(o.seconds() * 1_000L);
      final Totals after = readTotals(fleet);
      final double seconds = (System.nanoTime() - begun) / 1e9;
      int n = o.daemons();
      Report r = new Report();
      r.add("daemons", n);
      r.add("corePercentPerDaemon", (after.cpuMillis - before.cpuMillis) / 10.0 / seconds / n);
      r.add("residentMegabytes", after.residentBytes / 1e6 / n);
      r.add("controlHeapMegabytes", after.heapBytes / 1e6 / n);
      r.add("bytesPerSecondPerDaemon", (after.sentBytes - before.sentBytes) / seconds / n);
      r.add(
          "bytesReceivedPerSecondPerDaemon",
          (after.receivedBytes - before.receivedBytes) / seconds / n);
      r.add("storeReadsPerSecond", (after.storeReads - before.storeReads) / seconds);
      r.add("storeWritesPerSecond", (after.storeWrites - before.storeWrites) / seconds);
      r.add("detectionSeconds", measureDetectionSeconds(fleet, n));
      return r;
    }
  }

  /** Kills one daemon and waits until no other counts it. */
  private static double measureDetectionSeconds(Fleet fleet, int n) {
    List<ChildProcess> children = fleet.processes();
    children.get(n - 1).kill();
    long begun = System.nanoTime();
    Fleet.await(
        DETECTION_TIMEOUT_SECONDS,
        () -> children.subList(0, n - 1).stream().allMatch(c -> memberCount(c) == n - 1));
    return (System.nanoTime() - begun) / 1e9;
  }

  private static boolean allMembersKnown(Fleet fleet, int n) {
    return fleet.processes().stream().allMatch(c -> memberCount(c) == n);
  }

  private static int memberCount(ChildProcess c) {
    try {
      return Http.get(c.operatorPort(), "/metrics").path("members.count").asInt();
    } catch (IOException e) {
      return 0;
    }
  }

  private static Totals readTotals(Fleet fleet) throws IOException {
    Totals t = new Totals();
    for (ChildProcess c : fleet.processes()) {
      JsonNode m = Http.get(c.operatorPort(), "/metrics");
      t.cpuMillis += m.path("process.cpu.millis").asLong();
      t.heapBytes += m.path("process.heap.bytes").asLong();
      t.sentBytes += m.path("datagrams.sent.bytes").asLong();
      t.receivedBytes += m.path("datagrams.received.bytes").asLong();
      t.residentBytes += c.residentBytes();
    }
    JsonNode store = Http.get(fleet.platformPort(), "/stats");
    t.storeReads = store.path("reads").asLong();
    t.storeWrites = store.path("writes").asLong();
    return t;
  }

  private static final class Totals {
    private long cpuMillis;
    private long heapBytes;
    private long sentBytes;
    private long receivedBytes;
    private long residentBytes;
    private long storeReads;
    private long storeWrites;
  }
}
