package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** No call goes to an endpoint that said that it leaves, or that it takes none for a time. */
class EndpointNoticesTest {

  private static final EndpointNotice LEAVES = new EndpointNotice(true, 0, false);

  private static EndpointNotice pauses(long millis) {
    return new EndpointNotice(false, millis, false);
  }

  private static EndpointSpec stream(String id, long startedAtMillis) {
    return new EndpointSpec(
        id, "engines", "10.0.0.1:80", "d1", "r1", 16, false, 0, startedAtMillis, "m", 1);
  }

  /**
   * Calls of all kinds beside heads, failures, silences, restarts and an odd directory, drawn at
   * random. The checks know what was said only from the responses.
   */
  @ParameterizedTest
  @CsvSource({"8, 1", "8, 2", "8, 3", "30, 4", "30, 5", "109, 6", "300, 7", "3, 8"})
  void sendsNoCallAgainstWhatEndpointsSaid(int endpoints, long seed) {
    new Drawn(endpoints, seed).run(60_000);
  }

  @Test
  void keepsNoticeWhileTheDirectoryIsAwayOrShowsTheEndpointAsReady() {
    Fixture fixture = new Fixture().withEndpoints(stream("a", 1));
    fixture.decider.onEndpointNotice(fixture.now, stream("a", 1), LEAVES);
    fixture.decider.updateEndpoints(fixture.now, List.of());
    fixture.now += 60_000;
    fixture.decider.recordConfirmation(fixture.now);
    fixture.decider.updateEndpoints(fixture.now, List.of(stream("a", 1)));
    assertThat(Fixture.rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
  }

  @Test
  void sendsCallsToAnotherIncarnation() {
    for (EndpointSpec next : List.of(stream("a", 2), stream("b", 1))) {
      Fixture fixture = new Fixture().withEndpoints(stream("a", 1));
      fixture.decider.onEndpointNotice(fixture.now, stream("a", 1), LEAVES);
      fixture.decider.updateEndpoints(fixture.now, List.of(next));
      assertThat(Fixture.dispatch(fixture.call("/s/")).endpoint()).isEqualTo(next);
    }
  }

  /** Guards against: a second response shortens the time that the first one named. */
  @Test
  void keepsTheLongestPause() {
    Fixture fixture = new Fixture().withEndpoints(stream("a", 1));
    fixture.decider.onEndpointNotice(fixture.now, stream("a", 1), pauses(2_000));
    fixture.now += 100;
    fixture.decider.onEndpointNotice(fixture.now, stream("a", 1), pauses(500));
    fixture.decider.onEndpointNotice(fixture.now, stream("a", 1), EndpointNotice.NONE);
    fixture.now += 1_800;
    assertThat(Fixture.rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
    fixture.now += 100;
    assertThat(Fixture.dispatch(fixture.call("/s/")).endpoint().id()).isEqualTo("a");
  }

  /** Failure: a call that waits in the queue is kept there though no endpoint returns in time. */
  @Test
  void rejectsQueuedCallsOnceAllEndpointsPause() {
    EndpointSpec only = Fixture.plain("p1");
    Fixture fixture = new Fixture().withEndpoints(only);
    CallEffect.Dispatch first = null;
    for (int i = 0; i < only.slots(); i++) {
      first = Fixture.dispatch(fixture.call("/o/"));
    }
    final long queued = fixture.lastNumber() + 1;
    assertThat(Fixture.find(fixture.call("/o/"), CallEffect.Dispatch.class)).isEmpty();
    fixture.now += 10;
    fixture.decider.onEndpointNotice(fixture.now, only, pauses(3_000));
    List<CallEffect> effects =
        fixture.decider.onResponseHead(
            fixture.now, first.call(), first.attempt(), Fixture.notExecuted());
    CallEffect.Reject rejected =
        effects.stream()
            .filter(CallEffect.Reject.class::isInstance)
            .map(CallEffect.Reject.class::cast)
            .filter(r -> r.call() == queued)
            .findFirst()
            .orElseThrow();
    assertThat(rejected.rejection()).isEqualTo(Rejection.NO_ENDPOINT);
    assertThat(rejected.retryAfterMillis()).isBetween(3_000L, 3_700L);
  }

  /** Failure: when a pause ends, all calls of the moment go to the endpoint at once. */
  @Test
  void sendsCallsOneByOneAfterPauseUntilOneIsTaken() {
    EndpointSpec only = stream("a", 1);
    Fixture fixture = new Fixture().withEndpoints(only);
    fixture.decider.onEndpointNotice(fixture.now, only, pauses(1_000));
    fixture.now += 1_000;
    fixture.decider.recordConfirmation(fixture.now);
    final CallEffect.Dispatch trial = Fixture.dispatch(fixture.call("/s/"));
    assertThat(Fixture.rejection(fixture.call("/s/"))).isEqualTo(Rejection.OVERLOADED);
    fixture.now += 300;
    fixture.decider.onEndpointNotice(fixture.now, only, EndpointNotice.NONE);
    fixture.decider.onResponseHead(fixture.now, trial.call(), trial.attempt(), Fixture.head(200));
    assertThat(Fixture.dispatch(fixture.call("/s/")).endpoint()).isEqualTo(only);
    assertThat(Fixture.dispatch(fixture.call("/s/")).endpoint()).isEqualTo(only);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "503 | 1 | 2 | true | 2000 | false",
        "503 | 1 | 0 | true | 0 | false",
        "503 | 0 | 0.5 | false | 500 | true",
        "200 | 1 | 2 | true | 0 | false",
        "429 | 1 | 2 | true | 0 | false",
        "503 | '' | '' | false | 0 | true",
        "503 | 1 | 99999999999999999999 | true | 86400000 | false",
        "503 | yes | -1 | false | 0 | true",
      })
  void readsHeaders(
      int status,
      String leaving,
      String retryAfter,
      boolean leaves,
      long pauseMillis,
      boolean unreadable) {
    assertThat(EndpointNotice.parse(status, List.of(leaving), List.of(retryAfter)))
        .isEqualTo(new EndpointNotice(leaves, pauseMillis, unreadable));
  }

  /** One entry and endpoints that say at random times that they leave or pause. */
  private static final class Drawn {
    private final Random random;
    private final Fixture fixture = new Fixture();
    private final Map<String, EndpointSpec> endpointById = new HashMap<>();
    private final Set<EndpointSpec> left = new HashSet<>();
    private final Map<EndpointSpec, Long> pausedUntil = new HashMap<>();
    private final List<CallEffect.Dispatch> open = new ArrayList<>();
    private int dispatches;

    Drawn(int endpoints, long seed) {
      random = new Random(seed);
      for (int i = 0; i < endpoints; i++) {
        boolean engine = i % 3 > 0;
        EndpointSpec spec = engine ? stream("i" + i, 1) : Fixture.plain("i" + i);
        endpointById.put(spec.id(), spec);
      }
      fixture.withEndpoints(endpointById.values().toArray(EndpointSpec[]::new));
    }

    void run(long millis) {
      long end = fixture.now + millis;
      while (fixture.now < end) {
        fixture.now += random.nextInt(20);
        fixture.decider.recordConfirmation(fixture.now);
        switch (random.nextInt(12)) {
          case 0, 1, 2, 3 ->
              apply(fixture.call(List.of("/s/", "/o/", "/c/").get(random.nextInt(3))));
          case 4, 5, 6 -> respond();
          case 7 -> fail();
          case 8 -> changeDirectory();
          default -> apply(fixture.decider.sweep(fixture.now));
        }
      }
      assertThat(dispatches).isGreaterThan(200);
    }

    private void respond() {
      if (open.isEmpty()) {
        return;
      }
      CallEffect.Dispatch d = open.remove(random.nextInt(open.size()));
      EndpointNotice notice = EndpointNotice.NONE;
      int drawn = random.nextInt(40);
      ResponseHead head = Fixture.head(random.nextInt(10) == 0 ? 500 : 200);
      if (drawn == 0) {
        notice = LEAVES;
        left.add(d.endpoint());
      } else if (drawn < 4) {
        notice = pauses(1 + random.nextInt(8_000));
        head = Fixture.notExecuted();
        pausedUntil.merge(d.endpoint(), fixture.now + notice.pauseMillis(), Math::max);
      }
      fixture.decider.onEndpointNotice(fixture.now, d.endpoint(), notice);
      apply(fixture.decider.onResponseHead(fixture.now, d.call(), d.attempt(), head));
      apply(fixture.decider.onResponseEnd(fixture.now, d.call(), d.attempt()));
    }

    private void fail() {
      if (!open.isEmpty()) {
        CallEffect.Dispatch d = open.remove(random.nextInt(open.size()));
        apply(
            fixture.decider.onAttemptFailure(
                fixture.now, d.call(), d.attempt(), random.nextBoolean(), "drawn"));
      }
    }

    /** Lists the endpoints again, some of them missing or started again under their ids. */
    private void changeDirectory() {
      List<String> ids = List.copyOf(endpointById.keySet());
      if (random.nextInt(4) == 0) {
        String id = ids.get(random.nextInt(ids.size()));
        EndpointSpec old = endpointById.get(id);
        long startedAt = old.startedAtMillis() + 1;
        endpointById.put(
            id,
            new EndpointSpec(
                id,
                old.service(),
                old.address(),
                old.domain(),
                old.region(),
                old.slots(),
                false,
                0,
                startedAt,
                old.model(),
                old.version()));
      }
      double missing = random.nextInt(3) == 0 ? 0.3 : 0;
      List<EndpointSpec> listed =
          endpointById.values().stream().filter(e -> random.nextDouble() >= missing).toList();
      fixture.decider.updateEndpoints(fixture.now, listed);
    }

    private void apply(List<CallEffect> effects) {
      for (CallEffect effect : effects) {
        if (effect instanceof CallEffect.Dispatch d) {
          dispatches++;
          assertThat(left).as("call sent to an endpoint that leaves").doesNotContain(d.endpoint());
          assertThat(pausedUntil.getOrDefault(d.endpoint(), 0L))
              .as("end of the pause of the endpoint that a call was sent to")
              .isLessThanOrEqualTo(fixture.now);
          open.add(d);
        }
      }
    }
  }
}
