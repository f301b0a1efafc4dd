package org.cornelchute.standin.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cornelchute.net.platform.OriginClient;
import org.cornelchute.standin.harness.ChildProcess;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;
import org.cornelchute.standin.server.EngineStandin;
import reactor.core.publisher.Flux;

/**
 * Measures the time until all replicas have loaded a version, compared with a lower bound and with
 * the time when every replica reads directly from the origin.
 */
final class WeightsBench implements Bench {

  /** Time in which the link of the origin transfers four copies, and the link of a VM two. */
  private static final double DEADLINE_SECONDS = 16;

  private static final int BYTES_PER_MEBIBYTE = 1 << 20;
  private static final int CHUNK_COUNT = 128;
  private static final int TIMEOUT_SECONDS = 120;
  private static final int BASELINE_DIVISOR = 32;
  private static final EngineStandin.Options ENGINE_OPTIONS =
      new EngineStandin.Options(1_000, 1, 2, 16, 2, 0, 500, true, true);

  @Override
  public String name() {
    return "weights";
  }

  @Override
  public String summary() {
    return "time until all replicas hold a version, copies read from the origin, ratio to the lower"
        + " bound";
  }

  @Override
  public Report run(BenchOptions options) throws IOException {
    int replicaCount = options.replicas();
    int totalBytes = options.megabytes() * BYTES_PER_MEBIBYTE;
    long originBytesPerSecond = (long) (4 * totalBytes / DEADLINE_SECONDS);
    long linkBytesPerSecond = (long) (2 * totalBytes / DEADLINE_SECONDS);
    try (Fleet fleet = new Fleet(originBytesPerSecond)) {
      final ChildProcess entry = fleet.startEntry("entry-1", "r0", "d0", Map.of());
      Map<String, Integer> replicas = new LinkedHashMap<>();
      for (int i = 0; i < replicaCount; i++) {
        String domain = "d" + i % options.regions();
        replicas.merge(domain, 1, Integer::sum);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("linkBytesPerSecond", linkBytesPerSecond);
        settings.put("originRegion", "r0");
        settings.put("heap", (64 + 4 * options.megabytes()) + "m");
        if (options.importers() > 0) {
          settings.put("importers", options.importers());
        }
        fleet.startEngine(
            "agent-" + i, "r" + i % options.regions(), domain, ENGINE_OPTIONS, settings);
      }
      fleet.awaitStarted(60);
      Fleet.await(30, () -> memberCount(entry) == replicaCount + 1);
      String digest =
          fleet
              .publish(
                  "model="
                      + FleetRules.MODEL
                      + "&version=v1&bytes="
                      + totalBytes
                      + "&chunkBytes="
                      + totalBytes / CHUNK_COUNT)
              .path("digest")
              .asText();
      final String warmUpDigest = warmUp(fleet, replicas, replicaCount);
      final long originBytesBefore = Http.get(fleet.originPort(), "/stats").path("bytes").asLong();
      final long startedAt = System.nanoTime();
      Thread applyThread =
          new Thread(
              () ->
                  applyRules(
                      fleet, FleetRules.placementRules("v1", replicas, replicaCount, List.of(10))));
      applyThread.start();
      WeightsFaults faults = new WeightsFaults(fleet, options, warmUpDigest);
      Progress progress =
          trackProgress(
              fleet, digest, replicaCount, startedAt, faults, totalBytes, originBytesBefore);
      final Report report = report(fleet, options, progress, totalBytes, faults, originBytesBefore);
      report.add("warmedUp", !warmUpDigest.isEmpty());
      report.add("baselineSecondsToAll", measureBaselineSeconds(fleet, digest, replicaCount));
      return report;
    }
  }

  /** Places a small version first, so that the agents are warmed up when the measurement starts. */
  private static String warmUp(Fleet fleet, Map<String, Integer> replicas, int replicaCount)
      throws IOException {
    String digest =
        fleet
            .publish("model=" + FleetRules.MODEL + "&version=v0&bytes=131072&chunkBytes=1024")
            .path("digest")
            .asText();
    applyRules(fleet, FleetRules.placementRules("v0", replicas, replicaCount, List.of(10)));
    return Fleet.await(60, () -> fleet.countLoaded(digest) == replicaCount) ? digest : "";
  }

  private static void applyRules(Fleet fleet, String rules) {
    try {
      fleet.applyRules(new StringBuilder(), rules);
    } catch (IOException e) {
      throw new IllegalStateException("rules could not be applied", e);
    }
  }

  /**
   * Returns the estimated time when every replica reads directly from the origin. Only a fraction
   * of the chunks is read, and the time is scaled up.
   */
  private static double measureBaselineSeconds(Fleet fleet, String digest, int replicaCount) {
    OriginClient origin = new OriginClient("http://127.0.0.1:" + fleet.originPort());
    List<String> chunks = origin.fetchManifest(FleetRules.MODEL, "v1").block().get().chunks();
    List<String> sampledChunks = chunks.subList(0, chunks.size() / BASELINE_DIVISOR);
    final long startedAt = System.nanoTime();
    Flux.range(0, replicaCount)
        .flatMap(i -> Flux.fromIterable(sampledChunks).concatMap(origin::fetchChunk), replicaCount)
        .then()
        .block();
    return secondsSince(startedAt) * BASELINE_DIVISOR;
  }

