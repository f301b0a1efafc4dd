package org.cornelchute.core.model;

/**
 * What one entry has done for one workspace since it started.
 *
 * @param workspace payer
 * @param weight weight under the rules in force
 * @param answered requests answered whole
 * @param refused requests refused as not run
 * @param unknown requests whose outcome is unknown or whose answer was cut off
 * @param tokens tokens of the answers
 * @param waitMillis time that requests waited before they were first sent, summed
 * @param maxWaitMillis longest such time
 * @param passedOver times that another workspace was served first because none of the endpoints
 *     with room could serve this one's next request
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

  /** Returns the sum of this and another entry's figures for the same workspace. */
  public WorkspaceUsage plus(WorkspaceUsage o) {
    return new WorkspaceUsage(
        workspace,
        Math.max(weight, o.weight),
        answered + o.answered,
        refused + o.refused,
        unknown + o.unknown,
        tokens + o.tokens,
        waitMillis + o.waitMillis,
        Math.max(maxWaitMillis, o.maxWaitMillis),
        passedOver + o.passedOver);
  }
}
