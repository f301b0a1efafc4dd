package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.cornelchute.policy.forward.CallEndingsSimulation.SimulatedEndpoint;
import org.cornelchute.policy.forward.CallEndingsSimulation.Stage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Each call that was read ends in a complete response, a true rejection, or a response that is
 * visibly broken off, by its deadline; a sound endpoint that is silent is no reason to end one
 * sooner. Silences and other events are drawn and overlap.
 */
class CallEndingsTest {

  private static final long RUN_MILLIS = 20_000;
  private static final double CALLS_PER_SECOND = 100;
  private static final double MANY_RETRIES = 80;
  private static final double FEW_RETRIES = 4;
  private static final int SEEDS_PER_EVENT = 12;
  private static final int SILENCES = 8;
  private static final long MIN_SILENCE_MILLIS = 500;
  private static final int SILENCE_RANGE_MILLIS = 1_500;

  /** Time around a silence in which other events are drawn. */
  private static final int OVERLAP_MILLIS = 1_000;

  /** Services that are removed in some runs; each shares the calls of its routes with another. */
  private static final Set<String> REMOVABLE_SERVICES =
      Set.of(
          CallEndingsSimulation.ENGINE_SERVICES.get(0),
          CallEndingsSimulation.PLAIN_SERVICES.get(0));

  /** What happens beside a silence. */
  enum Beside {
    NOTHING,
    ROUTE_REMOVED,
    TIMEOUT_CHANGED,
    KEY_REMOVED,
    SPLIT_MOVED,
    SPLIT_WEIGHT_ZERO,
    SERVICE_DROPPED_FROM_SPLIT,
    SERVICE_REMOVED,
    SERVICE_REMOVED_WITH_ENDPOINTS,
    ROUTE_REGIONS_CHANGED,
    WORKSPACE_CHANGED,
    IDLE_TIMEOUT_SHORTENED,
    DOMAIN_EVACUATED,
    VERSION_ASSIGNED,
    ENDPOINT_DRAINING,
    ENDPOINT_UNLISTED,
    ENDPOINT_CRASHED,
    ENDPOINTS_REFUSE,
    STORE_AWAY
  }

  /** Failure: streams were broken off because their endpoints were silent for a second. */
  @ParameterizedTest
  @EnumSource(Beside.class)
  void everyCallHasOneTrueEnd(Beside beside) {
    Set<Stage> stages = EnumSet.noneOf(Stage.class);
    for (long seed = 1; seed <= SEEDS_PER_EVENT; seed++) {
      CallEndingsSimulation simulation = run(seed, List.of(beside));
      assertThat(simulation.violations).as(beside + ", seed " + seed).isEmpty();
      assertThat(simulation.servedByRoute).as("routes with complete responses").hasSize(4);
      stages.addAll(simulation.stagesAtEvents);
    }
    assertThat(stages).as("stages of calls at events").containsExactlyInAnyOrder(Stage.values());
  }

  /** Failure: as above, with all events drawn in one run. */
  @ParameterizedTest
  @ValueSource(longs = {101, 102, 103, 104, 105, 106, 107, 108})
  void everyCallHasOneTrueEndBesideAllEvents(long seed) {
    CallEndingsSimulation simulation = run(seed, List.of(Beside.values()));
    assertThat(simulation.violations).as("seed " + seed).isEmpty();
  }

  private static CallEndingsSimulation run(long seed, List<Beside> events) {
    CallEndingsSimulation simulation =
        new CallEndingsSimulation(seed, seed % 2 == 0 ? MANY_RETRIES : FEW_RETRIES);
    simulation.sendCalls(RUN_MILLIS - CallEndingsSimulation.TIMEOUT_MILLIS, CALLS_PER_SECOND);
    for (int i = 0; i < SILENCES; i++) {
      long at = simulation.random.nextInt((int) RUN_MILLIS);
      long millis = MIN_SILENCE_MILLIS + simulation.random.nextInt(SILENCE_RANGE_MILLIS);
      int share = 1 + simulation.random.nextInt(3);
      simulation.at(at, () -> silence(simulation, share, millis));
      Beside event = events.get(simulation.random.nextInt(events.size()));
      long eventAt =
          Math.max(0, at - OVERLAP_MILLIS + simulation.random.nextInt(2 * OVERLAP_MILLIS));
      simulation.at(eventAt, () -> happen(simulation, event));
    }
    simulation.run(RUN_MILLIS + CallEndingsSimulation.TIMEOUT_MILLIS);
    return simulation;
  }

  /** Silences one endpoint, a third of all, or all of them. */
  private static void silence(CallEndingsSimulation simulation, int share, long millis) {
    int size = simulation.endpoints.size();
    int count = share == 1 ? 1 : share == 2 ? size / 3 : size;
    List<SimulatedEndpoint> shuffled = new ArrayList<>(simulation.endpoints);
    Collections.shuffle(shuffled, simulation.random);
    shuffled.subList(0, count).forEach(e -> e.silence(millis));
  }

