package org.cornelchute.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.policy.weights.Digests;
import org.cornelchute.standin.harness.CallResult;
import org.cornelchute.standin.harness.Caller;
import org.cornelchute.standin.harness.Child;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;
import reactor.core.publisher.Flux;

/** The main job on stand-ins: places weights, answers requests, takes a failure domain out. */
public final class Quickstart {

  private static final String MODEL = "andina/modelo-cornel";
  private static final String KEY = "quickstart-key";
  private static final int BYTES = 8 << 20;
  private static final int REPLICAS = 3;
  private static final int MAX_FAULTS = 10;
  private static final List<String> DOMAINS =
      List.of("quito-norte", "guayaquil-sur", "cuenca-centro");

  private final List<String> faults = new ArrayList<>();
  private final Caller caller = new Caller();
  private final List<CallResult> results = new ArrayList<>();

  private Quickstart() {}

  /** Runs the job and ends with exit code 0 if all of it went well. */
  public static void main(String[] args) throws IOException {
    System.exit(new Quickstart().run());
  }

  private int run() throws IOException {
    say("starting platform, origin, %d engines, one plain service, one entry", REPLICAS);
    try (Fleet fleet = new Fleet(4L * BYTES)) {
      final Child entry = fleet.startEntry("entry-1", "sierra", DOMAINS.get(0), Map.of());
      for (int i = 0; i < REPLICAS; i++) {
        fleet.startEngine(
            "cornel-" + i,
            "sierra",
            DOMAINS.get(i),
            StandinProgram.ENGINE,
            Map.of("linkBytesPerSecond", 2 * BYTES, "originRegion", "sierra"));
      }
      fleet.startService("pedidos-1", "sierra", DOMAINS.get(0), "pedidos");
      if (!fleet.awaitStarted(30)) {
        say("FAILED: a process did not start; the end of its log:%n%s", fleet.deadLog());
        return ExitCode.FAILED;
      }
      String digest =
          fleet.publish("model=" + MODEL + "&version=v1&bytes=" + BYTES).path("digest").asText();
      StringBuilder out = new StringBuilder();
      final long begun = System.nanoTime();
      check(fleet.apply(out, rules()) == ExitCode.OK, "cornelctl apply failed: " + out);
      say("cornelctl: %s", out.toString().strip());
      check(
          Fleet.await(30, () -> fleet.countReady(entry, digest) == REPLICAS),
          "not every replica holds the model");
      final double seconds = (System.nanoTime() - begun) / 1e9;
      final long origin = Http.get(fleet.originPort(), "/stats").path("bytes").asLong();
      say("sending requests, then taking %s out and back under load", DOMAINS.get(2));
      serve(entry);
      changeDomain(fleet, entry);
      checkOrders(fleet);
      summary(seconds, origin);
    }
    return faults.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
  }

  private void serve(Child entry) {
    int port = entry.callerPort();
    for (int i = 0; i < 10; i++) {
      results.add(caller.complete(port, KEY, MODEL, "draft list " + i, 12, i % 2 == 0).block());
    }
    results.add(
        caller.call(port, KEY, "GET", "/services/pedidos/stock/trays", "", "", "7").block());
    for (int i = 0; i < 2; i++) {
      results.add(
          caller
              .call(
                  port, KEY, "POST", "/services/pedidos/confirm", "order-17", "key-17", "order-17")
              .block());
    }
  }

  private void changeDomain(Fleet fleet, Child entry) throws IOException {
    AtomicBoolean running = new AtomicBoolean(true);
    List<CallResult> live = new ArrayList<>();
    Thread load =
        new Thread(
            () -> {
              int n = 0;
              while (running.get()) {
                int from = n;
                live.addAll(
                    Flux.range(0, 4)
                        .flatMap(
                            i ->
                                caller.complete(
                                    entry.callerPort(), KEY, MODEL, "p" + (from + i), 8, true))
                        .collectList()
                        .block());
                n += 4;
                Fleet.pause(50);
              }
            },
            "load");
    load.start();
    StringBuilder out = new StringBuilder();
    check(fleet.ctl(out, "out", DOMAINS.get(2), "--by", "quickstart") == 0, "out failed: " + out);
    Fleet.pause(500);
    long before = started(fleet);
    Fleet.pause(1_500);
    check(started(fleet) == before, "a failure domain that is out got new work");
    check(fleet.ctl(out, "in", DOMAINS.get(2), "--by", "quickstart") == 0, "in failed: " + out);
    check(
        Fleet.await(10, () -> started(fleet) > before),
        "a failure domain that is back got no work");
    running.set(false);
    try {
      load.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    results.addAll(live);
  }

  private static long started(Fleet fleet) {
    try {
      return Http.get(fleet.endpointPort("cornel-2"), "/stats").path("started").asLong();
    } catch (IOException e) {
      return -1;
    }
  }

  private void checkOrders(Fleet fleet) throws IOException {
    int runs = Http.get(fleet.endpointPort("pedidos-1"), "/runs").path("order-17").asInt();
    check(runs == 1, "order-17 ran " + runs + " times");
  }

  private void summary(double seconds, long originBytes) {
    int[] counts = new int[CallResult.Outcome.values().length];
    for (CallResult r : results) {
      counts[r.outcome().ordinal()]++;
      if (r.outcome() != CallResult.Outcome.WHOLE && r.outcome() != CallResult.Outcome.NOT_RUN) {
        check(false, "a request ended " + r.outcome() + ": " + r.detail());
      }
    }
    final int whole = counts[CallResult.Outcome.WHOLE.ordinal()];
    final int refused = counts[CallResult.Outcome.NOT_RUN.ordinal()];
    say("");
    say("time until %d replicas held the model   %.2f s", REPLICAS, seconds);
    say("bytes read from the origin              %.2f copies", (double) originBytes / BYTES);
    say("requests answered whole                 %d", whole);
    say("requests refused, truthfully not run    %d", refused);
    say("requests failed                         %d", results.size() - whole - refused);
    for (String f : faults.subList(0, Math.min(MAX_FAULTS, faults.size()))) {
      say("FAILED: %s", f);
    }
    say(faults.isEmpty() ? "all went well" : "something went wrong");
  }

  private static String rules() {
    String digest = Digests.sha256(KEY.getBytes(StandardCharsets.UTF_8));
    return String.join(
        "\n",
        "place " + MODEL + " v1 on quito-norte=1 guayaquil-sur=1 cuenca-centro=1 # asked: depot",
        "key andina/hoteles " + digest + " # asked: dispatch",
        "weight andina/hoteles 30 # asked: dispatch",
        "norepeat pedidos POST /confirm # asked: billing",
        "");
  }

  private void check(boolean holds, String fault) {
    if (!holds) {
      faults.add(fault);
    }
  }

  private static void say(String format, Object... values) {
    System.out.printf(format + "%n", values);
  }
}
