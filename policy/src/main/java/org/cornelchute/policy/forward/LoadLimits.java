package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.cornelchute.policy.forward.EndpointPool.Choice;
import org.cornelchute.policy.load.TrunkReservation;

/**
 * Load per slot up to which endpoints accept the calls of one entry, and the time for which calls
 * wait for room.
 *
 * <p>Where the routes to an engine service have different priorities, room is reserved for the more
 * urgent calls. The priority of a workspace goes before that of the route.
 */
final class LoadLimits {

  /** Load per slot up to which endpoints of plain services accept calls. */
  private static final double PLAIN_MAX_LOAD_PER_SLOT = 1.0;

  /**
   * Load per slot up to which engines accept calls. Lower than for plain services because
   * concurrent calls slow each other down and the load from other entries is only estimated.
   */
  private static final double ENGINE_MAX_LOAD_PER_SLOT = 0.95;

  /**
   * Load per slot up to which endpoints accept new calls that are expected to miss their target
   * latency. The remaining slots are reserved for calls that can still meet it.
   */
  private static final double LATE_CALL_MAX_LOAD_PER_SLOT = 0.6;

  /** Time left to the target latency below which a new call is expected to miss it. */
  private static final long MIN_REMAINING_TARGET_MILLIS = 60;

  /** Fraction of the time left to the target latency that a call may spend in the queue. */
  private static final double MAX_QUEUE_TIME_SHARE = 0.5;

  /** Factor by which the rank of a workspace outweighs that of a route. */
  private static final int WORKSPACE_RANK_FACTOR = 1_000;

  private final Map<String, TrunkReservation> reservationByService = new HashMap<>();

  /** Reserves room at the engine services whose stream routes have different priorities. */
  void updateConfig(ServingConfig config) {
    Map<String, Set<Integer>> prioritiesByService = new HashMap<>();
    for (RouteSpec route : config.routes()) {
      if (route.kind() != CallKind.STREAM) {
        continue;
      }
      for (RouteSpec.WeightedService s : route.services()) {
        prioritiesByService
            .computeIfAbsent(s.service(), name -> new HashSet<>())
            .add(route.priority());
      }
    }
    prioritiesByService
        .entrySet()
        .removeIf(e -> e.getValue().size() < 2 || !isEngine(config, e.getKey()));
    reservationByService.keySet().retainAll(prioritiesByService.keySet());
    for (String service : prioritiesByService.keySet()) {
      reservationByService.computeIfAbsent(service, name -> new TrunkReservation());
    }
  }

  private static boolean isEngine(ServingConfig config, String service) {
    return config.findService(service).flatMap(ServiceSpec::engine).isPresent();
  }

  /** Returns whether room is reserved for urgent calls at the endpoints of a service. */
  boolean reservesRoom(ServiceSpec service) {
    return reservationByService.containsKey(service.name());
  }

  /** Records the arrival of a call, accepted or not. */
  void recordArrival(long now, Call call) {
    TrunkReservation reservation = reservationByService.get(call.service.name());
    if (reservation != null) {
      reservation.recordArrival(now, rankOf(call));
    }
  }

  /** Returns the limit for a call that has just arrived. */
  double ofNewCall(long now, Call call) {
    double limit = ofCall(call);
    return call.remainingTargetMillis(now) < MIN_REMAINING_TARGET_MILLIS
        ? Math.min(limit, LATE_CALL_MAX_LOAD_PER_SLOT)
        : limit;
  }

  /** Returns the limit for a call that can still meet its target latency. */
  double ofCall(Call call) {
    TrunkReservation reservation = reservationByService.get(call.service.name());
    if (reservation != null) {
      return reservation.maxLoadPerSlot(rankOf(call));
    }
    return call.service.engine().isPresent() ? ENGINE_MAX_LOAD_PER_SLOT : PLAIN_MAX_LOAD_PER_SLOT;
  }

  /**
   * Returns for how long a call that was not sent yet may be queued, so that it can still meet its
   * target latency afterwards; 0 if it may not.
   *
   * <p>Calls to engines are not queued. The first event of an engine takes most of the target
   * latency, so a queued call would miss its target and occupy the slot of a call that would not.
   */
  long maxQueueMillis(long now, Call call) {
    return call.service.engine().isPresent()
        ? 0
        : Math.max(0, (long) (call.remainingTargetMillis(now) * MAX_QUEUE_TIME_SHARE));
  }

  /** Returns the reason for the log why a call within a limit of the load finds no room. */
  static String noRoom(Choice choice, double maxLoadPerSlot) {
    return String.format(
        Locale.ROOT,
        "no endpoint has a free slot, allowed=%d maxLoad=%.2f",
        choice.eligibleCount(),
        maxLoadPerSlot);
  }

  /** Returns the priority that is sent to the endpoint, 0 for the most urgent calls. */
  int requestPriority(Call call) {
    TrunkReservation reservation = reservationByService.get(call.service.name());
    return reservation == null ? call.priority() : reservation.priorityOf(rankOf(call));
  }

  private static int rankOf(Call call) {
    return WORKSPACE_RANK_FACTOR * bounded(call.priority()) + bounded(call.route.priority());
  }

  private static int bounded(int priority) {
    return Math.max(0, Math.min(WORKSPACE_RANK_FACTOR - 1, priority));
  }
}
