package org.cornelchute.policy.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cornelchute.policy.rules.Rule;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.util.TokenBucket;

/** Rate limits of workspaces and retry budgets of targets, as one entry applies them. */
final class RequestLimits {

  private static final int RETRY_BURST = 10;
  private static final double MIN_RETRIES_PER_SECOND = 1;

  private final double retryRatio;
  private final Map<Target, TokenBucket> retryBudgets = new HashMap<>();
  private final Map<String, TokenBucket> rateLimits = new HashMap<>();

  RequestLimits(double retryShare) {
    this.retryRatio = retryShare;
  }

  /** Forgets the rates, since other limits are in force. */
  void resetRateLimits() {
    rateLimits.clear();
  }

  /**
   * Counts a request against its workspace's limit.
   *
   * <p>Each entry grants an equal share of it; the balancer spreads callers evenly.
   *
   * @param entries number of entries alive, this one included
   * @return whether the request is within the limit
   */
  boolean tryAcquire(long now, Rules rules, String workspace, int entries) {
    Optional<Rule.Limit> limit = rules.findLimit(workspace);
    if (limit.isEmpty()) {
      return true;
    }
    int share = Math.max(1, entries);
    double perSecond = limit.get().perSecond() / share;
    double burst = Math.max(1, limit.get().burst() / share);
    TokenBucket bucket =
        rateLimits.computeIfAbsent(workspace, w -> new TokenBucket(perSecond, burst, now));
    bucket.updateLimits(perSecond, burst);
    return bucket.tryTake(1, now);
  }

  /** Counts a fresh request, which earns its share of a retry. */
  void recordNewRequest(long now, Target target) {
    retryBudget(now, target).add(retryRatio);
  }

  /** Returns whether one more retry may reach a target. */
  boolean hasRetryBudget(long now, Target target) {
    return retryBudget(now, target).hasTokens(1, now);
  }

  /** Counts a retry that reaches a target. */
  void recordRetry(long now, Target target) {
    retryBudget(now, target).tryTake(1, now);
  }

  private TokenBucket retryBudget(long now, Target target) {
    return retryBudgets.computeIfAbsent(
        target, t -> new TokenBucket(MIN_RETRIES_PER_SECOND, RETRY_BURST, now));
  }
}
