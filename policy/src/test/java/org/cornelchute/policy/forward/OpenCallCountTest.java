package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cornelchute.core.model.OpenCalls;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The open calls that are counted for an endpoint are its open attempts, in every order of events;
 * a count that is too high keeps calls away for good, one that is too low overloads the endpoint.
 */
class OpenCallCountTest {

  private static final int STEPS = 4_000;
  private static final int MAX_OPEN_CALLS = 25;
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_STEP_MILLIS = 60;
  private static final int SILENCE_MILLIS = 1_000;
  private static final int[] STATUSES = {200, 200, 200, 404, 500, 503};

  private final Map<Long, Map<Integer, String>> endpointByAttempt = new HashMap<>();
  private Fixture fixture;
  private Random random;
  private long lastEventId;
  private int backups;
  private int promotions;

  /** Failure: the endpoint of a backup kept its call after a failed resumption ended the stream. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void countsTheOpenAttemptsOfEachEndpoint(long seed) {
    start(seed);
    for (int i = 0; i < STEPS; i++) {
      fixture.now += random.nextInt(MAX_STEP_MILLIS);
      fixture.decider.recordConfirmation(fixture.now);
      step();
      assertThat(fixture.decider.openCalls())
          .as("seed " + seed + ", step " + i)
          .containsExactlyInAnyOrderElementsOf(expected());
    }
    fixture.now += 2 * Fixture.TIMEOUT_MILLIS;
    apply(fixture.decider.sweep(fixture.now));
    assertThat(fixture.decider.openCallCount()).isZero();
    assertThat(fixture.decider.openCalls()).isEmpty();
    assertThat(backups).as("backups").isPositive();
    assertThat(promotions).as("promotions").isPositive();
  }

  private void start(long seed) {
    random = new Random(seed);
    CallOptions o = Fixture.OPTIONS;
    fixture =
        new Fixture(
            new CallOptions(
                o.self(),
                o.domain(),
                o.region(),
                o.maxKeyAgeMillis(),
                o.maxDenialAgeMillis(),
                o.versionGraceMillis(),
                o.versionCutoffMillis(),
                1,
                1_000,
                o.retryWindowMillis(),
                o.coldOverrunFactor(),
                o.coldAllowance()));
    for (int i = 0; i < 5; i++) {
      fixture.endpoints.add(Fixture.engine("e" + i, "d" + i % 2, 1));
      fixture.endpoints.add(Fixture.plain("p" + i));
    }
    fixture.withEndpoints();
    fixture.decider.recordFirstStart();
    List<RouteSpec> routes =
        List.of(
            route("/s/", CallKind.STREAM, true, "engines"),
            route("/t/", CallKind.STREAM, false, "engines"),
            route("/c/", CallKind.IDEMPOTENT, false, "plain"),
            route("/o/", CallKind.NON_IDEMPOTENT, false, "plain"));
    fixture.decider.updateConfig(
        new ServingConfig(
            2,
            routes,
            List.of(Fixture.ENGINES, Fixture.PLAIN),
            false,
            Map.of(),
            ServingConfig.CallerLimits.DEFAULTS));
  }

  private static RouteSpec route(String prefix, CallKind kind, boolean resumable, String service) {
    return new RouteSpec(
        prefix,
        "h",
        prefix,
        kind,
        resumable,
        Fixture.TIMEOUT_MILLIS,
        Fixture.TARGET_MILLIS,
        1,
        MAX_ATTEMPTS,
        true,
        List.of(),
        List.of(new RouteSpec.WeightedService(service, 1)));
  }

  /** Lets one event happen to one open attempt, or another event. */
  private void step() {
    CallDecider decider = fixture.decider;
    int choice = random.nextInt(20);
    if (choice < 4 && decider.openCallCount() < MAX_OPEN_CALLS) {
      String[] paths = {"/s/", "/s/", "/t/", "/c/", "/o/"};
      apply(fixture.call(paths[random.nextInt(paths.length)]));
      return;
    }
    if (choice < 8) {
      fixture.now += random.nextInt(10) == 0 ? SILENCE_MILLIS : 0;
      apply(decider.sweep(fixture.now));
      return;
    }
    if (choice == 8) {
      Set<String> domains = random.nextInt(4) == 0 ? Set.of("d" + random.nextInt(2)) : Set.of();
      decider.updateEvacuatedDomains(domains);
      return;
    }
    List<long[]> open = new ArrayList<>();
    endpointByAttempt.forEach((c, a) -> a.keySet().forEach(n -> open.add(new long[] {c, n})));
    if (open.isEmpty()) {
      return;
    }
    long[] chosen = open.get(random.nextInt(open.size()));
    happen(choice, chosen[0], (int) chosen[1]);
  }

  private void happen(int choice, long call, int attempt) {
    CallDecider decider = fixture.decider;
    if (choice < 12) {
      int status = STATUSES[random.nextInt(STATUSES.length)];
      boolean refused = status == 503;
      boolean signed = random.nextInt(20) > 0;
      apply(
          decider.onResponseHead(
              fixture.now,
              call,
              attempt,
              new ResponseHead(status, refused, false, signed, false, 1, -1, 0, NamedLimit.NONE)));
    } else if (choice < 16) {
      lastEventId += random.nextInt(2);
      apply(decider.onResponseProgress(fixture.now, call, attempt, lastEventId));
    } else if (choice == 16) {
      endpointByAttempt.get(call).remove(attempt);
      apply(decider.onResponseEnd(fixture.now, call, attempt));
    } else if (choice < 19) {
      endpointByAttempt.get(call).remove(attempt);
      apply(
          decider.onAttemptFailure(fixture.now, call, attempt, random.nextBoolean(), "broken off"));
    } else {
      apply(decider.onCallerDisconnect(fixture.now, call));
      endpointByAttempt.remove(call);
    }
  }

  private void apply(List<CallEffect> effects) {
    for (CallEffect effect : effects) {
      if (effect instanceof CallEffect.Dispatch d) {
        endpointByAttempt
            .computeIfAbsent(d.call(), c -> new HashMap<>())
            .put(d.attempt(), d.endpoint().id());
        backups += d.backup() ? 1 : 0;
      } else if (effect instanceof CallEffect.CancelAttempt c) {
        Optional.ofNullable(endpointByAttempt.get(c.call())).ifPresent(a -> a.remove(c.attempt()));
      } else if (effect instanceof CallEffect.PromoteBackup) {
        promotions++;
      } else if (effect instanceof CallEffect.Complete c) {
        endpointByAttempt.remove(c.call());
      } else if (effect instanceof CallEffect.Reject r) {
        endpointByAttempt.remove(r.call());
      } else if (effect instanceof CallEffect.AbortResponse a) {
        endpointByAttempt.remove(a.call());
      }
    }
  }

  private List<OpenCalls> expected() {
    Map<String, Integer> countByEndpoint = new HashMap<>();
    for (Map<Integer, String> attempts : endpointByAttempt.values()) {
      attempts.values().forEach(e -> countByEndpoint.merge(e, 1, Integer::sum));
    }
    List<OpenCalls> expected = new ArrayList<>();
    countByEndpoint.forEach((e, n) -> expected.add(new OpenCalls(e.hashCode(), n)));
    return expected;
  }
}
