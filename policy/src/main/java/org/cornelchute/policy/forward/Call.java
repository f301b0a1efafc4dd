package org.cornelchute.policy.forward;

import java.util.HashSet;
import java.util.Set;

/** What an entry remembers of one call until its caller has an answer. */
final class Call {

  final CallSpec spec;
  final RouteSpec route;
  final ServiceSpec service;
  final WorkspaceSpec workspace;
  final Set<String> regions;
  final Set<String> triedEndpoints = new HashSet<>();
  final long arrivedAt;
  final long deadline;

  /** Time that the caller waited before, in earlier calls for the same thing. */
  final long earlierWaitMillis;

  /** When it stops waiting for room at an endpoint, 0 if it does not wait. */
  long queuedUntil;

  int attempt;

  /** Attempts of which bytes may have left. */
  int sentAttempts;

  Endpoint endpoint;
  long dispatchedAt;
  long lastProgressAt;
  long lastEventId;
  long streamVersion;

  /** Whether an attempt was lost that may have run. */
  boolean mayHaveExecuted;

  boolean streaming;

  Call(
      CallSpec spec,
      RouteSpec route,
      ServiceSpec service,
      WorkspaceSpec workspace,
      Set<String> regions,
      long waitedBefore,
      long now) {
    this.spec = spec;
    this.route = route;
    this.service = service;
    this.workspace = workspace;
    this.regions = regions;
    this.arrivedAt = now;
    this.earlierWaitMillis = waitedBefore;
    this.lastEventId = spec.lastEventId();
    this.deadline = now + Math.min(spec.deadlineMillis(), route.timeoutMillis());
  }

  /** Returns the time that is left until the answer, or its first event, comes late. */
  long remainingTargetMillis(long now) {
    return route.targetLatencyMillis() - earlierWaitMillis - (now - arrivedAt);
  }

  int priority() {
    boolean own = workspace != null && workspace.priority() >= 0;
    return own ? workspace.priority() : route.priority();
  }
}
