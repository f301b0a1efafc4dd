package org.cornelchute.standin.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cornelchute.net.platform.OriginClient;
import org.cornelchute.standin.harness.Child;
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

  private static final int MEGABYTE = 1 << 20;
  private static final int CHUNKS = 128;
  private static final int LIMIT_SECONDS = 120;
  private static final int BASELINE_SHARE = 32;
  private static final EngineStandin.Options ENGINE =
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
    int size = o.megabytes() * MEGABYTE;
    long origin = (long) (4 * size / DEADLINE_SECONDS);
    long link = (long) (2 * size / DEADLINE_SECONDS);
    try (Fleet fleet = new Fleet(origin)) {
      final Child entry = fleet.startEntry("entry-1", "r0", "d0", Map.of());
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
        fleet.startEngine("agent-" + i, "r" + i % o.regions(), domain, ENGINE, settings);
      }
      fleet.awaitStarted(60);
      Fleet.await(30, () -> members(entry) == n + 1);
      String digest =
          fleet
              .publish(
                  "model="
                      + FleetRules.MODEL
                      + "&version=v1&bytes="
                      + size
                      + "&chunkBytes="
                      + size / CHUNKS)
              .path("digest")
              .asText();
      final String warm = warmUp(fleet, replicas, n);
      final long before = Http.get(fleet.originPort(), "/stats").path("bytes").asLong();
      final long begun = System.nanoTime();
      Thread apply =
          new Thread(() -> apply(fleet, FleetRules.place("v1", replicas, n, List.of(10))));
      apply.start();
      WeightsFaults faults = new WeightsFaults(fleet, o, warm);
      Progress p = watch(fleet, digest, n, begun, faults, size, before);
      final Report r = report(fleet, o, p, size, faults, before);
      r.add("warmedUp", !warm.isEmpty());
      r.add("baselineSecondsToAll", baseline(fleet, digest, n));
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
    apply(fleet, FleetRules.place("v0", replicas, n, List.of(10)));
    return Fleet.await(60, () -> fleet.countLoaded(digest) == n) ? digest : "";
  }

  private static void apply(Fleet fleet, String rules) {
    try {
      fleet.apply(new StringBuilder(), rules);
    } catch (IOException e) {
      throw new IllegalStateException("the rules could not be applied", e);
    }
  }

  /** Lets every replica read a share of the chunks straight from the origin, and scales up. */
  private static double baseline(Fleet fleet, String digest, int n) {
    OriginClient origin = new OriginClient("http://127.0.0.1:" + fleet.originPort());
    List<String> chunks = origin.manifest(FleetRules.MODEL, "v1").block().get().chunks();
    List<String> share = chunks.subList(0, chunks.size() / BASELINE_SHARE);
    final long begun = System.nanoTime();
    Flux.range(0, n)
        .flatMap(i -> Flux.fromIterable(share).concatMap(origin::chunk), n)
        .then()
        .block();
    return seconds(begun) * BASELINE_SHARE;
  }

  private static Progress watch(
      Fleet fleet, String first, int n, long begun, WeightsFaults faults, int size, long before)
      throws IOException {
    Progress p = new Progress();
    String digest = first;
    while (p.all == 0 && seconds(begun) < LIMIT_SECONDS) {
      digest = faults.step(seconds(begun), digest, size);
      int loaded = fleet.countLoaded(digest);
      int wanted = n - faults.killed();
      double now = seconds(begun);
      if (p.begin == 0 && firstByte(fleet, before)) {
        p.begin = now;
      }
      if (p.half == 0 && loaded * 2 >= wanted) {
        p.half = now;
      }
      if (p.most == 0 && loaded >= Math.ceil(wanted * 0.95)) {
        p.most = now;
      }
      if (loaded >= wanted && faults.done()) {
        p.all = now;
      }
      p.loaded = loaded;
      Fleet.pause(50);
    }
    return p;
  }

  private Report report(
      Fleet fleet, BenchOptions o, Progress p, int size, WeightsFaults faults, long before)
      throws IOException {
    int n = o.replicas();
    final double t = DEADLINE_SECONDS;
    final double bound = Math.max(t / 2, n * t / (4 + 2 * n));
    double elapsed = p.all - p.begin;
    Report r = new Report();
    r.add("replicas", n);
    r.add("regions", o.regions());
    r.add("fault", o.fault());
    r.add("megabytes", o.megabytes());
    r.add("replicasHolding", p.loaded);
    r.add("secondsToHalf", p.half - p.begin);
    r.add("secondsTo95Percent", p.most - p.begin);
    r.add("secondsToAll", elapsed);
    r.add("secondsFromApply", p.all);
    r.add("secondsLowerBound", bound);
    r.add("ratio", elapsed / bound);
    JsonNode origin = Http.get(fleet.originPort(), "/stats");
    r.add("originCopies", (origin.path("bytes").asDouble() - before) / size);
    r.add("mixedOrPartialServed", mixed(fleet, faults));
    double resident = 0;
    double cpu = 0;
    List<Child> agents = new ArrayList<>();
    for (Child c : fleet.children()) {
      if (c.callerPort() == 0 && c.process().isAlive()) {
        agents.add(c);
      }
    }
    for (Child c : agents) {
      resident += c.residentBytes() / 1e6 / agents.size();
      cpu += c.cpuMillis() / 1e3 / agents.size();
    }
    r.add("agentResidentMegabytes", resident);
    r.add("agentCpuSeconds", cpu);
    return r;
  }

  /** Counts engines that hold anything but a version that the origin published. */
  private static int mixed(Fleet fleet, WeightsFaults faults) throws IOException {
    int mixed = 0;
    for (String id : fleet.engineIds()) {
      String held = Http.get(fleet.endpointPort(id), "/stats").path("manifest").asText();
      mixed += held.isEmpty() || faults.published(held) ? 0 : 1;
    }
    return mixed;
  }

  private static boolean firstByte(Fleet fleet, long before) throws IOException {
    return Http.get(fleet.originPort(), "/stats").path("bytes").asLong() > before;
  }

  private static int members(Child entry) {
    try {
      return Http.get(entry.operatorPort(), "/members").size();
    } catch (IOException e) {
      return 0;
    }
  }

  private static double seconds(long begun) {
    return (System.nanoTime() - begun) / 1e9;
  }

  /** Moments of one run, in seconds after the rules were applied. */
  private static final class Progress {
    private double begin;
    private double half;
    private double most;
    private double all;
    private int loaded;
  }
}
