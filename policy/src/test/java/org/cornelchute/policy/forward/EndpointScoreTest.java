package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.cornelchute.policy.load.EndpointLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Choice of an engine by load, speed and cached prompt prefixes; virtual time. */
class EndpointScoreTest {

  private static final int PREFIX_TOKENS = 800;
  private static final List<Long> PARTS = List.of(1L);
  private static final List<Integer> TOKENS = List.of(PREFIX_TOKENS);
  private static final WeightsSwitch CACHES = new WeightsSwitch(1, 0, 0, true);

  private final Fixture fixture = new Fixture();
  private long lastNumber = 1_000;

  private static EndpointSpec engine(int index, long startedAt, long version) {
    String address = "10.0.0." + index + ":80";
    return new EndpointSpec(
        "i" + index, "engines", address, "d1", "d1", 16, false, 0, startedAt, "m", version);
  }

  /** Provides a configuration whose engines publish their memory. */
  private Fixture start(long memoryTokens) {
    fixture.withEndpoints();
    EngineSpec spec =
        new EngineSpec("m", 8.87, 0.04, 19.1, 0.02, 0.5, 2_048, memoryTokens, 5, 977, 94);
    RouteSpec route =
        new RouteSpec(
            "stream",
            "h",
            "/s/",
            CallKind.STREAM,
            true,
            Fixture.TIMEOUT_MILLIS,
            Fixture.TARGET_MILLIS,
            1,
            2,
            false,
            List.of(),
            List.of(new RouteSpec.WeightedService("engines", 1)));
    fixture.decider.updateConfig(
        new ServingConfig(
            2,
            List.of(route),
            List.of(new ServiceSpec("engines", 314, 3_000, 26, Optional.of(spec)), Fixture.PLAIN),
            true,
            Map.of(Fixture.KEY, new WorkspaceSpec("w1", 1, List.of())),
            ServingConfig.CallerLimits.DEFAULTS));
    return fixture;
  }

  private void list(EndpointSpec... specs) {
    fixture.decider.updateEndpoints(fixture.now, List.of(specs));
    fixture.decider.recordConfirmation(fixture.now);
  }

  private CallEffect.Dispatch call(List<Long> parts, List<Integer> tokens) {
    return call(fixture, ++lastNumber, parts, tokens).orElseThrow();
  }

  private static Optional<CallEffect.Dispatch> call(
      Fixture fixture, long number, List<Long> parts, List<Integer> tokens) {
    CallSpec spec =
        new CallSpec(
            number,
            "id",
            "h",
            "/s/",
            Fixture.KEY,
            Fixture.TIMEOUT_MILLIS,
            977,
            94,
            0,
            -1,
            parts,
            tokens);
    return Fixture.find(fixture.decider.onCall(fixture.now, spec), CallEffect.Dispatch.class);
  }

  private static void begin(Fixture fixture, CallEffect.Dispatch dispatch, String load) {
    ResponseHead head =
        new ResponseHead(
            200, false, false, true, false, 0, EndpointLoad.parse(load), NamedLimit.NONE);
    fixture.decider.onResponseHead(fixture.now, dispatch.call(), dispatch.attempt(), head);
  }

  private static void end(Fixture fixture, CallEffect.Dispatch dispatch) {
    fixture.decider.onResponseEnd(fixture.now, dispatch.call(), dispatch.attempt());
  }

  /** Lets the first engine alone serve a call with a prompt, then lists the second one as well. */
  private void serveAtFirstEngine(List<Long> parts, List<Integer> tokens) {
    list(engine(1, 1, 1));
    CallEffect.Dispatch served = call(parts, tokens);
    begin(fixture, served, "1,0,16");
    end(fixture, served);
    fixture.now += 1_000;
    list(engine(1, 1, 1), engine(2, 1, 1));
  }

  /** Returns how many calls in a row the first engine gets while none of them ends. */
  private int callsToFirstEngine() {
    int calls = 0;
    while (call(PARTS, TOKENS).endpoint().id().equals("i1")) {
      calls++;
    }
    return calls;
  }

