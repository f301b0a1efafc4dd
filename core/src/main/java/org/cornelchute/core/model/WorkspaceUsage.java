package org.cornelchute.core.model;

/**
 * Usage of one entry by one workspace since the entry started.
 *
 * @param workspace name of the workspace
 * @param weight weight of the workspace under the rules in force
 * @param answered requests with a complete answer
 * @param refused requests that were refused and not run
 * @param unknown requests whose outcome is unknown or whose answer was truncated
 * @param tokens tokens in the answers
 * @param waitMillis total time that requests waited until they were first sent to an agent
 * @param maxWaitMillis longest time that a request waited until it was first sent
 * @param passedOver how often another workspace was served first because no endpoint with free
 *     capacity could serve the next request of this workspace
 */
public record WorkspaceUsage(
    String workspace,
    int weight,
    long answered,
    long refused,
    long unknown,
    long tokens,
    long waitMillis,
    long maxWaitMillis,
    long passedOver) {

  /**
   * Returns the sum of this usage and the usage of the same workspace at another entry; the weight
   * and the longest wait are the larger of the two.
   */
  public WorkspaceUsage plus(WorkspaceUsage other) {
    return new WorkspaceUsage(
        workspace,
        Math.max(weight, other.weight),
        answered + other.answered,
        refused + other.refused,
        unknown + other.unknown,
        tokens + other.tokens,
        waitMillis + other.waitMillis,
        Math.max(maxWaitMillis, other.maxWaitMillis),
        passedOver + other.passedOver);
  }
}
