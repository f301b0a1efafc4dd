package org.cornelchute.standin.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import org.cornelchute.standin.harness.CallResult;
import org.cornelchute.standin.harness.Caller;
import org.cornelchute.standin.harness.Fleet;
import reactor.core.publisher.Mono;

/**
 * Open-loop load generator: sends requests of several workspaces at a constant mean rate, whether
 * or not earlier requests have completed.
 */
final class LoadGenerator implements AutoCloseable {

  private static final int DOCUMENT_COUNT = 60;
  private static final int COMPLETION_TIMEOUT_SECONDS = 35;

  private final Caller caller = new Caller();
  private final IntSupplier entryPorts;
  private final double requestsPerSecond;
  private final int tokensPerRequest;
  private final int[] workspaceShares;
  private final List<TimedResult> results = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Thread thread = new Thread(this::generateLoad, "live-load");
  private final Random random = new Random(17);
  private volatile boolean running = true;
  private int sentCount;

  /**
   * Creates a generator, which sends no requests before {@link #start()}.
   *
   * @param entryPorts supplies the port of the entry for the next request, as a load balancer does
   * @param requestsPerSecond mean rate of requests
   * @param tokensPerRequest number of tokens in each response
   * @param workspaceShares relative share of each workspace in the requests
   */
  LoadGenerator(
      IntSupplier entryPorts,
      double requestsPerSecond,
      int tokensPerRequest,
      int... workspaceShares) {
    this.entryPorts = entryPorts;
    this.requestsPerSecond = requestsPerSecond;
    this.tokensPerRequest = tokensPerRequest;
    this.workspaceShares = workspaceShares.clone();
  }

  LoadGenerator start() {
    thread.start();
    return this;
  }

  /** Stops sending and waits until every request has an outcome, for a bounded time. */
  @Override
  public void close() {
    running = false;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Fleet.await(COMPLETION_TIMEOUT_SECONDS, () -> inFlight.get() == 0);
  }

  int sentCount() {
    return sentCount;
  }

  List<TimedResult> results() {
    return List.copyOf(results);
  }

  /** Returns the number of results for each outcome. */
  Map<CallResult.Outcome, Integer> outcomes() {
    Map<CallResult.Outcome, Integer> counts = new EnumMap<>(CallResult.Outcome.class);
    for (CallResult.Outcome outcome : CallResult.Outcome.values()) {
      counts.put(outcome, 0);
    }
    for (TimedResult timed : results()) {
      counts.merge(timed.result.outcome(), 1, Integer::sum);
    }
    return counts;
  }

  private void generateLoad() {
    long startedAt = System.nanoTime();
    double nextArrival = 0;
    while (running) {
      double now = (System.nanoTime() - startedAt) / 1e9;
      if (now < nextArrival) {
        sleep(nextArrival - now);
        continue;
      }
      // Independent callers have exponentially distributed times between arrivals.
      nextArrival += -Math.log(1 - random.nextDouble()) / requestsPerSecond;
      sendRequest();
    }
  }

  private void sendRequest() {
    int workspace = pickWorkspace();
    String prompt =
        "document " + random.nextInt(DOCUMENT_COUNT) + " ".repeat(300) + "question " + sentCount;
    long sentAt = System.nanoTime();
    sentCount++;
    inFlight.incrementAndGet();
    Mono<CallResult> call =
        caller.sendPrompt(
            entryPorts.getAsInt(),
            FleetRules.workspaceName(workspace),
            FleetRules.MODEL,
            prompt,
            tokensPerRequest,
            sentCount % 4 != 0);
    call.subscribe(
        r -> {
          results.add(new TimedResult(sentAt, r));
          inFlight.decrementAndGet();
        });
  }

  private int pickWorkspace() {
    int total = 0;
    for (int share : workspaceShares) {
      total += share;
    }
    int remaining = random.nextInt(total);
    for (int i = 0; i < workspaceShares.length; i++) {
      remaining -= workspaceShares[i];
      if (remaining < 0) {
        return i;
      }
    }
    return 0;
  }

  private static void sleep(double seconds) {
    try {
      TimeUnit.NANOSECONDS.sleep((long) (seconds * 1e9));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A result and the {@link System#nanoTime()} at which its request was sent. */
  record TimedResult(long sentAt, CallResult result) {}
}
