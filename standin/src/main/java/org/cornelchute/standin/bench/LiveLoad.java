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

/** An open stream of requests at a steady rate over several workspaces, as callers send them. */
final class LiveLoad implements AutoCloseable {

  private static final int PROMPTS = 60;
  private static final int SETTLE_SECONDS = 35;

  private final Caller caller = new Caller();
  private final IntSupplier ports;
  private final double perSecond;
  private final int tokens;
  private final int[] shares;
  private final List<Timed> results = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger open = new AtomicInteger();
  private final Thread thread = new Thread(this::send, "live-load");
  private final Random random = new Random(17);
  private volatile boolean running = true;
  private int sent;

  /**
   * Creates a load; it begins with {@link #start()}.
   *
   * @param ports port of the entry for each next request, as a balancer chooses it
   * @param perSecond requests a second
   * @param tokens tokens of each answer
   * @param shares share of each workspace in the requests
   */
  LiveLoad(IntSupplier ports, double perSecond, int tokens, int... shares) {
    this.ports = ports;
    this.perSecond = perSecond;
    this.tokens = tokens;
    this.shares = shares.clone();
  }

  LiveLoad start() {
    thread.start();
    return this;
  }

  /** Stops sending and waits until every request has an outcome. */
  @Override
  public void close() {
    running = false;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Fleet.await(SETTLE_SECONDS, () -> open.get() == 0);
  }

  int sent() {
    return sent;
  }

  List<Timed> results() {
    return List.copyOf(results);
  }

  /** Counts results by outcome. */
  Map<CallResult.Outcome, Integer> outcomes() {
    Map<CallResult.Outcome, Integer> counts = new EnumMap<>(CallResult.Outcome.class);
    for (CallResult.Outcome o : CallResult.Outcome.values()) {
      counts.put(o, 0);
    }
    for (Timed t : results()) {
      counts.merge(t.result.outcome(), 1, Integer::sum);
    }
    return counts;
  }

  private void send() {
    long begun = System.nanoTime();
    double next = 0;
    while (running) {
      double now = (System.nanoTime() - begun) / 1e9;
      if (now < next) {
        pause(next - now);
        continue;
      }
      // Exponential gaps between arrivals, as independent callers have.
      next += -Math.log(1 - random.nextDouble()) / perSecond;
      one();
    }
  }

  private void one() {
    int workspace = pick();
    String prompt = "document " + random.nextInt(PROMPTS) + " ".repeat(300) + "question " + sent;
    long at = System.nanoTime();
    sent++;
    open.incrementAndGet();
    Mono<CallResult> call =
        caller.complete(
            ports.getAsInt(),
            FleetRules.workspace(workspace),
            FleetRules.MODEL,
            prompt,
            tokens,
            sent % 4 != 0);
    call.subscribe(
        r -> {
          results.add(new Timed(at, r));
          open.decrementAndGet();
        });
  }

  private int pick() {
    int all = 0;
    for (int s : shares) {
      all += s;
    }
    int at = random.nextInt(all);
    for (int i = 0; i < shares.length; i++) {
      at -= shares[i];
      if (at < 0) {
        return i;
      }
    }
    return 0;
  }

  private static void pause(double seconds) {
    try {
      TimeUnit.NANOSECONDS.sleep((long) (seconds * 1e9));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A result with the moment at which its request was sent, in nanoseconds. */
  record Timed(long at, CallResult result) {}
}
