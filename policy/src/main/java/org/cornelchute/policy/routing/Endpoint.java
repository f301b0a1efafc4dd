package org.cornelchute.policy.routing;

import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.model.Load;
import org.cornelchute.core.model.Member;

/** An entry's view of one endpoint; owned by the {@link EndpointTable}. */
final class Endpoint {

  final long rendezvousWeight;
  Member member;
  Health health;
  Load load;
  boolean domainOut;
  int outstandingRequests;
  int dispatchedSinceReport;
  long backoffUntil;

  Endpoint(Member member, Health health, long weight) {
    this.member = member;
    this.health = health;
    this.rendezvousWeight = weight;
  }

  /** Takes a load report and forgets what was counted since the last one. */
  void applyLoadReport(Load reported) {
    load = reported;
    dispatchedSinceReport = 0;
  }

  /**
   * Returns the requests that the endpoint is believed to hold, those of other entries included.
   */
  int estimatedRequests() {
    int told = load == null ? 0 : load.running() + load.queued() + dispatchedSinceReport;
    return Math.max(outstandingRequests, told);
  }

  /** Returns whether the endpoint says itself that it serves a target. */
  boolean isServing(Target target) {
    return load != null
        && load.ready()
        && (!target.isModel() || load.generation().model().equals(target.name()));
  }

  /** Returns whether the endpoint may be sent one more request now. */
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
