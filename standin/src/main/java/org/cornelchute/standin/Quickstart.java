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
import org.cornelchute.standin.harness.ChildProcess;
import org.cornelchute.standin.harness.Fleet;
import org.cornelchute.standin.harness.Http;
import reactor.core.publisher.Flux;

/** The main job on stand-ins: places weights, answers requests, takes a failure domain out. */
public final class Quickstart {

  private static final String MODEL = "andina/modelo-cornel";
  private static final String API_KEY = "quickstart-key";
  private static final int WEIGHTS_BYTES = 8 << 20;
  private static final int REPLICAS = 3;
  private static final int MAX_PRINTED_FAILURES = 10;
  private static final List<String> DOMAINS =
      List.of("quito-norte", "guayaquil-sur", "cuenca-centro");

  private final List<String> failures = new ArrayList<>();
  private final Caller caller = new Caller();
  private final List<CallResult> results = new ArrayList<>();

  private Quickstart() {}

  /** Runs the job and ends with exit code 0 if all of it went well. */
  public static void main(String[] args) throws IOException {
    System.exit(new Quickstart().run());
  }

  private int run() throws IOException {
    printLine("starting platform, origin, %d engines, one plain service, one entry", REPLICAS);
    try (Fleet fleet = new Fleet(4L * WEIGHTS_BYTES)) {
      final ChildProcess entry = fleet.startEntry("entry-1", "sierra", DOMAINS.get(0), Map.of());
      for (int i = 0; i < REPLICAS; i++) {
        fleet.startEngine(
            "cornel-" + i,
            "sierra",
            DOMAINS.get(i),
            StandinProgram.FAST_ENGINE,
            Map.of("linkBytesPerSecond", 2 * WEIGHTS_BYTES, "originRegion", "sierra"));
      }
      fleet.startService("pedidos-1", "sierra", DOMAINS.get(0), "pedidos");
      if (!fleet.awaitStarted(30)) {
        printLine(
            "FAILED: a process did not start; the end of its log:%n%s", fleet.failedProcessLog());
        return ExitCode.FAILED;
      }
      String digest =
          fleet
              .publish("model=" + MODEL + "&version=v1&bytes=" + WEIGHTS_BYTES)
              .path("digest")
              .asText();
      StringBuilder out = new StringBuilder();
      final long startedAt = System.nanoTime();
      check(fleet.applyRules(out, rules()) == ExitCode.OK, "cornelctl apply failed: " + out);
      printLine("cornelctl: %s", out.toString().strip());
      check(
          Fleet.await(30, () -> fleet.countReady(entry, digest) == REPLICAS),
          "not every replica holds the model");
      final double seconds = (System.nanoTime() - startedAt) / 1e9;
      final long origin = Http.get(fleet.originPort(), "/stats").path("bytes").asLong();
      printLine("sending requests, then taking %s out and back under load", DOMAINS.get(2));
      sendRequests(entry);
      takeDomainOutAndBack(fleet, entry);
      checkOrderRanOnce(fleet);
      printSummary(seconds, origin);
    }
    return failures.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
  }

  private void sendRequests(ChildProcess entry) {
    int port = entry.callerPort();
    for (int i = 0; i < 10; i++) {
      results.add(
          caller.sendPrompt(port, API_KEY, MODEL, "draft list " + i, 12, i % 2 == 0).block());
    }
    results.add(
        caller
            .callService(port, API_KEY, "GET", "/services/pedidos/stock/trays", "", "", "7")
            .block());
    for (int i = 0; i < 2; i++) {
      results.add(
          caller
              .callService(
                  port,
                  API_KEY,
                  "POST",
                  "/services/pedidos/confirm",
                  "order-17",
                  "key-17",
                  "order-17")
              .block());
    }
  }

  private void takeDomainOutAndBack(Fleet fleet, ChildProcess entry) throws IOException {
    AtomicBoolean running = new AtomicBoolean(true);
    List<CallResult> live = new ArrayList<>();
    Thread load =
        new Thread(
            () -> {
              int sentCount = 0;
              while (running.get()) {
                int firstIndex = sentCount;
                live.addAll(
                    Flux.range(0, 4)
                        .flatMap(
                            i ->
                                caller.sendPrompt(
                                    entry.callerPort(), API_KEY, MODEL, "p" + (firstIndex + i), 8, true))
                        .collectList()
                        .block());
                sentCount += 4;
                Fleet.sleep(50);
              }
            },
            "load");
    load.start();
    StringBuilder out = new StringBuilder();
    check(
        fleet.runCtl(out, "out", DOMAINS.get(2), "--by", "quickstart") == 0, "out failed: " + out);
    Fleet.sleep(500);
    long startedWhileOut = startedRequestCount(fleet);
    Fleet.sleep(1_500);
    check(startedRequestCount(fleet) == startedWhileOut, "a failure domain that is out got new work");
    check(fleet.runCtl(out, "in", DOMAINS.get(2), "--by", "quickstart") == 0, "in failed: " + out);
    check(
        Fleet.await(10, () -> startedRequestCount(fleet) > startedWhileOut),
        "a failure domain that is back got no work");
    running.set(false);
    try {
      load.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    results.addAll(live);
  }

  private static long startedRequestCount(Fleet fleet) {
    try {
      return Http.get(fleet.endpointPort("cornel-2"), "/stats").path("started").asLong();
    } catch (IOException e) {
      return -1;
    }
  }

  private void checkOrderRanOnce(Fleet fleet) throws IOException {
    int runs = Http.get(fleet.endpointPort("pedidos-1"), "/runs").path("order-17").asInt();
    check(runs == 1, "order-17 ran " + runs + " times");
  }

  private void printSummary(double seconds, long originBytes) {
    int[] counts = new int[CallResult.Outcome.values().length];
    for (CallResult result : results) {
      counts[result.outcome().ordinal()]++;
      if (result.outcome() != CallResult.Outcome.WHOLE && result.outcome() != CallResult.Outcome.NOT_RUN) {
        check(false, "a request ended " + result.outcome() + ": " + result.detail());
      }
    }
    final int completeCount = counts[CallResult.Outcome.WHOLE.ordinal()];
    final int refusedCount = counts[CallResult.Outcome.NOT_RUN.ordinal()];
    printLine("");
    printLine("time until %d replicas held the model   %.2f s", REPLICAS, seconds);
    printLine(
        "bytes read from the origin              %.2f copies",
        (double) originBytes / WEIGHTS_BYTES);
    printLine("requests answered whole                 %d", completeCount);
    printLine("requests refused, truthfully not run    %d", refusedCount);
    printLine("requests failed                         %d", results.size() - completeCount - refusedCount);
    for (String failure : failures.subList(0, Math.min(MAX_PRINTED_FAILURES, failures.size()))) {
      printLine("FAILED: %s", failure);
    }
    printLine(failures.isEmpty() ? "all went well" : "something went wrong");
  }

  private static String rules() {
    String digest = Digests.sha256(API_KEY.getBytes(StandardCharsets.UTF_8));
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
      failures.add(fault);
    }
  }

  private static void printLine(String format, Object... values) {
    System.out.printf(format + "%n", values);
  }
}
