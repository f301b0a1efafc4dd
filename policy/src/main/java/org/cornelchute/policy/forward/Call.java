package org.cornelchute.policy.forward;

import java.util.HashSet;
import java.util.Set;

/** State of one call from its arrival to its final response. */
final class Call {

  final CallSpec spec;
  final RouteSpec route;
  final ServiceSpec service;
  final WorkspaceSpec workspace;
  final Set<String> regions;
  final Set<String> triedEndpoints = new HashSet<>();
  final long arrivedAt;

  /** Time at which the call ends without a complete response. */
  final long deadline;

  /** Time that the caller already waited in earlier tries of the same call. */
  final long earlierWaitMillis;

  /** Time at which the call leaves the queue unserved, 0 if it is not queued. */
  long queuedUntil;

  /** Number of the latest attempt, from 1. */
  int lastAttempt;

  /** Number of attempts of which bytes may have reached an endpoint. */
  int sentAttempts;

  /** Attempt whose response the caller receives, null if there is none. */
  Attempt current;

  /**
   * Attempt that was started because the endpoint of the current one is silent, null if there is
   * none. It replaces the current attempt if that fails, or if it delivers first.
   */
  Attempt backup;

  /** Id of the last event that was delivered to the caller, negative if none. */
  long lastEventId;

  /** Whether the last event that was delivered has an id, or none was delivered. */
  boolean resumable = true;

  /** Version of the weights that the stream started on. */
  long streamVersion;

  /** Whether the end of an endpoint that was silent on an attempt was recorded as a crash. */
  boolean silentCrashRecorded;

  /** Whether an attempt without a response may have been executed. */
  boolean mayHaveExecuted;

  /** Whether events are forwarded to the caller, so that a rejection is no longer possible. */
  boolean streaming;

  Call(
      CallSpec spec,
      RouteSpec route,
      ServiceSpec service,
      WorkspaceSpec workspace,
      Set<String> regions,
      long earlierWaitMillis,
      long now) {
    this.spec = spec;
    this.route = route;
    this.service = service;
    this.workspace = workspace;
    this.regions = regions;
    this.arrivedAt = now;
    this.earlierWaitMillis = earlierWaitMillis;
    this.lastEventId = spec.lastEventId();
    this.deadline = now + Math.min(spec.deadlineMillis(), route.timeoutMillis());
  }

  /**
   * Returns the time left until the response, or its first event, misses the target latency;
   * negative if it has already missed it.
   */
  long remainingTargetMillis(long now) {
    return route.targetLatencyMillis() - earlierWaitMillis - (now - arrivedAt);
  }

  /** Returns the attempt with a number if it is still open, null otherwise. */
  Attempt findAttempt(int number) {
    if (current != null && current.number == number) {
      return current;
    }
    return backup != null && backup.number == number ? backup : null;
  }

  int priority() {
    return priority(route, workspace);
  }

  /**
   * Returns the rank of the calls of a workspace on a route.
   *
   * @param workspace workspace of the calls, null if they have none
   */
  static int priority(RouteSpec route, WorkspaceSpec workspace) {
    boolean workspacePriority = workspace != null && workspace.priority() >= 0;
    return workspacePriority ? workspace.priority() : route.priority();
  }
}
