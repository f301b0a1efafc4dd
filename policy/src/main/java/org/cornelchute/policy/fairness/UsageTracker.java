package org.cornelchute.policy.fairness;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cornelchute.core.model.WorkspaceUsage;
import org.cornelchute.policy.rules.Rules;

/** Counts what each workspace was given, so that every partner can see that nobody jumped ahead. */
public final class UsageTracker {

  private final Map<String, Account> accounts = new TreeMap<>();

  /** Counts the time that a request waited before it was first sent. */
  public void recordFirstDispatch(String workspace, long waitMillis) {
    Account a = account(workspace);
    a.wait += waitMillis;
    a.maxWait = Math.max(a.maxWait, waitMillis);
  }

  /** Counts a whole answer. */
  public void recordResponse(String workspace, int tokens) {
    Account a = account(workspace);
    a.answered++;
    a.tokens += tokens;
  }

  /** Counts a refusal; {@code known} if the request certainly did not run. */
  public void recordFailure(String workspace, boolean known) {
    Account a = account(workspace);
    a.refused += known ? 1 : 0;
    a.unknown += known ? 0 : 1;
  }

  /** Counts that a workspace's turn could not be taken. */
  public void recordPassedOver(String workspace) {
    account(workspace).passedOver++;
  }

  /** Lists all workspaces seen, in the order of their names. */
  public List<WorkspaceUsage> shares(Rules rules) {
    List<WorkspaceUsage> shares = new ArrayList<>(accounts.size());
    accounts.forEach(
        (workspace, a) ->
            shares.add(
                new WorkspaceUsage(
                    workspace,
                    rules.weight(workspace),
                    a.answered,
                    a.refused,
                    a.unknown,
                    a.tokens,
                    a.wait,
                    a.maxWait,
                    a.passedOver)));
    return shares;
  }

  private Account account(String workspace) {
    return accounts.computeIfAbsent(workspace, w -> new Account());
  }

  private static final class Account {
    private long answered;
    private long refused;
    private long unknown;
    private long tokens;
    private long wait;
    private long maxWait;
    private long passedOver;
  }
}
