package org.cornelchute.policy.forward;

import java.util.List;

/**
 * What a call would get if its route picked a service.
 *
 * @param service name of the service
 * @param share share of the calls of the route for which it is picked, from 0 to 1
 * @param maxLoadPerSlot load per slot that an endpoint must be below to take the call
 * @param minVersion minimum version of the weights that the call may start on, 0 for any
 * @param candidates all endpoints of the service, the ones that may take the call first, each group
 *     by score
 * @param choice id of the endpoint that the call is sent to, empty if it is not sent at once
 * @param queuedMillis longest time for which the call waits for a free slot, 0 if it is not queued
 * @param rejection rejection that the call gets, empty if none
 * @param reason reason of the rejection, empty if none
 */
public record ServicePlacement(
    String service,
    double share,
    double maxLoadPerSlot,
    long minVersion,
    List<CandidateExplanation> candidates,
    String choice,
    long queuedMillis,
    String rejection,
    String reason) {

  /** Returns a placement without an outcome. */
  static ServicePlacement of(
      String service,
      double share,
      double maxLoadPerSlot,
      long minVersion,
      List<CandidateExplanation> candidates) {
    return new ServicePlacement(
        service, share, maxLoadPerSlot, minVersion, candidates, "", 0, "", "");
  }

  /** Returns this placement with the endpoint that the call is sent to. */
  ServicePlacement withChoice(String endpoint) {
    return withOutcome(endpoint, 0, "", "");
  }

  /** Returns this placement with the longest time for which the call is queued. */
  ServicePlacement withQueueTime(long millis) {
    return withOutcome("", millis, "", "");
  }

  /** Returns this placement with the rejection that the call gets. */
  ServicePlacement withRejection(Rejection rejected, String cause) {
    return withOutcome("", 0, rejected.name(), cause);
  }

  private ServicePlacement withOutcome(
      String endpoint, long millis, String rejected, String cause) {
    return new ServicePlacement(
        service, share, maxLoadPerSlot, minVersion, candidates, endpoint, millis, rejected, cause);
  }
}
