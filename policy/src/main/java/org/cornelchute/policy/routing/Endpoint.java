package org.cornelchute.policy.routing;

import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.model.Load;
import org.cornelchute.core.model.Member;

/** State of one endpoint as known to an entry; owned by the {@link EndpointTable}. */
final class Endpoint {

  /** Rendezvous hash of this entry and the endpoint, which orders the choice of the subset. */
  final long rendezvousWeight;

  Member member;
  Health health;

  /** Last load report, null until the first report and after a connection failure or restart. */
  Load load;

  /** Whether the rules take the failure domain of the endpoint out of service. */
  boolean domainOut;

  /** Requests dispatched by this entry that have not ended. */
  int outstandingRequests;

  /** Requests dispatched by this entry since the last load report. */
  int dispatchedSinceReport;

  /** Time until which the endpoint receives no requests. */
  long backoffUntil;

  Endpoint(Member member, Health health, long rendezvousWeight) {
    this.member = member;
    this.health = health;
    this.rendezvousWeight = rendezvousWeight;
  }

  /** Stores a load report and resets the count of requests dispatched since the last report. */
  void applyLoadReport(Load report) {
    load = report;
    dispatchedSinceReport = 0;
  }

  /** Returns the estimated number of requests at the endpoint, including those of other entries. */
  int estimatedRequests() {
    int reported = load == null ? 0 : load.running() + load.queued() + dispatchedSinceReport;
    return Math.max(outstandingRequests, reported);
  }

  /** Returns whether the endpoint serves a target, according to its last load report. */
  boolean isServing(Target target) {
    return load != null
        && load.ready()
        && (!target.isModel() || load.generation().model().equals(target.name()));
  }

  /**
   * Returns whether the endpoint may receive another request now.
   *
   * <p>An endpoint may exceed its limit by a quarter, at least by one request; its agent queues the
   * excess.
   */
  boolean hasCapacity(long now) {
    if (load == null || !load.ready() || domainOut || member.leaving() || now < backoffUntil) {
      return false;
    }
    if (health != Health.ALIVE || load.boot() != member.boot()) {
      return false;
    }
    return estimatedRequests() < load.limit() + Math.max(1, load.limit() / 4);
  }
}
