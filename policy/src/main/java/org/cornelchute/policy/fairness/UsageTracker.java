package org.cornelchute.policy.fairness;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cornelchute.core.model.WorkspaceUsage;
import org.cornelchute.policy.rules.Rules;

/**
 * Records the service that each workspace has received, so that every partner can verify that no
 * workspace is preferred.
 */
public final class UsageTracker {

  private final Map<String, Counters> countersByWorkspace = new TreeMap<>();

  /** Records how long a request waited before its first dispatch. */
  public void recordFirstDispatch(String workspace, long waitMillis) {
    Counters counters = countersOf(workspace);
    counters.waitMillis += waitMillis;
    counters.maxWaitMillis = Math.max(counters.maxWaitMillis, waitMillis);
  }

  /** Records a complete response. */
  public void recordResponse(String workspace, int tokens) {
    Counters counters = countersOf(workspace);
    counters.answered++;
    counters.tokens += tokens;
  }

  /**
   * Records a request that got no complete response.
   *
   * @param certainlyNotRun whether the request certainly did not run
   */
  public void recordFailure(String workspace, boolean certainlyNotRun) {
    Counters counters = countersOf(workspace);
    counters.refused += certainlyNotRun ? 1 : 0;
    counters.unknown += certainlyNotRun ? 0 : 1;
  }

  /** Records that another workspace was served although this workspace came first. */
  public void recordPassedOver(String workspace) {
    countersOf(workspace).passedOver++;
  }

  /** Returns the figures of all known workspaces, ordered by name. */
  public List<WorkspaceUsage> snapshot(Rules rules) {
    List<WorkspaceUsage> shares = new ArrayList<>(countersByWorkspace.size());
    countersByWorkspace.forEach(
        (workspace, counters) ->
            shares.add(
                new WorkspaceUsage(
                    workspace,
                    rules.weight(workspace),
                    counters.answered,
                    counters.refused,
                    counters.unknown,
                    counters.tokens,
                    counters.waitMillis,
                    counters.maxWaitMillis,
                    counters.passedOver)));
    return shares;
  }

  private Counters countersOf(String workspace) {
    return countersByWorkspace.computeIfAbsent(workspace, id -> new Counters());
  }

  private static final class Counters {
    private long answered;
    private long refused;
    private long unknown;
    private long tokens;
    private long waitMillis;
    private long maxWaitMillis;
    private long passedOver;
  }
}
