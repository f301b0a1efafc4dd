package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * Kinds of calls that a {@link ClusterSimulation} sends, and the engines that serve them.
 *
 * @param engine performance of each engine
 * @param slots calls that an engine runs concurrently
 * @param kinds kinds of calls
 */
record LoadMix(EngineSpec engine, int slots, List<Kind> kinds) {

  /** One kind of calls whose late responses are worth a quarter. */
  static final LoadMix EVEN =
      new LoadMix(
          Fixture.ENGINE,
          16,
          List.of(new Kind("stream", 1, 1, 977, 94, Fixture.TARGET_MILLIS, 1, 0.25, 0, 0, 1)));

  /**
   * Long calls of the lowest rank beside short ones of higher ranks, more than the engines carry.
   */
  static final LoadMix RANKED =
      new LoadMix(
          new EngineSpec("m", 9.27, 0.06, 20.7, 5, 954, 95),
          12,
          List.of(
              new Kind("draft", 2, 132, 1_330, 104, 1_000, 1, 0.37, 0, 0, 1),
              new Kind("summary", 0, 168, 827, 104, 400, 3.2, 0.32, 0, 0, 1),
              new Kind("digest", 1, 92, 647, 70, 400, 1.3, 0.31, 0, 0, 1)));

  /** Returns the same mix with more calls of one kind between two times of the simulation. */
  LoadMix withBurst(String name, double factor, long fromMillis, long toMillis) {
    List<Kind> changed = new ArrayList<>();
    for (Kind k : kinds) {
      changed.add(
          k.name().equals(name)
              ? new Kind(
                  name,
                  k.priority(),
                  k.perSecond(),
                  k.promptTokens(),
                  k.outputTokens(),
                  k.targetMillis(),
                  k.worth(),
                  k.lateWorth(),
                  fromMillis,
                  toMillis,
                  factor)
              : k);
    }
    return new LoadMix(engine, slots, changed);
  }

  /** Returns the calls a second of all kinds. */
  double perSecond(long now) {
    double sum = 0;
    for (Kind k : kinds) {
      sum += k.rate(now);
    }
    return sum;
  }

  Kind pickKind(long now, Random random) {
    double point = kinds.size() == 1 ? 0 : random.nextDouble() * perSecond(now);
    for (Kind k : kinds) {
      point -= k.rate(now);
      if (point < 0) {
        return k;
      }
    }
    return kinds.get(0);
  }

  /** Returns the same mix with another priority of the routes of all kinds. */
  LoadMix withOnePriority(int priority) {
    List<Kind> changed = new ArrayList<>();
    for (Kind k : kinds) {
      changed.add(
          new Kind(
              k.name(),
              priority,
              k.perSecond(),
              k.promptTokens(),
              k.outputTokens(),
              k.targetMillis(),
              k.worth(),
              k.lateWorth(),
              k.burstFrom(),
              k.burstTo(),
              k.burstFactor()));
    }
    return new LoadMix(engine, slots, changed);
  }

  /** Returns a configuration with a route for each kind. */
  ServingConfig config() {
    List<RouteSpec> routes = new ArrayList<>();
    for (Kind k : kinds) {
      routes.add(
          new RouteSpec(
              k.name(),
              "h",
              k.path(),
              CallKind.STREAM,
              true,
              Fixture.TIMEOUT_MILLIS,
              k.targetMillis(),
              k.priority(),
              2,
              false,
              List.of(),
              List.of(new RouteSpec.WeightedService("engines", 1))));
    }
    return new ServingConfig(
        1,
        routes,
        List.of(new ServiceSpec("engines", 448, 3_000, 32, Optional.of(engine))),
        true,
        Map.of(Fixture.KEY, new WorkspaceSpec("w", 1, List.of())),
        ServingConfig.CallerLimits.DEFAULTS);
  }

  /**
   * One kind of calls.
   *
   * @param priority rank of its route
   * @param perSecond calls a second
   * @param promptTokens mean prompt length
   * @param outputTokens mean response length
   * @param targetMillis target for the time until the first event
   * @param worth worth of a call whose first event is in time
   * @param lateWorth worth of a later one
   * @param burstFrom start of a burst
   * @param burstTo end of the burst
   * @param burstFactor factor of the calls a second during the burst
   */
  record Kind(
      String name,
      int priority,
      double perSecond,
      double promptTokens,
      double outputTokens,
      long targetMillis,
      double worth,
      double lateWorth,
      long burstFrom,
      long burstTo,
      double burstFactor) {

    String path() {
      return "/" + name + "/";
    }

    double rate(long now) {
      return now >= burstFrom && now < burstTo ? perSecond * burstFactor : perSecond;
    }
  }
}