  private static Progress trackProgress(
      Fleet fleet,
      String initialDigest,
      int replicaCount,
      long startedAt,
      WeightsFaults faults,
      int totalBytes,
      long originBytesBefore)
      throws IOException {
    Progress progress = new Progress();
    String digest = initialDigest;
    while (progress.allLoadedSeconds == 0 && secondsSince(startedAt) < TIMEOUT_SECONDS) {
      digest = faults.injectDueFault(secondsSince(startedAt), digest, totalBytes);
      int loadedCount = fleet.countLoaded(digest);
      int expectedCount = replicaCount - faults.killedCount();
      double now = secondsSince(startedAt);
      if (progress.firstReadSeconds == 0 && hasOriginSentBytesSince(fleet, originBytesBefore)) {
        progress.firstReadSeconds = now;
      }
      if (progress.halfLoadedSeconds == 0 && loadedCount * 2 >= expectedCount) {
        progress.halfLoadedSeconds = now;
      }
      if (progress.percent95LoadedSeconds == 0 && loadedCount >= Math.ceil(expectedCount * 0.95)) {
        progress.percent95LoadedSeconds = now;
      }
      if (loadedCount >= expectedCount && faults.isDone()) {
        progress.allLoadedSeconds = now;
      }
      progress.loadedCount = loadedCount;
      Fleet.sleep(50);
    }
    return progress;
  }

  private Report report(
      Fleet fleet,
      BenchOptions options,
      Progress progress,
      int totalBytes,
      WeightsFaults faults,
      long originBytesBefore)
      throws IOException {
    int replicaCount = options.replicas();
    final double deadline = DEADLINE_SECONDS;
    final double lowerBound =
        Math.max(deadline / 2, replicaCount * deadline / (4 + 2 * replicaCount));
    double elapsed = progress.allLoadedSeconds - progress.firstReadSeconds;
    Report report = new Report();
    report.add("replicas", replicaCount);
    report.add("regions", options.regions());
    report.add("fault", options.fault());
    report.add("megabytes", options.megabytes());
    report.add("replicasHolding", progress.loadedCount);
    report.add("secondsToHalf", progress.halfLoadedSeconds - progress.firstReadSeconds);
    report.add("secondsTo95Percent", progress.percent95LoadedSeconds - progress.firstReadSeconds);
    report.add("secondsToAll", elapsed);
    report.add("secondsFromApply", progress.allLoadedSeconds);
    report.add("secondsLowerBound", lowerBound);
    report.add("ratio", elapsed / lowerBound);
    JsonNode originStats = Http.get(fleet.originPort(), "/stats");
    report.add(
        "originCopies", (originStats.path("bytes").asDouble() - originBytesBefore) / totalBytes);
    report.add("mixedOrPartialServed", countUnpublishedManifests(fleet, faults));
    double residentMegabytes = 0;
    double cpuSeconds = 0;
    List<ChildProcess> agents = new ArrayList<>();
    for (ChildProcess child : fleet.processes()) {
      if (child.callerPort() == 0 && child.process().isAlive()) {
        agents.add(child);
      }
    }
    for (ChildProcess agent : agents) {
      residentMegabytes += agent.residentBytes() / 1e6 / agents.size();
      cpuSeconds += agent.cpuMillis() / 1e3 / agents.size();
    }
    report.add("agentResidentMegabytes", residentMegabytes);
    report.add("agentCpuSeconds", cpuSeconds);
    return report;
  }

  /** Counts the engines whose loaded manifest is not that of a published version. */
  private static int countUnpublishedManifests(Fleet fleet, WeightsFaults faults)
      throws IOException {
    int unpublishedCount = 0;
    for (String id : fleet.engineIds()) {
      String loadedDigest = Http.get(fleet.endpointPort(id), "/stats").path("manifest").asText();
      unpublishedCount += loadedDigest.isEmpty() || faults.isPublished(loadedDigest) ? 0 : 1;
    }
    return unpublishedCount;
  }

  private static boolean hasOriginSentBytesSince(Fleet fleet, long originBytesBefore)
      throws IOException {
    return Http.get(fleet.originPort(), "/stats").path("bytes").asLong() > originBytesBefore;
  }

  private static int memberCount(ChildProcess entry) {
    try {
      return Http.get(entry.operatorPort(), "/members").size();
    } catch (IOException e) {
      return 0;
    }
  }

  private static double secondsSince(long startedAt) {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  /** Times of one run, in seconds since the rules were applied. */
  private static final class Progress {
    private double firstReadSeconds;
    private double halfLoadedSeconds;
    private double percent95LoadedSeconds;
    private double allLoadedSeconds;
    private int loadedCount;
  }
}
