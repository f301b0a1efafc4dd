package org.cornelchute.policy.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cornelchute.policy.rules.Rule;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.util.TokenBucket;

/** Workspace rate limits and per-target retry budgets of one entry. */
final class RequestLimits {

  private static final int RETRY_BURST = 10;

  /** Retries per second that a target may always receive, also without new requests. */
  private static final double MIN_RETRIES_PER_SECOND = 1;

  private final double retryRatio;
  private final Map<Target, TokenBucket> retryBudgets = new HashMap<>();
  private final Map<String, TokenBucket> rateLimits = new HashMap<>();

  RequestLimits(double retryRatio) {
    this.retryRatio = retryRatio;
  }

  /** Discards the rate limit state because the rules have changed. */
  void resetRateLimits() {
    rateLimits.clear();
  }

  /**
   * Counts a request against the rate limit of its workspace.
   *
   * <p>Each entry enforces an equal share of the limit, since the load balancer spreads callers
   * evenly over the entries.
   *
   * @param entries number of live entries, including this one
   * @return whether the request is within the limit
   */
  boolean tryAcquire(long now, Rules rules, String workspace, int entries) {
    Optional<Rule.Limit> limit = rules.findLimit(workspace);
    if (limit.isEmpty()) {
      return true;
    }
    int entryCount = Math.max(1, entries);
    double perSecond = limit.get().perSecond() / entryCount;
    double burst = Math.max(1, limit.get().burst() / entryCount);
    TokenBucket bucket =
        rateLimits.computeIfAbsent(workspace, id -> new TokenBucket(perSecond, burst, now));
    bucket.updateLimits(perSecond, burst);
    return bucket.tryTake(1, now);
  }

  /** Counts a new request, which adds the retry ratio to the retry budget of its target. */
  void recordNewRequest(long now, Target target) {
    retryBudget(now, target).add(retryRatio);
  }

  /** Returns whether the retry budget of a target allows another retry. */
  boolean hasRetryBudget(long now, Target target) {
    return retryBudget(now, target).hasTokens(1, now);
  }

  /** Takes one retry from the retry budget of a target. */
  void recordRetry(long now, Target target) {
    retryBudget(now, target).tryTake(1, now);
  }

  private TokenBucket retryBudget(long now, Target target) {
    return retryBudgets.computeIfAbsent(
        target, key -> new TokenBucket(MIN_RETRIES_PER_SECOND, RETRY_BURST, now));
  }
}
