package org.cornelchute.policy.routing;

import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.model.Load;
import org.cornelchute.core.model.Member;

/** An entry's view of one endpoint; owned by the {@link EndpointTable}. */
final class Endpoint {

  final long weight;
  Member member;
  Health health;
  Load load;
  boolean out;
  int outstanding;
  int sentSinceReport;
  long avoidUntil;

  Endpoint(Member member, Health health, long weight) {
    this.member = member;
    this.health = health;
    this.weight = weight;
  }

  /** Takes a load report and forgets what was counted since the last one. */
  void report(Load reported) {
    load = reported;
    sentSinceReport = 0;
  }

  /**
   * Returns the requests that the endpoint is believed to hold, those of other entries included.
   */
  int held() {
    int told = load == null ? 0 : load.running() + load.queued() + sentSinceReport;
    return Math.max(outstanding, told);
  }

  /** Returns whether the endpoint says itself that it serves a target. */
  boolean isServing(Target target) {
    return load != null
        && load.ready()
        && (!target.model() || load.generation().model().equals(target.name()));
  }

  /** Returns whether the endpoint may be sent one more request now. */
  boolean hasRoom(long now) {
    if (load == null || !load.ready() || out || member.leaving() || now < avoidUntil) {
      return false;
    }
    if (health != Health.ALIVE || load.boot() != member.boot()) {
      return false;
    }
    return held() < load.limit() + Math.max(1, load.limit() / 4);
  }
}