  private void announceCache() {
    fixture.decider.updateWeightsSwitches(fixture.now, Map.of("10.0.0.1", CACHES));
  }

  // Failure: an engine that holds the prefix gets calls that wait there longer than they save.
  @Test
  void prefersCachedPrefixWhileTheWaitIsShorterThanTheSaving() {
    start(300_000);
    list(engine(1, 1, 1));
    announceCache();
    serveAtFirstEngine(PARTS, TOKENS);
    // 42 of 106 ms are saved, which is the load of 6.3 of 16 slots.
    assertThat(callsToFirstEngine()).isEqualTo(7);
    assertThat(fixture.decider.prefixCaches().engineCount()).isEqualTo(1);
  }

  // Failure: an engine that caches nothing, or whose memory is not known, gets calls for nothing.
  @ParameterizedTest
  @CsvSource({"300000, false, true", "0, true, true", "300000, true, false"})
  void savesNothingWithoutCacheOrMemoryOrTokens(long memory, boolean caches, boolean hasTokens) {
    start(memory);
    list(engine(1, 1, 1));
    if (caches) {
      announceCache();
    }
    serveAtFirstEngine(PARTS, hasTokens ? TOKENS : List.of());
    assertThat(callsToFirstEngine()).isLessThanOrEqualTo(1);
    assertThat(fixture.decider.prefixCaches().prefixCount()).isZero();
  }

  // Failure: an engine keeps getting calls for prefixes that it lost with its process.
  @Test
  void forgetsPrefixesOfEnginesThatRestarted() {
    start(300_000);
    list(engine(1, 1, 1));
    announceCache();
    serveAtFirstEngine(PARTS, TOKENS);
    list(engine(1, 2, 1), engine(2, 1, 1));
    assertThat(callsToFirstEngine()).isLessThanOrEqualTo(1);
    assertThat(fixture.decider.prefixCaches().engineCount()).isZero();
    announceCache();
    assertThat(fixture.decider.prefixCaches().engineCount())
        .as("a row of the incarnation before")
        .isZero();
  }

  // Failure: an engine keeps getting calls for prefixes that it computed with other weights.
  @Test
  void forgetsPrefixesOfOtherWeights() {
    start(300_000);
    list(engine(1, 1, 1));
    announceCache();
    serveAtFirstEngine(PARTS, TOKENS);
    list(engine(1, 1, 2), engine(2, 1, 2));
    assertThat(callsToFirstEngine()).isLessThanOrEqualTo(1);
  }

  // Failure: an engine keeps getting calls for prefixes that other prompts have replaced.
  @Test
  void forgetsPrefixesBeyondTheMemory() {
    start(1_500);
    list(engine(1, 1, 1));
    announceCache();
    serveAtFirstEngine(PARTS, TOKENS);
    serveAtFirstEngine(List.of(2L), List.of(900));
    assertThat(callsToFirstEngine()).isLessThanOrEqualTo(1);
  }

  // Failure: a row without the fourth number, as a former build writes it, keeps the cache.
  @Test
  void forgetsPrefixesOfEnginesThatNoLongerCache() {
    start(300_000);
    list(engine(1, 1, 1));
    announceCache();
    serveAtFirstEngine(PARTS, TOKENS);
    fixture.decider.updateWeightsSwitches(
        fixture.now, Map.of("10.0.0.1", new WeightsSwitch(1, 1, 1)));
    assertThat(callsToFirstEngine()).isLessThanOrEqualTo(1);
  }

  // Failure: a row that names no versions makes the engine look as if it had no weights, or as if
  // it were about to load others.
  @Test
  void takesNoVersionFromRowsWithoutSwitch() {
    start(300_000);
    list(engine(1, 1, 3));
    announceCache();
    assertThat(call(PARTS, TOKENS).expectedVersion()).isZero();
    list(engine(1, 1, 2));
    fixture.decider.recordVersion(fixture.now, fixture.now, "m", 3);
    fixture.now += 20_000;
    fixture.decider.recordConfirmation(fixture.now);
    assertThat(call(fixture, ++lastNumber, PARTS, TOKENS)).isEmpty();
  }

