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

/**
 * Demonstrates the system against stand-ins: places weights, sends requests, and takes a failure
 * domain out of service and back under load.
 */
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

  /** Runs the demonstration and exits with code 0 if every check succeeded. */
  public static void main(String[] args) throws IOException {
    System.exit(new Quickstart().run());
  }

  private int run() throws IOException {
    printLine("starting platform, origin, %d engines, one plain service and one entry", REPLICAS);
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
            "FAILED: a process did not start within 30 s; end of its log:%n%s",
            fleet.failedProcessLog());
        return ExitCode.FAILED;
      }
      String digest =
          fleet
              .publish("model=" + MODEL + "&version=v1&bytes=" + WEIGHTS_BYTES)
              .path("digest")
              .asText();
      StringBuilder output = new StringBuilder();
      final long startedAt = System.nanoTime();
      check(fleet.applyRules(output, rules()) == ExitCode.OK, "cornelctl apply failed: " + output);
      printLine("cornelctl: %s", output.toString().strip());
      check(
          Fleet.await(30, () -> fleet.countReady(entry, digest) == REPLICAS),
          "not every replica served the model within 30 s");
      final double secondsToReady = (System.nanoTime() - startedAt) / 1e9;
      final long originBytes = Http.get(fleet.originPort(), "/stats").path("bytes").asLong();
      printLine("sending requests, then taking %s out and back under load", DOMAINS.get(2));
      sendRequests(entry);
      takeDomainOutAndBack(fleet, entry);
      checkOrderRanOnce(fleet);
      printSummary(secondsToReady, originBytes);
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
    AtomicBoolean sending = new AtomicBoolean(true);
    List<CallResult> loadResults = new ArrayList<>();
    Thread loadThread =
        new Thread(
            () -> {
              int sentCount = 0;
              while (sending.get()) {
                int firstIndex = sentCount;
                loadResults.addAll(
                    Flux.range(0, 4)
                        .flatMap(
                            i ->
                                caller.sendPrompt(
                                    entry.callerPort(),
                                    API_KEY,
                                    MODEL,
                                    "p" + (firstIndex + i),
                                    8,
                                    true))
                        .collectList()
                        .block());
                sentCount += 4;
                Fleet.sleep(50);
              }
            },
            "load");
    loadThread.start();
    StringBuilder output = new StringBuilder();
    check(
        fleet.runCtl(output, "out", DOMAINS.get(2), "--by", "quickstart") == 0,
        "cornelctl out failed: " + output);
    Fleet.sleep(500);
    long startedWhileOut = startedRequestCount(fleet);
    Fleet.sleep(1_500);
    check(
        startedRequestCount(fleet) == startedWhileOut,
        "a failure domain that is out of service received new requests");
    check(
        fleet.runCtl(output, "in", DOMAINS.get(2), "--by", "quickstart") == 0,
        "cornelctl in failed: " + output);
    check(
        Fleet.await(10, () -> startedRequestCount(fleet) > startedWhileOut),
        "a failure domain that is back in service received no requests within 10 s");
    sending.set(false);
    try {
      loadThread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    results.addAll(loadResults);
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
    check(runs == 1, "order-17 ran " + runs + " times instead of once");
  }

  private void printSummary(double secondsToReady, long originBytes) {
    int[] counts = new int[CallResult.Outcome.values().length];
    for (CallResult result : results) {
      counts[result.outcome().ordinal()]++;
      if (result.outcome() != CallResult.Outcome.WHOLE
          && result.outcome() != CallResult.Outcome.NOT_RUN) {
        check(false, "a request ended with outcome " + result.outcome() + ": " + result.detail());
      }
    }
    final int completeCount = counts[CallResult.Outcome.WHOLE.ordinal()];
    final int refusedCount = counts[CallResult.Outcome.NOT_RUN.ordinal()];
    printLine("");
    printLine("time until %d replicas served the model %.2f s", REPLICAS, secondsToReady);
    printLine(
        "bytes read from the origin              %.2f copies",
        (double) originBytes / WEIGHTS_BYTES);
    printLine("requests with a complete response       %d", completeCount);
    printLine("requests refused and not run            %d", refusedCount);
    printLine(
        "requests failed                         %d",
        results.size() - completeCount - refusedCount);
    for (String failure : failures.subList(0, Math.min(MAX_PRINTED_FAILURES, failures.size()))) {
      printLine("FAILED: %s", failure);
    }
    printLine(failures.isEmpty() ? "all checks succeeded" : "some checks failed");
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

  private void check(boolean success, String message) {
    if (!success) {
      failures.add(message);
    }
  }

  private static void printLine(String format, Object... values) {
    System.out.printf(format + "%n", values);
  }
}
