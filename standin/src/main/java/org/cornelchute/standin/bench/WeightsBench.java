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
 * Time until N replicas hold a version, against the least possible time and against everyone
 * reading straight from the origin.
 */
final class WeightsBench implements Bench {

  /** Time in which the origin's link carries four copies and a VM's link two. */
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
    return "time until N replicas hold a version, copies read from the origin, ratio to the bound";
  }

  @Override
  public Report run(BenchOptions o) throws IOException {
    int n = o.replicas();
    int size = o.megabytes() * BYTES_PER_MEBIBYTE;
    long origin = (long) (4 * size / DEADLINE_SECONDS);
    long link = (long) (2 * size / DEADLINE_SECONDS);
    try (Fleet fleet = new Fleet(origin)) {
      final ChildProcess entry = fleet.startEntry("entry-1", "r0", "d0", Map.of());
      Map<String, Integer> replicas = new LinkedHashMap<>();
      for (int i = 0; i < n; i++) {
        String domain = "d" + i % o.regions();
        replicas.merge(domain, 1, Integer::sum);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("linkBytesPerSecond", link);
        settings.put("originRegion", "r0");
        settings.put("heap", (64 + 4 * o.megabytes()) + "m");
        if (o.importers() > 0) {
          settings.put("importers", o.importers());
        }
        fleet.startEngine("agent-" + i, "r" + i % o.regions(), domain, ENGINE_OPTIONS, settings);
      }
      fleet.awaitStarted(60);
      Fleet.await(30, () -> memberCount(entry) == n + 1);
      String digest =
          fleet
              .publish(
                  "model="
                      + FleetRules.MODEL
                      + "&version=v1&bytes="
                      + size
                      + "&chunkBytes="
                      + size / CHUNK_COUNT)
              .path("digest")
              .asText();
      final String warm = warmUp(fleet, replicas, n);
      final long before = Http.get(fleet.originPort(), "/stats").path("bytes").asLong();
      final long begun = System.nanoTime();
      Thread apply =
          new Thread(
              () -> applyRules(fleet, FleetRules.placementRules("v1", replicas, n, List.of(10))));
      apply.start();
      WeightsFaults faults = new WeightsFaults(fleet, o, warm);
      Progress p = trackProgress(fleet, digest, n, begun, faults, size, before);
      final Report r = report(fleet, o, p, size, faults, before);
      r.add("warmedUp", !warm.isEmpty());
      r.add("baselineSecondsToAll", measureBaselineSeconds(fleet, digest, n));
      return r;
    }
  }

  /** Places a small version first, so that the agents are running ones and not just started. */
  private static String warmUp(Fleet fleet, Map<String, Integer> replicas, int n)
      throws IOException {
    String digest =
        fleet
            .publish("model=" + FleetRules.MODEL + "&version=v0&bytes=131072&chunkBytes=1024")
            .path("digest")
            .asText();
    applyRules(fleet, FleetRules.placementRules("v0", replicas, n, List.of(10)));
    return Fleet.await(60, () -> fleet.countLoaded(digest) == n) ? digest : "";
  }

  private static void applyRules(Fleet fleet, String rules) {
    try {
      fleet.applyRules(new StringBuilder(), rules);
    } catch (IOException e) {
      throw new IllegalStateException("the rules could not be applied", e);
    }
  }

  /** Lets every replica read a share of the chunks straight from the origin, and scales up. */
  private static double measureBaselineSeconds(Fleet fleet, String digest, int n) {
    OriginClient origin = new OriginClient("http://127.0.0.1:" + fleet.originPort());
    List<String> chunks = origin.fetchManifest(FleetRules.MODEL, "v1").block().get().chunks();
    List<String> share = chunks.subList(0, chunks.size() / BASELINE_DIVISOR);
    final long begun = System.nanoTime();
    Flux.range(0, n)
        .flatMap(i -> Flux.fromIterable(share).concatMap(origin::fetchChunk), n)
        .then()
        .block();
    return secondsSince(begun) * BASELINE_DIVISOR;
  }

  private static Progress trackProgress(
      Fleet fleet, String first, int n, long begun, WeightsFaults faults, int size, long before)
      throws IOException {
    Progress p = new Progress();
    String digest = first;
    while (p.allLoadedSeconds == 0 && secondsSince(begun) < TIMEOUT_SECONDS) {
      digest = faults.injectDueFault(secondsSince(begun), digest, size);
      int loaded = fleet.countLoaded(digest);
      int wanted = n - faults.killedCount();
      double now = secondsSince(begun);
      if (p.firstReadSeconds == 0 && originReadsSince(fleet, before)) {
        p.firstReadSeconds = now;
      }
      if (p.halfLoadedSeconds == 0 && loaded * 2 >= wanted) {
        p.halfLoadedSeconds = now;
      }
      if (p.percent95LoadedSeconds == 0 && loaded >= Math.ceil(wanted * 0.95)) {
        p.percent95LoadedSeconds = now;
      }
      if (loaded >= wanted && faults.isDone()) {
        p.allLoadedSeconds = now;
      }
      p.loadedCount = loaded;
      Fleet.sleep(50);
    }
    return p;
  }

  private Report report(
      Fleet fleet, BenchOptions o, Progress p, int size, WeightsFaults faults, long before)
      throws IOException {
    int n = o.replicas();
    final double t = DEADLINE_SECONDS;
    final double bound = Math.max(t / 2, n * t / (4 + 2 * n));
    double elapsed = p.allLoadedSeconds - p.firstReadSeconds;
    Report r = new Report();
    r.add("replicas", n);
    r.add("regions", o.regions());
    r.add("fault", o.fault());
    r.add("megabytes", o.megabytes());
    r.add("replicasHolding", p.loadedCount);
    r.add("secondsToHalf", p.halfLoadedSeconds - p.firstReadSeconds);
    r.add("secondsTo95Percent", p.percent95LoadedSeconds - p.firstReadSeconds);
    r.add("secondsToAll", elapsed);
    r.add("secondsFromApply", p.allLoadedSeconds);
    r.add("secondsLowerBound", bound);
    r.add("ratio", elapsed / bound);
    JsonNode origin = Http.get(fleet.originPort(), "/stats");
    r.add("originCopies", (origin.path("bytes").asDouble() - before) / size);
    r.add("mixedOrPartialServed", countUnpublishedManifests(fleet, faults));
    double resident = 0;
    double cpu = 0;
    List<ChildProcess> agents = new ArrayList<>();
    for (ChildProcess c : fleet.processes()) {
      if (c.callerPort() == 0 && c.process().isAlive()) {
        agents.add(c);
      }
    }
    for (ChildProcess c : agents) {
      resident += c.residentBytes() / 1e6 / agents.size();
      cpu += c.cpuMillis() / 1e3 / agents.size();
    }
    r.add("agentResidentMegabytes", resident);
    r.add("agentCpuSeconds", cpu);
    return r;
  }

  /** Counts engines that hold anything but a version that the origin published. */
  private static int countUnpublishedManifests(Fleet fleet, WeightsFaults faults)
      throws IOException {
    int mixed = 0;
    for (String id : fleet.engineIds()) {
      String held = Http.get(fleet.endpointPort(id), "/stats").path("manifest").asText();
      mixed += held.isEmpty() || faults.publishedDigests(held) ? 0 : 1;
    }
    return mixed;
  }

  private static boolean originReadsSince(Fleet fleet, long before) throws IOException {
    return Http.get(fleet.originPort(), "/stats").path("bytes").asLong() > before;
  }

  private static int memberCount(ChildProcess entry) {
    try {
      return Http.get(entry.operatorPort(), "/members").size();
    } catch (IOException e) {
      return 0;
    }
  }

  private static double secondsSince(long begun) {
    return (System.nanoTime() - begun) / 1e9;
  }

  /** Moments of one run, in seconds after the rules were applied. */
  private static final class Progress {
    private double firstReadSeconds;
    private double halfLoadedSeconds;
    private double percent95LoadedSeconds;
    private double allLoadedSeconds;
    private int loadedCount;
  }
}