  // Failure: calls wait at a slow engine though another one is idle, or the slow one gets none at
  // all though it is idle and the others are full.
  @Test
  void sendsFewerCallsToSlowEngines() {
    start(0);
    list(engine(1, 1, 1), engine(2, 1, 1));
    List<CallEffect.Dispatch> first = List.of(call(PARTS, TOKENS), call(PARTS, TOKENS));
    for (CallEffect.Dispatch dispatch : first) {
      boolean slow = dispatch.endpoint().id().equals("i1");
      for (int i = 0; i < 6; i++) {
        begin(fixture, dispatch, slow ? "1,0,16,250" : "1,0,16,100");
      }
      end(fixture, dispatch);
    }
    int[] calls = new int[3];
    for (int i = 0; i < 20; i++) {
      calls[Integer.parseInt(call(PARTS, TOKENS).endpoint().id().substring(1))]++;
    }
    assertThat(calls[1]).as("calls at the slow engine").isBetween(4, 7);
    assertThat(fixture.decider.endpointSpeeds().slowCount(fixture.now)).isEqualTo(1);
  }

  // Failure: a fast engine or one with the prefix gets calls beyond its load bound.
  @Test
  void keepsLoadBounds() {
    start(300_000);
    list(engine(1, 1, 1));
    announceCache();
    serveAtFirstEngine(PARTS, List.of(900));
    CallEffect.Dispatch served = call(PARTS, TOKENS);
    for (int i = 0; i < 6; i++) {
      begin(fixture, served, "1,0,16,10");
    }
    end(fixture, served);
    int[] calls = new int[3];
    Optional<CallEffect.Dispatch> next = call(fixture, ++lastNumber, PARTS, TOKENS);
    while (next.isPresent()) {
      calls[Integer.parseInt(next.get().endpoint().id().substring(1))]++;
      next = call(fixture, ++lastNumber, PARTS, TOKENS);
    }
    assertThat(calls[1]).isEqualTo(16);
    assertThat(calls[2]).isEqualTo(16);
  }

  // Failure: deployments without speeds and cached prefixes are served otherwise than before.
  @ParameterizedTest
  @CsvSource({"1", "2", "3"})
  void choosesByLoadAloneWithoutSpeedsAndPrefixes(long seed) {
    List<String> plain = choices(seed, false);
    assertThat(choices(seed, true)).isEqualTo(plain);
    assertThat(plain).hasSizeGreaterThan(200);
  }

  /** Returns the engines that calls were sent to. */
  private static List<String> choices(long seed, boolean describesPrompts) {
    Fixture fixture = new Fixture();
    fixture.withEndpoints(
        Fixture.engine("i1", "d1", 1),
        Fixture.engine("i2", "d2", 1),
        Fixture.engine("i3", "d1", 1),
        Fixture.engine("i4", "d3", 1));
    fixture.decider.updateEntries(List.of(Fixture.OPTIONS.self(), "e2", "e3"));
    Random random = new Random(seed);
    List<CallEffect.Dispatch> open = new ArrayList<>();
    List<String> chosen = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      fixture.now += random.nextInt(20);
      fixture.decider.recordConfirmation(fixture.now);
      if (open.isEmpty() || random.nextInt(100) < 55) {
        List<Long> parts = describesPrompts ? List.of((long) random.nextInt(3)) : List.of();
        random.setSeed(seed + i);
        call(fixture, i, parts, describesPrompts ? TOKENS : List.of())
            .ifPresent(
                dispatch -> {
                  chosen.add(dispatch.endpoint().id());
                  open.add(dispatch);
                  begin(fixture, dispatch, describesPrompts ? "3,1,16,100" : "3,1,16");
                });
      } else {
        end(fixture, open.remove(random.nextInt(open.size())));
      }
    }
    return chosen;
  }
}
