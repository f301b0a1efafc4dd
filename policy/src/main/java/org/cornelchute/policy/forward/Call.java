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
  final Set<String> tried = new HashSet<>();
  final long arrived;
  final long end;

  /** Time that the caller waited before, in earlier calls for the same thing. */
  final long waitedBefore;

  /** When it stops waiting for room at an endpoint, 0 if it does not wait. */
  long waitsUntil;

  int attempt;

  /** Attempts of which bytes may have left. */
  int reached;

  Endpoint endpoint;
  long dispatched;
  long lastProgress;
  long lastEvent;
  long version;

  /** Whether an attempt was lost that may have run. */
  boolean mayHaveRun;

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
    this.arrived = now;
    this.waitedBefore = waitedBefore;
    this.lastEvent = spec.lastEventId();
    this.end = now + Math.min(spec.deadlineMillis(), route.timeoutMillis());
  }

  /** Returns the time that is left until the answer, or its first event, comes late. */
  long untilLate(long now) {
    return route.targetLatencyMillis() - waitedBefore - (now - arrived);
  }

  int priority() {
    boolean own = workspace != null && workspace.priority() >= 0;
    return own ? workspace.priority() : route.priority();
  }
}
