package org.cornelchute.policy.forward;

import java.util.List;

/**
 * Where a call would be routed if it arrived now, and why.
 *
 * @param configVersion version of the configuration in force at the entry
 * @param route name of the route, empty if none matches or the call is rejected before
 * @param workspace name of the workspace that the call counts for, empty if none
 * @param priority rank of the call; 0 is served first, -1 if the call has no route
 * @param services placement at each service that the route may pick, in the order of the route;
 *     empty if the call is rejected before a service is picked
 * @param rejection rejection that the call gets before a service is picked, empty if none
 * @param reason reason of that rejection, empty if none
 */
public record PlacementExplanation(
    long configVersion,
    String route,
    String workspace,
    int priority,
    List<ServicePlacement> services,
    String rejection,
    String reason) {

  /** Returns the explanation of a call that is rejected before a service is picked. */
  public static PlacementExplanation rejected(
      long configVersion, String route, Rejection rejection, String reason) {
    return new PlacementExplanation(
        configVersion, route, "", -1, List.of(), rejection.name(), reason);
  }
}
