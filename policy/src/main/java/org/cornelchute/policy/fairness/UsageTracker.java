package org.cornelchute.policy.fairness;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cornelchute.core.model.WorkspaceUsage;
import org.cornelchute.policy.rules.Rules;

/** Counts what each workspace was given, so that every partner can see that nobody jumped ahead. */
public final class UsageTracker {

  private final Map<String, Counters> countersByWorkspace = new TreeMap<>();

  /** Counts the time that a request waited before it was first sent. */
  public void recordFirstDispatch(String workspace, long waitMillis) {
    Counters a = countersOf(workspace);
    a.waitMillis += waitMillis;
    a.maxWaitMillis = Math.max(a.maxWaitMillis, waitMillis);
  }

  /** Counts a whole answer. */
  public void recordResponse(String workspace, int tokens) {
    Counters a = countersOf(workspace);
    a.answered++;
    a.tokens += tokens;
  }

  /** Counts a refusal; {@code known} if the request certainly did not run. */
  public void recordFailure(String workspace, boolean known) {
    Counters a = countersOf(workspace);
    a.refused += known ? 1 : 0;
    a.unknown += known ? 0 : 1;
  }

  /** Counts that a workspace's turn could not be taken. */
  public void recordPassedOver(String workspace) {
    countersOf(workspace).passedOver++;
  }

  /** Lists all workspaces seen, in the order of their names. */
  public List<WorkspaceUsage> snapshot(Rules rules) {
    List<WorkspaceUsage> shares = new ArrayList<>(countersByWorkspace.size());
    countersByWorkspace.forEach(
        (workspace, a) ->
            shares.add(
                new WorkspaceUsage(
                    workspace,
                    rules.weight(workspace),
                    a.answered,
                    a.refused,
                    a.unknown,
                    a.tokens,
                    a.waitMillis,
                    a.maxWaitMillis,
                    a.passedOver)));
    return shares;
  }

  private Counters countersOf(String workspace) {
    return countersByWorkspace.computeIfAbsent(workspace, w -> new Counters());
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