  private static void happen(CallEndingsSimulation s, Beside event) {
    s.recordStages();
    SimulatedEndpoint endpoint = s.endpoints.get(s.random.nextInt(s.endpoints.size()));
    long timeout = CallEndingsSimulation.TIMEOUT_MILLIS;
    long duration = 1_000 + s.random.nextInt(1_000);
    switch (event) {
      case NOTHING -> {}
      case ROUTE_REMOVED ->
          change(
              s,
              duration,
              () -> s.removedRoutes.addAll(Set.of("resumable", "order")),
              s.removedRoutes::clear);
      case TIMEOUT_CHANGED ->
          change(s, duration, () -> s.timeoutMillis = timeout / 2, () -> s.timeoutMillis = timeout);
      case KEY_REMOVED -> change(s, duration, () -> s.withKey = false, () -> s.withKey = true);
      case SPLIT_MOVED -> changeWeights(s, duration, 0.1, 0.9);
      case SPLIT_WEIGHT_ZERO -> changeWeights(s, duration, 0, 1);
      case SERVICE_DROPPED_FROM_SPLIT -> changeWeights(s, duration, -1, 1);
      case SERVICE_REMOVED ->
          change(
              s,
              duration,
              () -> s.removedServices.addAll(REMOVABLE_SERVICES),
              s.removedServices::clear);
      case SERVICE_REMOVED_WITH_ENDPOINTS -> {
        List<SimulatedEndpoint> removed =
            s.endpoints.stream()
                .filter(e -> REMOVABLE_SERVICES.contains(e.spec.service()))
                .toList();
        change(
            s,
            duration,
            () -> {
              s.removedServices.addAll(REMOVABLE_SERVICES);
              s.unlisted.addAll(removed);
              s.listEndpoints();
            },
            () -> {
              s.removedServices.clear();
              s.unlisted.removeAll(removed);
              s.listEndpoints();
            });
      }
      case ROUTE_REGIONS_CHANGED ->
          change(
              s, duration, () -> s.routeRegions = List.of("d0"), () -> s.routeRegions = List.of());
      case WORKSPACE_CHANGED -> {
        WorkspaceSpec before = s.workspace;
        change(
            s,
            duration,
            () -> s.workspace = new WorkspaceSpec("w2", 0, List.of("d1")),
            () -> s.workspace = before);
      }
      case IDLE_TIMEOUT_SHORTENED -> {
        long before = s.idleTimeoutMillis;
        change(s, duration, () -> s.idleTimeoutMillis = 1, () -> s.idleTimeoutMillis = before);
      }
      case DOMAIN_EVACUATED -> {
        s.decider.updateEvacuatedDomains(Set.of("d" + s.random.nextInt(2)));
        s.at(duration, () -> s.decider.updateEvacuatedDomains(Set.of()));
      }
      case VERSION_ASSIGNED -> {
        s.versionAssigned = true;
        s.decider.recordVersion(s.now - 8_000, s.now - 8_000, "m", 1);
        s.decider.recordVersion(s.now - 7_300, s.now - 7_200, "m", 2);
        s.at(duration, () -> loadVersion(s));
      }
      case ENDPOINT_DRAINING -> {
        EndpointSpec before = endpoint.spec;
        endpoint.spec = withDraining(before, true);
        s.listEndpoints();
        s.at(
            duration,
            () -> {
              endpoint.spec = withDraining(endpoint.spec, false);
              s.listEndpoints();
            });
      }
      case ENDPOINT_UNLISTED -> {
        s.unlisted.add(endpoint);
        s.listEndpoints();
        s.at(
            duration,
            () -> {
              s.unlisted.remove(endpoint);
              s.listEndpoints();
            });
      }
      case ENDPOINT_CRASHED -> {
        endpoint.crash();
        s.at(duration, () -> endpoint.down = false);
      }
      case ENDPOINTS_REFUSE -> {
        s.endpoints.forEach(e -> e.refusing = s.random.nextBoolean());
        s.at(duration, () -> s.endpoints.forEach(e -> e.refusing = false));
      }
      case STORE_AWAY -> {
        s.storeAvailable = false;
        s.at(3 * duration, () -> s.storeAvailable = true);
      }
      default -> throw new IllegalArgumentException(event.name());
    }
  }

  /** Publishes a change of the configuration, and its reversal after a time. */
  private static void change(
      CallEndingsSimulation s, long millis, Runnable change, Runnable reversal) {
    change.run();
    s.publishConfig();
    s.at(
        millis,
        () -> {
          reversal.run();
          s.publishConfig();
        });
  }

  /**
   * Changes the weights of the services of all routes; a service with a negative one is dropped.
   */
  private static void changeWeights(
      CallEndingsSimulation s, long millis, double first, double second) {
    change(
        s, millis, () -> s.weights = List.of(first, second), () -> s.weights = List.of(1.0, 1.0));
  }

  /** All engines load the assigned weights one after the other; running calls are completed. */
  private static void loadVersion(CallEndingsSimulation s) {
    for (SimulatedEndpoint endpoint : s.endpoints) {
      EndpointSpec e = endpoint.spec;
      if (e.version() == 1) {
        endpoint.spec =
            new EndpointSpec(
                e.id(),
                e.service(),
                e.address(),
                e.domain(),
                e.region(),
                e.slots(),
                e.draining(),
                e.coldRemainingMillis(),
                e.startedAtMillis(),
                e.model(),
                2,
                e.revision());
      }
    }
    s.listEndpoints();
  }

  private static EndpointSpec withDraining(EndpointSpec e, boolean draining) {
    return new EndpointSpec(
        e.id(),
        e.service(),
        e.address(),
        e.domain(),
        e.region(),
        e.slots(),
        draining,
        e.coldRemainingMillis(),
        e.startedAtMillis(),
        e.model(),
        e.version(),
        e.revision());
  }
}
