package org.cornelchute.standin.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import org.cornelchute.standin.harness.ChildProcess;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;

/**
 * Measures the CPU time, memory, network traffic and store accesses that membership and rules cost
 * daemons that serve no requests.
 */
final class ControlBench implements Bench {

  private static final int SETTLE_MILLIS = 8_000;
  private static final int DETECTION_TIMEOUT_SECONDS = 30;

  @Override
  public String name() {
    return "control";
  }

  @Override
  public String summary() {
    return "CPU time, memory, bytes and store reads of the control plane; time to detect a"
        + " killed daemon";
  }

  @Override
  public Report run(BenchOptions options) throws IOException {
    try (Fleet fleet = new Fleet(0)) {
      fleet.startIdleEntries(options.daemons());
      fleet.applyRules(new StringBuilder(), "weight a 1 # asked: bench\n");
      Fleet.await(30, () -> allMembersKnown(fleet, options.daemons()));
      Fleet.sleep(SETTLE_MILLIS);
      final Totals before = readTotals(fleet);
      final long startedAt = System.nanoTime();
      Fleet.sleep(options.seconds() * 1_000L);
      final Totals after = readTotals(fleet);
      final double seconds = (System.nanoTime() - startedAt) / 1e9;
      int daemons = options.daemons();
      Report report = new Report();
      report.add("daemons", daemons);
      report.add(
          "corePercentPerDaemon", (after.cpuMillis - before.cpuMillis) / 10.0 / seconds / daemons);
      report.add("residentMegabytes", after.residentBytes / 1e6 / daemons);
      report.add("controlHeapMegabytes", after.heapBytes / 1e6 / daemons);
      report.add(
          "bytesPerSecondPerDaemon", (after.sentBytes - before.sentBytes) / seconds / daemons);
      report.add(
          "bytesReceivedPerSecondPerDaemon",
          (after.receivedBytes - before.receivedBytes) / seconds / daemons);
      report.add("storeReadsPerSecond", (after.storeReads - before.storeReads) / seconds);
      report.add("storeWritesPerSecond", (after.storeWrites - before.storeWrites) / seconds);
      report.add("detectionSeconds", measureDetectionSeconds(fleet, daemons));
      return report;
    }
  }

  /** Kills one daemon and returns the time until every other daemon has removed it. */
  private static double measureDetectionSeconds(Fleet fleet, int daemons) {
    List<ChildProcess> processes = fleet.processes();
    processes.get(daemons - 1).kill();
    long killedAt = System.nanoTime();
    Fleet.await(
        DETECTION_TIMEOUT_SECONDS,
        () ->
            processes.subList(0, daemons - 1).stream()
                .allMatch(c -> memberCount(c) == daemons - 1));
    return (System.nanoTime() - killedAt) / 1e9;
  }

  private static boolean allMembersKnown(Fleet fleet, int daemons) {
    return fleet.processes().stream().allMatch(c -> memberCount(c) == daemons);
  }

  private static int memberCount(ChildProcess child) {
    try {
      return Http.get(child.operatorPort(), "/metrics").path("members.count").asInt();
    } catch (IOException e) {
      return 0;
    }
  }

  private static Totals readTotals(Fleet fleet) throws IOException {
    Totals totals = new Totals();
    for (ChildProcess child : fleet.processes()) {
      JsonNode metrics = Http.get(child.operatorPort(), "/metrics");
      totals.cpuMillis += metrics.path("process.cpu.millis").asLong();
      totals.heapBytes += metrics.path("process.heap.bytes").asLong();
      totals.sentBytes += metrics.path("datagrams.sent.bytes").asLong();
      totals.receivedBytes += metrics.path("datagrams.received.bytes").asLong();
      totals.residentBytes += child.residentBytes();
    }
    JsonNode store = Http.get(fleet.platformPort(), "/stats");
    totals.storeReads = store.path("reads").asLong();
    totals.storeWrites = store.path("writes").asLong();
    return totals;
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
